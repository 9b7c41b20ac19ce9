"""One upgrade while jobs with large bodies wait in the dispatcher for a free runner."""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import (  # noqa: E402
    HOST,
    CannotRunError,
    Case,
    Discovery,
    Job,
    Runner,
    free_port,
    play,
    says_ready,
    target,
    trouble,
    wait_until,
)

JOBS = 60  # open at once; clients may hold a third of 1,024 descriptors
BODY_BYTES = 60 * 1024  # compressed data; a body holds at most 64 KiB
RUN_S = 0.5
READY_S = 6.0  # the platform gives a new process so long to say yes
TOLERATED = 2  # jobs that meet a reset connection in an upgrade


def body(case: Case) -> int:
    """Play the case."""
    listen = free_port()
    listener = socket.create_server((HOST, listen), backlog=512)  # the platform holds it
    case.closing.append(listener.close)
    runners = [Runner(case, uid, listen) for uid in ("s-1", "s-2")]
    discovery = Discovery(case, [target(runner.uid, runner.port) for runner in runners])

    def start() -> subprocess.Popen[bytes]:
        control = free_port()
        process = case.start_on_platform(
            "n1",
            listen,
            discovery.port,
            RELAY_LISTEN_FD=str(listener.fileno()),
            RELAY_CONTROL=f"{HOST}:{control}",
        )
        wait_until(lambda: says_ready(control), "a process is ready", READY_S)
        case.note(f"program {len(case.processes)} says yes")
        return process

    first = start()
    for number in range(6):  # short ones first, so that the dispatcher knows both runners
        Job(case, listen, f"short-{number}", "order").wait(10)
    for runner in runners:
        runner.run_s = RUN_S
    payload = random.Random(1).randbytes(BODY_BYTES)
    jobs = [Job(case, listen, f"order-{number}", "order", payload) for number in range(JOBS)]
    time.sleep(1.0)
    if trouble():
        start()
        case.note("SIGTERM to program 1")
        first.send_signal(signal.SIGTERM)
    for job in jobs:
        job.wait(20)
    if any(job.status is None and not job.error for job in jobs):
        raise CannotRunError("a client is still waiting")
    lost = [job for job in jobs if job.error]
    answers = sorted({job.status for job in jobs if job.status is not None})
    case.note(f"{len(jobs) - len(lost)} of {len(jobs)} jobs got an answer ({answers}), {len(lost)} got none")
    if len(lost) <= TOLERATED:
        return case.finish([])
    return case.finish([f"{len(lost)} jobs were taken, and their connections ended without an answer"])


play(str(Path(__file__).resolve().parent), body)
