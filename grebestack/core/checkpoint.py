"""What a dispatcher has learned, as plain values for the process that replaces it.

Times are those of one monotonic clock, which the processes of one machine share. The stored keys are read by
other versions of the program and stay as they are; attributes may have other names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from grebestack.core.events import Outcome
from grebestack.core.policy import Policy
from grebestack.core.workers import Attempt

DEFAULT_RUN_MS = 1000.0  # of an inherited attempt whose class is unknown
# Stored key -> attribute.
WORKER_FIELDS = {
    "ceiling": "concurrency_limit",
    "pace": "slowness",
    "strikes": "consecutive_overloads",
    "full_until": "backoff_until_ms",
    "raise_after": "raise_limit_after_ms",
    "warm_at": "warm_at_ms",
    "good_ms": "last_success_ms",
    "broke_ms": "first_connection_error_ms",
    "breaks": "consecutive_connection_errors",
    "seen_free": "max_free_slots",
    "seen_memory": "max_free_memory",
    "told_ms": "load_updated_ms",
    "others": "others_slots",
    "others_memory": "others_memory",
    "ours": "own_slots",
    "luck": "rounding",
}
CLASS_FIELDS = {"run_ms": "run_ms", "slots": "slots"}
KIND_FIELDS = {"kind_slots": "kind_slots", "kind_weight": "kind_weight"}


def save_checkpoint(policy: Policy) -> dict[str, Any]:
    """Return what a policy has learned about workers, kinds of workers and job classes."""
    estimates = policy.estimates
    return {
        "workers": {
            name: {key: getattr(worker, attribute) for key, attribute in WORKER_FIELDS.items()}
            for name, worker in policy.workers.items()
            if worker.is_ready
        },
        "classes": {
            name: {key: getattr(estimates, attribute)[index] for key, attribute in CLASS_FIELDS.items()}
            for index, name in enumerate(estimates.class_names)
        },
        **{
            key: {str(kind): value for kind, value in getattr(estimates, attribute).items()}
            for key, attribute in KIND_FIELDS.items()
        },
        "others": list(estimates.others_load),
        "worth": estimates.request_value,
    }


def _number(value: Any, like: Any) -> Any:
    """Convert a finite number to the type of `like`; ValueError if it is not a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return type(like)(value)


def restore_checkpoint(policy: Policy, raw: Mapping[str, Any]) -> None:
    """Load the checkpoint of another policy; only workers that are listed already are restored.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If the checkpoint cannot be used; the policy is unchanged then.
    """
    estimates = policy.estimates
    workers = [
        (worker, attribute, _number(stored[key], getattr(worker, attribute)))
        for name, stored in raw["workers"].items()
        if (worker := policy.workers.get(name)) is not None
        for key, attribute in WORKER_FIELDS.items()
    ]
    classes = [
        (getattr(estimates, attribute), index, _number(raw["classes"][name][key], 1.0))
        for index, name in enumerate(estimates.class_names)
        if name in raw["classes"]
        for key, attribute in CLASS_FIELDS.items()
    ]
    kinds = [
        (getattr(estimates, attribute), int(kind), _number(value, 1.0))
        for key, attribute in KIND_FIELDS.items()
        for kind, value in raw[key].items()
    ]
    slots, memory = (_number(value, 1.0) for value in raw["others"])
    estimates.request_value, estimates.others_load = _number(raw["worth"], 1.0), (slots, memory)
    for worker, attribute, value in workers:
        setattr(worker, attribute, value)
    for table, index, value in [*classes, *kinds]:
        table[index] = value
    policy.selector.rankings.clear()


def apply_own_slow_start(policy: Policy) -> None:
    """Recompute the slow starts that a checkpoint has restored, by the settings of this policy.

    The other policy may have had a longer slow start. The start time of a worker is the one that policy
    assumed or the one in the endpoint list, whichever is later, but never in the future.
    """
    now_ms, slow_start_ms = policy.context.now_ms, policy.settings.slow_start_ms
    for worker in policy.workers.values():
        started_ms = min(now_ms, worker.warm_at_ms - slow_start_ms)
        listed_ms = worker.process_started_ms
        if listed_ms is not None or worker.warm_at_ms > now_ms:
            worker.process_started_ms = started_ms if listed_ms is None else max(started_ms, listed_ms)
        worker.on_slow_start_changed(now_ms, slow_start_ms)


class InheritedAttempts:
    """Attempts of the predecessor, counted as this dispatcher's own at their workers.

    Otherwise they would be taken for the load of other dispatchers, and this one would find its own share of
    the workers in use until all lists and reports have been renewed.
    """

    def __init__(self, policy: Policy) -> None:
        """Start without inherited attempts."""
        self.policy = policy
        self.attempts: dict[str, Attempt] = {}

    def add(
        self, key: str, worker_name: str, slots: float, memory: float, sent_ms: float, class_name: str
    ) -> None:
        """Count an attempt; it is ignored if it is known already or its worker is not listed."""
        worker, estimates = self.policy.workers.get(worker_name), self.policy.estimates
        if worker is None or key in self.attempts:
            return
        names = estimates.class_names
        run_ms = estimates.run_ms[names.index(class_name)] if class_name in names else DEFAULT_RUN_MS
        attempt = Attempt(worker, sent_ms, slots, memory, run_ms, started_ms=sent_ms)
        worker.recent_attempts.append(attempt)
        worker.attempt_count += 1
        worker.used_slots += slots
        worker.used_memory += memory
        self.attempts[key] = attempt

    def end(self, key: str, now_ms: float) -> None:
        """Remove an attempt that has ended or was abandoned; an unknown one is ignored."""
        attempt = self.attempts.pop(key, None)
        if attempt is None:
            return
        attempt.outcome, attempt.ended_ms = Outcome.OK, now_ms
        worker = attempt.worker
        worker.attempt_count -= 1
        worker.used_slots -= attempt.slots
        worker.used_memory -= attempt.memory

    def end_all(self, now_ms: float) -> None:
        """Remove all attempts: the predecessor has exited."""
        for key in list(self.attempts):
            self.end(key, now_ms)
