"""A keyed job that has perhaps run is handed over in an upgrade and then handed back; see claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path

import harness_2 as h

DEADLINE_S = 6.0
FAILS_AFTER_S = 0.2  # the first runner tells that the job failed: it may have run
HANDED_BACK_AFTER_S = 4.2  # the next one has had the job waiting and hands it back unstarted


async def play(case: h.Case) -> str:
    """Send one keyed job and judge its answer: it must not be a refusal, since the job may have run."""
    discovery = h.Discovery(case.record)
    final_read = h.job_class(
        "final-read", "guarded", 500.0, DEADLINE_S * 1000.0, group="cell", windowMs=10_000.0
    )
    platform = h.Platform(case, discovery, h.settings(final_read, drain_grace_ms=1000.0))
    came: list[str] = []

    async def work(runner: h.Runner, run: h.Run) -> dict[str, object]:
        if run.call_id != "read-1":
            await asyncio.sleep(0.1)
            return {"state": "done", "result": f"did {run.call_id}"}
        came.append(runner.uid)
        if len(came) == 1:
            await asyncio.sleep(FAILS_AFTER_S)
            case.record("runner_did_job_and_fails", runner=runner.uid, job=run.call_id)
            return {"state": "failed"}
        if len(came) > 2:
            await asyncio.sleep(0.1)
            return {"state": "done", "result": f"did {run.call_id}"}
        await asyncio.sleep(HANDED_BACK_AFTER_S)
        case.record("runner_hands_back", runner=runner.uid, job=run.call_id)
        return {"state": "returned"}

    runners = [h.Runner(f"s-{n}", case.record, lambda: [platform.port], work, cell=n // 2) for n in range(4)]
    for server in (discovery, *runners):
        await server.open()
    discovery.set(*map(h.entry, runners))
    process = await platform.start_and_wait()

    async def read(call_id: str) -> h.Reply | None:
        headers = {
            "X-Call-Id": call_id,
            "X-Call-Class": "final-read",
            "X-Budget": f"{DEADLINE_S:.3f}",
            "Idempotency-Key": f"key-{call_id}",
        }
        case.record("client_sends", job=call_id)
        reply = await h.ask(platform.port, "POST", "/api", b"meter 7", headers, DEADLINE_S + 1.0)
        case.record("client_gets", job=call_id, answer=reply and (reply[0], reply[2].decode()))
        return reply

    first = asyncio.create_task(read("read-1"))

    async def is_at_second_runner() -> bool:
        return len(came) > 1

    await case.until("the job at a second runner", 2.0, is_at_second_runner)
    if h.TROUBLE:
        await platform.start_and_wait()
        await process.stop_as_planned(DEADLINE_S)
    reply = await first
    probe = await read("after")
    if probe is None or probe[0] != 200:
        raise h.CouldNotRunError(f"the dispatcher does not serve afterwards: {probe}")
    if reply is not None and reply[0] in (429, 503):
        return f"the job was refused with {reply[0]}, though {came[0]} may have run it"
    return ""


h.run_case(Path(__file__).parent, play)
