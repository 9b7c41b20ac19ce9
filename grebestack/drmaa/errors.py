"""Errors by their names in the DRMAA2 specification, and the statuses that carry them."""

from __future__ import annotations

from grebestack.jobs.records import JobError, Kind

STATUS = {
    "INVALID_ARGUMENT": 400,
    "UNSUPPORTED_ATTRIBUTE": 400,
    "INVALID_STATE": 409,
    "TIMEOUT": 408,
    "TRY_LATER": 503,
    "OUT_OF_RESOURCE": 503,
    "UNSUPPORTED_OPERATION": 501,
    "INTERNAL": 500,
}
KINDS = {
    Kind.INVALID: ("INVALID_ARGUMENT", 400),
    Kind.UNKNOWN: ("INVALID_ARGUMENT", 404),
    Kind.CONFLICT: ("INVALID_ARGUMENT", 409),
    Kind.STATE: ("INVALID_STATE", 409),
    Kind.LATER: ("TRY_LATER", 503),
    Kind.RESOURCE: ("OUT_OF_RESOURCE", 503),
}


class DrmaaError(Exception):
    """An error by its name in the specification."""

    def __init__(self, name: str, message: str, status: int = 0, retry_after_ms: float | None = None) -> None:
        super().__init__(message)
        self.name, self.status = name, status or STATUS[name]
        self.retry_after_ms = retry_after_ms


def from_job_error(error: JobError) -> DrmaaError:
    """What the job service says, in the specification's words."""
    name, status = KINDS[error.kind]
    return DrmaaError(name, str(error), status, error.retry_after_ms)
