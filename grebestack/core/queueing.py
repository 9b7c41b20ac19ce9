"""The order of queued requests, and the reservation of a worker for a wide job."""

from __future__ import annotations

from collections import deque
from itertools import islice

from grebestack.core.context import DecisionContext
from grebestack.core.hashing import rendezvous_distance
from grebestack.core.requests import QueueKey, Request
from grebestack.core.workers import TrackedWorker

QUEUE_HEADS = 3  # requests of each queue that are tried at once
QUEUE_LOOKAHEAD = 64  # requests of each queue among which the most valuable ones are searched
FETCH_RUNS = 16.0  # running times to fetch the data of a cache key at the mean rendezvous distance


class RequestQueue:
    """Queued requests by queue key, first come, first served.

    A request that has been sent, has ended or has another queue key by now stays in its deque and is skipped.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[QueueKey, deque[Request]] = {}
        self.keys: list[QueueKey] = []  # in the order in which they are served

    def add(self, request: Request) -> None:
        """Append a request to the queue of its queue key."""
        request.is_queued, key = True, request.queue_key
        if key not in self.queues:
            self.queues[key] = deque()
            self.keys.insert(0 if key.is_aged else len(self.keys), key)
        self.queues[key].append(request)

    def heads(self, key: QueueKey, limit: int) -> list[Request]:
        """Return the queued requests among the first `limit` of a queue."""
        queue = self.queues.get(key, deque())
        while queue and not (queue[0].is_queued and queue[0].queue_key == key):
            queue.popleft()
        return [r for r in islice(queue, limit) if r.is_queued and r.queue_key == key]

    def count(self) -> int:
        """Return about how many requests are queued; some of them may have ended already."""
        return sum(len(queue) for queue in self.queues.values())

    def is_empty(self) -> bool:
        """Whether no request is queued."""
        return not any(self.heads(key, 1) for key in self.keys)


class Priority:
    """The order of queues and of queued requests: by value per slot-millisecond."""

    def __init__(self, context: DecisionContext, queue: RequestQueue) -> None:
        """Order the requests of `queue`."""
        self.context, self.queue = context, queue

    def sort_queues(self) -> None:
        """Order the queues: aged requests first, then by value per slot-millisecond."""
        self.queue.keys.sort(key=lambda key: (not key.is_aged, -self._queue_value_per_slot_ms(key), key))

    def candidates(self, freed: TrackedWorker | None) -> list[Request]:
        """Return the queued requests to try, best first, at the freed worker or at all workers (None).

        The order of the queues applies unless some requests have a cache key or a hint of their running time.
        """
        queue = self.queue
        heads = [r for key in queue.keys for r in queue.heads(key, QUEUE_HEADS)]
        if any(r.arrival.cost_ms or r.has_cache_key for r in heads):
            heads = [r for key in queue.keys for r in queue.heads(key, QUEUE_LOOKAHEAD)]
            heads.sort(key=lambda r: (not r.queue_key.is_aged, -self._request_value_per_slot_ms(r, freed)))
            return heads[: 2 * QUEUE_HEADS]
        return heads

    def _queue_value_per_slot_ms(self, key: QueueKey) -> float:
        settings, estimates = self.context.settings, self.context.estimates
        return self._weight(key) / (1.0 if settings.weight_by_work else estimates.slot_ms(key.class_index))

    def _weight(self, key: QueueKey) -> float:
        settings = self.context.settings
        job_class = settings.classes[key.class_index]
        weight = job_class.priority_weight * (settings.over_quota_weight_factor if key.is_over_quota else 1.0)
        return weight * (job_class.late_priority_weight if key.is_late else 1.0)

    def _request_value_per_slot_ms(self, request: Request, freed: TrackedWorker | None) -> float:
        """Return the value per slot-millisecond; uncached data of a cache key must be fetched first."""
        key, estimates, settings = request.arrival.cache_key, self.context.estimates, self.context.settings
        class_index = request.queue_key.class_index
        value = self._weight(request.queue_key) * request.value_units(settings)
        time_ms = estimates.expected_run_ms(class_index, request.arrival.cost_ms)
        if freed and not freed.own_zone:
            value -= settings.cross_zone_cost * estimates.request_value
        if key is not None and not (freed and key in freed.cached_keys):
            distance = min(1.0, rendezvous_distance(key, freed.name_hash)) if freed else 0.5
            time_ms += FETCH_RUNS * distance * estimates.run_ms[class_index]
        return value / (time_ms * request.arrival.slots)


class Reservation:
    """At most one worker that takes no other jobs until an aged request of several slots fits on it.

    A stream of small jobs would otherwise take each slot as it becomes free.
    """

    def __init__(self) -> None:
        """Start without a reservation."""
        self.worker: TrackedWorker | None = None
        self.request: Request | None = None

    def is_held(self) -> bool:
        """Whether there is a reservation whose request is still queued."""
        return self.request is not None and self.request.is_queued

    def reserve_worker(self, request: Request, worker: TrackedWorker) -> None:
        """Reserve a worker for a request, unless another reservation is held."""
        if not self.is_held():
            self.worker, self.request = worker, request

    def excludes(self, worker: TrackedWorker, request: Request) -> bool:
        """Whether a worker is reserved and the request is not aged."""
        return self.worker is worker and self.is_held() and not request.queue_key.is_aged


def queue_time_limit_ms(request: Request, run_ms: float) -> float:
    """Return how long a request may be queued and still meet its latency objective.

    `run_ms` is the estimated running time of its class, used if the request has no hint.
    """
    size_ms = request.arrival.cost_ms or run_ms / 2
    stretch = max(0.0, request.job_class.objective_stretch - 1.0)
    return request.job_class.latency_objective_ms + stretch * size_ms
