"""A member that is replaced: all states within a bound, broken variants, and votes that are not given."""

from __future__ import annotations

import pytest

from grebestack.consensus.acceptor import GRACE_MS, Voter
from grebestack.consensus.actions import Peer, Reborn, Send, Write
from grebestack.consensus.messages import Accept, Began, Born, Enter, Hello, Kept, Prepare, Roll, Seal
from grebestack.consensus.recovery import Shelf
from grebestack.consensus.register import NONE, Ballot
from tests.membership_change_model import Model, explore

ROLL = Roll(1, (("a", "1"), ("b", "1"), ("c", "1")))
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


def voter(last: int = 5) -> Voter:
    shelf = Shelf()
    for record in (Born("f", "1", ROLL), Began(1)):
        shelf.take(record)
    return Voter("a", shelf, last, 0.0)


def hello(name: str, mark: int, incarnation: str = "1") -> Hello:
    return Hello(1, "f", name, "1", 1, 1, {"a": (incarnation, mark)})


def vouched() -> Voter:
    mine = voter()
    mine.greeted(0.0, hello("b", 5))
    mine.greeted(0.0, hello("c", 0))
    assert mine.votes
    return mine


def test_a_member_votes_only_once_others_have_said_how_far_they_heard_it() -> None:
    mine = voter()
    mine.begin()
    assert not mine.votes and not mine.heard(B, Prepare(1, "x", Ballot(1, "b", 1)))
    mine.greeted(10.0, hello("b", 5))
    assert not mine.votes  # c may have heard more
    mine.passed(GRACE_MS)
    assert mine.votes


@pytest.mark.parametrize("last", [3, 4])
def test_a_disk_that_has_lost_its_end_or_is_an_old_copy_is_doubted(last: int) -> None:
    mine = voter(last)
    mine.begin()  # the record of the start must not make up for the lost one
    assert any(isinstance(action, Reborn) for action in mine.greeted(10.0, hello("b", 5)))
    assert not mine.votes and "record 5" in mine.doubt
    assert not mine.heard(B, Enter(Roll(2, ROLL.members), ())) and not mine.votes


def test_a_mark_of_another_incarnation_says_nothing_of_this_disk() -> None:
    mine = voter()
    mine.greeted(0.0, hello("b", 99, "another"))
    mine.greeted(0.0, hello("c", 0))
    assert mine.votes


def test_an_answer_leaves_only_when_all_before_it_is_on_the_disk() -> None:
    mine = vouched()
    first = mine.heard(B, Accept(1, "x", Ballot(1, "b", 1), None))
    again = mine.heard(B, Accept(1, "x", Ballot(1, "b", 1), None))
    assert [type(action) for action in first + again] == [Write]  # a repeat is no way round the sync
    assert not mine.synced(mine.last - 1)
    assert len(mine.synced(mine.last)) == 2


def test_after_a_failed_sync_no_answer_leaves_and_the_new_disk_has_no_vote() -> None:
    mine = vouched()
    mine.heard(B, Accept(1, "x", Ballot(1, "b", 1), None))
    mine.doubted("EIO")
    assert not mine.synced(99) and not mine.heard(B, Prepare(1, "x", Ballot(2, "b", 1)))
    born = mine.reborn("f", "2", ROLL, 50.0)
    assert [type(action) for action in born] == [Write, Write]
    mine.synced(2)
    assert not mine.heard(B, Prepare(1, "x", Ballot(2, "b", 1))) and not mine.heard(B, Seal(1, ROLL))


def test_who_has_ended_an_epoch_votes_in_it_no_more_after_a_restart_either() -> None:
    mine = vouched()
    following = Roll(2, (("a", "1"), ("b", "1"), ("c", "2")))
    mine.heard(B, Accept(1, "x", Ballot(1, "b", 1), None))
    mine.heard(B, Seal(1, following))
    mine.synced(mine.last)
    assert not mine.heard(B, Accept(1, "x", Ballot(2, "b", 1), None))
    shelf = Shelf()
    for record in mine.shelf.short():
        shelf.take(record)
    assert shelf.held() == mine.shelf.held() == (("x", Ballot(1, "b", 1), Ballot(1, "b", 1), None),)
    again = Voter("a", shelf, mine.last, 0.0)
    again.vouched = True
    assert not again.votes
    again.heard(B, Enter(following, (("x", NONE, NONE, None),)))
    assert again.votes


def test_a_member_that_is_behind_is_brought_up_by_whoever_it_asks() -> None:
    mine = vouched()
    mine.shelf.roll = Roll(7, ROLL.members)
    (send,) = mine.heard(B, Prepare(6, "x", Ballot(1, "b", 1)))
    assert isinstance(send, Send) and isinstance(send.message, Enter) and send.message.roll.epoch == 7
    assert not any(isinstance(a, Write) and isinstance(a.record, Kept) for a in [send])
