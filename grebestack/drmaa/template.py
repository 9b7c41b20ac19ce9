"""Schemas of the messages that clients send: job templates, job arrays and submissions of several jobs.

Attributes are DRMAA2's. Those that DRMAA2 doesn't define (dependencies, latency objectives, the payload) are
in `implementationSpecific`.
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

# The other attributes of the specification's job template, which are not supported.
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
MAX_TEMPLATE_BYTES = 64 * 1024
MAX_GRAPH_JOBS = 1000  # in one submission
PARAMETRIC_INDEX = "$PARAMETRIC_INDEX$"  # replaced by a job's index in args and payload
MAX_UNIX_TIME_S = 253_402_300_800.0  # the year 10000
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


class BulkSubmission(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """runBulkJobs: one job for each index from begin to end."""

    job_template: dict[str, Any]
    begin_index: Index = 1
    end_index: Index = 1
    step: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 1
    max_parallel: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None


class GraphSubmission(msgspec.Struct, forbid_unknown_fields=True, rename="camel"):
    """Jobs of one submission, which may depend on each other by name."""

    jobs: Annotated[dict[Name, dict[str, Any]], Meta(min_length=1, max_length=MAX_GRAPH_JOBS)]


class WaitArguments(msgspec.Struct, forbid_unknown_fields=True):
    """waitTerminated: a timeout in seconds, or -1 for none."""

    timeout: Annotated[float, Meta(ge=-1, le=3600)] = 3600.0


def validate(raw: Any, schema_class: type[T], subject: str) -> T:
    """Convert a message by its schema; an error names the field, its value and what is allowed."""
    try:
        return msgspec.convert(raw, schema_class)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `")
        path = path.rstrip("`").removeprefix("$").lstrip(".")
        raise DrmaaError("INVALID_ARGUMENT", f"{path or subject}: {text}{_value_at(raw, path)}") from error


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
    """Convert a time in ISO 8601 with a time zone, or in Unix seconds, to Unix seconds."""
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
    if not 0 <= seconds <= MAX_UNIX_TIME_S:
        message = f"{name}: must be a time with its zone, or Unix seconds; it is {json.dumps(value)}"
        raise DrmaaError("INVALID_ARGUMENT", message)
    return seconds


def read_template(raw: Any) -> JobTemplate:
    """Validate a job template."""
    if isinstance(raw, dict):
        raw = {name: value for name, value in raw.items() if value is not None}
        for name in raw:
            if name in UNSUPPORTED:
                raise DrmaaError("UNSUPPORTED_ATTRIBUTE", f"{name} is not supported")
    template = validate(raw, JobTemplate, "the job template")
    if template.implementation_specific.payload is not None and template.args:
        raise DrmaaError("INVALID_ARGUMENT", "give args or a payload, not both")
    if template.max_slots is not None and template.max_slots < template.min_slots:
        raise DrmaaError("INVALID_ARGUMENT", "maxSlots: is below minSlots")
    return template


class TemplateConverter:
    """Converts templates into jobs, and recorded jobs into the requests that workers are sent."""

    def __init__(self, settings: Settings, queued: frozenset[str] = frozenset()) -> None:
        self.names = [c.name for c in settings.classes]
        self.queued = queued  # classes whose jobs are queued even without scheduling attributes
        self.parse = lru_cache(256)(self._parse)  # the jobs of an array share one template

    def new_job(self, raw: Any, label: str = "", may_wait: bool = False) -> NewJob:
        """Return a job for the job service; DrmaaError if the template is not valid."""
        template = read_template(raw)
        if template.job_category not in self.names:
            message = f"jobCategory: must be one of {', '.join(self.names)}"
            raise DrmaaError("INVALID_ARGUMENT", f"{message}; it is {json.dumps(template.job_category)}")
        canonical = json.dumps(
            {name: value for name, value in raw.items() if value is not None},
            sort_keys=True,
            separators=(",", ":"),
        )
        if len(canonical) > MAX_TEMPLATE_BYTES:
            message = f"the job template has {len(canonical)} bytes, {MAX_TEMPLATE_BYTES} are allowed"
            raise DrmaaError("INVALID_ARGUMENT", message)
        extensions = template.implementation_specific
        dependencies = tuple(
            (item, Condition.DONE) if isinstance(item, str) else (item.job, Condition(item.on))
            for item in extensions.after
        )
        start = unix_time(template.start_time, "startTime")
        may_wait = (
            may_wait
            or bool(dependencies)
            or start is not None
            or template.submit_as_hold
            or template.priority is not None
            or extensions.wanted_time is not None
            or template.job_category in self.queued
        )
        return NewJob(
            canonical,
            template.job_category,
            self.names.index(template.job_category),
            may_wait,
            start,
            unix_time(template.deadline_time, "deadlineTime"),
            extensions.wanted_time,
            float(template.priority or 0),
            template.submit_as_hold,
            dependencies,
            extensions.after_mode == "any",
            label,
        )

    def _parse(self, text: str) -> JobTemplate:
        try:
            return read_template(json.loads(text))
        except DrmaaError as error:
            raise JobError(JobErrorKind.INVALID, str(error)) from error

    def build_request(self, job: Job) -> JobRequest:
        """Return what a worker is sent for a recorded job."""
        template = self.parse(job.template)
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
