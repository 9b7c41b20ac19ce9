"""What people read of a job: how it ended, and why it waits. Pure."""

from __future__ import annotations

import time

from grebestack.job_queue import interface as room_api
from grebestack.job_queue.interface import Cause, Stage


def annotation(end: room_api.End, may_have_run: bool = False) -> str:
    """What an end that the room decided is called; a job may have run before a restart."""
    if may_have_run:
        return f"{'terminated' if end.cause is Cause.TERMINATED else 'overdue'}: it may have run"
    match end.cause:
        case Cause.DEPENDENCY:
            chain = "" if end.root in ("", end.of) else f"; it began with job {end.root}"
            return f"it has not run: job {end.of}, which it waited for, did not end as it asks{chain}"
        case Cause.OVERDUE:
            return "overdue: it has not run by its deadline"
        case Cause.TOO_LATE:
            return "overdue: it has not run, and could not be tried again before its deadline"
        case Cause.TERMINATED:
            return "terminated: it has not run"


def in_words(why: room_api.Why, unix_ms: float) -> str:
    """Why a job waits, as a person reads it."""
    if why.stage is Stage.SENT:
        return "a server has it"
    if why.stage is Stage.RELEASED:
        return "let in: it waits for a server with room"
    parts = []
    if why.held:
        parts.append("held until it is released")
    if why.jobs:
        more = f" and {why.more_jobs} more" if why.more_jobs else ""
        parts.append(f"waits for {'one of ' if why.any_of else ''}job {', '.join(why.jobs)}{more}")
    if why.start_unix_ms is not None:
        left_s = (why.start_unix_ms - unix_ms) / 1000.0
        parts.append(f"not before {iso(why.start_unix_ms)} (in {left_s:.0f} s)")
    if why.place is not None:
        text = f"ready for {why.age_ms / 1000.0:.1f} s of {why.wanted_ms / 1000.0:g} wanted"
        if why.lane_closed:
            text += ", no server takes its class"
        elif why.group_full:
            text += ", its array has as many out as it may"
        elif why.paused_ms > 0:
            text += f", refused, tried again in {why.paused_ms / 1000.0:.1f} s"
        else:
            text += f", {why.place} before it"
            if why.rate_per_s > 0:
                text += f" (about {why.place / why.rate_per_s:.0f} s)"
        parts.append(text)
    if why.deadline_unix_ms is not None:
        parts.append(f"ends at {iso(why.deadline_unix_ms)} at the latest")
    return "; ".join(parts) or "being recorded"


def iso(unix_ms: float) -> str:
    """A time as people write it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1000.0))
