"""Parses sample configuration files, valid and invalid; values are collected without their Python names."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.model import Config
from grebestack.program.config.operator_file import from_text, version_sections
from grebestack.program.config.platform import check_reload, from_platform
from grebestack.protocol.settings import FormatError, check_numbers, parse_settings
from tests.golden_samples import GOLDEN_FOLDER

DEPLOY = GOLDEN_FOLDER.parent.parent / "deploy"
PATH = "/etc/grebestack/operator.toml"
SEED = b"\x00\x01\x02\x03\x04\x05\x06\x07"  # the random seed of an operator's file
ENVIRONMENT = {
    "RELAY_NAME": "d-8",
    "RELAY_LISTEN": "127.0.0.1:8201",
    "RELAY_DISCOVERY": "127.0.0.1:8202",
    "RELAY_CONTROL": "127.0.0.1:8203",
    "RELAY_LISTEN_FD": "5",
}
PARSER_MESSAGE = re.compile(r"(not (?:TOML|JSON): ).*", re.DOTALL)  # differs between versions of Python


def values_of(value: Any) -> Any:
    """Return an object as JSON values; a dataclass becomes a list of its values in declaration order."""
    if is_dataclass(value):
        return [values_of(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): values_of(item) for key, item in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(values_of(item) for item in value)
    if isinstance(value, list | tuple):
        return [values_of(item) for item in value]
    return value


def operator_config(text: str) -> Config:
    """Parse an operator's file, with a fixed random seed."""
    with patch("os.urandom", return_value=SEED):
        return from_text(PATH, text)


def platform_config(raw: Any, environment: Mapping[str, str], again: bool = False) -> Config:
    """Parse a platform's file."""
    with TemporaryDirectory() as folder:
        path = os.path.join(folder, "relay.json")
        text = raw if isinstance(raw, str) else json.dumps(raw)
        Path(path).write_text(text, encoding="utf-8")
        try:
            return from_platform({"RELAY_CONFIG": path, **environment}, again)
        except ConfigError as error:
            raise ConfigError(str(error).replace(path, "FILE")) from error


def golden_text(name: str) -> str:
    """Return the text of a file in the golden folder."""
    return (GOLDEN_FOLDER / name).read_text(encoding="utf-8")


def all_settings() -> dict[str, Any]:
    """Return the values of each sample file."""
    full, minimal = json.loads(golden_text("settings.json")), json.loads(golden_text("settings_least.json"))
    voter = golden_text("operator_voter.toml")
    appliance = (DEPLOY / "appliance.toml").read_text(encoding="utf-8")
    configs = {
        "platform": platform_config(full, {}),
        "platform with its environment": platform_config(full, ENVIRONMENT),
        "platform with its environment, read again": platform_config(full, ENVIRONMENT, True),
        "platform with defaults": platform_config(minimal, {}),
        "appliance": operator_config(appliance),
        "operator with defaults": operator_config(golden_text("operator_least.toml")),
        "operator who votes": operator_config(voter),
        "operator who follows": operator_config(golden_text("operator_follower.toml")),
    }
    settings = {
        "settings": parse_settings(full["settings"]),
        "settings with defaults": parse_settings(minimal["settings"]),
    }
    return {name: values_of(value) for name, value in (configs | settings).items()}


OPERATOR_MISTAKES = {
    "no TOML": ("sockets = 513", "sockets ="),
    "unknown key": ("sockets = 513", "plugs = 513"),
    "unknown key of servers": ("wait_s = 31.0", "waits = 31.0"),
    "unknown source": ('source = "consul"', 'source = "dns"'),
    "too few sockets": ("sockets = 513", "sockets = 127"),
    "a listen without a port": ('listen = "127.0.0.1:8001"', 'listen = "127.0.0.1"'),
    "a control that is no word": ('control = "127.0.0.1:8002"', "control = 8002"),
    "a control without a port": ('control = "127.0.0.1:8002"', 'control = "here"'),
    "a consistency that is none": ('consistency = "stale"', 'consistency = "strong"'),
    "a stale reading without a bound": ("max_stale_s = 32.0", ""),
    "tags that are no list": ('tags = ["tag-1", "tag-2"]', 'tags = "tag-1"'),
    "services named twice": ('["runner-a", "runner-b"]', '["runner-a", "runner-a"]'),
    "a network that is none": ('"10.0.0.0/8"', '"10.0.0.0/99"'),
    "a hold beyond the longest": ("hold_s = 2.5", "hold_s = 63.0"),
    "a share beyond one": ("removed_share = 0.55", "removed_share = 1.5"),
    "no flaps": ("flaps = 4", "flaps = 0"),
    "no days": ("keep_days = 30.5", "keep_days = 0"),
    "a front without a store": ('store = "jobs.sqlite"', ""),
    "too small a body": ("most_body = 2048", "most_body = 1023"),
    "a class that is none": ("[jobs.classes.order]", "[jobs.classes.view]"),
    "queued that is no flag": ("queued = true", "queued = 1"),
    "too small a disk": ("keep_mb = 257.0", "keep_mb = 31.0"),
    "too short a term": ("term_s = 4.5", "term_s = 0.4"),
    "too long a guard": ("guard_ms = 51.0", "guard_ms = 1351.0"),
    "too much drift": ("drift = 0.02", "drift = 0.21"),
    "a flag that is none": ("share_servers = true", 'share_servers = "yes"'),
    "a place that is none": ('place = "east/e1"', 'place = "east"'),
    "a place that is another": ('share_servers = true\nplace = "east/e1"', 'place = "east/e2"'),
    "a member of its own that is missing": ('m-1 = "10.0.0.1:9001"', 'm-4 = "10.0.0.1:9001"'),
    "members at one address": ('m-2 = "10.0.0.2:9001"', 'm-2 = "10.0.0.3:9001"'),
    "a member without a port": ('m-2 = "10.0.0.2:9001"', 'm-2 = "10.0.0.2"'),
    "relays at one address": ('address = "10.0.0.2:9400"', 'address = "10.0.0.1:9400"'),
    "a relay without a port": ('address = "10.0.0.2:9400"', 'address = "10.0.0.2"'),
    "a path that is none": ('path = "/tallies"', 'path = "tallies"'),
    "an effect that is none": ('effect = "single_shot"', 'effect = "twice"'),
    "an aim that is no number": ("aimMs = 600.0", 'aimMs = "soon"'),
    "no deadline": ("hardLimitMs = 10000.0", ""),
}
FOLLOWER_MISTAKES = {
    "a state that is none": ('state = "Ready"', 'state = "Well"'),
    "a server without a name": ('uid = "runner-1"', 'uid = ""'),
    "a server without a port": ('endpoint = "10.0.0.7:8007"', 'endpoint = "10.0.0.7"'),
    "a follower without a place": ('follow = true\nplace = "east/e1"', "follow = true"),
    "a follower that is a member": ('m-1 = "10.0.0.1:9001"', 'd-1 = "10.0.0.1:9001"'),
    "a follower with a term": ("follow = true", "follow = true\nterm_s = 4.0"),
}
PLATFORM_MISTAKES: dict[str, Any] = {
    "no JSON": "{",
    "no object": [],
    "no settings": {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"},
    "a listen without a port": {"listen": "here", "discovery": "127.0.0.1:2", "settings": {"services": []}},
    "services that are no list": {"listen": "a:1", "discovery": "b:2", "settings": {"services": 5}},
}
ONE_CLASS = {"name": "order", "aimMs": 600, "hardLimitMs": 1000, "effect": "free"}
SETTINGS_MISTAKES: dict[str, Any] = {
    "no classes": {"services": []},
    "one name twice": {"services": [ONE_CLASS, ONE_CLASS]},
    "an aim of nothing": {"services": [{**ONE_CLASS, "aimMs": 0}]},
    "a value below nothing": {"services": [{**ONE_CLASS, "value": -1}]},
    "no limits": {"services": [ONE_CLASS]},
    "no tries": {"services": [ONE_CLASS], "limits": {}},
    "half a try": {"services": [ONE_CLASS], "limits": {"mostTries": 1.5}},
    "a rule that is a list": {"services": [ONE_CLASS], "limits": {"mostTries": 1}, "rules": {"coldFrom": []}},
}
VERSION_MISTAKES = {
    "no TOML": b"[settings",
    "no UTF-8": b"\xff",
    "unknown key": b"[drmaa]\n",
    "no section": b"",
}


def error_of(call: Any, *arguments: Any) -> str:
    """Return the message of the error that a call raises."""
    try:
        call(*arguments)
    except (ConfigError, FormatError) as error:
        return PARSER_MESSAGE.sub(r"\1...", str(error))
    raise AssertionError(f"no error for {arguments!r:.200}")


def _changed(text: str, change: tuple[str, str]) -> str:
    assert change[0] in text, change
    return text.replace(*change, 1)


def all_errors() -> dict[str, dict[str, str]]:
    """Return the error message for each mistake."""
    voter, follower = golden_text("operator_voter.toml"), golden_text("operator_follower.toml")
    full, minimal = json.loads(golden_text("settings.json")), json.loads(golden_text("settings_least.json"))
    current = platform_config(full, {})
    return {
        "operator": {
            name: error_of(operator_config, _changed(voter, change))
            for name, change in OPERATOR_MISTAKES.items()
        },
        "follower": {
            name: error_of(operator_config, _changed(follower, change))
            for name, change in FOLLOWER_MISTAKES.items()
        },
        "platform": {name: error_of(platform_config, raw, {}) for name, raw in PLATFORM_MISTAKES.items()},
        "figures": {name: error_of(check_numbers, raw) for name, raw in SETTINGS_MISTAKES.items()},
        "version": {name: error_of(version_sections, raw) for name, raw in VERSION_MISTAKES.items()},
        "read again": {
            "a key that is missing": error_of(check_reload, platform_config(minimal, {}), current)
        },
    }
