"""Reads a job from the HTTP request with which a client posts it."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from grebestack.core.api import Effect, Group, JobClass, Settings
from grebestack.routing.requests import Payload
from grebestack.transport.http_message import HttpRequest

is_plain = re.compile(rb"[!-~]{1,512}").fullmatch  # of a value that may be forwarded to a worker
is_seconds = re.compile(rb"(?=[0-9.]*[1-9])[0-9]{1,9}(\.[0-9]{0,9})?|(?=\.0*[1-9])\.[0-9]{1,9}").fullmatch
MAX_SLOTS_OR_MEMORY = 1e6
MAX_COST_US = 3.6e9  # an hour; a hint above it is taken for an error and ignored
SLOTS_NAMES = ("slots", "x1")
MEMORY_NAMES = ("mem", "memory", "x2")


class MalformedFieldError(ValueError):
    """A field of a request can't be used; `name` is that of the header, or "target"."""

    def __init__(self, name: str) -> None:
        """Name the field."""
        super().__init__(f"{name} can't be used")
        self.name = name


@dataclass(frozen=True, slots=True)
class JobRequest:
    """One job as its client has posted it."""

    call_id: str
    job_class: int
    limit_ms: float  # the client's time limit, at most that of the class
    payload: Payload
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    cache_key: int | None = None
    cost_ms: float | None = None
    is_retry: bool = False


def parse_numbers(header: bytes) -> dict[str, float]:
    """Parse `name=value,name=value`; parts whose value is not a finite number are left out."""
    numbers: dict[str, float] = {}
    for part in header.decode("latin-1").split(","):
        name, _, text = part.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if math.isfinite(value):
            numbers[name.strip()] = value
    return numbers


def route_key(header: bytes | None) -> int | None:
    """Return the cache key of a request as a number that is the same in all dispatchers."""
    return None if header is None else int.from_bytes(blake2b(header, digest_size=6).digest(), "big")


class JobRequestParser:
    """Parses jobs by the classes and tenants of some settings."""

    def __init__(self, settings: Settings) -> None:
        """Parse by these settings."""
        active = [(index, c) for index, c in enumerate(settings.classes) if index not in settings.retired]
        self.classes: Mapping[bytes, tuple[int, JobClass]] = {c.name.encode(): (i, c) for i, c in active}
        self.tenants = {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}
        self.strictest_class = min(range(len(settings.classes)), key=lambda i: _rank(settings.classes[i]))

    def parse(self, request: HttpRequest) -> JobRequest:
        """Return the job.

        Raises
        ------
        MalformedFieldError
            A worker closes its connection on a request that it can't parse, a keyed job without its key could
            be executed twice, and decisions depend on slots and memory.
        """
        headers = request.headers
        info = parse_numbers(headers.get(b"x-call-info", b""))
        slots = next((info[name] for name in SLOTS_NAMES if name in info), 1.0)
        memory = next((info[name] for name in MEMORY_NAMES if name in info), 0.0)
        class_index, job_class = self._parse_class(headers)
        call_id, key = headers.get(b"x-call-id", b""), headers.get(b"idempotency-key")
        _require(bool(is_plain(call_id)), "X-Call-Id")
        _require(bool(is_plain(request.target)), "target")
        budget = headers.get(b"x-budget")
        _require(budget is None or bool(is_seconds(budget)), "X-Budget")
        needs_key = job_class.effect is Effect.IDEMPOTENT_WITH_KEY
        _require(not needs_key if key is None else bool(is_plain(key)), "Idempotency-Key")
        is_size_valid = 0 < slots <= MAX_SLOTS_OR_MEMORY and 0 <= memory <= MAX_SLOTS_OR_MEMORY
        _require(is_size_valid, "X-Call-Info")
        cost_us = parse_numbers(b"cost=" + headers.get(b"x-call-cost", b"")).get("cost", 0.0)
        return JobRequest(
            call_id.decode("latin-1"),
            class_index,
            job_class.deadline_ms if budget is None else min(job_class.deadline_ms, float(budget) * 1000.0),
            Payload(_head(request.target, call_id, key), request.body),
            slots,
            memory,
            self.tenants.get(headers.get(b"x-caller", b""), len(self.tenants)),
            route_key(headers.get(b"x-route-hash")),
            cost_us / 1000.0 if 0.0 < cost_us <= MAX_COST_US else None,
            headers.get(b"x-again") == b"1",
        )

    def _parse_class(self, headers: Mapping[bytes, bytes]) -> tuple[int, JobClass]:
        """Return the class and its index."""
        known = self.classes.get(headers.get(b"x-call-class", b""))
        if known is None:
            raise MalformedFieldError("X-Call-Class")
        return known

    def unsendable(self, request: HttpRequest) -> JobRequest:
        """Return a job that another process has accepted and that can't be sent from here.

        It counts as one of the class that allows least.
        """
        call_id = request.headers.get(b"x-call-id", b"").decode("latin-1")
        return JobRequest(call_id, self.strictest_class, math.inf, Payload(b"", b""))


def _require(is_valid: bool, name: str) -> None:
    if not is_valid:
        raise MalformedFieldError(name)


def _head(target: bytes, call_id: bytes, key: bytes | None) -> bytes:
    """The part of the head that a worker gets as the client has sent it."""
    head = b"POST %s HTTP/1.1\r\nX-Call-Id: %s\r\n" % (target, call_id)
    return head if key is None else head + b"Idempotency-Key: %s\r\n" % key


def _rank(job_class: JobClass) -> int:
    """Order classes by what may be done with a job that may have run: the lowest allows least."""
    if job_class.effect is Effect.NOT_IDEMPOTENT:
        return 0
    if job_class.effect is Effect.IDEMPOTENT:
        return 3
    return 2 if job_class.group is Group.ALL else 1
