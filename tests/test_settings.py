"""Settings that change at run time: invalid files change nothing, and jobs keep their class."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from copy import deepcopy
from functools import partial
from typing import Any

import pytest

from grebestack.core import api
from grebestack.core.policy import Policy
from grebestack.program.config.errors import ConfigError
from grebestack.program.config.platform import check_reload, from_platform
from grebestack.protocol.settings import merge_settings, parse_settings
from tests.policy_driver import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT, Dispatcher, sends, settings
from tests.standins import SETTINGS, DispatcherTestbed, send_request, wait_until

VALID: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1f",
    "limits": {"sockets": 256},
    "known": {"rev": 1},
    "settings": SETTINGS,
}


INVALID: list[Any] = [0, -1, True, float("nan"), float("inf"), "5", [], {}]


def set_at(path: str, value: Any) -> Callable[[Any], None]:
    def change(raw: Any) -> None:
        *inner, last = path.split(".")
        for name in inner:
            raw = raw[int(name) if name.isdigit() else name]
        if value is None:
            del raw[last]
        else:
            raw[last] = value

    return change


@pytest.mark.parametrize(
    "change, message",
    [
        (set_at("settings", None), "lacks 'settings'"),
        (set_at("discovery", None), "lacks 'discovery'"),
        (set_at("name", None), "lacks name"),
        (set_at("limits", None), "lacks limits"),
        (set_at("settings.limits", None), "lacks settings.limits"),
        (set_at("settings.services", None), "services"),
        (set_at("settings.rules", None), "lacks settings.rules"),
        (set_at("settings.limits.mostTries", None), "mostTries"),
        (set_at("settings.services", []), "no class"),
        (set_at("settings.services.0.hardLimitMs", None), "hardLimitMs"),
        (set_at("settings.extra", None), "extra"),
        (set_at("settings.services.1.effect", "maybe"), "effect"),
        (set_at("settings.services.1.name", "order"), "once"),
        *(
            (set_at(f"settings.{field}", value), field.rpartition(".")[2])
            for field in ("services.0.hardLimitMs", "services.1.aimMs", "limits.mostTries")
            for value in INVALID
        ),
        (set_at("settings.limits.mostTries", 2.5), "whole number"),
        (set_at("settings.rules.drainGraceMs", float("nan")), "drainGraceMs"),
    ],
)
def test_a_broken_file_is_rejected_with_a_message_that_names_the_fault(
    change: Callable[[Any], None], message: str, tmp_path: Any
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID))
    former = from_platform({"RELAY_CONFIG": str(path)})
    check_reload(former, former)
    raw = deepcopy(VALID)
    change(raw)
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=message):
        check_reload(from_platform({"RELAY_CONFIG": str(path)}), former)


def test_a_class_keeps_its_index_and_an_index_its_meaning() -> None:
    first = parse_settings(SETTINGS)
    changed = deepcopy(SETTINGS)
    changed["services"][1]["effect"] = "single_shot"
    changed["services"].insert(0, {"name": "new", "aimMs": 1.0, "hardLimitMs": 9.0, "effect": "free"})
    del changed["extra"]["classStretch"], changed["services"][1]
    second = merge_settings(first, parse_settings(changed))
    assert second.classes[:2] == first.classes and second.retired == {0, 1}
    assert [c.name for c in second.classes[2:]] == ["new", "reading"]
    third = merge_settings(second, first)
    assert third.classes == second.classes and third.retired == {2, 3}


def test_a_running_job_keeps_its_class_and_its_attempt_limit_never_grows() -> None:
    d = Dispatcher(workers=12)
    number, actions = d.submit(1)
    assert d.policy.settings.classes[1] is IDEMPOTENT_WITH_KEY
    strict = api.JobClass("book", 1000, 15000, api.Effect.NOT_IDEMPOTENT)
    d.feed(
        api.SettingsChanged(
            settings(
                classes=(IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT, strict),
                retired=frozenset({1}),
                max_attempts=2,
            )
        )
    )
    retry_actions = d.end(number, sends(actions)[0], api.Outcome.RESET)  # it may have run
    assert len(sends(retry_actions)) == 1
    assert not sends(d.end(number, sends(retry_actions)[0], api.Outcome.REJECTED, attempt=1)), (
        "a third attempt"
    )
    actions = d.feed(api.RequestArrived(99, 3, d.now_ms + 5000))
    assert not sends(d.end(99, sends(actions)[0], api.Outcome.RESET))
    d.feed(api.SettingsChanged(settings()))
    third, actions = d.submit(0)
    for attempt in range(3):
        actions = d.end(third, sends(actions)[0], api.Outcome.REJECTED, attempt=attempt)
        assert len(sends(actions)) == 1


def test_estimates_of_a_redefined_class_and_of_workers_are_kept() -> None:
    policy = Policy(settings(), 1)
    policy.estimates.run_ms[1] = 77.0
    policy.handle(1.0, api.WorkersListed(api.ListKind.FULL, (api.WorkerEntry("w"),)))
    worker = policy.workers["w"]
    strict = api.JobClass("book", 1000, 15000, api.Effect.NOT_IDEMPOTENT)
    added = api.JobClass("added", 50, 100, api.Effect.IDEMPOTENT)
    policy.handle(
        2.0,
        api.SettingsChanged(
            settings(classes=(IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT, strict, added))
        ),
    )
    assert policy.estimates.run_ms[3:] == [77.0, 50.0] and policy.workers["w"] is worker
    policy.handle(2000.0, api.TimerFired(policy.timers.token))  # renews the order of the queues
    policy.handle(2001.0, api.RequestArrived(1, 4, 2100.0))


def test_classes_are_added_and_removed_under_load_and_a_broken_file_changes_nothing(
    testbed: DispatcherTestbed,
) -> None:
    workers = [testbed.add_worker("s-1", seconds=1.5), testbed.add_worker("s-2", seconds=1.5)]
    dispatcher = testbed.start()
    path = testbed.folder / "config.json"
    config = json.loads(path.read_text())

    def post(call_id: str, job_class: str) -> int:
        headers = {"X-Call-Id": call_id, "X-Call-Class": job_class, "Idempotency-Key": call_id}
        return send_request(dispatcher, "POST", "/api", b"", headers)[0]

    pending = [testbed.in_background(partial(post, f"old-{c}", c)) for c in ("order", "reading")]
    wait_until(lambda: all(worker.jobs for worker in workers))
    for worker in workers:
        worker.job_seconds = 0.0
    config["settings"]["services"][1]["effect"] = "single_shot"
    config["settings"]["services"][0]["name"] = "fresh"
    path.write_text(json.dumps(config))
    testbed.process.send_signal(signal.SIGHUP)
    wait_until(lambda: post("new", "fresh") == 200)
    assert post("gone", "order") == 400 and post("strict", "reading") == 200
    valid = path.read_text()
    for broken in ("", valid[: len(valid) // 2], valid.replace("hardLimitMs", "x")):
        path.write_text(broken)
        testbed.process.send_signal(signal.SIGHUP)
        assert send_request(dispatcher, "GET", "/health/ready", b"", {})[0] == 200
        assert post(f"after-{len(broken)}", "fresh") == 200
    assert [result() for result in pending] == [200, 200]
