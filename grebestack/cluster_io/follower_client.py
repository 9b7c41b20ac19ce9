"""A follower as it runs: the pure follower, its one connection, its disk and the loop's time."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from grebestack.cluster_io.action_runner import Turns
from grebestack.cluster_io.config_store import ConfigStore, StoredConfig
from grebestack.cluster_io.framing import Opening, Traffic
from grebestack.cluster_io.log_store import Files
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.cluster_io.runtime import monotonic_ms, tell
from grebestack.config_distribution.actions import (
    Apply,
    Close,
    Connect,
    FollowerAction,
    MajorityConfirmed,
    PublishVersion,
    Send,
    StatusReceived,
    Store,
)
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import Message, StatusReport, encode
from grebestack.config_distribution.versions import Version

log = logging.getLogger(__name__)
Take = Callable[[Version, bytes], str]  # puts a version in force; why it is refused, or nothing


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """Where a relay is called, and where it stands."""

    address: tuple[str, int]
    place: str  # region/zone


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """What a follower is told by the operators' file."""

    name: str
    fleet: str
    place: str  # region/zone
    relays: Mapping[str, RelayAddress]  # that it may follow
    folder: str  # empty: it keeps nothing on a disk


class LocalRelay(Protocol):
    """The relay of a process that follows and is followed."""

    def offer(self, version: Version, contents: bytes) -> None:
        """A decided version, checked."""

    def confirmed(self, at_ms: float) -> None:
        """At that instant a majority knew nothing newer."""


class FollowerClient:
    """One follower. `take` is called on the loop for each version that is to be in force.

    OSError and FolderTakenError: its folder can't be used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: FollowerSettings,
        take: Take,
        clock: Callable[[], float] = monotonic_ms,
        random: Random | None = None,
        files: Files | None = None,
        relays: bool = False,
    ) -> None:
        self.loop, self.settings, self.take, self.clock = loop, settings, take, clock
        self.contents = ConfigStore(loop, settings.folder, settings.fleet, files) if settings.folder else None
        held = (
            self.contents.open()
            if self.contents is not None
            else StoredConfig(life=time.time_ns() // 1_000_000)
        )
        for doubt in held.doubts:
            log.warning("configuration_doubted", extra={"kv": {"why": doubt}})
        self.held = held.versions
        places = {name: relay.place for name, relay in settings.relays.items()}
        self.follower = Follower(
            settings.name,
            settings.fleet,
            settings.place,
            held.life,
            places,
            random or Random(int.from_bytes(os.urandom(8), "big")),
            relays,
        )
        self.relay: LocalRelay | None = None
        self.settled: Callable[[], None] = lambda: None  # called once a version or a relay's word has come
        self.traffic = Traffic()
        self.dials = 0
        self.link: RelayConnection | None = None
        self.opening: Opening | None = None
        self.turns: Turns[FollowerAction] = Turns(
            self.loop, self.clock, self.follower, self._do, lambda: self.follower.tick(self.clock())
        )

    @property
    def version(self) -> Version:
        """The version in force."""
        return self.follower.version

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes each way, and connections that were tried."""
        return self.traffic.counts() | {"dials": self.dials}

    def shown(self) -> str:
        """Its version, by which relay, and for how long it has heard nothing."""
        return self.follower.shown(self.clock())

    def start(self) -> None:
        """Follow from now on."""
        held, self.held = self.held, ()
        self.turns.run(self.follower.start(self.clock(), held))

    def stop(self) -> None:
        """End."""
        self.turns.stop()
        if self.link is not None:
            self.link.close("stopping")
        if self.contents is not None:
            self.contents.close()

    def tallied(self, tally: StatusReport) -> None:
        """The word of this process's own relay, or of one below it, goes upstream."""
        self.turns.run(self.follower.tallied(self.clock(), tally))

    # The link's owner.

    def connected(self, link: RelayConnection) -> None:
        """The connection that was dialled is up."""
        if self.link is link:
            self.turns.run(self.follower.connected(self.clock(), link.number))

    def heard(self, link: RelayConnection, message: Message) -> None:
        """A message has come."""
        if self.link is link:
            self.turns.run(self.follower.heard(self.clock(), link.number, message))

    def ended(self, link: RelayConnection, why: str) -> None:
        """The connection has ended, or could not be made."""
        if self.link is link:
            self.link = None
            self.turns.run(self.follower.lost(self.clock(), link.number, why))

    # What the pure part asks for.

    def _do(self, action: FollowerAction) -> None:
        if isinstance(action, Send):
            if self.link is not None and self.link.number == action.link:
                self.link.write(encode(action.message))
        elif isinstance(action, Connect):
            self._dial(action)
        elif isinstance(action, Close):
            if self.link is not None and self.link.number == action.link:
                link, self.link = self.link, None
                link.close(action.why)
        elif isinstance(action, Store):
            self._store(action)
        elif isinstance(action, Apply):
            why = self.take(action.version, action.contents)
            self.turns.run(self.follower.taken(self.clock(), action.version.number, why))
            self.settled()
        elif isinstance(action, PublishVersion):
            if self.relay is not None:
                self.relay.offer(action.version, action.contents)
        elif isinstance(action, MajorityConfirmed):
            if self.relay is not None:
                self.relay.confirmed(action.at_ms)
            self.settled()
        elif isinstance(action, StatusReceived):
            self.turns.run(self.follower.tallied(self.clock(), action.tally))
        else:
            tell(action)

    def _dial(self, dial: Connect) -> None:
        if self.link is not None:
            self.link.close("another is dialled")
        self.dials += 1
        self.link = link = RelayConnection(self.loop, self, dial.link, self.traffic)
        address = self.settings.relays[dial.relay].address
        self.opening = Opening(self.loop, link, address, partial(self.ended, link))

    def _store(self, store: Store) -> None:
        number = store.version.number

        def done(why: str) -> None:
            if not self.turns.stopped:
                self.turns.run(self.follower.stored(self.clock(), number, why))

        if self.contents is None:
            done("")
        else:
            self.contents.store(store.version, store.contents, store.beside, done, store.also)
