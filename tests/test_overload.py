"""A load that doubles for some seconds and falls back: what comes afterwards is served in time again."""

from __future__ import annotations

import pytest

from tests.overloaded_cluster import OverloadedFleet


@pytest.mark.parametrize("dispatchers, servers", [(6, 12), (40, 30)])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_load_that_doubles_for_5_s_is_served_again_within_5_s_where_late_earns_nothing(
    dispatchers: int, servers: int, seed: int
) -> None:
    fleet = OverloadedFleet(seed, dispatchers, servers, zones=4)
    fleet.offer(lambda now: 1.2 if 8_000 <= now < 13_000 else 0.6, 25_000)
    fleet.run(40_000)
    assert fleet.in_time(2_000, 8_000) >= 0.95, "before it"
    assert fleet.in_time(8_000, 13_000) >= 0.5, "while it lasts"
    assert fleet.in_time(18_000, 25_000) >= 0.95, "from 5 s after it on"
