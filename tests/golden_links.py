"""What leaves a connection first, frame by frame, and what of it arrives at the other end."""

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

DISK_SEQUENCE = 98
TOKEN = 345


class RecordingTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    def write(self, data: Any) -> None:
        """Keep some bytes."""
        self.data += data

    def is_closing(self) -> bool:
        """It stays open."""
        return False

    def get_write_buffer_size(self) -> int:
        """All is gone at once."""
        return 0

    def abort(self) -> None:
        """Nothing to end."""


class MemberOwner:
    """One end of a connection between members."""

    def __init__(self) -> None:
        self.items: list[object] = []

    def handshake(self) -> Handshake:
        """The sample of the first message."""
        return cast(Handshake, MEMBER_MESSAGES["hello"])

    def reported_record(self) -> int:
        """The sequence number that stands in each frame's head."""
        return DISK_SEQUENCE

    def on_handshake(self, link: PeerConnection, hello: Handshake) -> str:
        """Keep the first message."""
        self.items.append(hello)
        link.accept_peer("m-1")
        return ""

    def on_message(self, link: PeerConnection, last: int, message: Message) -> None:
        """Keep a message with the number in its frame's head."""
        self.items += [last, message]

    def on_closed(self, link: PeerConnection, why: str) -> None:
        """Keep why it ended."""
        self.items.append(why)


class FeedEnd:
    """One end of a connection between a follower and a relay."""

    def __init__(self) -> None:
        self.items: list[object] = []

    def on_connected(self, link: RelayConnection) -> None:
        """Nothing is said unasked."""

    def on_message(self, link: RelayConnection, message: RelayMessage) -> None:
        """Keep a message."""
        self.items.append(message)

    def on_closed(self, link: RelayConnection, why: str) -> None:
        """Keep why it ended."""
        self.items.append(why)


def first_bytes() -> dict[str, str]:
    """Two frames of each kind of connection, as hexadecimal digits."""
    loop = asyncio.new_event_loop()
    member, feed = RecordingTransport(), RecordingTransport()
    link = PeerConnection(loop, MemberOwner())
    link.connection_made(member)
    link.send(cast(Message, MEMBER_MESSAGES["prepare"]))
    feed_link = RelayConnection(loop, FeedEnd(), 1, Traffic())
    feed_link.connection_made(feed)
    feed_link.write(encode(cast(RelayMessage, RELAY_MESSAGES["greeting"])))
    feed_link.write(encode(cast(RelayMessage, RELAY_MESSAGES["poll"])))
    loop.close()
    return {"member": member.data.hex(), "feed": feed.data.hex()}


def received(frames: dict[str, str]) -> dict[str, list[object]]:
    """What each kind of connection reads of bytes that come in two pieces."""
    loop = asyncio.new_event_loop()
    member, feed = MemberOwner(), FeedEnd()
    links: dict[str, FramedConnection] = {
        "member": PeerConnection(loop, member),
        "feed": RelayConnection(loop, feed, 1, Traffic()),
    }
    for name, link in links.items():
        data = bytes.fromhex(frames[name])
        link.connection_made(RecordingTransport())
        link.data_received(data[:17])
        link.data_received(data[17:])
    loop.close()
    return {"member": member.items, "feed": feed.items}


def export_request() -> str:
    """The request by which the holder of the task exports tallies, head and body."""
    owner = MagicMock()
    owner.node.valid_token.return_value = TOKEN
    owner.config = MetricsExportConfig(("10.0.0.9", 9009), "/tallies", 5.0)
    request = ExportRequest(owner, cast(Any, EXPORTS["export"])).on_connection_ready()
    assert request is not None
    return request.decode()
