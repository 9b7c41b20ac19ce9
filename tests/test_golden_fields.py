"""The position of each field in the encoding: positional samples alone would not notice swapped fields."""

from __future__ import annotations

from typing import Any

from tests.golden_samples import AUDIT_BATCHES, CODECS, load_golden

MESSAGES = "messages.json"


def decoded(group: str, name: str) -> Any:
    """A golden message, decoded."""
    return CODECS[group].decode(bytes.fromhex(load_golden(MESSAGES)[group][name]))


def test_field_positions_in_register_values() -> None:
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


def test_field_positions_in_messages_between_members() -> None:
    handshake = decoded("members", "hello")
    assert (handshake.version, handshake.process_incarnation, handshake.epoch) == (2, 11, 9)
    assert (handshake.cluster, handshake.name, handshake.disk_incarnation) == ("fleet-a", "m-1", "inc-1")
    promise = decoded("members", "promise")
    assert (promise.ballot, promise.accepted) == ((71, "m-2", 3), (64, "m-3", 5))
    assert (promise.ballot.number, promise.ballot.member, promise.ballot.process_incarnation) == (
        71,
        "m-2",
        3,
    )
    rejected = decoded("members", "refuse")
    assert (rejected.ballot, rejected.promised) == ((64, "m-3", 5), (71, "m-2", 3))
    join_request = decoded("members", "admit")
    assert (join_request.name, join_request.disk_incarnation) == ("m-4", "inc-4")
    started = decoded("records", "born")
    assert (started.cluster, started.disk_incarnation) == ("fleet-a", "inc-1")
    heartbeat = decoded("configuration", "beat")
    assert (heartbeat.sequence, heartbeat.epoch, heartbeat.accepted) == (31, 9, 17)
    heartbeat_response = decoded("configuration", "echo")
    assert (heartbeat_response.sequence, heartbeat_response.epoch, heartbeat_response.accepted) == (31, 9, 16)


def test_field_positions_in_messages_of_cluster_tasks() -> None:
    restart_request = decoded("pacing", "go")
    assert (restart_request.number, restart_request.token, restart_request.process_incarnation) == (4, 345, 7)
    heartbeat, part = decoded("sharing", "beat"), decoded("sharing", "part")
    assert (heartbeat.token, heartbeat.number) == (345, 12)
    assert (part.token, part.number, part.source, part.part, part.parts) == (345, 12, 1, 2, 3)
    counts = decoded("tallies", "counts")
    assert (counts.number, counts.process_incarnation) == (77, 8)


def test_a_complete_list_and_a_resync_are_different_fields() -> None:
    part = decoded("sharing", "part of a whole list")
    assert (part.is_complete_list, part.is_resync) == (True, False)


def test_field_positions_in_messages_of_followers() -> None:
    subscribe = decoded("feed", "greeting")
    assert (subscribe.protocol_version, subscribe.incarnation, subscribe.number) == (1, 14, 16)
    assert (subscribe.cluster, subscribe.name, subscribe.place) == ("fleet-a", "d-1", "east/e1")
    accepted = decoded("feed", "welcome")
    assert (accepted.protocol_version, accepted.max_followers, accepted.acknowledged_number) == (1, 500, 15)
    assert (accepted.cluster, accepted.relay) == ("fleet-a", "m-2")
    poll = decoded("feed", "poll")
    assert (poll.number, poll.refused, poll.why) == (16, 17, "names no class")
    not_modified = decoded("feed", "still")
    assert (not_modified.number, not_modified.confirmed_age_ms) == (17, 130)
    delta = decoded("feed", "news by difference").delta
    assert (delta.prefix, delta.suffix) == (10, 20)
    report = decoded("feed", "tally")
    assert (report.incarnation, report.sequence, report.number) == (3, 41, 17)
    status = report.statuses[0]
    assert (status.incarnation, status.number, status.last_message_age_ms) == (14, 16, 250)
    assert (status.behind_age_ms, status.refused) == (350, 15)
    assert (status.name, status.why) == ("d-1", "names no class")


def test_field_positions_in_the_audit_log() -> None:
    assert set(load_golden(MESSAGES)["audit"]) == set(AUDIT_BATCHES)
    (header,) = decoded("audit", "head")
    assert (header.version, header.segment, header.stamp) == (1, 12, 3)
    assert (header.dispatcher, header.life, header.at_ms, header.off_ms) == ("d-1", "f00d", 1000.5, 100.25)
    (action,) = decoded("audit", "act")
    assert (action.what, action.call, action.server) == ("send", "job-1", "runner-1")
    (gap,) = decoded("audit", "gap")
    assert (gap.from_ms, gap.to_ms, gap.acts) == (1004.5, 1005.5, 6)
    versions = header.versions
    assert (versions.program, versions.settings, versions.source) == ("0.1.0", "5e771465", "consul")
    assert (versions.generation, versions.revision, versions.epoch, versions.bans) == (2, 31, 9, "ba45")
