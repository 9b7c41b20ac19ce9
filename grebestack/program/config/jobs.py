"""The sections [drmaa] and [jobs] of an operator's file."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from typing import Any

from grebestack.program.config.model import DrmaaConfig, JobsConfig
from grebestack.program.config.validation import read_flag, read_integer, read_number, read_table
from grebestack.protocol.worker_list import parse_address

DRMAA_KEYS = "listen store most_open keep_days most_body"
JOBS_KEYS = "wanted_s most_waiting most_conditions ahead ripe classes"
_MIN_OBJECTIVE_S, _MAX_OBJECTIVE_S = 0.001, 1e7


def jobs_config(raw: Mapping[str, Any], class_names: Iterable[str]) -> JobsConfig:
    """Parse [jobs]; `class_names` are those of the settings. ValueError: the section is invalid."""
    objectives: dict[str, float] = {}
    queued: set[str] = set()
    classes = read_table(raw, "classes", " ".join(class_names), within="jobs")
    for name in classes:
        table = read_table(classes, name, "wanted_s queued", within="jobs.classes")
        if "wanted_s" in table:
            objectives[name] = read_number(table, "wanted_s", 0.0, _MIN_OBJECTIVE_S, _MAX_OBJECTIVE_S)
        if read_flag(table, "queued", f"jobs.classes.{name}"):
            queued.add(name)
    return JobsConfig(
        latency_objective_s=read_number(raw, "wanted_s", 60.0, _MIN_OBJECTIVE_S, _MAX_OBJECTIVE_S),
        max_queued=read_integer(raw, "most_waiting", 100_000, 1),
        max_dependencies=read_integer(raw, "most_conditions", 500, 0),
        lookahead=read_integer(raw, "ahead", 16, 1),
        aged_share=read_number(raw, "ripe", 0.5, 0.0, 1.0),
        latency_objective_s_by_class=objectives,
        queued_classes=frozenset(queued),
    )


def drmaa_config(raw: Mapping[str, Any], folder: str, jobs: JobsConfig) -> DrmaaConfig:
    """Parse [drmaa]; paths are relative to `folder`.

    KeyError, ValueError: the section is invalid.
    """
    retention_days = raw.get("keep_days", 30.0)
    is_number = isinstance(retention_days, int | float) and not isinstance(retention_days, bool)
    if not is_number or not retention_days > 0:
        raise ValueError("keep_days must be a number above 0")
    return DrmaaConfig(
        listen=parse_address(raw["listen"]),
        store_path=os.path.join(folder, str(raw["store"])),
        max_open_jobs=read_integer(raw, "most_open", 1000, 1),
        retention_days=float(retention_days),
        max_body_bytes=read_integer(raw, "most_body", 1024 * 1024, 1024),
        jobs=jobs,
    )
