"""What a member believes of its disk: torn ends, flipped bits, holes, files of others."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.consensus.log_format import MAGIC, MAX_PAYLOAD_BYTES, LogContents, encode_record, read_log

PAYLOADS = (b"first", b"", b"a third, somewhat longer one")


def written(payloads: tuple[bytes, ...] = PAYLOADS, first: int = 1) -> bytes:
    return MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, first))


def test_what_was_written_is_read_back() -> None:
    data = written()
    assert read_log(data) == LogContents(PAYLOADS, 3, len(data))
    assert read_log(written(first=41), first=41).last_sequence == 43
    assert read_log(b"") == LogContents() and read_log(MAGIC) == LogContents(valid_bytes=len(MAGIC))


def test_an_end_that_was_torn_anywhere_is_cut_off() -> None:
    good = len(written(PAYLOADS[:2]))
    for cut in range(good + 1, len(written())):
        assert read_log(written()[:cut]) == LogContents(PAYLOADS[:2], 2, good, has_torn_end=True), cut


def test_a_file_that_was_being_made_holds_nothing() -> None:
    for cut in range(1, len(MAGIC)):
        assert read_log(MAGIC[:cut]) == LogContents(has_torn_end=True)


def test_zeros_that_a_crash_left_behind_the_end_are_cut_off() -> None:
    found = read_log(written() + bytes(700))
    assert found.payloads == PAYLOADS and found.has_torn_end and not found.corruption


def test_no_flipped_bit_is_believed_or_taken_for_a_torn_end() -> None:
    # Guards what was promised: a length that changed would make all records behind it look like a torn one.
    for bit in range(8 * len(written())):
        data = bytearray(written())
        data[bit // 8] ^= 1 << bit % 8
        found = read_log(bytes(data))
        assert found.corruption and found.payloads == PAYLOADS[: len(found.payloads)], bit


def test_a_hole_a_repeat_and_a_file_of_another_time_are_doubted() -> None:
    one, two, three = (encode_record(n, payload) for n, payload in enumerate(PAYLOADS, 1))
    assert "record 3 instead of record 2" in read_log(MAGIC + one + three).corruption
    assert "record 1 instead of record 2" in read_log(MAGIC + one + one).corruption
    assert "record 1 instead of record 9" in read_log(MAGIC + one + two, first=9).corruption
    assert "no file of this kind" in read_log(b"SQLite format 3\0").corruption


def test_a_record_that_can_t_be_written_is_turned_down() -> None:
    for number, payload in ((0, b""), (1 << 64, b""), (1, bytes(MAX_PAYLOAD_BYTES + 1))):
        with pytest.raises(ValueError, match="allowed"):
            encode_record(number, payload)


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_whatever_is_cut_off_what_remains_is_a_beginning(payloads: list[bytes], data: st.DataObject) -> None:
    whole = written(tuple(payloads))
    cut = data.draw(st.integers(0, len(whole)))
    found = read_log(whole[:cut])
    assert not found.corruption and found.payloads == tuple(payloads[: found.last_sequence])
    assert read_log(whole[: found.valid_bytes]).payloads == found.payloads
