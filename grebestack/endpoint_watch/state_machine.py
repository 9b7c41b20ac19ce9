"""The life of the watches of one source of the list: events in, actions out, time as an argument. Pure.

The rule behind it: what the source has for longer than the protocol allows is in the server table. Where
lists are pushed, an agent on the dispatcher's own machine answers at once and at no cost, and what it has
counts as told from then on, whether or not a watch is open; only the grace of a drain is left, so that there
is always a question out that the agent can answer. Where lists are asked for, all dispatchers ask one
discovery, which bears only so much, and what it has counts as told some seconds later: calls are spread over
the fleet.

All times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

LINE_MS = 2000.0  # the page: as long as nothing changes, an empty line comes so often
LATE_MS = 600.0  # a line may be so late: two round trips of a slow link, and a busy machine
SILENCE_MS = LINE_MS + LATE_MS
# The page: a change counts as told so long after the source had it and could be reached, whatever became of
# calls before; what a silent watch misses, so long after it fell silent.
TOLD_MS = 6000.0
CONNECT_MS = 1000.0  # a connection that comes up later than this never does
# Asked for: a call that failed may have missed the source by a moment, so that the next one is out so long
# after it at the latest: a slow connection, and a late machine or answer, have their part of the time above.
OUT_MS = TOLD_MS - CONNECT_MS - LATE_MS
# Asked for: beside a watch that fell silent, halved, so that a machine that is late has its part.
ASIDE_MS = (TOLD_MS - SILENCE_MS - CONNECT_MS) / 2.0
# Asked for: after an end, in a fleet of few, and for each dispatcher of many: all of them together ask some
# 13 times a second, where OUT_MS leaves room for it.
AGAIN_MS = 250.0
AGAIN_EACH_MS = 75.0
AGAIN_MOST_MS = 3000.0
DOUBLINGS = 2
# Pushed: a part of the grace of drains, since a list that comes just after a question was lost waits for the
# next one; never under what some turns of a loop take.
GRACE_PART = 1.0 / 3.0
SOON_LEAST_MS, SOON_MOST_MS = 20.0, 200.0
MOST_TRIES = 3  # questions out at a time beside a watch that fell silent: the oldest and the newest two


class Stage(Enum):
    """Where the watch is in its life."""

    NEW = "new"
    CONNECTING = "connecting"  # a question is out, and nothing has ever answered one
    OPEN = "open"  # lines come
    SILENT = "silent"  # a line is overdue: others are tried beside it
    BROKEN = "broken"  # it has ended: others are tried in its place
    MOVING = "moving"  # another address is watched: what is open is heard, nothing new is opened
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings say of lists."""

    pushed: bool = True  # an agent of the dispatcher's own has them; else they are asked for
    grace_ms: float = 250.0  # a server may still be sent work so long after its drain was told
    dispatcher_count: int = 1  # dispatchers of the fleet

    @property
    def soon_ms(self) -> float:
        """Pushed: how long the agent may have a list before the next question."""
        return min(SOON_MOST_MS, max(SOON_LEAST_MS, self.grace_ms * GRACE_PART))

    @property
    def pause_ms(self) -> float:
        """Asked for: the pause after a first end."""
        return min(AGAIN_MOST_MS, max(AGAIN_MS, AGAIN_EACH_MS * self.dispatcher_count))


@dataclass(frozen=True, slots=True)
class Begun:
    """The first question may go."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A line has come on a watch, be it empty."""

    number: int


@dataclass(frozen=True, slots=True)
class Garbled:
    """What a watch said can't be read: changes may be lost, and the whole list is wanted."""

    number: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A watch is closed, or never came up."""

    number: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Moved:
    """Another address is watched from now on."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing is watched any more."""


Event = Begun | Heard | Garbled | Ended | Tick | Moved | Stopped


@dataclass(frozen=True, slots=True)
class Open:
    """Ask: open a connection and a watch on it."""

    number: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close a watch; nothing more is heard of it."""

    number: int


@dataclass(frozen=True, slots=True)
class Wake:
    """Tick at this time; an earlier one takes its place."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Now:
    """The stage has changed."""

    stage: Stage


Action = Open | Close | Wake | Now


@dataclass(slots=True)
class Try:
    """One watch."""

    number: int
    since_ms: float  # when it was asked for, or spoke last


@dataclass(slots=True)
class Life:
    """Decides. `draw` gives a number from 0 to 1 for what is spread over a fleet."""

    terms: Terms
    draw: Callable[[], float]
    stage: Stage = Stage.NEW
    last: int = 0
    speaker: Try | None = None  # the one that speaks
    former: Try | None = None  # the one that spoke and fell silent: it may go on
    tries: list[Try] = field(default_factory=list)  # those that have not spoken yet, the oldest first
    next_ms: float | None = None  # when another one is opened
    failures: int = 0  # watches in a row that ended without a word

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take an event; returns what is to be done, in order."""
        if self.stage is Stage.STOPPED:
            return []
        match event:
            case Begun():
                actions = self._open(now_ms) if self.stage is Stage.NEW else []
            case Heard(number):
                actions = self._heard(now_ms, number)
            case Garbled(number):
                actions = [Close(number), *self._ended(now_ms, number, True)] if self._find(number) else []
            case Ended(number):
                actions = self._ended(now_ms, number, False) if self._find(number) else []
            case Tick():
                actions = self._tick(now_ms)
            case Moved():
                self.next_ms = None
                actions = [*self._close(self.tries), *self._go_on(Stage.MOVING)]
            case Stopped():
                one = [t for t in (self.speaker, self.former) if t is not None]
                actions = [*self._close(one), *self._close(self.tries), *self._go_on(Stage.STOPPED)]
        due = None if isinstance(event, Stopped) else self._due()
        if due is not None:
            actions.append(Wake(due))
        return actions

    def _go_on(self, stage: Stage) -> list[Action]:
        if stage is self.stage:
            return []
        self.stage = stage
        return [Now(stage)]

    def _find(self, number: int) -> bool:
        one = (*self.tries, self.speaker, self.former)
        return any(t is not None and t.number == number for t in one)

    @staticmethod
    def _close(those: list[Try]) -> list[Action]:
        numbers = [t.number for t in those]
        those.clear()
        return [Close(number) for number in numbers]

    def _due(self) -> float | None:
        at = [] if self.next_ms is None else [self.next_ms]
        if self.speaker is not None:
            at.append(self.speaker.since_ms + SILENCE_MS)
        if self.tries:
            at.append(self.tries[0].since_ms + SILENCE_MS)
        if self.former is not None:
            at.append(self.former.since_ms + SILENCE_MS + TOLD_MS)
        return min(at, default=None)

    def _pause(self, now_ms: float, since_ms: float, least_ms: float = 0.0) -> float:
        """Until the next question, after one that has brought nothing since then."""
        if self.terms.pushed:
            return max(least_ms, self.terms.soon_ms)
        # Guards discovery against all dispatchers of a fleet that was restarted: at one fixed pause they
        # come back together, and more often than it can answer, so that none of them gets a list.
        pause = min(AGAIN_MOST_MS, self.terms.pause_ms * 2.0 ** min(self.failures, DOUBLINGS))
        left_ms = since_ms + OUT_MS - now_ms
        if 1.5 * pause > left_ms:  # spread over what is left, and none too late
            return max(0.0, least_ms, left_ms * (1.0 - 0.5 * self.draw()))
        return max(least_ms, pause * (0.5 + self.draw()))

    def _open(self, now_ms: float) -> list[Action]:
        """One more question; where lists are pushed, another follows soon unless this one is answered."""
        actions: list[Action] = []
        while len(self.tries) >= MOST_TRIES:
            actions.append(Close(self.tries.pop(1).number))
        self.last += 1
        self.tries.append(Try(self.last, now_ms))
        self.next_ms = now_ms + self.terms.soon_ms if self.terms.pushed else None
        if self.stage is Stage.NEW:
            actions += self._go_on(Stage.CONNECTING)
        return [*actions, Open(self.last)]

    def _heard(self, now_ms: float, number: int) -> list[Action]:
        if self.speaker is None or self.speaker.number != number:
            found = [t for t in (*self.tries, self.former) if t is not None and t.number == number]
            if not found:
                return []
            # Whoever speaks first is heard alone: of two, an older list could come after a newer one.
            others = [t for t in (*self.tries, self.former, self.speaker) if t not in (None, found[0])]
            self.speaker, self.former, self.tries = found[0], None, []
            actions = self._close([t for t in others if t is not None])
        else:
            actions = []
        self.speaker.since_ms = now_ms
        self.failures = 0
        if self.stage is Stage.MOVING:
            return actions
        self.next_ms = None
        return [*actions, *self._go_on(Stage.OPEN)]

    def _ended(self, now_ms: float, number: int, garbled: bool) -> list[Action]:
        spoke = self.speaker is not None and self.speaker.number == number
        # It may have missed what the source got just after it was asked, or spoke last.
        one = (*self.tries, self.speaker)
        since_ms = min((t.since_ms for t in one if t is not None and t.number == number), default=now_ms)
        if spoke:
            self.speaker = None
        elif self.former is not None and self.former.number == number:
            self.former = None
            return []  # others are tried already
        self.tries = [t for t in self.tries if t.number != number]
        if self.stage is Stage.MOVING:
            return []
        if not spoke and self.speaker is not None:
            return []
        # Guards the processor against a source whose every list is long and can't be read.
        least_ms = min(SILENCE_MS, self.terms.soon_ms * 2.0 ** min(self.failures, 6)) if garbled else 0.0
        pause_ms = self._pause(now_ms, since_ms, least_ms)
        self.failures += 1
        if garbled or self.next_ms is None or now_ms + pause_ms < self.next_ms:
            self.next_ms = now_ms + pause_ms
        return self._go_on(Stage.BROKEN) if spoke or self.stage is Stage.CONNECTING else []

    def _tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        if self.former is not None and now_ms >= self.former.since_ms + SILENCE_MS + TOLD_MS:
            actions += self._close([self.former])
            self.former = None
        if self.speaker is not None and now_ms >= self.speaker.since_ms + SILENCE_MS:
            # Guards against a watch that stays open while its source is dead or cut off: drains would go
            # unheard. It is kept beside the others, since it may be the first to go on.
            self.former, self.speaker = self.speaker, None
            if self.stage is not Stage.MOVING:
                self.next_ms = now_ms + (0.0 if self.terms.pushed else ASIDE_MS * self.draw())
                actions += self._go_on(Stage.SILENT)
        while self.tries and now_ms >= self.tries[0].since_ms + SILENCE_MS:
            given_up = self.tries.pop(0)
            actions.append(Close(given_up.number))
            if self.next_ms is None:
                self.next_ms = now_ms + self._pause(now_ms, given_up.since_ms)
                self.failures += 1
        if self.next_ms is not None and now_ms >= self.next_ms:
            actions += self._open(now_ms)
        return actions
