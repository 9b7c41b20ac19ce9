"""Jobs that may have run before a restart: sent again where that is harmless, and never elsewhere."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.jobs.earlier_attempts import RETRY_MARGIN_S, EarlierAttempts, retry_limit
from grebestack.jobs.records import JobState
from tests.standins import World, wait_until
from tests.test_drmaa import Client
from tests.test_engine import SETTINGS
from tests.test_jobs import Setting

WINDOW_MS = 2500.0  # of the keyed class, book


class RestartSetting(Setting):
    """Its keyed class is recognised by all servers, and its limits are wide."""

    settings = replace(
        SETTINGS,
        classes=tuple(replace(c, group=api.Group.ALL, deadline_ms=15_000.0) for c in SETTINGS.classes),
    )


@pytest.fixture
def setting(tmp_path: Path) -> RestartSetting:
    return RestartSetting(tmp_path)


@pytest.mark.parametrize("category", ["book", "view"])
def test_a_job_that_was_only_recorded_as_sent_runs_after_a_restart(
    setting: RestartSetting, category: str
) -> None:
    # Guards against a job that ends FAILED "it has perhaps run" though no server was sent it.
    job = setting.run("k", category)
    setting.crash()
    assert setting.state(job) is JobState.UNDETERMINED and not setting.servers.sent
    setting.clock.advance(200.0)
    setting.servers.given_up.pop(job)()
    setting.clock.advance(500.0)
    assert setting.sent_jobs() == [job] and setting.state(job) is JobState.RUNNING
    setting.end(job)
    assert setting.ends[job].result == b"done"


def test_an_order_that_may_have_run_is_never_sent_again(setting: RestartSetting) -> None:
    # Guards against a second run of what must not run twice.
    job = setting.run("k", "order")
    setting.crash()
    setting.clock.advance(14_000.0)
    assert not setting.servers.given_up and not setting.servers.sent
    setting.clock.advance(5000.0)
    assert "perhaps run" in setting.ends[job].annotation


def test_nothing_is_sent_again_before_its_server_has_heard_that_it_is_given_up(
    setting: RestartSetting,
) -> None:
    # Guards against a second copy beside one that still runs.
    job = setting.run("k", "book")
    setting.crash()
    setting.clock.advance(2000.0)
    assert job in setting.servers.given_up and not setting.servers.sent
    ended = setting.servers.adopted[job]
    assert ended is not None
    ended(Outcome.OK, b"late")  # its first attempt is heard of after all
    setting.servers.given_up.pop(job)()
    setting.clock.advance(500.0)
    assert setting.ends[job].result == b"late" and not setting.servers.sent


def test_a_keyed_job_is_not_sent_again_after_its_window(setting: RestartSetting) -> None:
    # Guards against a repeat that its server would take for another job.
    job = setting.run("k", "book")
    setting.crash()
    setting.clock.advance(WINDOW_MS)
    setting.servers.given_up.pop(job)()
    setting.clock.advance(500.0)
    assert not setting.servers.sent and setting.state(job) is JobState.UNDETERMINED


def test_a_keyed_job_that_waits_for_a_server_until_its_window_ends_is_told_as_perhaps_run(
    setting: RestartSetting,
) -> None:
    # Guards against "it has not run" about a job of which that is not known.
    job = setting.run("k", "book")
    setting.crash()
    setting.clock.advance(200.0)
    setting.drain(True)
    setting.servers.given_up.pop(job)()
    setting.clock.advance(WINDOW_MS + 200.0)
    assert not setting.servers.sent
    assert setting.ends[job].state is JobState.FAILED and "perhaps run" in setting.ends[job].annotation


def test_a_second_crash_leaves_the_window_where_it_was(setting: RestartSetting) -> None:
    # Guards against a window that begins anew with each retry.
    job = setting.run("k", "book")
    setting.crash()
    setting.clock.advance(200.0)
    setting.servers.given_up.pop(job)()
    setting.clock.advance(500.0)
    assert setting.sent_jobs() == [job]
    setting.crash()
    earlier = setting.store.earlier_attempts()[job]
    assert earlier.count == 2
    setting.clock.advance(WINDOW_MS - 700.0)
    setting.servers.given_up.pop(job)()
    setting.clock.advance(500.0)
    assert not setting.servers.sent


def test_the_limit_of_a_retry_follows_effect_window_and_settings() -> None:
    view, book, order = RestartSetting.settings.classes
    earlier = EarlierAttempts("w0", 100.0, 1)

    def until_s(job_class: api.JobClass, **changed: object) -> float | None:
        limit = retry_limit(job_class, replace(RestartSetting.settings, **changed), earlier)  # type: ignore[arg-type]
        return None if limit is None else limit.until_s

    assert until_s(view) == float("inf")
    assert until_s(book) == 100.0 + WINDOW_MS / 1000.0 - RETRY_MARGIN_S
    assert until_s(order) is None
    assert until_s(replace(book, group=api.Group.ZONE)) is None
    assert until_s(view, cancel=False) is None and until_s(view, max_attempts=1) is None


def test_a_keyed_job_whose_worker_hung_through_a_kill_is_done_after_the_restart(world: World) -> None:
    # Guards the same over real processes: the job was marked as sent, and no worker had it.
    runner = world.runner("s-1")
    runner.hung = True
    world.start_appliance()
    client = Client(world)
    job = client.run("k", {"jobCategory": "reading"})
    wait_until(lambda: client.state(job) == "RUNNING")
    world.kill()
    runner.hung = False
    world.start_appliance()
    wait_until(lambda: client.state(job) in ("DONE", "FAILED"))
    assert client.state(job) == "DONE" and max(world.orders.runs.values()) == 1
    assert runner.given_up == [job]
