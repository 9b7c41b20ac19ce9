"""Selection of a worker: the blocks of the script in order, their rankings and their invalidate rules."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from grebestack.core.context import DecisionContext
from grebestack.core.hashing import coprime_walk, rendezvous_distance, stable_hash
from grebestack.core.outliers import SLUGGISH_FACTOR, OutlierDetection
from grebestack.core.queueing import Reservation
from grebestack.core.requests import Request
from grebestack.core.retries import may_reject, retry_scope
from grebestack.core.script import ResolvedScript, block_members, built_in_script
from grebestack.core.settings import Block, Effect
from grebestack.core.slow_start import SlowStart
from grebestack.core.workers import TrackedWorker

RING_STEP = 0.618034  # golden ratio: spreads consecutive dispatcher numbers evenly over the ring
EXHAUSTED_MS = 10.0  # a block that had no valid worker is not searched again for this long
QUEUE_AHEAD_SHARE = 0.5  # share of the latency objective that jobs may queue at a worker to keep it busy


class RankingKey(NamedTuple):
    """Identifies a ranking of workers: those of a block, limited to a kind, a zone and a cell."""

    block_index: int
    kind: int
    zone: int | None
    cell: int | None


class Selector:
    """Finds the worker for a request."""

    def __init__(
        self,
        context: DecisionContext,
        outliers: OutlierDetection,
        slow_start: SlowStart,
        reservation: Reservation,
    ) -> None:
        """Start with the script of the settings."""
        self.context, self.outliers = context, outliers
        self.slow_start, self.reservation = slow_start, reservation
        self.rankings: dict[RankingKey, list[TrackedWorker]] = {}
        # Until when a ranking counts as having no valid worker, for requests of at least that many slots.
        self.exhausted_until: dict[RankingKey, tuple[float, float]] = {}
        self.zone_count = 1
        self.rules: dict[str, Callable[[TrackedWorker, Request, float | None], bool]] = {
            "max_concurrent_invocations": self._concurrency_reached,
            "capacity_used": self._capacity_used,
            "overload": self._overloaded,
        }
        self.on_settings_changed()

    def on_settings_changed(self) -> None:
        """Resolve the script of the new settings and discard the rankings."""
        settings = self.context.settings
        script = ResolvedScript(settings.script or built_in_script(settings), settings.classes)
        self.blocks, self.block_indices, self.rejects_at_end = (
            script.blocks,
            script.block_indices,
            script.rejects_at_end,
        )
        self.ring_position = settings.dispatcher * RING_STEP % 1.0
        # Without reports of starts or free slots, queues at workers are unknown.
        self.is_load_unknown = (
            not settings.reports_attempt_start and "free_slots" not in settings.report_fields
        )
        active_classes = (c for index, c in enumerate(settings.classes) if index not in settings.retired)
        self.has_retriable_classes = any(c.effect is not Effect.NOT_IDEMPOTENT for c in active_classes)
        self.on_workers_changed()

    def on_workers_changed(self) -> None:
        """Discard the rankings and the record of blocks that had no valid worker."""
        self.rankings.clear()
        self.exhausted_until.clear()

    def on_ranking_timer(self) -> None:
        """Discard the rankings: a worker may have warmed up or become slow."""
        self.rankings.clear()
        self.zone_count = len({worker.entry.zone for worker in self.context.workers.values()})

    def on_slots_freed(self) -> None:
        """Search all blocks again."""
        self.exhausted_until.clear()

    # Blocks in order.

    def select(self, request: Request, only: TrackedWorker | None = None) -> TrackedWorker | None:
        """Return the worker to send to, or None; with `only`, that worker or None."""
        self._reconsider_avoided(request)
        zone, cell = retry_scope(request)
        now_ms, slots = self.context.now_ms, request.arrival.slots
        for block_index in self.block_indices[request.queue_key.class_index]:
            if self.blocks[block_index].place == "other" and not self.may_use_remote_zone(request):
                continue
            key = RankingKey(block_index, request.job_class.kind, zone, cell)
            until_ms, min_slots = self.exhausted_until.get(key, (0.0, 0.0))
            if not only and now_ms < until_ms and slots >= min_slots:
                continue
            if worker := self._pick(key, request, only):
                return worker
            if not only:
                self.exhausted_until[key] = (now_ms + EXHAUSTED_MS, slots)
        return None

    def may_use_remote_zone(self, request: Request) -> bool:
        """Whether a request has waited long enough for a worker of the dispatcher's own zone.

        It must wait for a share of its latency objective: the cost of crossing zones divided by its value.
        """
        context = self.context
        value = max(request.job_class.priority_weight * request.value_units(context.settings), 1e-9)
        share = context.settings.cross_zone_cost * context.estimates.request_value / value
        waited_ms = context.now_ms - request.arrived_ms
        return waited_ms >= request.job_class.latency_objective_ms * min(1.0, share)

    def fits_when_idle(self, request: Request, worker: TrackedWorker) -> bool:
        """Whether a job of more than one slot may run at a worker once enough slots are free there."""
        may_use = worker.own_zone or self.may_use_remote_zone(request)
        if not (1.0 < request.arrival.slots <= worker.max_free_slots and may_use):
            return False
        if request.excludes(worker):
            return False
        return any(worker in ranking for ranking in self._rankings_of(request))

    def _reconsider_avoided(self, request: Request) -> None:
        """Use the avoided workers after all if there is no other, unless the request can be tried later."""
        if request.avoided_workers and not request.arrival.can_wait and self.has_no_candidate(request):
            request.avoided_workers.clear()

    def is_hopeless(self, request: Request) -> bool:
        """Whether a request without a worker is given up at once rather than queued."""
        if request.is_new and self.rejects_at_end[request.queue_key.class_index]:
            return True
        return may_reject(request) and self.has_no_candidate(request)

    def has_no_candidate(self, request: Request) -> bool:
        """Whether waiting is in vain: no attempt is awaited, and no ready worker may be sent another one."""
        if not (request.avoided_workers or request.excluded_workers) or request.awaited_attempts():
            return False
        return all(request.excludes(worker) for ranking in self._rankings_of(request) for worker in ranking)

    def _rankings_of(self, request: Request) -> Iterator[list[TrackedWorker]]:
        """Return the rankings of the blocks that a request goes through, in its scope."""
        kind, scope = request.job_class.kind, retry_scope(request)
        for index in self.block_indices[request.queue_key.class_index]:
            yield self._ranking(RankingKey(index, kind, *scope))

    def _pick(self, key: RankingKey, request: Request, only: TrackedWorker | None) -> TrackedWorker | None:
        """Return the first valid worker of one block, or a random one, depending on its strategy.

        A request that is not idempotent prefers a worker that succeeded recently: an error would be final,
        while retriable requests find out at less cost whether a worker has failed.
        """
        block = self.blocks[key.block_index]
        rule, threshold = self.rules[block.invalidate], block.threshold
        is_unavailable, now_ms = self._is_unavailable, self.context.now_ms
        valid = (
            w
            for w in self._candidates(block, key, request, only)
            if not (rule(w, request, threshold) or is_unavailable(w, request) or request.excludes(w))
        )
        if block.strategy == "random":
            choices = list(valid)
            return self.context.random.choice(choices) if choices else None
        first = next(valid, None)
        is_final = request.job_class.effect is Effect.NOT_IDEMPOTENT
        if first and self.has_retriable_classes and is_final and not first.succeeded_recently(now_ms):
            return next((w for w in valid if w.succeeded_recently(now_ms)), first)
        return first

    def _candidates(
        self, block: Block, key: RankingKey, request: Request, only: TrackedWorker | None
    ) -> Iterable[TrackedWorker]:
        """Return the workers of a block, or `only` that one, in the order in which a request tries them."""
        ranking, settings = self._ranking(key), self.context.settings
        if only:  # the platform strategy goes by cache key: a single worker is for requests with a key
            allowed = only in ranking and (block.strategy != "platform" or request.has_cache_key)
            return [only] if allowed else []
        if block.strategy == "platform":
            # The hash includes the dispatcher, so that not all dispatchers start at the same worker.
            hash_input = (
                request.job_class.name if request.arrival.cache_key is None else request.arrival.cache_key
            )
            start = stable_hash(f"{settings.dispatcher} {hash_input}")
            return coprime_walk(ranking, start, int(len(ranking) * RING_STEP))
        if block.is_ranked and self.is_load_unknown:
            now_ms = self.context.now_ms
            return sorted(ranking, key=lambda w: (w.warm_at_ms > now_ms, w.used_slots))
        if block.is_ranked and request.has_cache_key and settings.reports_attempt_start:
            hash_key = request.arrival.cache_key or 0
            return sorted(
                ranking, key=lambda w: (not w.is_reinstated, rendezvous_distance(hash_key, w.name_hash))
            )
        return ranking

    def _ranking(self, key: RankingKey) -> list[TrackedWorker]:
        """Return the ready workers of a block, best first.

        The ranking starts at this dispatcher's position on a ring, so that dispatchers do not all fill the
        same workers.
        """
        ranking = self.rankings.get(key)
        if ranking is None:
            context, block = self.context, self.blocks[key.block_index]
            members = block_members(context.workers, block, key.kind, key.zone, key.cell)
            ranking = [worker for worker in members if worker.is_ready]
            if block.workers == ("*",):
                ranking.sort(key=lambda w: (w.name_hash, w.entry.worker))
            if block.is_ranked:
                for index, worker in enumerate(ranking):
                    distance = abs(index / len(ranking) - self.ring_position)
                    worker.set_ring_distance(distance, context.settings.dispatcher_count, self.zone_count)
                sluggish, now_ms = SLUGGISH_FACTOR * self.outliers.typical_slowness, context.now_ms
                ranking.sort(
                    key=lambda w: (
                        -w.is_reinstated,
                        w.warm_at_ms > now_ms,
                        w.slowness > sluggish,
                        w.ring_distance,
                    )
                )
            self.rankings[key] = ranking
        return ranking

    # Validity: one predicate for each invalidate rule; an unavailable worker is invalid under every rule.

    def _is_unavailable(self, worker: TrackedWorker, request: Request) -> bool:
        """Whether a worker is warming up, reserved, ejected or backing off."""
        # This runs for every worker that is tried, so it skips calls that cannot change the result.
        if worker.warm_at_ms > self.context.now_ms and not self.slow_start.has_turn(worker):
            return True
        reservation, outliers = self.reservation, self.outliers
        if reservation.worker is worker and reservation.excludes(worker, request):
            return True
        if worker.consecutive_overloads and outliers.is_backing_off(worker, request):
            return True
        return outliers.is_ejected(worker, request.queue_key.class_index)

    def _concurrency_reached(self, worker: TrackedWorker, request: Request, limit: float | None) -> bool:
        """Rule max_concurrent_invocations: the job exceeds a limit of slots, or the learned one (None)."""
        if worker.attempt_count == 0:
            return self.context.now_ms < worker.backoff_until_ms
        limit = worker.concurrency_limit if limit is None else limit
        arrival = request.arrival
        return worker.used_slots + arrival.slots > limit or worker.used_memory + arrival.memory > limit

    def _capacity_used(self, worker: TrackedWorker, request: Request, share: float | None) -> bool:
        """Rule capacity_used: the job exceeds a share of the slots (None: all, and some queued jobs)."""
        if not worker.load_updated_ms:
            return self._concurrency_reached(worker, request, None)
        context, job_slots, slowness = self.context, request.arrival.slots, 1.0
        estimates = context.estimates
        if worker.attempt_count:
            slowness = max(1.0, worker.slowness / (SLUGGISH_FACTOR * self.outliers.typical_slowness))
        queued_ahead = 0.0  # as a multiple of the worker's slots
        if not share:
            run_ms = estimates.run_ms[request.queue_key.class_index]
            queued_ahead = QUEUE_AHEAD_SHARE * request.job_class.latency_objective_ms / run_ms
        slots = worker.max_free_slots * ((share or 1.0) / slowness + queued_ahead)
        return worker.used_slots + job_slots > worker.usable_slots(
            slots, job_slots, context.now_ms, estimates
        )

    def _overloaded(self, worker: TrackedWorker, request: Request, slots: float | None) -> bool:
        """Rule overload: unstarted attempts or backoff; without reports of starts, by memory and slots."""
        context = self.context
        if context.settings.reports_attempt_start:
            return worker.unstarted_count > 0 or context.now_ms < worker.backoff_until_ms
        if not worker.load_updated_ms:
            return self._concurrency_reached(worker, request, slots)
        others_memory = worker.others_load(context.now_ms, context.estimates)[1]
        memory = worker.used_memory + others_memory + request.arrival.memory
        is_short = "free_memory" in worker.load_report and memory > worker.max_free_memory
        return is_short or self._capacity_used(worker, request, 1.0)
