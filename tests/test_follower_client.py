"""Followers and relays over real connections in one loop; the file's keys; versions merged with the file."""

from __future__ import annotations

import asyncio
import random
import struct
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from grebestack.cluster_io.configuration_node import ConfigurationNode
from grebestack.cluster_io.follower_client import FollowerClient, FollowerSettings, RelayAddress
from grebestack.cluster_io.framing import Traffic
from grebestack.cluster_io.node import Node
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.cluster_io.relay_server import RelayServer
from grebestack.cluster_io.runtime import monotonic_ms
from grebestack.config_distribution.actions import Store
from grebestack.config_distribution.messages import (
    MAX_MESSAGE_BYTES,
    Message,
    NotModified,
    Poll,
    Subscribe,
    encode,
)
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.versions import MAX_CONTENTS_BYTES, Version, digest_of
from grebestack.program.config.errors import ConfigError
from grebestack.program.config.model import Config
from grebestack.program.config.operator_file import from_file
from grebestack.program.config_updates import AppliedConfig, read_contents
from tests.follower_cluster import config_contents
from tests.standins import OPERATOR_SETTINGS

PLACE = "r0/z0"


def version(number: int, data: bytes) -> Version:
    return Version(number, digest_of(data), len(data), "m0", 1)


class FakeTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written, self.buffered_bytes, self.aborted, self.closed = b"", 0, False, False

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def is_closing(self) -> bool:
        return self.aborted or self.closed

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        self.closed = True


class FakeLoop:
    """An event loop whose timers never fire."""

    class Handle:
        def cancel(self) -> None:
            """Do nothing."""

    def call_later(self, *args: object) -> FakeLoop.Handle:
        return FakeLoop.Handle()


class RecordingOwner:
    """Owns one connection and records its messages."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.reason = ""

    def on_connected(self, connection: RelayConnection) -> None:
        """Do nothing."""

    def on_message(self, connection: RelayConnection, message: Message) -> None:
        self.messages.append(message)

    def on_closed(self, connection: RelayConnection, reason: str) -> None:
        self.reason = reason


def connected() -> tuple[RelayConnection, RecordingOwner, FakeTransport]:
    owner, transport = RecordingOwner(), FakeTransport()
    connection = RelayConnection(cast(asyncio.AbstractEventLoop, FakeLoop()), owner, 1, Traffic())
    connection.connection_made(cast(asyncio.Transport, transport))
    return connection, owner, transport


def framed(*items: Message) -> bytes:
    return b"".join(struct.pack(">I", len(encode(item))) + encode(item) for item in items)


MESSAGES: list[Message] = [Subscribe(1, "farm", "f0", 3, PLACE, 0, ""), Poll(4, "d" * 64), NotModified(5, 7)]


@pytest.mark.parametrize("seed", range(20))
def test_messages_are_decoded_however_the_bytes_are_split(seed: int) -> None:
    (connection, owner, _), rng, data = connected(), random.Random(seed), framed(*MESSAGES, *MESSAGES)
    while data:
        size = rng.randint(1, len(data))
        connection.data_received(data[:size])
        data = data[size:]
    assert owner.messages == [*MESSAGES, *MESSAGES] and not connection.unparsed
    assert connection.traffic.messages_in == 6 and connection.traffic.bytes_in == len(
        framed(*MESSAGES, *MESSAGES)
    )


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (
            struct.pack(">I", MAX_MESSAGE_BYTES + 1),
            f"a message of {MAX_MESSAGE_BYTES + 1} bytes; allowed: {MAX_MESSAGE_BYTES}",
        ),
        (struct.pack(">I", 3) + b"\xc1\xc1\xc1", "not a message of protocol version 1"),
        (struct.pack(">I", 1) + b"\x01", "not a message of protocol version 1"),
    ],
)
def test_invalid_data_closes_the_connection_and_nothing_after_it_is_read(data: bytes, reason: str) -> None:
    connection, owner, transport = connected()
    connection.data_received(data + framed(*MESSAGES))
    assert transport.aborted and reason in connection.close_reason and not owner.messages
    connection.connection_lost(None)
    assert reason in owner.reason


def test_an_end_that_does_not_read_is_disconnected_and_nothing_more_is_buffered_for_it() -> None:
    connection, _, transport = connected()
    transport.buffered_bytes = 2 * MAX_MESSAGE_BYTES
    connection.write(b"x")
    assert transport.aborted and connection.close_reason == "it does not read" and not transport.written


def test_a_closing_connection_drops_what_still_arrives_and_can_be_aborted() -> None:
    connection, owner, transport = connected()
    connection.close_after_writing("not taken")
    assert transport.closed and not transport.aborted
    connection.data_received(framed(*MESSAGES) + b"half")
    assert not owner.messages and connection.unparsed == b""
    connection.close("later")
    assert transport.aborted and connection.close_reason == "not taken"


def test_a_connection_closed_while_it_was_opened_is_aborted_once_open() -> None:
    owner, transport = RecordingOwner(), FakeTransport()
    connection = RelayConnection(cast(asyncio.AbstractEventLoop, FakeLoop()), owner, 1, Traffic())
    connection.close("another connection is opened")
    connection.connection_made(cast(asyncio.Transport, transport))
    assert transport.aborted


# Over real connections.


class Network:
    """Relays and followers in one loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.report_count = 0
        self.nodes: list[FollowerClient] = []
        self.relays: dict[str, RelayServer] = {}

    async def relay(self, name: str = "m0", fleet: str = "farm", max_followers: int = 2048) -> RelayServer:
        relay = Relay(name, fleet, 1, random.Random(1), max_followers)
        server = RelayServer(self.loop, relay, ("127.0.0.1", 0), self._on_report)
        await server.start()
        assert server.server is not None
        server.address = server.server.sockets[0].getsockname()[:2]
        server.on_majority_confirmed(monotonic_ms())
        self.relays[name] = server
        return server

    def _on_report(self, report: object) -> None:
        self.report_count += 1

    def follower(
        self, name: str, apply_version: Callable[[Version, bytes], str] | None = None, folder: str = ""
    ) -> FollowerClient:
        relays = {name: RelayAddress(server.address, PLACE) for name, server in self.relays.items()}
        settings = FollowerSettings(name, "farm", PLACE, relays, folder)
        node = FollowerClient(self.loop, settings, apply_version or (lambda version, data: ""))
        self.nodes.append(node)
        node.start()
        return node

    async def until(self, condition: Callable[[], object]) -> None:
        for _ in range(3000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not become true")

    def close(self) -> None:
        for node in self.nodes:
            node.stop()
        for relay in self.relays.values():
            relay.stop()


def run_script(script: Callable[[Network], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        network = Network()
        try:
            await script(network)
        finally:
            network.close()

    asyncio.run(run())


ONE, TWO, THREE = config_contents(5), config_contents(6), config_contents(7)


def test_a_first_version_is_pushed_in_full_and_the_next_one_as_a_delta() -> None:
    async def script(network: Network) -> None:
        relay = await network.relay()
        nodes = [network.follower(f"f{n}") for n in range(20)]
        await network.until(lambda: relay.counts["links"] == 20)
        relay.publish(version(1, ONE), ONE)
        await network.until(lambda: all(node.version.number == 1 for node in nodes))
        before = relay.counts["bytes_out"]
        assert before > 20 * len(ONE)
        await network.until(lambda: all(status.number == 1 for status in relay.relay.followers.values()))
        relay.publish(version(2, TWO), TWO)
        await network.until(lambda: all(node.version.number == 2 for node in nodes))
        assert relay.counts["bytes_out"] - before < 20 * len(TWO) // 2
        assert all(node.follower.contents == TWO for node in nodes)
        assert nodes[0].counts["messages_in"] >= 3 and nodes[0].counts["dials"] == 1
        await network.until(lambda: network.report_count)

    run_script(script)


def test_a_refused_version_is_not_put_in_force_and_the_relay_learns_the_reason() -> None:
    async def script(network: Network) -> None:
        relay = await network.relay()
        node = network.follower("f0", lambda version, data: "mostTries is 6" if version.number == 2 else "")
        relay.publish(version(1, ONE), ONE)
        await network.until(lambda: node.version.number == 1)
        relay.publish(version(2, TWO), TWO)
        await network.until(lambda: [s.why for s in relay.relay.followers.values()] == ["mostTries is 6"])
        assert node.version.number == 1 and "mostTries is 6" in node.status_line()
        relay.publish(version(3, ONE), ONE)
        await network.until(lambda: node.version.number == 3)

    run_script(script)


def test_a_follower_applies_the_version_of_its_disk_when_no_relay_responds(tmp_path: Path) -> None:
    async def first(network: Network) -> None:
        relay = await network.relay()
        node = network.follower("f0", folder=str(tmp_path))
        relay.publish(version(7, ONE), ONE)
        await network.until(lambda: node.version.number == 7)

    async def second(network: Network) -> None:
        await network.relay()
        network.relays["m0"].stop()
        applied: list[tuple[int, bytes]] = []

        def apply_version(version: Version, data: bytes) -> str:
            applied.append((version.number, data))
            return ""

        node = network.follower("f0", apply_version, str(tmp_path))
        calls: list[int] = []
        node.on_applied_or_confirmed = lambda: calls.append(1)
        await network.until(lambda: calls)
        assert applied == [(7, ONE)] and node.version == version(7, ONE)
        await network.until(lambda: node.counts["dials"] > 2)  # and it keeps trying to connect

    run_script(first)
    run_script(second)


def test_two_refused_versions_do_not_remove_the_one_in_force_from_the_disk(tmp_path: Path) -> None:
    def apply_version(version: Version, data: bytes) -> str:
        return "mostTries is 6" if version.number > 1 else ""

    async def refused_once(network: Network) -> None:
        relay = await network.relay()
        node = network.follower("f0", apply_version, str(tmp_path))
        relay.publish(version(1, ONE), ONE)
        await network.until(lambda: node.version.number == 1)
        relay.publish(version(2, TWO), TWO)
        await network.until(lambda: node.follower.refused == 2)

    async def newer_before_the_disk_is_applied(network: Network) -> None:
        relay = await network.relay()
        relay.publish(version(3, THREE), THREE)
        node = network.follower("f0", apply_version, str(tmp_path))
        await network.until(lambda: node.version.number == 1)
        assert node.follower.refused

    async def no_relay(network: Network) -> None:
        await network.relay()
        network.relays["m0"].stop()
        node = network.follower("f0", apply_version, str(tmp_path))
        await network.until(lambda: node.version == version(1, ONE))

    for script in (refused_once, newer_before_the_disk_is_applied, no_relay):
        run_script(script)


def test_a_voter_keeps_the_versions_found_at_the_start_until_one_is_in_force(tmp_path: Path) -> None:
    async def script(network: Network) -> None:
        settings = SimpleNamespace(name="m0", cluster="farm")
        node = SimpleNamespace(
            loop=network.loop, clock=monotonic_ms, settings=settings, random=random.Random(1)
        )
        voter = ConfigurationNode(cast(Node, node), str(tmp_path), lambda version, data: "")
        stored: list[int] = []
        voter._on_stored = lambda number, reason: stored.append(number)  # type: ignore[method-assign]
        voter._carry_out(Store(version(1, ONE), ONE, 0))
        voter._carry_out(Store(version(2, TWO), TWO, 1))
        voter._carry_out(Store(version(3, THREE), THREE, 2, (1,)))
        await network.until(lambda: stored == [1, 2, 3])
        voter.stop()
        assert len(list(tmp_path.glob("version-*"))) == 3

    run_script(script)


def test_a_follower_uses_another_relay_when_its_own_is_lost_full_or_of_another_fleet() -> None:
    async def script(network: Network) -> None:
        await network.relay("m0", fleet="ranch")
        await network.relay("m1", max_followers=0)
        healthy = await network.relay("m2")
        stopped = await network.relay("m3")
        healthy.publish(version(1, ONE), ONE)
        stopped.publish(version(1, ONE), ONE)
        nodes = [network.follower(f"f{n}") for n in range(8)]
        await network.until(lambda: all(node.version.number == 1 for node in nodes))
        stopped.stop()
        healthy.publish(version(2, TWO), TWO)
        await network.until(lambda: all(node.version.number == 2 for node in nodes))
        assert healthy.counts["links"] == 8

    run_script(script)


def test_a_client_that_sends_no_subscribe_is_disconnected_and_takes_no_follower_slot() -> None:
    async def script(network: Network) -> None:
        relay = await network.relay()
        reader, writer = await asyncio.open_connection(*relay.address)
        await network.until(lambda: relay.counts["links"] == 1)
        assert await reader.read() == b"" and not relay.connections
        writer.close()

    run_script(script)


# The file.

LOCAL_KEYS = 'name = "a"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
RELAY_SECTION = '[fleet.relays.m]\naddress = "h:1"\nplace = "r/z"\n'


def load(tmp_path: Path, fleet: str) -> Config:
    path = tmp_path / "a.toml"
    path.write_text(f"{LOCAL_KEYS}{fleet}{OPERATOR_SETTINGS}")
    return from_file(str(path))


@pytest.mark.parametrize(
    ("fleet", "message"),
    [
        ("[fleet]\nfollow = 1\n", "[fleet] follow must be true or false, not 1"),
        ('[fleet]\nfollow = true\nplace = "r/z"\n', "[fleet.relays] must name one relay to follow at least"),
        (f"[fleet]\nfollow = true\n{RELAY_SECTION}", "[fleet] place must be REGION/ZONE for a follower"),
        (
            f'[fleet]\nfollow = true\nplace = "zone"\n{RELAY_SECTION}',
            "[fleet] place must be REGION/ZONE, not 'zone'",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\nterm_s = 3\n{RELAY_SECTION}',
            "[fleet] term_s is not for a follower; allowed are name folder follow place relays members",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}[fleet.members]\na = "h:2"\n',
            "[fleet] follow is not for a member; [fleet.members] names 'a'",
        ),
        (
            '[fleet]\nfollow = true\nplace = "r/z"\n[fleet.relays.m]\naddress = "h"\nplace = "r/z"\n',
            "[fleet.relays.m] address must be HOST:PORT",
        ),
        (
            '[fleet]\nfollow = true\nplace = "r/z"\n[fleet.relays.m]\naddress = "h:1"\n',
            "[fleet.relays.m] place must be REGION/ZONE, not ''",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}'
            '[fleet.relays.n]\naddress = "h:1"\nplace = "r/z"\n',
            "[fleet.relays] must have an address of its own for each",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}'
            '[fleet.relays.a]\naddress = "h:2"\nplace = "r/z"\n',
            "[fleet.members] must name the members of [fleet.relays] that 'a', a relay, is to follow",
        ),
        (
            '[fleet]\nplace = "r/y"\n[fleet.members]\na = "h:2"\n'
            '[fleet.relays.a]\naddress = "h:1"\nplace = "r/z"\n',
            "[fleet] place 'r/y' is not that of [fleet.relays], 'r/z'",
        ),
        (
            '[fleet]\nplace = "r/z"\n[fleet.members]\na = "h:2"\n',
            "place is for a fleet that has [fleet.relays]",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}port = 1\n',
            "[fleet.relays.m] has the unknown key 'port'; known are address place",
        ),
    ],
)
def test_an_invalid_key_is_refused_with_its_value_and_what_is_allowed(
    tmp_path: Path, fleet: str, message: str
) -> None:
    with pytest.raises(ConfigError) as error:
        load(tmp_path, fleet)
    assert message in str(error.value)


def test_a_follower_a_voter_and_a_plain_member_are_distinguished(tmp_path: Path) -> None:
    follower = load(tmp_path, f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}')
    assert (
        follower.cluster is None and follower.distribution is not None and follower.distribution.is_follower
    )
    voter = load(tmp_path, f'[fleet]\n[fleet.members]\na = "h:2"\n{RELAY_SECTION}')
    assert voter.cluster is not None and voter.distribution is not None and not voter.distribution.is_follower
    alone = load(tmp_path, '[fleet]\n[fleet.members]\na = "h:2"\n')
    assert alone.cluster is not None and alone.distribution is None


# Versions merged with the file.


class FakeDispatcher:
    """A dispatcher that only stores its configuration."""

    def __init__(self, config: Config, restart_fields: tuple[str, ...] = (), refusal: str = "") -> None:
        self.config, self.restart_fields, self.refusal = config, restart_fields, refusal

    def fields_requiring_restart(self, config: Config) -> list[str]:
        return [
            name for name in self.restart_fields if config.options.get(name) != self.config.options.get(name)
        ]

    def apply_config(self, config: Config) -> str:
        if not self.refusal:
            self.config = config
        return self.refusal


def applied_config(tmp_path: Path, **kv: Any) -> AppliedConfig:
    return AppliedConfig(
        FakeDispatcher(load(tmp_path, f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY_SECTION}'), **kv)
    )


def test_a_version_replaces_the_files_sections_also_after_the_file_is_read_again(
    tmp_path: Path,
) -> None:
    applied = applied_config(tmp_path)
    assert applied.apply(version(1, TWO), TWO) == ""
    assert (
        applied.dispatcher.config.options["limits"]["mostTries"] == 6
        and len(applied.dispatcher.config.worker_source.entries) == 1
    )
    (tmp_path / "a.toml").write_text(
        f'sockets = 2000\n{LOCAL_KEYS}[fleet]\nfollow = true\nplace = "r/z"\n'
        f"{RELAY_SECTION}{OPERATOR_SETTINGS}"
    )
    again = applied.reread()
    assert again.max_sockets == 2000 and again.options["limits"]["mostTries"] == 6
    (tmp_path / "a.toml").write_text("half a file")
    with pytest.raises(ConfigError):
        applied.reread()
    assert applied.apply(version(2, ONE), ONE) == ""  # merged with the file as it was last read


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"\xff", "not TOML"),
        (b"name =", "not TOML"),
        (b"", "no section; allowed are settings, servers"),
        (b'name = "b"\n', "unknown key 'name'; allowed are the sections settings, servers"),
        (b"[settings]\n", "lacks"),
        (config_contents(5).replace(b'"Ready"', b'"Redy"'), "[servers] list[0]: state must be one of"),
        (config_contents(5).replace(b'"127.0.0.1:9"', b'"nowhere"'), "[servers] list[0]:"),
        (
            config_contents(5, zones='["here", "there"]'),
            "settings.zones is ['here', 'there'], which can't change",
        ),
        (b'[servers]\nsource = "dns"\n', "[servers] has the unknown source 'dns'"),
    ],
)
def test_a_version_that_can_not_be_applied_is_refused_with_the_reason_and_the_former_stays(
    tmp_path: Path, data: bytes, why: str
) -> None:
    applied = applied_config(tmp_path, restart_fields=("zones",))
    assert applied.apply(version(1, TWO), TWO) == ""
    former = applied.dispatcher.config
    assert why in applied.apply(version(2, data), data)
    assert applied.dispatcher.config is former and applied.contents == TWO


def test_a_field_that_awaits_a_restart_by_the_local_file_does_not_get_a_version_refused(
    tmp_path: Path,
) -> None:
    applied = applied_config(tmp_path, restart_fields=("zones",))
    path, wider = tmp_path / "a.toml", 'zones = ["here", "there"]'
    path.write_text(path.read_text().replace('zones = ["here"]', wider))
    assert "zones" in applied.apply(version(1, TWO), config_contents(6, zones='["here", "there"]'))
    applied.reread()  # as SIGHUP does: `zones` now awaits a restart
    assert applied.apply(version(2, TWO), config_contents(6, zones='["here", "there"]')) == ""


def test_a_version_that_the_dispatcher_refuses_is_not_merged_with_the_file(tmp_path: Path) -> None:
    applied = applied_config(tmp_path, refusal="servers: it failed")
    assert applied.apply(version(1, TWO), TWO) == "servers: it failed" and applied.contents is None


def test_a_proposed_file_must_be_regular_and_of_bounded_size(tmp_path: Path) -> None:
    for path, why in ((tmp_path, "no regular file"), (tmp_path / "none", "No such file")):
        with pytest.raises(ConfigError, match=why):
            read_contents(str(path))
    with tempfile.NamedTemporaryFile(dir=tmp_path) as file:
        file.truncate(MAX_CONTENTS_BYTES + 1)
        with pytest.raises(
            ConfigError, match=f"{MAX_CONTENTS_BYTES + 1} bytes; allowed: {MAX_CONTENTS_BYTES}"
        ):
            read_contents(file.name)
