"""The first frames that each kind of connection sends, and what the other end reads of them."""

from __future__ import annotations

import asyncio
from typing import Any, cast
from unittest.mock import MagicMock

from grebestack.cluster_io.framing import FramedConnection, Traffic
from grebestack.cluster_io.peer_connection import PeerConnection
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.config_distribution.messages import Message as RelayMessage
from grebestack.config_distribution.messages import encode
from grebestack.consensus.messages import Handshake, Message
from grebestack.program.config.model import MetricsExportConfig
from grebestack.program.metrics_exporter import ExportRequest
from tests.golden_samples import EXPORTS, MEMBER_MESSAGES, RELAY_MESSAGES

REPORTED_RECORD = 98
FENCING_TOKEN = 345


class RecordingTransport(asyncio.Transport):
    """Records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    def write(self, data: Any) -> None:
        """Record some bytes."""
        self.data += data

    def is_closing(self) -> bool:
        """It never closes."""
        return False

    def get_write_buffer_size(self) -> int:
        """All bytes are sent at once."""
        return 0

    def abort(self) -> None:
        """Do nothing."""


class MemberOwner:
    """One end of a connection between members."""

    def __init__(self) -> None:
        self.items: list[object] = []

    def handshake(self) -> Handshake:
        """The sample of the first message."""
        return cast(Handshake, MEMBER_MESSAGES["hello"])

    def reported_record(self) -> int:
        """The record number in each frame's header."""
        return REPORTED_RECORD

    def on_handshake(self, connection: PeerConnection, handshake: Handshake) -> str:
        """Record the first message."""
        self.items.append(handshake)
        connection.accept_peer("m-1")
        return ""

    def on_message(self, connection: PeerConnection, last_record: int, message: Message) -> None:
        """Record a message with the record number of its frame's header."""
        self.items += [last_record, message]

    def on_closed(self, connection: PeerConnection, reason: str) -> None:
        """Record why it was closed."""
        self.items.append(reason)


class RelayOwner:
    """One end of a connection between a follower and a relay."""

    def __init__(self) -> None:
        self.items: list[object] = []

    def on_connected(self, connection: RelayConnection) -> None:
        """Send nothing."""

    def on_message(self, connection: RelayConnection, message: RelayMessage) -> None:
        """Record a message."""
        self.items.append(message)

    def on_closed(self, connection: RelayConnection, reason: str) -> None:
        """Record why it was closed."""
        self.items.append(reason)


def first_bytes() -> dict[str, str]:
    """Two frames of each kind of connection, as hexadecimal digits."""
    loop = asyncio.new_event_loop()
    member_transport, relay_transport = RecordingTransport(), RecordingTransport()
    connection = PeerConnection(loop, MemberOwner())
    connection.connection_made(member_transport)
    connection.send(cast(Message, MEMBER_MESSAGES["prepare"]))
    relay_connection = RelayConnection(loop, RelayOwner(), 1, Traffic())
    relay_connection.connection_made(relay_transport)
    relay_connection.write(encode(cast(RelayMessage, RELAY_MESSAGES["greeting"])))
    relay_connection.write(encode(cast(RelayMessage, RELAY_MESSAGES["poll"])))
    loop.close()
    return {"member": member_transport.data.hex(), "feed": relay_transport.data.hex()}


def received(frames: dict[str, str]) -> dict[str, list[object]]:
    """What each kind of connection reads when the bytes arrive in two pieces."""
    loop = asyncio.new_event_loop()
    member, relay = MemberOwner(), RelayOwner()
    connections: dict[str, FramedConnection] = {
        "member": PeerConnection(loop, member),
        "feed": RelayConnection(loop, relay, 1, Traffic()),
    }
    for name, connection in connections.items():
        data = bytes.fromhex(frames[name])
        connection.connection_made(RecordingTransport())
        connection.data_received(data[:17])
        connection.data_received(data[17:])
    loop.close()
    return {"member": member.items, "feed": relay.items}


def export_request() -> str:
    """The request with which the holder of the task exports the metrics, head and body."""
    owner = MagicMock()
    owner.node.valid_token.return_value = FENCING_TOKEN
    owner.config = MetricsExportConfig(("10.0.0.9", 9009), "/tallies", 5.0)
    request = ExportRequest(owner, cast(Any, EXPORTS["export"])).on_connection_ready()
    assert request is not None
    return request.decode()
