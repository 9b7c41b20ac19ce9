"""Whether a request may be sent again, hedged, moved to another worker or rejected without harm.

Pure functions of one request. Times are in milliseconds.
"""

from __future__ import annotations

import math

from grebestack.core.requests import Request
from grebestack.core.settings import Effect, Group, Settings


def may_reject(request: Request) -> bool:
    """Whether a request may be rejected, which tells the client that a retry is harmless.

    A retry is harmless for an idempotent request, for one with an idempotency key that all workers recognise,
    and for one that was certainly not executed.
    """
    effect, everywhere = request.job_class.effect, request.job_class.group is Group.ALL
    return (
        effect is Effect.IDEMPOTENT
        or (effect is Effect.IDEMPOTENT_WITH_KEY and everywhere)
        or request.first_possible_run is None
    )


def may_send(request: Request, now_ms: float, settings: Settings) -> bool:
    """Whether another attempt is allowed, regardless of the worker.

    It must not execute a request twice that is not idempotent, nor exceed the attempt limit, the deadline or
    the retry window. A second copy is allowed only with hedging. One tick is kept as a margin.
    """
    now_ms += settings.tick_ms
    limit = min(request.max_attempts, settings.max_attempts)
    has_copy = not settings.hedging_enabled and any(a.outcome is None for a in request.attempts)
    is_excluded = (
        request.is_closed
        or has_copy
        or len(request.attempts) >= limit
        or now_ms >= request.arrival.deadline_ms
    )
    return is_repeat_harmless(request) and not is_excluded and now_ms <= send_by_ms(request)


def is_repeat_harmless(request: Request) -> bool:
    """Whether another attempt can't execute a request twice, given the right worker and time."""
    possible_run, effect = request.first_possible_run, request.job_class.effect
    if possible_run is None or effect is Effect.IDEMPOTENT:
        return True
    if effect is Effect.NOT_IDEMPOTENT:
        return False
    is_group_known = possible_run.zone is not None and possible_run.cell is not None
    return request.job_class.group is Group.ALL or is_group_known


def send_by_ms(request: Request) -> float:
    """Return by when the first byte of the next attempt must be sent.

    A worker recognises an idempotency key for the retry window, which begins with the first attempt that may
    have been executed. The limit includes the time to establish a connection. Infinite if no window applies.
    """
    possible_run = request.first_possible_run
    if possible_run is None or request.job_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
        return math.inf
    return possible_run.sent_ms + request.job_class.retry_window_ms


def retry_scope(request: Request) -> tuple[int | None, int | None]:
    """Return the zone and the cell to which a retry is limited; None: any.

    Once a request with an idempotency key may have been executed, only the workers of its group recognise the
    key.
    """
    group, possible_run = request.job_class.group, request.first_possible_run
    is_keyed = request.job_class.effect is Effect.IDEMPOTENT_WITH_KEY
    if possible_run is None or not is_keyed or group is Group.ALL:
        return None, None
    return possible_run.zone, possible_run.cell if group is Group.CELL else None


def may_cancel_and_retry(request: Request, settings: Settings) -> bool:
    """Whether an attempt may be cancelled and, once its worker has dropped it, retried elsewhere."""
    return settings.cancel and request.job_class.effect is not Effect.NOT_IDEMPOTENT


def may_hedge(request: Request, settings: Settings) -> bool:
    """Whether a second attempt may be sent at once in place of one that is cancelled."""
    return settings.hedging_enabled and may_cancel_and_retry(request, settings)
