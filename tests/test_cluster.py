"""A cluster of real processes under injected faults, checked by its history; and tests of the checker."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.cluster import (
    Cluster,
    Fault,
    FaultInjector,
    History,
    LeasePeriod,
    ReceivedExport,
    RegisterChange,
    draw_schedule,
    export_tasks,
)
from tests.standins import wait_until


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    rng = random.Random(7)
    created = Cluster(tmp_path, 3, [rng.uniform(0.9955, 1.0045) for _ in range(3)], term_s=1.0)
    try:
        for name in created.names:
            created.start(name)
        wait_until(lambda: len(created.holders()) == len(export_tasks()), 60)
        yield created
    finally:
        created.close()


def all_vote(cluster: Cluster) -> bool:
    return all(f"{name}: votes" in cluster.admin_output(name) for name in cluster.names)


def logged(cluster: Cluster, name: str, event: str, **kv: str) -> bool:
    return any(
        line.get("event") == event and all(value in line.get(key, "") for key, value in kv.items())
        for line in cluster.log_events(name)
    )


def all_tasks_exported_since(cluster: Cluster, since: float) -> bool:
    return {
        export.task for export in cluster.collector.exports if export.accepted and export.at > since
    } == set(export_tasks())


def wait_and_check(cluster: Cluster) -> None:
    """Wait until all members vote and all tasks export; the history must have no violations."""
    wait_until(lambda: all_vote(cluster), 60)
    since = time.monotonic()
    wait_until(lambda: all_tasks_exported_since(cluster, since), 60)
    assert cluster.history().violations() == []


def run_faults(cluster: Cluster, *faults: tuple[str, str, str]) -> FaultInjector:
    injector = FaultInjector(cluster, 1)
    for kind, member, other in faults:
        injector.run([Fault(0.0, 1.5, kind, member, other)])
        wait_until(lambda: all_vote(cluster), 60)
    return injector


def test_a_member_with_a_lost_old_lying_or_corrupt_disk_votes_only_after_it_is_admitted_again(
    cluster: Cluster,
) -> None:
    run_faults(cluster, ("disk lost", "m0", ""), ("old disk", "m1", ""), ("bit flipped", "m2", ""))
    run_faults(cluster, ("disk lies", "m0", ""))
    wait_and_check(cluster)
    assert logged(cluster, "m0", "fleet_disk_doubted", why="no record of this member")
    assert logged(cluster, "m1", "fleet_disk_doubted", why="knows of record")
    assert logged(cluster, "m2", "fleet_disk_doubted", why="is not what was written")
    assert all("epoch 1," not in cluster.admin_output(name) for name in cluster.names)


def test_after_a_failed_write_or_sync_the_log_is_set_aside_and_the_member_keeps_running(
    cluster: Cluster,
) -> None:
    run_faults(cluster, ("sync fails", "m0", ""), ("disk full", "m1", ""), ("slow sync", "m2", ""))
    wait_and_check(cluster)
    for name, why in (("m0", "Input/output"), ("m1", "No space")):
        assert logged(cluster, name, "fleet_disk_doubted", why=why)
        assert logged(cluster, name, "fleet_disk_unusable") and logged(cluster, name, "fleet_reborn")
        assert list((cluster.members[name].folder / "disk").glob("doubted-*"))
    assert not logged(cluster, "m2", "fleet_disk_doubted")


def test_links_that_are_cut_one_way_stalled_reset_or_broken_within_a_message(cluster: Cluster) -> None:
    def shows(member: str, text: str) -> Callable[[], bool]:
        return lambda: text in cluster.admin_output(member)

    directions = cluster.proxy.directions
    directions["m0", "m1"].cut = directions["m1", "m0"].cut = True  # both still reach m2
    wait_until(shows("m0", "m1: others hear it, this member does not"), 60)
    # The member that first notices the silent link closes it for both.
    pair = ("m0", "m1")
    wait_until(lambda: any(logged(cluster, name, "fleet_link_ended", why="silent") for name in pair), 60)
    directions["m0", "m1"].cut = directions["m1", "m0"].cut = False
    wait_until(shows("m0", "m1: up"), 60)
    run_faults(
        cluster, ("reset", "m1", "m2"), ("half", "m1", "m2"), ("slow", "m1", "m2"), ("delay", "m2", "")
    )
    run_faults(cluster, ("cut one way", "m0", ""))
    wait_and_check(cluster)


def test_holders_that_die_stop_or_terminate_are_replaced_and_a_minority_holds_no_lease(
    cluster: Cluster,
) -> None:
    run_faults(cluster, ("kill holder", "m0", ""), ("stop holder", "m0", ""), ("terminate holder", "m0", ""))
    wait_and_check(cluster)
    for direction in cluster.proxy.directions.values():
        direction.cut = True
    wait_until(
        lambda: all("majority is not heard" in cluster.admin_output(name) for name in cluster.names), 60
    )
    wait_until(lambda: not any("held here" in cluster.admin_output(n, "leases") for n in cluster.names), 60)
    for direction in cluster.proxy.directions.values():
        direction.cut = False
    wait_and_check(cluster)


def test_a_permanently_lost_member_is_removed_by_the_others(cluster: Cluster) -> None:
    assert "m0 is connected" in cluster.admin_output("m1", "drop m0")
    assert "m9 is no member; members are m0, m1, m2" in cluster.admin_output("m1", "drop m9")
    cluster.signal("m0", signal.SIGKILL)
    wait_until(lambda: cluster.admin_output("m1", "drop m0").startswith("SUCCESS"), 60)
    wait_until(lambda: all("(not in the set)" in cluster.admin_output(name) for name in ("m1", "m2")), 60)
    # It is admitted again: its own file lists it, and its folder is of an earlier epoch.
    cluster.start("m0")
    wait_until(
        lambda: not any("(not in the set)" in cluster.admin_output(name) for name in cluster.names), 60
    )
    wait_and_check(cluster)


def test_the_same_seed_draws_the_same_schedule_and_every_kind_occurs() -> None:
    names = [f"m{n}" for n in range(5)]
    assert draw_schedule(3, names, 100.0) == draw_schedule(3, names, 100.0) != draw_schedule(4, names, 100.0)
    assert len({fault.kind for fault in draw_schedule(3, names, 200.0)}) == 20


LEASE_PERIODS = [
    LeasePeriod("t", "a", 1, 1, 0.0, 2.0),
    LeasePeriod("t", "a", 1, 1, 1.0, 3.0),
    LeasePeriod("t", "b", 1, 2, 3.1, 5.0),
]
CHANGES = [
    RegisterChange("task/t", 0.0, 0.1, "", "a/1/1/1"),
    RegisterChange("task/t", 1.0, 1.1, "a/1/1/1", "a/1/1/2"),
    RegisterChange("task/t", 3.0, 3.1, "a/1/1/2", "b/1/2/1"),
    RegisterChange("task/t", 3.2, 3.3, "b/1/2/1", "b/1/2/1"),
]
EXPORTS = [
    ReceivedExport(0.5, "t", "a", 1, True),
    ReceivedExport(3.2, "t", "b", 2, True),
    ReceivedExport(3.3, "t", "a", 1, False),
]


def test_a_valid_history_has_no_violations() -> None:
    assert History(EXPORTS, LEASE_PERIODS, CHANGES).violations() == []


@pytest.mark.parametrize(
    ("exports", "periods", "changes", "expected"),
    [
        ([], [LeasePeriod("t", "b", 1, 2, 2.9, 5.0)], [], "overlap"),
        # Another incarnation of the same member:
        ([], [LeasePeriod("t", "a", 2, 2, 2.9, 5.0)], [], "overlap"),
        ([], [LeasePeriod("t", "b", 1, 1, 7.0, 8.0)], [], "token 1 of t was held by"),
        ([ReceivedExport(3.4, "t", "a", 1, True)], [], [], "a stale act was accepted"),
        ([ReceivedExport(3.4, "t", "b", 1, False)], [], [], "token 1 of t is a's, b exported with it"),
        ([], [], [RegisterChange("task/t", 3.0, 3.2, "a/1/1/2", "c/1/2/1")], "two changes of"),
        ([], [], [RegisterChange("task/t", 3.5, 3.6, "a/1/1/2", "a/1/1/2")], "met an older value"),
    ],
)
def test_each_violation_in_a_history_is_found(
    exports: list[ReceivedExport], periods: list[LeasePeriod], changes: list[RegisterChange], expected: str
) -> None:
    violations = History(EXPORTS + exports, LEASE_PERIODS + periods, CHANGES + changes).violations()
    assert violations and all(
        expected in line or "overlap" in line or "held by" in line for line in violations
    )
    assert any(expected in line for line in violations)
