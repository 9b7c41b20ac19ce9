"""A member that is replaced: all states within a bound, broken variants, and votes that are not given."""

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

ROLL = MembershipConfig(1, (("a", "1"), ("b", "1"), ("c", "1")))
B = Peer("b", "1", 1)


@pytest.mark.parametrize(("start", "most"), [("asked", 8_000), ("sealed", 40_000), ("both", 8_000)])
def test_what_was_in_force_is_never_lost_as_a_member_is_replaced(start: str, most: int) -> None:
    states, whole, wrong, trace = explore(Model(), start, most)
    print(f"states={states}")
    assert not wrong, trace
    assert whole == (start == "sealed")  # of the others the nearest are seen


@pytest.mark.parametrize(
    ("variant", "start"),
    [
        ("nothing is carried over", "asked"),
        ("votes before it has entered", "both"),
        ("one seal is enough", "sealed"),
    ],
)
def test_a_broken_variant_is_caught(variant: str, start: str) -> None:
    _, _, wrong, trace = explore(Model(variant), start, 40_000)
    print("\n".join(trace))
    assert wrong and 4 < len(trace) < 16


def new_acceptor(last: int = 5) -> Acceptor:
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", ROLL), ProcessStarted(1)):
        state.apply(record)
    return Acceptor("a", state, last)


def hello(name: str, mark: int, incarnation: str = "1") -> Handshake:
    return Handshake(1, "f", name, "1", 1, 1, {"a": (incarnation, mark)})


def confirmed_acceptor() -> Acceptor:
    mine = new_acceptor()
    mine.on_handshake(hello("b", 5))
    mine.on_handshake(hello("c", 0))
    assert mine.may_vote
    return mine


def test_a_member_votes_only_once_others_have_said_how_far_they_heard_it() -> None:
    mine = new_acceptor()
    mine.start()
    assert not mine.may_vote and not mine.on_message(B, Prepare(1, "x", Ballot(1, "b", 1)))
    mine.on_handshake(hello("b", 5))
    assert not mine.may_vote  # c may have heard more
    mine.check_confirmation()
    assert not mine.may_vote  # it may still: of a vote that b has not heard of
    mine.on_handshake(hello("c", 5))
    assert mine.may_vote


@pytest.mark.parametrize("last", [3, 4])
def test_a_disk_that_has_lost_its_end_or_is_an_old_copy_is_doubted(last: int) -> None:
    mine = new_acceptor(last)
    mine.start()  # the record of the start must not make up for the lost one
    assert any(isinstance(action, ReplaceDisk) for action in mine.on_handshake(hello("b", 5)))
    assert not mine.may_vote and "record 5" in mine.disk_fault
    assert not mine.on_message(B, EnterEpoch(MembershipConfig(2, ROLL.members), ())) and not mine.may_vote


def test_a_mark_of_another_incarnation_says_nothing_of_this_disk() -> None:
    mine = new_acceptor()
    mine.on_handshake(hello("b", 99, "another"))
    mine.on_handshake(hello("c", 0))
    assert mine.may_vote


def test_an_answer_leaves_only_when_all_before_it_is_on_the_disk() -> None:
    mine = confirmed_acceptor()
    first = mine.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    again = mine.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    assert [type(action) for action in first + again] == [Write]  # a repeat is no way round the sync
    assert not mine.on_synced(mine.last_record - 1)
    assert len(mine.on_synced(mine.last_record)) == 2


def test_after_a_failed_sync_no_answer_leaves_and_the_new_disk_has_no_vote() -> None:
    mine = confirmed_acceptor()
    mine.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    mine.on_disk_fault("EIO")
    assert not mine.on_synced(99) and not mine.on_message(B, Prepare(1, "x", Ballot(2, "b", 1)))
    born = mine.on_disk_replaced("f", "2", ROLL)
    assert [type(action) for action in born] == [Write, Write]
    mine.on_synced(2)
    assert not mine.on_message(B, Prepare(1, "x", Ballot(2, "b", 1))) and not mine.on_message(
        B, StopVoting(1, ROLL)
    )


def test_who_has_ended_an_epoch_votes_in_it_no_more_after_a_restart_either() -> None:
    mine = confirmed_acceptor()
    following = MembershipConfig(2, (("a", "1"), ("b", "1"), ("c", "2")))
    mine.on_message(B, Accept(1, "x", Ballot(1, "b", 1), None))
    mine.on_message(B, StopVoting(1, following))
    mine.on_synced(mine.last_record)
    assert not mine.on_message(B, Accept(1, "x", Ballot(2, "b", 1), None))
    state = RecoveredState()
    for record in mine.state.compacted_records():
        state.apply(record)
    assert (
        state.register_entries()
        == mine.state.register_entries()
        == (("x", Ballot(1, "b", 1), Ballot(1, "b", 1), None),)
    )
    again = Acceptor("a", state, mine.last_record)
    again.on_handshake(hello("b", 5))
    again.on_handshake(hello("c", 5))
    assert again.is_confirmed and not again.may_vote
    again.on_message(B, EnterEpoch(following, (("x", NO_BALLOT, NO_BALLOT, None),)))
    assert again.may_vote


def test_a_member_that_is_behind_is_brought_up_by_whoever_it_asks() -> None:
    mine = confirmed_acceptor()
    mine.state.config = MembershipConfig(7, ROLL.members)
    (send,) = mine.on_message(B, Prepare(6, "x", Ballot(1, "b", 1)))
    assert isinstance(send, Send) and isinstance(send.message, EnterEpoch) and send.message.config.epoch == 7
    assert not any(isinstance(a, Write) and isinstance(a.record, RegisterWritten) for a in [send])
