"""What followers and relays say to each other: one internal form, by msgspec, apart from the voters'. Pure.

One connection carries one follower, or a relay that itself follows. The follower speaks first (`Subscribe`).
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Delta, Version

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = MAX_CONTENTS_BYTES + 64 * 1024  # bytes of a message, its length not counted
NEVER_CONFIRMED_MS = 1 << 40  # `confirmed_ms` of a relay that never knew


class Subscribe(Struct, frozen=True, array_like=True, tag="greeting"):
    """The follower's first message: who it is and what it has in force."""

    form: int
    fleet: str
    name: str
    life: int  # which start; a later one is a higher number
    place: str  # region/zone
    number: int
    digest: str


class SubscribeAccepted(Struct, frozen=True, array_like=True, tag="welcome"):
    """The relay's first message: taken. `ConfigUpdate` or `NotModified` follows at once."""

    form: int
    fleet: str
    relay: str
    most: int  # so many followers it serves
    floor: int = 0  # the highest number that this follower is known to have acknowledged, in any life


class SubscribeRejected(Struct, frozen=True, array_like=True, tag="full"):
    """The relay's first message: not taken, go to another."""

    why: str


class ConfigUpdate(Struct, frozen=True, array_like=True, tag="news"):
    """A decided version with its contents, whole or by difference."""

    version: Version
    confirmed_ms: int
    delta: Delta | None = None
    contents: bytes | None = None


class Poll(Struct, frozen=True, array_like=True, tag="poll"):
    """Is there a newer one? Also the acknowledgement: this is in force, that was refused."""

    number: int
    digest: str
    refused: int = 0  # the version that can't be taken
    why: str = ""


class NotModified(Struct, frozen=True, array_like=True, tag="still"):
    """The newest number the relay has, and how long ago a majority of voters knew no newer one."""

    number: int
    confirmed_ms: int


class FetchFullContents(Struct, frozen=True, array_like=True, tag="fetch"):
    """The whole contents are wanted: a difference did not fit."""

    number: int


class FollowerStatus(Struct, frozen=True, array_like=True):
    """What a relay knows of one follower."""

    name: str
    life: int
    number: int  # in force there when it was heard last
    heard_ms: int  # how long ago that was
    linked: bool
    behind_ms: int = 0  # for how long the relay has had a newer version; 0: it is not behind
    refused: int = 0
    why: str = ""


class StatusReport(Struct, frozen=True, array_like=True, tag="tally"):
    """A relay's word on its followers, upstream to the voters."""

    relay: str
    life: int
    sequence: int
    whole: bool  # else: what has changed since the one before
    number: int  # the newest the relay has
    standings: tuple[FollowerStatus, ...]


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
_said = msgpack.Decoder(Message)


def encode(item: Message) -> bytes:
    """A message as bytes."""
    return _encoder.encode(item)


def decode(data: bytes) -> Message:
    """Read a message; msgspec.DecodeError or ValidationError where it is none."""
    return _said.decode(data)


def tag_of(message: Message) -> str:
    """The tag that names a message on the wire."""
    return str(message.__struct_config__.tag)
