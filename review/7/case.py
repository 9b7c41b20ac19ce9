"""A keyed job that has perhaps run is handed over in an upgrade and then handed back; see claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path

import harness_2 as h

DEADLINE_S = 6.0
# How the attempts of a job end, by their number, and after how many seconds: the first one may have run, the
# second one has waited at its runner and is handed back unstarted. All others are done.
ENDS = {("read-1", 1): ("failed", 0.2), ("read-1", 2): ("returned", 5.2)}


async def play(case: h.Case) -> str:
    """Send one keyed job and judge its answer: it must not be a refusal, since the job may have run."""
    discovery = h.Discovery(case.record)
    final_read = h.job_class(
        "final-read", "guarded", 500.0, DEADLINE_S * 1000.0, group="cell", windowMs=10_000.0
    )
    platform = h.Platform(case, discovery, h.settings(final_read, drain_grace_ms=1000.0))
    came: list[str] = []

    async def work(runner: h.Runner, run: h.Run) -> dict[str, object]:
        if run.call_id == "read-1":
            came.append(runner.uid)
        state, seconds = ENDS.get((run.call_id, len(came)), ("done", 0.1))
        await asyncio.sleep(seconds)
        case.record("runner_ends_job", runner=runner.uid, job=run.call_id, state=state)
        return {"state": state, "result": f"did {run.call_id}"} if state == "done" else {"state": state}

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
