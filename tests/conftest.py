"""Fixtures shared by the tests, and a hypothesis profile that draws the same examples on every machine."""

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
    """A testbed whose dispatcher is not started yet."""
    created = DispatcherTestbed(tmp_path)
    yield created
    created.close()
