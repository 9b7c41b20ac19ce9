"""One member reads an expensive source of servers, the others take the list from it. Pure.

The holder of the task reads and tells; its messages carry its token and a number, and a lower token than was
heard is passed over. A member follows a holder only while that one is heard and says that its source is well;
else it reads for itself, as if it were alone. What was last known stands in between: a list is replaced by
the next whole one, never emptied. A holder whose source has been silent for long gives the task to others.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct, msgpack

PART = 200_000  # bytes of lines in one message


class Line(Struct, frozen=True, array_like=True):
    """One server: its name, and the rest for whoever carries out; no rest: it is gone."""

    name: str
    rest: bytes


class Beat(Struct, array_like=True, tag="beat"):
    """The holder is there: how many changes it has told, and whether its source answers."""

    token: int
    number: int
    well: bool


class Part(Struct, array_like=True, tag="part"):
    """Some of a list or of changes to it. The last of `parts` brings it into force."""

    token: int
    number: int
    index: int  # of which source
    whole: bool
    part: int
    parts: int
    lines: tuple[Line, ...]
    all: bool = False  # one of several lists that stand for all before


class Again(Struct, array_like=True, tag="again"):
    """Tell all lists whole."""


Said = Beat | Part | Again
_said = msgpack.Decoder(Said)
_encoder = msgpack.Encoder()


def said(data: bytes) -> Said:
    """Read what another member says; msgspec.DecodeError where it is nothing of this."""
    return _said.decode(data)


@dataclass(frozen=True, slots=True)
class Say:
    """Say something to one member, or to all."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Read the source for oneself from now on, or no longer."""

    on: bool


@dataclass(frozen=True, slots=True)
class Update:
    """A list or changes to it, from the holder."""

    index: int
    whole: bool
    lines: tuple[Line, ...]


@dataclass(frozen=True, slots=True)
class Alive:
    """The holder says that its source has answered and nothing has changed."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The source does not answer here: another is to hold the task."""


Act = Say | Read | Update | Alive | GiveUp


@dataclass(frozen=True, slots=True)
class SharingTimes:
    """Milliseconds."""

    beat_ms: float = 700.0
    silent_ms: float = 2500.0  # a holder that is not heard for so long is not followed
    patience_ms: float = 400.0  # after a start a holder's list is awaited for so long
    ill_ms: float = 5000.0  # a holder whose source has been silent for so long gives up


@dataclass(slots=True)
class Sharing:
    """One member's side of the task, for all lists of its sources."""

    sources: int
    heard_ms: float  # when the leader was heard last, or since when one is awaited
    times: SharingTimes = field(default_factory=SharingTimes)
    place: int = 0  # members that fall back do so one after the other
    reads: bool = False
    token: int | None = None  # held here
    lists: dict[int, dict[str, Line]] = field(default_factory=dict)
    number: int = 0  # changes told, or taken from the holder
    heard_token: int = 0  # the highest
    leader: str = ""  # who is followed
    current: bool = False  # whether all that the leader has told is here
    begun: list[Line] = field(default_factory=list)  # parts of a list that is not whole yet
    well_ms: float | None = None  # when the own source answered last
    beat_ms: float = 0.0
    held_ms: float = 0.0

    def tick(self, now_ms: float, token: int | None) -> list[Act]:
        """Time has passed, under this token."""
        acts: list[Act] = []
        if token != self.token:
            self.token, self.beat_ms, self.held_ms = token, now_ms, now_ms
            if token is not None:
                self.heard_token, self.leader, self.current = max(token, self.heard_token), "", False
        if token is not None:
            acts += self._read(True)
            if now_ms >= self.beat_ms:
                self.beat_ms = now_ms + self.times.beat_ms
                acts.append(self._say("", Beat(token, self.number, self.well(now_ms))))
            if now_ms - max(self.well_ms or 0.0, self.held_ms) > self.times.ill_ms:
                self.held_ms = now_ms
                acts.append(GiveUp())
            return acts
        patience = self.times.silent_ms if self.leader else self.times.patience_ms
        if not self.reads and now_ms - self.heard_ms > patience + self.place * 50.0:
            self.leader, self.current = "", False
            acts += self._read(True)
        return acts

    def well(self, now_ms: float) -> bool:
        """Whether the own source has answered lately."""
        return self.reads and self.well_ms is not None and now_ms - self.well_ms <= self.times.ill_ms

    def _read(self, on: bool) -> list[Act]:
        if self.reads is on:
            return []
        self.reads = on
        return [Read(on)]

    def _say(self, to: str, item: Said) -> Say:
        return Say(to, _encoder.encode(item))

    # The own source.

    def answered(self, now_ms: float) -> None:
        """The own source has answered, changed or not."""
        self.well_ms = now_ms

    def silent(self) -> None:
        """The own source did not answer."""
        self.well_ms = None

    def told(self, now_ms: float, index: int, whole: bool, lines: Iterable[Line]) -> list[Act]:
        """The own source has told a list or changes: the holder passes it on."""
        self.well_ms = now_ms
        lines = tuple(lines)
        self._take(index, whole, lines)
        if self.token is None:
            return []
        self.number += 1
        return self._parts("", index, whole, lines, False)

    def _take(self, index: int, whole: bool, lines: Iterable[Line]) -> None:
        kept = self.lists.setdefault(index, {})
        if whole:
            kept.clear()
        for line in lines:
            if line.rest:
                kept[line.name] = line
            else:
                kept.pop(line.name, None)

    def _parts(self, to: str, index: int, whole: bool, lines: Sequence[Line], all: bool) -> list[Act]:
        parts: list[list[Line]] = [[]]
        size = 0
        for line in lines:
            size += len(line.rest) + len(line.name) + 16
            if size > PART and parts[-1]:
                parts.append([])
                size = 0
            parts[-1].append(line)
        assert self.token is not None
        return [
            self._say(to, Part(self.token, self.number, index, whole, n + 1, len(parts), tuple(some), all))
            for n, some in enumerate(parts)
        ]

    # Other members.

    def heard(self, now_ms: float, name: str, item: Said) -> list[Act]:
        """Another member says something."""
        if isinstance(item, Again):
            if self.token is None:
                return []
            acts: list[Act] = []
            for index in sorted(self.lists):
                acts += self._parts(name, index, True, list(self.lists[index].values()), True)
            return acts
        if item.token < self.heard_token or self.token is not None:
            return []  # one that held the task before
        if item.token > self.heard_token or name != self.leader:
            self.heard_token, self.current, self.begun = item.token, False, []
            self.leader = name
        if isinstance(item, Beat):
            return self._beat(now_ms, name, item)
        self.heard_ms = now_ms
        return self._part(name, item)

    def _beat(self, now_ms: float, name: str, beat: Beat) -> list[Act]:
        if not beat.well:
            self.leader, self.current = "", False
            return self._read(True)
        self.heard_ms = now_ms
        if self.current and beat.number == self.number:
            return [Alive(), *self._read(False)]
        return [self._say(name, Again())]

    def _part(self, name: str, part: Part) -> list[Act]:
        if part.part == 1:
            self.begun = []
        self.begun += part.lines
        if part.part < part.parts:
            return []
        lines, self.begun = tuple(self.begun), []
        if not part.all and (not self.current or part.number != self.number + 1):
            return [self._say(name, Again())] if self.current else []
        self.number = part.number
        self._take(part.index, part.whole, lines)
        acts: list[Act] = [Update(part.index, part.whole, lines)]
        if part.all and part.index == self.sources - 1:
            self.current = True
            acts += self._read(False)
        return acts
