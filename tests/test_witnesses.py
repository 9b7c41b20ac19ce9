"""A vote counts only once enough other members know of its record to detect a disk that has lost it."""

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


def handshake(name: str, known_record: int = 0) -> Handshake:
    return Handshake(2, "f", name, "1", 1, 1, {"a": ("1", known_record)})


def acceptor_of(count: int, confirmed_by: str = "") -> Acceptor:
    """Return the acceptor of member a, whose log ends at record 5; these members have confirmed its disk."""
    state = RecoveredState()
    for record in (IncarnationStarted("f", "1", config_of(count)), ProcessStarted(1)):
        state.apply(record)
    acceptor = Acceptor("a", state, LAST_RECORD)
    for name in confirmed_by:
        acceptor.on_handshake(handshake(name, LAST_RECORD))
    acceptor.check_confirmation()
    return acceptor


def accept_request(acceptor: Acceptor, name: str) -> list[Action]:
    """Return the actions after a member's accept request, once its record is durable."""
    message = Accept(acceptor.state.config.epoch, "x", Ballot(1, name, 1), None)
    return acceptor.on_message(Peer(name, "1", 1), message) + acceptor.on_synced(acceptor.last_record)


def votes(actions: list[Action]) -> list[Send]:
    kinds = (Accepted, VotingStopped)
    return [action for action in actions if isinstance(action, Send) and isinstance(action.message, kinds)]


def heartbeats(acceptor: Acceptor, actions: list[Action]) -> list[str]:
    """Return the receivers of heartbeats, and register these heartbeats as the replica does."""
    sent = [a.to for a in actions if isinstance(a, Send) and isinstance(a.message, Heartbeat)]
    for name in sent:
        acceptor.witnesses.on_heartbeat_sent(name, acceptor.reported_record)
    return sent


@pytest.mark.parametrize("count", range(1, 10))
def test_every_set_of_confirming_members_includes_a_witness_of_each_vote(count: int) -> None:
    # Guards against a restart that is confirmed only by members which do not know of a lost vote.
    config, others = config_of(count), NAMES[1:count]
    for witnesses in combinations(others, config.required_witnesses):
        for confirming in combinations(others, config.required_confirmations):
            assert set(witnesses) & set(confirming) or count == 1


@pytest.mark.parametrize(("count", "confirming"), [(3, "b"), (3, "c"), (5, "bcd"), (5, "cde")])
def test_a_member_votes_only_once_every_other_member_has_confirmed_its_disk(
    count: int, confirming: str
) -> None:
    # Guards against a lost vote that only a member which has not connected yet knows of.
    acceptor = acceptor_of(count, confirming)
    acceptor.check_confirmation()
    assert not acceptor.may_vote
    for name in set(NAMES[1:count]) - set(confirming):
        acceptor.on_handshake(handshake(name, LAST_RECORD))
    assert acceptor.may_vote


def test_a_vote_for_the_own_proposal_counts_only_once_another_member_knows_of_its_record() -> None:
    # Guards against an own vote whose loss with the disk no other member can detect.
    acceptor = acceptor_of(3, "bc")
    actions = accept_request(acceptor, "a")
    assert not votes(actions) and heartbeats(acceptor, actions) == ["b", "c"]
    responses = acceptor.on_heartbeat_response("c")
    assert [vote.to for vote in votes(responses)] == ["a"]
    assert not votes(acceptor.on_heartbeat_response("b"))


@pytest.mark.parametrize("count", [3, 5])
def test_a_vote_is_sent_immediately_to_a_proposer_which_learns_of_its_record_with_it(count: int) -> None:
    # Guards against an additional round trip for each vote.
    assert [vote.to for vote in votes(accept_request(acceptor_of(count, NAMES[1:count]), "b"))] == ["b"]


def test_a_stop_of_voting_needs_witnesses_as_a_vote_does() -> None:
    # Guards against a member that keeps voting in an ended epoch because its disk has lost the record of the
    # end.
    acceptor = acceptor_of(3, "bc")
    stop = StopVoting(1, config_of(3, 2))
    actions = acceptor.on_message(Peer("a", "1", 1), stop) + acceptor.on_synced(acceptor.last_record)
    assert not votes(actions)
    heartbeats(acceptor, actions)
    assert [vote.to for vote in votes(acceptor.on_heartbeat_response("b"))] == ["a"]


def test_a_response_to_a_heartbeat_sent_before_a_record_does_not_witness_it() -> None:
    # Guards against a witness whose heartbeat was sent before the vote was durable.
    acceptor = acceptor_of(3, "bc")
    acceptor.witnesses.on_heartbeat_sent("b", acceptor.reported_record)
    heartbeats(acceptor, accept_request(acceptor, "a"))
    assert not votes(acceptor.on_heartbeat_response("b"))
    assert votes(acceptor.on_heartbeat_response("b"))


def test_a_member_that_reconnects_and_knows_of_the_record_is_a_witness() -> None:
    # Guards against a vote that waits forever because the response was lost with its connection.
    acceptor = acceptor_of(3, "bc")
    heartbeats(acceptor, accept_request(acceptor, "a"))
    acceptor.on_disconnected("b")
    assert not votes(acceptor.on_heartbeat_response("b"))
    actions = acceptor.on_handshake(handshake("b", LAST_RECORD))
    assert not votes(actions) and heartbeats(acceptor, actions) == ["b"]
    acceptor.on_disconnected("b")
    assert votes(acceptor.on_handshake(handshake("b", acceptor.last_record)))


def test_an_old_copy_of_a_disk_is_detected_at_first_contact_despite_records_written_since() -> None:
    # Guards against records written since the start that make up for those that were lost.
    acceptor = acceptor_of(5, "bcd")
    for _ in range(3):
        acceptor.start()
    assert acceptor.last_record == LAST_RECORD + 3
    assert any(isinstance(a, ReplaceDisk) for a in acceptor.on_handshake(handshake("e", LAST_RECORD + 1)))
    assert not acceptor.may_vote


def test_a_disk_confirmed_among_four_needs_one_more_confirmation_to_vote_among_five() -> None:
    # Guards against an old copy of a disk that voted in the epoch of five, confirmed by the members of four.
    acceptor = acceptor_of(4, "bcd")
    assert acceptor.may_vote
    acceptor.on_message(Peer("b", "1", 1), EnterEpoch(config_of(5, 2), ()))
    assert not acceptor.may_vote and "waits" in acceptor.describe()
    acceptor.on_handshake(handshake("e"))
    assert acceptor.may_vote


def test_pending_responses_are_bounded_because_newer_ones_supersede_them() -> None:
    # Guards against memory that grows while no witness can be reached.
    acceptor = acceptor_of(3, "bc")
    acceptor.on_disconnected("b")
    acceptor.on_disconnected("c")
    for number in range(1, 100):
        message = Accept(1, "x", Ballot(number, "a", 1), None)
        acceptor.on_message(Peer("a", "1", 1), message)
        acceptor.on_synced(acceptor.last_record)
    assert len(acceptor.pending) == 1


def test_a_new_log_has_no_witnesses_of_the_previous_one() -> None:
    # Guards against counting witnesses of record 5 of a log that has been replaced.
    witnesses = RecordWitnesses()
    witnesses.on_connected("b", 5)
    witnesses.on_heartbeat_sent("b", 7)
    witnesses.forget_records()
    witnesses.on_heartbeat_response("b")
    assert witnesses.count(1, "b") == 0 and witnesses.members_to_notify(1, "bc") == ["b"]
