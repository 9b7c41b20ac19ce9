"""Samples of every message and record, built from positional arguments, with their codecs."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args

from msgspec import json as msgspec_json
from msgspec import msgpack

from grebestack.audit import records
from grebestack.audit.version_sets import VersionSet
from grebestack.cluster_tasks import metrics_export, rolling_restart, shared_discovery
from grebestack.config_distribution import messages as distribution
from grebestack.config_distribution import voter_messages as configuration
from grebestack.config_distribution.versions import Delta, Version
from grebestack.consensus import messages as consensus
from grebestack.consensus.lease import Lease
from grebestack.consensus.register import Ballot
from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.routing.worker_table import WorkerEndpoint

GOLDEN_FOLDER = Path(__file__).resolve().parent / "golden"

BALLOT = Ballot(71, "m-2", 3)
ACCEPTED = Ballot(64, "m-3", 5)
LEASE = Lease("m-1", 12, 345, 67)
MEMBERSHIP_CONFIG = consensus.MembershipConfig(9, (("m-1", "inc-1"), ("m-2", "inc-2"), ("m-3", "inc-3")))
RESTART_PLAN = consensus.RestartPlan(
    4, "m-1", ("m-1", "m-2", "m-3"), ("m-2",), "m-3", 8, "goes on", "m-3 is awaited"
)
DIGEST = "ab" * 32
VERSION = Version(17, DIGEST, 1234, "m-2", 1_700_000_000_123)
REGISTER_ENTRIES = (
    ("task/servers", BALLOT, ACCEPTED, LEASE),
    ("plan/restart", BALLOT, ACCEPTED, RESTART_PLAN),
    ("configuration", BALLOT, ACCEPTED, VERSION),
    ("set", BALLOT, ACCEPTED, MEMBERSHIP_CONFIG),
    ("empty", Ballot(), Ballot(), None),
)
VERSION_SET = VersionSet("0.1.0", "5e771465", "consul", 2, 31, "ba45", 9)
ENTRY = WorkerEntry("runner-1", 2, 3, 4, WorkerState.DRAINING, 5.5, 6000.25, True)
WORKER = WorkerEndpoint(ENTRY, ("10.0.0.7", 8007), "uid-1", "an operator's ban")


@dataclass(frozen=True, slots=True)
class Codec:
    """How the samples of one group are encoded and decoded, and the types that the group must cover."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    samples: Mapping[str, object]
    types: tuple[type, ...]


MEMBER_MESSAGES = {
    "hello": consensus.Handshake(
        2, "fleet-a", "m-1", "inc-1", 11, 9, {"m-2": ("inc-2", 21), "m-3": ("inc-3", 22)}
    ),
    "hello of a member that knows nobody": consensus.Handshake(2, "fleet-a", "m-1", "inc-1", 1, 0, {}),
    "ping": consensus.Heartbeat("m-3"),
    "ping with defaults": consensus.Heartbeat(),
    "pong": consensus.HeartbeatResponse("m-2"),
    "pong with defaults": consensus.HeartbeatResponse(),
    "prepare": consensus.Prepare(9, "task/servers", BALLOT),
    "accept of a lease": consensus.Accept(9, "task/servers", BALLOT, LEASE),
    "accept of a lease with defaults": consensus.Accept(9, "task/servers", BALLOT, Lease()),
    "accept of a roll": consensus.Accept(9, "set", BALLOT, MEMBERSHIP_CONFIG),
    "accept of a roll with defaults": consensus.Accept(9, "set", BALLOT, consensus.MembershipConfig()),
    "accept of a plan": consensus.Accept(9, "plan/restart", BALLOT, RESTART_PLAN),
    "accept of a plan with defaults": consensus.Accept(
        9, "plan/restart", BALLOT, consensus.RestartPlan(1, "m-1", ("m-1", "m-2"))
    ),
    "accept of a version": consensus.Accept(9, "configuration", BALLOT, VERSION),
    "accept of nothing": consensus.Accept(9, "empty", BALLOT, None),
    "promise": consensus.Promise(9, "task/servers", BALLOT, ACCEPTED, LEASE),
    "promise of nothing": consensus.Promise(9, "empty", BALLOT, Ballot(), None),
    "taken": consensus.Accepted(9, "task/servers", BALLOT),
    "refuse": consensus.Rejected(9, "task/servers", ACCEPTED, BALLOT),
    "admit": consensus.JoinRequest("m-4", "inc-4"),
    "seal": consensus.StopVoting(8, MEMBERSHIP_CONFIG),
    "sealed": consensus.VotingStopped(8, REGISTER_ENTRIES),
    "sealed with no slots": consensus.VotingStopped(8, ()),
    "enter": consensus.EnterEpoch(MEMBERSHIP_CONFIG, REGISTER_ENTRIES),
    "enter with defaults": consensus.EnterEpoch(consensus.MembershipConfig(), ()),
    "behind": consensus.EpochRequest(7),
    "word": consensus.TaskMessage("servers", b"\x00body\xff"),
}
RECORDS = {
    "born": consensus.IncarnationStarted("fleet-a", "inc-1", MEMBERSHIP_CONFIG),
    "born outside of a set": consensus.IncarnationStarted("fleet-a", "inc-1", consensus.MembershipConfig()),
    "began": consensus.ProcessStarted(13),
    "kept lease": consensus.RegisterWritten(REGISTER_ENTRIES[0]),
    "kept plan": consensus.RegisterWritten(REGISTER_ENTRIES[1]),
    "kept version": consensus.RegisterWritten(REGISTER_ENTRIES[2]),
    "kept roll": consensus.RegisterWritten(REGISTER_ENTRIES[3]),
    "kept nothing": consensus.RegisterWritten(REGISTER_ENTRIES[4]),
    "ended": consensus.EpochEnded(MEMBERSHIP_CONFIG),
    "entered": consensus.EpochEntered(MEMBERSHIP_CONFIG, REGISTER_ENTRIES),
    "entered with defaults": consensus.EpochEntered(consensus.MembershipConfig(), ()),
}
FOLLOWER_STATUS = distribution.FollowerStatus("d-1", 14, 16, 250, True, 350, 15, "names no class")
STATUS_REPORT = distribution.StatusReport(
    "m-2", 3, 41, True, 17, (FOLLOWER_STATUS, distribution.FollowerStatus("d-2", 1, 17, 0, False))
)
VOTER_MESSAGES = {
    "beat": configuration.Heartbeat(31, 9, 17, VERSION),
    "beat that knows no version": configuration.Heartbeat(1, 9, -1, Version(0, "", 0, "", 0)),
    "echo": configuration.HeartbeatResponse(31, 9, 16, VERSION),
    "propose": configuration.Propose(DIGEST, b"[settings]\n"),
    "kept": configuration.StoreAck(DIGEST),
    "want": configuration.FetchContents(DIGEST),
    "have": configuration.Contents(DIGEST, b"[servers]\n"),
    "tally": STATUS_REPORT,
}
RELAY_MESSAGES = {
    "greeting": distribution.Subscribe(1, "fleet-a", "d-1", 14, "east/e1", 16, DIGEST),
    "welcome": distribution.SubscribeAccepted(1, "fleet-a", "m-2", 500, 15),
    "welcome with defaults": distribution.SubscribeAccepted(1, "fleet-a", "m-2", 500),
    "full": distribution.SubscribeRejected("500 followers; allowed: 500"),
    "news by difference": distribution.ConfigUpdate(
        VERSION, 120, Delta(DIGEST, 10, 20, b"\x78\x01middle"), None
    ),
    "news with contents": distribution.ConfigUpdate(VERSION, 120, None, b"[settings]\n"),
    "news with defaults": distribution.ConfigUpdate(VERSION, 120),
    "poll": distribution.Poll(16, DIGEST, 17, "names no class"),
    "poll with defaults": distribution.Poll(16, DIGEST),
    "still": distribution.NotModified(17, 130),
    "still of a relay that never knew": distribution.NotModified(0, distribution.NEVER_CONFIRMED_MS),
    "fetch": distribution.FetchFullContents(17),
    "tally": STATUS_REPORT,
    "tally with no standings": distribution.StatusReport("m-2", 3, 42, False, 17, ()),
}
RESTART_MESSAGES = {
    "state": rolling_restart.MemberState(8, True),
    "go": rolling_restart.RestartRequest(4, 345, 7),
}
LIST_ENTRIES = (shared_discovery.ListEntry("runner-1", b"rest"), shared_discovery.ListEntry("runner-2", b""))
DISCOVERY_MESSAGES = {
    "beat": shared_discovery.Heartbeat(345, 12, True),
    "part": shared_discovery.ListPart(345, 12, 1, True, 2, 3, LIST_ENTRIES, True),
    "part with defaults": shared_discovery.ListPart(345, 12, 0, False, 1, 1, ()),
    "part of a whole list": shared_discovery.ListPart(345, 12, 0, True, 1, 1, LIST_ENTRIES),
    "again": shared_discovery.ResyncRequest(),
}
COUNTER_MESSAGES = {
    "ask": metrics_export.CountersRequest(77),
    "counts": metrics_export.CountersResponse(77, 8, {"sessions": 11, "ok": 10}),
    "counts of nothing": metrics_export.CountersResponse(77, 8, {}),
}
EXPORTS = {
    "export": metrics_export.Export(
        "fleet-a", "tallies", "m-1", 345, 77, {"ok": 30}, {"m-1": {"ok": 10}, "m-2": {"ok": 20}}, ["m-3"]
    ),
}
WORKERS = {
    "server": WORKER,
    "server with defaults": WorkerEndpoint(WorkerEntry("runner-2"), ("10.0.0.8", 8008)),
}
AUDIT_BATCHES = {
    "head": (records.SegmentHeader(1, "d-1", "f00d", 12, 1000.5, 100.25, 3, VERSION_SET),),
    "head with a stamp of defaults": (
        records.SegmentHeader(1, "d-1", "f00d", 12, 1000.5, 100.25, 1, VersionSet()),
    ),
    "turned": (records.VersionsChanged(1001.5, 4, VERSION_SET),),
    "act": (records.ActionRecord(1002.5, "send", 4, "job-1", "runner-1"),),
    "act with defaults": (records.ActionRecord(1003.5, "operator", 4),),
    "gap": (records.Gap(1004.5, 1005.5, 6, "sampled", (3, 4)),),
    "gap with defaults": (records.Gap(1004.5, 1005.5, 6, "the disk is slow"),),
    "sealed": (records.SegmentEnd(1006.5, True),),
    "batch of two": (records.ActionRecord(1002.5, "deny", 4, "job-2", ""), records.SegmentEnd(1006.5, False)),
}

CODECS = {
    "members": Codec(
        consensus.encode, consensus.decode_message, MEMBER_MESSAGES, get_args(consensus.Message)
    ),
    "records": Codec(consensus.encode, consensus.decode_record, RECORDS, get_args(consensus.LogRecord)),
    "configuration": Codec(
        msgpack.encode,
        msgpack.Decoder(configuration.VoterMessage).decode,
        VOTER_MESSAGES,
        get_args(configuration.VoterMessage),
    ),
    "feed": Codec(distribution.encode, distribution.decode, RELAY_MESSAGES, get_args(distribution.Message)),
    "pacing": Codec(
        msgpack.encode,
        rolling_restart.decode,
        RESTART_MESSAGES,
        (rolling_restart.MemberState, rolling_restart.RestartRequest),
    ),
    "sharing": Codec(
        msgpack.encode, shared_discovery.decode, DISCOVERY_MESSAGES, get_args(shared_discovery.Message)
    ),
    "tallies": Codec(
        msgpack.encode,
        metrics_export.decode,
        COUNTER_MESSAGES,
        (metrics_export.CountersRequest, metrics_export.CountersResponse),
    ),
    "exports": Codec(
        msgspec_json.encode,
        msgspec_json.Decoder(metrics_export.Export).decode,
        EXPORTS,
        (metrics_export.Export,),
    ),
    "shared servers": Codec(
        msgpack.encode, msgpack.Decoder(WorkerEndpoint).decode, WORKERS, (WorkerEndpoint,)
    ),
    "audit": Codec(records.encode, records.decode, AUDIT_BATCHES, (tuple,)),
}


def encode_samples(codec: Codec) -> dict[str, str]:
    """The encoded samples of a group as hexadecimal digits, by name."""
    return {name: codec.encode(sample).hex() for name, sample in codec.samples.items()}


def encode_record_sample(record: object) -> bytes:
    """A record of a member's log as it is written."""
    return CODECS["records"].encode(record)


def encode_all_samples() -> dict[str, dict[str, str]]:
    """The encoded samples of all groups."""
    return {group: encode_samples(codec) for group, codec in CODECS.items()}


def load_golden(name: str) -> Any:
    """The parsed contents of a golden file."""
    return json.loads((GOLDEN_FOLDER / name).read_text(encoding="utf-8"))
