"""Versions and deltas: valid deltas give the contents, corrupted ones are refused with the field's name."""

from __future__ import annotations

import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import DecodeError, structs

from grebestack.config_distribution.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    ConfigUpdate,
    FetchFullContents,
    FollowerStatus,
    Message,
    NotModified,
    Poll,
    StatusReport,
    Subscribe,
    SubscribeAccepted,
    SubscribeRejected,
    decode,
    encode,
)
from grebestack.config_distribution.versions import (
    MAX_CONTENTS_BYTES,
    NO_VERSION,
    Delta,
    Version,
    apply_delta,
    contents_problem,
    delta_between,
    digest_of,
    version_problem,
)
from grebestack.consensus.messages import RegisterWritten, decode_record
from grebestack.consensus.messages import encode as encoded
from grebestack.consensus.register import Ballot


def version_of(contents: bytes, number: int = 1) -> Version:
    return Version(number, digest_of(contents), len(contents), "v1", 1_700_000_000_000)


parts = st.binary(max_size=60)
byte_strings = st.lists(parts, max_size=6).map(b"".join)


@settings(max_examples=300)
@given(start=byte_strings, old=byte_strings, new=byte_strings, end=byte_strings)
def test_a_delta_leads_from_the_old_contents_to_the_new(
    start: bytes, old: bytes, new: bytes, end: bytes
) -> None:
    before, after = start + old + end, start + new + end
    delta = delta_between(before, after)
    assert apply_delta(before, delta, version_of(after)) == after
    common = delta.prefix + delta.suffix
    assert common >= min(len(before), len(after), len(start) + len(end))


def test_the_delta_of_a_small_change_of_large_contents_is_small() -> None:
    before = random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    after = before[:200_000] + b"weight = 3" + before[200_010:]
    delta = delta_between(before, after)
    assert len(delta.middle) < 40 and apply_delta(before, delta, version_of(after)) == after


BEFORE, AFTER = b"servers = 1\n" * 20, b"servers = 1\n" * 10 + b"servers = 2\n" + b"servers = 1\n" * 9
DELTA = delta_between(BEFORE, AFTER)
VALID = version_of(AFTER)


@pytest.mark.parametrize(
    ("delta", "version", "field"),
    [
        (structs.replace(DELTA, base="0" * 64), VALID, "base"),
        (structs.replace(DELTA, prefix=-1), VALID, "prefix"),
        (structs.replace(DELTA, suffix=-1), VALID, "suffix"),
        (structs.replace(DELTA, suffix=10_000), VALID, "suffix"),
        (structs.replace(DELTA, prefix=DELTA.prefix + 1), VALID, "middle"),
        (structs.replace(DELTA, middle=DELTA.middle[:-2]), VALID, "middle"),
        (structs.replace(DELTA, middle=DELTA.middle + b"x"), VALID, "middle"),
        (structs.replace(DELTA, middle=b"no zlib"), VALID, "middle"),
        (structs.replace(DELTA, middle=zlib.compress(bytes(10_000_000))), VALID, "middle"),
        (
            structs.replace(DELTA, middle=zlib.compress(b"3" * len(zlib.decompress(DELTA.middle)))),
            VALID,
            "digest",
        ),
        (DELTA, structs.replace(VALID, digest="0" * 64), "digest"),
        (DELTA, structs.replace(VALID, digest="short"), "digest"),
        (DELTA, structs.replace(VALID, size=VALID.size + 1), "middle"),
        (DELTA, structs.replace(VALID, size=MAX_CONTENTS_BYTES + 1), "size"),
        (DELTA, structs.replace(VALID, number=0), "number"),
    ],
)
def test_an_invalid_delta_is_refused_with_the_field_that_is_invalid(
    delta: Delta, version: Version, field: str
) -> None:
    with pytest.raises(ValueError, match=rf"^{field} is .*; allowed: "):
        apply_delta(BEFORE, delta, version)


@given(place=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_in_a_delta_never_gives_other_contents(place: int, bit: int) -> None:
    corrupted = bytearray(DELTA.middle)
    corrupted[place % len(corrupted)] ^= 1 << bit
    try:
        assert apply_delta(BEFORE, structs.replace(DELTA, middle=bytes(corrupted)), VALID) == AFTER
    except ValueError as error:
        assert "; allowed: " in str(error)


def test_contents_are_checked_by_number_digest_and_size() -> None:
    assert contents_problem(VALID, AFTER) == ""
    assert (
        contents_problem(VALID, AFTER[:-1]) == f"size is {len(AFTER) - 1}; allowed: {len(AFTER)} in version 1"
    )
    assert contents_problem(VALID, BEFORE[: len(AFTER)]).startswith("digest is ")
    assert version_problem(NO_VERSION) == "number is 0; allowed: 1 and more"
    assert version_problem(structs.replace(VALID, digest=VALID.digest.upper())).startswith("digest is ")


@pytest.mark.parametrize(
    "item",
    [
        Subscribe(PROTOCOL_VERSION, "f", "d1", 3, "r/z", 7, VALID.digest),
        SubscribeAccepted(PROTOCOL_VERSION, "f", "v1", 2048, 7),
        SubscribeRejected("2048 followers"),
        ConfigUpdate(VALID, 1200, DELTA),
        ConfigUpdate(VALID, 1200, None, AFTER),
        Poll(7, VALID.digest, 8, "servers is 3"),
        NotModified(7, 900),
        FetchFullContents(7),
        StatusReport("v1", 3, 1, True, 7, (FollowerStatus("d1", 3, 7, 200, True, 0, 8, "why"),)),
    ],
)
def test_messages_of_followers_and_relays_are_decoded_unchanged(item: Message) -> None:
    assert decode(encode(item)) == item


def test_invalid_bytes_are_an_error_and_the_largest_update_fits() -> None:
    with pytest.raises(DecodeError):
        decode(b"\xc1")
    with pytest.raises(DecodeError):
        decode(encode(NotModified(7, 900))[:-1])
    data = random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    assert len(encode(ConfigUpdate(version_of(data), 0, None, data))) < MAX_MESSAGE_BYTES


def test_a_version_can_be_the_value_of_a_register() -> None:
    record = RegisterWritten(("configuration", Ballot(3, "v1", 1), Ballot(3, "v1", 1), VALID))
    assert decode_record(encoded(record)) == record and hash(VALID) == hash(version_of(AFTER))
