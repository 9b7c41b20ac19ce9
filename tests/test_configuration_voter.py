"""A single voter: proposals, confirmations, and invalid input, which is logged with what is allowed."""

from __future__ import annotations

import random
from typing import Any

import pytest

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    ChangeRegister,
    DiscardContents,
    MajorityConfirmed,
    ProposalResult,
    PublishVersion,
    SendToVoter,
    StoreContents,
)
from grebestack.config_distribution.messages import (
    FollowerStatus,
    StatusReport,
)
from grebestack.config_distribution.register_access import register_change
from grebestack.config_distribution.undecided import MAX_UNDECIDED, MAX_UNDECIDED_BYTES
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    NO_VERSION,
    Version,
    digest_of,
)
from grebestack.config_distribution.voter import ConfigurationVoter
from grebestack.config_distribution.voter_messages import (
    Contents,
    Heartbeat,
    HeartbeatResponse,
    Propose,
    StoreAck,
    encode,
)
from grebestack.config_distribution.voter_state import VoterView
from tests.configuration_samples import action_types, contents, invalid_reasons, version

VIEW = VoterView(0, 1, frozenset(("v1", "v2", "v3")), 2, frozenset(("v2", "v3")))


def new_voter() -> ConfigurationVoter:
    return ConfigurationVoter("v1", "f", 1, random.Random(1), 0.0)


def ready_voter() -> ConfigurationVoter:
    """Return a voter that has read the register since its start."""
    voter = new_voter()
    assert voter.on_register_result(0.0, True, None, VIEW) == []
    return voter


def encoded(message: Any) -> bytes:
    return encode(message)


def test_a_majority_stores_the_contents_before_the_register_is_changed() -> None:
    voter = ready_voter()
    actions = list(voter.propose(0.0, 7, contents(1), 99, VIEW))
    assert action_types(actions) == ["StoreContents", "SendToVoter", "SendToVoter"]
    digest = digest_of(contents(1))
    assert voter.on_contents_stored(5.0, digest) == []
    (decide,) = voter.on_message(6.0, "v2", encoded(StoreAck(digest)), VIEW)
    expected = Version(1, digest, len(contents(1)), "v1", 99)
    assert decide == ChangeRegister(expected)
    ended = list(voter.on_register_result(9.0, True, expected, VIEW))
    assert [a for a in ended if isinstance(a, ProposalResult)] == [
        ProposalResult(7, True, expected, "", ("v1", "v2"))
    ]
    assert [a for a in ended if isinstance(a, PublishVersion)] == [PublishVersion(expected, contents(1))]
    assert action_types(list(voter.on_stored(10.0, 1))) == ["DiscardContents", "Apply"]


def outcomes(actions: list[Any]) -> list[ProposalResult]:
    return [a for a in actions if isinstance(a, ProposalResult)]


def test_a_voter_that_has_just_started_reads_the_register_and_proposes_the_next_number() -> None:
    voter = new_voter()
    voter.start(0.0, [(version(1), contents(1))], {})
    actions = list(voter.propose(0.0, 7, contents(9), 99, VIEW))
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [ChangeRegister(None)]
    digest = digest_of(contents(9))
    voter.on_contents_stored(5.0, digest)
    # A majority has stored the contents, but the number to propose is not known yet.
    assert voter.on_message(6.0, "v2", encoded(StoreAck(digest)), VIEW) == []
    actions = list(voter.on_register_result(9.0, True, version(4), VIEW))
    expected = Version(5, digest, len(contents(9)), "v1", 99)
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [
        ChangeRegister(expected)
    ] and not outcomes(actions)
    (ended,) = outcomes(list(voter.on_register_result(12.0, True, expected, VIEW)))
    assert ended.won and ended.version == expected


def test_reports_of_other_voters_do_not_end_a_proposal_before_the_register_is_read() -> None:
    voter = new_voter()
    voter.propose(0.0, 7, contents(9), 99, VIEW)
    voter.on_contents_stored(5.0, digest_of(contents(9)))
    voter.on_message(6.0, "v2", encoded(StoreAck(digest_of(contents(9)))), VIEW)
    assert not outcomes(list(voter.on_message(7.0, "v2", encoded(Heartbeat(1, 1, 3, version(3))), VIEW)))
    assert voter.state.proposal is not None and voter.state.proposal.version.number == 4
    actions = list(voter.on_register_result(9.0, True, version(3), VIEW))
    assert [a.version.number for a in actions if isinstance(a, ChangeRegister) and a.version] == [4]
    (lost,) = outcomes(list(voter.on_message(10.0, "v2", encoded(Heartbeat(2, 1, 4, version(4))), VIEW)))
    # The number is known now, so another decision with it ends the proposal.
    assert lost.why == "v1 won with number 4" and not lost.won


def test_a_voter_that_can_not_read_the_register_after_its_start_reports_it_and_retries_slowly() -> None:
    voter, now, reads = new_voter(), 0.0, 0
    found = list(voter.propose(0.0, 7, b"one", 99, VIEW))
    voter.on_contents_stored(1.0, digest_of(b"one"))
    voter.on_message(2.0, "v2", encoded(StoreAck(digest_of(b"one"))), VIEW)
    while voter.state.proposal is not None and now < 2 * timeouts.PROPOSAL_TIMEOUT_MS:
        if voter.register.is_busy:
            reads += 1
            now += timeouts.REGISTER_TIMEOUT_MS
            found += voter.on_register_result(now, False, None, VIEW)
        now = voter.due_ms(now)
        found += voter.tick(now, VIEW)
    assert [o.why for o in outcomes(found)] == [
        "the register can't be read: no majority of the voters has answered; held by v1, v2"
    ]
    assert all(a.version is None for a in found if isinstance(a, ChangeRegister))
    assert 4 <= reads <= timeouts.PROPOSAL_TIMEOUT_MS / timeouts.REGISTER_TIMEOUT_MS + 1


def test_the_change_of_the_register_is_compare_and_set() -> None:
    assert register_change(version(1))(None) == version(1) and register_change(version(2))(
        version(1)
    ) == version(2)
    other = version(1, b"other")
    assert (
        register_change(version(1))(other) == other
        and register_change(None)(other) == other
        and register_change(None)(None) is None
    )
    assert register_change(version(3))(version(1)) == version(1)


@pytest.mark.parametrize(
    ("data", "view", "why"),
    [
        (bytes(MAX_CONTENTS_BYTES + 1), VIEW, "contents is '524289 bytes'; allowed: up to 524288"),
        (b"x", VIEW._replace(accepted=-1), "the vote of v1 does not count now"),
        (b"x", VIEW._replace(connected=frozenset()), "1 of 3 voters are connected; needed: 2"),
    ],
)
def test_a_rejected_proposal_gives_the_reason(data: bytes, view: VoterView, why: str) -> None:
    assert ready_voter().propose(0.0, 1, data, 0, view) == [ProposalResult(1, False, NO_VERSION, why)]


def test_a_voter_handles_one_proposal_at_a_time() -> None:
    voter = ready_voter()
    voter.propose(0.0, 1, b"one", 0, VIEW)
    assert voter.propose(1.0, 2, b"two", 0, VIEW)[0].why == "another change is under way at v1"  # type: ignore


def test_a_proposal_without_a_majority_of_holders_ends_and_the_register_is_not_changed() -> None:
    voter, now = ready_voter(), 0.0
    voter.propose(0.0, 1, b"one", 0, VIEW)
    voter.on_contents_stored(1.0, digest_of(b"one"))
    found: list[Any] = []
    while now < timeouts.PROPOSAL_TIMEOUT_MS + 100.0:
        now = voter.due_ms(now)
        found += voter.tick(now, VIEW)
    assert [a.why for a in found if isinstance(a, ProposalResult)] == [
        "its contents are held by v1; needed: 2 voters"
    ]
    assert not [a for a in found if isinstance(a, ChangeRegister)]
    assert sum(isinstance(a, SendToVoter) and b"propose" in a.body for a in found) > 4  # sent again


def test_a_newer_accepted_number_leads_to_a_read_of_the_register_and_a_fetch_of_contents() -> None:
    voter = ready_voter()
    assert action_types(list(voter.on_message(0.0, "v2", encoded(Heartbeat(1, 1, 1, NO_VERSION)), VIEW))) == [
        "SendToVoter"
    ]
    now = voter.due_ms(0.0)
    while not voter.register.is_busy:
        assert now <= timeouts.REGISTER_READ_DELAY_MS[1] + 1.0
        found = list(voter.tick(now, VIEW))
        now = voter.due_ms(now)
    assert ChangeRegister(None) in found
    voter.on_register_result(now, True, version(1), VIEW)
    assert voter.state.decided == version(1) and voter.version == NO_VERSION
    requests = [a for a in voter.tick(now + 1.0, VIEW) if isinstance(a, SendToVoter) and b"want" in a.body]
    assert len(requests) == 1
    assert invalid_reasons(
        list(voter.on_message(now + 2.0, "v2", encoded(Contents(version(1).digest, b"x")), VIEW))
    )
    found = list(voter.on_message(now + 2.0, "v2", encoded(Contents(version(1).digest, contents(1))), VIEW))
    assert action_types(found) == ["PublishVersion", "Store"] and voter.version == version(1)


def test_a_majority_confirms_the_send_time_and_responses_of_another_epoch_do_not_count() -> None:
    voter = ready_voter()
    voter.tick(100.0, VIEW)
    for epoch, accepted in ((2, 0), (1, -1), (1, 1)):
        assert not [
            a
            for a in voter.on_message(
                200.0, "v2", encoded(HeartbeatResponse(1, epoch, accepted, NO_VERSION)), VIEW
            )
            if isinstance(a, MajorityConfirmed)
        ]
    found = list(voter.on_message(300.0, "v3", encoded(HeartbeatResponse(1, 1, 0, NO_VERSION)), VIEW))
    assert MajorityConfirmed(100.0) in found
    assert not voter.on_message(400.0, "v3", encoded(HeartbeatResponse(99, 1, 0, NO_VERSION)), VIEW)


@pytest.mark.parametrize(
    ("message", "why"),
    [
        (Propose("0" * 64, b"x"), f"digest is '{'0' * 64}'; allowed: {digest_of(b'x')}"),
        (
            Propose(digest_of(bytes(MAX_CONTENTS_BYTES + 1)), bytes(MAX_CONTENTS_BYTES + 1)),
            "contents is '524289 bytes'",
        ),
        (Heartbeat(1, 1, 0, Version(1, "x", 1, "v2", 0)), "digest is 'x'; allowed: 64 hexadecimal digits"),
        (Heartbeat(1, 1, 0, Version(1, "0" * 64, -1, "v2", 0)), "size is -1; allowed: 0 to 524288"),
    ],
)
def test_an_invalid_message_is_logged_once(message: Any, why: str) -> None:
    voter = ready_voter()
    assert invalid_reasons(list(voter.on_message(0.0, "v2", encoded(message), VIEW)))[0].startswith(why)
    assert (
        not invalid_reasons(list(voter.on_message(0.0, "v2", encoded(message), VIEW)))
        and voter.state.decided == NO_VERSION
    )
    assert invalid_reasons(list(voter.on_message(0.0, "v2", b"\xc1", VIEW)))[0].startswith("word is ")


def test_a_voter_that_contradicts_an_earlier_report_is_logged_and_ignored() -> None:
    voter = ready_voter()
    voter.on_message(0.0, "v2", encoded(Heartbeat(1, 1, 2, version(2))), VIEW)
    found = list(voter.on_message(1.0, "v2", encoded(Heartbeat(2, 1, 2, version(1))), VIEW))
    assert invalid_reasons(found) == ["decided is 1; allowed: 2 and more, as reported before"]
    found = list(voter.on_message(2.0, "v3", encoded(Heartbeat(1, 1, 2, version(2, b"other"))), VIEW))
    assert invalid_reasons(found)[0].startswith("version is ") and voter.state.decided == version(2)


def propose_and_store(voter: ConfigurationVoter, proposed: bytes) -> None:
    """Have another voter propose contents, and complete the writes at once."""
    for action in voter.on_message(0.0, "v2", encoded(Propose(digest_of(proposed), proposed)), VIEW):
        if isinstance(action, StoreContents):
            voter.on_contents_stored(0.0, action.digest)


def test_undecided_contents_are_bounded_in_number_and_expire() -> None:
    voter = ready_voter()
    for n in range(MAX_UNDECIDED + 40):
        propose_and_store(voter, b"%d" % n)
    assert len(voter.undecided.on_disk) == MAX_UNDECIDED == 1024
    found = voter.on_message(
        timeouts.UNDECIDED_CONTENTS_TTL_MS, "v2", encoded(Propose(digest_of(b"z"), b"z")), VIEW
    )
    assert sum(isinstance(a, DiscardContents) for a in found) == MAX_UNDECIDED and isinstance(
        found[-1], StoreContents
    )


def test_undecided_contents_are_bounded_in_bytes_and_sixty_concurrent_changes_fit() -> None:
    voter = ready_voter()
    for n in range(40):
        propose_and_store(voter, b"%2d" % n + bytes(MAX_CONTENTS_BYTES - 2))
    assert len(voter.undecided.on_disk) == MAX_UNDECIDED_BYTES // MAX_CONTENTS_BYTES == 32
    voter = ready_voter()
    for n in range(60):  # contents of lost proposals count too: a limit of 16 blocked proposals for a minute
        propose_and_store(voter, b"%2d" % n + bytes(42_000))
    assert len(voter.undecided.on_disk) == 60


def follower_status(
    name: str, number: int, last_message_age_ms: int = 0, connected: bool = True, incarnation: int = 1
) -> FollowerStatus:
    return FollowerStatus(name, incarnation, number, last_message_age_ms, connected)


def test_a_follower_that_changed_its_relay_counts_once_with_its_latest_status() -> None:
    voter = ready_voter()
    voter.on_status_report(
        0.0, StatusReport("a", 1, 1, True, 1, (follower_status("d1", 1), follower_status("d2", 1))), VIEW
    )
    voter.on_status_report(5000.0, StatusReport("b", 1, 1, True, 2, (follower_status("d1", 2),)), VIEW)
    voter.on_status_report(
        5100.0,
        StatusReport("a", 1, 2, True, 2, (follower_status("d1", 1, 5000), follower_status("d2", 1))),
        VIEW,
    )
    counts = voter.counts(5200.0)
    assert counts.in_force == {2: 1, 1: 1} and set(counts.behind) == {"d2"} and not counts.unknown
    voter.on_status_report(
        6000.0, StatusReport("a", 1, 3, False, 2, (follower_status("d2", 1, 100, False),)), VIEW
    )
    counts = voter.counts(6100.0)
    assert counts.in_force == {2: 1} and counts.unknown == {"d2": (1, 5900.0)} and not counts.behind
    assert voter.acknowledged_number("d1") == 2 and voter.acknowledged_number("d9") == 0


def test_a_connected_status_counts_first_and_then_the_later_incarnation() -> None:
    voter = ready_voter()
    voter.on_status_report(
        0.0, StatusReport("a", 1, 1, True, 2, (follower_status("d1", 1, 0, True, 7),)), VIEW
    )
    voter.on_status_report(
        1.0, StatusReport("b", 1, 1, True, 2, (follower_status("d1", 2, 0, True, 6),)), VIEW
    )
    assert voter.counts(2.0).in_force == {1: 1}
    voter.on_status_report(
        3.0, StatusReport("a", 1, 2, False, 2, (follower_status("d1", 1, 10, False, 7),)), VIEW
    )
    assert voter.counts(4.0).in_force == {2: 1} and not voter.counts(4.0).unknown


def test_the_followers_of_a_silent_relay_are_unknown() -> None:
    voter = ready_voter()
    voter.on_status_report(0.0, StatusReport("a", 1, 1, True, 1, (follower_status("d1", 1),)), VIEW)
    assert voter.counts(timeouts.RELAY_SILENT_MS).in_force == {1: 1}
    silent_counts = voter.counts(timeouts.RELAY_SILENT_MS + 1.0)
    assert silent_counts.in_force == {} and silent_counts.unknown == {"d1": (1, 0.0)}


def test_after_a_missing_status_report_only_the_next_full_one_counts() -> None:
    voter = ready_voter()
    voter.on_status_report(0.0, StatusReport("a", 1, 1, True, 1, (follower_status("d1", 1),)), VIEW)
    voter.on_status_report(2.0, StatusReport("a", 1, 3, False, 1, (follower_status("d2", 1),)), VIEW)
    voter.on_status_report(3.0, StatusReport("a", 1, 4, False, 1, (follower_status("d3", 1),)), VIEW)
    assert voter.counts(4.0).in_force == {1: 1}
    voter.on_status_report(
        5.0, StatusReport("a", 1, 5, True, 1, (follower_status("d1", 1), follower_status("d2", 1))), VIEW
    )
    assert voter.counts(6.0).in_force == {1: 2}


@pytest.mark.parametrize(
    ("report", "why"),
    [
        (StatusReport("a", 1, 9, True, 5, ()), "life is 1; allowed: 2 and more, as a reported before"),
        (StatusReport("a", 2, 9, True, 4, ()), "number is 4; allowed: 5 and more, as a reported before"),
        (
            StatusReport("a", 2, 9, True, 5, (follower_status("d1", 3),)),
            "number is 3; allowed: 4 and more of d1",
        ),
    ],
)
def test_a_status_report_that_goes_back_is_logged_and_ignored(report: StatusReport, why: str) -> None:
    voter = ready_voter()
    voter.on_status_report(0.0, StatusReport("a", 2, 1, True, 5, (follower_status("d1", 4),)), VIEW)
    assert invalid_reasons(list(voter.on_status_report(1.0, report, VIEW))) == [why]
    assert invalid_reasons(list(voter.on_status_report(2.0, report, VIEW))) == []
    assert voter.counts(3.0).in_force == {4: 1}


def test_a_status_report_of_the_own_relay_goes_to_the_other_voters_and_no_further() -> None:
    voter = ready_voter()
    report = StatusReport("a", 1, 1, True, 1, (follower_status("d1", 1),))
    found = list(voter.on_status_report(0.0, report, VIEW))
    assert [a.to for a in found if isinstance(a, SendToVoter)] == ["v2", "v3"]
    other = ready_voter()
    assert other.on_message(0.0, "v2", encoded(report), VIEW) == [] and other.counts(1.0).in_force == {1: 1}
