"""The form of the record of acts: segments of frames, each frame a batch of items. By msgspec, versioned.

A segment begins with a `Head` and says which stamp holds; it can be read without the one before. What is
not in the record is in it as a `Gap`: how many acts, from when to when, why. A segment that was not sealed,
and is not the last, lost its end.
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.audit.version_sets import VersionSet

FORMAT_VERSION = 1
OPERATOR_ACTION = "operator"  # the kind of acts that people do


class SegmentHeader(Struct, frozen=True, array_like=True, tag="head"):
    """The first item of a segment. Times are Unix time in milliseconds, by this dispatcher's clock."""

    version: int
    dispatcher: str
    life: str  # drawn at the start: a restart is another
    segment: int  # numbers go up by one over all lives
    at_ms: float
    off_ms: float  # the clock is at most so far from true, says the operator
    stamp: int
    versions: VersionSet


class VersionsChanged(Struct, frozen=True, array_like=True, tag="turned"):
    """From now on this stamp holds here."""

    at_ms: float
    stamp: int
    versions: VersionSet


class ActionRecord(Struct, frozen=True, array_like=True, tag="act"):
    """Something was done."""

    at_ms: float
    what: str  # send, retry, cancel, deny, fail, operator
    stamp: int
    call: str = ""  # the id of the job, or what an operator said
    server: str = ""


class Gap(Struct, frozen=True, array_like=True, tag="gap"):
    """Acts that are not written down."""

    from_ms: float
    to_ms: float
    acts: int
    why: str
    stamps: tuple[int, ...] = ()  # under which of them; empty: not known


class SegmentEnd(Struct, frozen=True, array_like=True, tag="sealed"):
    """The last item of a segment that was ended in order."""

    at_ms: float
    stop: bool  # the dispatcher stopped; else another segment follows


Item = SegmentHeader | VersionsChanged | ActionRecord | Gap | SegmentEnd
_decoder = msgpack.Decoder(tuple[Item, ...])
_encoder = msgpack.Encoder()


def encode(items: tuple[Item, ...]) -> bytes:
    """A batch as bytes."""
    return _encoder.encode(items)


def decode(data: bytes) -> tuple[Item, ...]:
    """Read a batch; msgspec.DecodeError or ValidationError where it is none."""
    return _decoder.decode(data)
