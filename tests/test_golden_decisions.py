"""Recorded decision streams: the adapter answers each recorded input with the recorded output."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from itertools import zip_longest
from pathlib import Path

import pytest

from tests.golden import streams

ROOT = Path(__file__).resolve().parent.parent
NAMES = (
    "asked-back",
    "blind",
    "claims-with-keys",
    "hedging",
    "orders-with-reports",
    "overload",
    "slow-start",
    "tenants-with-hints",
)
EVENTS = {
    "begin",
    "halt",
    "peersKnown",
    "submit",
    "ended",
    "signal",
    "first",
    "dropped",
    "wakeup",
    "echo",
    "memo",
}
LIST_KINDS = {"disk", "snapshot", "diff", "error"}
OUTCOME_CODES = {0, 249, 250, 251, 252, 253, 254, 255}
SIGNAL_KINDS = {1, 2}
WORKER_STATES = {"active", "leaving", "left"}
ACTIONS = {"send", "undoSend", "decline", "error", "schedule", "watch"}
MIN_EVENTS = 3000  # of each stream
OTHER_HASH_SEED = "4242"
REPLAY_TIMEOUT_S = 120
READY = '{"msg":"ready"}'


def replay(name: str) -> bytes:
    """The output of a process of the adapter for a recorded input."""
    result = subprocess.run(
        [sys.executable, "-m", "grebestack.simhost"],
        input=streams.read(streams.input_path(name)),
        capture_output=True,
        timeout=REPLAY_TIMEOUT_S,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": OTHER_HASH_SEED},
        check=False,
    )
    assert (result.returncode, result.stderr) == (0, b"")
    return result.stdout


def input_batch(name: str, index: int) -> str:
    """The input lines of one batch."""
    text = streams.read(streams.input_path(name)).decode()
    batches = text.split('{"msg":"overToYou"}\n')
    return batches[index] if index < len(batches) else "(past the end of the input)"


def first_difference(name: str, expected: str, actual: str) -> str:
    """The first line that differs, with the input of its batch."""
    batch = 0
    pairs = zip_longest(expected.splitlines(), actual.splitlines(), fillvalue="(no line)")
    for number, (expected_line, actual_line) in enumerate(pairs, start=1):
        if expected_line != actual_line:
            return (
                f"{name}: output line {number}, batch {batch}\n"
                f"expected: {expected_line}\nactual:   {actual_line}\n"
                f"input of the batch:\n{input_batch(name, batch)}"
            )
        batch += expected_line == READY
    return f"{name}: the lines agree, but the line ends differ"


def test_the_stored_streams_are_the_listed_ones() -> None:
    assert streams.stored_names() == list(NAMES)


@pytest.mark.parametrize("name", NAMES)
def test_decisions_are_byte_for_byte_as_recorded(name: str) -> None:
    expected, actual = streams.read(streams.output_path(name)), replay(name)
    if actual != expected:
        pytest.fail(first_difference(name, expected.decode(), actual.decode()), pytrace=False)


def test_a_difference_is_shown_with_its_batch() -> None:
    name = NAMES[0]
    expected = streams.read(streams.output_path(name)).decode()
    lines = expected.splitlines()
    changed = next(number for number, line in enumerate(lines) if '"msg": "send"' in line)
    batch = lines[:changed].count(READY)
    lines[changed] = "another line"
    message = first_difference(name, expected, "\n".join(lines) + "\n")
    assert f"output line {changed + 1}, batch {batch}" in message
    assert "actual:   another line" in message
    assert input_batch(name, batch) in message


@pytest.mark.parametrize("name", NAMES)
def test_every_stream_has_many_events_and_several_instances(name: str) -> None:
    events = [json.loads(line) for line in streams.read(streams.input_path(name)).splitlines()]
    assert sum("dispatcher" in event for event in events) >= MIN_EVENTS
    assert len({event["dispatcher"] for event in events if event["msg"] == "begin"}) >= 2


def test_the_streams_contain_every_kind_of_event_and_action() -> None:
    inputs = [json.loads(line) for n in NAMES for line in streams.read(streams.input_path(n)).splitlines()]
    outputs = [json.loads(line) for n in NAMES for line in streams.read(streams.output_path(n)).splitlines()]
    lists = [event for event in inputs if event["msg"] == "peersKnown"]
    assert {event["msg"] for event in inputs} - {"beginBatch", "overToYou"} == EVENTS
    assert {event["how"] for event in lists} == LIST_KINDS
    assert {item["stageState"] for event in lists for item in event["items"]} == WORKER_STATES
    assert {event["code"] for event in inputs if event["msg"] == "ended"} == OUTCOME_CODES
    assert {event["kind"] for event in inputs if event["msg"] == "signal"} == SIGNAL_KINDS
    assert {action["msg"] for action in outputs} - {"ready"} == ACTIONS
    assert {"comeBackMs" in action for action in outputs if action["msg"] == "decline"} == {True, False}
