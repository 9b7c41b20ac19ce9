"""A member's start count, by which its peers distinguish a later process from an earlier one."""

from __future__ import annotations

from grebestack.consensus.messages import EpochEnded, IncarnationStarted, ProcessStarted
from grebestack.consensus.recovery import RecoveredState
from tests.test_witnesses import acceptor_of, config_of


def test_a_compacted_log_keeps_the_start_count() -> None:
    # Guards against a later start with a lower incarnation, which members that know the former one reject.
    state = RecoveredState()
    state.apply(IncarnationStarted("f", "1", config_of(3)))
    for start in range(1, 8):
        state.apply(ProcessStarted(start))
    state.apply(EpochEnded(config_of(3, 2)))
    recovered = RecoveredState()
    for record in state.compacted_records():
        recovered.apply(record)
    assert recovered == state and recovered.start_count == 7


def test_the_start_count_continues_after_a_log_compacted_by_an_older_version() -> None:
    # Older versions wrote start count 0 to a compacted log.
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", config_of(3)), ProcessStarted(0), ProcessStarted(2)):
        state.apply(record)
    assert state.start_count == 2


def test_a_replaced_disk_keeps_the_start_count() -> None:
    # Guards against a lower incarnation at the next start, after a disk was lost.
    acceptor = acceptor_of(3, "bc")
    for _ in range(6):
        acceptor.start()
    acceptor.on_disk_fault("EIO")
    acceptor.on_disk_replaced("f", "2", config_of(3))
    assert acceptor.state.start_count == 7
