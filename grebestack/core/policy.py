"""All decisions of one dispatcher, by Allocation Priority Policies (APP; De Palma et al.).

What goes in and out is in `interface.py`. Nothing here does input or output or reads a clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from grebestack.core import api, state
from grebestack.core.api import Block, Effect, Group, ListKind, Outcome, Tag
from grebestack.core.state import Attempt, Level, OrderKey, Request, WorkerView

# Every constant of the module. None is a size or speed of any site; what a site is like is learned.
PATIENCE, PATIENCE_CAP = 3.0, 0.25  # overdue: after so many prompt starts (and two ticks), or this of the aim
SCAN_MS = 20.0  # held requests look over all workers again after this, if no attempt of ours ended
RANK_MS = 1000.0  # the queue's order is renewed after this, never per request
RAISE_MS = 2000.0  # after an overdue start the worker's ceiling stays for about this long
MAX_DOUBLINGS = 5  # back-offs double at most this often
COLD_CHANCE = 2.5  # a cold worker's budget, of all dispatchers together, holds against so many deviations
COLD_LASTS = 2.0  # a turn there lasts for so many deviations of the budget's window: as many come late
RING_STEP = 0.618034  # golden ratio: any run of dispatcher numbers spreads evenly over the ring
REPORT_LAG_MS = 500.0  # a load report shows a worker as it was about so long before it came
CRASH_BREAKS = 2  # so many broken connections without one good end between them mean a crash
PACE_SHARE, PACE_MOST = 0.2, 4.0  # of each job in its worker's pace; a job counts no slower: it may be heavy
SLUGGISH, SLOW = 1.5, 2.5  # a worker so much slower than is typical comes later with fewer jobs; only trials
TRIAL = 4.0  # an ill worker's next trial comes after so many running times, doubled each time
ERROR_SHARE = 0.3  # of each error in its worker's share of them
AHEAD = 0.5  # of its class's aim a job may wait at a worker: word of a free slot comes too late to fill it
FAILING = 0.1  # a class fails at a worker whose share is above this and one and a half times the typical
LOOK = 64  # held requests of a level among which a slot looks for the one that it earns most with
REGAIN, YIELD, LET_IN, PROBE_MS = 1.15, 0.5, 0.05, 1e3  # let in: prompt start, moved in vain; least, or one
KEEP, FETCH = 4, 16.0  # keys of ours that a worker is taken to keep; a fetch far from home, in running times
SCAN_MOST, SCAN_HEADS = 6, 3  # a scan: workers that look for their best job, held requests tried of a level


def built_in_script(settings: api.Settings) -> dict[str, Tag]:
    """Every class: best_first over its own zone, then over the others, then the default tag (platform)."""
    rule = "capacity_used" if "free_slots" in settings.report_fields else "max_concurrent_invocations"
    blocks = tuple(Block(invalidate=rule, place=p) for p in ("own", "other"))
    spill = tuple(Block(strategy="platform", invalidate="overload", place=p) for p in ("own", "other"))
    return {c.name: Tag(blocks) for c in settings.classes} | {"default": Tag(spill, followup="fail")}


def refusable(request: Request) -> bool:
    """Rule 2: a refusal says that trying again is harmless."""
    effect, everywhere = request.job_class.effect, request.job_class.group is Group.ALL
    return (
        effect is Effect.IDEMPOTENT
        or (effect is Effect.IDEMPOTENT_WITH_KEY and everywhere)
        or not request.may_have_run()
    )


def sendable(request: Request, now: float, settings: api.Settings) -> bool:
    """Rules 1 and 2, without regard to the worker; a tick's margin keeps clear of the limits."""
    now += settings.tick_ms
    most = min(request.most_attempts, settings.max_attempts)
    copy = not settings.hedging_enabled and any(a.outcome is None for a in request.attempts)
    over = request.closed or copy or len(request.attempts) >= most or now >= request.asked.deadline_ms
    harmless = request.job_class.effect is not Effect.NOT_IDEMPOTENT or not request.may_have_run()
    return harmless and not over and now <= send_by(request)


def send_by(request: Request) -> float:
    """Rule 2: when the first byte of a keyed repeat goes at the latest; it may wait for a connection."""
    ran = request.job_class.effect is Effect.IDEMPOTENT_WITH_KEY and request.may_have_run()
    return ran[0].sent_ms + request.job_class.retry_window_ms if ran else math.inf


def repeat_group(request: Request) -> tuple[int | None, int | None]:
    """Rule 2: the zone and cell that a keyed request is bound to once it may have run; None: free."""
    group, ran = request.job_class.group, request.may_have_run()
    if not ran or request.job_class.effect is not Effect.IDEMPOTENT_WITH_KEY or group is Group.ALL:
        return None, None
    return ran[0].worker.entry.zone, ran[0].worker.entry.cell if group is Group.CELL else None


class Policy:
    """The decisions of one dispatcher: feed it events, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random, self.now, self.probe_at = random.Random(seed), 0.0, 0.0
        self.workers: dict[str, WorkerView] = {}
        self.requests, self.held = state.Ledger(), state.HeldRequests()
        self.orders: dict[OrderKey, list[WorkerView]] = {}
        self.barren: dict[OrderKey, tuple[float, float]] = {}  # no room before a time, for so many slots
        self.learned, self.agenda = state.Learned(settings.tick_ms, self.random), state.Agenda()
        self.actions: list[api.Action] = []
        self.saved: tuple[WorkerView, Request] | None = None  # a worker that is kept for an aged request
        self.typical_pace, self.typical_errors, self.list_failures = 1.0, dict[int, float](), 0
        self.scanning, self.begun, self.zones, self.admitted = False, False, 1, 1.0
        self._settle(settings)
        self.rules: dict[str, Callable[[WorkerView, Request, float | None], bool]] = {
            "max_concurrent_invocations": self._concurrency_reached,
            "capacity_used": self._capacity_used,
            "overload": self._overloaded,
        }
        self.handlers: dict[type, Callable[..., None]] = {
            api.WorkersListed: self._listed,
            api.RequestArrived: self._arrived,
            api.SettingsChanged: lambda e: self._settle(e.settings),
            api.AttemptStarted: self._started,
            api.StreamStarted: self._started,
            api.AttemptEnded: self._ended,
            api.RequestDropped: self._dropped,
            api.TimerFired: lambda e: self.agenda.run(self.now, e.token),
            api.ProbeEnded: self._reported,
            api.AttemptProgress: lambda _: None,
        }

    def _settle(self, settings: api.Settings) -> None:
        self.settings, self.ring = settings, settings.dispatcher * RING_STEP % 1.0
        script = state.ResolvedScript(settings.script or built_in_script(settings), settings.classes)
        self.blocks, self.paths, self.refuses = script.blocks, script.paths, script.refuses
        self.blind = not settings.reports_attempt_start and "free_slots" not in settings.report_fields
        self.shares = [state.TokenBucket() for _ in settings.tenants]
        live = (c for index, c in enumerate(settings.classes) if index not in settings.retired)
        self.triers = any(c.effect is not Effect.NOT_IDEMPOTENT for c in live)
        self.learned.classes(settings.classes)
        self.orders.clear()  # blocks may have other numbers
        self.barren.clear()

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; return the actions to carry out, in order."""
        self.now = max(self.now, now_ms)
        if not self.begun:
            self.begun = True
            self.agenda.add(self.now + self.random.uniform(0, RANK_MS), self._rerank)
            if self.settings.polls_endpoint_list:
                self.actions.append(api.WatchList())
        self.handlers[type(event)](event)
        if (at_ms := self.agenda.timer_needed()) is not None:
            self.actions.append(api.SetTimer(at_ms, self.agenda.token))
        actions, self.actions = self.actions, []
        return actions

    def _jitter(self, mean_ms: float, doublings: int = 0) -> float:
        return mean_ms * 2.0 ** min(doublings, MAX_DOUBLINGS) * self.random.uniform(0.5, 1.5)

    # Discovery.

    def _listed(self, event: api.WorkersListed) -> None:
        if event.kind is ListKind.FAILED:
            # Asked again well inside poll_deadline_ms, jittered: the list service is one for all dispatchers.
            pause = self._jitter(self.settings.poll_deadline_ms / 16, min(self.list_failures, 2))
            self.agenda.add(self.now + pause, lambda: self.actions.append(api.WatchList()))
            self.list_failures += 1
            return
        self.list_failures, changed = 0, event.kind is not ListKind.CHANGES
        if changed:
            named = {entry.worker for entry in event.workers}
            for name, view in self.workers.items():
                view.ready = view.ready and name in named
        for entry in event.workers:
            view = self.workers.get(entry.worker) or WorkerView(entry, entry.zone == self.settings.zone)
            if entry.worker not in self.workers or entry.started_ms not in (None, view.entry.started_ms):
                self.workers[entry.worker] = view
                self._restarted(view, entry.started_ms)
            # Rule 3: a worker that is not ready takes nothing new; no use is made of the grace.
            changed = view.relist(entry) or changed
            if self.settings.weights_follow_load and "free_slots" in self.settings.report_fields:
                view.note_weight(self.now, REPORT_LAG_MS, self.learned)
        if changed:
            self.orders.clear()
            self.barren.clear()
            self._drain_held()

    def _restarted(self, view: WorkerView, since_ms: float | None) -> None:
        view.ceiling, view.strikes, view.full_until, view.breaks, view.free = 1.0, 0, 0.0, 0, {}
        view.pace, view.failing, view.trials, view.told_ms, view.good_ms, view.kept = 1.0, {}, 0, 0.0, 0.0, {}
        view.warm_at = 0.0 if since_ms is None else min(since_ms, self.now) + self.settings.slow_start_ms
        view.cold_until = self.now

    def _cold_turn(self, view: WorkerView) -> bool:
        """Guards a cold worker against turns that lie unused in a whole fleet: a burst would take them."""
        while self.now >= view.cold_until:
            since = max(view.cold_until, view.warm_at - self.settings.slow_start_ms)
            self._cold_wait(view, 1.0, self.learned.job_ms(), since)
        return self.now >= view.cold_next

    def _cold_wait(self, view: WorkerView, slots: float, run_ms: float, since: float) -> None:
        """Guards rule 4: this dispatcher's share of a cold worker's budget, at randomly spaced moments."""
        s = self.settings
        gain = (1.0 - s.slow_start_initial_share) / max(1.0, s.slow_start_ms)  # of warmth, a millisecond
        warmth = min(1.0, 1.0 - (view.warm_at - since) * gain)
        budget = self.learned.kind_slots.get(view.entry.kind, 1.0) * s.overload_factor
        # So many jobs may come in the rule's window; when m are meant, m + c * sqrt(m) come by chance.
        most = warmth * budget * s.overload_window_ms / (slots * run_ms)
        budget *= (math.sqrt(COLD_CHANCE**2 + 4.0 * most) - COLD_CHANCE) ** 2 / (4.0 * most)
        # What the budget grows by while it warms counts too, lest turns come after it has long been warm.
        turn = self.random.expovariate(1.0) * slots * run_ms * s.dispatcher_count / budget
        view.cold_next = since + 2.0 * turn / (warmth + math.sqrt(warmth * warmth + 2.0 * gain * turn))
        view.cold_until = view.cold_next + max(
            1.0, COLD_LASTS * s.overload_window_ms / math.sqrt(max(1.0, most))
        )

    def _rerank(self) -> None:
        self.agenda.add(self.now + RANK_MS, self._rerank)
        self.orders.clear()  # some worker may have become warm, or sluggish
        self.zones = len({view.entry.zone for view in self.workers.values()})
        for view in self.workers.values():
            view.age(self.now, PACE_MOST)
        ready = [view for view in self.workers.values() if view.ready]
        self.learned.share_out([v for v in ready if v.warm_at <= self.now], self.now)
        self.typical_pace = max(1.0, state.middle(view.pace for view in ready))
        for index in range(len(self.paths)):
            self.typical_errors[index] = state.middle(view.failing.get(index, 0.0) for view in ready)
        self.held.levels.sort(key=lambda level: (not level[3], -self._density(level), level))
        self.workers = {name: view for name, view in self.workers.items() if view.ready or view.jobs}

    def _density(self, level: Level) -> float:
        return self._part(level) / (1.0 if self.settings.weight_by_work else self.learned.cost(level[0]))

    def _part(self, level: Level) -> float:
        worth = self.settings.classes[level[0]].priority_weight * (
            self.settings.over_quota_weight_factor if level[1] else 1.0
        )
        return worth * (self.settings.classes[level[0]].late_priority_weight if level[2] else 1.0)

    def _order(self, key: OrderKey) -> list[WorkerView]:
        """A block's workers, best first; by a ring, so that not all dispatchers fill the same head."""
        order = self.orders.get(key)
        if order is None:
            block = self.blocks[key[0]]
            order = [view for view in state.members(self.workers, block, *key[1:]) if view.ready]
            if block.workers == ("*",):
                order.sort(key=lambda v: (v.spot, v.entry.worker))
            if block.open:
                for place, view in enumerate(order):
                    view.stand(
                        abs(place / len(order) - self.ring), self.settings.dispatcher_count, self.zones
                    )
                slow = SLUGGISH * self.typical_pace
                order.sort(key=lambda v: (-v.fresh, v.warm_at > self.now, v.pace > slow, v.apart))
            self.orders[key] = order
        return order

    # Validity: one predicate for each invalidate rule; unreachable is always invalid.

    def _unreachable(self, view: WorkerView, request: Request) -> bool:
        cold = view.warm_at > self.now and not self._cold_turn(view)
        saved = self.saved and self.saved[0] is view and self.saved[1].held and not request.level[3]
        ill = self._ill(view, request.level[0]) and self.now < view.trial_at.get(request.level[0], 0.0)
        if cold or saved or ill:
            return True
        # Guards against a hung head: one job tries it after the back-off, later where it can't be moved away.
        wait = 0.0 if self._movable(request) else self.learned.run_ms[request.level[0]]
        trial = view.jobs == 0 and self.now >= view.full_until + wait
        return view.strikes > 0 and view.used >= view.ceiling and not trial

    def _ill(self, view: WorkerView, index: int) -> bool:
        """Far slower than its peers, or failing a class they don't: always free, it would draw most work."""
        most = FAILING + 1.5 * self.typical_errors.get(index, 0.0)
        return view.pace > SLOW * self.typical_pace or view.failing.get(index, 0.0) > most

    def _concurrency_reached(self, view: WorkerView, request: Request, limit: float | None) -> bool:
        if view.jobs == 0:
            return self.now < view.full_until
        limit = view.ceiling if limit is None else limit
        return view.used + request.asked.slots > limit or view.memory + request.asked.memory > limit

    def _capacity_used(self, view: WorkerView, request: Request, share: float | None) -> bool:
        if not view.told_ms:
            return self._concurrency_reached(view, request, None)
        fewer = view.pace / (SLUGGISH * self.typical_pace) if view.jobs else 1.0
        ahead = (
            0.0
            if share
            else AHEAD * request.job_class.latency_objective_ms / self.learned.run_ms[request.level[0]]
        )
        slots, asked = view.seen_free * ((share or 1.0) / max(1.0, fewer) + ahead), request.asked.slots
        return view.used + asked > view.claim(slots, asked, self.now, self.learned)

    def _overloaded(self, view: WorkerView, request: Request, slots: float | None) -> bool:
        if self.settings.reports_attempt_start:
            return view.unstarted > 0 or self.now < view.full_until
        if not view.told_ms:
            return self._concurrency_reached(view, request, slots)
        memory = view.memory + view.others_now(self.now, self.learned)[1] + request.asked.memory
        short = "free_memory" in view.free and memory > view.seen_memory
        return short or self._capacity_used(view, request, 1.0)

    def _select(self, request: Request, only: WorkerView | None = None) -> WorkerView | None:
        """The worker to send to; `only`: that one or none."""
        zone, cell = repeat_group(request)
        for number in self.paths[request.level[0]]:
            if self.blocks[number].place == "other" and not self._may_cross(request):
                continue
            key = (number, request.job_class.kind, zone, cell)
            until, slots = self.barren.get(key, (0.0, 0.0))
            if not only and self.now < until and request.asked.slots >= slots:
                continue
            if view := self._pick(key, request, only):
                return view
            # Guards the CPU: a fruitless walk is not repeated at once.
            if not only:
                self.barren[key] = (self.now + SCAN_MS / 2, request.asked.slots)
        return None

    def _pick(self, key: OrderKey, request: Request, only: WorkerView | None) -> WorkerView | None:
        block, order = self.blocks[key[0]], self._order(key)
        rule = self.rules[block.invalidate]
        walk: Iterable[WorkerView] = order
        if only:  # the default tag walks by keys and leaves a single worker to requests that have one
            walk = [only] if only in order and (block.strategy != "platform" or request.keyed) else []
        elif block.strategy == "platform":
            # From hash(key, else class) on; salted, lest all dispatchers start at the same worker.
            what = request.job_class.name if request.asked.key is None else request.asked.key
            start = state.stable_hash(f"{self.settings.dispatcher} {what}")
            walk = state.coprime_walk(order, start, int(len(order) * RING_STEP))
        elif block.open and self.blind:  # nobody tells a queue: it is looked for where we have the fewest
            walk = sorted(order, key=lambda v: (v.warm_at > self.now, v.used))
        elif block.open and request.keyed and self.settings.reports_attempt_start:
            walk = sorted(order, key=lambda v: (not v.fresh, state.distance(request.asked.key or 0, v.spot)))
        valid = (
            v
            for v in walk
            if not (rule(v, request, block.threshold) or self._unreachable(v, request) or request.out_at(v))
        )
        if block.strategy != "random":
            first, wary = next(valid, None), self.triers and request.job_class.effect is Effect.NOT_IDEMPOTENT
            if first and wary and not first.proven(self.now):
                return next((v for v in valid if v.proven(self.now)), first)
            return first
        pool = list(valid)
        return self.random.choice(pool) if pool else None

    def _may_cross(self, request: Request) -> bool:
        """A crossing is priced: wait for one's own zone as long as that price weighs against the worth."""
        value = max(request.job_class.priority_weight * request.work(self.settings), 1e-9)
        share = self.settings.cross_zone_cost * self.learned.worth / value
        return self.now - request.arrived_ms >= request.job_class.latency_objective_ms * min(1.0, share)

    def _movable(self, request: Request, apart: bool = False) -> bool:
        moves = self.settings.cancel and (apart or self.settings.hedging_enabled)
        return moves and request.job_class.effect is not Effect.NOT_IDEMPOTENT

    # The ledger: the only place that sends, refuses or fails.

    def _arrived(self, event: api.RequestArrived) -> None:
        index, c = event.job_class, self.settings.classes[event.job_class]
        within = not self.shares  # a caller that the settings don't name has no share
        if event.tenant < len(self.shares):  # this dispatcher's part of the tenant's allowance
            rate = self.settings.tenants[event.tenant].quota_per_s / self.settings.dispatcher_count
            within = self.shares[event.tenant].take(self.now, rate)
        level = (index, not within, False, event.aged)
        request = Request(event, c, self.now, level, self.settings.max_attempts)
        self.requests[event.request] = request
        self.learned.arrival(index, event.slots, c.priority_weight * request.work(self.settings))
        # Rule 1: answered a tick before the deadline whatever happens.
        self.agenda.add(event.deadline_ms - self.settings.tick_ms, self._give_up, request)
        if self.held.heads(request.level, 1):
            self._hold(request)
        else:
            self._place(request)

    def _slack(self, request: Request) -> float:
        """How long a request may wait and still be in time."""
        size = request.asked.cost_ms or self.learned.run_ms[request.level[0]] / 2
        return (
            request.job_class.latency_objective_ms
            + max(0.0, request.job_class.objective_stretch - 1.0) * size
        )

    def _place(self, request: Request) -> None:
        """Send the request to a valid worker, hold it, or end it when it can't be sent any more."""
        if not sendable(request, self.now, self.settings):
            if not request.out():
                self._give_up(request)
            return
        fresh, earns = not request.attempts, request.job_class.late_priority_weight > 0
        if fresh and not (earns or self.random.random() <= self.admitted or self.now >= self.probe_at):
            self._give_up(request)
        elif view := self._select(request):
            self._send(request, view)
        elif self.refuses[request.level[0]] and fresh:
            self._give_up(request)
        else:
            self._hold(request)

    def _send(self, request: Request, view: WorkerView) -> None:
        self._cancel(request)
        request.held, index, self.probe_at = False, request.level[0], self.now + PROBE_MS
        run_ms = self.learned.expects(index, request.asked.cost_ms)
        attempt = Attempt(view, self.now, request.asked.slots, request.asked.memory, run_ms)
        if self._ill(view, index):
            view.trial_at[index] = self.now + self._jitter(TRIAL * run_ms, view.trials)
            view.trials += 1
        by_ms = send_by(request)  # before this attempt counts
        request.attempts.append(attempt)
        view.count(request.asked, 1)
        if request.asked.key is not None:
            view.keep(request.asked.key, KEEP)
        if view.warm_at > self.now:
            self._cold_wait(view, request.asked.slots, run_ms, self.now)
        view.out.append(attempt)
        if self.settings.reports_attempt_start:
            view.unstarted += 1
            self.agenda.add(self.now + self._patience(view, request), self._overdue, request, attempt)
        else:
            attempt.started_ms = self.now
        self.actions.append(api.Send(request.asked.request, view.entry.worker, None, by_ms))

    def _cancel(self, request: Request) -> None:
        for attempt in request.out():
            attempt.cancelled = True
            if self.settings.cancel:
                self.actions.append(api.Cancel(request.asked.request, request.attempts.index(attempt)))

    def _give_up(self, request: Request) -> None:
        number, harmless = request.asked.request, refusable(request)
        self._close(request, api.Reject(number, self._retry_after(request)) if harmless else api.Fail(number))

    def _retry_after(self, request: Request) -> float | None:
        """When a refused client should come back: once those held before it may have been served."""
        if not (s := self.settings).retry_after or s.max_retry_after_ms <= 0:
            return None
        rounds = 1.0 + self.held.count() / max(1, sum(v.jobs for v in self.workers.values() if v.ready))
        return min(s.max_retry_after_ms, self._jitter(self.learned.run_ms[request.level[0]] * rounds))

    def _close(self, request: Request, answer: api.Action | None = None) -> None:
        request.closed, request.held = True, False
        if answer is not None:
            self.actions.append(answer)
        self._cancel(request)
        if all(a.outcome is not None for a in request.attempts):
            self.requests.pop(request.asked.request, None)

    def _hold(self, request: Request) -> None:
        """All blocks invalid: wait in the dispatcher, not in a random worker's queue."""
        if not request.held:
            self.held.add(request)
            if not (request.level[2] or request.level[3]):  # an aged one waits on until its deadline
                self.agenda.add(request.arrived_ms + self._slack(request), self._overstayed, request)
        if not self.scanning:
            self.scanning = True
            self.agenda.add(self.now + self._jitter(SCAN_MS), self._scan)

    def _overstayed(self, request: Request) -> None:
        """Held past its aim: refuse it, or wait on where a late answer earns something."""
        if not request.held or request.out():
            return
        if request.job_class.late_priority_weight > 0 or not refusable(request):
            request.held, request.level = False, (*request.level[:2], True, False)
            self._hold(request)
        else:
            self._give_up(request)

    def _scan(self) -> None:
        room = [v for v in self.workers.values() if v.ready and v.kept and v.may_have_room(self.now)]
        for view in self.random.sample(room, min(SCAN_MOST, len(room))):
            self._drain_held(view)
        self._drain_held()
        self.scanning = self.held.any()
        if self.scanning:
            self.agenda.add(self.now + self._jitter(SCAN_MS), self._scan)

    def _drain_held(self, freed: WorkerView | None = None) -> None:
        """Try the first few held requests of each level, or those that earn most, at one worker or at all."""
        heads = [r for level in self.held.levels for r in self.held.heads(level, SCAN_HEADS)]
        if any(r.asked.cost_ms or r.keyed for r in heads):  # they differ in more than their levels
            heads = [r for level in self.held.levels for r in self.held.heads(level, LOOK)]
            heads = sorted(heads, key=lambda r: (not r.level[3], -self._gain(r, freed)))[: 2 * SCAN_HEADS]
        for request in heads:
            if sendable(request, self.now, self.settings):
                if view := self._select(request, freed):
                    self._send(request, view)
                elif freed and request.level[3]:
                    self._save(request, freed)

    def _gain(self, request: Request, freed: WorkerView | None) -> float:
        """What a slot earns in a millisecond; a key that its worker does not keep is fetched meanwhile."""
        key, value = request.asked.key, self._part(request.level) * request.work(self.settings)
        time = self.learned.expects(request.level[0], request.asked.cost_ms)
        if freed and not freed.own_zone:
            value -= self.settings.cross_zone_cost * self.learned.worth
        if key is not None and not (freed and key in freed.kept):
            far = min(1.0, state.distance(key, freed.spot)) if freed else 0.5
            time += FETCH * far * self.learned.run_ms[request.level[0]]
        return value / (time * request.asked.slots)

    def _save(self, request: Request, freed: WorkerView) -> None:
        """Guards an aged job of several slots against a stream of small ones: a worker empties for it."""
        bound, near = repeat_group(request), freed.own_zone or self._may_cross(request)
        orders = (self._order((n, request.job_class.kind, *bound)) for n in self.paths[request.level[0]])
        fits = 1.0 < request.asked.slots <= freed.seen_free and near and any(freed in o for o in orders)
        if fits and not (self.saved and self.saved[1].held):
            self.saved = (freed, request)

    def _dropped(self, event: api.RequestDropped) -> None:
        if (request := self.requests.get(event.request)) and not request.closed:
            self._close(request)

    # What becomes of attempts.

    def _started(self, event: api.AttemptStarted | api.StreamStarted) -> None:
        request, attempt = self.requests.find(event.request, event.attempt)
        if request is None or attempt is None or attempt.started_ms is not None:
            return
        view, delay = attempt.worker, self.now - attempt.sent_ms
        attempt.started_ms, view.unstarted = self.now, view.unstarted - 1
        if not attempt.cancelled:
            request.held = False
        if delay <= self._patience(view, request):
            view.strikes, self.admitted = 0, min(1.0, REGAIN * self.admitted)
            if view.unstarted == 0:
                view.ceiling = max(view.ceiling, view.used)
                self.learned.in_work(view.entry.kind, view.used)
        self.learned.start(view.own_zone, delay)

    def _patience(self, view: WorkerView, request: Request) -> float:
        # The cap guards against overload that has queues everywhere: no start would look overdue any more.
        learned = PATIENCE * self.learned.start_in(view.own_zone) + 2 * self.settings.tick_ms
        return min(learned, request.job_class.latency_objective_ms * PATIENCE_CAP)

    def _overdue(self, request: Request, attempt: Attempt) -> None:
        """Sent, not started: the worker is full for us; a job that may move goes to the next valid worker."""
        # Queues must drain: what late earns nothing is let in by prompt starts, not by jobs moved in vain.
        view, moves = attempt.worker, self._movable(request, True)
        vain = len(request.attempts) > 1 or not moves
        self.admitted = max(LET_IN, self.admitted * (YIELD if vain else 1.0))
        self.learned.start(view.own_zone, self.now - attempt.sent_ms)
        self._strike(view, max(0.0, view.used - 1.0), self.learned.run_ms[request.level[0]] / 2)
        if self._movable(request) and not request.closed:
            self._place(request)
        elif moves and not request.closed:
            self.actions.append(api.Cancel(request.asked.request, request.attempts.index(attempt), False))

    def _strike(self, view: WorkerView, ceiling: float, pause: float) -> None:
        view.ceiling = min(view.ceiling, ceiling)
        view.full_until = self.now + self._jitter(pause, view.strikes)
        view.raise_after = self.now + self._jitter(RAISE_MS)
        view.strikes += 1

    def _ended(self, event: api.AttemptEnded) -> None:
        request, attempt = self.requests.find(event.request, event.attempt)
        if request is None or attempt is None:
            return
        attempt.outcome, attempt.ended_ms = event.outcome, self.now
        view, run_ms = attempt.worker, self.learned.run_ms[request.level[0]]
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            view.erred(request.level[0], ERROR_SHARE if event.outcome is Outcome.ERROR else 0.0)
        full = view.used >= view.ceiling
        view.count(request.asked, -1)
        if attempt.started_ms is None:
            view.unstarted -= 1
        if event.outcome is Outcome.OK:
            self._went_well(view, request, attempt, full)
        elif event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            if event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
                view.breaks += 1
                view.broke_ms = self.now if view.breaks == 1 else view.broke_ms
            self._strike(view, view.used, max(self.settings.connect_timeout_ms, run_ms / 2))
        self._reported(event)
        if event.closed or request.closed:
            self._close(request)
        elif not request.out():
            self._place(request)
        self._drain_held(view)
        if view.used < view.ceiling:
            self.barren.clear()

    def _went_well(self, view: WorkerView, request: Request, attempt: Attempt, full: bool) -> None:
        """Learn the class's running time; raise the ceiling slowly while jobs end within the aim."""
        index, ran_ms = request.level[0], self.now - (attempt.started_ms or attempt.sent_ms)
        self.learned.ran(index, ran_ms, request.asked.cost_ms)
        ratio = ran_ms / attempt.expected_ms
        view.ran(min(PACE_MOST, ratio), PACE_SHARE)
        if ratio <= SLUGGISH * self.typical_pace:  # a trial went well: the next may follow at once
            view.trials, view.trial_at[index] = 0, self.now
        # Guards against pushing over a worker that came back before the list says so.
        if view.breaks >= CRASH_BREAKS and attempt.sent_ms >= view.broke_ms:
            self._restarted(view, self.now)
        view.strikes, view.breaks, view.good_ms = 0, 0, self.now
        in_time = self.now - request.arrived_ms <= self._slack(request) + ran_ms
        if full and in_time and view.unstarted == 0 and self.now >= view.raise_after:
            view.ceiling += 1.0
            view.raise_after = self.now + self._jitter(self.learned.run_ms[index])

    def _reported(self, event: api.AttemptEnded | api.ProbeEnded) -> None:
        if view := self.workers.get(event.worker):
            view.note_report(event.report, self.settings.report_fields, self.now, REPORT_LAG_MS, self.learned)
