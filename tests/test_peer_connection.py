"""Connections between members, and the [fleet] section: invalid input is named, memory stays bounded."""

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

HANDSHAKE = Handshake(PROTOCOL_VERSION, "f", "b", "1", 1, 1, {})


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written, self.aborted, self.buffered_bytes = b"", False, 0

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class FakeLoop:
    """An event loop whose timers never fire."""

    def call_later(self, *_: Any) -> Any:
        return self

    def cancel(self) -> None:
        return


class Owner:
    """The owner of a connection."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.reason = ""

    def handshake(self) -> Handshake:
        return HANDSHAKE

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


def connected() -> tuple[PeerConnection, Owner, FakeTransport]:
    owner, transport = Owner(), FakeTransport()
    connection = PeerConnection(cast(asyncio.AbstractEventLoop, FakeLoop()), owner)
    connection.connection_made(cast(asyncio.Transport, transport))
    return connection, owner, transport


def framed(*items: Message) -> bytes:
    return b"".join(HEADER.pack(len(encode(item)), 7) + encode(item) for item in items)


@given(rng=st.randoms(), count=st.integers(0, 5))
def test_messages_are_decoded_however_the_bytes_are_split(rng: random.Random, count: int) -> None:
    connection, owner, transport = connected()
    sent: list[Message] = [TaskMessage("t", rng.randbytes(rng.randrange(300))) for _ in range(count)]
    data = framed(HANDSHAKE, *sent)
    while data:
        size = rng.randint(1, len(data))
        connection.data_received(data[:size])
        data = data[size:]
    assert owner.messages == sent and not transport.aborted and not connection.unparsed


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (HEADER.pack(MAX_MESSAGE_BYTES + 1, 0), "allowed: 1048576"),
        (framed(Heartbeat()), "its first message is not a handshake"),
        (HEADER.pack(3, 0) + b"\xc1\xc1\xc1", f"not a message of protocol version {PROTOCOL_VERSION}"),
        (framed(Handshake(PROTOCOL_VERSION, "g", "b", "1", 1, 1, {})), "another fleet"),
    ],
)
def test_invalid_data_closes_the_connection_with_the_reason(data: bytes, reason: str) -> None:
    connection, owner, transport = connected()
    connection.data_received(data)
    assert transport.aborted and reason in connection.close_reason
    connection.connection_lost(None)
    assert reason in owner.reason


def test_a_member_that_does_not_read_is_disconnected() -> None:
    connection, _, transport = connected()
    transport.buffered_bytes = MAX_QUEUED_BYTES
    written = len(transport.written)
    connection.send(Heartbeat())
    assert (
        transport.aborted
        and len(transport.written) == written
        and connection.close_reason == "it does not read"
    )


@pytest.mark.parametrize(
    ("fleet", "message"),
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
def test_an_invalid_fleet_section_is_refused_with_the_field_and_what_is_allowed(
    tmp_path: Path, fleet: str, message: str
) -> None:
    path = tmp_path / "a.toml"
    head = 'name = "a"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
    path.write_text(f"{head}{fleet}{OPERATOR_SETTINGS}")
    with pytest.raises(ConfigError) as error:
        from_file(str(path))
    assert message in str(error.value)
