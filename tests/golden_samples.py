"""One sample or more of each message and record, built positionally, with the codec that it goes through."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args

from msgspec import json as msgspec_json
from msgspec import msgpack

from grebestack.audit import acts
from grebestack.audit.stamps import Stamp
from grebestack.core.interface import WorkerEntry, WorkerState
from grebestack.fleet import configuration, feed, messages, pacing, sharing, tallies
from grebestack.fleet.lease import Lease
from grebestack.fleet.register import Ballot
from grebestack.fleet.versions import Delta, Version
from grebestack.routing.table import Server

FOLDER = Path(__file__).resolve().parent / "golden"

BALLOT = Ballot(71, "m-2", 3)
ACCEPTED = Ballot(64, "m-3", 5)
LEASE = Lease("m-1", 12, 345, 67)
ROLL = messages.Roll(9, (("m-1", "inc-1"), ("m-2", "inc-2"), ("m-3", "inc-3")))
PLAN = messages.Plan(4, "m-1", ("m-1", "m-2", "m-3"), ("m-2",), "m-3", 8, "goes on", "m-3 is awaited")
DIGEST = "ab" * 32
VERSION = Version(17, DIGEST, 1234, "m-2", 1_700_000_000_123)
SLOTS = (
    ("task/servers", BALLOT, ACCEPTED, LEASE),
    ("plan/restart", BALLOT, ACCEPTED, PLAN),
    ("configuration", BALLOT, ACCEPTED, VERSION),
    ("set", BALLOT, ACCEPTED, ROLL),
    ("empty", Ballot(), Ballot(), None),
)
STAMP = Stamp("0.1.0", "5e771465", "consul", 2, 31, "ba45", 9)
ENTRY = WorkerEntry("runner-1", 2, 3, 4, WorkerState.DRAINING, 5.5, 6000.25, True)
SERVER = Server(ENTRY, ("10.0.0.7", 8007), "uid-1", "an operator's ban")


@dataclass(frozen=True, slots=True)
class Codec:
    """How the samples of one group become bytes and come back, and which types the group must have."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]
    samples: Mapping[str, object]
    types: tuple[type, ...]


MEMBER = {
    "hello": messages.Hello(
        2, "fleet-a", "m-1", "inc-1", 11, 9, {"m-2": ("inc-2", 21), "m-3": ("inc-3", 22)}
    ),
    "hello of a member that knows nobody": messages.Hello(2, "fleet-a", "m-1", "inc-1", 1, 0, {}),
    "ping": messages.Ping("m-3"),
    "ping with defaults": messages.Ping(),
    "pong": messages.Pong("m-2"),
    "pong with defaults": messages.Pong(),
    "prepare": messages.Prepare(9, "task/servers", BALLOT),
    "accept of a lease": messages.Accept(9, "task/servers", BALLOT, LEASE),
    "accept of a lease with defaults": messages.Accept(9, "task/servers", BALLOT, Lease()),
    "accept of a roll": messages.Accept(9, "set", BALLOT, ROLL),
    "accept of a roll with defaults": messages.Accept(9, "set", BALLOT, messages.Roll()),
    "accept of a plan": messages.Accept(9, "plan/restart", BALLOT, PLAN),
    "accept of a plan with defaults": messages.Accept(
        9, "plan/restart", BALLOT, messages.Plan(1, "m-1", ("m-1", "m-2"))
    ),
    "accept of a version": messages.Accept(9, "configuration", BALLOT, VERSION),
    "accept of nothing": messages.Accept(9, "empty", BALLOT, None),
    "promise": messages.Promise(9, "task/servers", BALLOT, ACCEPTED, LEASE),
    "promise of nothing": messages.Promise(9, "empty", BALLOT, Ballot(), None),
    "taken": messages.Taken(9, "task/servers", BALLOT),
    "refuse": messages.Refuse(9, "task/servers", ACCEPTED, BALLOT),
    "admit": messages.Admit("m-4", "inc-4"),
    "seal": messages.Seal(8, ROLL),
    "sealed": messages.Sealed(8, SLOTS),
    "sealed with no slots": messages.Sealed(8, ()),
    "enter": messages.Enter(ROLL, SLOTS),
    "enter with defaults": messages.Enter(messages.Roll(), ()),
    "behind": messages.Behind(7),
    "word": messages.Word("servers", b"\x00body\xff"),
}
RECORDS = {
    "born": messages.Born("fleet-a", "inc-1", ROLL),
    "born outside of a set": messages.Born("fleet-a", "inc-1", messages.Roll()),
    "began": messages.Began(13),
    "kept lease": messages.Kept(SLOTS[0]),
    "kept plan": messages.Kept(SLOTS[1]),
    "kept version": messages.Kept(SLOTS[2]),
    "kept roll": messages.Kept(SLOTS[3]),
    "kept nothing": messages.Kept(SLOTS[4]),
    "ended": messages.Ended(ROLL),
    "entered": messages.Entered(ROLL, SLOTS),
    "entered with defaults": messages.Entered(messages.Roll(), ()),
}
STANDING = feed.Standing("d-1", 14, 16, 250, True, 350, 15, "names no class")
TALLY = feed.Tally("m-2", 3, 41, True, 17, (STANDING, feed.Standing("d-2", 1, 17, 0, False)))
CONFIGURATION = {
    "beat": configuration.Beat(31, 9, 17, VERSION),
    "beat that knows no version": configuration.Beat(1, 9, -1, Version(0, "", 0, "", 0)),
    "echo": configuration.Echo(31, 9, 16, VERSION),
    "propose": configuration.Propose(DIGEST, b"[settings]\n"),
    "kept": configuration.Kept(DIGEST),
    "want": configuration.Want(DIGEST),
    "have": configuration.Have(DIGEST, b"[servers]\n"),
    "tally": TALLY,
}
FEED = {
    "greeting": feed.Greeting(1, "fleet-a", "d-1", 14, "east/e1", 16, DIGEST),
    "welcome": feed.Welcome(1, "fleet-a", "m-2", 500, 15),
    "welcome with defaults": feed.Welcome(1, "fleet-a", "m-2", 500),
    "full": feed.Full("500 followers; allowed: 500"),
    "news by difference": feed.News(VERSION, 120, Delta(DIGEST, 10, 20, b"\x78\x01middle"), None),
    "news with contents": feed.News(VERSION, 120, None, b"[settings]\n"),
    "news with defaults": feed.News(VERSION, 120),
    "poll": feed.Poll(16, DIGEST, 17, "names no class"),
    "poll with defaults": feed.Poll(16, DIGEST),
    "still": feed.Still(17, 130),
    "still of a relay that never knew": feed.Still(0, feed.NEVER_MS),
    "fetch": feed.Fetch(17),
    "tally": TALLY,
    "tally with no standings": feed.Tally("m-2", 3, 42, False, 17, ()),
}
PACING = {"state": pacing.State(8, True), "go": pacing.Go(4, 345, 7)}
LINES = (sharing.Line("runner-1", b"rest"), sharing.Line("runner-2", b""))
SHARING = {
    "beat": sharing.Beat(345, 12, True),
    "part": sharing.Part(345, 12, 1, True, 2, 3, LINES, True),
    "part with defaults": sharing.Part(345, 12, 0, False, 1, 1, ()),
    "part of a whole list": sharing.Part(345, 12, 0, True, 1, 1, LINES),
    "again": sharing.Again(),
}
TALLIES = {
    "ask": tallies.Ask(77),
    "counts": tallies.Counts(77, 8, {"sessions": 11, "ok": 10}),
    "counts of nothing": tallies.Counts(77, 8, {}),
}
EXPORTS = {
    "export": tallies.Export(
        "fleet-a", "tallies", "m-1", 345, 77, {"ok": 30}, {"m-1": {"ok": 10}, "m-2": {"ok": 20}}, ["m-3"]
    ),
}
SERVERS = {
    "server": SERVER,
    "server with defaults": Server(WorkerEntry("runner-2"), ("10.0.0.8", 8008)),
}
BATCHES = {
    "head": (acts.Head(1, "d-1", "f00d", 12, 1000.5, 100.25, 3, STAMP),),
    "head with a stamp of defaults": (acts.Head(1, "d-1", "f00d", 12, 1000.5, 100.25, 1, Stamp()),),
    "turned": (acts.Turned(1001.5, 4, STAMP),),
    "act": (acts.Act(1002.5, "send", 4, "job-1", "runner-1"),),
    "act with defaults": (acts.Act(1003.5, "operator", 4),),
    "gap": (acts.Gap(1004.5, 1005.5, 6, "sampled", (3, 4)),),
    "gap with defaults": (acts.Gap(1004.5, 1005.5, 6, "the disk is slow"),),
    "sealed": (acts.Sealed(1006.5, True),),
    "batch of two": (acts.Act(1002.5, "deny", 4, "job-2", ""), acts.Sealed(1006.5, False)),
}

CODECS = {
    "members": Codec(messages.encode, messages.message, MEMBER, get_args(messages.Message)),
    "records": Codec(messages.encode, messages.record, RECORDS, get_args(messages.Record)),
    "configuration": Codec(
        msgpack.encode,
        msgpack.Decoder(configuration.Word).decode,
        CONFIGURATION,
        get_args(configuration.Word),
    ),
    "feed": Codec(feed.encode, feed.decode, FEED, get_args(feed.Said)),
    "pacing": Codec(msgpack.encode, pacing.said, PACING, (pacing.State, pacing.Go)),
    "sharing": Codec(msgpack.encode, sharing.said, SHARING, get_args(sharing.Said)),
    "tallies": Codec(msgpack.encode, tallies.word, TALLIES, (tallies.Ask, tallies.Counts)),
    "exports": Codec(
        msgspec_json.encode, msgspec_json.Decoder(tallies.Export).decode, EXPORTS, (tallies.Export,)
    ),
    "shared servers": Codec(msgpack.encode, msgpack.Decoder(Server).decode, SERVERS, (Server,)),
    "audit": Codec(acts.encode, acts.decode, BATCHES, (tuple,)),
}


def encoded(codec: Codec) -> dict[str, str]:
    """The samples of a group as hexadecimal digits, by name."""
    return {name: codec.encode(sample).hex() for name, sample in codec.samples.items()}


def encoded_record(record: object) -> bytes:
    """A record of a member as it is written."""
    return CODECS["records"].encode(record)


def all_encoded() -> dict[str, dict[str, str]]:
    """The samples of all groups."""
    return {group: encoded(codec) for group, codec in CODECS.items()}


def load(name: str) -> Any:
    """A golden file."""
    return json.loads((FOLDER / name).read_text(encoding="utf-8"))
