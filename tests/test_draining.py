"""Real dispatchers with faulty agents: no first byte is sent to a worker that was reported as draining."""

from __future__ import annotations

from pathlib import Path

from tests.dispatcher_group import Sent, late_sends, run_fault_scenario

MAX_DELAY_S = 0.15  # a run on a machine that delays threads for longer proves nothing and is repeated


def test_no_first_byte_is_sent_to_a_draining_worker(tmp_path: Path) -> None:
    for number in range(6):
        seed = 20 + number
        folder = tmp_path / str(number)
        folder.mkdir()
        group = run_fault_scenario(folder, seed)
        print(f"seed={seed} sends={len(group.sends)} late_s={group.max_delay_s:.3f}")
        assert len(group.reported_at) >= 9 and len(group.sends) > 300
        late = late_sends(group.sends, group.reported_at, group.max_delay_s)
        if group.max_delay_s <= MAX_DELAY_S or not late:
            assert not late, (seed, late[:5])
            if group.max_delay_s <= MAX_DELAY_S:
                return
    raise AssertionError(f"the machine delayed threads by more than {MAX_DELAY_S} s in all runs")


def test_the_checker_finds_a_late_send() -> None:
    reported_at = {("n0", "s-1"): 10.0}
    good = [Sent("n0", "s-1", 10.29, "a"), Sent("n1", "s-1", 12.0, "b"), Sent("n0", "s-2", 12.0, "c")]
    assert not late_sends(good, reported_at, 0.0)
    assert len(late_sends([*good, Sent("n0", "s-1", 10.31, "d")], reported_at, 0.0)) == 1
    assert not late_sends([Sent("n0", "s-1", 10.31, "d")], reported_at, 0.02)
