"""Decides whether a job that was sent before a restart may be sent again.

The store records an attempt before its first byte is sent. After a crash, a job may therefore count as sent
although no worker has received it. It can't be distinguished from a job whose response was lost, and is
treated in the same way.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from grebestack.core.api import Effect, Group, JobClass, Settings

# Between the last moment for a retry and the end of its window, since the process may be delayed.
RETRY_MARGIN_S = 0.2


@dataclass(frozen=True, slots=True)
class EarlierAttempts:
    """The attempts of one job before a restart, except those that are proven never to have run.

    Parameters
    ----------
    worker
        The worker of the latest attempt.
    first_sent_s
        The Unix time of the first attempt.
    count
        The number of attempts.
    """

    worker: str
    first_sent_s: float
    count: int


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """The limits for sending a job again after a restart.

    Parameters
    ----------
    until_s
        The Unix time after which it is not sent any more; infinity if there is no such limit.
    attempts
        The number of further attempts that are allowed.
    """

    until_s: float
    attempts: int


def retry_limit(job_class: JobClass, settings: Settings, earlier: EarlierAttempts) -> RetryLimit | None:
    """Return the limits of a retry, or None if the job must not be sent again.

    The worker must give up the earlier attempt first, which the `cancel` setting has to allow. A job class
    whose idempotency key is recognised only within a group of workers is not retried, because after a restart
    the group of the earlier attempts is not known.
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
