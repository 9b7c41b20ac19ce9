"""The count of a member's starts, by which its peers know a later process from an earlier one."""

from __future__ import annotations

from grebestack.consensus.messages import EpochEnded, IncarnationStarted, ProcessStarted
from grebestack.consensus.recovery import RecoveredState
from tests.test_witnesses import acceptor_of, config_of


def test_a_log_that_is_begun_anew_keeps_the_count_of_starts() -> None:
    # Guards against a later start with a lower incarnation, which members that know the former one refuse.
    state = RecoveredState()
    state.apply(IncarnationStarted("f", "1", config_of(3)))
    for start in range(1, 8):
        state.apply(ProcessStarted(start))
    state.apply(EpochEnded(config_of(3, 2)))
    again = RecoveredState()
    for record in state.compacted_records():
        again.apply(record)
    assert again == state and again.start_count == 7


def test_a_log_compacted_by_an_older_version_counts_its_starts_on() -> None:
    # Guards against a count of an older version, whose compacted log names start 0.
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", config_of(3)), ProcessStarted(0), ProcessStarted(2)):
        state.apply(record)
    assert state.start_count == 2


def test_a_disk_that_is_replaced_keeps_the_count_of_starts() -> None:
    # Guards against the same lower incarnation at the next start, after a disk was lost.
    acceptor = acceptor_of(3, "bc")
    for _ in range(6):
        acceptor.start()
    acceptor.on_disk_fault("EIO")
    acceptor.on_disk_replaced("f", "2", config_of(3))
    assert acceptor.state.start_count == 7
