"""Validation of a log file: torn ends, flipped bits, missing records, files of another kind."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.consensus.log_format import MAGIC, MAX_PAYLOAD_BYTES, LogContents, encode_record, read_log

PAYLOADS = (b"first", b"", b"a third, somewhat longer one")


def log_file(payloads: tuple[bytes, ...] = PAYLOADS, first: int = 1) -> bytes:
    return MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, first))


def test_written_records_are_read_back() -> None:
    data = log_file()
    assert read_log(data) == LogContents(PAYLOADS, 3, len(data))
    assert read_log(log_file(first=41), first=41).last_sequence == 43
    assert read_log(b"") == LogContents() and read_log(MAGIC) == LogContents(valid_bytes=len(MAGIC))


def test_a_torn_last_record_is_cut_off() -> None:
    valid_bytes = len(log_file(PAYLOADS[:2]))
    for cut in range(valid_bytes + 1, len(log_file())):
        assert read_log(log_file()[:cut]) == LogContents(PAYLOADS[:2], 2, valid_bytes, has_torn_end=True), cut


def test_a_file_whose_creation_was_interrupted_has_no_records() -> None:
    for cut in range(1, len(MAGIC)):
        assert read_log(MAGIC[:cut]) == LogContents(has_torn_end=True)


def test_zeros_after_the_last_record_are_cut_off() -> None:
    contents = read_log(log_file() + bytes(700))
    assert contents.payloads == PAYLOADS and contents.has_torn_end and not contents.corruption


def test_every_flipped_bit_is_reported_as_corruption_not_as_a_torn_end() -> None:
    # Guards against the loss of durable promises: a changed length could make all records after it look torn.
    for bit in range(8 * len(log_file())):
        data = bytearray(log_file())
        data[bit // 8] ^= 1 << bit % 8
        contents = read_log(bytes(data))
        assert contents.corruption and contents.payloads == PAYLOADS[: len(contents.payloads)], bit


def test_a_missing_or_repeated_record_and_a_file_of_another_kind_are_corruption() -> None:
    one, two, three = (encode_record(n, payload) for n, payload in enumerate(PAYLOADS, 1))
    assert "record 3 instead of record 2" in read_log(MAGIC + one + three).corruption
    assert "record 1 instead of record 2" in read_log(MAGIC + one + one).corruption
    assert "record 1 instead of record 9" in read_log(MAGIC + one + two, first=9).corruption
    assert "no file of this kind" in read_log(b"SQLite format 3\0").corruption


def test_a_record_out_of_range_is_rejected() -> None:
    for number, payload in ((0, b""), (1 << 64, b""), (1, bytes(MAX_PAYLOAD_BYTES + 1))):
        with pytest.raises(ValueError, match="allowed"):
            encode_record(number, payload)


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_a_log_cut_off_anywhere_yields_a_prefix_of_its_records(
    payloads: list[bytes], data: st.DataObject
) -> None:
    complete_log = log_file(tuple(payloads))
    cut = data.draw(st.integers(0, len(complete_log)))
    contents = read_log(complete_log[:cut])
    assert not contents.corruption and contents.payloads == tuple(payloads[: contents.last_sequence])
    assert read_log(complete_log[: contents.valid_bytes]).payloads == contents.payloads
