"""A vote counts only once so many others know of its record that a lost or older disk is found out."""

from __future__ import annotations

from itertools import combinations

import pytest

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Action, Peer, ReplaceDisk, Send
from grebestack.consensus.messages import (
    Accept,
    Accepted,
    EnterEpoch,
    Handshake,
    Heartbeat,
    IncarnationStarted,
    MembershipConfig,
    ProcessStarted,
    StopVoting,
    VotingStopped,
)
from grebestack.consensus.recovery import RecoveredState
from grebestack.consensus.register import Ballot
from grebestack.consensus.witnesses import RecordWitnesses

NAMES = "abcdefghi"
LAST_RECORD = 5


def config_of(count: int, epoch: int = 1) -> MembershipConfig:
    return MembershipConfig(epoch, tuple((name, "1") for name in NAMES[:count]))


def hello(name: str, heard: int = 0) -> Handshake:
    return Handshake(2, "f", name, "1", 1, 1, {"a": ("1", heard)})


def acceptor_of(count: int, confirmed_by: str = "") -> Acceptor:
    """Member a, whose log ends at record 5, after a start that these members have confirmed."""
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", config_of(count)), ProcessStarted(1)):
        state.apply(record)
    acceptor = Acceptor("a", state, LAST_RECORD)
    for name in confirmed_by:
        acceptor.on_handshake(hello(name, LAST_RECORD))
    acceptor.check_confirmation()
    return acceptor


def asked_by(acceptor: Acceptor, name: str) -> list[Action]:
    """What follows once a member has asked for a vote, and that is durable."""
    message = Accept(acceptor.state.config.epoch, "x", Ballot(1, name, 1), None)
    return acceptor.on_message(Peer(name, "1", 1), message) + acceptor.on_synced(acceptor.last_record)


def votes(actions: list[Action]) -> list[Send]:
    kinds = (Accepted, VotingStopped)
    return [action for action in actions if isinstance(action, Send) and isinstance(action.message, kinds)]


def heartbeats(acceptor: Acceptor, actions: list[Action]) -> list[str]:
    """Who is told of the records so far; noted as the replica does."""
    sent = [a.to for a in actions if isinstance(a, Send) and isinstance(a.message, Heartbeat)]
    for name in sent:
        acceptor.witnesses.on_heartbeat_sent(name, acceptor.reported_record)
    return sent


@pytest.mark.parametrize("count", range(1, 10))
def test_every_set_of_confirming_members_includes_a_witness_of_each_vote(count: int) -> None:
    # Guards against a restart that is confirmed only by members which have not heard of a lost vote.
    config, others = config_of(count), NAMES[1:count]
    for witnesses in combinations(others, config.required_witnesses):
        for confirming in combinations(others, config.required_confirmations):
            assert set(witnesses) & set(confirming) or count == 1


@pytest.mark.parametrize(("count", "confirming"), [(3, "b"), (3, "c"), (5, "bcd"), (5, "cde")])
def test_a_disk_is_trusted_only_once_every_other_member_has_confirmed_it(count: int, confirming: str) -> None:
    # Guards against a vote that was lost with a disk and that only the silent member had heard of.
    acceptor = acceptor_of(count, confirming)
    acceptor.check_confirmation()
    assert not acceptor.may_vote
    for name in set(NAMES[1:count]) - set(confirming):
        acceptor.on_handshake(hello(name, LAST_RECORD))
    assert acceptor.may_vote


def test_an_own_vote_counts_only_once_another_member_has_heard_of_its_record() -> None:
    # Guards against an own vote that nobody misses when the disk has lost it.
    acceptor = acceptor_of(3, "bc")
    actions = asked_by(acceptor, "a")
    assert not votes(actions) and heartbeats(acceptor, actions) == ["b", "c"]
    answered = acceptor.on_heartbeat_response("c")
    assert [vote.to for vote in votes(answered)] == ["a"]
    assert not votes(acceptor.on_heartbeat_response("b"))


@pytest.mark.parametrize("count", [3, 5])
def test_a_vote_leaves_at_once_for_a_proposer_which_hears_of_its_record_with_it(count: int) -> None:
    # Guards against a round trip more for each vote.
    assert [vote.to for vote in votes(asked_by(acceptor_of(count, NAMES[1:count]), "b"))] == ["b"]


def test_an_end_of_voting_is_witnessed_as_a_vote_is() -> None:
    # Guards against a member that votes on in an ended epoch since its disk has lost the end.
    acceptor = acceptor_of(3, "bc")
    stop = StopVoting(1, config_of(3, 2))
    actions = acceptor.on_message(Peer("a", "1", 1), stop) + acceptor.on_synced(acceptor.last_record)
    assert not votes(actions)
    heartbeats(acceptor, actions)
    assert [vote.to for vote in votes(acceptor.on_heartbeat_response("b"))] == ["a"]


def test_a_response_to_a_heartbeat_from_before_a_record_is_no_witness_of_it() -> None:
    # Guards against a witness that was asked before the vote was durable.
    acceptor = acceptor_of(3, "bc")
    acceptor.witnesses.on_heartbeat_sent("b", acceptor.reported_record)
    heartbeats(acceptor, asked_by(acceptor, "a"))
    assert not votes(acceptor.on_heartbeat_response("b"))
    assert votes(acceptor.on_heartbeat_response("b"))


def test_a_member_that_connects_again_with_the_record_heard_is_a_witness() -> None:
    # Guards against a vote that waits for ever, since the response was lost with its connection.
    acceptor = acceptor_of(3, "bc")
    heartbeats(acceptor, asked_by(acceptor, "a"))
    acceptor.on_disconnected("b")
    assert not votes(acceptor.on_heartbeat_response("b"))
    actions = acceptor.on_handshake(hello("b", LAST_RECORD))
    assert not votes(actions) and heartbeats(acceptor, actions) == ["b"]
    acceptor.on_disconnected("b")
    assert votes(acceptor.on_handshake(hello("b", acceptor.last_record)))


def test_a_copy_that_is_too_old_is_found_out_at_the_first_contact_whatever_was_written_since() -> None:
    # Guards against records written since the start that make up for those that were lost.
    acceptor = acceptor_of(5, "bcd")
    for _ in range(3):
        acceptor.start()
    assert acceptor.last_record == LAST_RECORD + 3
    assert any(isinstance(a, ReplaceDisk) for a in acceptor.on_handshake(hello("e", LAST_RECORD + 1)))
    assert not acceptor.may_vote


def test_a_disk_confirmed_among_four_is_confirmed_by_one_more_before_it_votes_among_five() -> None:
    # Guards against an old copy that has voted in the larger epoch, confirmed by the smaller one's members.
    acceptor = acceptor_of(4, "bcd")
    assert acceptor.may_vote
    acceptor.on_message(Peer("b", "1", 1), EnterEpoch(config_of(5, 2), ()))
    assert not acceptor.may_vote and "waits" in acceptor.describe()
    acceptor.on_handshake(hello("e"))
    assert acceptor.may_vote


def test_responses_that_wait_are_bounded_by_what_their_receivers_still_want() -> None:
    # Guards against memory that grows while no witness can be reached.
    acceptor = acceptor_of(3, "bc")
    acceptor.on_disconnected("b")
    acceptor.on_disconnected("c")
    for number in range(1, 100):
        message = Accept(1, "x", Ballot(number, "a", 1), None)
        acceptor.on_message(Peer("a", "1", 1), message)
        acceptor.on_synced(acceptor.last_record)
    assert len(acceptor.pending) == 1


def test_a_new_log_forgets_who_has_heard_of_the_former_one() -> None:
    # Guards against a witness of record 5 of a log that is gone.
    witnesses = RecordWitnesses()
    witnesses.on_connected("b", 5)
    witnesses.on_heartbeat_sent("b", 7)
    witnesses.forget_records()
    witnesses.on_heartbeat_response("b")
    assert witnesses.count(1, "b") == 0 and witnesses.members_to_notify(1, "bc") == ["b"]
