"""Texts that could contain names from the code: rejections of messages, the audit report, the schema."""

from __future__ import annotations

import json
from enum import Enum
from random import Random
from typing import Any, cast
from unittest.mock import MagicMock

from grebestack.audit.html_report import report_page
from grebestack.audit.merge import merge, report_data, report_lines
from grebestack.audit.reading import read_audit_log
from grebestack.config_distribution.actions import Close
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import Message, Subscribe
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.versions import Version, contents_problem, version_problem
from grebestack.core.api import Effect, Group, ListKind, Outcome, WorkerState
from grebestack.drmaa.template import schema
from grebestack.job_queue.interface import Condition
from grebestack.jobs.records import JobErrorKind, JobState
from grebestack.program.dispatcher import Dispatcher
from grebestack.program.lifecycle import Stage
from tests.golden_samples import DIGEST, RELAY_MESSAGES, VERSION, load_golden
from tests.golden_settings import golden_text, operator_config

LINK = 1


def _reasons(actions: list[Any]) -> list[str]:
    return [action.why for action in actions if isinstance(action, Close)]


def relay_refusals() -> dict[str, list[str]]:
    """Why a relay closes a link, by the message that came first, or after the subscription."""
    refusals = {}
    for name, message in RELAY_MESSAGES.items():
        relay = Relay("m-2", "fleet-a", 3, Random(1))
        first = relay.on_message(0.0, LINK, cast(Message, message))
        relay = Relay("m-2", "fleet-a", 3, Random(1))
        relay.on_message(0.0, LINK, Subscribe(1, "fleet-a", "d-1", 14, "east/e1", 0, ""))
        second = relay.on_message(1.0, LINK, cast(Message, message))
        refusals[name] = _reasons(list(first)) + _reasons(list(second))
    return refusals


def subscription_refusals() -> dict[str, list[str]]:
    """Why a relay rejects a subscription."""
    subscriptions = {
        "form": Subscribe(2, "fleet-a", "d-1", 14, "east/e1", 0, ""),
        "fleet": Subscribe(1, "fleet-b", "d-1", 14, "east/e1", 0, ""),
        "name": Subscribe(1, "fleet-a", "d 1", 14, "east/e1", 0, ""),
        "life": Subscribe(1, "fleet-a", "d-1", -1, "east/e1", 0, ""),
        "number": Subscribe(1, "fleet-a", "d-1", 14, "east/e1", -1, DIGEST),
        "digest": Subscribe(1, "fleet-a", "d-1", 14, "east/e1", 16, "ab"),
    }
    relay = Relay("m-2", "fleet-a", 3, Random(1))
    return {
        name: _reasons(list(relay.on_message(0.0, LINK, subscription)))
        for name, subscription in subscriptions.items()
    }


def follower_refusals() -> dict[str, list[str]]:
    """Why a follower closes a link, by the message that came first."""
    refusals = {}
    for name, message in RELAY_MESSAGES.items():
        follower = Follower("d-1", "fleet-a", "east/e1", 14, {"m-2": "east/e1"}, Random(1))
        follower.start(0.0)
        now_ms = follower.due_ms(0.0)
        follower.tick(now_ms)
        follower.on_connected(now_ms, LINK)
        refusals[name] = _reasons(list(follower.on_message(now_ms, LINK, cast(Message, message))))
    return refusals


def version_problems() -> dict[str, str]:
    """The problems reported for invalid versions, and for contents that don't match their version."""
    return {
        "none": version_problem(VERSION),
        "number": version_problem(Version(0, DIGEST, 1, "m-1", 2)),
        "digest": version_problem(Version(1, "AB", 1, "m-1", 2)),
        "size": version_problem(Version(1, DIGEST, -1, "m-1", 2)),
        "size of contents": contents_problem(Version(1, DIGEST, 1, "m-1", 2), b""),
        "digest of contents": contents_problem(Version(1, DIGEST, 1, "m-1", 2), b"x"),
    }


def audit_report() -> dict[str, Any]:
    """The report on the golden audit log: as data, as text and as an HTML page."""
    files = [(name, bytes.fromhex(digits)) for name, digits in load_golden("files.json")["audit"].items()]
    audit = merge({"d-1": read_audit_log("d-1", files), "d-2": read_audit_log("d-2", [])})
    return {
        "data": json.dumps(report_data(audit, "job-1")),
        "text": list(report_lines(audit, "job-1")),
        "page": report_page(audit),
    }


def enum_values() -> dict[str, list[str]]:
    """The values of states and outcomes that are written to files, messages and logs."""
    enums: dict[str, type[Enum]] = {
        "outcome of an attempt": Outcome,
        "state of a server": WorkerState,
        "kind of a list": ListKind,
        "effect of a repeat": Effect,
        "group of servers": Group,
        "state of a job": JobState,
        "condition of a job": Condition,
        "fault of a call": JobErrorKind,
        "stage of a dispatcher": Stage,
    }
    return {name: [str(member.value) for member in enum] for name, enum in enums.items()}


def fields_requiring_restart() -> list[str]:
    """The fields that differ between two operator's files and take effect only after a restart."""
    former = operator_config(golden_text("operator_voter.toml"))
    new = operator_config(golden_text("operator_follower.toml"))
    return Dispatcher.fields_requiring_restart(MagicMock(config=former), new)


def all_texts() -> dict[str, Any]:
    """All texts, by group."""
    return {
        "relay": relay_refusals(),
        "greeting": subscription_refusals(),
        "follower": follower_refusals(),
        "version": version_problems(),
        "audit": audit_report(),
        "words": enum_values(),
        "waits": fields_requiring_restart(),
        "schema": json.dumps(schema()),
    }
