"""Runs a follower on an event loop: its connection to a relay and its disk."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, Protocol

from grebestack.cluster_io.action_runner import ActionRunner
from grebestack.cluster_io.config_store import ConfigStore, StoredConfig
from grebestack.cluster_io.framing import ConnectionAttempt, Traffic
from grebestack.cluster_io.log_store import Files
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.cluster_io.runtime import monotonic_ms, write_log
from grebestack.config_distribution.actions import (
    Apply,
    Close,
    Connect,
    FollowerAction,
    MajorityConfirmed,
    PublishVersion,
    Send,
    Store,
)
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import Message, StatusReport, encode
from grebestack.config_distribution.versions import Version
from grebestack.consensus.actions import LogMessage

log = logging.getLogger(__name__)
ApplyVersion = Callable[[Version, bytes], str]  # puts a version in force; returns why it is refused, or empty


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A relay's address and location."""

    address: tuple[str, int]
    place: str  # region/zone


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """A follower's settings, from the operators' file."""

    name: str
    cluster: str
    place: str  # region/zone
    relays: Mapping[str, RelayAddress]  # those it may follow
    folder: str  # empty: no disk


class LocalRelay(Protocol):
    """The relay that runs in the same process."""

    def publish(self, version: Version, contents: bytes) -> None:
        """A decided version, checked."""

    def on_majority_confirmed(self, at_ms: float) -> None:
        """At that instant a majority knew nothing newer."""


class FollowerClient:
    """One follower; `take` is called on the loop for each version that is to be in force.

    Raises
    ------
    OSError, FolderTakenError
        The folder can't be used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: FollowerSettings,
        take: ApplyVersion,
        clock: Callable[[], float] = monotonic_ms,
        random: Random | None = None,
        files: Files | None = None,
        is_relay: bool = False,
    ) -> None:
        """Open the folder and build the follower; `start` connects it."""
        self.loop, self.settings, self.take, self.clock = loop, settings, take, clock
        self.contents = (
            ConfigStore(loop, settings.folder, settings.cluster, files) if settings.folder else None
        )
        held = self._read_disk()
        self.held = held.versions
        places = {name: relay.place for name, relay in settings.relays.items()}
        self.follower = Follower(
            settings.name,
            settings.cluster,
            settings.place,
            held.incarnation,
            places,
            random or Random(int.from_bytes(os.urandom(8), "big")),
            is_relay,
        )
        self.relay: LocalRelay | None = None
        # Called when a version is applied or refused, or a majority has confirmed the version in force.
        self.on_applied_or_confirmed: Callable[[], None] = lambda: None
        self.traffic = Traffic()
        self.dials = 0
        self.link: RelayConnection | None = None
        self.opening: ConnectionAttempt | None = None
        self.performers = self._performers()
        self.turns: ActionRunner[FollowerAction] = ActionRunner(
            self.loop, self.clock, self.follower, self._perform, lambda: self.follower.tick(self.clock())
        )

    def _read_disk(self) -> StoredConfig:
        """Return what the disk holds; without a folder, an empty configuration of a new incarnation."""
        if self.contents is None:
            return StoredConfig(incarnation=time.time_ns() // 1_000_000)
        held = self.contents.open()
        for doubt in held.corrupt_files:
            log.warning("configuration_doubted", extra={"kv": {"why": doubt}})
        return held

    def _performers(self) -> dict[type[FollowerAction], Callable[[Any], None]]:
        return {
            Send: self._send,
            Connect: self._connect,
            Close: self._close,
            Store: self._store,
            Apply: self._apply,
            PublishVersion: self._publish,
            MajorityConfirmed: self._confirm,
            LogMessage: write_log,
        }

    @property
    def version(self) -> Version:
        """The version in force."""
        return self.follower.version

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes each way, and connections that were tried."""
        return self.traffic.counts() | {"dials": self.dials}

    def status_line(self) -> str:
        """Its version, by which relay, and for how long it has heard nothing."""
        return self.follower.status_line(self.clock())

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

    def on_status_report(self, report: StatusReport) -> None:
        """Send a status report of this process's own relay, or of one below it, upstream."""
        self.turns.run(self.follower.on_status_report(self.clock(), report))

    # Events of the connection.

    def on_connected(self, link: RelayConnection) -> None:
        """The connection that was dialled is up."""
        if self.link is link:
            self.turns.run(self.follower.on_connected(self.clock(), link.number))

    def on_message(self, link: RelayConnection, message: Message) -> None:
        """A message has come."""
        if self.link is link:
            self.turns.run(self.follower.on_message(self.clock(), link.number, message))

    def on_closed(self, link: RelayConnection, why: str) -> None:
        """The connection has ended, or could not be made."""
        if self.link is link:
            self.link = None
            self.turns.run(self.follower.on_disconnected(self.clock(), link.number, why))

    # Actions of the pure part.

    def _perform(self, action: FollowerAction) -> None:
        self.performers[type(action)](action)

    def _send(self, action: Send) -> None:
        if self.link is not None and self.link.number == action.link:
            self.link.write(encode(action.message))

    def _close(self, action: Close) -> None:
        if self.link is not None and self.link.number == action.link:
            link, self.link = self.link, None
            link.close(action.why)

    def _apply(self, action: Apply) -> None:
        why = self.take(action.version, action.contents)
        self.turns.run(self.follower.on_applied(self.clock(), action.version.number, why))
        self.on_applied_or_confirmed()

    def _publish(self, action: PublishVersion) -> None:
        if self.relay is not None:
            self.relay.publish(action.version, action.contents)

    def _confirm(self, action: MajorityConfirmed) -> None:
        if self.relay is not None:
            self.relay.on_majority_confirmed(action.at_ms)
        self.on_applied_or_confirmed()

    def _connect(self, action: Connect) -> None:
        if self.link is not None:
            self.link.close("another is dialled")
        self.dials += 1
        self.link = link = RelayConnection(self.loop, self, action.link, self.traffic)
        address = self.settings.relays[action.relay].address
        self.opening = ConnectionAttempt(self.loop, link, address, partial(self.on_closed, link))

    def _store(self, action: Store) -> None:
        number = action.version.number

        def done(why: str) -> None:
            if not self.turns.stopped:
                self.turns.run(self.follower.on_stored(self.clock(), number, why))

        if self.contents is None:
            done("")
        else:
            self.contents.store(action.version, action.contents, action.keep_number, done, action.also_keep)
