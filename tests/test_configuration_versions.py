"""Versions by digest and by difference: what fits comes out, what is spoilt is refused by name."""

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


pieces = st.binary(max_size=60)
texts = st.lists(pieces, max_size=6).map(b"".join)


@settings(max_examples=300)
@given(start=texts, old=texts, new=texts, end=texts)
def test_a_difference_leads_from_the_old_contents_to_the_new(
    start: bytes, old: bytes, new: bytes, end: bytes
) -> None:
    before, after = start + old + end, start + new + end
    delta = delta_between(before, after)
    assert apply_delta(before, delta, version_of(after)) == after
    kept = delta.prefix + delta.suffix
    assert kept >= min(len(before), len(after), len(start) + len(end))


def test_a_small_change_of_large_contents_is_small() -> None:
    before = random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    after = before[:200_000] + b"weight = 3" + before[200_010:]
    delta = delta_between(before, after)
    assert len(delta.middle) < 40 and apply_delta(before, delta, version_of(after)) == after


BEFORE, AFTER = b"servers = 1\n" * 20, b"servers = 1\n" * 10 + b"servers = 2\n" + b"servers = 1\n" * 9
GOOD = delta_between(BEFORE, AFTER)
FITS = version_of(AFTER)


@pytest.mark.parametrize(
    ("delta", "version", "field"),
    [
        (structs.replace(GOOD, base="0" * 64), FITS, "base"),
        (structs.replace(GOOD, prefix=-1), FITS, "prefix"),
        (structs.replace(GOOD, suffix=-1), FITS, "suffix"),
        (structs.replace(GOOD, suffix=10_000), FITS, "suffix"),
        (structs.replace(GOOD, prefix=GOOD.prefix + 1), FITS, "middle"),
        (structs.replace(GOOD, middle=GOOD.middle[:-2]), FITS, "middle"),
        (structs.replace(GOOD, middle=GOOD.middle + b"x"), FITS, "middle"),
        (structs.replace(GOOD, middle=b"no zlib"), FITS, "middle"),
        (structs.replace(GOOD, middle=zlib.compress(bytes(10_000_000))), FITS, "middle"),
        (
            structs.replace(GOOD, middle=zlib.compress(b"3" * len(zlib.decompress(GOOD.middle)))),
            FITS,
            "digest",
        ),
        (GOOD, structs.replace(FITS, digest="0" * 64), "digest"),
        (GOOD, structs.replace(FITS, digest="short"), "digest"),
        (GOOD, structs.replace(FITS, size=FITS.size + 1), "middle"),
        (GOOD, structs.replace(FITS, size=MAX_CONTENTS_BYTES + 1), "size"),
        (GOOD, structs.replace(FITS, number=0), "number"),
    ],
)
def test_a_difference_that_does_not_fit_is_refused_by_field(
    delta: Delta, version: Version, field: str
) -> None:
    with pytest.raises(ValueError, match=rf"^{field} is .*; allowed: "):
        apply_delta(BEFORE, delta, version)


@given(place=st.integers(0, 10_000), bit=st.integers(0, 7))
def test_a_flipped_bit_of_a_difference_never_gives_other_contents(place: int, bit: int) -> None:
    spoilt = bytearray(GOOD.middle)
    spoilt[place % len(spoilt)] ^= 1 << bit
    try:
        assert apply_delta(BEFORE, structs.replace(GOOD, middle=bytes(spoilt)), FITS) == AFTER
    except ValueError as error:
        assert "; allowed: " in str(error)


def test_contents_are_checked_by_number_digest_and_size() -> None:
    assert contents_problem(FITS, AFTER) == ""
    assert (
        contents_problem(FITS, AFTER[:-1]) == f"size is {len(AFTER) - 1}; allowed: {len(AFTER)} in version 1"
    )
    assert contents_problem(FITS, BEFORE[: len(AFTER)]).startswith("digest is ")
    assert version_problem(NO_VERSION) == "number is 0; allowed: 1 and more"
    assert version_problem(structs.replace(FITS, digest=FITS.digest.upper())).startswith("digest is ")


@pytest.mark.parametrize(
    "item",
    [
        Subscribe(PROTOCOL_VERSION, "f", "d1", 3, "r/z", 7, FITS.digest),
        SubscribeAccepted(PROTOCOL_VERSION, "f", "v1", 2048, 7),
        SubscribeRejected("2048 followers"),
        ConfigUpdate(FITS, 1200, GOOD),
        ConfigUpdate(FITS, 1200, None, AFTER),
        Poll(7, FITS.digest, 8, "servers is 3"),
        NotModified(7, 900),
        FetchFullContents(7),
        StatusReport("v1", 3, 1, True, 7, (FollowerStatus("d1", 3, 7, 200, True, 0, 8, "why"),)),
    ],
)
def test_what_followers_and_relays_say_is_read_as_it_was_said(item: Message) -> None:
    assert decode(encode(item)) == item


def test_what_is_no_message_is_an_error_and_the_largest_fits() -> None:
    with pytest.raises(DecodeError):
        decode(b"\xc1")
    with pytest.raises(DecodeError):
        decode(encode(NotModified(7, 900))[:-1])
    whole = random.Random(1).randbytes(MAX_CONTENTS_BYTES)
    assert len(encode(ConfigUpdate(version_of(whole), 0, None, whole))) < MAX_MESSAGE_BYTES


def test_a_version_can_be_the_value_of_a_register() -> None:
    kept = RegisterWritten(("configuration", Ballot(3, "v1", 1), Ballot(3, "v1", 1), FITS))
    assert decode_record(encoded(kept)) == kept and hash(FITS) == hash(version_of(AFTER))
