"""The configuration in force, as a dispatcher takes it: versions laid over the operator's file, and the door.

A version's sections stand in place of those of the local file, go through the same check as a file that is
read again, and are put in force by the same code. Knows the dispatcher by a narrow interface alone.
"""

from __future__ import annotations

import asyncio
import logging
import os
import stat
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any, Protocol

from grebestack.admin.commands import Answer
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
from grebestack.program.config import Config, ConfigError, ForceConfig, StartError, check, from_text, read

log = logging.getLogger(__name__)
DECIDED_S = 0.7  # the door wants its answer by then; see admin.server.ANSWER_S
SPARE_S = 0.3  # a start waits so long beyond what a version on the disk waits for a relay
FOLDER = "configuration"  # within the fleet's folder
# Seams for tests, which no operator's file can reach.
FILES: Callable[[], Files] = Files
CLOCK: Callable[[], float] = monotonic_ms


class Host(Protocol):
    """The dispatcher whose configuration it is."""

    @property
    def config(self) -> Config:
        """What it acts under."""

    def waits(self, config: Config) -> Sequence[str]:
        """The fields in which a configuration differs from the one it acts under and that need a restart."""

    def adopt(self, config: Config) -> str:
        """Put a checked configuration in force, all of it or nothing; why not, or nothing."""


def value_of(config: Config, name: str) -> object:
    """What a configuration says of a field that `Host.waits` has named."""
    found: Any = config.options
    for part in name.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def checked(path: str, text: str, contents: bytes, former: Config | None = None) -> Config:
    """A version laid over an operator's file. ConfigError: field, value and what is allowed.

    `former`: the configuration in force, if any.
    """
    if len(contents) > MAX_CONTENTS_BYTES:
        raise ConfigError(f"the size is {len(contents)} bytes; allowed: {MAX_CONTENTS_BYTES}")
    config = from_text(path, text, contents)
    if former is not None:
        check(config, former)
    return config


class AppliedConfig:
    """What is in force here: the local file as it was last read, and the version laid over it."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.path = host.config.path
        self.text = read(self.path)
        self.contents: bytes | None = None  # of the version in force; None: none is
        self.whole = host.config  # the two together; what of it needs a restart, the host does not act under

    def reread(self) -> Config:
        """The local file, read again, under the version in force. ConfigError: it can't be used."""
        text = read(self.path)
        config = from_text(self.path, text, self.contents)
        self.text, self.whole = text, config
        return config

    def look(self, contents: bytes) -> Config:
        """What a version would put in force here. ConfigError: why it can't."""
        config = checked(self.path, self.text, contents, self.host.config)
        before = self.host.waits(self.whole)
        for name in self.host.waits(config):
            if name not in before:
                if name == "options":
                    raise ConfigError("settings can't change without a restart where there is a [drmaa]")
                shown, allowed = value_of(config, name), value_of(self.host.config, name)
                raise ConfigError(
                    f"settings.{name} is {shown!r:.80}, which can't change without a restart;"
                    f" allowed: {allowed!r:.80}"
                )
        return config

    def take(self, version: Version, contents: bytes) -> str:
        """Put a version in force; why it is refused, or nothing."""
        try:
            config = self.look(contents)
        except ConfigError as error:
            why = str(error).removeprefix(f"{self.path}: ")
        else:
            why = self.host.adopt(config)
        kv: dict[str, object] = {"number": version.number, "digest": version.digest}
        if why:
            return why
        self.contents, self.whole = contents, config
        # What is in force is said by what the dispatcher holds now, not by what it was given.
        now = self.host.config
        kv |= {"by": version.by, "since_ms": version.since_ms, "at_ms": round(monotonic_ms(), 1)}
        kv |= {"settings": digest(now.options), "servers": digest([*map(dict, now.servers.entries)])}
        log.info("configuration_laid", extra={"kv": kv})
        return ""


class ConfigUpdates:
    """What a dispatcher has where a configuration in force reaches it: a voter's part, or a follower's."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: Host, config: ForceConfig, name: str, node: Node | None
    ) -> None:
        self.loop, self.config, self.name = loop, config, name
        self.laying = AppliedConfig(host)
        self.reread = self.laying.reread
        folder = os.path.join(config.folder, FOLDER)
        self.voter: ConfigurationNode | None = None
        self.follower: FollowerClient | None = None
        try:
            if node is not None:
                self.voter = ConfigurationNode(node, folder, self.laying.take, FILES())
            else:
                self.follower = FollowerClient(
                    loop,
                    self._settings(folder),
                    self.laying.take,
                    CLOCK,
                    files=FILES(),
                    relays=name in config.relays,
                )
        except (OSError, FolderTakenError) as error:
            raise StartError(f"[fleet] folder {config.folder!r} can't be used: {error}") from error
        self.relay = self._relay()
        self.started: asyncio.Future[None] = loop.create_future()

    def _settings(self, folder: str) -> FollowerSettings:
        config = self.config
        relays = {
            name: RelayAddress(relay.address, relay.place)
            for name, relay in config.relays.items()
            # A relay follows voters alone: no two relays ever follow each other.
            if name != self.name and (self.name not in config.relays or name in config.voters)
        }
        return FollowerSettings(self.name, config.fleet, config.place, relays, folder)

    def _relay(self) -> RelayServer | None:
        if self.name not in self.config.relays:
            return None
        fleet, address, random = self.config.fleet, self.config.relays[self.name].address, Random()
        if self.voter is not None:
            pure = Relay(self.name, fleet, self.voter.voter.life, random, floor=self.voter.voter.floor)
            relay = self.voter.relay = RelayServer(self.loop, pure, address, self.voter.tallied, CLOCK)
            return relay
        assert self.follower is not None
        pure = Relay(self.name, fleet, self.follower.follower.life, random)
        relay = self.follower.relay = RelayServer(self.loop, pure, address, self.follower.tallied, CLOCK)
        return relay

    async def start(self) -> None:
        """Begin, and return once a version is in force here, or there is none to wait for."""
        if self.relay is not None:
            await self.relay.start()
        part = self.voter or self.follower
        assert part is not None
        part.settled = self._settled
        self.loop.call_later(STARTUP_GRACE_MS / 1000.0 + SPARE_S, self._settled)
        part.start()
        await self.started

    def _settled(self) -> None:
        if not self.started.done():
            self.started.set_result(None)

    def stop(self) -> None:
        """End."""
        for part in (self.relay, self.follower, self.voter):
            if part is not None:
                part.stop()

    # The door.

    def lines(self) -> list[str]:
        """The version in force, and what is known of the others'."""
        lines = self.voter.shown() if self.voter is not None else []
        if self.follower is not None:
            lines.append(self.follower.shown())
        if self.relay is not None:
            lines.append(self.relay.relay.shown(CLOCK()))
        return lines

    def shown(self) -> str:
        """The same for one line."""
        return "; ".join(self.lines())

    def configure(self, path: str, reply: Callable[[Answer], None]) -> None:
        """An operator wants a file's contents in force everywhere."""
        if self.voter is None:
            voters = ", ".join(sorted(self.config.voters)) or "a member of the fleet"
            reply(Answer(False, f"{self.name} does not vote; allowed: say it to {voters}"))
            return
        try:
            contents = read_contents(os.path.join(os.path.dirname(self.laying.path), path))
            self.laying.look(contents)
        except ConfigError as error:
            why = str(error).removeprefix(f"{self.laying.path}: ")
            reply(Answer(False, f"{path}: {why}"))
            return

        def ended(outcome: ProposalResult) -> None:
            version = outcome.version
            if outcome.won:
                held = ", ".join(outcome.held_by)
                text = f"version {version.number} is in force, digest {version.digest[:16]}, held by {held}"
            else:
                text = outcome.why
            reply(Answer(outcome.won, text))

        def late() -> None:  # the door takes the first answer alone
            text = "no majority has decided it yet; it may still come into force: look with `fleet`"
            reply(Answer(False, text))

        self.loop.call_later(DECIDED_S, late)
        self.voter.propose(contents, ended)


def read_contents(path: str) -> bytes:
    """Read a file that is to be in force. ConfigError: it can't be, or is too large."""
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
