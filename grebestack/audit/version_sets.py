"""The versions in force at a dispatcher, as a numbered set, so that an audited action names just a number.

A set changes at one instant, between two decisions. A number identifies a set only within one process
incarnation; each segment of the audit log defines the numbers it uses.
"""

from __future__ import annotations

import json
from hashlib import blake2b
from typing import Any

from msgspec import Struct, structs

MAX_NUMBERED_SETS = 10_000  # with more, the set unused for longest loses its number


class VersionSet(Struct, frozen=True, array_like=True):
    """All versions that are in force together."""

    program: str = ""
    settings: str = ""  # digest of their canonical form
    source: str = ""  # the source of the worker list
    generation: int = 0  # how many sources have been read since the start; revisions compare within one
    revision: int = 0  # of the worker list
    bans: str = ""  # digest of the workers cordoned by operators; empty: none
    epoch: int = 0  # of the cluster's membership; 0: the dispatcher belongs to no cluster

    def differing_fields(self, other: VersionSet) -> list[str]:
        """Return the names of the versions that differ."""
        return [name for name in FIELDS if getattr(self, name) != getattr(other, name)]


FIELDS = tuple(field.name for field in structs.fields(VersionSet))


def digest(value: Any) -> str:
    """Return the digest of a JSON value's canonical form: the same on every machine and for any key order."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=True, default=str)
    return blake2b(text.encode(), digest_size=8).hexdigest()


class VersionSets:
    """The version set in force, and the numbers of earlier ones."""

    def __init__(self, first: VersionSet) -> None:
        self.current, self.number, self.last_number = first, 1, 1
        self.numbers: dict[VersionSet, int] = {first: 1}

    def change(self, **changes: str | int) -> bool:
        """Put other versions in force; False if they are the same."""
        versions = structs.replace(self.current, **changes)
        if versions == self.current:
            return False
        number = self.numbers.pop(versions, 0)
        if not number:
            self.last_number += 1
            number = self.last_number
        self.numbers[versions] = number  # in the order in which they were last put in force
        if len(self.numbers) > MAX_NUMBERED_SETS:
            del self.numbers[next(iter(self.numbers))]
        self.current, self.number = versions, number
        return True
