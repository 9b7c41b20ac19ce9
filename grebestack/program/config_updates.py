"""Configuration updates at a dispatcher: merges versions with the operator's file, and runs admin commands.

The sections of a version replace those of the local file. The result is validated and applied by the same
code as a reloaded file.
"""

from __future__ import annotations

import asyncio
import logging
import os
import stat
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

from grebestack.admin.commands import CommandResponse
from grebestack.audit.version_sets import digest
from grebestack.cluster_io.configuration_node import ConfigurationNode
from grebestack.cluster_io.follower_client import FollowerClient, FollowerSettings, RelayAddress
from grebestack.cluster_io.log_store import Files, FolderTakenError
from grebestack.cluster_io.node import Node
from grebestack.cluster_io.relay_server import RelayServer
from grebestack.cluster_io.runtime import monotonic_ms
from grebestack.config_distribution.actions import ProposalResult
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.timeouts import STARTUP_GRACE_MS
from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Version
from grebestack.program.config.errors import ConfigError, StartError
from grebestack.program.config.files import read
from grebestack.program.config.model import Config, DistributionConfig
from grebestack.program.config.operator_file import from_text
from grebestack.program.config.platform import check_reload

log = logging.getLogger(__name__)
PROPOSAL_TIMEOUT_S = 0.7  # shorter than admin.server.RESPONSE_TIMEOUT_S
START_MARGIN_S = 0.3  # added to the time that a follower itself waits at the start
FOLDER = "configuration"  # inside the cluster's folder
# Replaced in tests only.
FILES: Callable[[], Files] = Files
CLOCK: Callable[[], float] = monotonic_ms


class ConfiguredDispatcher(Protocol):
    """What configuration updates use of the dispatcher."""

    @property
    def config(self) -> Config:
        """The applied configuration."""

    def fields_requiring_restart(self, config: Config) -> Sequence[str]:
        """List the fields that differ from the applied configuration and need a restart."""

    def apply_config(self, config: Config) -> str:
        """Apply a validated configuration completely, or return why it can't be applied; else return ""."""


def config_value(config: Config, name: str) -> object:
    """Return the value of a field named by `ConfiguredDispatcher.fields_requiring_restart`."""
    value: Any = config.options
    for part in name.split("."):
        value = value.get(part) if isinstance(value, Mapping) else None
    return value


def merge(path: str, text: str, contents: bytes, current: Config | None = None) -> Config:
    """Merge a version with an operator's file and validate the result.

    Parameters
    ----------
    current
        The configuration in force, if any.

    Raises
    ------
    ConfigError
        Names the field, its value and what is allowed.
    """
    if len(contents) > MAX_CONTENTS_BYTES:
        raise ConfigError(f"the size is {len(contents)} bytes; allowed: {MAX_CONTENTS_BYTES}")
    config = from_text(path, text, contents)
    if current is not None:
        check_reload(config, current)
    return config


class AppliedConfig:
    """The configuration in force: the local file as last read, merged with a version."""

    def __init__(self, dispatcher: ConfiguredDispatcher) -> None:
        """Begin with the local file, without a version."""
        self.dispatcher = dispatcher
        self.path = dispatcher.config.path
        self.text = read(self.path)
        self.contents: bytes | None = None  # of the version in force; None: no version
        self.merged = dispatcher.config  # may differ from the applied one in fields that need a restart

    def reread(self) -> Config:
        """Read the local file again and merge it with the version in force.

        Raises
        ------
        ConfigError
            The file is unreadable or invalid.
        """
        text = read(self.path)
        config = from_text(self.path, text, self.contents)
        self.text, self.merged = text, config
        return config

    def preview(self, contents: bytes) -> Config:
        """Return the configuration that a version would put in force here.

        Raises
        ------
        ConfigError
            The version can't be applied here.
        """
        config = merge(self.path, self.text, contents, self.dispatcher.config)
        before = self.dispatcher.fields_requiring_restart(self.merged)
        for name in self.dispatcher.fields_requiring_restart(config):
            if name not in before:
                if name == "options":
                    raise ConfigError("settings can't change without a restart where there is a [drmaa]")
                shown, allowed = config_value(config, name), config_value(self.dispatcher.config, name)
                raise ConfigError(
                    f"settings.{name} is {shown!r:.80}, which can't change without a restart;"
                    f" allowed: {allowed!r:.80}"
                )
        return config

    def apply(self, version: Version, contents: bytes) -> str:
        """Put a version in force, or return why it is refused; else return ""."""
        try:
            config = self.preview(contents)
        except ConfigError as error:
            refusal = str(error).removeprefix(f"{self.path}: ")
        else:
            refusal = self.dispatcher.apply_config(config)
        kv: dict[str, object] = {"number": version.number, "digest": version.digest}
        if refusal:
            return refusal
        self.contents, self.merged = contents, config
        # Log what the dispatcher has applied, not what it was given.
        applied = self.dispatcher.config
        # since_ms is Unix time, at_ms this machine's monotonic clock, since its boot.
        kv |= {
            "by": version.proposed_by,
            "since_ms": version.proposed_at_ms,
            "at_ms": round(monotonic_ms(), 1),
        }
        kv |= {
            "settings": digest(applied.options),
            "servers": digest([*map(dict, applied.worker_source.entries)]),
        }
        log.info("configuration_laid", extra={"kv": kv})
        return ""


class ConfigUpdates:
    """Runs configuration distribution at a dispatcher, as a voter or a follower and optionally as a relay.

    Raises
    ------
    StartError
        The folder is unusable or locked.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: ConfiguredDispatcher,
        config: DistributionConfig,
        name: str,
        node: Node | None,
    ) -> None:
        """Open the folder and build the parts; `start` starts them."""
        self.loop, self.config, self.name = loop, config, name
        self.applied = AppliedConfig(dispatcher)
        self.reread = self.applied.reread
        folder = os.path.join(config.folder, FOLDER)
        self.voter: ConfigurationNode | None = None
        self.follower: FollowerClient | None = None
        try:
            if node is not None:
                self.voter = ConfigurationNode(node, folder, self.applied.apply, FILES())
            else:
                self.follower = FollowerClient(
                    loop,
                    self._settings(folder),
                    self.applied.apply,
                    CLOCK,
                    files=FILES(),
                    is_relay=name in config.relays,
                )
        except (OSError, FolderTakenError) as error:
            raise StartError(f"[fleet] folder {config.folder!r} can't be used: {error}") from error
        self.relay = self._make_relay()
        self.start_finished: asyncio.Future[None] = loop.create_future()

    def _settings(self, folder: str) -> FollowerSettings:
        config = self.config
        relays = {
            name: RelayAddress(relay.address, relay.place)
            for name, relay in config.relays.items()
            # A relay follows only voters, so that no two relays follow each other.
            if name != self.name and (self.name not in config.relays or name in config.voters)
        }
        return FollowerSettings(self.name, config.cluster, config.place, relays, folder)

    def _make_relay(self) -> RelayServer | None:
        if self.name not in self.config.relays:
            return None
        cluster, address, random = self.config.cluster, self.config.relays[self.name].address, Random()
        if self.voter is not None:
            relay_state = Relay(
                self.name,
                cluster,
                self.voter.voter.incarnation,
                random,
                acknowledged_number=self.voter.voter.acknowledged_number,
            )
            relay = self.voter.relay = RelayServer(
                self.loop, relay_state, address, self.voter.on_status_report, CLOCK
            )
            return relay
        assert self.follower is not None
        relay_state = Relay(self.name, cluster, self.follower.follower.incarnation, random)
        relay = self.follower.relay = RelayServer(
            self.loop, relay_state, address, self.follower.on_status_report, CLOCK
        )
        return relay

    async def start(self) -> None:
        """Start; return once a version was applied, refused or confirmed, or after the grace period."""
        if self.relay is not None:
            await self.relay.start()
        part = self.voter or self.follower
        assert part is not None
        part.on_applied_or_confirmed = self._finish_start
        self.loop.call_later(STARTUP_GRACE_MS / 1000.0 + START_MARGIN_S, self._finish_start)
        part.start()
        await self.start_finished

    def _finish_start(self) -> None:
        if not self.start_finished.done():
            self.start_finished.set_result(None)

    def stop(self) -> None:
        """Stop the relay, the follower and the voter."""
        for part in (self.relay, self.follower, self.voter):
            if part is not None:
                part.stop()

    # Admin commands.

    def describe_lines(self) -> list[str]:
        """Return lines that describe the version in force and the state of other dispatchers."""
        lines = self.voter.status_lines() if self.voter is not None else []
        if self.follower is not None:
            lines.append(self.follower.status_line())
        if self.relay is not None:
            lines.append(self.relay.relay.status_line(CLOCK()))
        return lines

    def describe(self) -> str:
        """Return the description as one line."""
        return "; ".join(self.describe_lines())

    def propose_file(self, path: str, respond: Callable[[CommandResponse], None]) -> None:
        """Propose a file's contents as the next version; `respond` receives the result."""
        if self.voter is None:
            voters = ", ".join(sorted(self.config.voters)) or "a member of the cluster"
            respond(
                CommandResponse(False, f"{self.name} does not vote; allowed: send the command to {voters}")
            )
            return
        try:
            contents = read_contents(os.path.join(os.path.dirname(self.applied.path), path))
            self.applied.preview(contents)
        except ConfigError as error:
            reason = str(error).removeprefix(f"{self.applied.path}: ")
            respond(CommandResponse(False, f"{path}: {reason}"))
            return

        def on_proposal_ended(outcome: ProposalResult) -> None:
            version = outcome.version
            if outcome.won:
                held = ", ".join(outcome.holders)
                text = f"version {version.number} is in force, digest {version.digest[:16]}, held by {held}"
            else:
                text = outcome.why
            respond(CommandResponse(outcome.won, text))

        def on_timeout() -> None:  # only the first response counts
            text = "no majority has decided yet; the version may still come into force: check with `fleet`"
            respond(CommandResponse(False, text))

        self.loop.call_later(PROPOSAL_TIMEOUT_S, on_timeout)
        self.voter.propose(contents, on_proposal_ended)


def read_contents(path: str) -> bytes:
    """Read a file whose contents are to be proposed.

    Raises
    ------
    ConfigError
        The file can't be read, or is too large.
    """
    try:
        if not stat.S_ISREG(os.stat(path).st_mode):
            raise ConfigError("no regular file")
        with open(path, "rb") as file:
            contents = file.read(MAX_CONTENTS_BYTES + 1)
    except OSError as error:
        raise ConfigError(str(error.strerror)) from error
    if len(contents) > MAX_CONTENTS_BYTES:
        raise ConfigError(f"the size is {os.path.getsize(path)} bytes; allowed: {MAX_CONTENTS_BYTES}")
    return contents
