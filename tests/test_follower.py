"""A single follower: updates, relay changes, and invalid input, which is logged with what is allowed."""

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
from tests.configuration_samples import (
    action_types,
    contents,
    full_update,
    invalid_reasons,
    sent_messages,
    version,
)

PLACES = {"a": "r/1", "b": "r/2", "c": "r/1", "far": "s/1"}


class FollowerDriver:
    """Drives a follower that is connected to its first relay."""

    def __init__(
        self, disk: tuple[int, ...] = (), acknowledged_number: int = 0, is_relay: bool = False
    ) -> None:
        self.follower = Follower("d1", "f", "r/1", 1, PLACES, random.Random(1), is_relay)
        self.now = 0.0
        self.follower.start(0.0, [(version(n), contents(n)) for n in disk])
        self.connect()
        self.accepted_actions = self.receive(
            SubscribeAccepted(PROTOCOL_VERSION, "f", self.follower.relay, 10, acknowledged_number)
        )

    def connect(self) -> list[Any]:
        self.now = self.follower.due_ms(self.now)
        (action,) = (a for a in self.follower.tick(self.now) if isinstance(a, Connect))
        return list(self.follower.on_connected(self.now, action.link))

    def receive(self, message: Message) -> list[Any]:
        return list(self.follower.on_message(self.now, self.follower.link, message))

    def update_to(self, number: int) -> list[Any]:
        actions = self.receive(full_update(number))
        actions += self.follower.on_stored(self.now, number)
        return actions + self.follower.on_applied(self.now, number)


def test_relays_of_the_own_region_come_first_and_the_second_is_in_another_zone() -> None:
    first_relays = set()
    for n in range(60):
        order = relay_order(f"d{n}", "r/1", PLACES)
        assert set(order) == set(PLACES) and order[3] == "far"
        assert PLACES[order[1]] != PLACES[order[0]]
        first_relays.add(order[0])
    assert first_relays == {"a", "b", "c"}
    assert relay_order("d1", "nowhere/1", PLACES) and relay_order("d1", "r/1", {}) == ()


def test_an_update_is_stored_then_applied_then_acknowledged() -> None:
    driver = FollowerDriver()
    assert action_types(driver.receive(full_update(1))) == ["Store"]
    assert action_types(driver.receive(full_update(1))) == []
    (apply,) = (a for a in driver.follower.on_stored(driver.now, 1) if isinstance(a, Apply))
    assert (apply.version, apply.contents) == (version(1), contents(1))
    acknowledged = sent_messages(list(driver.follower.on_applied(driver.now, 1)))
    assert acknowledged == [Poll(1, version(1).digest)] and driver.follower.version == version(1)
    delta = delta_between(contents(1), contents(2))
    store = driver.receive(ConfigUpdate(version(2), 0, delta))
    assert [a for a in store if isinstance(a, Store)] == [Store(version(2), contents(2), 1)]


def test_a_version_is_applied_even_if_it_could_not_be_stored() -> None:
    driver = FollowerDriver()
    driver.receive(full_update(1))
    actions = driver.follower.on_stored(driver.now, 1, "No space left on device")
    assert action_types(list(actions)) == ["Apply"]
    assert [a.event for a in actions if isinstance(a, LogMessage)] == ["configuration_not_stored"]


EMPTY_DIGEST = digest_of(b"")
TRUNCATED = ConfigUpdate(version(2), 0, None, contents(2)[:-1])


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (TRUNCATED, f"size is {len(contents(2)) - 1}; allowed: {len(contents(2))} in version 2"),
        (ConfigUpdate(version(2), 0, None, contents(1)), f"digest is '{digest_of(contents(1))}'; allowed: "),
        (
            ConfigUpdate(Version(2, "x", 3, "v1", 0), 0, None, b"abc"),
            "digest is 'x'; allowed: 64 hexadecimal",
        ),
        (
            ConfigUpdate(Version(-2, EMPTY_DIGEST, 0, "v1", 0), 0, None, b""),
            "number is -2; allowed: 1 and more",
        ),
        (
            ConfigUpdate(Version(2, EMPTY_DIGEST, MAX_CONTENTS_BYTES + 1, "v1", 0), 0, None, b""),
            "size is 524289; allowed: 0 to",
        ),
        (ConfigUpdate(version(2), 0), "contents is None; allowed: in full or as a delta"),
        (
            ConfigUpdate(version(1, b"other"), 0, None, b"other"),
            f"digest is '{digest_of(b'other')}'; allowed: ",
        ),
        (NotModified(-1, 0), "number is -1; allowed: 0 and more"),
        (NotModified(1, -1), "confirmed_ms is -1; allowed: 0 and more"),
        (FetchFullContents(1), "message is 'fetch'; allowed: news or still"),
    ],
)
def test_an_invalid_message_is_logged_and_another_relay_is_used(item: Message, why: str) -> None:
    driver = FollowerDriver()
    driver.update_to(1)
    actions = driver.receive(item)
    (line,) = invalid_reasons(actions)
    assert line.startswith(why) or line.replace("...", "").startswith(why[:60])
    assert action_types(actions) == ["Close"] and driver.follower.version == version(1)
    assert driver.receive(full_update(3)) == []  # the link is closed
    first = driver.follower.relay
    driver.connect()
    assert driver.follower.relay != first


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (SubscribeAccepted(PROTOCOL_VERSION + 1, "f", "a", 9), "form is 2; allowed: 1"),
        (SubscribeAccepted(PROTOCOL_VERSION, "g", "a", 9), "fleet is 'g'; allowed: 'f'"),
        (SubscribeAccepted(PROTOCOL_VERSION, "f", "z", 9), "relay is 'z'; allowed: "),
        (NotModified(1, 0), "message is 'still'; allowed: welcome or full"),
    ],
)
def test_an_invalid_response_to_subscribe_is_logged(item: Message, why: str) -> None:
    follower = Follower("d1", "f", "r/1", 1, {"a": "r/1"}, random.Random(1))
    follower.start(0.0)
    now = follower.due_ms(0.0)
    follower.tick(now)
    follower.on_connected(now, 1)
    actions = list(follower.on_message(now, 1, item))
    assert invalid_reasons(actions)[0].startswith(why) and action_types(actions) == ["Close"]


def test_full_contents_are_requested_after_a_delta_that_does_not_apply() -> None:
    driver = FollowerDriver()
    driver.update_to(1)
    actions = driver.receive(ConfigUpdate(version(2), 0, Delta(digest_of(b"other"), 0, 0, b"")))
    assert sent_messages(actions) == [FetchFullContents(2)] and invalid_reasons(actions)[0].startswith(
        "base is "
    )
    assert action_types(driver.receive(full_update(2))) == ["Store"]


def test_a_relay_whose_number_goes_back_is_logged_once_and_left() -> None:
    driver = FollowerDriver()
    driver.update_to(5)
    first = driver.receive(NotModified(4, 0))
    assert invalid_reasons(first) == ["number is 4; allowed: 5 and more, as reported before"]
    assert action_types(first) == ["Close"]  # another relay may have a newer version
    name = driver.follower.relay
    while driver.connect() and driver.follower.relay != name:
        driver.receive(SubscribeRejected("full"))
    driver.receive(SubscribeAccepted(PROTOCOL_VERSION, "f", name, 10))
    again = driver.receive(full_update(4))
    assert (
        invalid_reasons(again) == []
        and "Store" not in action_types(again)
        and driver.follower.version == version(5)
    )


def test_a_refused_version_is_shown_and_not_requested_until_a_newer_one_arrives() -> None:
    driver = FollowerDriver()
    driver.update_to(1)
    driver.receive(full_update(2))
    driver.follower.on_stored(driver.now, 2)
    why = "servers[2].weight is -1; allowed: 0 and more"
    actions = list(driver.follower.on_applied(driver.now, 2, why))
    assert sent_messages(actions) == [
        Poll(1, version(1).digest, 2, why)
    ] and driver.follower.version == version(1)
    assert action_types(driver.receive(full_update(2))) == [] and not driver.follower.announced
    assert f"version 2 refused: {why}" in driver.follower.status_line(driver.now)
    driver.update_to(3)
    assert driver.follower.version == version(3) and driver.follower.refused == 0


def test_an_old_disk_is_not_applied_if_a_relay_knows_a_later_acknowledged_number() -> None:
    driver = FollowerDriver(disk=(5, 4), acknowledged_number=7)
    actions = driver.receive(NotModified(5, 0))
    assert action_types(actions) == [] and invalid_reasons(actions) == [
        "number is 5; allowed: 7 and more, which was acknowledged before"
    ]
    assert "Apply" not in action_types(list(driver.follower.tick(timeouts.STARTUP_GRACE_MS + 1.0)))
    assert driver.receive(full_update(6)) and driver.follower.version == NO_VERSION
    assert action_types(driver.receive(full_update(7))) == ["Store"]


def test_the_disk_is_applied_if_no_relay_responds_in_time() -> None:
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
    assert second.version == version(4)  # in force before 5, which was refused


def test_the_disk_is_applied_at_once_if_the_relay_has_nothing_newer() -> None:
    driver = FollowerDriver(disk=(5,))
    assert [a.version.number for a in driver.receive(NotModified(5, 0)) if isinstance(a, Apply)] == [5]
    driver = FollowerDriver(disk=(5,))
    assert [a.version.number for a in driver.receive(full_update(5)) if isinstance(a, Apply)] == [5]


def test_the_own_relay_gets_valid_versions_and_confirmations_by_a_majority() -> None:
    driver = FollowerDriver(is_relay=True)
    actions = driver.receive(full_update(1, 300))
    assert [a for a in actions if isinstance(a, PublishVersion)] == [PublishVersion(version(1), contents(1))]
    assert [a for a in actions if isinstance(a, MajorityConfirmed)] == [MajorityConfirmed(driver.now - 300)]
    actions = driver.receive(NotModified(2, 0))
    assert not [a for a in actions if isinstance(a, MajorityConfirmed)]  # version 2 is not received yet
    report = StatusReport("a", 1, 1, True, 1, ())
    assert sent_messages(list(driver.follower.on_status_report(driver.now, report))) == [report]


def test_if_all_relays_are_stale_the_follower_stays_with_one_after_two_rounds() -> None:
    driver = FollowerDriver()
    names = []
    for _ in range(20):
        names.append(driver.follower.relay)
        if action_types(driver.receive(NotModified(0, NEVER_CONFIRMED_MS))) == []:
            break
        driver.connect()
        driver.receive(SubscribeAccepted(PROTOCOL_VERSION, "f", driver.follower.relay, 10))
    assert len(names) <= 2 * len(PLACES) and set(names) == set(PLACES)
    assert action_types(driver.receive(NotModified(0, NEVER_CONFIRMED_MS))) == []
    assert driver.receive(NotModified(0, 100)) == [] and driver.follower.stay_until_ms == 0.0


def test_stays_with_stale_relays_double_until_an_up_to_date_relay_is_found() -> None:
    assert [stale_relay_stay_ms(n) for n in (0, 1, 2, 3)] == [
        (1350.0, 2700.0),
        (1350.0, 2700.0),
        (2700.0, 5400.0),
        (5400.0, 10_800.0),
    ]
    assert stale_relay_stay_ms(6) == stale_relay_stay_ms(99) == timeouts.MAX_STALE_RELAY_STAY_MS
    driver, stale_stays = FollowerDriver(), list[float]()
    for _ in range(200):
        if action_types(driver.receive(NotModified(0, NEVER_CONFIRMED_MS))):
            driver.connect()
            driver.receive(SubscribeAccepted(PROTOCOL_VERSION, "f", driver.follower.relay, 10))
            continue
        stale_stays.append(driver.follower.stay_until_ms - driver.now)
        # The follower polls at the end of the stay, not one poll interval later.
        while driver.now < driver.follower.stay_until_ms:
            assert driver.follower.due_ms(driver.now) <= driver.follower.stay_until_ms
            driver.now = driver.follower.due_ms(driver.now)
            driver.follower.tick(driver.now)
            if driver.now < driver.follower.stay_until_ms:
                assert action_types(driver.receive(NotModified(0, NEVER_CONFIRMED_MS))) == []
    assert len(stale_stays) > 7
    for n, stay in enumerate(stale_stays):
        assert stale_relay_stay_ms(n)[0] <= stay <= stale_relay_stay_ms(n)[1]
    assert driver.follower.stale_stays
    driver.receive(NotModified(0, 0))
    assert not driver.follower.stale_stays and not driver.follower.stay_until_ms


@pytest.mark.parametrize("age_ms", [NEVER_CONFIRMED_MS, NEVER_CONFIRMED_MS + 5000])
def test_a_relay_that_was_never_confirmed_is_left_and_confirms_nothing(
    age_ms: int,
) -> None:
    driver = FollowerDriver(is_relay=True)
    actions = driver.receive(NotModified(0, age_ms))
    assert [a.why for a in actions if isinstance(a, Close)] == ["it has never been confirmed by a majority"]
    assert "MajorityConfirmed" not in action_types(
        actions
    ) and "not confirmed by a majority" in driver.follower.status_line(driver.now)


def test_an_event_of_a_former_link_is_ignored() -> None:
    driver = FollowerDriver()
    old = driver.follower.link
    driver.follower.on_disconnected(driver.now, old, "it has ended")
    driver.connect()
    assert (
        driver.follower.on_message(driver.now, old, full_update(1))
        == []
        == driver.follower.on_disconnected(driver.now, old, "")
    )
    assert driver.follower.on_connected(driver.now, old) == []
