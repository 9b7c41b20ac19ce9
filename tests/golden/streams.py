"""Where the recorded decision streams are stored, and how they are read and written."""

from __future__ import annotations

import gzip
from collections.abc import Iterable
from pathlib import Path

DIRECTORY = Path(__file__).resolve().parent / "decisions"
INPUT_SUFFIX = ".in.jsonl.gz"
OUTPUT_SUFFIX = ".out.jsonl.gz"


def input_path(name: str) -> Path:
    """The file with the input lines of a stream."""
    return DIRECTORY / (name + INPUT_SUFFIX)


def output_path(name: str) -> Path:
    """The file with the output lines of a stream."""
    return DIRECTORY / (name + OUTPUT_SUFFIX)


def stored_names() -> list[str]:
    """The names of the stored streams, sorted."""
    return sorted(path.name.removesuffix(INPUT_SUFFIX) for path in DIRECTORY.glob("*" + INPUT_SUFFIX))


def read(path: Path) -> bytes:
    """The uncompressed content of a stored file."""
    return gzip.decompress(path.read_bytes())


def write(path: Path, lines: Iterable[str]) -> None:
    """Store lines; the same lines always give the same file."""
    text = "".join(line + "\n" for line in lines)
    path.write_bytes(gzip.compress(text.encode(), mtime=0))
