"""What comes over a connection, and what stands in the file: wrong input is named, memory stays bounded."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.cluster_io.peer_connection import HEADER, MAX_QUEUED_BYTES, PeerConnection
from grebestack.consensus.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Handshake,
    Heartbeat,
    Message,
    TaskMessage,
    encode,
)
from grebestack.program.config.errors import ConfigError
from grebestack.program.config.operator_file import from_file
from tests.standins import OPERATOR_SETTINGS

HELLO = Handshake(PROTOCOL_VERSION, "f", "b", "1", 1, 1, {})


class Wire:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.written, self.aborted, self.unread = b"", False, 0

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unread

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class Loop:
    """Nothing is called later."""

    def call_later(self, *_: Any) -> Any:
        return self

    def cancel(self) -> None:
        return


class Owner:
    """Whoever the connection belongs to."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.reason = ""

    def handshake(self) -> Handshake:
        return HELLO

    def reported_record(self) -> int:
        return 7

    def on_handshake(self, connection: PeerConnection, handshake: Handshake) -> str:
        connection.accept_peer(handshake.name)
        return "" if handshake.cluster == "f" else "another fleet"

    def on_message(self, connection: PeerConnection, last_record: int, message: Message) -> None:
        assert last_record == 7
        self.messages.append(message)

    def on_closed(self, connection: PeerConnection, reason: str) -> None:
        self.reason = reason


def connected() -> tuple[PeerConnection, Owner, Wire]:
    owner, wire = Owner(), Wire()
    connection = PeerConnection(cast(asyncio.AbstractEventLoop, Loop()), owner)
    connection.connection_made(cast(asyncio.Transport, wire))
    return connection, owner, wire


def framed(*items: Message) -> bytes:
    return b"".join(HEADER.pack(len(encode(item)), 7) + encode(item) for item in items)


@given(chance=st.randoms(), count=st.integers(0, 5))
def test_messages_are_the_same_however_they_are_cut(chance: random.Random, count: int) -> None:
    connection, owner, wire = connected()
    said: list[Message] = [TaskMessage("t", chance.randbytes(chance.randrange(300))) for _ in range(count)]
    data = framed(HELLO, *said)
    while data:
        size = chance.randint(1, len(data))
        connection.data_received(data[:size])
        data = data[size:]
    assert owner.messages == said and not wire.aborted and not connection.unparsed


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (HEADER.pack(MAX_MESSAGE_BYTES + 1, 0), "allowed: 1048576"),
        (framed(Heartbeat()), "did not say who it is first"),
        (HEADER.pack(3, 0) + b"\xc1\xc1\xc1", f"no message of version {PROTOCOL_VERSION}"),
        (framed(Handshake(PROTOCOL_VERSION, "g", "b", "1", 1, 1, {})), "another fleet"),
    ],
)
def test_what_can_not_be_read_ends_the_link_and_says_why(data: bytes, why: str) -> None:
    connection, owner, wire = connected()
    connection.data_received(data)
    assert wire.aborted and why in connection.close_reason
    connection.connection_lost(None)
    assert why in owner.reason


def test_a_member_that_does_not_read_is_cut_off() -> None:
    connection, _, wire = connected()
    wire.unread = MAX_QUEUED_BYTES
    written = len(wire.written)
    connection.send(Heartbeat())
    assert wire.aborted and len(wire.written) == written and connection.close_reason == "it does not read"


@pytest.mark.parametrize(
    ("fleet", "says"),
    [
        ('[fleet]\n[fleet.members]\nb = "h:1"\n', "must name this dispatcher, 'a'; it has b"),
        ('[fleet]\n[fleet.members]\na = "h:1"\nb = "h:1"\n', "an address of its own"),
        ('[fleet]\n[fleet.members]\na = "nowhere"\n', "[fleet] addresses must be HOST:PORT"),
        ('[fleet]\nterms = 3\n[fleet.members]\na = "h:1"\n', "[fleet] has the unknown key 'terms'"),
        ('[fleet]\nterm_s = 0.1\n[fleet.members]\na = "h:1"\n', "term_s must be a number from 0.5 to 3600"),
        ('[fleet]\nguard_ms = 900\nterm_s = 2\n[fleet.members]\na = "h:1"\n', "guard_ms must be a number"),
        ('[fleet]\nshare_servers = 1\n[fleet.members]\na = "h:1"\n', "share_servers must be true or false"),
        (
            '[fleet]\n[fleet.members]\na = "h:1"\n[fleet.tallies]\ncollector = "h:2"\npath = "x"\n',
            "[fleet.tallies] path must begin with /",
        ),
    ],
)
def test_a_wrong_fleet_in_the_file_names_the_field_and_what_is_allowed(
    tmp_path: Path, fleet: str, says: str
) -> None:
    path = tmp_path / "a.toml"
    head = 'name = "a"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
    path.write_text(f"{head}{fleet}{OPERATOR_SETTINGS}")
    with pytest.raises(ConfigError) as error:
        from_file(str(path))
    assert says in str(error.value)
