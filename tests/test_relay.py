"""A relay by itself: what is wrong is said by field, value and what is allowed, once."""

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
from tests.configuration_samples import contents, kinds, said, told, version


def greeting(
    name: str = "d1", incarnation: int = 1, number: int = 0, digest: str = "", cluster: str = "f"
) -> Subscribe:
    return Subscribe(PROTOCOL_VERSION, cluster, name, incarnation, "r/1", number, digest)


def relay(most: int = MAX_FOLLOWERS, number: int = 0) -> Relay:
    made = Relay("a", "f", 1, random.Random(1), most)
    if number:
        made.publish(0.0, version(number), contents(number))
    return made


@pytest.mark.parametrize(
    ("item", "why"),
    [
        (greeting(cluster="g"), "fleet is 'g'; allowed: 'f'"),
        (greeting(""), "name is ''; allowed: 1 to 128 printable characters without spaces"),
        (greeting("a b"), "name is 'a b'; allowed: "),
        (greeting("x" * 129), "name is 'xxx"),
        (greeting(incarnation=-1), "life is -1; allowed: 0 and more"),
        (greeting(number=-1), "number is -1; allowed: 0 and more"),
        (greeting(digest="ab"), "digest is 'ab'; allowed: 64 hexadecimal digits"),
        (Subscribe(2, "f", "d1", 1, "r/1", 0, ""), "form is 2; allowed: 1"),
        (Poll(1, ""), "message is 'poll'; allowed: greeting first"),
    ],
)
def test_a_greeting_that_is_wrong_is_said_and_not_taken(item: Message, why: str) -> None:
    made = relay()
    actions = list(made.on_message(0.0, 1, item))
    assert told(actions)[0].startswith(why) and kinds(actions) == ["Close"] and not made.followers


def test_a_relay_takes_no_more_than_its_part_and_never_fewer_than_1024_by_default() -> None:
    assert MAX_FOLLOWERS >= 1024
    made = relay(most=2)
    for link in (1, 2):
        assert isinstance(said(list(made.on_message(0.0, link, greeting(f"d{link}"))))[0], SubscribeAccepted)
    actions = list(made.on_message(0.0, 3, greeting("d3")))
    assert said(actions) == [SubscribeRejected("2 followers; allowed: 2")] and kinds(actions) == [
        "Send",
        "Close",
    ]
    made.on_disconnected(1.0, 1, "ended")
    assert isinstance(said(list(made.on_message(2.0, 4, greeting("d3"))))[0], SubscribeAccepted)


def test_of_a_follower_named_twice_the_later_start_is_served_and_the_other_is_named() -> None:
    made = relay()
    made.on_message(0.0, 1, greeting(incarnation=5))
    actions = list(made.on_message(1.0, 2, greeting(incarnation=4)))
    assert told(actions) == ["life is 4; allowed: 5 and more: a later start of d1 has come"]
    assert isinstance(said(actions)[0], SubscribeRejected) and 1 in made.followers
    assert not told(list(made.on_message(2.0, 3, greeting(incarnation=4))))  # once
    actions = list(made.on_message(3.0, 4, greeting(incarnation=6)))
    assert [a for a in actions if isinstance(a, Close)] == [Close(1, "d1 has connected again")]
    assert list(made.followers) == [4]
    made.on_disconnected(4.0, 4, "ended")
    assert isinstance(said(list(made.on_message(5.0, 5, greeting(incarnation=5))))[0], SubscribeRejected)
    again = made.on_message(
        3.0 + timeouts.FOLLOWER_OVERDUE_MS, 6, greeting(incarnation=5)
    )  # a clock that went back keeps none out
    assert isinstance(said(list(again))[0], SubscribeAccepted)


def test_a_push_goes_by_difference_where_the_base_is_known_else_whole() -> None:
    made = relay(number=1)
    assert said(list(made.on_message(0.0, 1, greeting())))[1].contents == contents(1)  # type: ignore[union-attr]
    made.on_message(1.0, 1, Poll(1, version(1).digest))
    made.on_message(1.0, 2, greeting("d2", number=1, digest=digest_of(b"other")))
    pushed = said(list(made.publish(2.0, version(2), contents(2))))
    assert isinstance(pushed[0], ConfigUpdate) and isinstance(pushed[1], ConfigUpdate)
    assert pushed[0].delta is not None and pushed[0].contents is None
    assert pushed[1].delta is None and pushed[1].contents == contents(2)
    fetched = said(list(made.on_message(2000.0, 1, FetchFullContents(2))))
    assert isinstance(fetched[0], ConfigUpdate) and fetched[0].contents == contents(2)


def test_a_push_to_many_is_one_object() -> None:
    made = relay(number=1)
    for link in range(50):
        made.on_message(0.0, link, greeting(f"d{link}", number=1, digest=version(1).digest))
    pushed = said(list(made.publish(1.0, version(2), contents(2))))
    assert len(pushed) == 50 and len({id(item) for item in pushed}) == 1


def test_whole_contents_are_paced_and_all_come_in_their_turn() -> None:
    made, data = relay(), random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    made.publish(0.0, version(1, data), data)
    sent: list[tuple[float, int]] = []
    count, now = 46, 1.0  # 230 dispatchers at 5 relays
    for link in range(count):
        for item in made.on_message(now, link, greeting(f"d{link}")):
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
    made.on_message(0.0, 1, greeting())
    assert said(list(made.on_message(100.0, 1, Poll(0, "")))) == [NotModified(1, NEVER_CONFIRMED_MS)]
    again = said(list(made.on_message(timeouts.RESEND_INTERVAL_MS, 1, Poll(0, ""))))
    assert isinstance(again[0], ConfigUpdate)
    made.on_majority_confirmed(1500.0, 1400.0)
    assert said(list(made.on_message(1600.0, 1, Poll(1, version(1).digest)))) == [NotModified(1, 200)]


def test_one_that_refuses_is_not_pushed_the_same_again() -> None:
    made = relay(number=1)
    made.on_message(0.0, 1, greeting())
    actions = list(made.on_message(5000.0, 1, Poll(0, "", 1, "servers is 3; allowed: a table")))
    assert said(actions) == [NotModified(1, NEVER_CONFIRMED_MS)]
    assert [a.event for a in actions if isinstance(a, LogMessage)] == ["configuration_follower_refuses"]
    assert isinstance(said(list(made.publish(6000.0, version(2), contents(2))))[0], ConfigUpdate)


def test_a_follower_that_says_less_than_it_said_is_noted_once() -> None:
    made = relay(number=3)
    made.on_message(0.0, 1, greeting(number=3, digest=version(3).digest))
    first = told(list(made.on_message(1.0, 1, Poll(2, ""))))
    assert first == ["number is 2; allowed: 3 and more, as d1 said before"]
    assert not told(list(made.on_message(2.0, 1, Poll(1, ""))))
    assert told(list(made.on_message(3.0, 1, Poll(-1, "")))) == ["number is -1; allowed: 0 and more"]
    assert not made.followers


def test_an_overdue_follower_is_let_go_and_counted_as_not_heard() -> None:
    made = relay(number=1)
    made.on_message(0.0, 1, greeting(number=1, digest=version(1).digest))
    now, closed = 0.0, []
    statuses: tuple[FollowerStatus, ...] = ()
    while now < timeouts.FOLLOWER_OVERDUE_MS + 2 * timeouts.OVERDUE_SCAN_INTERVAL_MS:
        now = made.due_ms(now)
        for action in made.tick(now):
            closed += [action] if isinstance(action, Close) else []
            if isinstance(action, StatusReceived) and action.report.statuses:
                statuses = action.report.statuses
    assert [c.link for c in closed] == [1]
    assert [(s.name, s.number, s.connected) for s in statuses] == [("d1", 1, False)]
