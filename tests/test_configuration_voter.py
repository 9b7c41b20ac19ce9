"""A voter by itself: what is wrong is said by field, value and what is allowed, once."""

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
from tests.configuration_samples import contents, kinds, told, version

VIEW = VoterView(0, 1, frozenset(("v1", "v2", "v3")), 2, frozenset(("v2", "v3")))


def started() -> ConfigurationVoter:
    return ConfigurationVoter("v1", "f", 1, random.Random(1), 0.0)


def voter() -> ConfigurationVoter:
    """One that has read the register since its start."""
    made = started()
    assert made.on_register_result(0.0, True, None, VIEW) == []
    return made


def body(word: Any) -> bytes:
    return encode(word)


def test_contents_are_with_a_majority_before_the_register_is_asked() -> None:
    made = voter()
    actions = list(made.propose(0.0, 7, contents(1), 99, VIEW))
    assert kinds(actions) == ["StoreContents", "SendToVoter", "SendToVoter"]
    digest = digest_of(contents(1))
    assert made.on_contents_stored(5.0, digest) == []
    (decide,) = made.on_message(6.0, "v2", body(StoreAck(digest)), VIEW)
    want = Version(1, digest, len(contents(1)), "v1", 99)
    assert decide == ChangeRegister(want)
    ended = list(made.on_register_result(9.0, True, want, VIEW))
    assert [a for a in ended if isinstance(a, ProposalResult)] == [
        ProposalResult(7, True, want, "", ("v1", "v2"))
    ]
    assert [a for a in ended if isinstance(a, PublishVersion)] == [PublishVersion(want, contents(1))]
    assert kinds(list(made.on_stored(10.0, 1))) == ["DiscardContents", "Apply"]


def outcomes(actions: list[Any]) -> list[ProposalResult]:
    return [a for a in actions if isinstance(a, ProposalResult)]


def test_one_that_has_just_started_reads_the_register_and_proposes_the_number_after_what_it_finds() -> None:
    made = started()
    made.start(0.0, [(version(1), contents(1))], {})
    actions = list(made.propose(0.0, 7, contents(9), 99, VIEW))
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [ChangeRegister(None)]
    digest = digest_of(contents(9))
    made.on_contents_stored(5.0, digest)
    assert (
        made.on_message(6.0, "v2", body(StoreAck(digest)), VIEW) == []
    )  # a majority holds it, under no number yet
    actions = list(made.on_register_result(9.0, True, version(4), VIEW))
    want = Version(5, digest, len(contents(9)), "v1", 99)
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [ChangeRegister(want)] and not outcomes(
        actions
    )
    (ended,) = outcomes(list(made.on_register_result(12.0, True, want, VIEW)))
    assert ended.won and ended.version == want


def test_what_one_that_has_just_started_hears_of_others_does_not_end_its_proposal() -> None:
    made = started()
    made.propose(0.0, 7, contents(9), 99, VIEW)
    made.on_contents_stored(5.0, digest_of(contents(9)))
    made.on_message(6.0, "v2", body(StoreAck(digest_of(contents(9)))), VIEW)
    assert not outcomes(list(made.on_message(7.0, "v2", body(Heartbeat(1, 1, 3, version(3))), VIEW)))
    assert made.state.proposal is not None and made.state.proposal.version.number == 4
    actions = list(made.on_register_result(9.0, True, version(3), VIEW))
    assert [a.version.number for a in actions if isinstance(a, ChangeRegister) and a.version] == [4]
    (lost,) = outcomes(list(made.on_message(10.0, "v2", body(Heartbeat(2, 1, 4, version(4))), VIEW)))
    assert lost.why == "v1 won with number 4" and not lost.won  # from now on it is a race as any other


def test_one_that_has_just_started_and_can_not_read_the_register_says_so_and_asks_at_a_slow_pace() -> None:
    made, now, asked = started(), 0.0, 0
    found = list(made.propose(0.0, 7, b"one", 99, VIEW))
    made.on_contents_stored(1.0, digest_of(b"one"))
    made.on_message(2.0, "v2", body(StoreAck(digest_of(b"one"))), VIEW)
    while made.state.proposal is not None and now < 2 * timeouts.PROPOSAL_TIMEOUT_MS:
        if made.register.is_busy:
            asked += 1
            now += timeouts.REGISTER_TIMEOUT_MS
            found += made.on_register_result(now, False, None, VIEW)
        now = made.due_ms(now)
        found += made.tick(now, VIEW)
    assert [o.why for o in outcomes(found)] == [
        "the register can't be read: no majority of the voters has answered; held by v1, v2"
    ]
    assert all(a.version is None for a in found if isinstance(a, ChangeRegister))
    assert 4 <= asked <= timeouts.PROPOSAL_TIMEOUT_MS / timeouts.REGISTER_TIMEOUT_MS + 1


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
def test_what_can_not_be_proposed_is_said(data: bytes, view: VoterView, why: str) -> None:
    assert voter().propose(0.0, 1, data, 0, view) == [ProposalResult(1, False, NO_VERSION, why)]


def test_one_change_at_a_time_at_a_door() -> None:
    made = voter()
    made.propose(0.0, 1, b"one", 0, VIEW)
    assert made.propose(1.0, 2, b"two", 0, VIEW)[0].why == "another change is under way at v1"  # type: ignore


def test_a_change_that_no_majority_holds_ends_and_the_register_is_not_asked() -> None:
    made, now = voter(), 0.0
    made.propose(0.0, 1, b"one", 0, VIEW)
    made.on_contents_stored(1.0, digest_of(b"one"))
    found: list[Any] = []
    while now < timeouts.PROPOSAL_TIMEOUT_MS + 100.0:
        now = made.due_ms(now)
        found += made.tick(now, VIEW)
    assert [a.why for a in found if isinstance(a, ProposalResult)] == [
        "its contents are held by v1; needed: 2 voters"
    ]
    assert not [a for a in found if isinstance(a, ChangeRegister)]
    assert sum(isinstance(a, SendToVoter) and b"propose" in a.body for a in found) > 4  # said again


def test_a_newer_accepted_number_makes_the_register_be_read_and_contents_be_fetched() -> None:
    made = voter()
    assert kinds(list(made.on_message(0.0, "v2", body(Heartbeat(1, 1, 1, NO_VERSION)), VIEW))) == [
        "SendToVoter"
    ]
    now = made.due_ms(0.0)
    while not made.register.is_busy:
        assert now <= timeouts.REGISTER_READ_DELAY_MS[1] + 1.0
        found = list(made.tick(now, VIEW))
        now = made.due_ms(now)
    assert ChangeRegister(None) in found
    made.on_register_result(now, True, version(1), VIEW)
    assert made.state.decided == version(1) and made.version == NO_VERSION
    wants = [a for a in made.tick(now + 1.0, VIEW) if isinstance(a, SendToVoter) and b"want" in a.body]
    assert len(wants) == 1
    assert told(list(made.on_message(now + 2.0, "v2", body(Contents(version(1).digest, b"x")), VIEW)))
    found = list(made.on_message(now + 2.0, "v2", body(Contents(version(1).digest, contents(1))), VIEW))
    assert kinds(found) == ["PublishVersion", "Store"] and made.version == version(1)


def test_a_majority_confirms_from_when_it_was_asked_and_none_of_another_epoch_counts() -> None:
    made = voter()
    made.tick(100.0, VIEW)
    for epoch, accepted in ((2, 0), (1, -1), (1, 1)):
        assert not [
            a
            for a in made.on_message(
                200.0, "v2", body(HeartbeatResponse(1, epoch, accepted, NO_VERSION)), VIEW
            )
            if isinstance(a, MajorityConfirmed)
        ]
    found = list(made.on_message(300.0, "v3", body(HeartbeatResponse(1, 1, 0, NO_VERSION)), VIEW))
    assert MajorityConfirmed(100.0) in found
    assert not made.on_message(400.0, "v3", body(HeartbeatResponse(99, 1, 0, NO_VERSION)), VIEW)


@pytest.mark.parametrize(
    ("word", "why"),
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
def test_a_word_that_is_wrong_is_said_once(word: Any, why: str) -> None:
    made = voter()
    assert told(list(made.on_message(0.0, "v2", body(word), VIEW)))[0].startswith(why)
    assert not told(list(made.on_message(0.0, "v2", body(word), VIEW))) and made.state.decided == NO_VERSION
    assert told(list(made.on_message(0.0, "v2", b"\xc1", VIEW)))[0].startswith("word is ")


def test_a_voter_that_says_less_or_other_than_it_said_is_noted_and_not_believed() -> None:
    made = voter()
    made.on_message(0.0, "v2", body(Heartbeat(1, 1, 2, version(2))), VIEW)
    found = list(made.on_message(1.0, "v2", body(Heartbeat(2, 1, 2, version(1))), VIEW))
    assert told(found) == ["decided is 1; allowed: 2 and more, as it said before"]
    found = list(made.on_message(2.0, "v3", body(Heartbeat(1, 1, 2, version(2, b"other"))), VIEW))
    assert told(found)[0].startswith("version is ") and made.state.decided == version(2)


def keep(made: ConfigurationVoter, item: bytes) -> None:
    """Another voter offers contents; what is asked for of the disk is done at once."""
    for action in made.on_message(0.0, "v2", body(Propose(digest_of(item), item)), VIEW):
        if isinstance(action, StoreContents):
            made.on_contents_stored(0.0, action.digest)


def test_undecided_contents_are_bounded_in_number_and_dropped_after_a_while() -> None:
    made = voter()
    for n in range(MAX_UNDECIDED + 40):
        keep(made, b"%d" % n)
    assert len(made.undecided.on_disk) == MAX_UNDECIDED == 1024
    found = made.on_message(
        timeouts.UNDECIDED_CONTENTS_TTL_MS, "v2", body(Propose(digest_of(b"z"), b"z")), VIEW
    )
    assert sum(isinstance(a, DiscardContents) for a in found) == MAX_UNDECIDED and isinstance(
        found[-1], StoreContents
    )


def test_undecided_contents_are_bounded_in_bytes_and_those_of_sixty_changes_at_once_are_all_kept() -> None:
    made = voter()
    for n in range(40):
        keep(made, b"%2d" % n + bytes(MAX_CONTENTS_BYTES - 2))
    assert len(made.undecided.on_disk) == MAX_UNDECIDED_BYTES // MAX_CONTENTS_BYTES == 32
    made = voter()
    for n in range(60):  # what lost is kept too: with 16 at the most it shut the door for a minute
        keep(made, b"%2d" % n + bytes(42_000))
    assert len(made.undecided.on_disk) == 60


def standing(
    name: str, number: int, heard_ms: int = 0, linked: bool = True, incarnation: int = 1
) -> FollowerStatus:
    return FollowerStatus(name, incarnation, number, heard_ms, linked)


def test_a_follower_that_has_moved_counts_once_at_the_latest() -> None:
    made = voter()
    made.on_status_report(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1), standing("d2", 1))), VIEW)
    made.on_status_report(5000.0, StatusReport("b", 1, 1, True, 2, (standing("d1", 2),)), VIEW)
    made.on_status_report(
        5100.0, StatusReport("a", 1, 2, True, 2, (standing("d1", 1, 5000), standing("d2", 1))), VIEW
    )
    counts = made.counts(5200.0)
    assert counts.in_force == {2: 1, 1: 1} and set(counts.behind) == {"d2"} and not counts.unknown
    made.on_status_report(6000.0, StatusReport("a", 1, 3, False, 2, (standing("d2", 1, 100, False),)), VIEW)
    counts = made.counts(6100.0)
    assert counts.in_force == {2: 1} and counts.unknown == {"d2": (1, 5900.0)} and not counts.behind
    assert made.acknowledged_number("d1") == 2 and made.acknowledged_number("d9") == 0


def test_of_two_starts_of_a_follower_the_later_counts_and_one_that_is_connected_before_all() -> None:
    made = voter()
    made.on_status_report(0.0, StatusReport("a", 1, 1, True, 2, (standing("d1", 1, 0, True, 7),)), VIEW)
    made.on_status_report(1.0, StatusReport("b", 1, 1, True, 2, (standing("d1", 2, 0, True, 6),)), VIEW)
    assert made.counts(2.0).in_force == {1: 1}
    made.on_status_report(3.0, StatusReport("a", 1, 2, False, 2, (standing("d1", 1, 10, False, 7),)), VIEW)
    assert made.counts(4.0).in_force == {2: 1} and not made.counts(4.0).unknown


def test_a_relay_that_is_not_heard_makes_its_followers_not_known() -> None:
    made = voter()
    made.on_status_report(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1),)), VIEW)
    assert made.counts(timeouts.RELAY_SILENT_MS).in_force == {1: 1}
    late = made.counts(timeouts.RELAY_SILENT_MS + 1.0)
    assert late.in_force == {} and late.unknown == {"d1": (1, 0.0)}


def test_a_word_that_is_missing_makes_the_next_whole_one_count() -> None:
    made = voter()
    made.on_status_report(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1),)), VIEW)
    made.on_status_report(2.0, StatusReport("a", 1, 3, False, 1, (standing("d2", 1),)), VIEW)
    made.on_status_report(3.0, StatusReport("a", 1, 4, False, 1, (standing("d3", 1),)), VIEW)
    assert made.counts(4.0).in_force == {1: 1}
    made.on_status_report(5.0, StatusReport("a", 1, 5, True, 1, (standing("d1", 1), standing("d2", 1))), VIEW)
    assert made.counts(6.0).in_force == {1: 2}


@pytest.mark.parametrize(
    ("report", "why"),
    [
        (StatusReport("a", 1, 9, True, 5, ()), "life is 1; allowed: 2 and more, as a said before"),
        (StatusReport("a", 2, 9, True, 4, ()), "number is 4; allowed: 5 and more, as a said before"),
        (StatusReport("a", 2, 9, True, 5, (standing("d1", 3),)), "number is 3; allowed: 4 and more of d1"),
    ],
)
def test_a_relay_that_says_less_than_it_said_is_noted_and_its_older_word_not_used(
    report: StatusReport, why: str
) -> None:
    made = voter()
    made.on_status_report(0.0, StatusReport("a", 2, 1, True, 5, (standing("d1", 4),)), VIEW)
    assert told(list(made.on_status_report(1.0, report, VIEW))) == [why]
    assert told(list(made.on_status_report(2.0, report, VIEW))) == []
    assert made.counts(3.0).in_force == {4: 1}


def test_a_tally_of_the_own_relay_goes_to_the_other_voters_and_no_further() -> None:
    made = voter()
    report = StatusReport("a", 1, 1, True, 1, (standing("d1", 1),))
    found = list(made.on_status_report(0.0, report, VIEW))
    assert [a.to for a in found if isinstance(a, SendToVoter)] == ["v2", "v3"]
    other = voter()
    assert other.on_message(0.0, "v2", body(report), VIEW) == [] and other.counts(1.0).in_force == {1: 1}
