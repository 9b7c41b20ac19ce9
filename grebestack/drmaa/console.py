"""Requests of the operator's console to a running dispatcher: status, workers, drains and cluster."""

from __future__ import annotations

import time
from typing import Any, Protocol

from grebestack.job_queue.interface import JobStage
from grebestack.jobs.service import JobService
from grebestack.routing.engine import Engine


class WorkerMembership(Protocol):
    """Which workers are members, and in which state."""

    def describe(self) -> dict[str, Any]:
        """Return the sources, and each worker with its state, its reason and what its sources report."""

    def set_drained(self, worker: str, on: bool) -> None:
        """Drain a worker, or end the drain; KeyError if there is no such worker."""

    def accept_removals(self, source: str) -> None:
        """Accept the removal of workers that a source reports; KeyError if there is no such source."""


class Cluster(Protocol):
    """The cluster of dispatchers that this one is a member of."""

    def members(self) -> dict[str, Any]:
        """Return the current configuration and each member with its state."""

    def leases(self) -> dict[str, Any]:
        """Return each task with its lease holder and fencing token."""


class Console:
    """Handles the console's requests, which are sent to the DRMAA API's address under /console/."""

    def __init__(
        self,
        name: str,
        engine: Engine,
        jobs: JobService,
        membership: WorkerMembership | None,
        cluster: Cluster | None = None,
    ) -> None:
        self.name, self.engine, self.jobs, self.store = name, engine, jobs, jobs.store
        self.membership, self.cluster = membership, cluster
        self.started_at = time.time()

    def serve(self, method: str, operation: str, raw: Any) -> Any:
        """Return the response to a request; KeyError if its operation or a name in it is unknown."""
        match (method, operation):
            case ("GET", "status"):
                return self._status()
            case ("GET", "servers"):
                return self._workers()
            case ("POST", "drain"):
                return self._drain(raw)
            case ("GET", "membership") if self.membership is not None:
                return self.membership.describe()
            case ("GET", "fleet") if self.cluster is not None:
                return self.cluster.members()
            case ("GET", "leases") if self.cluster is not None:
                return self.cluster.leases()
            case ("POST", "accept") if self.membership is not None and isinstance(raw, dict):
                self.membership.accept_removals(str(raw.get("source")))
                return {"source": raw.get("source")}
        raise KeyError(f"{method} {operation}")

    def _status(self) -> dict[str, Any]:
        engine = self.engine
        return {
            "name": self.name,
            "up_seconds": round(time.time() - self.started_at, 1),
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

    def _workers(self) -> list[dict[str, Any]]:
        table, drained = self.engine.table, self.store.drained_workers()
        status_by_worker = (
            {s["server"]: s for s in self.membership.describe()["servers"]}
            if self.membership is not None
            else {}
        )
        open_attempts: dict[str, int] = {}
        for request in self.engine.requests.values():
            for attempt in request.open_attempts():
                open_attempts[attempt.worker] = open_attempts.get(attempt.worker, 0) + 1
        return [
            {
                "server": name,
                "state": status_by_worker.get(name, {}).get("state", worker.entry.state.value),
                "reason": status_by_worker.get(name, {}).get("reason"),
                "address": ":".join(map(str, worker.address)),
                "drained_here": name in drained,
                "dispatches": open_attempts.get(name, 0),
            }
            for name, worker in sorted(table.workers.items())
        ]

    def _drain(self, raw: Any) -> dict[str, Any]:
        worker = raw.get("server") if isinstance(raw, dict) else None
        on = raw.get("on", True) if isinstance(raw, dict) else None
        if not isinstance(worker, str) or not isinstance(on, bool):
            raise KeyError("drain needs a server, and on: true or false")
        if self.membership is None:
            raise KeyError("no membership")
        self.membership.set_drained(worker, on)
        self.store.set_drained(worker, on)
        return {"server": worker, "drained_here": on}
