"""Under which versions a dispatcher acts: one stamp of all, interned, so that an act names it by number.

A stamp changes at one instant, between two decisions. A number means a stamp only within one life of a
dispatcher; each segment of the record says again which.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

from msgspec import Struct, structs

MAX_NUMBERED_SETS = (
    10_000  # stamps that are remembered by number; one that comes back after more has a new number
)


class VersionSet(Struct, frozen=True, array_like=True):
    """All versions, one meaning each."""

    program: str = ""
    settings: str = ""  # the digest of their canonical form
    source: str = ""  # of the list of servers
    generation: int = 0  # the reading of a source, counted from the start: revisions count within one
    revision: int = 0  # of the list
    bans: str = ""  # the digest of the servers that operators leave out; empty: none
    epoch: int = 0  # of the fleet's set; 0: of no fleet

    def differing_fields(self, other: VersionSet) -> list[str]:
        """The names of the versions that are not the same."""
        return [name for name in FIELDS if getattr(self, name) != getattr(other, name)]


FIELDS = tuple(field.name for field in structs.fields(VersionSet))


def digest(value: Any) -> str:
    """Of the canonical form of what JSON can hold; two that mean the same have the same, on every machine."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=True, default=str)
    return blake2b(text.encode(), digest_size=8).hexdigest()


class VersionSets:
    """The stamp in force here, and the numbers of those that were."""

    def __init__(self, first: VersionSet) -> None:
        self.current, self.number, self.last_number = first, 1, 1
        self.numbers: dict[VersionSet, int] = {first: 1}

    def change(self, **changes: str | int) -> bool:
        """From this instant other versions hold; False where they are the same."""
        versions = structs.replace(self.current, **changes)
        if versions == self.current:
            return False
        number = self.numbers.pop(versions, 0)
        if not number:
            self.last_number += 1
            number = self.last_number
        self.numbers[versions] = number  # the one that was in force longest ago stands first
        if len(self.numbers) > MAX_NUMBERED_SETS:
            del self.numbers[next(iter(self.numbers))]
        self.current, self.number = versions, number
        return True
