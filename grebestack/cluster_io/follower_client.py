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
# Puts a version in force; returns the reason for a refusal, or an empty text.
ApplyVersion = Callable[[Version, bytes], str]


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
    relays: Mapping[str, RelayAddress]  # that it may follow
    folder: str  # empty: no disk


class LocalRelay(Protocol):
    """The relay that runs in the same process."""

    def publish(self, version: Version, contents: bytes) -> None:
        """Offer a decided, validated version to followers."""

    def on_majority_confirmed(self, at_ms: float) -> None:
        """Note that at this time a majority of voters knew of no newer version."""


class FollowerClient:
    """One follower. `apply_version` is called on the loop for each version to put in force.

    Raises
    ------
    OSError, FolderTakenError
        The folder can't be used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: FollowerSettings,
        apply_version: ApplyVersion,
        clock: Callable[[], float] = monotonic_ms,
        random: Random | None = None,
        files: Files | None = None,
        is_relay: bool = False,
    ) -> None:
        """Open the folder and create the follower; `start` connects it."""
        self.loop, self.settings, self.apply_version, self.clock = loop, settings, apply_version, clock
        self.store = ConfigStore(loop, settings.folder, settings.cluster, files) if settings.folder else None
        recovered = self._read_disk()
        self.recovered_versions = recovered.versions
        places = {name: relay.place for name, relay in settings.relays.items()}
        self.follower = Follower(
            settings.name,
            settings.cluster,
            settings.place,
            recovered.incarnation,
            places,
            random or Random(int.from_bytes(os.urandom(8), "big")),
            is_relay,
        )
        self.relay: LocalRelay | None = None
        # Called when a version is applied or refused, or a majority has confirmed the version in force.
        self.on_applied_or_confirmed: Callable[[], None] = lambda: None
        self.traffic = Traffic()
        self.dial_count = 0
        self.connection: RelayConnection | None = None
        self.connection_attempt: ConnectionAttempt | None = None
        self.action_handlers = self._action_handler_table()
        self.action_runner: ActionRunner[FollowerAction] = ActionRunner(
            self.loop, self.clock, self.follower, self._carry_out, lambda: self.follower.tick(self.clock())
        )

    def _read_disk(self) -> StoredConfig:
        """Return what the disk holds; without a folder, no versions and a new incarnation."""
        if self.store is None:
            return StoredConfig(incarnation=time.time_ns() // 1_000_000)
        recovered = self.store.open()
        for corrupt_file in recovered.corrupt_files:
            log.warning("configuration_doubted", extra={"kv": {"why": corrupt_file}})
        return recovered

    def _action_handler_table(self) -> dict[type[FollowerAction], Callable[[Any], None]]:
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
        """Messages and bytes each way, and the connections tried."""
        return self.traffic.counts() | {"dials": self.dial_count}

    def status_line(self) -> str:
        """Describe its version, its relay and the time since the last message, for operators."""
        return self.follower.status_line(self.clock())

    def start(self) -> None:
        """Start the follower with the versions that the disk holds."""
        versions, self.recovered_versions = self.recovered_versions, ()
        self.action_runner.run(self.follower.start(self.clock(), versions))

    def stop(self) -> None:
        """Close the connection and the store; carry out no more actions."""
        self.action_runner.stop()
        if self.connection is not None:
            self.connection.close("stopping")
        if self.store is not None:
            self.store.close()

    def on_status_report(self, report: StatusReport) -> None:
        """Send a status report of this process's own relay, or of one below it, upstream."""
        self.action_runner.run(self.follower.on_status_report(self.clock(), report))

    # Events of the connection.

    def on_connected(self, connection: RelayConnection) -> None:
        """Handle the start of the connection to the relay."""
        if self.connection is connection:
            self.action_runner.run(self.follower.on_connected(self.clock(), connection.link_number))

    def on_message(self, connection: RelayConnection, message: Message) -> None:
        """Handle a message."""
        if self.connection is connection:
            self.action_runner.run(self.follower.on_message(self.clock(), connection.link_number, message))

    def on_closed(self, connection: RelayConnection, reason: str) -> None:
        """Handle the end of the connection, or the failure to open it."""
        if self.connection is connection:
            self.connection = None
            self.action_runner.run(
                self.follower.on_disconnected(self.clock(), connection.link_number, reason)
            )

    # Actions of the follower's state machine.

    def _carry_out(self, action: FollowerAction) -> None:
        self.action_handlers[type(action)](action)

    def _send(self, action: Send) -> None:
        if self.connection is not None and self.connection.link_number == action.link:
            self.connection.write(encode(action.message))

    def _close(self, action: Close) -> None:
        if self.connection is not None and self.connection.link_number == action.link:
            connection, self.connection = self.connection, None
            connection.close(action.why)

    def _apply(self, action: Apply) -> None:
        reason = self.apply_version(action.version, action.contents)
        self.action_runner.run(self.follower.on_applied(self.clock(), action.version.number, reason))
        self.on_applied_or_confirmed()

    def _publish(self, action: PublishVersion) -> None:
        if self.relay is not None:
            self.relay.publish(action.version, action.contents)

    def _confirm(self, action: MajorityConfirmed) -> None:
        if self.relay is not None:
            self.relay.on_majority_confirmed(action.at_ms)
        self.on_applied_or_confirmed()

    def _connect(self, action: Connect) -> None:
        if self.connection is not None:
            self.connection.close("another connection is opened")
        self.dial_count += 1
        self.connection = connection = RelayConnection(self.loop, self, action.link, self.traffic)
        address = self.settings.relays[action.relay].address
        self.connection_attempt = ConnectionAttempt(
            self.loop, connection, address, partial(self.on_closed, connection)
        )

    def _store(self, action: Store) -> None:
        number = action.version.number

        def on_stored(reason: str) -> None:
            if not self.action_runner.stopped:
                self.action_runner.run(self.follower.on_stored(self.clock(), number, reason))

        if self.store is None:
            on_stored("")
        else:
            self.store.store(action.version, action.contents, action.keep_number, on_stored, action.also_keep)
