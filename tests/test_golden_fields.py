"""Which field has which place: positional samples alone would follow two fields that change places."""

from __future__ import annotations

from typing import Any

from tests.golden_samples import AUDIT_BATCHES, CODECS, load_golden

MESSAGES = "messages.json"


def decoded(group: str, name: str) -> Any:
    """A golden message as the code reads it."""
    return CODECS[group].decode(bytes.fromhex(load_golden(MESSAGES)[group][name]))


def test_places_in_what_registers_hold() -> None:
    lease = decoded("members", "accept of a lease").value
    assert (lease.holder, lease.process_incarnation, lease.token, lease.proposal_number) == (
        "m-1",
        12,
        345,
        67,
    )
    version = decoded("members", "accept of a version").value
    assert (version.number, version.size, version.proposed_at_ms) == (17, 1234, 1_700_000_000_123)
    assert (version.digest, version.proposed_by) == ("ab" * 32, "m-2")
    plan = decoded("members", "accept of a plan").value
    assert (plan.number, plan.process_incarnation, plan.members, plan.restarted) == (
        4,
        8,
        ("m-1", "m-2", "m-3"),
        ("m-2",),
    )
    assert (plan.requested_by, plan.restarting, plan.state, plan.reason) == (
        "m-1",
        "m-3",
        "goes on",
        "m-3 is awaited",
    )


def test_places_in_messages_between_members() -> None:
    hello = decoded("members", "hello")
    assert (hello.version, hello.process_incarnation, hello.epoch) == (2, 11, 9)
    assert (hello.cluster, hello.name, hello.disk_incarnation) == ("fleet-a", "m-1", "inc-1")
    promise = decoded("members", "promise")
    assert (promise.ballot, promise.accepted) == ((71, "m-2", 3), (64, "m-3", 5))
    assert (promise.ballot.number, promise.ballot.member, promise.ballot.process_incarnation) == (
        71,
        "m-2",
        3,
    )
    refuse = decoded("members", "refuse")
    assert (refuse.ballot, refuse.promised) == ((64, "m-3", 5), (71, "m-2", 3))
    admit = decoded("members", "admit")
    assert (admit.name, admit.disk_incarnation) == ("m-4", "inc-4")
    born = decoded("records", "born")
    assert (born.cluster, born.disk_incarnation) == ("fleet-a", "inc-1")
    beat = decoded("configuration", "beat")
    assert (beat.sequence, beat.epoch, beat.accepted) == (31, 9, 17)
    echo = decoded("configuration", "echo")
    assert (echo.sequence, echo.epoch, echo.accepted) == (31, 9, 16)


def test_places_in_messages_of_tasks() -> None:
    go = decoded("pacing", "go")
    assert (go.number, go.token, go.process_incarnation) == (4, 345, 7)
    beat, part = decoded("sharing", "beat"), decoded("sharing", "part")
    assert (beat.token, beat.number) == (345, 12)
    assert (part.token, part.number, part.source, part.part, part.parts) == (345, 12, 1, 2, 3)
    counts = decoded("tallies", "counts")
    assert (counts.number, counts.process_incarnation) == (77, 8)


def test_whole_and_all_are_told_apart() -> None:
    part = decoded("sharing", "part of a whole list")
    assert (part.is_complete_list, part.is_resync) == (True, False)


def test_places_in_messages_of_followers() -> None:
    greeting = decoded("feed", "greeting")
    assert (greeting.protocol_version, greeting.incarnation, greeting.number) == (1, 14, 16)
    assert (greeting.cluster, greeting.name, greeting.place) == ("fleet-a", "d-1", "east/e1")
    welcome = decoded("feed", "welcome")
    assert (welcome.protocol_version, welcome.max_followers, welcome.acknowledged_number) == (1, 500, 15)
    assert (welcome.cluster, welcome.relay) == ("fleet-a", "m-2")
    poll = decoded("feed", "poll")
    assert (poll.number, poll.refused, poll.why) == (16, 17, "names no class")
    still = decoded("feed", "still")
    assert (still.number, still.confirmed_age_ms) == (17, 130)
    delta = decoded("feed", "news by difference").delta
    assert (delta.prefix, delta.suffix) == (10, 20)
    tally = decoded("feed", "tally")
    assert (tally.incarnation, tally.sequence, tally.number) == (3, 41, 17)
    standing = tally.statuses[0]
    assert (standing.incarnation, standing.number, standing.last_message_age_ms) == (14, 16, 250)
    assert (standing.behind_age_ms, standing.refused) == (350, 15)
    assert (standing.name, standing.why) == ("d-1", "names no class")


def test_places_in_the_record_of_acts() -> None:
    assert set(load_golden(MESSAGES)["audit"]) == set(AUDIT_BATCHES)
    (head,) = decoded("audit", "head")
    assert (head.version, head.segment, head.stamp) == (1, 12, 3)
    assert (head.dispatcher, head.life, head.at_ms, head.off_ms) == ("d-1", "f00d", 1000.5, 100.25)
    (act,) = decoded("audit", "act")
    assert (act.what, act.call, act.server) == ("send", "job-1", "runner-1")
    (gap,) = decoded("audit", "gap")
    assert (gap.from_ms, gap.to_ms, gap.acts) == (1004.5, 1005.5, 6)
    stamp = head.versions
    assert (stamp.program, stamp.settings, stamp.source) == ("0.1.0", "5e771465", "consul")
    assert (stamp.generation, stamp.revision, stamp.epoch, stamp.bans) == (2, 31, 9, "ba45")
