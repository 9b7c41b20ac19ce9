"""After a load that doubles for some seconds, jobs are served in time again."""

from __future__ import annotations

import pytest

from tests.overloaded_cluster import OverloadedCluster


@pytest.mark.parametrize("dispatchers, workers", [(6, 12), (40, 30)])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_are_in_time_again_within_5_s_after_a_doubled_load_of_5_s_if_late_answers_have_no_value(
    dispatchers: int, workers: int, seed: int
) -> None:
    cluster = OverloadedCluster(seed, dispatchers, workers, zones=4)
    cluster.offer(lambda now: 1.2 if 8_000 <= now < 13_000 else 0.6, 25_000)
    cluster.run(40_000)
    assert cluster.share_in_time(2_000, 8_000) >= 0.95, "before the overload"
    assert cluster.share_in_time(8_000, 13_000) >= 0.5, "during the overload"
    assert cluster.share_in_time(18_000, 25_000) >= 0.95, "from 5 s after the overload"
