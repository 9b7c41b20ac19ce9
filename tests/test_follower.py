"""A follower by itself: what is wrong is said by field, value and what is allowed, once."""

from __future__ import annotations

import random
from typing import Any

import pytest

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Apply,
    Close,
    Connect,
    MajorityConfirmed,
    PublishVersion,
    Store,
)
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import (
    NEVER_CONFIRMED_MS,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    Message,
    NotModified,
    Poll,
    StatusReport,
    SubscribeAccepted,
    SubscribeRejected,
)
from grebestack.config_distribution.relay_selection import relay_order, stale_relay_stay_ms
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    NO_VERSION,
    Delta,
    Version,
    delta_between,
    digest_of,
)
from grebestack.consensus.actions import LogMessage
from tests.configuration_samples import contents, kinds, said, told, version, whole

PLACES = {"a": "r/1", "b": "r/2", "c": "r/1", "far": "s/1"}


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
        return list(self.follower.on_connected(self.now, dial.link))

    def hear(self, message: Message) -> list[Any]:
        return list(self.follower.on_message(self.now, self.follower.link, message))

    def bring(self, number: int) -> list[Any]:
        actions = self.hear(whole(number))
        actions += self.follower.on_stored(self.now, number)
        return actions + self.follower.on_applied(self.now, number)


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
    (apply,) = (a for a in fed.follower.on_stored(fed.now, 1) if isinstance(a, Apply))
    assert (apply.version, apply.contents) == (version(1), contents(1))
    acknowledged = said(list(fed.follower.on_applied(fed.now, 1)))
    assert acknowledged == [Poll(1, version(1).digest)] and fed.follower.version == version(1)
    delta = delta_between(contents(1), contents(2))
    store = fed.hear(ConfigUpdate(version(2), 0, delta))
    assert [a for a in store if isinstance(a, Store)] == [Store(version(2), contents(2), 1)]


def test_a_disk_that_can_not_be_written_does_not_keep_a_version_out() -> None:
    fed = Fed()
    fed.hear(whole(1))
    actions = fed.follower.on_stored(fed.now, 1, "No space left on device")
    assert kinds(list(actions)) == ["Apply"]
    assert [a.event for a in actions if isinstance(a, LogMessage)] == ["configuration_not_stored"]


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
    follower.on_connected(now, 1)
    actions = list(follower.on_message(now, 1, item))
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
    fed.follower.on_stored(fed.now, 2)
    why = "servers[2].weight is -1; allowed: 0 and more"
    actions = list(fed.follower.on_applied(fed.now, 2, why))
    assert said(actions) == [Poll(1, version(1).digest, 2, why)] and fed.follower.version == version(1)
    assert kinds(fed.hear(whole(2))) == [] and not fed.follower.announced
    assert f"version 2 refused: {why}" in fed.follower.status_line(fed.now)
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
    assert [a.kv["number"] for a in actions if isinstance(a, LogMessage)] == [6]
    follower.tick(timeouts.STARTUP_GRACE_MS - 1.0)
    assert follower.pending is None
    (apply,) = (a for a in follower.tick(timeouts.STARTUP_GRACE_MS) if isinstance(a, Apply))
    assert apply.version == version(5)
    (second,) = (
        a for a in follower.on_applied(timeouts.STARTUP_GRACE_MS, 5, "refused") if isinstance(a, Apply)
    )
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
    report = StatusReport("a", 1, 1, True, 1, ())
    assert said(list(fed.follower.on_status_report(fed.now, report))) == [report]


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
    assert fed.hear(NotModified(0, 100)) == [] and fed.follower.stay_until_ms == 0.0


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
        stays.append(fed.follower.stay_until_ms - fed.now)
        while fed.now < fed.follower.stay_until_ms:  # it asks again at the end of it, not a pace later
            assert fed.follower.due_ms(fed.now) <= fed.follower.stay_until_ms
            fed.now = fed.follower.due_ms(fed.now)
            fed.follower.tick(fed.now)
            if fed.now < fed.follower.stay_until_ms:
                assert kinds(fed.hear(NotModified(0, NEVER_CONFIRMED_MS))) == []
    assert len(stays) > 7
    for n, stay in enumerate(stays):
        assert stale_relay_stay_ms(n)[0] <= stay <= stale_relay_stay_ms(n)[1]
    assert fed.follower.stays
    fed.hear(NotModified(0, 0))
    assert not fed.follower.stays and not fed.follower.stay_until_ms


@pytest.mark.parametrize("age_ms", [NEVER_CONFIRMED_MS, NEVER_CONFIRMED_MS + 5000])
def test_a_relay_that_never_knew_a_majority_is_left_with_these_words_and_nothing_is_made_of_it(
    age_ms: int,
) -> None:
    fed = Fed(relays=True)
    actions = fed.hear(NotModified(0, age_ms))
    assert [a.why for a in actions if isinstance(a, Close)] == ["it has never known a majority"]
    assert "MajorityConfirmed" not in kinds(actions) and "no majority known" in fed.follower.status_line(
        fed.now
    )


def test_an_event_of_a_former_link_is_passed_over() -> None:
    fed = Fed()
    old = fed.follower.link
    fed.follower.on_disconnected(fed.now, old, "it has ended")
    fed.link()
    assert (
        fed.follower.on_message(fed.now, old, whole(1))
        == []
        == fed.follower.on_disconnected(fed.now, old, "")
    )
    assert fed.follower.on_connected(fed.now, old) == []
