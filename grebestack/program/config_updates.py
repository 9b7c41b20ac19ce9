"""Configuration updates at a dispatcher: versions merged with the operator's file, and admin commands.

A version's sections replace those of the local file. The result is validated like a file that is read again,
and put in force by the same code.
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
START_MARGIN_S = 0.3  # a start waits this long beyond the follower's own wait
FOLDER = "configuration"  # within the cluster's folder
# Replaced in tests only.
FILES: Callable[[], Files] = Files
CLOCK: Callable[[], float] = monotonic_ms


class ConfiguredDispatcher(Protocol):
    """The dispatcher, as far as its configuration goes."""

    @property
    def config(self) -> Config:
        """The configuration it has applied."""

    def fields_requiring_restart(self, config: Config) -> Sequence[str]:
        """List the fields that differ from the applied configuration and need a restart."""

    def apply_config(self, config: Config) -> str:
        """Apply a validated configuration, all of it or nothing; return why not, or empty."""


def config_value(config: Config, name: str) -> object:
    """Return the value of a field that `ConfiguredDispatcher.fields_requiring_restart` has named."""
    found: Any = config.options
    for part in name.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def merge(path: str, text: str, contents: bytes, former: Config | None = None) -> Config:
    """Merge a version with an operator's file and validate the result.

    Parameters
    ----------
    former
        The configuration in force, if any.

    Raises
    ------
    ConfigError
        Field, value and what is allowed.
    """
    if len(contents) > MAX_CONTENTS_BYTES:
        raise ConfigError(f"the size is {len(contents)} bytes; allowed: {MAX_CONTENTS_BYTES}")
    config = from_text(path, text, contents)
    if former is not None:
        check_reload(config, former)
    return config


class AppliedConfig:
    """What is in force here: the local file as it was last read, merged with a version."""

    def __init__(self, dispatcher: ConfiguredDispatcher) -> None:
        """Begin with the local file alone."""
        self.dispatcher = dispatcher
        self.path = dispatcher.config.path
        self.text = read(self.path)
        self.contents: bytes | None = None  # of the version in force, if any
        self.merged = dispatcher.config  # merged; the host has not applied what needs a restart

    def reread(self) -> Config:
        """Read the local file again and merge it with the version in force.

        Raises
        ------
        ConfigError
            The file can't be used.
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
            The version can't be put in force.
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
        """Put a version in force; return why it is refused, or empty."""
        try:
            config = self.preview(contents)
        except ConfigError as error:
            why = str(error).removeprefix(f"{self.path}: ")
        else:
            why = self.dispatcher.apply_config(config)
        kv: dict[str, object] = {"number": version.number, "digest": version.digest}
        if why:
            return why
        self.contents, self.merged = contents, config
        # Log what the dispatcher holds now, not what it was given.
        now = self.dispatcher.config
        # since_ms is Unix time, at_ms this machine's clock since its boot.
        kv |= {
            "by": version.proposed_by,
            "since_ms": version.proposed_at_ms,
            "at_ms": round(monotonic_ms(), 1),
        }
        kv |= {"settings": digest(now.options), "servers": digest([*map(dict, now.worker_source.entries)])}
        log.info("configuration_laid", extra={"kv": kv})
        return ""


class ConfigUpdates:
    """A dispatcher's part in configuration distribution: a voter or a follower, and perhaps a relay.

    Raises
    ------
    StartError
        The folder can't be used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dispatcher: ConfiguredDispatcher,
        config: DistributionConfig,
        name: str,
        node: Node | None,
    ) -> None:
        """Open the folder and build the parts; `start` begins their work."""
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
            # A relay follows voters only, so that no two relays follow each other.
            if name != self.name and (self.name not in config.relays or name in config.voters)
        }
        return FollowerSettings(self.name, config.cluster, config.place, relays, folder)

    def _make_relay(self) -> RelayServer | None:
        if self.name not in self.config.relays:
            return None
        fleet, address, random = self.config.cluster, self.config.relays[self.name].address, Random()
        if self.voter is not None:
            pure = Relay(
                self.name,
                fleet,
                self.voter.voter.incarnation,
                random,
                acknowledged_number=self.voter.voter.acknowledged_number,
            )
            relay = self.voter.relay = RelayServer(
                self.loop, pure, address, self.voter.on_status_report, CLOCK
            )
            return relay
        assert self.follower is not None
        pure = Relay(self.name, fleet, self.follower.follower.incarnation, random)
        relay = self.follower.relay = RelayServer(
            self.loop, pure, address, self.follower.on_status_report, CLOCK
        )
        return relay

    async def start(self) -> None:
        """Start, and return once a version was applied, refused or confirmed, or the time to wait is over."""
        if self.relay is not None:
            await self.relay.start()
        part = self.voter or self.follower
        assert part is not None
        part.settled = self._finish_start
        self.loop.call_later(STARTUP_GRACE_MS / 1000.0 + START_MARGIN_S, self._finish_start)
        part.start()
        await self.start_finished

    def _finish_start(self) -> None:
        if not self.start_finished.done():
            self.start_finished.set_result(None)

    def stop(self) -> None:
        """Stop."""
        for part in (self.relay, self.follower, self.voter):
            if part is not None:
                part.stop()

    # Admin commands.

    def describe_lines(self) -> list[str]:
        """Describe the version in force and what is known of other dispatchers, in lines."""
        lines = self.voter.shown() if self.voter is not None else []
        if self.follower is not None:
            lines.append(self.follower.shown())
        if self.relay is not None:
            lines.append(self.relay.relay.status_line(CLOCK()))
        return lines

    def describe(self) -> str:
        """Return `lines` as one line."""
        return "; ".join(self.describe_lines())

    def propose_file(self, path: str, reply: Callable[[CommandResponse], None]) -> None:
        """Propose a file's contents as the next version; `reply` gets the result."""
        if self.voter is None:
            voters = ", ".join(sorted(self.config.voters)) or "a member of the fleet"
            reply(CommandResponse(False, f"{self.name} does not vote; allowed: say it to {voters}"))
            return
        try:
            contents = read_contents(os.path.join(os.path.dirname(self.applied.path), path))
            self.applied.preview(contents)
        except ConfigError as error:
            why = str(error).removeprefix(f"{self.applied.path}: ")
            reply(CommandResponse(False, f"{path}: {why}"))
            return

        def ended(outcome: ProposalResult) -> None:
            version = outcome.version
            if outcome.won:
                held = ", ".join(outcome.holders)
                text = f"version {version.number} is in force, digest {version.digest[:16]}, held by {held}"
            else:
                text = outcome.why
            reply(CommandResponse(outcome.won, text))

        def late() -> None:  # only the first answer counts
            text = "no majority has decided it yet; it may still come into force: look with `fleet`"
            reply(CommandResponse(False, text))

        self.loop.call_later(PROPOSAL_TIMEOUT_S, late)
        self.voter.propose(contents, ended)


def read_contents(path: str) -> bytes:
    """Read a file that is to be proposed.

    Raises
    ------
    ConfigError
        It can't be read, or is too large.
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
