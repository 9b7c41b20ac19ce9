"""Follower, relay and voter one by one: what is wrong is said by field, value and what is allowed, once."""

from __future__ import annotations

import random
from typing import Any

import pytest

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Apply,
    ChangeRegister,
    Close,
    Connect,
    DiscardContents,
    MajorityConfirmed,
    ProposalResult,
    PublishVersion,
    Send,
    SendToVoter,
    StatusReceived,
    Store,
    StoreContents,
)
from grebestack.config_distribution.configuration import (
    MAX_UNDECIDED,
    MAX_UNDECIDED_BYTES,
    ConfigurationVoter,
    Contents,
    Heartbeat,
    HeartbeatResponse,
    Propose,
    StoreAck,
    View,
    register_change,
)
from grebestack.config_distribution.follower import Follower, relay_order, stale_relay_stay_ms
from grebestack.config_distribution.messages import (
    NEVER_CONFIRMED_MS,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    FollowerStatus,
    Message,
    NotModified,
    Poll,
    StatusReport,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
)
from grebestack.config_distribution.relay import MAX_FOLLOWERS, Relay
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    NO_VERSION,
    Delta,
    Version,
    delta_between,
    digest_of,
)
from grebestack.consensus.actions import Told

PLACES = {"a": "r/1", "b": "r/2", "c": "r/1", "far": "s/1"}


def contents(number: int) -> bytes:
    return f"weight = {number}\n".encode() * 50


def version(number: int, of: bytes | None = None) -> Version:
    data = contents(number) if of is None else of
    return Version(number, digest_of(data), len(data), "v1", 0)


def whole(number: int, confirmed_ms: int = 0) -> ConfigUpdate:
    return ConfigUpdate(version(number), confirmed_ms, None, contents(number))


def told(actions: list[Any]) -> list[str]:
    return [a.kv.get("why", "") for a in actions if isinstance(a, Told) and a.event == "configuration_wrong"]


def kinds(actions: list[Any]) -> list[str]:
    return [type(a).__name__ for a in actions if not isinstance(a, Told)]


def said(actions: list[Any]) -> list[Message]:
    return [a.message for a in actions if isinstance(a, Send)]


class Fed:
    """A follower that is connected to its first relay."""

    def __init__(self, disk: tuple[int, ...] = (), floor: int = 0, relays: bool = False) -> None:
        self.follower = Follower("d1", "f", "r/1", 1, PLACES, random.Random(1), relays)
        self.now = 0.0
        self.follower.start(0.0, [(version(n), contents(n)) for n in disk])
        self.link()
        self.greeted = self.hear(SubscribeAccepted(PROTOCOL_VERSION, "f", self.follower.relay, 10, floor))

    def link(self) -> list[Any]:
        self.now = self.follower.due_ms(self.now)
        (dial,) = (a for a in self.follower.tick(self.now) if isinstance(a, Connect))
        return list(self.follower.connected(self.now, dial.link))

    def hear(self, message: Message) -> list[Any]:
        return list(self.follower.heard(self.now, self.follower.link, message))

    def bring(self, number: int) -> list[Any]:
        actions = self.hear(whole(number))
        actions += self.follower.stored(self.now, number)
        return actions + self.follower.taken(self.now, number)


def test_relays_are_gone_to_in_the_own_region_first_and_then_in_another_zone() -> None:
    homes = set()
    for n in range(60):
        order = relay_order(f"d{n}", "r/1", PLACES)
        assert set(order) == set(PLACES) and order[3] == "far"
        assert PLACES[order[1]] != PLACES[order[0]]
        homes.add(order[0])
    assert homes == {"a", "b", "c"}
    assert relay_order("d1", "nowhere/1", PLACES) and relay_order("d1", "r/1", {}) == ()


def test_what_comes_is_stored_then_applied_then_acknowledged() -> None:
    fed = Fed()
    assert kinds(fed.hear(whole(1))) == ["Store"]
    assert kinds(fed.hear(whole(1))) == []
    (apply,) = (a for a in fed.follower.stored(fed.now, 1) if isinstance(a, Apply))
    assert (apply.version, apply.contents) == (version(1), contents(1))
    acknowledged = said(list(fed.follower.taken(fed.now, 1)))
    assert acknowledged == [Poll(1, version(1).digest)] and fed.follower.version == version(1)
    delta = delta_between(contents(1), contents(2))
    store = fed.hear(ConfigUpdate(version(2), 0, delta))
    assert [a for a in store if isinstance(a, Store)] == [Store(version(2), contents(2), 1)]


def test_a_disk_that_can_not_be_written_does_not_keep_a_version_out() -> None:
    fed = Fed()
    fed.hear(whole(1))
    actions = fed.follower.stored(fed.now, 1, "No space left on device")
    assert kinds(list(actions)) == ["Apply"]
    assert [a.event for a in actions if isinstance(a, Told)] == ["configuration_not_stored"]


NIL = digest_of(b"")
SPOILT = ConfigUpdate(version(2), 0, None, contents(2)[:-1])


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (SPOILT, f"size is {len(contents(2)) - 1}; allowed: {len(contents(2))} in version 2"),
        (ConfigUpdate(version(2), 0, None, contents(1)), f"digest is '{digest_of(contents(1))}'; allowed: "),
        (
            ConfigUpdate(Version(2, "x", 3, "v1", 0), 0, None, b"abc"),
            "digest is 'x'; allowed: 64 hexadecimal",
        ),
        (ConfigUpdate(Version(-2, NIL, 0, "v1", 0), 0, None, b""), "number is -2; allowed: 1 and more"),
        (
            ConfigUpdate(Version(2, NIL, MAX_CONTENTS_BYTES + 1, "v1", 0), 0, None, b""),
            "size is 524289; allowed: 0 to",
        ),
        (ConfigUpdate(version(2), 0), "contents is None; allowed: whole or by difference"),
        (
            ConfigUpdate(version(1, b"other"), 0, None, b"other"),
            f"digest is '{digest_of(b'other')}'; allowed: ",
        ),
        (NotModified(-1, 0), "number is -1; allowed: 0 and more"),
        (NotModified(1, -1), "confirmed_ms is -1; allowed: 0 and more"),
        (FetchFullContents(1), "message is 'fetch'; allowed: news or still"),
    ],
)
def test_what_is_wrong_is_said_and_another_relay_is_gone_to(item: Message, why: str) -> None:
    fed = Fed()
    fed.bring(1)
    actions = fed.hear(item)
    (line,) = told(actions)
    assert line.startswith(why) or line.replace("...", "").startswith(why[:60])
    assert kinds(actions) == ["Close"] and fed.follower.version == version(1)
    assert fed.hear(whole(3)) == []  # the link is closed
    first = fed.follower.relay
    fed.link()
    assert fed.follower.relay != first


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (SubscribeAccepted(PROTOCOL_VERSION + 1, "f", "a", 9), "form is 2; allowed: 1"),
        (SubscribeAccepted(PROTOCOL_VERSION, "g", "a", 9), "fleet is 'g'; allowed: 'f'"),
        (SubscribeAccepted(PROTOCOL_VERSION, "f", "z", 9), "relay is 'z'; allowed: "),
        (NotModified(1, 0), "message is 'still'; allowed: welcome or full"),
    ],
)
def test_a_welcome_that_is_wrong_is_said(item: Message, why: str) -> None:
    follower = Follower("d1", "f", "r/1", 1, {"a": "r/1"}, random.Random(1))
    follower.start(0.0)
    now = follower.due_ms(0.0)
    follower.tick(now)
    follower.connected(now, 1)
    actions = list(follower.heard(now, 1, item))
    assert told(actions)[0].startswith(why) and kinds(actions) == ["Close"]


def test_a_difference_that_does_not_fit_is_asked_for_whole() -> None:
    fed = Fed()
    fed.bring(1)
    actions = fed.hear(ConfigUpdate(version(2), 0, Delta(digest_of(b"other"), 0, 0, b"")))
    assert said(actions) == [FetchFullContents(2)] and told(actions)[0].startswith("base is ")
    assert kinds(fed.hear(whole(2))) == ["Store"]


def test_a_relay_that_says_less_than_it_said_is_noted_once_and_not_believed() -> None:
    fed = Fed()
    fed.bring(5)
    first = fed.hear(NotModified(4, 0))
    assert told(first) == ["number is 4; allowed: 5 and more, as it said before"]
    assert kinds(first) == ["Close"]  # another may know more
    name = fed.follower.relay
    while fed.link() and fed.follower.relay != name:
        fed.hear(SubscribeRejected("no room"))
    fed.hear(SubscribeAccepted(PROTOCOL_VERSION, "f", name, 10))
    again = fed.hear(whole(4))
    assert told(again) == [] and "Store" not in kinds(again) and fed.follower.version == version(5)


def test_a_refused_version_is_kept_out_shown_and_not_asked_for_until_another_comes() -> None:
    fed = Fed()
    fed.bring(1)
    fed.hear(whole(2))
    fed.follower.stored(fed.now, 2)
    why = "servers[2].weight is -1; allowed: 0 and more"
    actions = list(fed.follower.taken(fed.now, 2, why))
    assert said(actions) == [Poll(1, version(1).digest, 2, why)] and fed.follower.version == version(1)
    assert kinds(fed.hear(whole(2))) == [] and not fed.follower.newer
    assert f"version 2 refused: {why}" in fed.follower.shown(fed.now)
    fed.bring(3)
    assert fed.follower.version == version(3) and fed.follower.refused == 0


def test_an_old_disk_does_not_come_into_force_where_a_relay_knows_of_a_later_number() -> None:
    fed = Fed(disk=(5, 4), floor=7)
    actions = fed.hear(NotModified(5, 0))
    assert kinds(actions) == [] and told(actions) == [
        "number is 5; allowed: 7 and more, which was acknowledged before"
    ]
    assert "Apply" not in kinds(list(fed.follower.tick(timeouts.STARTUP_GRACE_MS + 1.0)))
    assert fed.hear(whole(6)) and fed.follower.version == NO_VERSION
    assert kinds(fed.hear(whole(7))) == ["Store"]


def test_the_disk_waits_for_a_relay_and_comes_into_force_without_one() -> None:
    follower = Follower("d1", "f", "r/1", 1, PLACES, random.Random(1))
    disk = [(version(4), contents(4)), (version(5), contents(5)), (version(6), b"half")]
    actions = follower.start(0.0, disk)
    assert [a.kv["number"] for a in actions if isinstance(a, Told)] == [6]
    follower.tick(timeouts.STARTUP_GRACE_MS - 1.0)
    assert follower.pending is None
    (apply,) = (a for a in follower.tick(timeouts.STARTUP_GRACE_MS) if isinstance(a, Apply))
    assert apply.version == version(5)
    (second,) = (a for a in follower.taken(timeouts.STARTUP_GRACE_MS, 5, "refused") if isinstance(a, Apply))
    assert second.version == version(4)  # what was in force while 5 was refused


def test_the_disk_comes_into_force_at_once_where_a_relay_has_no_more() -> None:
    fed = Fed(disk=(5,))
    assert [a.version.number for a in fed.hear(NotModified(5, 0)) if isinstance(a, Apply)] == [5]
    fed = Fed(disk=(5,))
    assert [a.version.number for a in fed.hear(whole(5)) if isinstance(a, Apply)] == [5]


def test_a_relay_of_its_own_is_offered_what_is_checked_and_told_of_a_majority() -> None:
    fed = Fed(relays=True)
    actions = fed.hear(whole(1, 300))
    assert [a for a in actions if isinstance(a, PublishVersion)] == [PublishVersion(version(1), contents(1))]
    assert [a for a in actions if isinstance(a, MajorityConfirmed)] == [MajorityConfirmed(fed.now - 300)]
    actions = fed.hear(NotModified(2, 0))
    assert not [a for a in actions if isinstance(a, MajorityConfirmed)]  # 2 is not here
    tally = StatusReport("a", 1, 1, True, 1, ())
    assert said(list(fed.follower.tallied(fed.now, tally))) == [tally]


def test_all_relays_stale_one_is_stayed_with_after_two_rounds() -> None:
    fed = Fed()
    names = []
    for _ in range(20):
        names.append(fed.follower.relay)
        if kinds(fed.hear(NotModified(0, NEVER_CONFIRMED_MS))) == []:
            break
        fed.link()
        fed.hear(SubscribeAccepted(PROTOCOL_VERSION, "f", fed.follower.relay, 10))
    assert len(names) <= 2 * len(PLACES) and set(names) == set(PLACES)
    assert kinds(fed.hear(NotModified(0, NEVER_CONFIRMED_MS))) == []
    assert fed.hear(NotModified(0, 100)) == [] and fed.follower.settled_ms == 0.0


def test_stays_with_a_stale_relay_are_short_at_first_and_doubled_until_a_good_one_is_found() -> None:
    assert [stale_relay_stay_ms(n) for n in (0, 1, 2, 3)] == [
        (1350.0, 2700.0),
        (1350.0, 2700.0),
        (2700.0, 5400.0),
        (5400.0, 10_800.0),
    ]
    assert stale_relay_stay_ms(6) == stale_relay_stay_ms(99) == timeouts.MAX_STALE_RELAY_STAY_MS
    fed, stays = Fed(), list[float]()
    for _ in range(200):
        if kinds(fed.hear(NotModified(0, NEVER_CONFIRMED_MS))):
            fed.link()
            fed.hear(SubscribeAccepted(PROTOCOL_VERSION, "f", fed.follower.relay, 10))
            continue
        stays.append(fed.follower.settled_ms - fed.now)
        while fed.now < fed.follower.settled_ms:  # it asks again at the end of it, not a pace later
            assert fed.follower.due_ms(fed.now) <= fed.follower.settled_ms
            fed.now = fed.follower.due_ms(fed.now)
            fed.follower.tick(fed.now)
            if fed.now < fed.follower.settled_ms:
                assert kinds(fed.hear(NotModified(0, NEVER_CONFIRMED_MS))) == []
    assert len(stays) > 7
    for n, stay in enumerate(stays):
        assert stale_relay_stay_ms(n)[0] <= stay <= stale_relay_stay_ms(n)[1]
    assert fed.follower.settlings
    fed.hear(NotModified(0, 0))
    assert not fed.follower.settlings and not fed.follower.settled_ms


@pytest.mark.parametrize("age_ms", [NEVER_CONFIRMED_MS, NEVER_CONFIRMED_MS + 5000])
def test_a_relay_that_never_knew_a_majority_is_left_with_these_words_and_nothing_is_made_of_it(
    age_ms: int,
) -> None:
    fed = Fed(relays=True)
    actions = fed.hear(NotModified(0, age_ms))
    assert [a.why for a in actions if isinstance(a, Close)] == ["it has never known a majority"]
    assert "MajorityConfirmed" not in kinds(actions) and "no majority known" in fed.follower.shown(fed.now)


def test_an_event_of_a_former_link_is_passed_over() -> None:
    fed = Fed()
    old = fed.follower.link
    fed.follower.lost(fed.now, old, "it has ended")
    fed.link()
    assert fed.follower.heard(fed.now, old, whole(1)) == [] == fed.follower.lost(fed.now, old, "")
    assert fed.follower.connected(fed.now, old) == []


# Relay.


def greeting(
    name: str = "d1", life: int = 1, number: int = 0, digest: str = "", fleet: str = "f"
) -> Subscribe:
    return Subscribe(PROTOCOL_VERSION, fleet, name, life, "r/1", number, digest)


def relay(most: int = MAX_FOLLOWERS, number: int = 0) -> Relay:
    made = Relay("a", "f", 1, random.Random(1), most)
    if number:
        made.offer(0.0, version(number), contents(number))
    return made


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (greeting(fleet="g"), "fleet is 'g'; allowed: 'f'"),
        (greeting(""), "name is ''; allowed: 1 to 128 printable characters without spaces"),
        (greeting("a b"), "name is 'a b'; allowed: "),
        (greeting("x" * 129), "name is 'xxx"),
        (greeting(life=-1), "life is -1; allowed: 0 and more"),
        (greeting(number=-1), "number is -1; allowed: 0 and more"),
        (greeting(digest="ab"), "digest is 'ab'; allowed: 64 hexadecimal digits"),
        (Subscribe(2, "f", "d1", 1, "r/1", 0, ""), "form is 2; allowed: 1"),
        (Poll(1, ""), "message is 'poll'; allowed: greeting first"),
    ],
)
def test_a_greeting_that_is_wrong_is_said_and_not_taken(item: Message, why: str) -> None:
    made = relay()
    actions = list(made.heard(0.0, 1, item))
    assert told(actions)[0].startswith(why) and kinds(actions) == ["Close"] and not made.seats


def test_a_relay_takes_no_more_than_its_part_and_never_fewer_than_1024_by_default() -> None:
    assert MAX_FOLLOWERS >= 1024
    made = relay(most=2)
    for link in (1, 2):
        assert isinstance(said(list(made.heard(0.0, link, greeting(f"d{link}"))))[0], SubscribeAccepted)
    actions = list(made.heard(0.0, 3, greeting("d3")))
    assert said(actions) == [SubscribeRejected("2 followers; allowed: 2")] and kinds(actions) == [
        "Send",
        "Close",
    ]
    made.lost(1.0, 1, "ended")
    assert isinstance(said(list(made.heard(2.0, 4, greeting("d3"))))[0], SubscribeAccepted)


def test_of_a_follower_named_twice_the_later_start_is_served_and_the_other_is_named() -> None:
    made = relay()
    made.heard(0.0, 1, greeting(life=5))
    actions = list(made.heard(1.0, 2, greeting(life=4)))
    assert told(actions) == ["life is 4; allowed: 5 and more: a later start of d1 has come"]
    assert isinstance(said(actions)[0], SubscribeRejected) and 1 in made.seats
    assert not told(list(made.heard(2.0, 3, greeting(life=4))))  # once
    actions = list(made.heard(3.0, 4, greeting(life=6)))
    assert [a for a in actions if isinstance(a, Close)] == [Close(1, "d1 has connected again")]
    assert list(made.seats) == [4]
    made.lost(4.0, 4, "ended")
    assert isinstance(said(list(made.heard(5.0, 5, greeting(life=5))))[0], SubscribeRejected)
    again = made.heard(
        3.0 + timeouts.FOLLOWER_OVERDUE_MS, 6, greeting(life=5)
    )  # a clock that went back keeps none out
    assert isinstance(said(list(again))[0], SubscribeAccepted)


def test_a_push_goes_by_difference_where_the_base_is_known_else_whole() -> None:
    made = relay(number=1)
    assert said(list(made.heard(0.0, 1, greeting())))[1].contents == contents(1)  # type: ignore[union-attr]
    made.heard(1.0, 1, Poll(1, version(1).digest))
    made.heard(1.0, 2, greeting("d2", number=1, digest=digest_of(b"other")))
    pushed = said(list(made.offer(2.0, version(2), contents(2))))
    assert isinstance(pushed[0], ConfigUpdate) and isinstance(pushed[1], ConfigUpdate)
    assert pushed[0].delta is not None and pushed[0].contents is None
    assert pushed[1].delta is None and pushed[1].contents == contents(2)
    fetched = said(list(made.heard(2000.0, 1, FetchFullContents(2))))
    assert isinstance(fetched[0], ConfigUpdate) and fetched[0].contents == contents(2)


def test_a_push_to_many_is_one_object() -> None:
    made = relay(number=1)
    for link in range(50):
        made.heard(0.0, link, greeting(f"d{link}", number=1, digest=version(1).digest))
    pushed = said(list(made.offer(1.0, version(2), contents(2))))
    assert len(pushed) == 50 and len({id(item) for item in pushed}) == 1


def test_whole_contents_are_paced_and_all_come_in_their_turn() -> None:
    made, data = relay(), random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    made.offer(0.0, version(1, data), data)
    sent: list[tuple[float, int]] = []
    count, now = 46, 1.0  # 230 dispatchers at 5 relays
    for link in range(count):
        for item in made.heard(now, link, greeting(f"d{link}")):
            if isinstance(item, Send) and isinstance(item.message, ConfigUpdate):
                sent.append((now, item.link))
    assert 0 < len(sent) < 12
    while len(sent) < count and now < 10_000.0:
        now = made.due_ms(now)
        sent += [(now, a.link) for a in made.tick(now) if isinstance(a, Send)]
    assert [link for _, link in sent] == list(range(count)) and now <= timeouts.FULL_CONTENTS_WAIT_MS
    for start in (0.0, 250.0, 500.0):
        within = sum(start <= at < start + 500.0 for at, _ in sent)
        assert (
            within * MAX_CONTENTS_BYTES <= timeouts.FULL_CONTENTS_BYTES_PER_S * 0.75 + 2 * MAX_CONTENTS_BYTES
        )


def test_a_poll_is_answered_by_what_is_newer_unless_it_was_just_sent() -> None:
    made = relay(number=1)
    made.heard(0.0, 1, greeting())
    assert said(list(made.heard(100.0, 1, Poll(0, "")))) == [NotModified(1, NEVER_CONFIRMED_MS)]
    again = said(list(made.heard(timeouts.RESEND_INTERVAL_MS, 1, Poll(0, ""))))
    assert isinstance(again[0], ConfigUpdate)
    made.confirmed(1500.0, 1400.0)
    assert said(list(made.heard(1600.0, 1, Poll(1, version(1).digest)))) == [NotModified(1, 200)]


def test_one_that_refuses_is_not_pushed_the_same_again() -> None:
    made = relay(number=1)
    made.heard(0.0, 1, greeting())
    actions = list(made.heard(5000.0, 1, Poll(0, "", 1, "servers is 3; allowed: a table")))
    assert said(actions) == [NotModified(1, NEVER_CONFIRMED_MS)]
    assert [a.event for a in actions if isinstance(a, Told)] == ["configuration_follower_refuses"]
    assert isinstance(said(list(made.offer(6000.0, version(2), contents(2))))[0], ConfigUpdate)


def test_a_follower_that_says_less_than_it_said_is_noted_once() -> None:
    made = relay(number=3)
    made.heard(0.0, 1, greeting(number=3, digest=version(3).digest))
    first = told(list(made.heard(1.0, 1, Poll(2, ""))))
    assert first == ["number is 2; allowed: 3 and more, as d1 said before"]
    assert not told(list(made.heard(2.0, 1, Poll(1, ""))))
    assert told(list(made.heard(3.0, 1, Poll(-1, "")))) == ["number is -1; allowed: 0 and more"]
    assert not made.seats


def test_an_overdue_follower_is_let_go_and_counted_as_not_heard() -> None:
    made = relay(number=1)
    made.heard(0.0, 1, greeting(number=1, digest=version(1).digest))
    now, closed = 0.0, []
    standings: tuple[FollowerStatus, ...] = ()
    while now < timeouts.FOLLOWER_OVERDUE_MS + 2 * timeouts.OVERDUE_SCAN_INTERVAL_MS:
        now = made.due_ms(now)
        for action in made.tick(now):
            closed += [action] if isinstance(action, Close) else []
            if isinstance(action, StatusReceived) and action.tally.standings:
                standings = action.tally.standings
    assert [c.link for c in closed] == [1]
    assert [(s.name, s.number, s.linked) for s in standings] == [("d1", 1, False)]


# Voter.

VIEW = View(0, 1, frozenset(("v1", "v2", "v3")), 2, frozenset(("v2", "v3")))


def started() -> ConfigurationVoter:
    return ConfigurationVoter("v1", "f", 1, random.Random(1), 0.0)


def voter() -> ConfigurationVoter:
    """One that has read the register since its start."""
    made = started()
    assert made.registered(0.0, True, None, VIEW) == []
    return made


def body(word: Any) -> bytes:
    (tell,) = (a for a in [voter()._say("x", word)])
    return tell.body


def test_contents_are_with_a_majority_before_the_register_is_asked() -> None:
    made = voter()
    actions = list(made.propose(0.0, 7, contents(1), 99, VIEW))
    assert kinds(actions) == ["StoreContents", "SendToVoter", "SendToVoter"]
    digest = digest_of(contents(1))
    assert made.kept(5.0, digest) == []
    (decide,) = made.heard(6.0, "v2", body(StoreAck(digest)), VIEW)
    want = Version(1, digest, len(contents(1)), "v1", 99)
    assert decide == ChangeRegister(want)
    ended = list(made.registered(9.0, True, want, VIEW))
    assert [a for a in ended if isinstance(a, ProposalResult)] == [
        ProposalResult(7, True, want, "", ("v1", "v2"))
    ]
    assert [a for a in ended if isinstance(a, PublishVersion)] == [PublishVersion(want, contents(1))]
    assert kinds(list(made.stored(10.0, 1))) == ["DiscardContents", "Apply"]


def outcomes(actions: list[Any]) -> list[ProposalResult]:
    return [a for a in actions if isinstance(a, ProposalResult)]


def test_one_that_has_just_started_reads_the_register_and_proposes_the_number_after_what_it_finds() -> None:
    made = started()
    made.start(0.0, [(version(1), contents(1))], {})
    actions = list(made.propose(0.0, 7, contents(9), 99, VIEW))
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [ChangeRegister(None)]
    digest = digest_of(contents(9))
    made.kept(5.0, digest)
    assert (
        made.heard(6.0, "v2", body(StoreAck(digest)), VIEW) == []
    )  # a majority holds it, under no number yet
    actions = list(made.registered(9.0, True, version(4), VIEW))
    want = Version(5, digest, len(contents(9)), "v1", 99)
    assert [a for a in actions if isinstance(a, ChangeRegister)] == [ChangeRegister(want)] and not outcomes(
        actions
    )
    (ended,) = outcomes(list(made.registered(12.0, True, want, VIEW)))
    assert ended.won and ended.version == want


def test_what_one_that_has_just_started_hears_of_others_does_not_end_its_proposal() -> None:
    made = started()
    made.propose(0.0, 7, contents(9), 99, VIEW)
    made.kept(5.0, digest_of(contents(9)))
    made.heard(6.0, "v2", body(StoreAck(digest_of(contents(9)))), VIEW)
    assert not outcomes(list(made.heard(7.0, "v2", body(Heartbeat(1, 1, 3, version(3))), VIEW)))
    assert made.proposal is not None and made.proposal.version.number == 4
    actions = list(made.registered(9.0, True, version(3), VIEW))
    assert [a.version.number for a in actions if isinstance(a, ChangeRegister) and a.version] == [4]
    (lost,) = outcomes(list(made.heard(10.0, "v2", body(Heartbeat(2, 1, 4, version(4))), VIEW)))
    assert lost.why == "v1 won with number 4" and not lost.won  # from now on it is a race as any other


def test_one_that_has_just_started_and_can_not_read_the_register_says_so_and_asks_at_a_slow_pace() -> None:
    made, now, asked = started(), 0.0, 0
    found = list(made.propose(0.0, 7, b"one", 99, VIEW))
    made.kept(1.0, digest_of(b"one"))
    made.heard(2.0, "v2", body(StoreAck(digest_of(b"one"))), VIEW)
    while made.proposal is not None and now < 2 * timeouts.PROPOSAL_TIMEOUT_MS:
        if made.deciding:
            asked += 1
            now += timeouts.REGISTER_TIMEOUT_MS
            found += made.registered(now, False, None, VIEW)
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
        (b"x", VIEW._replace(linked=frozenset()), "1 of 3 voters are connected; needed: 2"),
    ],
)
def test_what_can_not_be_proposed_is_said(data: bytes, view: View, why: str) -> None:
    assert voter().propose(0.0, 1, data, 0, view) == [ProposalResult(1, False, NO_VERSION, why)]


def test_one_change_at_a_time_at_a_door() -> None:
    made = voter()
    made.propose(0.0, 1, b"one", 0, VIEW)
    assert made.propose(1.0, 2, b"two", 0, VIEW)[0].why == "another change is under way at v1"  # type: ignore


def test_a_change_that_no_majority_holds_ends_and_the_register_is_not_asked() -> None:
    made, now = voter(), 0.0
    made.propose(0.0, 1, b"one", 0, VIEW)
    made.kept(1.0, digest_of(b"one"))
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
    assert kinds(list(made.heard(0.0, "v2", body(Heartbeat(1, 1, 1, NO_VERSION)), VIEW))) == ["SendToVoter"]
    now = made.due_ms(0.0)
    while not made.deciding:
        assert now <= timeouts.REGISTER_READ_DELAY_MS[1] + 1.0
        found = list(made.tick(now, VIEW))
        now = made.due_ms(now)
    assert ChangeRegister(None) in found
    made.registered(now, True, version(1), VIEW)
    assert made.decided == version(1) and made.version == NO_VERSION
    wants = [a for a in made.tick(now + 1.0, VIEW) if isinstance(a, SendToVoter) and b"want" in a.body]
    assert len(wants) == 1
    assert told(list(made.heard(now + 2.0, "v2", body(Contents(version(1).digest, b"x")), VIEW)))
    found = list(made.heard(now + 2.0, "v2", body(Contents(version(1).digest, contents(1))), VIEW))
    assert kinds(found) == ["PublishVersion", "Store"] and made.version == version(1)


def test_a_majority_confirms_from_when_it_was_asked_and_none_of_another_epoch_counts() -> None:
    made = voter()
    made.tick(100.0, VIEW)
    for epoch, accepted in ((2, 0), (1, -1), (1, 1)):
        assert not [
            a
            for a in made.heard(200.0, "v2", body(HeartbeatResponse(1, epoch, accepted, NO_VERSION)), VIEW)
            if isinstance(a, MajorityConfirmed)
        ]
    found = list(made.heard(300.0, "v3", body(HeartbeatResponse(1, 1, 0, NO_VERSION)), VIEW))
    assert MajorityConfirmed(100.0) in found
    assert not made.heard(400.0, "v3", body(HeartbeatResponse(99, 1, 0, NO_VERSION)), VIEW)


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
    assert told(list(made.heard(0.0, "v2", body(word), VIEW)))[0].startswith(why)
    assert not told(list(made.heard(0.0, "v2", body(word), VIEW))) and made.decided == NO_VERSION
    assert told(list(made.heard(0.0, "v2", b"\xc1", VIEW)))[0].startswith("word is ")


def test_a_voter_that_says_less_or_other_than_it_said_is_noted_and_not_believed() -> None:
    made = voter()
    made.heard(0.0, "v2", body(Heartbeat(1, 1, 2, version(2))), VIEW)
    found = list(made.heard(1.0, "v2", body(Heartbeat(2, 1, 2, version(1))), VIEW))
    assert told(found) == ["decided is 1; allowed: 2 and more, as it said before"]
    found = list(made.heard(2.0, "v3", body(Heartbeat(1, 1, 2, version(2, b"other"))), VIEW))
    assert told(found)[0].startswith("version is ") and made.decided == version(2)


def keep(made: ConfigurationVoter, item: bytes) -> None:
    """Another voter offers contents; what is asked for of the disk is done at once."""
    for action in made.heard(0.0, "v2", body(Propose(digest_of(item), item)), VIEW):
        if isinstance(action, StoreContents):
            made.kept(0.0, action.digest)


def test_undecided_contents_are_bounded_in_number_and_dropped_after_a_while() -> None:
    made = voter()
    for n in range(MAX_UNDECIDED + 40):
        keep(made, b"%d" % n)
    assert len(made.kept_here) == MAX_UNDECIDED == 1024
    found = made.heard(timeouts.UNDECIDED_CONTENTS_TTL_MS, "v2", body(Propose(digest_of(b"z"), b"z")), VIEW)
    assert sum(isinstance(a, DiscardContents) for a in found) == MAX_UNDECIDED and isinstance(
        found[-1], StoreContents
    )


def test_undecided_contents_are_bounded_in_bytes_and_those_of_sixty_changes_at_once_are_all_kept() -> None:
    made = voter()
    for n in range(40):
        keep(made, b"%2d" % n + bytes(MAX_CONTENTS_BYTES - 2))
    assert len(made.kept_here) == MAX_UNDECIDED_BYTES // MAX_CONTENTS_BYTES == 32
    made = voter()
    for n in range(60):  # what lost is kept too: with 16 at the most it shut the door for a minute
        keep(made, b"%2d" % n + bytes(42_000))
    assert len(made.kept_here) == 60


def standing(name: str, number: int, heard_ms: int = 0, linked: bool = True, life: int = 1) -> FollowerStatus:
    return FollowerStatus(name, life, number, heard_ms, linked)


def test_a_follower_that_has_moved_counts_once_at_the_latest() -> None:
    made = voter()
    made.tallied(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1), standing("d2", 1))), VIEW)
    made.tallied(5000.0, StatusReport("b", 1, 1, True, 2, (standing("d1", 2),)), VIEW)
    made.tallied(5100.0, StatusReport("a", 1, 2, True, 2, (standing("d1", 1, 5000), standing("d2", 1))), VIEW)
    counts = made.counts(5200.0)
    assert counts.in_force == {2: 1, 1: 1} and set(counts.behind) == {"d2"} and not counts.unknown
    made.tallied(6000.0, StatusReport("a", 1, 3, False, 2, (standing("d2", 1, 100, False),)), VIEW)
    counts = made.counts(6100.0)
    assert counts.in_force == {2: 1} and counts.unknown == {"d2": (1, 5900.0)} and not counts.behind
    assert made.floor("d1") == 2 and made.floor("d9") == 0


def test_of_two_starts_of_a_follower_the_later_counts_and_one_that_is_connected_before_all() -> None:
    made = voter()
    made.tallied(0.0, StatusReport("a", 1, 1, True, 2, (standing("d1", 1, 0, True, 7),)), VIEW)
    made.tallied(1.0, StatusReport("b", 1, 1, True, 2, (standing("d1", 2, 0, True, 6),)), VIEW)
    assert made.counts(2.0).in_force == {1: 1}
    made.tallied(3.0, StatusReport("a", 1, 2, False, 2, (standing("d1", 1, 10, False, 7),)), VIEW)
    assert made.counts(4.0).in_force == {2: 1} and not made.counts(4.0).unknown


def test_a_relay_that_is_not_heard_makes_its_followers_not_known() -> None:
    made = voter()
    made.tallied(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1),)), VIEW)
    assert made.counts(timeouts.RELAY_SILENT_MS).in_force == {1: 1}
    late = made.counts(timeouts.RELAY_SILENT_MS + 1.0)
    assert late.in_force == {} and late.unknown == {"d1": (1, 0.0)}


def test_a_word_that_is_missing_makes_the_next_whole_one_count() -> None:
    made = voter()
    made.tallied(0.0, StatusReport("a", 1, 1, True, 1, (standing("d1", 1),)), VIEW)
    made.tallied(2.0, StatusReport("a", 1, 3, False, 1, (standing("d2", 1),)), VIEW)
    made.tallied(3.0, StatusReport("a", 1, 4, False, 1, (standing("d3", 1),)), VIEW)
    assert made.counts(4.0).in_force == {1: 1}
    made.tallied(5.0, StatusReport("a", 1, 5, True, 1, (standing("d1", 1), standing("d2", 1))), VIEW)
    assert made.counts(6.0).in_force == {1: 2}


@pytest.mark.parametrize(
    ("tally", "why"),
    [
        (StatusReport("a", 1, 9, True, 5, ()), "life is 1; allowed: 2 and more, as a said before"),
        (StatusReport("a", 2, 9, True, 4, ()), "number is 4; allowed: 5 and more, as a said before"),
        (StatusReport("a", 2, 9, True, 5, (standing("d1", 3),)), "number is 3; allowed: 4 and more of d1"),
    ],
)
def test_a_relay_that_says_less_than_it_said_is_noted_and_its_older_word_not_used(
    tally: StatusReport, why: str
) -> None:
    made = voter()
    made.tallied(0.0, StatusReport("a", 2, 1, True, 5, (standing("d1", 4),)), VIEW)
    assert told(list(made.tallied(1.0, tally, VIEW))) == [why]
    assert told(list(made.tallied(2.0, tally, VIEW))) == []
    assert made.counts(3.0).in_force == {4: 1}


def test_a_tally_of_the_own_relay_goes_to_the_other_voters_and_no_further() -> None:
    made = voter()
    tally = StatusReport("a", 1, 1, True, 1, (standing("d1", 1),))
    found = list(made.tallied(0.0, tally, VIEW))
    assert [a.to for a in found if isinstance(a, SendToVoter)] == ["v2", "v3"]
    other = voter()
    assert other.heard(0.0, "v2", body(tally), VIEW) == [] and other.counts(1.0).in_force == {1: 1}
