"""Texts about a job for people: how it ended, and why it waits."""

from __future__ import annotations

import time

from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import EndCause, JobStage


def end_annotation(end: queue_api.EndJob, may_have_run: bool = False) -> str:
    """Return the annotation of a job that the queue ended; `may_have_run`: before a restart."""
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


def describe_wait(status: queue_api.WaitStatus, unix_ms: float) -> str:
    """Describe why a job waits."""
    if status.stage is JobStage.SENT:
        return "a server has it"
    if status.stage is JobStage.RELEASED:
        return "let in: it waits for a server with room"
    parts = []
    if status.held:
        parts.append("held until it is released")
    if status.waiting_for:
        more = f" and {status.more_waiting_for} more" if status.more_waiting_for else ""
        parts.append(
            f"waits for {'one of ' if status.any_of else ''}job {', '.join(status.waiting_for)}{more}"
        )
    if status.start_unix_ms is not None:
        remaining_s = (status.start_unix_ms - unix_ms) / 1000.0
        parts.append(f"not before {iso_time(status.start_unix_ms)} (in {remaining_s:.0f} s)")
    if status.jobs_ahead is not None:
        text = f"ready for {status.age_ms / 1000.0:.1f} s of {status.latency_objective_ms / 1000.0:g} wanted"
        if status.class_unavailable:
            text += ", no server takes its class"
        elif status.batch_full:
            text += ", its array has as many out as it may"
        elif status.retry_in_ms > 0:
            text += f", refused, tried again in {status.retry_in_ms / 1000.0:.1f} s"
        else:
            text += f", {status.jobs_ahead} before it"
            if status.send_rate_per_s > 0:
                text += f" (about {status.jobs_ahead / status.send_rate_per_s:.0f} s)"
        parts.append(text)
    if status.deadline_unix_ms is not None:
        parts.append(f"ends at {iso_time(status.deadline_unix_ms)} at the latest")
    return "; ".join(parts) or "being recorded"


def iso_time(unix_ms: float) -> str:
    """Format a Unix time as ISO 8601 in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1000.0))
