"""The simulator adapter: a golden exchange over real streams, malformed input, isolation and determinism."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
OPTIONS: dict[str, Any] = {
    "services": [
        {"name": "view", "aimMs": 300.0, "hardLimitMs": 5000.0, "effect": "free", "group": "all"},
        {"name": "order", "aimMs": 100.0, "hardLimitMs": 5000.0, "effect": "single_shot", "group": "all"},
    ],
    "limits": {"cancel": True, "secondCopies": True, "mostTries": 4},
    "rules": {
        "coldFrom": 0.3,
        "drainGraceMs": 250.0,
        "fallMultiple": 3.0,
        "tipAfterMs": 1500.0,
        "warmWithinMs": 8000.0,
    },
    "extra": {"tellsStart": True, "reportX0": "free slots", "somethingNew": [1, 2]},
    "report": {"how": "inline", "fields": ["x0"]},
    "me": 0,
    "siblings": 2,
    "zone": 0,
    "tickMs": 4.0,
    "unheardOf": {"a": None},
}


def run_adapter(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the adapter on the given input."""
    return subprocess.run(
        [sys.executable, "-m", "grebestack.simhost"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": seed},
        check=False,
    )


def lines(*messages: dict[str, Any]) -> str:
    return "".join(json.dumps(message) + "\n" for message in messages)


def batch(now: float, *events: dict[str, Any]) -> str:
    return lines({"msg": "beginBatch", "atTimeMs": now}, *events, {"msg": "overToYou"})


def begin(dispatcher: int = 0) -> list[dict[str, Any]]:
    items = [
        {
            "worker": f"w{n}",
            "rackZone": 0,
            "shape": 0,
            "bay": 0,
            "stageState": "active",
            "weight": 1,
            "onlineSinceMs": None,
        }
        for n in range(4)
    ]
    return [
        {"msg": "begin", "dispatcher": dispatcher, "randomSeed": 5 + dispatcher, "options": OPTIONS},
        {"msg": "peersKnown", "dispatcher": dispatcher, "how": "disk", "version": 1, "items": items},
    ]


def submit(tid: int, dispatcher: int = 0, kind: int = 0, deadline: float = 6000.0) -> dict[str, Any]:
    return {
        "msg": "submit",
        "dispatcher": dispatcher,
        "tid": tid,
        "update": False,
        "type": kind,
        "mem": None,
        "entity": None,
        "clientGroup": None,
        "notAfterMs": deadline,
        "slots": 1,
        "costMs": None,
        "new": 1,
    }


def ended(tid: int, worker: str, code: int, dispatcher: int = 0, closed: bool = False) -> dict[str, Any]:
    return {
        "msg": "ended",
        "dispatcher": dispatcher,
        "tid": tid,
        "sendNo": 0,
        "worker": worker,
        "code": code,
        "elapsedMs": 3.5,
        "closed": closed,
        "note": None,
        "stats": {"x0": 2.5},
    }


def replies_by_batch(result: subprocess.CompletedProcess[str]) -> list[list[dict[str, Any]]]:
    """Return the replies of each batch."""
    batches: list[list[dict[str, Any]]] = [[]]
    for text in result.stdout.splitlines():
        message = json.loads(text)
        if message == {"msg": "ready"}:
            batches.append([])
        else:
            batches[-1].append(message)
    assert batches.pop() == []
    return batches


def test_golden_exchange() -> None:
    result = run_adapter(
        batch(0.0)
        + batch(10.0, *begin())
        + batch(20.0, submit(7, kind=1))
        + batch(
            30.0,
            {
                "msg": "signal",
                "dispatcher": 0,
                "tid": 7,
                "worker": "w1",
                "level": None,
                "kind": 1,
                "sendNo": 0,
            },
        )
        + batch(40.0, ended(7, "w1", 253))
        + batch(50.0, {"msg": "dropped", "dispatcher": 0, "tid": 7})
        + batch(
            60.0,
            {"msg": "memo", "dispatcher": 0, "src": 1, "content": "hi"},
            {"msg": "echo", "dispatcher": 0, "worker": "w1", "code": 0, "elapsedMs": 1.0, "stats": None},
            {"msg": "first", "dispatcher": 0, "tid": 7, "sendNo": 0, "elapsedMs": 1.0, "worker": "w1"},
            {"msg": "halt", "dispatcher": 0},
            *begin(),
        )
    )
    assert (result.returncode, result.stderr) == (0, "")
    actions = [[m for m in reply if m["msg"] != "schedule"] for reply in replies_by_batch(result)]
    worker = actions[2][0]["worker"]
    assert actions == [
        [],
        [],
        [{"msg": "send", "dispatcher": 0, "tid": 7, "worker": worker}],
        [],
        [{"msg": "error", "dispatcher": 0, "tid": 7}],
        [],
        [],
    ]


def test_every_outcome_is_accepted(tmp_path: Path) -> None:
    codes = (0, 255, 254, 253, 252, 251, 250, 249)
    text = batch(0.0, *begin())
    for n, code in enumerate(codes):
        text += batch(10.0 + 9 * n, submit(n))
        text += batch(14.0 + 9 * n, ended(n, "w1", code, closed=code == 0))
    result = run_adapter(text)
    assert (result.returncode, result.stderr) == (0, "")
    assert len(replies_by_batch(result)) == 1 + 2 * len(codes)


def test_a_large_batch_is_answered_completely() -> None:
    result = run_adapter(batch(0.0, *begin()) + batch(5.0, *(submit(n) for n in range(4000))) + batch(9000.0))
    assert result.returncode == 0
    assert len(replies_by_batch(result)) == 3


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("{]\n", "line 1: not JSON"),
        ("7\n", "line 1: not an object"),
        (lines({"dispatcher": 1}), "line 1: no message name"),
        (batch(0.0, {"msg": "hello", "dispatcher": 0}), "line 2: unknown message 'hello'"),
        (lines({"msg": "halt", "dispatcher": 0}), "line 1: message 'halt' outside a batch"),
        (batch(0.0, submit(1)), "line 2: message 'submit' for dispatcher 0, which has not begun"),
        (
            batch(0.0, *begin(), {"msg": "submit", "dispatcher": 0}),
            "line 4: message 'submit' lacks the field 'tid'",
        ),
        (batch(0.0, *begin(), submit(1) | {"notAfterMs": "x"}), "bad value 'x' in the field 'notAfterMs'"),
        (batch(0.0, *begin(), ended(1, "w1", 17)), "unknown value 17 in the field 'code'"),
        (lines({"msg": "beginBatch", "atTimeMs": 1}), "input ended inside a batch"),
        (lines({"msg": "beginBatch", "atTimeMs": 1}) * 2, "line 2: 'beginBatch' inside a batch"),
    ],
)
def test_a_malformed_line_is_reported_in_one_line_and_ends_the_process(text: str, error: str) -> None:
    result = run_adapter(text)
    assert result.returncode == 1
    assert error in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_an_exception_of_the_decision_module_becomes_a_panic_message_with_its_cause() -> None:
    result = run_adapter(batch(0.0, *begin(), submit(1, kind=9)))
    (reply,) = replies_by_batch(result)
    assert [m for m in reply if m["msg"] == "panic"] == [
        {"msg": "panic", "dispatcher": 0, "what": "IndexError: tuple index out of range"}
    ]


def event_sequence(dispatchers: list[int]) -> str:
    text = batch(0.0, *(message for d in dispatchers for message in begin(d)))
    for step in range(60):
        text += batch(
            5.0 + 7 * step,
            *(submit(100 * d + step, d, step % 2) for d in dispatchers),
            *({"msg": "wakeup", "dispatcher": d, "name": step} for d in dispatchers),
        )
    return text


def actions_by_batch(text: str, dispatcher: int, seed: str) -> list[list[dict[str, Any]]]:
    return [
        [m for m in reply if m["dispatcher"] == dispatcher]
        for reply in replies_by_batch(run_adapter(text, seed))
    ]


def test_actions_depend_neither_on_the_hash_seed_nor_on_other_dispatchers() -> None:
    alone = actions_by_batch(event_sequence([1]), 1, "1")
    assert any(m["msg"] == "send" for reply in alone for m in reply)
    assert alone == actions_by_batch(event_sequence([1]), 1, "2")
    assert alone == actions_by_batch(event_sequence([3, 1, 0]), 1, "3")
