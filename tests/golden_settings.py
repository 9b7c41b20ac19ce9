"""What files of settings come to, and the texts for mistakes in one: by value, never by Python name."""

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
from tests.golden_samples import FOLDER

DEPLOY = FOLDER.parent.parent / "deploy"
PATH = "/etc/grebestack/operator.toml"
SEED = b"\x00\x01\x02\x03\x04\x05\x06\x07"  # what is drawn for a file that says none
ENVIRONMENT = {
    "RELAY_NAME": "d-8",
    "RELAY_LISTEN": "127.0.0.1:8201",
    "RELAY_DISCOVERY": "127.0.0.1:8202",
    "RELAY_CONTROL": "127.0.0.1:8203",
    "RELAY_LISTEN_FD": "5",
}
PARSERS_WORDS = re.compile(r"(not (?:TOML|JSON): ).*", re.DOTALL)  # they differ between versions of Python


def values_of(value: Any) -> Any:
    """What an object holds, as JSON can: of a dataclass its values in the order of their declaration."""
    if is_dataclass(value):
        return [values_of(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(key): values_of(one) for key, one in value.items()}
    if isinstance(value, frozenset | set):
        return sorted(values_of(one) for one in value)
    if isinstance(value, list | tuple):
        return [values_of(one) for one in value]
    return value


def operators_config(text: str) -> Config:
    """What an operator's file says, with the seed that is drawn held still."""
    with patch("os.urandom", return_value=SEED):
        return from_text(PATH, text)


def platforms_config(raw: Any, environment: Mapping[str, str], again: bool = False) -> Config:
    """What the platform's file says."""
    with TemporaryDirectory() as folder:
        path = os.path.join(folder, "relay.json")
        text = raw if isinstance(raw, str) else json.dumps(raw)
        Path(path).write_text(text, encoding="utf-8")
        try:
            return from_platform({"RELAY_CONFIG": path, **environment}, again)
        except ConfigError as error:
            raise ConfigError(str(error).replace(path, "FILE")) from error


def golden_text(name: str) -> str:
    """A file that was laid down with the golden files."""
    return (FOLDER / name).read_text(encoding="utf-8")


def all_settings() -> dict[str, Any]:
    """What each sample of a file of settings comes to."""
    full, least = json.loads(golden_text("settings.json")), json.loads(golden_text("settings_least.json"))
    voter = golden_text("operator_voter.toml")
    appliance = (DEPLOY / "appliance.toml").read_text(encoding="utf-8")
    configs = {
        "platform": platforms_config(full, {}),
        "platform with its environment": platforms_config(full, ENVIRONMENT),
        "platform with its environment, read again": platforms_config(full, ENVIRONMENT, True),
        "platform with defaults": platforms_config(least, {}),
        "appliance": operators_config(appliance),
        "operator with defaults": operators_config(golden_text("operator_least.toml")),
        "operator who votes": operators_config(voter),
        "operator who follows": operators_config(golden_text("operator_follower.toml")),
    }
    settings = {
        "settings": parse_settings(full["settings"]),
        "settings with defaults": parse_settings(least["settings"]),
    }
    return {name: values_of(value) for name, value in (configs | settings).items()}


OPERATORS_MISTAKES = {
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
FOLLOWERS_MISTAKES = {
    "a state that is none": ('state = "Ready"', 'state = "Well"'),
    "a server without a name": ('uid = "runner-1"', 'uid = ""'),
    "a server without a port": ('endpoint = "10.0.0.7:8007"', 'endpoint = "10.0.0.7"'),
    "a follower without a place": ('follow = true\nplace = "east/e1"', "follow = true"),
    "a follower that is a member": ('m-1 = "10.0.0.1:9001"', 'd-1 = "10.0.0.1:9001"'),
    "a follower with a term": ("follow = true", "follow = true\nterm_s = 4.0"),
}
PLATFORMS_MISTAKES: dict[str, Any] = {
    "no JSON": "{",
    "no object": [],
    "no settings": {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"},
    "a listen without a port": {"listen": "here", "discovery": "127.0.0.1:2", "settings": {"services": []}},
    "services that are no list": {"listen": "a:1", "discovery": "b:2", "settings": {"services": 5}},
}
ONE_CLASS = {"name": "order", "aimMs": 600, "hardLimitMs": 1000, "effect": "free"}
FIGURES_MISTAKES: dict[str, Any] = {
    "no classes": {"services": []},
    "one name twice": {"services": [ONE_CLASS, ONE_CLASS]},
    "an aim of nothing": {"services": [{**ONE_CLASS, "aimMs": 0}]},
    "a value below nothing": {"services": [{**ONE_CLASS, "value": -1}]},
    "no limits": {"services": [ONE_CLASS]},
    "no tries": {"services": [ONE_CLASS], "limits": {}},
    "half a try": {"services": [ONE_CLASS], "limits": {"mostTries": 1.5}},
    "a rule that is a list": {"services": [ONE_CLASS], "limits": {"mostTries": 1}, "rules": {"coldFrom": []}},
}
VERSIONS_MISTAKES = {
    "no TOML": b"[settings",
    "no UTF-8": b"\xff",
    "unknown key": b"[drmaa]\n",
    "no section": b"",
}


def error_of(call: Any, *arguments: Any) -> str:
    """What a call says is wrong."""
    try:
        call(*arguments)
    except (ConfigError, FormatError) as error:
        return PARSERS_WORDS.sub(r"\1...", str(error))
    raise AssertionError(f"nothing is wrong with {arguments!r:.200}")


def _changed(text: str, change: tuple[str, str]) -> str:
    assert change[0] in text, change
    return text.replace(*change, 1)


def all_errors() -> dict[str, dict[str, str]]:
    """What is said of each mistake."""
    voter, follower = golden_text("operator_voter.toml"), golden_text("operator_follower.toml")
    full, least = json.loads(golden_text("settings.json")), json.loads(golden_text("settings_least.json"))
    in_force = platforms_config(full, {})
    return {
        "operator": {
            name: error_of(operators_config, _changed(voter, change))
            for name, change in OPERATORS_MISTAKES.items()
        },
        "follower": {
            name: error_of(operators_config, _changed(follower, change))
            for name, change in FOLLOWERS_MISTAKES.items()
        },
        "platform": {name: error_of(platforms_config, raw, {}) for name, raw in PLATFORMS_MISTAKES.items()},
        "figures": {name: error_of(check_numbers, raw) for name, raw in FIGURES_MISTAKES.items()},
        "version": {name: error_of(version_sections, raw) for name, raw in VERSIONS_MISTAKES.items()},
        "read again": {
            "a key that is missing": error_of(check_reload, platforms_config(least, {}), in_force)
        },
    }
