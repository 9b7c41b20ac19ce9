"""Admission: tenants' quotas, shedding of requests, and the Retry-After of rejected ones."""

from __future__ import annotations

from grebestack.core.context import DecisionContext
from grebestack.core.settings import JobClass

ADMISSION_INCREASE_FACTOR = 1.15  # applied at each prompt start
ADMISSION_DECREASE_FACTOR = 0.5  # applied at each overdue start of a job that cannot be moved
MIN_ADMISSION_PROBABILITY = 0.05
ADMISSION_PROBE_INTERVAL_MS = 1000.0  # one request is admitted if none was sent for this long
QUOTA_BURST_S = 2.0  # seconds of the quota that may arrive at once


class TokenBucket:
    """Token bucket whose burst is QUOTA_BURST_S seconds of its rate, and at least one token."""

    def __init__(self) -> None:
        """Start at time 0 with one token, so that the bucket is full by the first take at a later time."""
        self.tokens, self.updated_ms = 1.0, 0.0

    def take(self, now_ms: float, rate_per_s: float) -> bool:
        """Take one token if there is one."""
        refill = rate_per_s * (now_ms - self.updated_ms) / 1000.0
        burst = max(1.0, QUOTA_BURST_S * rate_per_s)
        self.tokens, self.updated_ms = min(burst, self.tokens + refill), now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AdmissionControl:
    """Sheds requests at random while jobs start late, if late answers of their class have no value."""

    def __init__(self, context: DecisionContext) -> None:
        """Start with every request admitted."""
        self.context = context
        self.admission_probability = 1.0
        self.next_probe_ms = 0.0
        self.quotas: list[TokenBucket] = []

    def on_settings_changed(self) -> None:
        """Create new buckets for the tenants: each has a full burst again after a reload."""
        self.quotas = [TokenBucket() for _ in self.context.settings.tenants]

    def is_within_quota(self, tenant: int) -> bool:
        """Whether a request is within its tenant's quota; an unknown tenant has none.

        The quota is a rate over all dispatchers, of which each one grants an equal part.
        """
        if not self.quotas:
            return True
        if tenant >= len(self.quotas):
            return False
        settings = self.context.settings
        rate_per_s = settings.tenants[tenant].quota_per_s / settings.dispatcher_count
        return self.quotas[tenant].take(self.context.now_ms, rate_per_s)

    def is_shed(self, job_class: JobClass) -> bool:
        """Whether a new request is shed: at random, unless even a late answer of its class has a value."""
        return not (
            job_class.late_priority_weight > 0
            or self.context.random.random() <= self.admission_probability
            or self.context.now_ms >= self.next_probe_ms
        )

    def on_sent(self) -> None:
        """Postpone the request that is admitted if nothing was sent for a while."""
        self.next_probe_ms = self.context.now_ms + ADMISSION_PROBE_INTERVAL_MS

    def on_prompt_start(self) -> None:
        """Admit more requests after a job started in time."""
        self.admission_probability = min(1.0, ADMISSION_INCREASE_FACTOR * self.admission_probability)

    def on_overdue_start(self, *, may_move: bool) -> None:
        """Admit fewer requests after an overdue start, unless the job may be moved and was not before."""
        factor = 1.0 if may_move else ADMISSION_DECREASE_FACTOR
        self.admission_probability = max(MIN_ADMISSION_PROBABILITY, self.admission_probability * factor)

    def retry_after_ms(self, class_index: int, queued_count: int) -> float | None:
        """Return after how many ms a rejected client should retry: about when all queued requests are served.

        None if the settings have no Retry-After.
        """
        settings = self.context.settings
        if not settings.retry_after or settings.max_retry_after_ms <= 0:
            return None
        running = sum(w.attempt_count for w in self.context.workers.values() if w.is_ready)
        rounds = 1.0 + queued_count / max(1, running)
        wait_ms = self.context.jittered_ms(self.context.estimates.run_ms[class_index] * rounds)
        return min(settings.max_retry_after_ms, wait_ms)
