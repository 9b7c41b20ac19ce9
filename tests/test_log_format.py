"""What a member believes of its disk: torn ends, flipped bits, holes, files of others."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.consensus.log_format import MAGIC, MOST, Read, frame, read

PAYLOADS = (b"first", b"", b"a third, somewhat longer one")


def written(payloads: tuple[bytes, ...] = PAYLOADS, first: int = 1) -> bytes:
    return MAGIC + b"".join(frame(n, payload) for n, payload in enumerate(payloads, first))


def test_what_was_written_is_read_back() -> None:
    data = written()
    assert read(data) == Read(PAYLOADS, 3, len(data))
    assert read(written(first=41), first=41).last == 43
    assert read(b"") == Read() and read(MAGIC) == Read(good=len(MAGIC))


def test_an_end_that_was_torn_anywhere_is_cut_off() -> None:
    good = len(written(PAYLOADS[:2]))
    for cut in range(good + 1, len(written())):
        assert read(written()[:cut]) == Read(PAYLOADS[:2], 2, good, torn=True), cut


def test_a_file_that_was_being_made_holds_nothing() -> None:
    for cut in range(1, len(MAGIC)):
        assert read(MAGIC[:cut]) == Read(torn=True)


def test_zeros_that_a_crash_left_behind_the_end_are_cut_off() -> None:
    found = read(written() + bytes(700))
    assert found.payloads == PAYLOADS and found.torn and not found.doubt


def test_no_flipped_bit_is_believed_or_taken_for_a_torn_end() -> None:
    # Guards what was promised: a length that changed would make all records behind it look like a torn one.
    for bit in range(8 * len(written())):
        data = bytearray(written())
        data[bit // 8] ^= 1 << bit % 8
        found = read(bytes(data))
        assert found.doubt and found.payloads == PAYLOADS[: len(found.payloads)], bit


def test_a_hole_a_repeat_and_a_file_of_another_time_are_doubted() -> None:
    one, two, three = (frame(n, payload) for n, payload in enumerate(PAYLOADS, 1))
    assert "record 3 stands where 2" in read(MAGIC + one + three).doubt
    assert "record 1 stands where 2" in read(MAGIC + one + one).doubt
    assert "record 1 stands where 9" in read(MAGIC + one + two, first=9).doubt
    assert "no file of this kind" in read(b"SQLite format 3\0").doubt


def test_a_record_that_can_t_be_written_is_turned_down() -> None:
    for number, payload in ((0, b""), (1 << 64, b""), (1, bytes(MOST + 1))):
        with pytest.raises(ValueError, match="allowed"):
            frame(number, payload)


@given(st.lists(st.binary(max_size=40), max_size=6), st.data())
def test_whatever_is_cut_off_what_remains_is_a_beginning(payloads: list[bytes], data: st.DataObject) -> None:
    whole = written(tuple(payloads))
    cut = data.draw(st.integers(0, len(whole)))
    found = read(whole[:cut])
    assert not found.doubt and found.payloads == tuple(payloads[: found.last])
    assert read(whole[: found.good]).payloads == found.payloads
