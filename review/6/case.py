"""Two upgrades in a row under an order that runs for long; see claim.txt."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import harness_2 as h

DEADLINE_S = 10.0
RUN_S = 9.5


async def play(case: h.Case) -> str:
    """Send one long order, upgrade the dispatcher twice, and judge the order's answer."""
    discovery = h.Discovery(case.record)
    platform = h.Platform(
        case, discovery, h.settings(h.job_class("order", "single_shot", 600.0, DEADLINE_S * 1000.0))
    )

    async def work(runner: h.Runner, run: h.Run) -> dict[str, object]:
        await asyncio.sleep(RUN_S if run.call_id == "long" else 0.1)
        case.record("runner_did_job", runner=runner.uid, job=run.call_id)
        return {"state": "done", "result": f"did {run.call_id}"}

    runners = [h.Runner(f"s-{n}", case.record, lambda: [platform.port], work) for n in range(2)]
    for server in (discovery, *runners):
        await server.open()
    discovery.set(*map(h.entry, runners))
    process = await platform.start_and_wait()

    async def order(call_id: str) -> tuple[h.Reply | None, float]:
        began = time.monotonic()
        headers = {"X-Call-Id": call_id, "X-Call-Class": "order", "X-Budget": f"{DEADLINE_S:.3f}"}
        case.record("client_sends", job=call_id)
        reply = await h.ask(platform.port, "POST", "/api", b"500 l", headers, DEADLINE_S + 1.0)
        case.record("client_gets", job=call_id, answer=reply and (reply[0], reply[2].decode()))
        return reply, time.monotonic() - began

    long = asyncio.create_task(order("long"))
    await asyncio.sleep(0.3)
    for _ in range(2 if h.TROUBLE else 0):
        successor = await platform.start_and_wait()
        await process.stop_as_planned(DEADLINE_S)
        process = successor
    reply, seconds = await long
    probe, _ = await order("after")
    if probe is None or probe[0] != 200:
        raise h.CouldNotRunError(f"the dispatcher does not serve afterwards: {probe}")
    if reply is None:
        return f"the order's connection was ended without an answer after {seconds:.2f} s"
    return ""


h.run_case(Path(__file__).parent, play)
