"""The configuration in force among voters: proposing, learning what is decided, fetching, gathering. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from grebestack.fleet.actions import ConfigurationAction
from grebestack.fleet.feed import Tally
from grebestack.fleet.register import Change, Value
from grebestack.fleet.versions import NO_VERSION, Version

REGISTER = "configuration"


def change(version: Version | None) -> Change:
    """The register's change: compare-and-set on the number; only read where there is no version."""

    def changed(value: Value) -> Value:
        number = value.number if isinstance(value, Version) else 0
        return version if version is not None and number == version.number - 1 else value

    return changed


class View(NamedTuple):
    """This voter's disk and set, as its `Member` has them at this moment."""

    accepted: int  # number in its own slot of the register, 0 for none; -1 where its vote does not count
    epoch: int
    names: frozenset[str]  # the set of members, this one included
    majority: int
    linked: frozenset[str]  # members that are connected


@dataclass(slots=True)
class Counts:
    """What all relays know of all followers, each follower counted once."""

    in_force: dict[int, int]  # by number: linked and not refusing
    behind: dict[str, tuple[int, float]]  # linked: number, since when (ms of the own clock)
    refused: dict[str, tuple[int, str]]  # the refused number and why
    unknown: dict[str, tuple[int, float]]  # not heard: number when heard last, since when


class ConfigurationVoter:
    """Events in, actions out; `View` comes with each event that needs it."""

    def __init__(self, name: str, fleet: str, life: int, random: Random, now_ms: float) -> None:
        self.name, self.fleet, self.life = name, fleet, life
        self.decided: Version = NO_VERSION  # the newest known to be decided
        self.version: Version = NO_VERSION  # the newest decided whose contents are here
        raise NotImplementedError

    def start(
        self, now_ms: float, disk: list[tuple[Version, bytes]], kept: dict[str, bytes]
    ) -> list[ConfigurationAction]:
        """Started, with the decided versions on the disk, and contents by digest that are not decided."""
        raise NotImplementedError

    def propose(
        self, now_ms: float, ticket: int, contents: bytes, since_ms: int, view: View
    ) -> list[ConfigurationAction]:
        """Asked at this door to put contents in force; `Outcome` under this ticket tells how it ended."""
        raise NotImplementedError

    def heard(self, now_ms: float, name: str, body: bytes, view: View) -> list[ConfigurationAction]:
        """Another voter's Word."""
        raise NotImplementedError

    def kept(self, now_ms: float, digest: str, why: str = "") -> list[ConfigurationAction]:
        """Contents are on the disk for good, or could not be written and why."""
        raise NotImplementedError

    def stored(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """A decided version is on the disk for good, or could not be written and why."""
        raise NotImplementedError

    def registered(self, now_ms: float, known: bool, value: Value, view: View) -> list[ConfigurationAction]:
        """A `Decide` has ended; `known`: with this value in force."""
        raise NotImplementedError

    def taken(self, now_ms: float, number: int, why: str = "") -> list[ConfigurationAction]:
        """A version that was to be applied is in force on this voter, or was refused and why."""
        raise NotImplementedError

    def tallied(self, now_ms: float, tally: Tally, view: View) -> list[ConfigurationAction]:
        """The word of this voter's own relay, or of one that follows it."""
        raise NotImplementedError

    def tick(self, now_ms: float, view: View) -> list[ConfigurationAction]:
        """Time has passed: what is due."""
        raise NotImplementedError

    def due_ms(self, now_ms: float) -> float:
        """When `tick` is to be called at the latest."""
        raise NotImplementedError

    def floor(self, name: str) -> int:
        """The highest number that a follower is known to have acknowledged to any relay."""
        raise NotImplementedError

    def counts(self, now_ms: float) -> Counts:
        """Who has what in force, who is behind, has refused, is not known."""
        raise NotImplementedError

    def shown(self, now_ms: float) -> list[str]:
        """For people: the version in force and the counts, a few lines."""
        raise NotImplementedError
