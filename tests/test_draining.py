"""Real dispatchers, faults of their agents: no first byte goes to a server that was announced as leaving."""

from __future__ import annotations

from pathlib import Path

from tests.dispatcher_group import Sent, late_sends, run_fault_scenario

LATE_S = 0.15  # a machine that is later than this proves nothing: the play is repeated


def test_no_first_byte_goes_to_a_server_that_leaves(tmp_path: Path) -> None:
    for number in range(6):
        seed = 20 + number
        folder = tmp_path / str(number)
        folder.mkdir()
        yard = run_fault_scenario(folder, seed)
        print(f"seed={seed} sends={len(yard.sends)} late_s={yard.max_delay_s:.3f}")
        assert len(yard.reported_at) >= 9 and len(yard.sends) > 300
        wrong = late_sends(yard.sends, yard.reported_at, yard.max_delay_s)
        if yard.max_delay_s <= LATE_S or not wrong:
            assert not wrong, (seed, wrong[:5])
            if yard.max_delay_s <= LATE_S:
                return
    raise AssertionError(f"the machine was late by more than {LATE_S} s in all plays")


def test_the_checker_knows_a_wrong_record() -> None:
    told = {("n0", "s-1"): 10.0}
    good = [Sent("n0", "s-1", 10.29, "a"), Sent("n1", "s-1", 12.0, "b"), Sent("n0", "s-2", 12.0, "c")]
    assert not late_sends(good, told, 0.0)
    assert len(late_sends([*good, Sent("n0", "s-1", 10.31, "d")], told, 0.0)) == 1
    assert not late_sends([Sent("n0", "s-1", 10.31, "d")], told, 0.02)
