"""What a dispatcher remembers: plain records and an agenda of timed tasks. Nothing is decided here."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import islice
from math import gcd, log
from random import Random

from grebestack.core.api import (
    Block,
    JobClass,
    Outcome,
    RequestArrived,
    Settings,
    Tag,
    WorkerEntry,
    WorkerState,
)

REPORT_SHARE = 0.3  # of each report in what the others are taken to have
KEEP_MS = 2000.0  # what the others have at one worker is forgotten within this, about three running times
PROOF_MS = 1500.0  # a good end so long ago, about two running times, speaks for a worker
MOST_LOAD = 16.0  # a weight of the list shows no more requests for each slot than so many
MOST_RATIO = 8.0  # a job that ran so many times as long as hinted says little of the others
REMEMBERED_MS = 1500.0  # a report may show an attempt that ended so long ago


def stable_hash(text: str) -> int:
    """The same number for the same text in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")


def coprime_walk(items: Sequence[WorkerView], start: int, least_step: int) -> Iterator[WorkerView]:
    """Every item once, from `start` on, by a step of at least that size which is co-prime to their number."""
    n = len(items)
    step = next((k for k in range(max(1, least_step), least_step + n + 1) if gcd(k, n) == 1), 1)
    return (items[(start + i * step) % n] for i in range(n))


def distance(key: int, spot: int) -> float:
    """How far a key's jobs belong from a worker: 0 is home, 1 the mean. The same for all dispatchers.

    By rendezvous hashing: where workers come or go, other keys keep their homes.
    """
    mixed = (key ^ spot) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & (1 << 64) - 1
    return -log(((mixed ^ mixed >> 32) + 0.5) / 2.0**64)


class Learned:
    """Means and quantiles of what was seen, each following its samples by a small share."""

    SHARE = 0.02  # of each sample
    FALL = 0.2  # by which a minimum follows a sample below it

    def __init__(self, tick_ms: float, chance: Random) -> None:
        self.tick_ms, self.chance = tick_ms, chance
        self.names: list[str] = []  # of the classes
        self.run_ms: list[float] = []  # running time by class; the aim is the first guess
        self.per_cost: list[float] = []  # running time for each hinted millisecond of work, by class
        self.slots: list[float] = []  # slots by class
        self.worth = 1.0  # of a request
        self.kind_slots: dict[int, float] = {}  # most slots seen at once on one worker of a kind
        self.kind_weight: dict[int, float] = {}  # the highest weight in the list for a kind: its size
        self.others = (0.0, 0.0)  # slots and memory that the other dispatchers have at a worker on the whole
        self.start_ms: dict[bool, float] = {}  # a start at an idle worker, in the own zone or another

    def classes(self, classes: Sequence[JobClass]) -> None:
        """There are these classes now: one that has taken on another meaning is taken to run as it did."""
        for c in classes[len(self.names) :]:
            former = len(self.names) - 1 - self.names[::-1].index(c.name) if c.name in self.names else None
            self.names.append(c.name)
            self.run_ms.append(c.latency_objective_ms if former is None else self.run_ms[former])
            self.per_cost.append(1.0 if former is None else self.per_cost[former])
            self.slots.append(1.0 if former is None else self.slots[former])

    def arrival(self, index: int, slots: float, worth: float) -> None:
        """A request came in."""
        self.worth += self.SHARE * (worth - self.worth)
        self.slots[index] += self.SHARE * (slots - self.slots[index])

    def job_slots(self) -> float:
        """Slots of a job on the whole."""
        return sum(self.slots) / len(self.slots)

    def job_ms(self) -> float:
        """How long a job runs on the whole."""
        return sum(self.run_ms) / len(self.run_ms)

    def cost(self, index: int) -> float:
        """Slot-milliseconds of a job of a class."""
        return self.run_ms[index] * self.slots[index]

    def expects(self, index: int, cost_ms: float | None) -> float:
        """How long a job is taken to run, in milliseconds: by its hint, or as its class does."""
        return self.per_cost[index] * cost_ms if cost_ms else self.run_ms[index]

    def ran(self, index: int, run_ms: float, cost_ms: float | None) -> None:
        """A job ended well after running for so long."""
        self.run_ms[index] += self.SHARE * (run_ms - self.run_ms[index])
        if cost_ms:
            self.per_cost[index] += self.SHARE * (min(MOST_RATIO, run_ms / cost_ms) - self.per_cost[index])

    def share_out(self, views: Sequence[WorkerView], now: float) -> None:
        """Learn what the others have at a worker on the whole, from those that told their load lately."""
        lately = [view for view in views if view.told_ms > now - KEEP_MS]
        if lately:
            slots = sum(view.others for view in lately) / len(lately)
            memory = sum(view.others_memory for view in lately) / len(lately)
            self.others = max(0.0, slots), max(0.0, memory)

    def start(self, own_zone: bool, delay_ms: float) -> None:
        """A job started, or did not, after so long.

        From the first one on about their minimum is followed, as congestion control by delay follows the
        shortest round trip: it guards against patience that grows with the queues until every start looks
        prompt. A first guess of a tick was never corrected where the way alone takes several ticks.
        """
        known = self.start_ms.get(own_zone, delay_ms)
        step = 1 + self.SHARE / 4 if delay_ms > known else 1 - self.FALL
        self.start_ms[own_zone] = max(self.tick_ms, known * step)

    def start_in(self, own_zone: bool) -> float:
        """How soon a job starts at an idle worker, in milliseconds; a tick before anything is known."""
        return self.start_ms.get(own_zone, self.tick_ms)

    def in_work(self, kind: int, slots: float) -> None:
        """So many slots are in work, or reported free, at once on one worker."""
        self.kind_slots[kind] = max(self.kind_slots.get(kind, 1.0), slots)


@dataclass(slots=True, eq=False)
class WorkerView:
    """What this dispatcher knows of one worker."""

    entry: WorkerEntry
    own_zone: bool
    spot: int = field(init=False)  # its place in the hash order that all dispatchers share
    ready: bool = False
    used: float = 0.0  # slots of the attempts that are out
    memory: float = 0.0
    jobs: int = 0
    unstarted: int = 0
    ceiling: float = 1.0  # slots this dispatcher dares to fill
    raise_after: float = 0.0
    full_until: float = 0.0  # a start was overdue or failed: no trial before this
    strikes: int = 0  # such failures in a row
    breaks: int = 0  # connections that broke or never came up, since a job ended well
    broke_ms: float = 0.0  # the first of them
    pace: float = 1.0  # how long jobs take here, against what their class takes everywhere
    failing: dict[int, float] = field(default_factory=dict)  # by class: the share of errors lately
    trial_at: dict[int, float] = field(default_factory=dict)  # by class: no trial of an ill worker before
    trials: int = 0  # such trials in a row
    warm_at: float = 0.0
    cold_next: float = 0.0  # while cold: no send before this
    cold_until: float = 0.0  # and none after this; then another turn is drawn
    free: Mapping[str, float] = field(default_factory=dict)  # the last report
    good_ms: float = 0.0  # when a job ended well here
    told_ms: float = 0.0  # when a report, or the list, last told its load; 0: never
    out: list[Attempt] = field(default_factory=list)  # ours, with those that ended a short while ago
    ours: float = 0.0  # slots of ours at that time
    luck: float = 1.0  # by which a part of a slot is rounded, up to the next word
    apart: float = 0.0  # how far it lies from this dispatcher on the ring, 0 to 0.5
    rivals: float = 0.0  # how many other dispatchers lie nearer, about
    others: float = 0.0  # slots that the other dispatchers had taken there
    others_memory: float = 0.0
    seen_memory: float = 0.0  # most free memory ever reported
    seen_free: float = 1.0  # most free slots ever reported
    kept: dict[int, None] = field(default_factory=dict)  # what jobs of ours needed here, the latest last
    fresh: bool = False  # put back by the operators, and not sent anything since

    def __post_init__(self) -> None:
        self.spot = stable_hash(self.entry.worker)

    def count(self, asked: RequestArrived, sign: int) -> None:
        """Take an attempt into the counts (1) or out of them (-1)."""
        self.jobs += sign
        self.fresh = self.fresh and sign < 0
        self.used += sign * asked.slots
        self.memory += sign * asked.memory

    def keep(self, key: int, most: int) -> None:
        """A job that needs this goes here: what was not needed for longest makes room for it."""
        self.kept.pop(key, None)
        self.kept[key] = None
        while len(self.kept) > most:
            del self.kept[next(iter(self.kept))]

    def relist(self, entry: WorkerEntry) -> bool:
        """Take over the list's line; tells whether it changes who may be sent to."""
        was = (self.ready, self.entry.started_ms)
        self.entry, self.ready = entry, entry.state is WorkerState.READY
        self.fresh = self.fresh or entry.put_back
        if self.ready and not was[0]:
            # It was left out and is put back: what was held against it was of before, and with little traffic
            # nothing would ever show otherwise.
            self.strikes, self.full_until, self.breaks, self.trials = 0, 0.0, 0, 0
            self.failing, self.trial_at, self.ceiling = {}, {}, max(1.0, self.ceiling)
        return was != (self.ready, entry.started_ms)

    def may_have_room(self, now: float) -> bool:
        """Whether it is worth looking for a job: below its ceiling, or due for a trial."""
        return self.used < self.ceiling or (self.unstarted == 0 and now >= self.full_until)

    def proven(self, now: float) -> bool:
        """Whether a job ended well here lately.

        Guards orders, which an error ends for good, against a worker that has turned bad unmet: each of many
        dispatchers would lose one to find it out, where a repeatable job can go on elsewhere.
        """
        return self.good_ms > now - PROOF_MS

    def ran(self, ratio: float, share: float) -> None:
        """A job ended well and took so many times as long as its class takes."""
        self.pace += share * (ratio - self.pace)

    def age(self, now: float, most: float) -> None:
        """Count those that are out as well: on a worker that hangs none ends, and none would be counted."""
        ratios = sorted((now - a.sent_ms) / a.expected_ms for a in self.out if a.outcome is None)
        if len(ratios) > 1:
            self.pace = max(self.pace, min(most, ratios[len(ratios) // 2]))

    def erred(self, index: int, share: float) -> None:
        """A job of a class ended well (0) or in an error."""
        known = self.failing.get(index, 0.0)
        self.failing[index] = known + share * (1.0 - known) if share else known / 2

    def note_report(
        self, report: Mapping[str, float], fields: frozenset[str], now: float, lag_ms: float, learned: Learned
    ) -> None:
        """Keep a load report that tells free slots, where the settings list that field.

        What it shows beyond our own attempts of that time is what the other dispatchers have there.
        """
        if "free_slots" in report and "free_slots" in fields:
            self.free = {name: value for name, value in report.items() if name in fields}
            self.seen_free = max(self.seen_free, self.free["free_slots"])
            self.seen_memory = max(self.seen_memory, self.free.get("free_memory", 0.0))
            slots = self.seen_free - self.free["free_slots"]
            if slots >= self.seen_free - 1.0:  # full: what waits there counts as well
                slots = max(slots, self.free.get("active", 0.0) * learned.job_slots())
            memory = self.seen_memory - self.free.get("free_memory", self.seen_memory)
            self._told(slots, memory, now, lag_ms, learned)
            # Guards a cold worker's budget from counting a single slot for ever.
            learned.in_work(self.entry.kind, self.seen_free)
        self.out = [a for a in self.out if a.ended_ms > now - REMEMBERED_MS]

    def note_weight(self, now: float, lag_ms: float, learned: Learned) -> None:
        """Keep what a weight of the list tells that falls the more requests a worker holds.

        Such a weight is its size divided by 1 + what it holds for each of its slots. It is the only word of
        the workers that this dispatcher seldom meets, and the same for all dispatchers.
        """
        if not 0.0 < self.entry.weight < float("inf"):
            return
        size = learned.kind_weight[self.entry.kind] = max(
            learned.kind_weight.get(self.entry.kind, 0.0), self.entry.weight
        )
        slots = learned.kind_slots.get(self.entry.kind)
        if slots is None:  # guards a restarted dispatcher from taking every worker for one of a single slot
            return
        self.seen_free = max(self.seen_free, slots)
        load = min(MOST_LOAD, size / self.entry.weight - 1.0)
        self._told(load * slots * learned.job_slots(), None, now, lag_ms, learned)

    def _told(self, slots: float, memory: float | None, now: float, lag_ms: float, learned: Learned) -> None:
        then = now - lag_ms
        shown = [a for a in self.out if a.sent_ms <= then < a.ended_ms]
        self.ours = sum(a.slots for a in shown)
        # Guards against jobs of ours that ended meanwhile and would pass for the others': what is over or
        # under is evened out over some words before it counts, for a single one is old and noisy; the more so
        # the less time lies between them.
        part = self._fresh(now)
        share = max(REPORT_SHARE, 1.0 - part) if self.told_ms else 1.0
        self.others, self.others_memory = self.others_now(now, learned)
        self.others += share * (slots - self.ours - self.others)
        if memory is not None:
            self.others_memory += share * (memory - sum(a.memory for a in shown) - self.others_memory)
        self.luck, self.told_ms = learned.chance.random(), now

    def _fresh(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.told_ms) / KEEP_MS)

    def others_now(self, now: float, learned: Learned) -> tuple[float, float]:
        part, (slots, memory) = self._fresh(now), learned.others
        return part * self.others + (1.0 - part) * slots, part * self.others_memory + (1.0 - part) * memory

    def stand(self, apart: float, dispatcher_count: int, zones: int) -> None:
        """Note how far from this dispatcher's place on the ring it lies, and how many others lie nearer."""
        self.apart = min(apart, 1.0 - apart)
        near = (dispatcher_count - 1) / max(1, zones)
        far = near + 2.0 * self.apart * (dispatcher_count - 1 - near)
        self.rivals = 2.0 * self.apart * near if self.own_zone else far

    def claim(self, slots: float, asked: float, now: float, learned: Learned) -> float:
        """So many of its slots are ours to fill: what we had when its load was told, and a part of its room.

        What is known of the others turns into what they have at workers on the whole as it ages. It must not
        fade to nothing: each of many dispatchers meets a worker seldom, and all would find room at a full
        one. Nor may it stay: a worker that showed itself full once would never be met and report again.

        All dispatchers see the same room, late. So each claims its part, the larger the fewer others lie
        nearer, rounded at random; and where more is held than fits, each gives up its part of what is over.
        """
        others = max(0.0, self.others_now(now, learned)[0])
        room = slots - self.ours - others
        if room <= 0.0:
            return self.ours * slots / (self.ours + others) + self.luck * asked
        rivals = 0.0 if self.warm_at > now else self.rivals  # a cold worker's turns are shared out already
        return self.ours + min(room, room / (1.0 + rivals) + self.luck * asked)


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request; without an outcome it may still be running."""

    worker: WorkerView
    sent_ms: float
    slots: float = 1.0
    memory: float = 0.0
    expected_ms: float = 1.0  # what its class takes
    started_ms: float | None = None
    outcome: Outcome | None = None
    ended_ms: float = float("inf")
    cancelled: bool = False


OrderKey = tuple[int, int, int | None, int | None]  # block number, kind, and the zone and cell bound to
Level = tuple[int, bool, bool, bool]  # a queue of held requests: class, over its tenant's share, late, aged


@dataclass(slots=True, eq=False)
class Request:
    """One request and its attempts."""

    asked: RequestArrived
    job_class: JobClass
    arrived_ms: float
    level: Level
    most_attempts: int  # as the settings allowed when it came
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    held: bool = False

    @property
    def keyed(self) -> bool:
        """Whether it needs something that a worker may keep; 0 is a key like any other."""
        return self.asked.key is not None

    def work(self, settings: Settings) -> float:
        """What its class's worth is counted by: the hinted milliseconds of work, or 1 for each request."""
        return (settings.weight_by_work and self.asked.cost_ms) or 1.0

    def out(self) -> list[Attempt]:
        """Attempts still waited for."""
        return [a for a in self.attempts if a.outcome is None and not a.cancelled]

    def out_at(self, view: WorkerView) -> bool:
        """Whether an attempt may still be running at that worker."""
        return any(a.worker is view and a.outcome is None for a in self.attempts)

    def may_have_run(self) -> list[Attempt]:
        """Attempts not proven never to have run."""
        return [a for a in self.attempts if a.outcome is None or not a.outcome.never_ran]


class Ledger(dict[int, Request]):
    """The requests that are unanswered or have attempts out, by number."""

    def find(self, number: int, index: int) -> tuple[Request, Attempt] | tuple[None, None]:
        """A request and its attempt, as long as that attempt is out."""
        request = self.get(number)
        if request is None or not 0 <= index < len(request.attempts):
            return None, None
        attempt = request.attempts[index]
        return (request, attempt) if attempt.outcome is None else (None, None)


class ResolvedScript:
    """A script made ready: by class the numbers of the blocks to try, followup included."""

    def __init__(self, script: Mapping[str, Tag], classes: Sequence[JobClass]) -> None:
        default = script.get("default")
        tags = [script.get(job_class.name) or script["default"] for job_class in classes]
        after = default.blocks if default is not None else ()
        paths = [tag.blocks + (after if tag.followup == "default" else ()) for tag in tags]
        self.blocks = list(dict.fromkeys(block for path in paths for block in path))
        self.paths = [[self.blocks.index(block) for block in path] for path in paths]
        self.refuses = [tag.followup == "fail" and tag is not default for tag in tags]


def middle(values: Iterable[float]) -> float:
    """The lower median; 0 of nothing."""
    ordered = sorted(values) or [0.0]
    return ordered[(len(ordered) - 1) // 2]


def members(
    workers: Mapping[str, WorkerView], block: Block, kind: int, zone: int | None, cell: int | None
) -> list[WorkerView]:
    """The workers of a block, in its order, that are of a kind and in a zone and cell, where asked for."""
    named = list(workers) if block.workers == ("*",) else block.workers
    return [
        view
        for view in (workers[name] for name in named if name in workers)
        if kind in (-1, view.entry.kind)
        and zone in (None, view.entry.zone)
        and cell in (None, view.entry.cell)
        and block.holds(view.entry.worker, view.own_zone)
    ]


class HeldRequests:
    """Held requests by level, first come first; what was sent, ended or changed its level is passed over."""

    def __init__(self) -> None:
        self.queues: dict[Level, deque[Request]] = {}
        self.levels: list[Level] = []  # in the order in which they are served

    def add(self, request: Request) -> None:
        """Put a request at the end of its level."""
        request.held = True
        if request.level not in self.queues:
            self.queues[request.level] = deque()
            self.levels.insert(0 if request.level[3] else len(self.levels), request.level)
        self.queues[request.level].append(request)

    def heads(self, level: Level, most: int) -> list[Request]:
        """The first few requests of a level."""
        queue = self.queues.get(level, deque())
        while queue and not (queue[0].held and queue[0].level == level):
            queue.popleft()
        return [r for r in islice(queue, most) if r.held and r.level == level]

    def count(self) -> int:
        """How many are held, about: some of them may have ended since."""
        return sum(len(queue) for queue in self.queues.values())

    def any(self) -> bool:
        """Whether any request is held."""
        return any(self.heads(level, 1) for level in self.levels)


class TokenBucket:
    """Tells which part of a stream lies within a rate; holds tokens for two seconds."""

    def __init__(self) -> None:
        self.tokens, self.at_ms = 1.0, 0.0

    def take(self, now_ms: float, rate_per_s: float) -> bool:
        """Take one token, if there is one."""
        refill = rate_per_s * (now_ms - self.at_ms) / 1000.0
        self.tokens, self.at_ms = min(max(1.0, 2.0 * rate_per_s), self.tokens + refill), now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Agenda:
    """Timed tasks, some of which lapse: with their request's end, or with their attempt's start or end."""

    def __init__(self) -> None:
        self.tasks: list[tuple[float, int, Callable[..., None], Request | None, Attempt | None]] = []
        self.count = 0
        self.asked_ms = float("inf")  # when the newest timer is due, while it is out
        self.token = 0  # its token

    def add(
        self,
        at_ms: float,
        task: Callable[..., None],
        request: Request | None = None,
        attempt: Attempt | None = None,
    ) -> None:
        """Have a task done at a time; it is called with the request and the attempt that were given."""
        self.count += 1
        heapq.heappush(self.tasks, (at_ms, self.count, task, request, attempt))

    @staticmethod
    def _lapsed(request: Request | None, attempt: Attempt | None) -> bool:
        if attempt is not None:
            return attempt.started_ms is not None or attempt.outcome is not None or attempt.cancelled
        return request is not None and request.closed

    def run(self, now_ms: float, token: int) -> None:
        """A timer has fired: do what is due. Only the newest asks for a next one, lest timers breed timers.

        Guards deadlines after a long turn: an older timer may fire before a newer one, and both are due.
        """
        if token == self.token:
            self.asked_ms = float("inf")
        while self.tasks and self.tasks[0][0] <= now_ms:
            _, _, task, request, attempt = heapq.heappop(self.tasks)
            if request is None:
                task()
            elif not self._lapsed(request, attempt):
                task(*(part for part in (request, attempt) if part is not None))

    def timer_needed(self) -> float | None:
        """When the next timer must fire, if an earlier one than the one that is out is wanted."""
        while self.tasks and self._lapsed(*self.tasks[0][3:]):
            heapq.heappop(self.tasks)
        if not self.tasks or self.tasks[0][0] >= self.asked_ms:
            return None
        self.asked_ms = self.tasks[0][0]
        self.token += 1
        return self.asked_ms
