"""The section [audit] of an operator's file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

from grebestack.program.config.model import AuditConfig
from grebestack.program.config.validation import read_number, read_string

AUDIT_KEYS = "folder keep_mb full_rate clock_off_ms"


def audit_config(raw: Mapping[str, Any], folder: str) -> AuditConfig:
    """Parse [audit]; paths are relative to `folder`. ValueError: the section is invalid."""
    return AuditConfig(
        folder=os.path.join(folder, read_string(raw, "folder", "audit")),
        max_size_mb=read_number(raw, "keep_mb", 256.0, 32.0, 1e6),
        max_full_rate=read_number(raw, "full_rate", 2000.0, 1.0, 1e6),
        max_clock_error_ms=read_number(raw, "clock_off_ms", 100.0, 0.0, 3_600_000.0),
    )
