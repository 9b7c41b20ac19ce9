"""Fixtures shared by the tests, and a hypothesis profile that draws the same examples on every machine."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from weakref import WeakSet

import pytest
from hypothesis import settings

from tests.standins import DispatcherTestbed

settings.register_profile("steady", derandomize=True, deadline=None)
settings.load_profile("steady")

stream_writers: WeakSet[asyncio.StreamWriter] = WeakSet()
initialize_writer = asyncio.StreamWriter.__init__


def initialize_and_track(self: asyncio.StreamWriter, *arguments: Any, **options: Any) -> None:
    """Initialize a stream writer, and know of it until it is freed."""
    initialize_writer(self, *arguments, **options)
    stream_writers.add(self)


asyncio.StreamWriter.__init__ = initialize_and_track  # type: ignore[method-assign]


@pytest.fixture(autouse=True)
def _closes_its_streams() -> Iterator[None]:
    """Fail a test that leaves streams open: one that is freed later raises within some other test."""
    former = set(stream_writers)
    yield
    left = [writer for writer in stream_writers if writer not in former and not writer.is_closing()]
    assert not left, f"{len(left)} streams are left open"


@pytest.fixture
def testbed(tmp_path: Path) -> Iterator[DispatcherTestbed]:
    """A testbed whose dispatcher is not started yet."""
    created = DispatcherTestbed(tmp_path)
    yield created
    created.close()
