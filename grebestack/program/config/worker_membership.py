"""The section [membership] of an operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

from grebestack.program.config.model import WorkerMembershipConfig
from grebestack.program.config.validation import read_integer, read_number

MEMBERSHIP_KEYS = " ".join(field.name for field in fields(WorkerMembershipConfig))
_MAX_TIME_S = 86_400.0


def worker_membership_config(raw: Mapping[str, Any]) -> WorkerMembershipConfig:
    """Parse [membership]. ValueError: the section is invalid."""
    default = WorkerMembershipConfig()
    times_s = {
        name: read_number(raw, name, getattr(default, name), 0.0, _MAX_TIME_S)
        for name in ("flap_window_s", "hold_s", "hold_most_s", "moved_s")
    }
    if times_s["hold_most_s"] < times_s["hold_s"]:
        raise ValueError(f"hold_most_s must be at least hold_s, {times_s['hold_s']:g}")
    return WorkerMembershipConfig(
        flaps=read_integer(raw, "flaps", default.flaps, 1),
        keep_least=read_integer(raw, "keep_least", 1, 0),
        removed_share=read_number(raw, "removed_share", default.removed_share, 0.0, 1.0),
        stale_s=read_number(raw, "stale_s", default.stale_s, 1.0, _MAX_TIME_S),
        **times_s,
    )
