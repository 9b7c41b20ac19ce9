"""Which members can be heard, as far as can be told. Pure.

Signs of life go both ways over each connection. A member that is not heard is asked after at two others (as
SWIM does, Das et al. 2002, without its gossip: members are few and all are connected), so that a cut link is
told from a death. A process that was itself stopped, or is late with its own ticks, accuses nobody: what it
has not heard it could not hear.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from grebestack.consensus.actions import Action, Cut, Send, Told
from grebestack.consensus.messages import Ping, Pong

ASKED = 2  # others that are asked after one that is silent
SLACK_MOST = 8.0


class Seen(Enum):
    """What is known of a member."""

    UP = "up"
    CUT = "others hear it, this member does not"
    STALLED = "connected and silent"
    GONE = "not heard by any that were asked"
    UNKNOWN = "not known"


@dataclass(frozen=True, slots=True)
class PeerTimes:
    """How often signs of life go, and how long silence is borne; milliseconds."""

    ping_ms: float = 500.0
    silent_ms: float = 1500.0


@dataclass(slots=True)
class _Other:
    linked: bool = False
    heard_ms: float | None = None  # here
    elsewhere_ms: float | None = None  # when another said that it hears it
    asked_ms: float | None = None  # since when others are asked after it
    said: Seen = Seen.UNKNOWN


class Peers:
    """All other members, as seen from this one."""

    def __init__(self, others: frozenset[str], times: PeerTimes, random: Random, now_ms: float) -> None:
        self.times, self.random = times, random
        self.others = {name: _Other() for name in sorted(others)}
        self.next_ms = now_ms
        self.slack = 1.0

    def linked(self, name: str, now_ms: float) -> None:
        """A connection is up: its `Hello` has come."""
        other = self.others.setdefault(name, _Other())
        other.linked, other.heard_ms, other.asked_ms = True, now_ms, None

    def lost(self, name: str) -> None:
        """The connection has ended."""
        if name in self.others:
            self.others[name].linked = False

    def heard(self, name: str, now_ms: float) -> None:
        """Something came from a member."""
        other = self.others[name]
        other.heard_ms, other.asked_ms = now_ms, None

    def message(self, name: str, message: Ping | Pong, now_ms: float) -> list[Action]:
        """A sign of life, perhaps with a question or an answer about a third member."""
        if isinstance(message, Ping):
            about = message.about if self.seen(message.about, now_ms) is Seen.UP else ""
            return [Send(name, Pong(about))]
        if message.about in self.others:
            self.others[message.about].elsewhere_ms = now_ms
        return []

    def seen(self, name: str, now_ms: float) -> Seen:
        """What is known of a member at this moment."""
        other = self.others.get(name)
        if other is None:
            return Seen.UNKNOWN
        silent_ms = self.times.silent_ms * self.slack
        if other.linked and other.heard_ms is not None and now_ms - other.heard_ms <= silent_ms:
            return Seen.UP
        if other.elsewhere_ms is not None and now_ms - other.elsewhere_ms <= silent_ms:
            return Seen.CUT
        # Where nobody is heard it may be this member that is cut off: nothing is said of the others.
        up = any(
            o.linked and o.heard_ms is not None and now_ms - o.heard_ms <= silent_ms
            for o in self.others.values()
        )
        if len(self.others) > 1 and not up:
            return Seen.UNKNOWN
        if other.asked_ms is None or now_ms - other.asked_ms < silent_ms:
            return Seen.UNKNOWN
        return Seen.STALLED if other.linked else Seen.GONE

    def tick(self, now_ms: float) -> list[Action]:
        """Signs of life that are due, questions after silent members, and links that have stalled."""
        if now_ms < self.next_ms:
            return []
        late_ms = now_ms - self.next_ms
        if late_ms > self.times.ping_ms:
            # This process stood still: the others' silence meanwhile is its own deafness.
            self.slack = min(SLACK_MOST, self.slack * 2.0)
            for other in self.others.values():
                if other.heard_ms is not None:
                    other.heard_ms += late_ms
                other.asked_ms = None
        else:
            self.slack = max(1.0, self.slack * 0.9)
        self.next_ms = now_ms + self.times.ping_ms * self.random.uniform(0.8, 1.2)
        actions: list[Action] = []
        for name, other in self.others.items():
            if other.linked and other.heard_ms is not None:
                if now_ms - other.heard_ms > self.times.silent_ms * self.slack:
                    actions.append(Cut(name, "silent"))
                else:
                    actions.append(Send(name, Ping()))
            if self.seen(name, now_ms) is not Seen.UP:
                actions += self._ask_others(name, other, now_ms)
            if (seen := self.seen(name, now_ms)) is not other.said:
                other.said = seen
                actions.append(Told("fleet_peer", {"peer": name, "seen": seen.value}))
        return actions

    def _ask_others(self, name: str, other: _Other, now_ms: float) -> list[Action]:
        able = [n for n in self.others if n != name and self.seen(n, now_ms) is Seen.UP]
        chosen = self.random.sample(able, min(ASKED, len(able)))
        if other.asked_ms is None and chosen:
            other.asked_ms = now_ms
        return [Send(asked, Ping(name)) for asked in chosen]
