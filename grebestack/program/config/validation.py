"""Reads typed values from TOML tables. Each error is a ValueError that names the key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any


def read_table(raw: Mapping[str, Any], name: str, keys: str, within: str = "") -> Mapping[str, Any]:
    """Return a table, empty if missing; only the given `keys` (separated by spaces) are allowed in it."""
    value, name = raw.get(name, {}), f"{within}.{name}" if within else name
    if not isinstance(value, dict):
        raise ValueError(f"[{name}] must be a table")
    if unknown := sorted(set(value) - set(keys.split())):
        raise ValueError(f"[{name}] has the unknown key {unknown[0]!r}; known are {keys}")
    return value


def read_integer(raw: Mapping[str, Any], name: str, default: int, minimum: int) -> int:
    """Return an integer of at least `minimum`."""
    value = raw.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
        raise ValueError(f"{name} must be a whole number of at least {minimum}")
    return value


def read_number(raw: Mapping[str, Any], name: str, default: float, minimum: float, maximum: float) -> float:
    """Return a number from `minimum` to `maximum`."""
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ValueError(f"{name} must be a number from {minimum:g} to {maximum:g}, not {value!r}")
    return float(value)


def read_flag(raw: Mapping[str, Any], name: str, within: str) -> bool:
    """Return a boolean, False if missing."""
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"[{within}] {name} must be true or false, not {value!r}")
    return value


def read_strings(raw: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of non-empty strings, empty if missing."""
    value = raw.get(name, [])
    if not isinstance(value, list) or not all(isinstance(string, str) and string for string in value):
        raise ValueError(f"{name} must be a list of words, not {value!r}")
    return tuple(value)


def read_string(raw: Mapping[str, Any], name: str, default: str = "", allowed: str = "") -> str:
    """Return a string; if `allowed` (separated by spaces) is given, one of those."""
    value = raw.get(name, default)
    if not isinstance(value, str) or (allowed and value not in allowed.split()):
        expected = f"one of {allowed}" if allowed else "a word"
        raise ValueError(f"{name} must be {expected}, not {value!r}")
    return value
