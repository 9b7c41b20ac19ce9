"""An order is handed back unstarted, and the answer to that call-back is lost: the runner calls again."""

from __future__ import annotations

import socket
import sys
import threading
import time
from collections.abc import Callable
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
    is_ready,
    play,
    target,
    trouble,
    wait_until,
)

RUN_S = 7.0  # of the order; its deadline is 10 s


class CallbackPath:
    """The network from the runner to the dispatcher. It can lose the answer to one call."""

    def __init__(self, case: Case, to_port: int) -> None:
        """Listen; calls are carried to `to_port`."""
        self.case, self.to_port, self.port = case, to_port, free_port()
        self.loses = ""  # the answer to the last call on this job that hands it back is lost
        self.calls_back = 0
        self.listener = socket.create_server((HOST, self.port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()
        case.closing.append(self.listener.close)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._carry, args=(client,), daemon=True).start()

    def _carry(self, client: socket.socket) -> None:
        """Carry one call and its answer; the runner uses a connection for one call."""
        try:
            with socket.create_connection((HOST, self.to_port), 5) as server:
                client.settimeout(5)
                call = b""
                while True:
                    call += client.recv(65536)
                    head, found, body = call.partition(b"\r\n\r\n")
                    if found and len(body) >= length_of(head):
                        break
                server.sendall(call)
                answer = server.recv(65536)
                if self.loses and self.loses.encode() in call and b'"returned"' in call:
                    self.calls_back += 1
                    is_lost = self.calls_back == 2
                else:
                    is_lost = False
                if is_lost:
                    self.case.note(f"network: the dispatcher's answer is lost: {answer[:12]!r}")
                    client.settimeout(20)
                    client.recv(1)  # until the runner gives up waiting for it
                else:
                    client.sendall(answer)
        except OSError:
            pass
        finally:
            client.close()


def length_of(head: bytes) -> int:
    """Return the length of the body that a head announces."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def body(case: Case) -> int:
    """Play the case: both runners hand the order back once, and then take it."""
    listen = free_port()
    path = CallbackPath(case, listen)
    runners = [Runner(case, uid, path.port) for uid in ("s-1", "s-2")]
    for runner in runners:
        runner.hands_back = hands_back_once()
    discovery = Discovery(case, [target(runner.uid, runner.port) for runner in runners])
    case.start_on_platform("n1", listen, discovery.port)
    wait_until(lambda: is_ready(listen), "the dispatcher is ready")
    for number in range(6):  # short ones first, so that the dispatcher knows both runners
        Job(case, listen, f"short-{number}", "order").wait(10)
    for runner in runners:
        runner.run_s = RUN_S
    if trouble():
        path.loses = "order-1"
    job = Job(case, listen, "order-1", "order")
    job.wait(20)
    time.sleep(3.0)  # so that a second run would show
    began = {runner.uid: runner.started.get("order-1", 0) for runner in runners}
    runs = sum(began.values())
    if not runs:
        raise CannotRunError("the order was not run at all")
    return case.finish([f"order-1 must never run twice, and was begun {began}"] if runs > 1 else [])


def hands_back_once() -> Callable[[str], bool]:
    """Return a runner's choice: it hands the first attempt of the order back, and no other."""
    handed_back: list[str] = []

    def choice(call_id: str) -> bool:
        first = call_id == "order-1" and not handed_back
        if first:
            handed_back.append(call_id)
        return first

    return choice


play(str(Path(__file__).resolve().parent), body)
