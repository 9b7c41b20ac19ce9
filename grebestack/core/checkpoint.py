"""What a dispatcher has learned, for the process that takes its place: plain values, by name.

Nothing is decided here. Times are those of one monotonic clock, which the processes of one machine share.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from grebestack.core.api import Outcome
from grebestack.core.state import Attempt, WorkerView

if TYPE_CHECKING:
    from grebestack.core.policy import Policy

OF_WORKER = (
    "ceiling",
    "pace",
    "strikes",
    "full_until",
    "raise_after",
    "warm_at",
    "good_ms",
    "broke_ms",
    "breaks",
    "seen_free",
    "seen_memory",
    "told_ms",
    "others",
    "others_memory",
    "ours",
    "luck",
)
OF_CLASS = ("run_ms", "slots")
OF_KIND = ("kind_slots", "kind_weight")


def kept(policy: Policy) -> dict[str, Any]:
    """What a policy knows of workers, kinds and classes."""
    learned = policy.learned
    return {
        "workers": {
            name: {field: getattr(view, field) for field in OF_WORKER}
            for name, view in policy.workers.items()
            if view.ready
        },
        "classes": {
            name: {field: getattr(learned, field)[index] for field in OF_CLASS}
            for index, name in enumerate(learned.names)
        },
        **{field: {str(kind): value for kind, value in getattr(learned, field).items()} for field in OF_KIND},
        "others": list(learned.others),
        "worth": learned.worth,
    }


def _number(value: Any, like: Any) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is no finite number")
    return type(like)(value)


def take(policy: Policy, raw: Mapping[str, Any]) -> None:
    """Take over what another policy kept; the workers must be listed.

    ValueError, KeyError, TypeError or AttributeError if it can't be used, and nothing is changed then.
    """
    learned = policy.learned
    workers = [
        (view, field, _number(known[field], getattr(view, field)))
        for name, known in raw["workers"].items()
        if (view := policy.workers.get(name)) is not None
        for field in OF_WORKER
    ]
    classes = [
        (getattr(learned, field), index, _number(raw["classes"][name][field], 1.0))
        for index, name in enumerate(learned.names)
        if name in raw["classes"]
        for field in OF_CLASS
    ]
    kinds = [
        (getattr(learned, field), int(kind), _number(value, 1.0))
        for field in OF_KIND
        for kind, value in raw[field].items()
    ]
    slots, memory = (_number(value, 1.0) for value in raw["others"])
    learned.worth, learned.others = _number(raw["worth"], 1.0), (slots, memory)
    for view, field, value in workers:
        setattr(view, field, value)
    for table, place, value in [*classes, *kinds]:
        table[place] = value
    policy.orders.clear()


class Elsewhere:
    """Attempts of the process whose place this one takes: they count as its own at their workers.

    Guards the new process from taking them for the jobs of other dispatchers: it would find workers full with
    what is its own share, and claim none of it until all lists and reports have been renewed.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.out: dict[str, tuple[WorkerView, Attempt]] = {}

    def sent(
        self, key: str, worker: str, slots: float, memory: float, sent_ms: float, class_name: str
    ) -> None:
        """An attempt is out there; one that is known, or at a worker that is not listed, is passed over."""
        view, learned = self.policy.workers.get(worker), self.policy.learned
        if view is None or key in self.out:
            return
        run_ms = learned.run_ms[learned.names.index(class_name)] if class_name in learned.names else 1000.0
        attempt = Attempt(view, sent_ms, slots, memory, run_ms, started_ms=sent_ms)
        view.out.append(attempt)
        view.jobs, view.used, view.memory = view.jobs + 1, view.used + slots, view.memory + memory
        self.out[key] = view, attempt

    def ended(self, key: str, now_ms: float) -> None:
        """It has ended, or is given up."""
        if key not in self.out:
            return
        view, attempt = self.out.pop(key)
        attempt.outcome, attempt.ended_ms = Outcome.OK, now_ms
        view.jobs, view.used = view.jobs - 1, view.used - attempt.slots
        view.memory -= attempt.memory

    def over(self, now_ms: float) -> None:
        """The other process is gone."""
        for key in list(self.out):
            self.ended(key, now_ms)
