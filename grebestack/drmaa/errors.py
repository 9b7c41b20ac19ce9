"""Error names of the DRMAA2 specification and the HTTP statuses that they are sent with."""

from __future__ import annotations

from grebestack.jobs.records import JobError, JobErrorKind

STATUS_BY_NAME = {
    "INVALID_ARGUMENT": 400,
    "UNSUPPORTED_ATTRIBUTE": 400,
    "INVALID_STATE": 409,
    "TIMEOUT": 408,
    "TRY_LATER": 503,
    "OUT_OF_RESOURCE": 503,
    "UNSUPPORTED_OPERATION": 501,
    "INTERNAL": 500,
}
NAME_AND_STATUS_BY_KIND = {
    JobErrorKind.INVALID: ("INVALID_ARGUMENT", 400),
    JobErrorKind.UNKNOWN: ("INVALID_ARGUMENT", 404),
    JobErrorKind.CONFLICT: ("INVALID_ARGUMENT", 409),
    JobErrorKind.STATE: ("INVALID_STATE", 409),
    JobErrorKind.LATER: ("TRY_LATER", 503),
    JobErrorKind.RESOURCE: ("OUT_OF_RESOURCE", 503),
}


class DrmaaError(Exception):
    """An error with its name in the specification."""

    def __init__(self, name: str, message: str, status: int = 0, retry_after_ms: float | None = None) -> None:
        super().__init__(message)
        self.name, self.status = name, status or STATUS_BY_NAME[name]
        self.retry_after_ms = retry_after_ms


def from_job_error(error: JobError) -> DrmaaError:
    """Return the specification's error for one of the job service."""
    name, status = NAME_AND_STATUS_BY_KIND[error.kind]
    return DrmaaError(name, str(error), status, error.retry_after_ms)
