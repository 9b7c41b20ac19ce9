"""What the operator's console asks of a running dispatcher: its status, its servers, and drains."""

from __future__ import annotations

import time
from typing import Any, Protocol

from grebestack.job_queue.interface import JobStage
from grebestack.jobs.service import JobService
from grebestack.routing.engine import Engine


class WorkerMembership(Protocol):
    """What is believed of the servers."""

    def describe(self) -> dict[str, Any]:
        """The sources, and each server with its state, reason and what its sources say."""

    def set_drained(self, server: str, on: bool) -> None:
        """The operator drains a server, or does no longer; KeyError if none has this name."""

    def accept_removals(self, source: str) -> None:
        """The operator accepts what a source takes away; KeyError if there is no such source."""


class Cluster(Protocol):
    """The dispatchers that this one agrees with."""

    def members(self) -> dict[str, Any]:
        """The set in force, and each member with its state."""

    def leases(self) -> dict[str, Any]:
        """Each task with its holder and token."""


class Console:
    """Answers the console's requests, which come to the DRMAA front's address under /console/."""

    def __init__(
        self,
        name: str,
        engine: Engine,
        jobs: JobService,
        roster: WorkerMembership | None,
        fleet: Cluster | None = None,
    ) -> None:
        self.name, self.engine, self.jobs, self.store = name, engine, jobs, jobs.store
        self.roster, self.fleet = roster, fleet
        self.started = time.time()

    def serve(self, method: str, what: str, raw: Any) -> Any:
        """Answer one request; KeyError if there is no such thing."""
        match (method, what):
            case ("GET", "status"):
                return self._status()
            case ("GET", "servers"):
                return self._servers()
            case ("POST", "drain"):
                return self._drain(raw)
            case ("GET", "membership") if self.roster is not None:
                return self.roster.describe()
            case ("GET", "fleet") if self.fleet is not None:
                return self.fleet.members()
            case ("GET", "leases") if self.fleet is not None:
                return self.fleet.leases()
            case ("POST", "accept") if self.roster is not None and isinstance(raw, dict):
                self.roster.accept_removals(str(raw.get("source")))
                return {"source": raw.get("source")}
        raise KeyError(f"{method} {what}")

    def _status(self) -> dict[str, Any]:
        engine = self.engine
        return {
            "name": self.name,
            "up_seconds": round(time.time() - self.started, 1),
            "servers": len(engine.table.workers),
            "ready_servers": sum(engine.table.accepts_work(name) for name in engine.table.workers),
            "list_is_live": engine.table.has_live_list,
            "open_sessions": len(engine.open_by_call_id),
            "jobs": self.store.counts_by_state(),
            "waiting_room": {
                stage.name.lower(): count
                for stage, count in zip(JobStage, self.jobs.job_queue.stage_counts, strict=True)
                if stage is not JobStage.ENDED
            }
            | dict(self.jobs.counts),
            "counts": dict(engine.counts),
        }

    def _servers(self) -> list[dict[str, Any]]:
        table, drained = self.engine.table, self.store.drained_workers()
        believed = (
            {s["server"]: s for s in self.roster.describe()["servers"]} if self.roster is not None else {}
        )
        out: dict[str, int] = {}
        for session in self.engine.requests.values():
            for dispatch in session.open_attempts():
                out[dispatch.worker] = out.get(dispatch.worker, 0) + 1
        return [
            {
                "server": name,
                "state": believed.get(name, {}).get("state", server.entry.state.value),
                "reason": believed.get(name, {}).get("reason"),
                "address": ":".join(map(str, server.address)),
                "drained_here": name in drained,
                "dispatches": out.get(name, 0),
            }
            for name, server in sorted(table.workers.items())
        ]

    def _drain(self, raw: Any) -> dict[str, Any]:
        server = raw.get("server") if isinstance(raw, dict) else None
        on = raw.get("on", True) if isinstance(raw, dict) else None
        if not isinstance(server, str) or not isinstance(on, bool):
            raise KeyError("drain needs a server and whether it is on")
        if self.roster is None:
            raise KeyError("no membership")
        self.roster.set_drained(server, on)
        self.store.set_drained(server, on)
        return {"server": server, "drained_here": on}
