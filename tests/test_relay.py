"""A single relay: updates, status reports, and invalid input, which is logged with what is allowed."""

from __future__ import annotations

import random

import pytest

from grebestack.config_distribution import timeouts
from grebestack.config_distribution.actions import (
    Close,
    Send,
    StatusReceived,
)
from grebestack.config_distribution.messages import (
    NEVER_CONFIRMED_MS,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    FollowerStatus,
    Message,
    NotModified,
    Poll,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
)
from grebestack.config_distribution.relay import MAX_FOLLOWERS, Relay
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    digest_of,
)
from grebestack.consensus.actions import LogMessage
from tests.configuration_samples import action_types, contents, invalid_reasons, sent_messages, version


def subscribe(
    name: str = "d1", incarnation: int = 1, number: int = 0, digest: str = "", cluster: str = "f"
) -> Subscribe:
    return Subscribe(PROTOCOL_VERSION, cluster, name, incarnation, "r/1", number, digest)


def new_relay(max_followers: int = MAX_FOLLOWERS, number: int = 0) -> Relay:
    relay = Relay("a", "f", 1, random.Random(1), max_followers)
    if number:
        relay.publish(0.0, version(number), contents(number))
    return relay


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (subscribe(cluster="g"), "fleet is 'g'; allowed: 'f'"),
        (subscribe(""), "name is ''; allowed: 1 to 128 printable characters without spaces"),
        (subscribe("a b"), "name is 'a b'; allowed: "),
        (subscribe("x" * 129), "name is 'xxx"),
        (subscribe(incarnation=-1), "life is -1; allowed: 0 and more"),
        (subscribe(number=-1), "number is -1; allowed: 0 and more"),
        (subscribe(digest="ab"), "digest is 'ab'; allowed: 64 hexadecimal digits"),
        (Subscribe(2, "f", "d1", 1, "r/1", 0, ""), "form is 2; allowed: 1"),
        (Poll(1, ""), "message is 'poll'; allowed: greeting first"),
    ],
)
def test_an_invalid_first_message_is_logged_and_rejected(item: Message, why: str) -> None:
    relay = new_relay()
    actions = list(relay.on_message(0.0, 1, item))
    assert (
        invalid_reasons(actions)[0].startswith(why)
        and action_types(actions) == ["Close"]
        and not relay.followers
    )


def test_a_relay_rejects_followers_above_its_limit_which_is_at_least_1024_by_default() -> None:
    assert MAX_FOLLOWERS >= 1024
    relay = new_relay(max_followers=2)
    for link in (1, 2):
        assert isinstance(
            sent_messages(list(relay.on_message(0.0, link, subscribe(f"d{link}"))))[0], SubscribeAccepted
        )
    actions = list(relay.on_message(0.0, 3, subscribe("d3")))
    assert sent_messages(actions) == [SubscribeRejected("2 followers; allowed: 2")] and action_types(
        actions
    ) == [
        "Send",
        "Close",
    ]
    relay.on_disconnected(1.0, 1, "ended")
    assert isinstance(sent_messages(list(relay.on_message(2.0, 4, subscribe("d3"))))[0], SubscribeAccepted)


def test_of_two_followers_with_one_name_the_later_incarnation_is_served_and_the_other_is_logged() -> None:
    relay = new_relay()
    relay.on_message(0.0, 1, subscribe(incarnation=5))
    actions = list(relay.on_message(1.0, 2, subscribe(incarnation=4)))
    assert invalid_reasons(actions) == ["life is 4; allowed: 5 and more: a later start of d1 connected"]
    assert isinstance(sent_messages(actions)[0], SubscribeRejected) and 1 in relay.followers
    assert not invalid_reasons(list(relay.on_message(2.0, 3, subscribe(incarnation=4))))  # once
    actions = list(relay.on_message(3.0, 4, subscribe(incarnation=6)))
    assert [a for a in actions if isinstance(a, Close)] == [Close(1, "d1 has connected again")]
    assert list(relay.followers) == [4]
    relay.on_disconnected(4.0, 4, "ended")
    assert isinstance(
        sent_messages(list(relay.on_message(5.0, 5, subscribe(incarnation=5))))[0], SubscribeRejected
    )
    # A lower incarnation, after a clock that went back, does not lock a follower out for good.
    again = relay.on_message(3.0 + timeouts.FOLLOWER_OVERDUE_MS, 6, subscribe(incarnation=5))
    assert isinstance(sent_messages(list(again))[0], SubscribeAccepted)


def test_a_push_has_a_delta_if_the_base_is_known_else_full_contents() -> None:
    relay = new_relay(number=1)
    assert sent_messages(list(relay.on_message(0.0, 1, subscribe())))[1].contents == contents(1)  # type: ignore[union-attr]
    relay.on_message(1.0, 1, Poll(1, version(1).digest))
    relay.on_message(1.0, 2, subscribe("d2", number=1, digest=digest_of(b"other")))
    pushed = sent_messages(list(relay.publish(2.0, version(2), contents(2))))
    assert isinstance(pushed[0], ConfigUpdate) and isinstance(pushed[1], ConfigUpdate)
    assert pushed[0].delta is not None and pushed[0].contents is None
    assert pushed[1].delta is None and pushed[1].contents == contents(2)
    fetched = sent_messages(list(relay.on_message(2000.0, 1, FetchFullContents(2))))
    assert isinstance(fetched[0], ConfigUpdate) and fetched[0].contents == contents(2)


def test_a_push_to_many_followers_is_one_object() -> None:
    relay = new_relay(number=1)
    for link in range(50):
        relay.on_message(0.0, link, subscribe(f"d{link}", number=1, digest=version(1).digest))
    pushed = sent_messages(list(relay.publish(1.0, version(2), contents(2))))
    assert len(pushed) == 50 and len({id(item) for item in pushed}) == 1


def test_full_contents_are_rate_limited_and_sent_in_order() -> None:
    relay, data = new_relay(), random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    relay.publish(0.0, version(1, data), data)
    sent: list[tuple[float, int]] = []
    count, now = 46, 1.0  # 230 dispatchers at 5 relays
    for link in range(count):
        for item in relay.on_message(now, link, subscribe(f"d{link}")):
            if isinstance(item, Send) and isinstance(item.message, ConfigUpdate):
                sent.append((now, item.link))
    assert 0 < len(sent) < 12
    while len(sent) < count and now < 10_000.0:
        now = relay.due_ms(now)
        sent += [(now, a.link) for a in relay.tick(now) if isinstance(a, Send)]
    assert [link for _, link in sent] == list(range(count)) and now <= timeouts.FULL_CONTENTS_WAIT_MS
    for start in (0.0, 250.0, 500.0):
        within = sum(start <= at < start + 500.0 for at, _ in sent)
        assert (
            within * MAX_CONTENTS_BYTES <= timeouts.FULL_CONTENTS_BYTES_PER_S * 0.75 + 2 * MAX_CONTENTS_BYTES
        )


def test_a_poll_gets_a_newer_version_unless_it_was_just_sent() -> None:
    relay = new_relay(number=1)
    relay.on_message(0.0, 1, subscribe())
    assert sent_messages(list(relay.on_message(100.0, 1, Poll(0, "")))) == [
        NotModified(1, NEVER_CONFIRMED_MS)
    ]
    again = sent_messages(list(relay.on_message(timeouts.RESEND_INTERVAL_MS, 1, Poll(0, ""))))
    assert isinstance(again[0], ConfigUpdate)
    relay.on_majority_confirmed(1500.0, 1400.0)
    assert sent_messages(list(relay.on_message(1600.0, 1, Poll(1, version(1).digest)))) == [
        NotModified(1, 200)
    ]


def test_a_refused_version_is_not_pushed_again() -> None:
    relay = new_relay(number=1)
    relay.on_message(0.0, 1, subscribe())
    actions = list(relay.on_message(5000.0, 1, Poll(0, "", 1, "servers is 3; allowed: a table")))
    assert sent_messages(actions) == [NotModified(1, NEVER_CONFIRMED_MS)]
    assert [a.event for a in actions if isinstance(a, LogMessage)] == ["configuration_follower_refuses"]
    assert isinstance(sent_messages(list(relay.publish(6000.0, version(2), contents(2))))[0], ConfigUpdate)


def test_a_follower_whose_number_goes_back_is_logged_once() -> None:
    relay = new_relay(number=3)
    relay.on_message(0.0, 1, subscribe(number=3, digest=version(3).digest))
    first = invalid_reasons(list(relay.on_message(1.0, 1, Poll(2, ""))))
    assert first == ["number is 2; allowed: 3 and more, as d1 reported before"]
    assert not invalid_reasons(list(relay.on_message(2.0, 1, Poll(1, ""))))
    assert invalid_reasons(list(relay.on_message(3.0, 1, Poll(-1, "")))) == [
        "number is -1; allowed: 0 and more"
    ]
    assert not relay.followers


def test_an_overdue_follower_is_disconnected_and_reported_as_such() -> None:
    relay = new_relay(number=1)
    relay.on_message(0.0, 1, subscribe(number=1, digest=version(1).digest))
    now, closed = 0.0, []
    statuses: tuple[FollowerStatus, ...] = ()
    while now < timeouts.FOLLOWER_OVERDUE_MS + 2 * timeouts.OVERDUE_SCAN_INTERVAL_MS:
        now = relay.due_ms(now)
        for action in relay.tick(now):
            closed += [action] if isinstance(action, Close) else []
            if isinstance(action, StatusReceived) and action.report.statuses:
                statuses = action.report.statuses
    assert [c.link for c in closed] == [1]
    assert [(s.name, s.number, s.connected) for s in statuses] == [("d1", 1, False)]
