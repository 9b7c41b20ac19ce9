"""Messages between configuration voters, in msgpack. Pure."""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.config_distribution.messages import StatusReport
from grebestack.config_distribution.versions import Version


class Heartbeat(Struct, frozen=True, array_like=True, tag="beat"):
    """Requests a `HeartbeatResponse`; carries the sender's accepted number and newest decided version."""

    sequence: int
    epoch: int
    accepted: int  # as in `VoterView`
    decided: Version


class HeartbeatResponse(Struct, frozen=True, array_like=True, tag="echo"):
    """The response to the heartbeat with this sequence number."""

    sequence: int
    epoch: int
    accepted: int  # as in `VoterView`
    decided: Version


class Propose(Struct, frozen=True, array_like=True, tag="propose"):
    """Requests that these contents be stored and acknowledged: they may be decided next."""

    digest: str
    contents: bytes


class StoreAck(Struct, frozen=True, array_like=True, tag="kept"):
    """Acknowledges that the contents are on the sender's disk."""

    digest: str


class FetchContents(Struct, frozen=True, array_like=True, tag="want"):
    """Requests contents."""

    digest: str


class Contents(Struct, frozen=True, array_like=True, tag="have"):
    """The response to `FetchContents`."""

    digest: str
    contents: bytes


VoterMessage = Heartbeat | HeartbeatResponse | Propose | StoreAck | FetchContents | Contents | StatusReport
_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(VoterMessage)


def encode(message: VoterMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(body: bytes) -> VoterMessage:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError, UnicodeDecodeError
        The bytes are not a voter's message.
    """
    return _decoder.decode(body)
