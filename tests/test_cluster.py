"""Several processes of the program with faults between them, judged by their history; and the judge."""

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
    drawn = random.Random(7)
    made = Cluster(tmp_path, 3, [drawn.uniform(0.9955, 1.0045) for _ in range(3)], term_s=1.0)
    try:
        for name in made.names:
            made.start(name)
        wait_until(lambda: len(made.holders()) == len(export_tasks()), 60)
        yield made
    finally:
        made.close()


def voting(cluster: Cluster) -> bool:
    return all(f"{name}: votes" in cluster.admin_output(name) for name in cluster.names)


def logged(cluster: Cluster, name: str, event: str, **kv: str) -> bool:
    return any(
        line.get("event") == event and all(value in line.get(key, "") for key, value in kv.items())
        for line in cluster.log_events(name)
    )


def acted_since(cluster: Cluster, since: float) -> bool:
    return {act.task for act in cluster.collector.exports if act.accepted and act.at > since} == set(
        export_tasks()
    )


def settle(cluster: Cluster) -> None:
    """All vote, all tasks are acted for, and nothing in the history is wrong."""
    wait_until(lambda: voting(cluster), 60)
    since = time.monotonic()
    wait_until(lambda: acted_since(cluster, since), 60)
    assert cluster.history().violations() == []


def play(cluster: Cluster, *faults: tuple[str, str, str]) -> FaultInjector:
    player = FaultInjector(cluster, 1)
    for kind, member, other in faults:
        player.run([Fault(0.0, 1.5, kind, member, other)])
        wait_until(lambda: voting(cluster), 60)
    return player


def test_a_disk_that_is_lost_old_lying_or_flipped_votes_no_more_until_it_is_admitted_anew(
    cluster: Cluster,
) -> None:
    play(cluster, ("disk lost", "m0", ""), ("old disk", "m1", ""), ("bit flipped", "m2", ""))
    play(cluster, ("disk lies", "m0", ""))
    settle(cluster)
    assert logged(cluster, "m0", "fleet_disk_doubted", why="no record of this member")
    assert logged(cluster, "m1", "fleet_disk_doubted", why="knows of record")
    assert logged(cluster, "m2", "fleet_disk_doubted", why="is not what was written")
    assert all("epoch 1," not in cluster.admin_output(name) for name in cluster.names)


def test_after_a_failed_write_or_sync_the_file_is_put_aside_and_serving_goes_on(cluster: Cluster) -> None:
    play(cluster, ("sync fails", "m0", ""), ("disk full", "m1", ""), ("slow sync", "m2", ""))
    settle(cluster)
    for name, why in (("m0", "Input/output"), ("m1", "No space")):
        assert logged(cluster, name, "fleet_disk_doubted", why=why)
        assert logged(cluster, name, "fleet_disk_unusable") and logged(cluster, name, "fleet_reborn")
        assert list((cluster.members[name].folder / "disk").glob("doubted-*"))
    assert not logged(cluster, "m2", "fleet_disk_doubted")


def test_links_that_are_cut_one_way_stalled_reset_or_broken_in_a_message(cluster: Cluster) -> None:
    def seen(member: str, words: str) -> Callable[[], bool]:
        return lambda: words in cluster.admin_output(member)

    ways = cluster.proxy.directions
    ways["m0", "m1"].cut = ways["m1", "m0"].cut = True  # both reach m2
    wait_until(seen("m0", "m1: others hear it, this member does not"), 60)
    # One of the two finds the link silent first, and ends it for both.
    both = ("m0", "m1")
    wait_until(lambda: any(logged(cluster, name, "fleet_link_ended", why="silent") for name in both), 60)
    ways["m0", "m1"].cut = ways["m1", "m0"].cut = False
    wait_until(seen("m0", "m1: up"), 60)
    play(cluster, ("reset", "m1", "m2"), ("half", "m1", "m2"), ("slow", "m1", "m2"), ("delay", "m2", ""))
    play(cluster, ("cut one way", "m0", ""))
    settle(cluster)


def test_holders_that_die_stop_or_leave_are_followed_and_a_minority_holds_nothing(cluster: Cluster) -> None:
    play(cluster, ("kill holder", "m0", ""), ("stop holder", "m0", ""), ("terminate holder", "m0", ""))
    settle(cluster)
    for way in cluster.proxy.directions.values():
        way.cut = True
    wait_until(
        lambda: all("majority is not heard" in cluster.admin_output(name) for name in cluster.names), 60
    )
    wait_until(lambda: not any("held here" in cluster.admin_output(n, "leases") for n in cluster.names), 60)
    for way in cluster.proxy.directions.values():
        way.cut = False
    settle(cluster)


def test_a_member_that_is_gone_for_good_is_dropped_by_the_others(cluster: Cluster) -> None:
    assert "m0 is connected" in cluster.admin_output("m1", "drop m0")
    assert "m9 is no member; members are m0, m1, m2" in cluster.admin_output("m1", "drop m9")
    cluster.signal("m0", signal.SIGKILL)
    wait_until(lambda: cluster.admin_output("m1", "drop m0").startswith("SUCCESS"), 60)
    wait_until(lambda: all("(not in the set)" in cluster.admin_output(name) for name in ("m1", "m2")), 60)
    cluster.start("m0")  # its file names it, and its folder is of a former epoch: it is admitted anew
    wait_until(
        lambda: not any("(not in the set)" in cluster.admin_output(name) for name in cluster.names), 60
    )
    settle(cluster)


def test_the_same_seed_draws_the_same_schedule_and_all_kinds_come() -> None:
    names = [f"m{n}" for n in range(5)]
    assert draw_schedule(3, names, 100.0) == draw_schedule(3, names, 100.0) != draw_schedule(4, names, 100.0)
    assert len({fault.kind for fault in draw_schedule(3, names, 200.0)}) == 20


HELD = [
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
ACTS = [
    ReceivedExport(0.5, "t", "a", 1, True),
    ReceivedExport(3.2, "t", "b", 2, True),
    ReceivedExport(3.3, "t", "a", 1, False),
]


def test_a_right_history_is_right() -> None:
    assert History(ACTS, HELD, CHANGES).violations() == []


@pytest.mark.parametrize(
    ("acts", "held", "changes", "says"),
    [
        ([], [LeasePeriod("t", "b", 1, 2, 2.9, 5.0)], [], "overlap"),
        ([], [LeasePeriod("t", "a", 2, 2, 2.9, 5.0)], [], "overlap"),  # another life of the same member
        ([], [LeasePeriod("t", "b", 1, 1, 7.0, 8.0)], [], "token 1 of t was held by"),
        ([ReceivedExport(3.4, "t", "a", 1, True)], [], [], "a stale act was accepted"),
        ([ReceivedExport(3.4, "t", "b", 1, False)], [], [], "token 1 of t is a's, b acted with it"),
        ([], [], [RegisterChange("task/t", 3.0, 3.2, "a/1/1/2", "c/1/2/1")], "two changes of"),
        ([], [], [RegisterChange("task/t", 3.5, 3.6, "a/1/1/2", "a/1/1/2")], "met an older value"),
    ],
)
def test_a_wrong_history_is_found_out(
    acts: list[ReceivedExport], held: list[LeasePeriod], changes: list[RegisterChange], says: str
) -> None:
    wrong = History(ACTS + acts, HELD + held, CHANGES + changes).violations()
    assert wrong and all(says in line or "overlap" in line or "held by" in line for line in wrong)
    assert any(says in line for line in wrong)
