"""One relay: serves followers the newest version it has, and knows who is behind. Pure.

What is small goes at once; whole contents and large differences go by a token bucket in the order in which
they were wanted, so that many who come at once do not ask for more than a relay bears.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf
from random import Random

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import Close, RelayAction, Send, StatusReceived
from grebestack.config_distribution.messages import (
    NEVER_CONFIRMED_MS,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    FollowerStatus,
    Message,
    NotModified,
    Poll,
    StatusReport,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
    tag_of,
)
from grebestack.config_distribution.versions import (
    DIGEST_HEX_DIGITS,
    NO_VERSION,
    Delta,
    Version,
    contents_problem,
    delta_between,
    invalid_value,
)
from grebestack.consensus.actions import Told

MAX_FOLLOWERS = 2048
MAX_NAME_LENGTH = 128
MAX_REASON_LENGTH = 500
MAX_FORMER_CONTENTS = 16  # contents of so many former versions are kept for differences
MAX_FORMER_CONTENTS_BYTES = 4 * 1024 * 1024
UNTHROTTLED_BYTES = 4096  # bytes that go at once
UPDATE_REUSE_MS = 500.0  # the same News goes to all that ask within this
MAX_STATUSES = 65_536


@dataclass(frozen=True, slots=True)
class FollowerState:
    """One follower, as it said last."""

    name: str
    life: int
    number: int  # in force there
    digest: str  # what a difference may be based on
    heard_ms: float
    behind_ms: float | None = None  # since when there is a newer one here
    refused: int = 0
    why: str = ""
    sent: int = 0  # the number that was sent last
    sent_ms: float = -inf
    linked: bool = True


class Relay:
    """Events in, actions out. Links are numbered by whoever runs it, each number used once.

    `floor` tells the highest number that a follower has acknowledged elsewhere, as a voter's tallies say.
    """

    def __init__(
        self,
        name: str,
        fleet: str,
        life: int,
        random: Random,
        most: int = MAX_FOLLOWERS,
        floor: Callable[[str], int] = lambda name: 0,
    ) -> None:
        self.name, self.fleet, self.life, self.most = name, fleet, life, most
        self.random, self.floor = random, floor
        self.version: Version = NO_VERSION
        self.contents = b""
        self.confirmed_ms: float | None = None
        self.seats: dict[int, FollowerState] = {}
        self.links: dict[str, int] = {}  # by name
        self.gone: dict[str, FollowerState] = {}  # not linked any more, the one that left last at the end
        self.former: dict[str, bytes] = {}  # contents by digest, the newest last
        self.deltas: dict[str, Delta] = {}  # to the present version, by base
        self.news: dict[str, tuple[float, ConfigUpdate]] = {}  # made lately, by base; "" for whole
        self.queue: dict[int, None] = {}  # links that wait for their turn, in order
        self.bytes, self.bytes_ms = (
            float(timeouts.FULL_CONTENTS_BYTES_PER_S),
            0.0,
        )  # the bucket, and when it was looked at
        self.changed: set[str] = set()  # names, since the last tally
        self.number_told = -1
        self.sequence = 0
        self.tally_ms, self.whole_ms, self.scan_ms = 0.0, 0.0, 0.0
        self.noted: frozenset[str] = frozenset()

    # What it serves.

    def offer(self, now_ms: float, version: Version, contents: bytes) -> list[RelayAction]:
        """A decided version, checked: pushed at once if it is newer."""
        if why := contents_problem(version, contents):
            return [Told("configuration_wrong", {"relay": self.name, "why": why})]
        if version.number <= self.version.number:
            return []
        self.version, self.contents = version, contents
        self.deltas, self.news = {}, {}
        self.former.pop(version.digest, None)
        self.former[version.digest] = contents
        while len(self.former) > MAX_FORMER_CONTENTS or (
            len(self.former) > 1 and sum(map(len, self.former.values())) > MAX_FORMER_CONTENTS_BYTES
        ):
            del self.former[next(iter(self.former))]
        actions: list[RelayAction] = []
        for link, seat in list(self.seats.items()):
            if seat.number < version.number:
                if seat.behind_ms is None:
                    self.seats[link] = replace(seat, behind_ms=now_ms)
                actions += self._push(now_ms, link)
        return actions

    def confirmed(self, now_ms: float, at_ms: float) -> list[RelayAction]:
        """At `at_ms` a majority knew nothing newer than what is offered."""
        if self.confirmed_ms is None or at_ms > self.confirmed_ms:
            self.confirmed_ms = at_ms
        return []

    def _age(self, now_ms: float) -> int:
        if self.confirmed_ms is None:
            return NEVER_CONFIRMED_MS
        return max(0, int(now_ms - self.confirmed_ms))

    def _still(self, now_ms: float, link: int) -> Send:
        return Send(link, NotModified(self.version.number, self._age(now_ms)))

    def _made(self, now_ms: float, base: str) -> ConfigUpdate:
        """By difference from `base` if its contents are here, else whole; one object for all for a while."""
        base = base if base in self.former else ""
        made = self.news.get(base)
        if made is not None and now_ms - made[0] < UPDATE_REUSE_MS:
            return made[1]
        delta = None
        if base:
            delta = self.deltas.get(base)
            if delta is None:
                delta = self.deltas[base] = delta_between(self.former[base], self.contents)
        news = ConfigUpdate(self.version, self._age(now_ms), delta, None if base else self.contents)
        self.news[base] = now_ms, news
        return news

    def _push(self, now_ms: float, link: int) -> list[RelayAction]:
        """Send the newest, now or in its turn; nothing where it was refused."""
        seat = self.seats[link]
        if seat.refused == self.version.number or seat.number >= self.version.number:
            return []
        news = self._made(now_ms, seat.digest)
        if _cost(news) > UNTHROTTLED_BYTES:
            self.queue.setdefault(link)
            return self._serve(now_ms)
        return [self._sent(now_ms, link, news)]

    def _sent(self, now_ms: float, link: int, news: ConfigUpdate) -> Send:
        self.seats[link] = replace(self.seats[link], sent=self.version.number, sent_ms=now_ms)
        return Send(link, news)

    def _serve(self, now_ms: float) -> list[RelayAction]:
        """Those whose turn it is."""
        grown = self.bytes + (now_ms - self.bytes_ms) * timeouts.FULL_CONTENTS_BYTES_PER_S / 1000.0
        self.bytes, self.bytes_ms = (
            min(grown, timeouts.FULL_CONTENTS_BYTES_PER_S * timeouts.FULL_CONTENTS_BURST_MS / 1000.0),
            now_ms,
        )
        actions: list[RelayAction] = []
        while self.queue and self.bytes > 0.0:
            link = next(iter(self.queue))
            del self.queue[link]
            seat = self.seats.get(link)
            if seat is None or seat.number >= self.version.number or seat.refused == self.version.number:
                continue
            news = self._made(now_ms, seat.digest)
            self.bytes -= _cost(news)
            actions.append(self._sent(now_ms, link, news))
        return actions

    # Followers.

    def heard(self, now_ms: float, link: int, message: Message) -> list[RelayAction]:
        """A message has come; the first over a link must be a `Subscribe`."""
        seat = self.seats.get(link)
        if seat is None:
            if isinstance(message, Subscribe):
                return self._greeted(now_ms, link, message)
            why = invalid_value("message", tag_of(message), "greeting first")
            return self._spoilt(link, "", why)
        self.seats[link] = seat = replace(seat, heard_ms=now_ms)
        if isinstance(message, Poll):
            return self._polled(now_ms, link, seat, message)
        if isinstance(message, FetchFullContents):
            self.seats[link] = replace(seat, digest="")
            return self._answer(now_ms, link)
        if isinstance(message, StatusReport):
            if len(message.standings) > MAX_STATUSES:
                why = invalid_value("standings", len(message.standings), f"up to {MAX_STATUSES}")
                return self._drop(now_ms, link, why)
            return [StatusReceived(message)]
        why = invalid_value("message", tag_of(message), "poll, fetch or tally")
        return self._drop(now_ms, link, why)

    def _greeted(self, now_ms: float, link: int, greeting: Subscribe) -> list[RelayAction]:
        name = greeting.name
        if why := self._why_not(greeting):
            return self._spoilt(link, name, why)
        other = self.links.get(name)
        known = self.seats[other] if other is not None else self.gone.get(name)
        recent = known is not None and now_ms - known.heard_ms < timeouts.FOLLOWER_OVERDUE_MS
        if known is not None and recent and known.life > greeting.life:
            why = invalid_value(
                "life", greeting.life, f"{known.life} and more: a later start of {name} has come"
            )
            noted = self._note(f"twice/{name}/{greeting.life}", name, why)
            return [*noted, Send(link, SubscribeRejected(why)), Close(link, why)]
        actions: list[RelayAction] = []
        if other is not None:
            self._leave(now_ms, other)
            actions.append(Close(other, f"{name} has connected again"))
        if len(self.seats) >= self.most:
            why = f"{len(self.seats)} followers; allowed: {self.most}"
            actions += self._note("full", name, why)
            return [*actions, Send(link, SubscribeRejected(why)), Close(link, why)]
        self.gone.pop(name, None)
        behind = now_ms if greeting.number < self.version.number else None
        self.seats[link] = FollowerState(
            name, greeting.life, greeting.number, greeting.digest, now_ms, behind
        )
        self.links[name] = link
        self.changed.add(name)
        floor = max(self.floor(name), known.number if known is not None else 0)
        welcome = SubscribeAccepted(PROTOCOL_VERSION, self.fleet, self.name, self.most, floor)
        return [*actions, Send(link, welcome), *self._answer(now_ms, link)]

    def _why_not(self, greeting: Subscribe) -> str:
        name = greeting.name
        if greeting.form != PROTOCOL_VERSION:
            return invalid_value("form", greeting.form, PROTOCOL_VERSION)
        if greeting.fleet != self.fleet:
            return invalid_value("fleet", greeting.fleet, repr(self.fleet))
        if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable() or " " in name:
            return invalid_value("name", name, f"1 to {MAX_NAME_LENGTH} printable characters without spaces")
        if greeting.life < 0:
            return invalid_value("life", greeting.life, "0 and more")
        return _held_wrong(greeting.number, greeting.digest)

    def _polled(self, now_ms: float, link: int, seat: FollowerState, poll: Poll) -> list[RelayAction]:
        if why := _held_wrong(poll.number, poll.digest):
            return self._drop(now_ms, link, why)
        actions: list[RelayAction] = []
        if poll.number < seat.number:
            why = invalid_value("number", poll.number, f"{seat.number} and more, as {seat.name} said before")
            actions += self._note(f"less/{seat.name}", seat.name, why)
        if (poll.number, poll.refused, poll.why) != (seat.number, seat.refused, seat.why):
            self.changed.add(seat.name)
            if poll.refused and poll.refused != seat.refused:
                kv = {"follower": seat.name, "number": poll.refused, "why": poll.why}
                actions.append(Told("configuration_follower_refuses", kv))
        behind = None if poll.number >= self.version.number else seat.behind_ms
        if behind is None and poll.number < self.version.number:
            behind = now_ms
        self.seats[link] = replace(
            seat,
            number=poll.number,
            digest=poll.digest,
            refused=poll.refused,
            why=poll.why[:MAX_REASON_LENGTH],
            behind_ms=behind,
        )
        if seat.sent == self.version.number and now_ms - seat.sent_ms < timeouts.RESEND_INTERVAL_MS:
            return [*actions, self._still(now_ms, link)]  # it may still be on its way
        return actions + self._answer(now_ms, link)

    def _answer(self, now_ms: float, link: int) -> list[RelayAction]:
        """The newest if it is newer and may go now; else that there is none, or that it will come."""
        pushed = self._push(now_ms, link)
        if any(isinstance(action, Send) and action.link == link for action in pushed):
            return pushed
        return [*pushed, self._still(now_ms, link)]

    def lost(self, now_ms: float, link: int, why: str) -> list[RelayAction]:
        """A link has ended, or carried what is no message (`why` says so)."""
        seat = self._leave(now_ms, link)
        if seat is None:
            return []
        return [Told("configuration_follower_lost", {"follower": seat.name, "why": why}, detail=True)]

    def _leave(self, now_ms: float, link: int) -> FollowerState | None:
        seat = self.seats.pop(link, None)
        if seat is not None:
            self.links.pop(seat.name, None)
            self.gone.pop(seat.name, None)
            self.gone[seat.name] = replace(seat, linked=False)
            self.changed.add(seat.name)
            while len(self.gone) > self.most:
                del self.gone[next(iter(self.gone))]
        return seat

    def _drop(self, now_ms: float, link: int, why: str) -> list[RelayAction]:
        seat = self._leave(now_ms, link)
        return self._spoilt(link, seat.name if seat is not None else "", why)

    def _spoilt(self, link: int, name: str, why: str) -> list[RelayAction]:
        return [
            Told("configuration_wrong", {"follower": name[:MAX_NAME_LENGTH], "why": why}),
            Close(link, why),
        ]

    def _note(self, key: str, name: str, why: str) -> list[RelayAction]:
        if key in self.noted:
            return []
        self.noted = (self.noted if len(self.noted) < MAX_STATUSES else frozenset()) | {key}
        return [Told("configuration_wrong", {"follower": name, "why": why})]

    # Time.

    def _standing(self, now_ms: float, seat: FollowerState) -> FollowerStatus:
        behind = 0 if seat.behind_ms is None else max(1, int(now_ms - seat.behind_ms))
        heard = max(0, int(now_ms - seat.heard_ms))
        return FollowerStatus(
            seat.name, seat.life, seat.number, heard, seat.linked, behind, seat.refused, seat.why
        )

    def _tally(self, now_ms: float) -> list[RelayAction]:
        whole = now_ms >= self.whole_ms
        if not whole and (now_ms < self.tally_ms or not self._unsaid()):
            return []
        seats = [*self.seats.values(), *self.gone.values()]
        standings = tuple(self._standing(now_ms, s) for s in seats if whole or s.name in self.changed)
        self.sequence += 1
        self.changed, self.number_told = set(), self.version.number
        self.tally_ms = now_ms + self.random.uniform(*timeouts.STATUS_REPORT_INTERVAL_MS)
        if whole:
            self.whole_ms = now_ms + self.random.uniform(*timeouts.FULL_STATUS_REPORT_INTERVAL_MS)
        return [
            StatusReceived(
                StatusReport(self.name, self.life, self.sequence, whole, self.version.number, standings)
            )
        ]

    def _unsaid(self) -> bool:
        return bool(self.changed) or self.number_told != self.version.number

    def tick(self, now_ms: float) -> list[RelayAction]:
        """Time has passed: what is due."""
        actions = self._serve(now_ms) if self.queue else []
        if now_ms >= self.scan_ms:
            actions += self._scan(now_ms)
        return actions + self._tally(now_ms)

    def _scan(self, now_ms: float) -> list[RelayAction]:
        """Those that have not been heard for long, connected or not."""
        actions: list[RelayAction] = []
        late_ms, self.scan_ms = now_ms - self.scan_ms, now_ms + timeouts.OVERDUE_SCAN_INTERVAL_MS
        if late_ms > timeouts.OVERDUE_SCAN_INTERVAL_MS:  # it stood still: what they said may be here, unread
            return []
        why = f"not heard for {timeouts.FOLLOWER_OVERDUE_MS / 1000.0:g} s"
        for link, seat in list(self.seats.items()):
            if now_ms - seat.heard_ms >= timeouts.FOLLOWER_OVERDUE_MS:
                self._leave(now_ms, link)
                told = Told("configuration_follower_lost", {"follower": seat.name, "why": why})
                actions += [told, Close(link, why)]
        for name, seat in list(self.gone.items()):
            if now_ms - seat.heard_ms >= timeouts.FORGET_FOLLOWER_MS:
                del self.gone[name]
        return actions

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        due = min(self.whole_ms, self.scan_ms)
        if self._unsaid():
            due = min(due, self.tally_ms)
        if self.queue:
            due = min(due, now_ms + max(1.0, -self.bytes * 1000.0 / timeouts.FULL_CONTENTS_BYTES_PER_S + 1.0))
        return max(due, now_ms + 1.0)

    def shown(self, now_ms: float) -> str:
        """How many it serves and who of them is behind, in one line."""
        behind = sorted(seat.name for seat in self.seats.values() if seat.behind_ms is not None)
        text = f"relay {self.name} at version {self.version.number}, {len(self.seats)} followers"
        if behind:
            text += f", behind: {', '.join(behind[:10])}{' ...' if len(behind) > 10 else ''}"
        return text


def _cost(news: ConfigUpdate) -> int:
    """Bytes, but for a few."""
    return len(news.contents or b"") + (len(news.delta.middle) if news.delta is not None else 0)


def _held_wrong(number: int, digest: str) -> str:
    if number < 0:
        return invalid_value("number", number, "0 and more")
    if digest and (len(digest) != DIGEST_HEX_DIGITS or set(digest) - set("0123456789abcdef")):
        return invalid_value("digest", digest, f"{DIGEST_HEX_DIGITS} hexadecimal digits")
    return ""
