"""What a run's history must not show. The truth comes from outside: who acted under which version, and when.

All times are seconds of one clock, the machine's. What a process says of itself is only which contents it put
in force and when; that a version was decided is known from who asked and was answered, and who was away is
known to whoever sent the signals and cut the links.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

LIMIT_S = 9.0
SLACK_S = 0.25  # between an outside act (a signal, a cut) and the look at the clock beside it
KINDS = ("back", "half", "majority", "late", "missing")


class Acted(NamedTuple):
    """From then on a process acts under these contents."""

    at: float
    process: str
    life: int
    number: int
    digest: str  # of the bytes that it took, reckoned by the rig's own code where it can be
    whole: bool = True  # the contents' first mark and last mark are the same


class Asked(NamedTuple):
    """A change that was asked for at a voter's door."""

    at: float
    digest: str
    answered: float
    number: int  # as answered; 0: turned down, and by whom it was overtaken is told; -1: nobody knows
    by: str = ""  # at whose door
    holders: int | None = None  # voters that are said to hold its contents on their disks; None: not said


class Life(NamedTuple):
    """One start of a process, from when it is up to when it is ended."""

    process: str
    life: int
    begin: float
    end: float = math.inf
    disk: bool = True  # it keeps the version in force over a restart


class Away(NamedTuple):
    """A process that can't be reached: dead, stopped, or cut off from whoever has a majority."""

    process: str
    begin: float
    end: float


class Split(NamedTuple):
    """A time without a majority of voters, for all or for who asks at these doors: nothing is decided."""

    begin: float
    end: float
    doors: tuple[str, ...] = ()  # of the voters that are cut off from a majority; none: there is no majority

    def holds(self, ask: Asked) -> bool:
        """Whether a change was asked for within, where no majority can be reached."""
        return self.begin + SLACK_S < ask.at < self.end and (not self.doors or ask.by in self.doors)


class Delay(NamedTuple):
    """From a decided change to in force at one process, without what it was away."""

    process: str
    number: int
    seconds: float
    faulty: bool  # the process began, was away meanwhile, or a fault went on


@dataclass
class History:
    """What was seen of a run, and the verdict."""

    lives: list[Life]
    until: float  # when looking ended
    acted: list[Acted] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    away: list[Away] = field(default_factory=list)
    splits: list[Split] = field(default_factory=list)
    faults: list[tuple[float, float]] = field(default_factory=list)  # when something was out of order
    voters: int = 5

    def wrong(self, limit_s: float = LIMIT_S) -> dict[str, list[str]]:
        """Every rule that is broken, by its kind."""
        return {
            "back": list(self._back()),
            "half": list(self._half()),
            "majority": list(self._majority()),
            "late": [f"{d}" for d in self.delays(limit_s) if d.seconds > limit_s],
            "missing": list(self._missing(limit_s)),
        }

    def decided(self) -> dict[int, tuple[float, str]]:
        """Each decided version: when it is known to have been decided at the latest, and its digest.

        That is when whoever asked was answered, or the first that acted under it, whichever came first.
        """
        found: dict[int, tuple[float, str]] = {}
        seen = [(a.answered, a.number, a.digest) for a in self.asked if a.number > 0]
        seen += [(a.at, a.number, a.digest) for a in self.acted if a.number > 0]
        for at, number, digest in sorted(seen):
            found.setdefault(number, (at, digest))
        return found

    def _back(self) -> Iterable[str]:
        highest: dict[tuple[str, int], Acted] = {}
        diskless = {life.process for life in self.lives if not life.disk}
        for act in sorted(self.acted, key=lambda a: (a.at, a.number)):
            key = (act.process, act.life if act.process in diskless else 0)
            former = highest.get(key)
            if former is not None and act.number < former.number:
                yield f"{act.process} went back from {former.number} to {act.number} at {act.at:.3f}"
            else:
                highest[key] = act

    def _half(self) -> Iterable[str]:
        known = {ask.digest for ask in self.asked}
        for act in self.acted:
            if not act.whole:
                yield f"{act.process} acted under half of {act.number} at {act.at:.3f}"
            elif act.number > 0 and act.digest not in known:
                yield f"{act.process} acted under {act.digest[:12]} as {act.number}, which nobody asked for"

    def _majority(self) -> Iterable[str]:
        first: dict[int, Acted] = {}
        acts = sorted(self.acted)
        for act in acts:
            if act.number > 0 and first.setdefault(act.number, act).digest != act.digest:
                yield f"two versions {act.number}: {first[act.number]} and {act}"
        by_digest: dict[str, Acted] = {}
        for act in acts:
            by_digest.setdefault(act.digest, act)
        answered: dict[int, Asked] = {}
        for ask in self.asked:
            if ask.number > 0 and answered.setdefault(ask.number, ask).digest != ask.digest:
                yield f"two were told that they hold {ask.number}: {answered[ask.number]} and {ask}"
            if (found := by_digest.get(ask.digest)) is None:
                continue
            act = found
            if act.at < ask.at - SLACK_S:
                yield f"{act.process} acted under {act.number} before it was asked for, at {act.at:.3f}"
            if ask.number == 0:
                yield f"{act.process} acted under {act.number}, which had been turned down"
            elif ask.number > 0 and act.number != ask.number:
                yield f"{act.process} acted under {act.number} what was told to be {ask.number}"
            for split in self.splits:
                if split.holds(ask) and act.at < split.end - SLACK_S:
                    yield f"{act.process} acted under {act.number}, asked for and in force without a majority"
        for ask in self.asked:
            if ask.number > 0 and ask.holders is not None and ask.holders <= self.voters // 2:
                yield f"{ask.number} was told to be decided, held by {ask.holders} of {self.voters}"
            for split in self.splits:
                if ask.number > 0 and split.holds(ask) and ask.answered < split.end - SLACK_S:
                    yield f"{ask.number} was told to be decided at {ask.answered:.3f}, without a majority"

    def _reachable(self, life: Life, at: float, act: float | None, limit_s: float) -> tuple[float, bool]:
        """From when it could be reached for a limit without a break; whether it was away before that."""
        begin, faulty = max(at, life.begin), at < life.begin
        for gone in sorted(a for a in self.away if a.process == life.process):
            earlier = act is None or act > gone.begin - SLACK_S
            if gone.end > begin and gone.begin - SLACK_S < begin + limit_s and earlier:
                begin, faulty = max(begin, gone.end), True
        return begin, faulty

    def _pairs(self, limit_s: float) -> Iterable[tuple[Life, int, float, float | None, bool]]:
        """Life, number, when it could be reached, when it acted under that or a later one, a fault about.

        What was decided before a life began is asked of it by the last of them alone.
        """
        decided = sorted((number, at) for number, (at, _) in self.decided().items())
        acts: dict[tuple[str, int], list[Acted]] = defaultdict(list)
        for act in sorted(self.acted):
            mine = acts[act.process, act.life]
            if not mine or act.number > mine[-1].number:
                mine.append(act)
        for life in self.lives:
            mine, place = acts[life.process, life.life], 0
            before = [number for number, at in decided if at <= life.begin]
            for number, at in decided:
                if number < max(before, default=0) or at > life.end:
                    continue
                while place < len(mine) and mine[place].number < number:
                    place += 1
                act_at = mine[place].at if place < len(mine) else None
                begin, faulty = self._reachable(life, at, act_at, limit_s)
                faulty = faulty or any(b - SLACK_S <= at <= e + limit_s for b, e in self.faults)
                yield life, number, begin, act_at, faulty

    def delays(self, limit_s: float = LIMIT_S) -> list[Delay]:
        """How long each took, from the decision or, if that is later, from when it could be reached."""
        return [
            Delay(life.process, number, max(0.0, at - begin), faulty)
            for life, number, begin, at, faulty in self._pairs(limit_s)
            if at is not None
        ]

    def _missing(self, limit_s: float) -> Iterable[str]:
        for life, number, begin, at, _ in self._pairs(limit_s):
            if at is None and begin + limit_s < min(self.until, life.end):
                yield f"{life.process} never acted under {number} or later, from {begin:.3f} on"
