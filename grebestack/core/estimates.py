"""Estimates learned from what was observed: running times, job sizes and start delays."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random
from typing import Protocol

from grebestack.core.settings import JobClass

LEARNING_RATE = 0.02  # share of each sample in a moving average
START_DELAY_DECREASE = 0.2  # at each sample not above the estimate; others raise it by LEARNING_RATE / 4
LOAD_MAX_AGE_MS = 2000.0  # within this, a known load of other dispatchers loses its influence
MAX_HINT_RATIO = 8.0  # a running time counts as at most this multiple of its hint


class LoadObservation(Protocol):
    """The load of other dispatchers at one worker, as last reported."""

    @property
    def load_updated_ms(self) -> float:
        """When the load was last reported; 0 if never."""

    @property
    def others_slots(self) -> float:
        """Slots that other dispatchers use at the worker."""

    @property
    def others_memory(self) -> float:
        """Memory that other dispatchers use at the worker."""


class Estimates:
    """Moving averages and extremes of observed values, in milliseconds, slots and units of memory."""

    def __init__(self, tick_ms: float, random: Random) -> None:
        """Start without classes; `tick_ms` is the lowest start delay that is estimated."""
        self.tick_ms, self.random = tick_ms, random
        self.class_names: list[str] = []
        self.run_ms: list[float] = []  # by class
        self.run_ms_per_hinted_ms: list[float] = []  # by class
        self.slots: list[float] = []  # by class
        # Mean value of a request: its priority weight, multiplied by its hinted ms under weight_by_work.
        self.request_value = 1.0
        self.kind_slots: dict[int, float] = {}  # by kind: most slots seen on one worker
        self.kind_weight: dict[int, float] = {}  # by kind: highest weight in the endpoint list
        self.others_load = (0.0, 0.0)  # slots and memory of the other dispatchers at an average worker
        self.min_start_delay_ms: dict[bool, float] = {}  # at workers of the own zone (True) or others

    def add_classes(self, classes: Sequence[JobClass]) -> None:
        """Add the classes that are new; a redefined class starts with the estimates of its former one."""
        for c in classes[len(self.class_names) :]:
            names = self.class_names
            former = len(names) - 1 - names[::-1].index(c.name) if c.name in names else None
            self.class_names.append(c.name)
            self.run_ms.append(c.latency_objective_ms if former is None else self.run_ms[former])
            self.run_ms_per_hinted_ms.append(1.0 if former is None else self.run_ms_per_hinted_ms[former])
            self.slots.append(1.0 if former is None else self.slots[former])

    def on_arrival(self, class_index: int, slots: float, value: float) -> None:
        """Learn the slots and the value of an arriving request."""
        self.request_value += LEARNING_RATE * (value - self.request_value)
        self.slots[class_index] += LEARNING_RATE * (slots - self.slots[class_index])

    def mean_job_slots(self) -> float:
        """Return the mean slots of a job over all classes."""
        return sum(self.slots) / len(self.slots)

    def mean_run_ms(self) -> float:
        """Return the mean running time over all classes."""
        return sum(self.run_ms) / len(self.run_ms)

    def slot_ms(self, class_index: int) -> float:
        """Return the slot-milliseconds of a job of a class."""
        return self.run_ms[class_index] * self.slots[class_index]

    def expected_run_ms(self, class_index: int, cost_ms: float | None) -> float:
        """Return the expected running time of a job: from its hint if it has one, else from its class."""
        return self.run_ms_per_hinted_ms[class_index] * cost_ms if cost_ms else self.run_ms[class_index]

    def on_success(self, class_index: int, run_ms: float, cost_ms: float | None) -> None:
        """Learn the running time of a job that succeeded."""
        self.run_ms[class_index] += LEARNING_RATE * (run_ms - self.run_ms[class_index])
        if cost_ms:
            ratios = self.run_ms_per_hinted_ms
            ratios[class_index] += LEARNING_RATE * (
                min(MAX_HINT_RATIO, run_ms / cost_ms) - ratios[class_index]
            )

    def update_others_load(self, workers: Sequence[LoadObservation], now_ms: float) -> None:
        """Learn the mean load of other dispatchers from the workers whose load was reported recently."""
        recent = [worker for worker in workers if worker.load_updated_ms > now_ms - LOAD_MAX_AGE_MS]
        if recent:
            slots = sum(worker.others_slots for worker in recent) / len(recent)
            memory = sum(worker.others_memory for worker in recent) / len(recent)
            self.others_load = max(0.0, slots), max(0.0, memory)

    def on_start_delay(self, own_zone: bool, delay_ms: float) -> None:
        """Learn how long a job took to start, or has waited so far.

        The estimate follows the minimum, as delay-based congestion control follows the shortest round trip.
        A mean would grow with the workers' queues until every start looked prompt.
        """
        known_ms = self.min_start_delay_ms.get(own_zone, delay_ms)
        step = 1 + LEARNING_RATE / 4 if delay_ms > known_ms else 1 - START_DELAY_DECREASE
        self.min_start_delay_ms[own_zone] = max(self.tick_ms, known_ms * step)

    def start_delay_ms(self, own_zone: bool) -> float:
        """Return the start delay at an idle worker; one tick if unknown."""
        return self.min_start_delay_ms.get(own_zone, self.tick_ms)

    def on_slots_seen(self, kind: int, slots: float) -> None:
        """Learn that one worker of a kind has at least this many slots."""
        self.kind_slots[kind] = max(self.kind_slots.get(kind, 1.0), slots)


def lower_median(values: Iterable[float]) -> float:
    """Return the lower median; 0 if there are no values."""
    ordered = sorted(values) or [0.0]
    return ordered[(len(ordered) - 1) // 2]
