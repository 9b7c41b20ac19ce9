"""The jobs of before a restart: which go on, which are waited for, and which are sent again."""

from __future__ import annotations

import gc
import logging
import math
from functools import partial
from typing import TYPE_CHECKING

from grebestack.core.api import Outcome
from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import Dependency
from grebestack.jobs.earlier_attempts import EarlierAttempts, RetryLimit, retry_limit
from grebestack.jobs.records import NO_DEADLINE, Job, JobState
from grebestack.jobs.released_job import ReleasedJob

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
ASK_BACK_AGAIN_MS = 100.0  # between looks whether the server of a job of before a restart is listed


class JobRecovery:
    """Takes up the jobs that a job service finds in its store."""

    def __init__(self, service: JobService) -> None:
        """Take them up for this service."""
        self.service = service

    def restore(self) -> None:
        """Take up the jobs of before a restart, with their places.

        One that may have run is sent again only where that is harmless, and once its server has given it up.
        """
        collects = gc.isenabled()
        gc.disable()  # it would walk all that is made here again and again, and find nothing
        try:
            self._restore()
        finally:
            if collects:
                gc.enable()

    def _restore(self) -> None:
        service = self.service
        service.store.delete_batches()
        edges: dict[str, list[Dependency]] = {}
        for name, other, condition, done in service.store.open_dependencies():
            edges.setdefault(name, []).append(Dependency(other, condition, done))
        ran = service.store.earlier_attempts()
        for batch, most, failed in service.store.open_batches():
            service.handle_event(queue_api.BatchAdded(batch, most, failed))
        now, specs = service.wall_clock(), []
        with service.store.transaction():
            for job in service.store.open_jobs():
                earlier = ran.get(job.id)
                if earlier is not None:
                    self._adopt(job, earlier)
                elif job.state in (JobState.RUNNING, JobState.UNDETERMINED):
                    service.store.set_state(job.id, JobState.QUEUED)
                if job.direct:
                    service.direct.add(job.id)
                since = None if job.ready is None else max(job.ready, job.submitted)
                age_ms = None if since is None else max(0.0, now - since) * 1000.0
                specs.append(service.spec_of(job, tuple(edges.get(job.id, ())), age_ms, earlier is not None))
        if specs:
            kv = {"jobs": len(specs), "may_have_run": len(ran), "direct": len(service.direct)}
            log.info("jobs_restored", extra={"kv": kv})
            service.handle_event(queue_api.JobsSubmitted(tuple(specs), restored=True))

    def _adopt(self, job: Job, earlier: EarlierAttempts) -> None:
        """Guards against a second run: its call-back or its deadline ends a job that may have run.

        Unless it may be sent again: then its server is told to give it up.
        """
        service = self.service
        server = earlier.worker
        log.info("job_restored", extra={"kv": {"job": job.id, "may_have_run": True, "server": server}})
        service.store.set_state(job.id, JobState.UNDETERMINED)
        ticket = service.tickets[job.id] = ReleasedJob(service, job.id, job.direct)
        ticket.adopted = server
        service.servers.set_callback_handler(job.id, server, partial(self._adopted_ended, job.id))
        if job.category in service.classes:
            job_class = service.settings.classes[service.classes[job.category]]
            limit = retry_limit(job_class, service.settings, earlier)
            if limit is not None:
                self._ask_back(job.id, limit)
        deadline = job.deadline
        if deadline == NO_DEADLINE:  # its class's deadline, which counts from its release, is the latest
            index = service.classes.get(job.category, 0)
            deadline = service.wall_clock() + service.settings.classes[index].deadline_ms / 1000.0
        ticket.timer = service.engine.clock.call_at(
            service.clock_ms(deadline), partial(self.on_overdue, job.id)
        )

    def _ask_back(self, job_id: str, limit: RetryLimit) -> None:
        """Have its server give up a job that may be sent again, once that server is listed."""
        service = self.service
        ticket = service.tickets.get(job_id)
        if ticket is None or ticket.adopted is None or service.wall_clock() >= limit.until_s:
            return
        if not service.servers.abandon_job(ticket.adopted, job_id, partial(self._send_again, job_id, limit)):
            again = partial(self._ask_back, job_id, limit)
            service.engine.clock.call_at(service.engine.clock.now_ms() + ASK_BACK_AGAIN_MS, again)

    def _send_again(self, job_id: str, limit: RetryLimit) -> None:
        """A server has heard that a job of before the restart is given up: let it wait for its turn."""
        service = self.service
        ticket = service.tickets.get(job_id)
        if (
            ticket is None
            or ticket.adopted is None
            or service.stopping
            or service.wall_clock() >= limit.until_s
        ):
            return
        log.info("job_sent_again", extra={"kv": {"job": job_id, "server": ticket.adopted}})
        if ticket.timer is not None:
            ticket.timer.cancel()
        service.servers.set_callback_handler(job_id, ticket.adopted, None)
        service.retries[job_id] = limit
        service.store.set_state(job_id, JobState.REQUEUED)
        if limit.until_s < math.inf:
            service.engine.clock.call_at(
                service.clock_ms(limit.until_s), partial(self._retry_expired, job_id)
            )
        service.returned(ticket, 0.0)

    def _retry_expired(self, job_id: str) -> None:
        """A job may not be sent again any more: one that was not ends here."""
        if job_id not in self.service.retries:
            return
        ticket = self.service.tickets.get(job_id)
        if ticket is None or (
            ticket.session is not None and self.service.engine.withdraw_unsent(ticket.session)
        ):
            self.on_overdue(job_id)

    def _adopted_ended(self, job_id: str, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.OK:
            self.service.finish(job_id, JobState.DONE, result=result)
        elif outcome.never_ran:
            note = "handed back after a restart: it has not run and may be submitted again"
            self.service.finish(job_id, JobState.FAILED, annotation=note, retry_after=0.0)
        else:
            self.service.finish(job_id, JobState.FAILED, annotation="failed: it may have run")

    def on_overdue(self, job_id: str) -> None:
        """End a job of before the restart of which nothing was heard in time."""
        note = "nothing was heard of it by its deadline since a restart: it has perhaps run"
        self.service.finish(job_id, JobState.FAILED, annotation=note)

    def on_cancelled(self, job_id: str) -> None:
        """End a job of before the restart that its server has given up as a client asked."""
        self.service.finish(job_id, JobState.FAILED, annotation="terminated: it may have run")
