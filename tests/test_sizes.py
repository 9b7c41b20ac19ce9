"""Worker lists and clusters of 1,024: a real dispatcher with the smallest limits handles them and serves."""

from __future__ import annotations

import os
from pathlib import Path

from grebestack.consensus.messages import (
    MAX_MESSAGE_BYTES,
    EnterEpoch,
    Handshake,
    MembershipConfig,
    RegisterEntry,
    RestartPlan,
    StopVoting,
    VotingStopped,
    encode,
)
from grebestack.consensus.register import Ballot
from tests.dispatcher_group import DispatcherGroup
from tests.process_memory import memory_mb
from tests.standins import SETTINGS, wait_until

MEMORY_MB, SOCKETS = 32, 256  # the smallest limits that the platform sets


def test_1024_workers_and_dispatchers_fit_the_smallest_dispatcher(tmp_path: Path) -> None:
    group = DispatcherGroup(tmp_path, dispatchers=1, workers=1024, workers_per_port=64)
    group.settings = SETTINGS | {"siblings": 1024, "discovery": "pushed", "me": 1023}
    try:
        group.start("n0")
        pid = group.processes["n0"].pid
        group.send_traffic(0.05)
        wait_until(lambda: len(group.sends) > 60)
        group.changes += [(f"s-{n}", "Terminating") for n in range(0, 1024, 2)]  # the agent sends it indented
        group.run_on_loop(lambda: group.update_agent("n0"))
        sends_before = len(group.sends)
        wait_until(lambda: len(group.sends) > sends_before + 60)
        memory = memory_mb(pid)
        # Without mapped files, which the processes of a machine share.
        assert memory["VmHWM"] - memory["RssFile"] <= MEMORY_MB
        assert len(os.listdir(f"/proc/{pid}/fd")) <= SOCKETS
    finally:
        group.close()
    log = (tmp_path / "n0.log").read_text()
    assert "servers=1024 live=True" in log and "level=warning" not in log, log[-2000:]


def test_a_membership_of_1024_fits_a_message() -> None:
    members = tuple((f"{n:064}", f"{n:032x}") for n in range(1024))
    names = tuple(name for name, _ in members)
    ballot, plan = Ballot(1 << 60, names[0], 1 << 60), RestartPlan(1, names[0], names, names)
    config = MembershipConfig(8, members)
    registers: tuple[RegisterEntry, ...] = (
        ("set/7", ballot, ballot, config),
        ("restart", ballot, ballot, plan),
    )
    for message in (
        Handshake(1, "fleet", names[0], "f" * 32, 9, 8, {n: (i, 1 << 60) for n, i in members}),
        StopVoting(7, config),
        VotingStopped(7, registers),
        EnterEpoch(config, registers),
    ):
        assert len(encode(message)) < MAX_MESSAGE_BYTES / 2, type(message).__name__
