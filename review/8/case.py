"""A dispatcher is killed under a keyed job that has perhaps run, which is then handed back; see claim.txt."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import harness_2 as h

DEADLINE_S = 6.0
FAILS_AFTER_S = 0.2
HANDED_BACK_AFTER_S = 2.5
METER = "meter 7"


async def play(case: h.Case) -> str:
    """Submit one keyed job, kill the dispatcher and start it again, and judge how the job ends."""
    discovery = h.Discovery(case.record)
    final_read = h.job_class(
        "final-read", "guarded", 500.0, DEADLINE_S * 1000.0, group="cell", windowMs=10_000.0
    )
    servers = {"source": "discovery", "address": f"{h.HOST}:{discovery.port}"}
    appliance = h.Appliance(case, h.settings(final_read, drain_grace_ms=1000.0), servers)
    came: list[str] = []
    did: list[tuple[str, str]] = []  # runner and job, once a job has had its effect

    async def work(runner: h.Runner, run: h.Run) -> dict[str, object]:
        came.append(runner.uid)
        if len(came) == 2:  # it waits at the runner, which then hands it back unstarted
            await asyncio.sleep(HANDED_BACK_AFTER_S)
            case.record("runner_hands_back", runner=runner.uid, job=run.call_id)
            return {"state": "returned"}
        await asyncio.sleep(FAILS_AFTER_S)
        case.record("runner_did_job", runner=runner.uid, job=run.call_id, body=run.body.decode())
        did.append((runner.uid, run.call_id))
        return {"state": "failed"} if len(came) == 1 else {"state": "done", "result": "read"}

    runners = [h.Runner(f"s-{n}", case.record, lambda: [appliance.port], work, cell=n // 2) for n in range(4)]
    for server in (discovery, *runners):
        await server.open()
    discovery.set(*map(h.entry, runners))
    process = await appliance.start_and_wait()
    template = {"jobCategory": "final-read", "args": [METER]}
    job = await appliance.submit("read-1", template)

    async def is_at_second_runner() -> bool:
        return len(came) > 1

    await case.until("the job at a second runner", 2.0, is_at_second_runner)
    if h.TROUBLE:
        await asyncio.sleep(0.3)
        process.signal(signal.SIGKILL)
        await process.ended(5.0)
        await appliance.start_and_wait()
    await appliance.call("POST", f"/drmaa2/jobs/{job}/waitTerminated", {"timeout": DEADLINE_S + 2.0})
    info = await appliance.info(job)
    if info["jobState"] not in ("DONE", "FAILED"):
        return f"the job has not ended: {info['jobState']}"
    retry_after = info["implementationSpecific"].get("retryAfter")
    if info["jobState"] != "FAILED" or retry_after is None:
        return ""
    # The client is told that the job was refused and has not run: it submits it again under a new key.
    await asyncio.sleep(retry_after)
    again = await appliance.submit("read-1-again", template)
    await appliance.call("POST", f"/drmaa2/jobs/{again}/waitTerminated", {"timeout": DEADLINE_S + 2.0})
    return f"refused as '{info['annotation']}' after {did[0][0]} may have run it; runs with an effect: {did}"


h.run_case(Path(__file__).parent, play)
