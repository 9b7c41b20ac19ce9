"""The messages that clients send, as schemas: job templates, arrays and submissions of several jobs.

Attributes are DRMAA2's. What that has no word for (dependencies, wanted times, the payload) stands under
`implementationSpecific`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from datetime import datetime
from functools import lru_cache
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from grebestack.core.api import Settings
from grebestack.drmaa.errors import DrmaaError
from grebestack.job_queue.interface import Condition
from grebestack.jobs.records import Job, JobError, JobErrorKind, JobRequest, NewJob
from grebestack.routing.requests import Payload

# The other attributes of the specification's job template: known, and not to be had here.
UNSUPPORTED = {
    "remoteCommand",
    "rerunnable",
    "jobEnvironment",
    "workingDirectory",
    "email",
    "emailOnStarted",
    "emailOnTerminated",
    "inputPath",
    "outputPath",
    "errorPath",
    "joinFiles",
    "reservationId",
    "queueName",
    "candidateMachines",
    "machineOS",
    "machineArch",
    "stageInFiles",
    "stageOutFiles",
    "resourceLimits",
    "accountingId",
}
MOST_TEMPLATE = 64 * 1024  # bytes
MOST_IN_GRAPH = 1000  # jobs of one submission that name each other
PARAMETRIC_INDEX = "$PARAMETRIC_INDEX$"  # stands for a job's index in args and payload
UNIX_MOST = 253_402_300_800.0  # the year 10000
T = TypeVar("T")
Slots = Annotated[float, Meta(ge=1, le=4096)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Index = Annotated[int, Meta(ge=0, le=1_000_000_000)]


class After(msgspec.Struct, forbid_unknown_fields=True):
    """A job, an array or, within one submission, a name; and how it must have ended."""

    job: Name
    on: Literal["done", "failed", "ended"] = "done"


class Special(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """What DRMAA2 has no word for."""

    payload: str | None = None
    after: list[After | str] = []
    after_mode: Literal["all", "any"] = "all"
    wanted_time: Annotated[float, Meta(ge=0.001, le=1e7)] | None = None


class JobTemplate(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """DRMAA2's job template, as far as it is supported."""

    job_category: str
    job_name: str | None = None
    args: list[str] = []
    min_slots: Slots = 1.0
    max_slots: Slots | None = None
    min_phys_memory: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    deadline_time: str | float | None = None
    start_time: str | float | None = None
    submit_as_hold: bool = False
    priority: Annotated[int, Meta(ge=-100, le=100)] | None = None
    implementation_specific: Special = msgspec.field(default_factory=Special)


class Bulk(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """runBulkJobs: one job for each index from begin to end."""

    job_template: dict[str, Any]
    begin_index: Index = 1
    end_index: Index = 1
    step: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 1
    max_parallel: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None


class Graph(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """Jobs that come together and may name each other."""

    jobs: Annotated[dict[Name, dict[str, Any]], Meta(min_length=1, max_length=MOST_IN_GRAPH)]


class Wait(msgspec.Struct, forbid_unknown_fields=True):
    """waitTerminated: seconds, or -1 for as long as it takes."""

    timeout: Annotated[float, Meta(ge=-1, le=3600)] = 3600.0


def checked(raw: Any, form: type[T], what: str) -> T:
    """A message that keeps to its schema; else an error with the field, the value and what is allowed."""
    try:
        return msgspec.convert(raw, form)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `")
        path = path.rstrip("`").removeprefix("$").lstrip(".")
        raise DrmaaError("INVALID_ARGUMENT", f"{path or what}: {text}{_value_at(raw, path)}") from error


def _value_at(raw: Any, path: str) -> str:
    value = raw
    for part in path.replace("[", ".[").split("."):
        if part.startswith("[") and isinstance(value, list) and part[1:-1].isdigit():
            value = value[int(part[1:-1])]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        elif part:
            return ""
    text = json.dumps(value)
    return f"; it is {text if len(text) <= 60 else text[:57] + '...'}" if path else ""


def unix_time(value: str | float | None, name: str) -> float | None:
    """A time in ISO 8601 with its zone, or in Unix seconds."""
    if value is None:
        return None
    if isinstance(value, int | float):
        seconds = float(value)
    else:
        try:
            when = datetime.fromisoformat(value)
            seconds = when.timestamp() if when.tzinfo is not None else math.nan
        except (ValueError, OverflowError):
            seconds = math.nan
    if not 0 <= seconds <= UNIX_MOST:
        what = f"{name}: must be a time with its zone, or Unix seconds; it is {json.dumps(value)}"
        raise DrmaaError("INVALID_ARGUMENT", what)
    return seconds


def read(raw: Any) -> JobTemplate:
    """A job template, checked by its schema."""
    if isinstance(raw, dict):
        raw = {name: value for name, value in raw.items() if value is not None}
        for name in raw:
            if name in UNSUPPORTED:
                raise DrmaaError("UNSUPPORTED_ATTRIBUTE", f"{name} is not supported")
    template = checked(raw, JobTemplate, "the job template")
    if template.implementation_specific.payload is not None and template.args:
        raise DrmaaError("INVALID_ARGUMENT", "give args or a payload, not both")
    if template.max_slots is not None and template.max_slots < template.min_slots:
        raise DrmaaError("INVALID_ARGUMENT", "maxSlots: is below minSlots")
    return template


class TemplateConverter:
    """Turns templates into jobs, and recorded jobs into what their servers are sent."""

    def __init__(self, settings: Settings, queued: frozenset[str] = frozenset()) -> None:
        self.names = [c.name for c in settings.classes]
        self.queued = queued  # classes whose jobs wait for room though they ask for nothing
        self.parsed = lru_cache(256)(self._parsed)  # an array's jobs share one template

    def new_job(self, raw: Any, label: str = "", waits: bool = False) -> NewJob:
        """A job as the job service takes it; DrmaaError if the template can't be used."""
        template = read(raw)
        if template.job_category not in self.names:
            what = f"jobCategory: must be one of {', '.join(self.names)}"
            raise DrmaaError("INVALID_ARGUMENT", f"{what}; it is {json.dumps(template.job_category)}")
        canonical = json.dumps(
            {name: value for name, value in raw.items() if value is not None},
            sort_keys=True,
            separators=(",", ":"),
        )
        if len(canonical) > MOST_TEMPLATE:
            what = f"the job template has {len(canonical)} bytes, {MOST_TEMPLATE} are allowed"
            raise DrmaaError("INVALID_ARGUMENT", what)
        special = template.implementation_specific
        after = tuple(
            (a, Condition.DONE) if isinstance(a, str) else (a.job, Condition(a.on)) for a in special.after
        )
        start = unix_time(template.start_time, "startTime")
        waits = (
            waits
            or bool(after)
            or start is not None
            or template.submit_as_hold
            or template.priority is not None
            or special.wanted_time is not None
            or template.job_category in self.queued
        )
        return NewJob(
            canonical,
            template.job_category,
            self.names.index(template.job_category),
            waits,
            start,
            unix_time(template.deadline_time, "deadlineTime"),
            special.wanted_time,
            float(template.priority or 0),
            template.submit_as_hold,
            after,
            special.after_mode == "any",
            label,
        )

    def _parsed(self, text: str) -> JobTemplate:
        try:
            return read(json.loads(text))
        except DrmaaError as error:
            raise JobError(JobErrorKind.INVALID, str(error)) from error

    def build_request(self, job: Job) -> JobRequest:
        """What a server is sent for a recorded job."""
        template = self.parsed(job.template)
        if template.job_category not in self.names:
            raise JobError(JobErrorKind.INVALID, f"jobCategory must be one of {', '.join(self.names)}")
        payload = template.implementation_specific.payload
        text = json.dumps({"args": template.args}) if payload is None else payload
        if job.number is not None and job.label == "":
            text = text.replace(PARAMETRIC_INDEX, str(job.number))
        name = job.id.encode()
        head = b"POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nIdempotency-Key: %s\r\n" % (name, name)
        return JobRequest(
            self.names.index(template.job_category),
            Payload(head + b"Content-Type: application/json\r\n", text.encode("utf-8", "surrogatepass")),
            template.min_slots,
            template.min_phys_memory,
        )


def schema() -> Mapping[str, Any]:
    """The JSON schema of a job template."""
    return msgspec.json.schema(JobTemplate)
