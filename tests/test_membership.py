"""Membership against a model of random sources, faults and times, and the hard cases one by one."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from grebestack.core.api import WorkerEntry
from grebestack.membership import interface as api
from grebestack.membership.interface import Belief, Claim, Standing
from grebestack.membership.members import Membership

READY, DRAINING, CRITICAL = Standing


class Driver:
    """Feeds a membership, keeps the table that it tells, and wakes it as it asks."""

    def __init__(self, **changes: Any) -> None:
        self.members = Membership(api.MembershipSettings(**changes))
        self.now = 1000.0
        self.table: dict[str, api.Member] = {}
        self.notes: list[api.Note] = []
        self.wakes: list[float] = []

    def feed(self, event: api.Event) -> None:
        for action in self.members.handle(self.now, event):
            match action:
                case api.Tell(members):
                    for member in members:
                        if member.belief is Belief.GONE:
                            assert self.table.pop(member.name, None) is not None, "gone, and was never told"
                        else:
                            assert self.table.get(member.name) != member, "told twice"
                            self.table[member.name] = member
                case api.Note():
                    self.notes.append(action)
                case api.Wake(at):
                    self.wakes.append(at)

    def go_on(self, ms: float) -> None:
        until = self.now + ms
        while due := [at for at in self.wakes if at <= until]:
            self.now = max(self.now, min(due))
            self.wakes = [at for at in self.wakes if at > self.now]
            self.feed(api.Tick())
        self.now = until

    def listed(self, source: str, *claims: Claim, **more: Any) -> None:
        self.feed(api.Listed(source, claims, **more))

    def takes_work(self) -> set[str]:
        return {name for name, member in self.table.items() if member.belief.takes_work}

    def noted(self, event: str) -> int:
        return sum(note.event == event for note in self.notes)


def claim(name: str, standing: Standing = READY, port: int = 1, reason: str = "") -> Claim:
    return Claim(WorkerEntry(name), ("127.0.0.1", port), standing, reason)


def two_sources(**changes: Any) -> Driver:
    d = Driver(**changes)
    d.feed(api.SourceAdded("a", 0, stale_ms=5000.0))
    d.feed(api.SourceAdded("b", 1, stale_ms=5000.0))
    return d


def test_the_most_careful_word_of_fresh_sources_counts_and_an_absence_is_none() -> None:
    d = two_sources()
    d.listed("a", claim("x"), claim("y"))
    d.listed("b", claim("x", CRITICAL, reason="disk"), claim("z"))
    assert d.takes_work() == {"y", "z"} and d.table["x"].belief is Belief.CRITICAL
    (x,) = [view for view in d.members.members() if view.name == "x"]
    assert x.reason == "b: disk" and x.disagree and dict(x.sources) == {"a": "ready", "b": "critical"}
    d.listed("b", claim("x"))
    assert d.takes_work() == {"x", "y"} and "z" not in d.table
    d.feed(api.Drained("y", True))
    assert d.table["y"].belief is Belief.DRAINING
    d.feed(api.Drained("y", False))
    assert d.takes_work() == {"x", "y"}


def test_the_last_good_list_stands_while_no_source_answers() -> None:
    d = two_sources()
    d.listed("a", claim("x"), claim("y", CRITICAL))
    d.feed(api.Silent("a", "no connection"))
    d.go_on(60_000.0)
    assert d.table["x"].belief is Belief.SUSPECT and d.takes_work() == {"x"}
    assert d.noted("source_stale") == 1
    d.feed(api.Heard("a"))
    assert {m.name: m.belief for m in d.table.values()} == {"x": Belief.READY, "y": Belief.CRITICAL}


def test_a_fresh_source_goes_before_a_stale_one() -> None:
    d = two_sources()
    d.listed("a", claim("x", CRITICAL, port=1))
    d.go_on(6000.0)
    d.listed("b", claim("x", port=2))
    assert d.table["x~2"].belief is Belief.READY and d.table["x~2"].address[1] == 2
    d.listed("a", claim("x", CRITICAL, port=2))
    assert not d.takes_work()


def test_an_empty_list_is_held_back_until_the_operator_accepts_it() -> None:
    d = two_sources(removed_share=0.5, keep_least=1)
    d.listed("a", *(claim(f"s{n}") for n in range(4)))
    d.listed("a")
    d.listed("a")
    assert len(d.takes_work()) == 4 and d.noted("update_held") == 1
    assert {m.belief for m in d.table.values()} == {Belief.SUSPECT}
    d.listed("a", claim("s0"), claim("s1", CRITICAL), claim("s2"), claim("s3"))
    assert d.takes_work() == {"s0", "s2", "s3"} and not d.members.sources["a"].held
    d.listed("a", claim("s0"), claim("s2"))  # half: that may be
    assert set(d.table) == {"s0", "s2"}
    d.listed("a")
    d.feed(api.Accepted("a"))
    assert not d.table


def test_a_server_that_comes_and_goes_is_kept_out_ever_longer() -> None:
    d = two_sources(flaps=2, hold_ms=1000.0, hold_most_ms=4000.0, flap_window_ms=60_000.0)
    kept = []
    for _ in range(6):
        d.listed("a", claim("x", CRITICAL))
        assert not d.takes_work()  # a fall counts at once
        d.listed("a", claim("x"))
        began = d.now
        while not d.takes_work():
            assert d.table["x"].belief is Belief.JOINING
            d.go_on(100.0)
        kept.append(round(d.now - began, -2))
        d.go_on(100.0)
    # The first claim was of a critical server: no fall. The others fell from ready.
    assert kept == [0, 0, 0, 1000, 2000, 4000]
    d.go_on(120_000.0)
    d.listed("a", claim("x", CRITICAL))
    d.listed("a", claim("x"))
    assert d.takes_work() == {"x"}


def test_an_id_at_another_address_is_another_server_and_the_old_one_is_waited_for() -> None:
    d = two_sources(moved_ms=10_000.0)
    d.listed("a", claim("x", port=1))
    d.listed("a", claim("x", port=2))
    assert d.table["x"].belief is Belief.DRAINING and d.table["x"].address[1] == 1
    assert d.table["x~2"].belief is Belief.READY and d.table["x~2"].server == "x"
    d.go_on(10_001.0)
    assert set(d.table) == {"x~2"}


def test_a_list_of_before_the_start_counts_until_its_source_is_heard() -> None:
    d = two_sources()
    d.listed("a", claim("x"), claim("y"), old=True)
    assert d.table["x"].belief is Belief.SUSPECT and d.takes_work() == {"x", "y"}
    d.listed("a", claim("x"), claim("z"))
    assert d.takes_work() == {"x", "z"} and set(d.table) == {"x", "z"}
    d.listed("a", claim("y"), old=True)
    assert set(d.table) == {"x", "z"}
    d.feed(api.SourceRemoved("a"))
    assert not d.table


class Model(RuleBasedStateMachine):
    """No work for a server that a fresh source calls critical or draining, or that no source lists.

    None lost that all sources list; the table and the beliefs are the same; once sources agree and time has
    passed, so do the beliefs.
    """

    names = ("p", "q", "r", "s")

    def __init__(self) -> None:
        super().__init__()
        self.d = two_sources(flaps=1, hold_ms=500.0, hold_most_ms=2000.0, flap_window_ms=5000.0)
        self.said: dict[str, dict[str, Claim]] = {"a": {}, "b": {}}
        self.heard = {"a": -1e9, "b": -1e9}

    @rule(
        source=st.sampled_from("ab"),
        whole=st.booleans(),
        words=st.dictionaries(st.sampled_from(names), st.sampled_from(Standing), max_size=4),
        port=st.integers(1, 2),
    )
    def listed(self, source: str, whole: bool, words: dict[str, Standing], port: int) -> None:
        claims = tuple(claim(name, standing, port) for name, standing in words.items())
        self.said[source] = ({} if whole else self.said[source]) | {c.server: c for c in claims}
        self.heard[source] = self.d.now
        self.d.listed(source, *claims, whole=whole)

    @rule(source=st.sampled_from("ab"))
    def heard_again(self, source: str) -> None:
        self.heard[source] = self.d.now
        self.d.feed(api.Heard(source))

    @rule(name=st.sampled_from(names), on=st.booleans())
    def drained(self, name: str, on: bool) -> None:
        self.d.feed(api.Drained(name, on))

    @rule(source=st.sampled_from("ab"))
    def accepted(self, source: str) -> None:
        self.d.feed(api.Accepted(source))

    @rule(ms=st.sampled_from([10.0, 600.0, 3000.0, 6000.0]))
    def time_passes(self, ms: float) -> None:
        self.d.go_on(ms)

    def fresh(self) -> list[str]:
        return [s for s in "ab" if self.d.now - self.heard[s] < 5000.0]

    @invariant()
    def no_work_where_a_fresh_source_warns(self) -> None:
        for name, member in self.d.table.items():
            words = [self.said[s][member.server] for s in self.fresh() if member.server in self.said[s]]
            if any(word.standing is not READY for word in words) or member.server in self.d.members.drained:
                assert not member.belief.takes_work, name
            if member.belief is Belief.READY:
                assert words and words[0].address == member.address

    @invariant()
    def none_is_lost_that_a_source_lists(self) -> None:
        told = {m.server for m in self.d.table.values()}
        for words in self.said.values():
            assert set(words) <= told

    @invariant()
    def the_table_is_what_is_believed(self) -> None:
        states = self.d.members.states.values()
        now = {s.name: s.belief for s in states if s.belief is not Belief.GONE}
        assert {n: m.belief for n, m in self.d.table.items() if n in now} == now
        assert set(self.d.table) - set(now) <= set(self.d.members.former)

    def teardown(self) -> None:
        everything = tuple(claim(name) for name in self.names)
        for name in self.names:
            self.d.feed(api.Drained(name, False))
        for _ in range(4):
            for source in "ab":
                self.d.listed(source, *everything)
            self.d.go_on(4000.0)
        assert {m.server for m in self.d.table.values() if m.belief is Belief.READY} == set(self.names)
        super().teardown()


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
