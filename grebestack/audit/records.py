"""The format of the audit log: segments of batches of items, encoded by msgspec. The format has a version.

A segment begins with a `SegmentHeader`, which defines the version set in force: it can be read without the
segment before it. Actions that are not recorded are counted in a `Gap`, with their time span and the reason.
A segment without a `SegmentEnd` that is not the last one has lost its end.
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.audit.version_sets import VersionSet

FORMAT_VERSION = 1
OPERATOR_ACTION = "operator"  # the kind of actions that operators take


class SegmentHeader(Struct, frozen=True, array_like=True, tag="head"):
    """The first item of a segment. Times are Unix time in milliseconds, by this dispatcher's clock."""

    version: int  # of the format
    dispatcher: str
    life: str  # the process incarnation: a random name, another one after each restart
    segment: int  # counted on over restarts
    at_ms: float
    off_ms: float  # the clock's maximum error, as the operator has configured it
    stamp: int  # the number of the version set
    versions: VersionSet


class VersionsChanged(Struct, frozen=True, array_like=True, tag="turned"):
    """Another version set is in force from now on."""

    at_ms: float
    stamp: int  # the number of the version set
    versions: VersionSet


class ActionRecord(Struct, frozen=True, array_like=True, tag="act"):
    """An action of the dispatcher or of an operator."""

    at_ms: float
    what: str  # its kind: send, retry, cancel, deny, fail, operator
    stamp: int  # the number of the version set it was taken under
    call: str = ""  # the job's call id, or the operator's command
    server: str = ""  # the worker, or the target of the operator's command


class Gap(Struct, frozen=True, array_like=True, tag="gap"):
    """Actions that are not recorded."""

    from_ms: float
    to_ms: float
    acts: int  # how many
    why: str
    stamps: tuple[int, ...] = ()  # numbers of the version sets they were taken under; empty: unknown


class SegmentEnd(Struct, frozen=True, array_like=True, tag="sealed"):
    """The last item of a segment that was closed properly."""

    at_ms: float
    stop: bool  # the dispatcher has stopped; otherwise another segment follows


Item = SegmentHeader | VersionsChanged | ActionRecord | Gap | SegmentEnd
_decoder = msgpack.Decoder(tuple[Item, ...])
_encoder = msgpack.Encoder()


def encode(items: tuple[Item, ...]) -> bytes:
    """Encode a batch."""
    return _encoder.encode(items)


def decode(data: bytes) -> tuple[Item, ...]:
    """Decode a batch. msgspec.DecodeError, which includes ValidationError: it is malformed."""
    return _decoder.decode(data)
