"""Messages between followers and relays, in msgpack. Pure.

One connection carries one follower, or a relay that itself follows; the follower sends the first message,
`Subscribe`. Messages are encoded as arrays, so the order of the fields is part of the protocol.
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Delta, Version

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = MAX_CONTENTS_BYTES + 64 * 1024  # without the length prefix
NEVER_CONFIRMED_MS = 1 << 40  # `confirmed_age_ms` of a relay that a majority never confirmed


class Subscribe(Struct, frozen=True, array_like=True, tag="greeting"):
    """The follower's first message: its identity and the version in force."""

    protocol_version: int
    cluster: str
    name: str
    incarnation: int  # process incarnation: a later start has a higher number
    place: str  # region/zone
    number: int
    digest: str


class SubscribeAccepted(Struct, frozen=True, array_like=True, tag="welcome"):
    """The relay's response to `Subscribe`; `ConfigUpdate` or `NotModified` follows at once."""

    protocol_version: int
    cluster: str
    relay: str
    max_followers: int  # the relay's limit
    acknowledged_number: int = 0  # the highest number that this follower has acknowledged, in any incarnation


class SubscribeRejected(Struct, frozen=True, array_like=True, tag="full"):
    """The relay rejects `Subscribe`; the follower is to use another relay."""

    why: str


class ConfigUpdate(Struct, frozen=True, array_like=True, tag="news"):
    """A decided version with its contents, in full or as a delta; `confirmed_age_ms` as in `NotModified`."""

    version: Version
    confirmed_age_ms: int
    delta: Delta | None = None
    contents: bytes | None = None


class Poll(Struct, frozen=True, array_like=True, tag="poll"):
    """Requests a newer version; acknowledges the version in force and the one refused."""

    number: int
    digest: str
    refused: int = 0  # the number of the version that was refused, 0 for none
    why: str = ""


class NotModified(Struct, frozen=True, array_like=True, tag="still"):
    """The relay's newest number, and how long ago, in ms, a majority of voters had nothing newer."""

    number: int
    confirmed_age_ms: int


class FetchFullContents(Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests full contents after a delta that did not apply."""

    number: int


class FollowerStatus(Struct, frozen=True, array_like=True):
    """The state of one follower at a relay. Ages are in ms at the time of the report."""

    name: str
    incarnation: int
    number: int  # in force, by its last message
    last_message_age_ms: int
    connected: bool
    behind_age_ms: int = 0  # for how long the relay has had a newer version; 0: not behind
    refused: int = 0  # the number of the version that was refused, 0 for none
    why: str = ""


class StatusReport(Struct, frozen=True, array_like=True, tag="tally"):
    """A relay's report on its followers, sent upstream to the voters."""

    relay: str
    incarnation: int
    sequence: int
    is_full: bool  # all followers; else only those changed since the previous report
    number: int  # the newest that the relay has
    statuses: tuple[FollowerStatus, ...]


Message = (
    Subscribe
    | SubscribeAccepted
    | SubscribeRejected
    | ConfigUpdate
    | Poll
    | NotModified
    | FetchFullContents
    | StatusReport
)
_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError, UnicodeDecodeError
        The bytes are not a message.
    """
    return _decoder.decode(data)


def tag_of(message: Message) -> str:
    """Return the tag that names a message on the wire."""
    return str(message.__struct_config__.tag)
