"""What people read of a job: how it ended, and why it waits. Pure."""

from __future__ import annotations

import time

from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import EndCause, JobStage


def annotation(end: queue_api.EndJob, may_have_run: bool = False) -> str:
    """What an end that the room decided is called; a job may have run before a restart."""
    if may_have_run:
        return f"{'terminated' if end.cause is EndCause.TERMINATED else 'overdue'}: it may have run"
    match end.cause:
        case EndCause.DEPENDENCY:
            chain = "" if end.root_job in ("", end.dependency) else f"; it began with job {end.root_job}"
            return f"it has not run: job {end.dependency}, which it waited for, did not end as it asks{chain}"
        case EndCause.OVERDUE:
            return "overdue: it has not run by its deadline"
        case EndCause.TOO_LATE:
            return "overdue: it has not run, and could not be tried again before its deadline"
        case EndCause.TERMINATED:
            return "terminated: it has not run"


def in_words(why: queue_api.WaitStatus, unix_ms: float) -> str:
    """Why a job waits, as a person reads it."""
    if why.stage is JobStage.SENT:
        return "a server has it"
    if why.stage is JobStage.RELEASED:
        return "let in: it waits for a server with room"
    parts = []
    if why.held:
        parts.append("held until it is released")
    if why.waiting_for:
        more = f" and {why.more_waiting_for} more" if why.more_waiting_for else ""
        parts.append(f"waits for {'one of ' if why.any_of else ''}job {', '.join(why.waiting_for)}{more}")
    if why.start_unix_ms is not None:
        left_s = (why.start_unix_ms - unix_ms) / 1000.0
        parts.append(f"not before {iso(why.start_unix_ms)} (in {left_s:.0f} s)")
    if why.jobs_ahead is not None:
        text = f"ready for {why.age_ms / 1000.0:.1f} s of {why.latency_objective_ms / 1000.0:g} wanted"
        if why.class_unavailable:
            text += ", no server takes its class"
        elif why.batch_full:
            text += ", its array has as many out as it may"
        elif why.retry_in_ms > 0:
            text += f", refused, tried again in {why.retry_in_ms / 1000.0:.1f} s"
        else:
            text += f", {why.jobs_ahead} before it"
            if why.send_rate_per_s > 0:
                text += f" (about {why.jobs_ahead / why.send_rate_per_s:.0f} s)"
        parts.append(text)
    if why.deadline_unix_ms is not None:
        parts.append(f"ends at {iso(why.deadline_unix_ms)} at the latest")
    return "; ".join(parts) or "being recorded"


def iso(unix_ms: float) -> str:
    """A time as people write it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1000.0))
