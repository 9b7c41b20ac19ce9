"""Replacement of a member: the model, its broken variants, and when an acceptor must not vote."""

from __future__ import annotations

import pytest

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Peer, ReplaceDisk, Send, Write
from grebestack.consensus.messages import (
    Accept,
    EnterEpoch,
    Handshake,
    IncarnationStarted,
    MembershipConfig,
    Prepare,
    ProcessStarted,
    RegisterWritten,
    StopVoting,
)
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.register import NO_BALLOT, Ballot
from tests.membership_change_model import Model, explore

CONFIG = MembershipConfig(1, (("a", "1"), ("b", "1"), ("c", "1")))
B = Peer("b", "1", 1)


@pytest.mark.parametrize(
    ("start", "max_states"), [("proposed", 8_000), ("stopped", 40_000), ("both new", 8_000)]
)
def test_no_chosen_value_is_lost_when_a_member_is_replaced(start: str, max_states: int) -> None:
    states, is_complete, violation, trace = explore(Model(), start, max_states)
    print(f"states={states}")
    assert not violation, trace
    assert is_complete == (start == "stopped")  # the other starts reach more states than are visited


@pytest.mark.parametrize(
    ("variant", "start"),
    [
        ("registers are not merged", "proposed"),
        ("votes before entering the epoch", "both new"),
        ("one stopped member is enough", "stopped"),
    ],
)
def test_the_exploration_finds_the_fault_of_a_broken_variant(variant: str, start: str) -> None:
    _, _, violation, trace = explore(Model(variant), start, 40_000)
    print("\n".join(trace))
    assert violation and 4 < len(trace) < 16


def new_acceptor(last_record: int = 5) -> Acceptor:
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", CONFIG), ProcessStarted(1)):
        state.apply(record)
    return Acceptor("a", state, last_record)


def handshake(name: str, known_record: int, incarnation: str = "1") -> Handshake:
    return Handshake(1, "f", name, "1", 1, 1, {"a": (incarnation, known_record)})


def confirmed_acceptor() -> Acceptor:
    acceptor = new_acceptor()
    acceptor.on_handshake(handshake("b", 5))
    acceptor.on_handshake(handshake("c", 0))
    assert acceptor.may_vote
    return acceptor


def test_a_member_votes_only_after_enough_others_have_confirmed_its_disk() -> None:
    acceptor = new_acceptor()
    acceptor.start()
    assert not acceptor.may_vote and not acceptor.on_message(B, Prepare(1, "x", Ballot(1, "b", 1)))
    acceptor.on_handshake(handshake("b", 5))
    assert not acceptor.may_vote  # c may know of a later record
    acceptor.check_confirmation()
    assert not acceptor.may_vote  # c may still know of a vote that b does not know of
    acceptor.on_handshake(handshake("c", 5))
    assert acceptor.may_vote


@pytest.mark.parametrize("last_record", [3, 4])
def test_a_disk_that_has_lost_records_or_is_an_old_copy_is_replaced(last_record: int) -> None:
    acceptor = new_acceptor(last_record)
    acceptor.start()  # the record of this start must not make up for a lost one
    assert any(isinstance(action, ReplaceDisk) for action in acceptor.on_handshake(handshake("b", 5)))
    assert not acceptor.may_vote and "record 5" in acceptor.disk_fault
    assert (
        not acceptor.on_message(B, EnterEpoch(MembershipConfig(2, CONFIG.members), ()))
        and not acceptor.may_vote
    )


def test_a_position_in_the_log_of_another_incarnation_is_ignored() -> None:
    acceptor = new_acceptor()
    acceptor.on_handshake(handshake("b", 99, "another"))
    acceptor.on_handshake(handshake("c", 0))
    assert acceptor.may_vote


def test_a_response_is_sent_only_after_all_records_before_it_are_durable() -> None:
    acceptor = confirmed_acceptor()
    first = acceptor.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    repeated = acceptor.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    assert [type(action) for action in first + repeated] == [Write]  # the repeated request waits too
    assert not acceptor.on_synced(acceptor.last_record - 1)
    assert len(acceptor.on_synced(acceptor.last_record)) == 2


def test_after_a_failed_sync_no_response_is_sent_and_the_new_disk_does_not_vote() -> None:
    acceptor = confirmed_acceptor()
    acceptor.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    acceptor.on_disk_fault("EIO")
    assert not acceptor.on_synced(99) and not acceptor.on_message(B, Prepare(1, "x", Ballot(2, "b", 1)))
    actions = acceptor.on_disk_replaced("f", "2", CONFIG)
    assert [type(action) for action in actions] == [Write, Write]
    acceptor.on_synced(2)
    assert not acceptor.on_message(B, Prepare(1, "x", Ballot(2, "b", 1))) and not acceptor.on_message(
        B, StopVoting(1, CONFIG)
    )


def test_a_member_that_has_stopped_voting_in_an_epoch_does_not_vote_in_it_after_a_restart() -> None:
    acceptor = confirmed_acceptor()
    next_config = MembershipConfig(2, (("a", "1"), ("b", "1"), ("c", "2")))
    acceptor.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    acceptor.on_message(B, StopVoting(1, next_config))
    acceptor.on_synced(acceptor.last_record)
    assert not acceptor.on_message(B, Accept(1, "x", Ballot(2, "b", 1), None))
    state = RecoveredState()
    for record in acceptor.state.compacted_records():
        state.apply(record)
    assert (
        state.register_entries()
        == acceptor.state.register_entries()
        == (("x", Ballot(1, "b", 1), Ballot(1, "b", 1), None),)
    )
    restarted = Acceptor("a", state, acceptor.last_record)
    restarted.on_handshake(handshake("b", 5))
    restarted.on_handshake(handshake("c", 5))
    assert restarted.is_confirmed and not restarted.may_vote
    restarted.on_message(B, EnterEpoch(next_config, (("x", NO_BALLOT, NO_BALLOT, None),)))
    assert restarted.may_vote


def test_a_proposer_in_an_earlier_epoch_is_sent_the_current_one() -> None:
    acceptor = confirmed_acceptor()
    acceptor.state.config = MembershipConfig(7, CONFIG.members)
    (send,) = acceptor.on_message(B, Prepare(6, "x", Ballot(1, "b", 1)))
    assert isinstance(send, Send) and isinstance(send.message, EnterEpoch) and send.message.config.epoch == 7
    assert not any(isinstance(a, Write) and isinstance(a.record, RegisterWritten) for a in [send])
