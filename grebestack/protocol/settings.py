"""Parses the settings object of the simulator's `begin` message and of a dispatcher's configuration."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, TypeVar
from zlib import crc32

from grebestack.core import api

log = logging.getLogger(__name__)
EFFECTS = {
    "free": api.Effect.IDEMPOTENT,
    "guarded": api.Effect.IDEMPOTENT_WITH_KEY,
    "single_shot": api.Effect.NOT_IDEMPOTENT,
}
REPORT_NAMES = {"avg_ms": "run_ms"}
EXTRA_REPORTS = {"free slots": "free_slots", "free memory": "free_memory"}

Raw = Mapping[str, Any]
T = TypeVar("T")


class FormatError(Exception):
    """A message or setting is malformed; the text says how."""


def required_field(raw: Raw, name: str, types: type | tuple[type, ...]) -> Any:
    value = raw.get(name)
    if isinstance(value, types) and (not isinstance(value, bool) or types is bool):
        return value
    fault = "lacks" if value is None else f"has a bad value {value!r} in"
    raise FormatError(f"message {raw.get('msg')!r} {fault} the field {name!r}")


def required_int(raw: Raw, name: str) -> int:
    value: int = required_field(raw, name, int)
    return value


def required_number(raw: Raw, name: str) -> float:
    return float(required_field(raw, name, (int, float)))


def optional_number(raw: Raw, name: str, default: float = 0.0) -> float:
    return default if raw.get(name) is None else required_number(raw, name)


def optional_count(raw: Raw, name: str, default: int) -> int:
    value = optional_number(raw, name, default)
    if not math.isfinite(value):
        raise FormatError(f"{name} must be a positive number, not {value!r}")
    return int(value)


def required_string(raw: Raw, name: str) -> str:
    value: str = required_field(raw, name, str)
    return value


def required_choice(raw: Raw, name: str, table: Mapping[Any, T], types: type) -> T:
    value = required_field(raw, name, types)
    if value not in table:
        raise FormatError(f"message {raw.get('msg')!r} has an unknown value {value!r} in the field {name!r}")
    return table[value]


class PlaceNumbers:
    """Maps the names of zones and of worker kinds to the numbers that the decision module uses."""

    def __init__(self, options: Raw) -> None:
        self.zones = [str(name) for name in options.get("zones") or ()]
        self.models = [str(name) for name in options.get("models") or ()]

    def zone(self, name: str, default: int) -> int:
        """Return the number of a zone.

        A zone that the settings don't name gets a number of its own, the same in each process. With a common
        number for all of them, a job that must stay in its zone could be sent to another one.
        """
        if name in self.zones:
            return self.zones.index(name)
        return len(self.zones) + 1 + crc32(name.encode("utf-8", "surrogatepass")) if name else default

    def kind(self, name: str) -> int:
        """Return the number of a worker kind; the first one for a kind that the settings don't name."""
        return self.models.index(name) if name in self.models else 0


def report_names(extra: Raw) -> dict[str, str]:
    """Return the decision module's names of report values; the settings define what x0 and x1 mean."""
    names = dict(REPORT_NAMES)
    for name in ("x0", "x1"):
        meaning = str(extra.get("report" + name.upper()))
        names[name] = EXTRA_REPORTS.get(meaning, name)
    return names


def dispatcher_count(options: Raw) -> int:
    """Return the number of dispatchers; 1 if it is missing, null, not finite or less than 1."""
    value = optional_number(options, "siblings", 1)
    if math.isfinite(value) and value >= 1:
        return int(value)
    log.warning("bad_setting", extra={"kv": {"field": "siblings", "value": value, "taken_as": 1}})
    return 1


def polls_endpoint_list(options: Raw) -> bool:
    """Whether endpoint lists are polled. A value that is missing or unknown counts as `pushed`.

    With `pushed` the list is never older than the grace for drains allows, so no drain rule is broken.
    """
    return options.get("discovery") == "on_request"


def warn_unknown_discovery(options: Raw) -> None:
    """Log a value of `discovery` that is missing or unknown."""
    mode = options.get("discovery")
    if mode not in ("pushed", "on_request"):
        fields = {
            "field": "discovery",
            "value": mode,
            "allowed": "pushed or on_request",
            "taken_as": "pushed",
        }
        log.warning("bad_setting", extra={"kv": fields})


def parse_settings(options: Raw) -> api.Settings:
    """Parse the settings object, which is the `options` of a `begin` message."""
    extra: Raw = options.get("extra") or {}
    limits: Raw = options.get("limits") or {}
    rules: Raw = options.get("rules") or {}
    prices: Raw = options.get("prices") or {}
    report: Raw = options.get("report") or {}

    def per_class(name: str, index: int, default: float) -> float:
        values = extra.get(name) or ()
        return values[index] if index < len(values) else default

    classes = tuple(
        api.JobClass(
            name=str(raw.get("name", index)),
            latency_objective_ms=required_number(raw, "aimMs"),
            deadline_ms=required_number(raw, "hardLimitMs"),
            effect=required_choice(raw, "effect", EFFECTS, str),
            priority_weight=optional_number(raw, "value", 1.0),
            late_priority_weight=optional_number(raw, "lateWorth"),
            objective_stretch=optional_number(raw, "aimStretch", per_class("classStretch", index, 0.0)),
            group=api.Group(raw.get("group") or "all"),
            retry_window_ms=optional_number(raw, "windowMs"),
            kind=int(per_class("classKind", index, -1)),
            streamed=bool(raw.get("streamed")),
        )
        for index, raw in enumerate(required_field(options, "services", list))
    )
    names = report_names(extra)
    fields = (report.get("fields") or ()) if report.get("how") in ("inline", "on_probe") else ()
    return api.Settings(
        classes=classes,
        dispatcher=int(optional_number(options, "me")),
        dispatcher_count=dispatcher_count(options),
        zone=int(optional_number(options, "zone")),
        tenants=tuple(
            api.Tenant(str(tenant.get("name", "")), optional_number(tenant, "allowancePerS"))
            for tenant in options.get("accounts") or ()
        ),
        over_quota_weight_factor=optional_number(options, "overShareWorth", 1.0),
        polls_endpoint_list=polls_endpoint_list(options),
        poll_deadline_ms=optional_number(rules, "mustAskInMs", 10_000.0),
        drain_grace_ms=optional_number(rules, "drainGraceMs"),
        answer_grace_ms=optional_number(rules, "graceToAnswerMs"),
        slow_start_initial_share=optional_number(rules, "coldFrom", 1.0),
        slow_start_ms=optional_number(rules, "warmWithinMs"),
        overload_factor=optional_number(rules, "fallMultiple", 1.0),
        overload_window_ms=optional_number(rules, "tipAfterMs", 1000.0),
        max_attempts=optional_count(limits, "mostTries", 1),
        hedging_enabled=bool(limits.get("secondCopies")),
        cancel=bool(limits.get("cancel")),
        probing=bool(limits.get("probing")) and report.get("how") == "on_probe",
        retry_after=bool(limits.get("retryAfter")),
        max_retry_after_ms=optional_number(limits, "maxRetryAfterMs"),
        connect_timeout_ms=optional_number(limits, "connectTimeoutMs", 250.0),
        reports_attempt_start=bool(extra.get("tellsStart")),
        progress_ms=optional_number(extra, "progressMs"),
        cross_zone_cost=optional_number(prices, "crossZone"),
        late_failure_cost=optional_number(prices, "lateFail"),
        weight_by_work=options.get("worthBy") == "work",
        weights_follow_load=options.get("weights") == "live",
        report_fields=frozenset(names.get(name, name) for name in fields),
        tick_ms=optional_number(options, "tickMs", 1.0),
    )


# What is known of workers depends on these, so a change of them needs a restart.
RESTART_FIELDS = ("zones", "models", "zone", "discovery", "report", "tickMs")
RESTART_EXTRA_FIELDS = ("reportX0", "reportX1")


def merge_settings(former: api.Settings, new: api.Settings) -> api.Settings:
    """Return the new settings with all classes of the former ones at their index; see `Settings.classes`."""
    classes = list(former.classes)
    for job_class in new.classes:
        if job_class not in classes:
            classes.append(job_class)
    retired = frozenset(i for i, job_class in enumerate(classes) if job_class not in new.classes)
    return replace(
        new,
        classes=tuple(classes),
        retired=retired,
        zone=former.zone,
        tick_ms=former.tick_ms,
        polls_endpoint_list=former.polls_endpoint_list,
        report_fields=former.report_fields,
        probing=former.probing,
    )


def changed_restart_fields(former: Raw, new: Raw) -> list[str]:
    """Return the changed fields that need a restart."""
    former_extra: Raw = former.get("extra") or {}
    extra: Raw = new.get("extra") or {}
    changed = [name for name in RESTART_FIELDS if former.get(name) != new.get(name)]
    return changed + [
        f"extra.{name}" for name in RESTART_EXTRA_FIELDS if former_extra.get(name) != extra.get(name)
    ]


def collect_key_paths(raw: Any, path: str = "") -> set[str]:
    """Return the paths of all keys of an object and its nested objects.

    Of a list of objects, only the keys that all of them have are included.
    """
    if isinstance(raw, dict):
        nested = (
            collect_key_paths(value, f"{path}.{name}") | {f"{path}.{name}"} for name, value in raw.items()
        )
        return set().union(*nested)
    if isinstance(raw, list) and raw and all(isinstance(item, dict) for item in raw):
        return set.intersection(*(collect_key_paths(item, f"{path}[]") for item in raw))
    return set()


def check_numbers(options: Raw) -> None:
    """Raise FormatError for a number that can't be intended; at a start some of them get defaults instead."""
    services = options.get("services")
    if not isinstance(services, list) or not services or not all(isinstance(raw, dict) for raw in services):
        raise FormatError(f"settings.services must be a list of classes, at least one, not {services!r:.40}")
    names = [raw.get("name") for raw in services]
    if not all(isinstance(name, str) and name for name in names) or len(set(names)) < len(names):
        raise FormatError(f"settings.services[].name must be words, each once, not {names!r:.80}")
    for raw in services:
        path = f"settings.services[{raw['name']}]"
        for name in ("aimMs", "hardLimitMs"):
            _check_number(path, raw, name, above=0.0)
        for name in ("value", "lateWorth", "windowMs", "aimStretch"):
            if raw.get(name) is not None:
                _check_number(path, raw, name)
    limits = options.get("limits")
    if not isinstance(limits, dict):
        raise FormatError(f"settings.limits must be an object, not {limits!r:.40}")
    _check_number("settings.limits", limits, "mostTries", above=0.0)
    if limits["mostTries"] != int(limits["mostTries"]):
        raise FormatError(f"settings.limits.mostTries must be a whole number, not {limits['mostTries']!r}")
    for section in ("limits", "rules"):
        for name, value in (options.get(section) or {}).items():
            if not isinstance(value, bool | str) and value is not None:
                _check_number(f"settings.{section}", options[section], name)


def _check_number(path: str, raw: Raw, name: str, above: float | None = None) -> None:
    value = raw.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    if value is None or not is_number or value < 0.0 or (above is not None and value <= above):
        allowed = "a positive number" if above is not None else "a number of at least 0"
        raise FormatError(f"{path}.{name} must be {allowed}, not {value!r:.40}")
