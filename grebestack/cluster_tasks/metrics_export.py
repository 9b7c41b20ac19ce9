"""The fleet's tallies, gathered by whoever holds the task and exported under its token. Pure.

An export that its holder did not finish is begun again by the next one: counts only grow within a life of a
member, so that nothing is lost with it but the moment. The collector takes exports in the order of their
tokens and, within one, of their numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

GATHER_MS = 400.0  # who has not answered by then is named as missing


class Ask(msgspec.Struct, array_like=True, tag="ask"):
    """Tell your counts."""

    number: int


class Counts(msgspec.Struct, array_like=True, tag="counts"):
    """A member's counts since its start."""

    number: int
    life: int
    counts: dict[str, int]


class Export(msgspec.Struct):
    """What goes to the collector."""

    fleet: str
    task: str
    holder: str
    token: int
    number: int
    totals: dict[str, int]
    members: dict[str, dict[str, int]]
    missing: list[str]


_words = msgspec.msgpack.Decoder(Ask | Counts)


def word(data: bytes) -> Ask | Counts:
    """Read what another member says; msgspec.DecodeError where it is nothing of this."""
    return _words.decode(data)


@dataclass(slots=True)
class Gathering:
    """One export, from the question to the others until it is to go out."""

    number: int
    token: int
    until_ms: float
    asked: frozenset[str]  # who is connected, and waited for
    all: frozenset[str]
    counts: dict[str, dict[str, int]] = field(default_factory=dict)

    def ripe(self, now_ms: float) -> bool:
        """Whether it goes out now, complete or not."""
        return now_ms >= self.until_ms or self.asked <= set(self.counts)


class Tallies:
    """One member's side of the task."""

    def __init__(self, fleet: str, task: str, name: str, every_ms: float) -> None:
        self.fleet, self.task, self.name, self.every_ms = fleet, task, name, every_ms
        self.number = 0
        self.token: int | None = None
        self.next_ms = 0.0
        self.gathering: Gathering | None = None

    def tick(
        self,
        now_ms: float,
        token: int | None,
        own: Mapping[str, int],
        connected: frozenset[str],
        all: frozenset[str],
    ) -> bool:
        """Time has passed, under this token; True where the connected are to be asked for number `number`."""
        if token != self.token:  # a new holder begins at once, and counts its exports anew
            self.token, self.number, self.next_ms, self.gathering = token, 0, now_ms, None
        if token is None or self.gathering is not None or now_ms < self.next_ms:
            return False
        self.number += 1
        self.next_ms = max(self.next_ms + self.every_ms, now_ms)
        self.gathering = Gathering(self.number, token, now_ms + GATHER_MS, connected, all)
        self.gathering.counts[self.name] = dict(own)
        return True

    def heard(self, name: str, said: Counts) -> None:
        """Another member's counts; those for another number come too late."""
        if self.gathering is not None and said.number == self.gathering.number:
            self.gathering.counts[name] = said.counts

    def export(self, now_ms: float) -> Export | None:
        """What is to go out now, if anything; the caller looks at its token again as it does."""
        if self.gathering is None or not self.gathering.ripe(now_ms):
            return None
        done, self.gathering = self.gathering, None
        totals: dict[str, int] = {}
        for counts in done.counts.values():
            for key, value in counts.items():
                totals[key] = totals.get(key, 0) + value
        missing = sorted(done.all - set(done.counts))
        return Export(self.fleet, self.task, self.name, done.token, done.number, totals, done.counts, missing)

    def due_ms(self, now_ms: float) -> float:
        """When `tick` and `export` are to be called next."""
        if self.gathering is not None:
            return self.gathering.until_ms
        return self.next_ms if self.token is not None else now_ms + self.every_ms
