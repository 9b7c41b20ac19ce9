"""Followers and relays over real connections in one loop; the file's keys; versions applied over the file."""

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


class Wire:
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        self.written, self.unread, self.aborted, self.closed = b"", 0, False, False

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unread

    def is_closing(self) -> bool:
        return self.aborted or self.closed

    def abort(self) -> None:
        self.aborted = True

    def close(self) -> None:
        self.closed = True


class Loop:
    """Timers that never come."""

    class Handle:
        def cancel(self) -> None:
            """Nothing."""

    def call_later(self, *args: object) -> Loop.Handle:
        return Loop.Handle()


class Ear:
    """Owns one link and keeps what it heard."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.why = ""

    def on_connected(self, link: RelayConnection) -> None:
        """Nothing."""

    def on_message(self, link: RelayConnection, message: Message) -> None:
        self.messages.append(message)

    def on_closed(self, link: RelayConnection, why: str) -> None:
        self.why = why


def linked() -> tuple[RelayConnection, Ear, Wire]:
    ear, wire = Ear(), Wire()
    link = RelayConnection(cast(asyncio.AbstractEventLoop, Loop()), ear, 1, Traffic())
    link.connection_made(cast(asyncio.Transport, wire))
    return link, ear, wire


def framed(*items: Message) -> bytes:
    return b"".join(struct.pack(">I", len(encode(item))) + encode(item) for item in items)


SAID: list[Message] = [Subscribe(1, "farm", "f0", 3, PLACE, 0, ""), Poll(4, "d" * 64), NotModified(5, 7)]


@pytest.mark.parametrize("seed", range(20))
def test_messages_are_the_same_however_they_are_cut(seed: int) -> None:
    (link, ear, _), drawn, data = linked(), random.Random(seed), framed(*SAID, *SAID)
    while data:
        size = drawn.randint(1, len(data))
        link.data_received(data[:size])
        data = data[size:]
    assert ear.messages == [*SAID, *SAID] and not link.unparsed
    assert link.traffic.messages_in == 6 and link.traffic.bytes_in == len(framed(*SAID, *SAID))


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (
            struct.pack(">I", MAX_MESSAGE_BYTES + 1),
            f"a message of {MAX_MESSAGE_BYTES + 1} bytes; allowed: {MAX_MESSAGE_BYTES}",
        ),
        (struct.pack(">I", 3) + b"\xc1\xc1\xc1", "no message of form 1"),
        (struct.pack(">I", 1) + b"\x01", "no message of form 1"),
    ],
)
def test_what_can_not_be_read_ends_the_link_and_nothing_after_it_is_read(data: bytes, why: str) -> None:
    link, ear, wire = linked()
    link.data_received(data + framed(*SAID))
    assert wire.aborted and why in link.close_reason and not ear.messages
    link.connection_lost(None)
    assert why in ear.why


def test_who_does_not_read_is_cut_off_and_nothing_more_is_kept_for_it() -> None:
    link, _, wire = linked()
    wire.unread = 2 * MAX_MESSAGE_BYTES
    link.write(b"x")
    assert wire.aborted and link.close_reason == "it does not read" and not wire.written


def test_one_that_is_ending_keeps_nothing_that_still_comes_and_is_cut_when_it_does_not_read() -> None:
    link, ear, wire = linked()
    link.close_after_writing("not taken")
    assert wire.closed and not wire.aborted
    link.data_received(framed(*SAID) + b"half")
    assert not ear.messages and link.unparsed == b""
    link.close("later")
    assert wire.aborted and link.close_reason == "not taken"


def test_one_given_up_while_it_was_opened_ends_as_it_comes_up() -> None:
    ear, wire = Ear(), Wire()
    link = RelayConnection(cast(asyncio.AbstractEventLoop, Loop()), ear, 1, Traffic())
    link.close("another is dialled")
    link.connection_made(cast(asyncio.Transport, wire))
    assert wire.aborted


# Over real connections.


class Rig:
    """One loop with a relay and followers that come and go."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tallies = 0
        self.nodes: list[FollowerClient] = []
        self.relays: dict[str, RelayServer] = {}

    async def relay(self, name: str = "m0", fleet: str = "farm", most: int = 2048) -> RelayServer:
        pure = Relay(name, fleet, 1, random.Random(1), most)
        server = RelayServer(self.loop, pure, ("127.0.0.1", 0), self._tallied)
        await server.start()
        assert server.server is not None
        server.address = server.server.sockets[0].getsockname()[:2]
        server.on_majority_confirmed(monotonic_ms())
        self.relays[name] = server
        return server

    def _tallied(self, report: object) -> None:
        self.tallies += 1

    def follower(
        self, name: str, take: Callable[[Version, bytes], str] | None = None, folder: str = ""
    ) -> FollowerClient:
        relays = {name: RelayAddress(server.address, PLACE) for name, server in self.relays.items()}
        settings = FollowerSettings(name, "farm", PLACE, relays, folder)
        node = FollowerClient(self.loop, settings, take or (lambda version, data: ""))
        self.nodes.append(node)
        node.start()
        return node

    async def until(self, true: Callable[[], object]) -> None:
        for _ in range(3000):
            if true():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("it did not happen")

    def close(self) -> None:
        for node in self.nodes:
            node.stop()
        for relay in self.relays.values():
            relay.stop()


def play(script: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        rig = Rig()
        try:
            await script(rig)
        finally:
            rig.close()

    asyncio.run(run())


ONE, TWO, THREE = config_contents(5), config_contents(6), config_contents(7)


def test_a_version_is_pushed_whole_and_the_next_one_by_difference() -> None:
    async def script(rig: Rig) -> None:
        relay = await rig.relay()
        nodes = [rig.follower(f"f{n}") for n in range(20)]
        await rig.until(lambda: relay.counts["links"] == 20)
        relay.publish(version(1, ONE), ONE)
        await rig.until(lambda: all(node.version.number == 1 for node in nodes))
        before = relay.counts["bytes_out"]
        assert before > 20 * len(ONE)
        await rig.until(lambda: all(seat.number == 1 for seat in relay.relay.followers.values()))
        relay.publish(version(2, TWO), TWO)
        await rig.until(lambda: all(node.version.number == 2 for node in nodes))
        assert relay.counts["bytes_out"] - before < 20 * len(TWO) // 2
        assert all(node.follower.contents == TWO for node in nodes)
        assert nodes[0].counts["messages_in"] >= 3 and nodes[0].counts["dials"] == 1
        await rig.until(lambda: rig.tallies)

    play(script)


def test_a_version_that_can_not_be_taken_is_kept_out_and_the_relay_knows_why() -> None:
    async def script(rig: Rig) -> None:
        relay = await rig.relay()
        node = rig.follower("f0", lambda version, data: "mostTries is 6" if version.number == 2 else "")
        relay.publish(version(1, ONE), ONE)
        await rig.until(lambda: node.version.number == 1)
        relay.publish(version(2, TWO), TWO)
        await rig.until(lambda: [s.why for s in relay.relay.followers.values()] == ["mostTries is 6"])
        assert node.version.number == 1 and "mostTries is 6" in node.status_line()
        relay.publish(version(3, ONE), ONE)
        await rig.until(lambda: node.version.number == 3)

    play(script)


def test_a_follower_serves_on_under_what_its_disk_has_when_no_relay_answers(tmp_path: Path) -> None:
    async def first(rig: Rig) -> None:
        relay = await rig.relay()
        node = rig.follower("f0", folder=str(tmp_path))
        relay.publish(version(7, ONE), ONE)
        await rig.until(lambda: node.version.number == 7)

    async def second(rig: Rig) -> None:
        await rig.relay()
        rig.relays["m0"].stop()
        taken: list[tuple[int, bytes]] = []

        def take(version: Version, data: bytes) -> str:
            taken.append((version.number, data))
            return ""

        node = rig.follower("f0", take, str(tmp_path))
        settled: list[int] = []
        node.on_applied_or_confirmed = lambda: settled.append(1)
        await rig.until(lambda: settled)
        assert taken == [(7, ONE)] and node.version == version(7, ONE)
        await rig.until(lambda: node.counts["dials"] > 2)  # and it goes on trying

    play(first)
    play(second)


def test_two_refused_versions_do_not_take_the_one_in_force_off_the_disk(tmp_path: Path) -> None:
    def take(version: Version, data: bytes) -> str:
        return "mostTries is 6" if version.number > 1 else ""

    async def refused_once(rig: Rig) -> None:
        relay = await rig.relay()
        node = rig.follower("f0", take, str(tmp_path))
        relay.publish(version(1, ONE), ONE)
        await rig.until(lambda: node.version.number == 1)
        relay.publish(version(2, TWO), TWO)
        await rig.until(lambda: node.follower.refused == 2)

    async def newer_before_the_disk_is_applied(rig: Rig) -> None:
        relay = await rig.relay()
        relay.publish(version(3, THREE), THREE)
        node = rig.follower("f0", take, str(tmp_path))
        await rig.until(lambda: node.version.number == 1)
        assert node.follower.refused

    async def no_relay(rig: Rig) -> None:
        await rig.relay()
        rig.relays["m0"].stop()
        node = rig.follower("f0", take, str(tmp_path))
        await rig.until(lambda: node.version == version(1, ONE))

    for script in (refused_once, newer_before_the_disk_is_applied, no_relay):
        play(script)


def test_a_voter_keeps_all_that_its_disk_held_until_something_is_in_force(tmp_path: Path) -> None:
    async def script(rig: Rig) -> None:
        settings = SimpleNamespace(name="m0", cluster="farm")
        node = SimpleNamespace(loop=rig.loop, clock=monotonic_ms, settings=settings, random=random.Random(1))
        voter = ConfigurationNode(cast(Node, node), str(tmp_path), lambda version, data: "")
        stored: list[int] = []
        voter._stored = lambda number, why: stored.append(number)  # type: ignore[method-assign]
        voter._perform(Store(version(1, ONE), ONE, 0))
        voter._perform(Store(version(2, TWO), TWO, 1))
        voter._perform(Store(version(3, THREE), THREE, 2, (1,)))
        await rig.until(lambda: stored == [1, 2, 3])
        voter.stop()
        assert len(list(tmp_path.glob("version-*"))) == 3

    play(script)


def test_a_follower_goes_to_another_relay_when_its_own_is_lost_full_or_of_another_fleet() -> None:
    async def script(rig: Rig) -> None:
        await rig.relay("m0", fleet="ranch")
        await rig.relay("m1", most=0)
        good = await rig.relay("m2")
        lost = await rig.relay("m3")
        good.publish(version(1, ONE), ONE)
        lost.publish(version(1, ONE), ONE)
        nodes = [rig.follower(f"f{n}") for n in range(8)]
        await rig.until(lambda: all(node.version.number == 1 for node in nodes))
        lost.stop()
        good.publish(version(2, TWO), TWO)
        await rig.until(lambda: all(node.version.number == 2 for node in nodes))
        assert good.counts["links"] == 8

    play(script)


def test_one_that_never_says_who_it_is_is_dropped_and_takes_no_seat() -> None:
    async def script(rig: Rig) -> None:
        relay = await rig.relay()
        reader, writer = await asyncio.open_connection(*relay.address)
        await rig.until(lambda: relay.counts["links"] == 1)
        assert await reader.read() == b"" and not relay.connections
        writer.close()

    play(script)


# The file.

HEAD = 'name = "a"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
RELAY = '[fleet.relays.m]\naddress = "h:1"\nplace = "r/z"\n'


def load(tmp_path: Path, fleet: str) -> Config:
    path = tmp_path / "a.toml"
    path.write_text(f"{HEAD}{fleet}{OPERATOR_SETTINGS}")
    return from_file(str(path))


@pytest.mark.parametrize(
    ("fleet", "says"),
    [
        ("[fleet]\nfollow = 1\n", "[fleet] follow must be true or false, not 1"),
        ('[fleet]\nfollow = true\nplace = "r/z"\n', "[fleet.relays] must name one relay to follow at least"),
        (f"[fleet]\nfollow = true\n{RELAY}", "[fleet] place must be REGION/ZONE for a follower"),
        (f'[fleet]\nfollow = true\nplace = "zone"\n{RELAY}', "[fleet] place must be REGION/ZONE, not 'zone'"),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\nterm_s = 3\n{RELAY}',
            "[fleet] term_s is not for a follower; allowed are name folder follow place relays members",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}[fleet.members]\na = "h:2"\n',
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
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}'
            '[fleet.relays.n]\naddress = "h:1"\nplace = "r/z"\n',
            "[fleet.relays] must have an address of its own for each",
        ),
        (
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}'
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
            f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}port = 1\n',
            "[fleet.relays.m] has the unknown key 'port'; known are address place",
        ),
    ],
)
def test_a_wrong_key_is_named_with_its_value_and_what_is_allowed(
    tmp_path: Path, fleet: str, says: str
) -> None:
    with pytest.raises(ConfigError) as error:
        load(tmp_path, fleet)
    assert says in str(error.value)


def test_a_follower_a_relay_and_a_voter_are_told_apart(tmp_path: Path) -> None:
    follower = load(tmp_path, f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}')
    assert (
        follower.cluster is None and follower.distribution is not None and follower.distribution.is_follower
    )
    voter = load(tmp_path, f'[fleet]\n[fleet.members]\na = "h:2"\n{RELAY}')
    assert voter.cluster is not None and voter.distribution is not None and not voter.distribution.is_follower
    alone = load(tmp_path, '[fleet]\n[fleet.members]\na = "h:2"\n')
    assert alone.cluster is not None and alone.distribution is None


# Versions over the file.


class Fake:
    """A dispatcher that only keeps its configuration."""

    def __init__(self, config: Config, waits: tuple[str, ...] = (), why: str = "") -> None:
        self.config, self.waiting, self.why = config, waits, why

    def fields_requiring_restart(self, config: Config) -> list[str]:
        return [name for name in self.waiting if config.options.get(name) != self.config.options.get(name)]

    def apply_config(self, config: Config) -> str:
        if not self.why:
            self.config = config
        return self.why


def applied_config(tmp_path: Path, **kv: Any) -> AppliedConfig:
    return AppliedConfig(Fake(load(tmp_path, f'[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}'), **kv))


def test_a_version_stands_in_place_of_the_files_sections_and_stays_over_a_file_read_again(
    tmp_path: Path,
) -> None:
    applied = applied_config(tmp_path)
    assert applied.apply(version(1, TWO), TWO) == ""
    assert (
        applied.dispatcher.config.options["limits"]["mostTries"] == 6
        and len(applied.dispatcher.config.worker_source.entries) == 1
    )
    (tmp_path / "a.toml").write_text(
        f'sockets = 2000\n{HEAD}[fleet]\nfollow = true\nplace = "r/z"\n{RELAY}{OPERATOR_SETTINGS}'
    )
    again = applied.reread()
    assert again.max_sockets == 2000 and again.options["limits"]["mostTries"] == 6
    (tmp_path / "a.toml").write_text("half a file")
    with pytest.raises(ConfigError):
        applied.reread()
    assert applied.apply(version(2, ONE), ONE) == ""  # what was read last still holds below it


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
def test_what_can_not_be_taken_is_named_and_the_version_in_force_stays(
    tmp_path: Path, data: bytes, why: str
) -> None:
    applied = applied_config(tmp_path, waits=("zones",))
    assert applied.apply(version(1, TWO), TWO) == ""
    former = applied.dispatcher.config
    assert why in applied.apply(version(2, data), data)
    assert applied.dispatcher.config is former and applied.contents == TWO


def test_what_waits_for_a_restart_by_the_local_file_is_not_held_against_a_version(
    tmp_path: Path,
) -> None:
    applied = applied_config(tmp_path, waits=("zones",))
    path, wider = tmp_path / "a.toml", 'zones = ["here", "there"]'
    path.write_text(path.read_text().replace('zones = ["here"]', wider))
    assert "zones" in applied.apply(version(1, TWO), config_contents(6, zones='["here", "there"]'))
    applied.reread()  # as SIGHUP does: it is known from now on that zones wait
    assert applied.apply(version(2, TWO), config_contents(6, zones='["here", "there"]')) == ""


def test_what_the_dispatcher_can_not_put_in_force_is_not_laid_over_the_file_either(tmp_path: Path) -> None:
    applied = applied_config(tmp_path, why="servers: it failed")
    assert applied.apply(version(1, TWO), TWO) == "servers: it failed" and applied.contents is None


def test_a_file_that_is_to_be_in_force_is_a_regular_one_of_a_bounded_size(tmp_path: Path) -> None:
    for path, why in ((tmp_path, "no regular file"), (tmp_path / "none", "No such file")):
        with pytest.raises(ConfigError, match=why):
            read_contents(str(path))
    with tempfile.NamedTemporaryFile(dir=tmp_path) as file:
        file.truncate(MAX_CONTENTS_BYTES + 1)
        with pytest.raises(
            ConfigError, match=f"{MAX_CONTENTS_BYTES + 1} bytes; allowed: {MAX_CONTENTS_BYTES}"
        ):
            read_contents(file.name)
