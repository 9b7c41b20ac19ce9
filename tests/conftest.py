"""Fixtures shared by the tests; hypothesis takes the same steps on every machine."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.standins import DispatcherTestbed

settings.register_profile("steady", derandomize=True, deadline=None)
settings.load_profile("steady")


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[DispatcherTestbed]:
    """Stand-ins, and a dispatcher once it is started."""
    made = DispatcherTestbed(tmp_path)
    yield made
    made.close()
