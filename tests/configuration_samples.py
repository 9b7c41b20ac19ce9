"""Versions, contents and helpers that select actions, for the tests of a follower, a relay and a voter."""

from __future__ import annotations

from typing import Any

from grebestack.config_distribution.actions import (
    Send,
)
from grebestack.config_distribution.messages import (
    ConfigUpdate,
    Message,
)
from grebestack.config_distribution.versions import (
    Version,
    digest_of,
)
from grebestack.consensus.actions import LogMessage


def contents(number: int) -> bytes:
    return f"weight = {number}\n".encode() * 50


def version(number: int, data: bytes | None = None) -> Version:
    data = contents(number) if data is None else data
    return Version(number, digest_of(data), len(data), "v1", 0)


def full_update(number: int, confirmed_ms: int = 0) -> ConfigUpdate:
    return ConfigUpdate(version(number), confirmed_ms, None, contents(number))


def invalid_reasons(actions: list[Any]) -> list[str]:
    return [
        a.kv.get("why", "") for a in actions if isinstance(a, LogMessage) and a.event == "configuration_wrong"
    ]


def action_types(actions: list[Any]) -> list[str]:
    return [type(a).__name__ for a in actions if not isinstance(a, LogMessage)]


def sent_messages(actions: list[Any]) -> list[Message]:
    return [a.message for a in actions if isinstance(a, Send)]
