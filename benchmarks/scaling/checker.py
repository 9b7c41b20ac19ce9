"""Checks a scale run's history against the rules for distributing configuration versions.

All times are seconds of the machine's clock. A process itself reports only which contents it applied when.
That a version was decided is known from the answer to the change; outages are recorded by the code that
sends the signals and cuts the links.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_DELAY_S = 9.0
CLOCK_SLACK_S = 0.25  # between a fault (a signal, a cut link) and the clock reading that records it
VIOLATION_KINDS = ("back", "half", "majority", "late", "missing")


class AppliedVersion(NamedTuple):
    """From time `at` on, a process uses these contents."""

    at: float
    process: str
    incarnation: int
    number: int
    digest: str  # of the contents; computed by the benchmark where it has the bytes
    complete: bool = True  # the contents begin and end with the same mark


class ConfigChange(NamedTuple):
    """A configuration change that was requested at a voter's admin server."""

    at: float
    digest: str
    answered_at: float
    number: int  # from the answer; 0: rejected, another change won; -1: unknown
    voter: str = ""  # the voter that was asked
    holders: int | None = None  # voters that store its contents, by the answer; None: not reported


class Incarnation(NamedTuple):
    """One run of a process, from its start to its end."""

    process: str
    incarnation: int
    begin: float
    end: float = math.inf
    persistent: bool = True  # keeps the applied version over a restart


class Outage(NamedTuple):
    """A process is unreachable: killed, paused, or cut off from the majority."""

    process: str
    begin: float
    end: float


class MajorityLoss(NamedTuple):
    """A time in which voters, all or some, reach no majority and so decide nothing."""

    begin: float
    end: float
    cut_off_voters: tuple[str, ...] = ()  # empty: all of them, there is no majority anywhere

    def covers(self, change: ConfigChange) -> bool:
        """Whether a change was requested during the loss, at a voter that it affects."""
        return self.begin + CLOCK_SLACK_S < change.at < self.end and (
            not self.cut_off_voters or change.voter in self.cut_off_voters
        )


class Delay(NamedTuple):
    """Time from a decided change to its application by one process, without the process's outages."""

    process: str
    number: int
    seconds: float
    faulty: bool  # the process started or had an outage meanwhile, or a fault was active


@dataclass
class History:
    """What was observed of a run, and the checks on it."""

    incarnations: list[Incarnation]
    observed_until: float  # when the observation ended
    applied: list[AppliedVersion] = field(default_factory=list)
    changes: list[ConfigChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    majority_losses: list[MajorityLoss] = field(default_factory=list)
    faults: list[tuple[float, float]] = field(default_factory=list)  # begin and end of each injected fault
    voter_count: int = 5

    def violations(self, limit_s: float = MAX_DELAY_S) -> dict[str, list[str]]:
        """Return the descriptions of all violations by kind."""
        return {
            "back": list(self._regressions()),
            "half": list(self._incomplete()),
            "majority": list(self._without_majority()),
            "late": [f"{d}" for d in self.delays(limit_s) if d.seconds > limit_s],
            "missing": list(self._missing(limit_s)),
        }

    def decided(self) -> dict[int, tuple[float, str]]:
        """Return the latest possible decision time and the digest of each decided version.

        The time is that of the answer to the change or of the first application, whichever came first.
        """
        found: dict[int, tuple[float, str]] = {}
        seen = [(a.answered_at, a.number, a.digest) for a in self.changes if a.number > 0]
        seen += [(a.at, a.number, a.digest) for a in self.applied if a.number > 0]
        for at, number, digest in sorted(seen):
            found.setdefault(number, (at, digest))
        return found

    def _regressions(self) -> Iterable[str]:
        highest: dict[tuple[str, int], AppliedVersion] = {}
        diskless = {incarnation.process for incarnation in self.incarnations if not incarnation.persistent}
        for applied in sorted(self.applied, key=lambda a: (a.at, a.number)):
            key = (applied.process, applied.incarnation if applied.process in diskless else 0)
            previous = highest.get(key)
            if previous is not None and applied.number < previous.number:
                yield (
                    f"{applied.process} went back from version {previous.number} to {applied.number} "
                    f"at {applied.at:.3f}"
                )
            else:
                highest[key] = applied

    def _incomplete(self) -> Iterable[str]:
        known = {change.digest for change in self.changes}
        for applied in self.applied:
            if not applied.complete:
                yield f"{applied.process} applied version {applied.number} incompletely at {applied.at:.3f}"
            elif applied.number > 0 and applied.digest not in known:
                yield (
                    f"{applied.process} applied {applied.digest[:12]} as version {applied.number}, "
                    f"which nobody requested"
                )

    def _without_majority(self) -> Iterable[str]:
        first_by_number: dict[int, AppliedVersion] = {}
        applications = sorted(self.applied)
        for applied in applications:
            if (
                applied.number > 0
                and first_by_number.setdefault(applied.number, applied).digest != applied.digest
            ):
                yield f"two versions {applied.number}: {first_by_number[applied.number]} and {applied}"
        by_digest: dict[str, AppliedVersion] = {}
        for applied in applications:
            by_digest.setdefault(applied.digest, applied)
        first_answered: dict[int, ConfigChange] = {}
        for change in self.changes:
            if change.number > 0 and first_answered.setdefault(change.number, change).digest != change.digest:
                yield (
                    f"two changes were answered with number {change.number}: "
                    f"{first_answered[change.number]} and {change}"
                )
            if (found := by_digest.get(change.digest)) is None:
                continue
            applied = found
            if applied.at < change.at - CLOCK_SLACK_S:
                yield (
                    f"{applied.process} applied version {applied.number} before it was requested, "
                    f"at {applied.at:.3f}"
                )
            if change.number == 0:
                yield f"{applied.process} applied version {applied.number}, which had been rejected"
            elif change.number > 0 and applied.number != change.number:
                yield f"{applied.process} applied as {applied.number} what was answered as {change.number}"
            for loss in self.majority_losses:
                if loss.covers(change) and applied.at < loss.end - CLOCK_SLACK_S:
                    yield (
                        f"{applied.process} applied version {applied.number}, "
                        f"which was requested and applied without a majority"
                    )
        for change in self.changes:
            if change.number > 0 and change.holders is not None and change.holders <= self.voter_count // 2:
                yield (
                    f"version {change.number} was answered as decided, but stored by only "
                    f"{change.holders} of {self.voter_count} voters"
                )
            for loss in self.majority_losses:
                if (
                    change.number > 0
                    and loss.covers(change)
                    and change.answered_at < loss.end - CLOCK_SLACK_S
                ):
                    yield (
                        f"version {change.number} was answered as decided at {change.answered_at:.3f}, "
                        f"without a majority"
                    )

    def _reachable(
        self, incarnation: Incarnation, at: float, applied_at: float | None, limit_s: float
    ) -> tuple[float, bool]:
        """Return the start of the first `limit_s` without an outage, and whether there was one before."""
        begin, faulty = max(at, incarnation.begin), at < incarnation.begin
        for outage in sorted(a for a in self.outages if a.process == incarnation.process):
            outage_came_first = applied_at is None or applied_at > outage.begin - CLOCK_SLACK_S
            if outage.end > begin and outage.begin - CLOCK_SLACK_S < begin + limit_s and outage_came_first:
                begin, faulty = max(begin, outage.end), True
        return begin, faulty

    def _expected_applications(
        self, limit_s: float
    ) -> Iterable[tuple[Incarnation, int, float, float | None, bool]]:
        """Yield incarnation, version number, reachable from, time of application, whether a fault was active.

        Applying a later version counts too. Of the versions decided before an incarnation began, only the
        last one is expected of it.
        """
        decided = sorted((number, at) for number, (at, _) in self.decided().items())
        applications: dict[tuple[str, int], list[AppliedVersion]] = defaultdict(list)
        for applied in sorted(self.applied):
            own_applications = applications[applied.process, applied.incarnation]
            if not own_applications or applied.number > own_applications[-1].number:
                own_applications.append(applied)
        for incarnation in self.incarnations:
            own_applications, next_index = applications[incarnation.process, incarnation.incarnation], 0
            before = [number for number, at in decided if at <= incarnation.begin]
            for number, at in decided:
                if number < max(before, default=0) or at > incarnation.end:
                    continue
                while next_index < len(own_applications) and own_applications[next_index].number < number:
                    next_index += 1
                applied_at = own_applications[next_index].at if next_index < len(own_applications) else None
                begin, faulty = self._reachable(incarnation, at, applied_at, limit_s)
                faulty = faulty or any(b - CLOCK_SLACK_S <= at <= e + limit_s for b, e in self.faults)
                yield incarnation, number, begin, applied_at, faulty

    def delays(self, limit_s: float = MAX_DELAY_S) -> list[Delay]:
        """Return all delays, each from the decision or, if later, from when the process could be reached."""
        return [
            Delay(incarnation.process, number, max(0.0, at - begin), faulty)
            for incarnation, number, begin, at, faulty in self._expected_applications(limit_s)
            if at is not None
        ]

    def _missing(self, limit_s: float) -> Iterable[str]:
        for incarnation, number, begin, at, _ in self._expected_applications(limit_s):
            if at is None and begin + limit_s < min(self.observed_until, incarnation.end):
                yield f"{incarnation.process} never applied {number} or later, reachable since {begin:.3f}"
