"""Whether a job that was sent before a restart may be sent again. Pure.

The store records an attempt before its first byte goes. After a crash a job may therefore count as sent that
no worker has heard of. It looks like one whose answer was lost, and is treated as such.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from grebestack.core.api import Effect, Group, JobClass, Settings

RETRY_MARGIN_S = (
    0.2  # between the last moment for a retry and the end of the window: the process may be held up
)


@dataclass(frozen=True, slots=True)
class EarlierAttempts:
    """The attempts of one job before a restart that are not proven never to have run.

    Parameters
    ----------
    worker
        Where it was sent last.
    first_sent_s
        The Unix time of the first one.
    count
        How many there are.
    """

    worker: str
    first_sent_s: float
    count: int


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """The bounds of a job that is sent again after a restart.

    Parameters
    ----------
    until_s
        The Unix time after which it is not sent any more; infinity where nothing limits it.
    attempts
        How many further attempts are allowed.
    """

    until_s: float
    attempts: int


def retry_limit(job_class: JobClass, settings: Settings, earlier: EarlierAttempts) -> RetryLimit | None:
    """Return the bounds of a retry, or None if the job must not be sent again.

    Its earlier attempt must be given up first, which the settings have to allow. Where an idempotency key is
    recognised by a group of workers only, the group of the earlier attempts is not known any more.
    """
    attempts = settings.max_attempts - earlier.count
    if attempts < 1 or not settings.cancel:
        return None
    if job_class.effect is Effect.IDEMPOTENT:
        return RetryLimit(math.inf, attempts)
    if job_class.effect is Effect.IDEMPOTENT_WITH_KEY and job_class.group is Group.ALL:
        window_s = job_class.retry_window_ms / 1000.0
        return RetryLimit(earlier.first_sent_s + window_s - RETRY_MARGIN_S, attempts)
    return None
