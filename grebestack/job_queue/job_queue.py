"""The job queue: takes events, returns actions, and decides which job is released to the engine and when.

The order of release and the bound on waiting times are described in docs/design-waiting.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from grebestack.job_queue import interface as api
from grebestack.job_queue.dependencies import (
    NEVER,
    BatchNode,
    DependantNotifications,
    DependencyGraph,
    JobNode,
    SortedQueue,
)
from grebestack.job_queue.interface import EndCause, JobStage

MIN_PAUSE_MS = 50.0  # an advised pause is never shortened below this
MAX_PAUSE_SHARE = 0.25  # longest pause of an aged job, as a share of the time until it is due
MAX_LISTED_DEPENDENCIES = 8  # names of unfinished dependencies in a WaitStatus
GAP_SMOOTHING = 0.05  # weight of the newest gap in the moving average of a class's time between two sends


class ClassQueue:
    """The ready jobs of one class and the numbers of its released jobs that are not sent yet."""

    def __init__(self) -> None:
        self.available = True
        self.ready = (SortedQueue(), SortedQueue())  # sorted by due_ms; index 0: not aged, index 1: aged
        self.unsent = [0, 0]
        self.last_sent_ms: float | None = None
        self.mean_gap_ms = 0.0  # moving average of the time between two sends; 0: unknown


class JobQueue:
    """All jobs that have not ended. The caller passes events and carries out the returned actions."""

    def __init__(self, settings: api.JobQueueSettings) -> None:
        self.settings = settings
        self.graph = DependencyGraph()
        self.notifications = DependantNotifications()
        self.class_queues = [ClassQueue() for _ in range(settings.class_count)]
        self.batches = self.graph.batches
        self.unrecorded_jobs: dict[str, list[JobNode]] = {}
        self.newly_recorded: deque[JobNode] = deque()
        self.by_start, self.by_deadline = SortedQueue(), SortedQueue()  # sorted by Unix time
        self.by_retry_time, self.by_ageing_time = SortedQueue(), SortedQueue()  # sorted by monotonic time
        self.stage_counts = [0] * len(JobStage)  # number of jobs in each stage
        self.now_ms, self.offset_ms = 0.0, 0.0
        self.next_tick_ms = NEVER  # the earliest tick that is scheduled
        self.steps_left = 0  # steps that the current event may still take
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.JobsSubmitted: self._on_jobs_submitted,
            api.BatchRecorded: self._on_batch_recorded,
            api.BatchStopped: self._on_batch_stopped,
            api.BatchDiscarded: self._on_batch_discarded,
            api.BatchAdded: self._on_batch_added,
            api.HoldChanged: self._on_hold_changed,
            api.JobSent: self._on_job_sent,
            api.JobReturned: self._on_job_returned,
            api.JobEnded: self._on_job_ended,
            api.TerminationRequested: self._on_termination_requested,
            api.ClassAvailabilityChanged: self._on_class_availability_changed,
            api.WallClockOffset: self._on_wall_clock_offset,
            api.Tick: self._on_tick,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions to carry out, in order.

        Raises
        ------
        SubmissionError : the submission is rejected; it has changed nothing.
        """
        self.now_ms = max(self.now_ms, now_ms)
        self.handlers[type(event)](event)
        self.steps_left = self.settings.max_steps_per_event
        self._notify_dependants()
        self._process_due_jobs()
        self._release_ready_jobs()
        self._schedule_tick()
        actions, self.actions = self.actions, []
        return actions

    # Queries.

    @property
    def unix_ms(self) -> float:
        """Unix time by the latest `WallClockOffset`."""
        return self.now_ms + self.offset_ms

    def stage(self, job: str) -> JobStage:
        """Return the stage of a job; ENDED if it is not in the queue."""
        node = self.graph.nodes.get(job)
        return JobStage.ENDED if node is None else node.stage

    def is_active(self, name: str) -> bool:
        """Whether a job or batch of this name has not ended."""
        return self.graph.find(name) is not None

    def is_held(self, job: str) -> bool:
        """Whether a job is held."""
        node = self.graph.nodes.get(job)
        return node is not None and node.held

    def __len__(self) -> int:
        return len(self.graph.nodes)

    def wait_status(self, job: str) -> api.WaitStatus:
        """Return why a job waits; raises KeyError if it has ended."""
        node = self.graph.nodes[job]
        class_queue = self.class_queues[node.job_class]
        waiting_for = (
            [name for name in node.depends_on if self.graph.find(name) is not None] if node.unmet else []
        )
        batch = self.batches.get(node.batch or "")
        ready = node.stage is JobStage.READY
        aged_ahead = class_queue.ready[1].rank(node.due_ms, node)
        return api.WaitStatus(
            node.stage,
            node.held,
            tuple(waiting_for[:MAX_LISTED_DEPENDENCIES]),
            max(0, len(waiting_for) - MAX_LISTED_DEPENDENCIES),
            node.any_of,
            None if node.start_reached else node.start_unix_ms,
            node.deadline_unix_ms,
            self.now_ms - node.ready_ms if node.stage in (JobStage.READY, JobStage.RELEASED) else 0.0,
            node.latency_objective_ms,
            (
                aged_ahead
                if node.aged
                else len(class_queue.ready[1]) + class_queue.ready[0].rank(node.due_ms, node)
            )
            if ready
            else None,
            ready and batch is not None and batch.in_progress >= batch.max_parallel,
            not class_queue.available,
            max(0.0, node.retry_at_ms - self.now_ms) if ready else 0.0,
            1000.0 / class_queue.mean_gap_ms if class_queue.mean_gap_ms > 0 else 0.0,
        )

    # Submissions.

    def check_and_sort(self, jobs: Sequence[api.JobSpec]) -> list[api.JobSpec]:
        """Return the jobs of a submission sorted so that each comes after its dependencies.

        Raises
        ------
        SubmissionError : the submission can't be accepted.
        """
        queued_count, settings = sum(not spec.direct for spec in jobs), self.settings
        if queued_count and len(self.graph.nodes) + queued_count > settings.max_jobs:
            raise api.SubmissionError(
                f"the job queue is full: it takes at most {settings.max_jobs} jobs", queue_full=True
            )
        return self.graph.check_and_sort(jobs, settings.max_dependencies)

    def _on_jobs_submitted(self, event: api.JobsSubmitted) -> None:
        if event.restored:
            ordered = self.graph.check_and_sort(event.jobs, len(event.jobs) + self.settings.max_jobs)
        else:
            ordered = self.check_and_sort(event.jobs)
        unrecorded_jobs = (
            None
            if event.unrecorded_batch is None
            else self.unrecorded_jobs.setdefault(event.unrecorded_batch, [])
        )
        for spec in ordered:
            node, failed_dependency = self.graph.add(spec)
            self.stage_counts[JobStage.BLOCKED] += 1
            batch = self.batches.get(node.batch or "")
            if batch is not None:
                batch.unfinished_jobs += 1
                batch.in_progress += spec.sent
                batch.earliest_end_unix_ms = max(batch.earliest_end_unix_ms, node.earliest_end_unix_ms)
            if spec.sent:
                self._set_stage(node, JobStage.SENT)
                continue
            if node.deadline_unix_ms is not None:
                self.by_deadline.add(node.deadline_unix_ms, node)
            if not node.start_reached:
                self.by_start.add(spec.start_unix_ms or 0.0, node)
            node.ready_ms = NEVER if spec.age_ms is None else self.now_ms - spec.age_ms
            if failed_dependency is not None:
                self._end_job(node, EndCause.DEPENDENCY, failed_dependency, failed_dependency)
            elif unrecorded_jobs is not None:
                node.unrecorded_batch = event.unrecorded_batch
                unrecorded_jobs.append(node)
            else:
                self._try_make_ready(node)
        if event.restored:
            for batch in list(self.batches.values()):
                self._complete_batch(batch)

    def _complete_batch(self, batch: BatchNode) -> None:
        batch.complete = True
        if not batch.unfinished_jobs:
            self._end_batch(batch)

    def _on_batch_recorded(self, event: api.BatchRecorded) -> None:
        self.newly_recorded.extend(self.unrecorded_jobs.pop(event.batch, ()))
        if event.batch in self.batches:
            self._complete_batch(self.batches[event.batch])

    def _on_batch_stopped(self, event: api.BatchStopped) -> None:
        if (batch := self.batches.get(event.batch)) is not None:
            batch.max_parallel = 0

    def _on_batch_discarded(self, event: api.BatchDiscarded) -> None:
        # No job outside the batch can depend on these: no client knows their names yet.
        for node in self.unrecorded_jobs.pop(event.batch, ()):
            if node.stage is not JobStage.ENDED:
                self._remove_job(node, False)
        self.batches.pop(event.batch, None)

    def _on_batch_added(self, event: api.BatchAdded) -> None:
        if event.max_parallel is not None and event.max_parallel < 1:
            raise api.SubmissionError(
                f"batch {event.batch}: max_parallel must be at least 1, not {event.max_parallel}"
            )
        max_parallel = NEVER if event.max_parallel is None else event.max_parallel
        self.batches[event.batch] = BatchNode(event.batch, max_parallel, event.failed)

    # Stages.

    def _set_stage(self, node: JobNode, stage: JobStage) -> None:
        self.stage_counts[node.stage] -= 1
        self.stage_counts[stage] += 1
        node.stage = stage

    def _try_make_ready(self, node: JobNode) -> None:
        """Make a blocked job ready if nothing blocks it any more; release it if it is direct."""
        if (
            node.stage is not JobStage.BLOCKED
            or node.unmet
            or node.held
            or node.unrecorded_batch
            or not node.start_reached
        ):
            return
        if node.ready_ms == NEVER:
            node.ready_ms = self.now_ms
            if not node.direct:
                self.actions.append(api.RecordReadyTime(node.id))
        node.due_ms = node.ready_ms + node.latency_objective_ms
        if node.direct:
            self._set_stage(node, JobStage.RELEASED)
            self.actions.append(api.ReleaseJob(node.id, False))
        else:
            self._set_stage(node, JobStage.READY)
            self._enqueue(node)

    def _aged_from_ms(self, node: JobNode) -> float:
        return node.ready_ms + self.settings.aged_share * node.latency_objective_ms

    def _enqueue(self, node: JobNode) -> None:
        """Put a ready job into the queue that it belongs to."""
        node.aged = node.aged or self._aged_from_ms(node) <= self.now_ms
        if not node.aged:
            self.by_ageing_time.add(self._aged_from_ms(node), node)
        if node.retry_at_ms > self.now_ms:
            self.by_retry_time.add(node.retry_at_ms, node)
        else:
            self.class_queues[node.job_class].ready[node.aged].add(node.due_ms, node)

    def _dequeue(self, node: JobNode) -> None:
        """Remove a ready job from all queues in which it may wait."""
        self.by_ageing_time.remove(self._aged_from_ms(node), node)
        self.by_retry_time.remove(node.retry_at_ms, node)
        for queue in self.class_queues[node.job_class].ready:
            queue.remove(node.due_ms, node)
        if (batch := self.batches.get(node.batch or "")) is not None:
            batch.over_limit.remove(node.due_ms, node)
            self._admit_next(batch)

    def _remove_job(self, node: JobNode, done: bool, root_job: str = "") -> None:
        """Remove every trace of a job that has ended or was never acknowledged."""
        if node.stage is JobStage.READY:
            self._dequeue(node)
        elif node.stage is JobStage.RELEASED:
            self._leave_unsent(node, sent=False)
        if node.stage in (JobStage.RELEASED, JobStage.SENT):
            self._free_batch_slot(node)
        if node.deadline_unix_ms is not None:
            self.by_deadline.remove(node.deadline_unix_ms, node)
        if not node.start_reached and node.start_unix_ms is not None:
            self.by_start.remove(node.start_unix_ms, node)
        batch = self.batches.get(node.batch or "")
        if batch is not None:
            batch.unfinished_jobs -= 1
            if not done and not batch.failed:
                batch.failed, batch.root_job = True, root_job or node.id
            if not batch.unfinished_jobs and batch.complete:
                self._end_batch(batch)
        self.stage_counts[node.stage] -= 1
        self.graph.remove(node)

    def _end_batch(self, batch: BatchNode) -> None:
        """End a batch whose last job has ended."""
        del self.batches[batch.id]
        self.notifications.add(batch, not batch.failed, batch.root_job)

    def _leave_unsent(self, node: JobNode, sent: bool) -> None:
        """Count a released job as unsent no longer: it was sent, came back or ended."""
        if node.direct:
            return
        class_queue = self.class_queues[node.job_class]
        class_queue.unsent[node.aged] -= 1
        self.by_ageing_time.remove(self._aged_from_ms(node), node)
        if sent:
            if class_queue.last_sent_ms is not None:
                gap = self.now_ms - class_queue.last_sent_ms
                class_queue.mean_gap_ms += (
                    GAP_SMOOTHING * (gap - class_queue.mean_gap_ms) if class_queue.mean_gap_ms else gap
                )
            class_queue.last_sent_ms = self.now_ms

    def _free_batch_slot(self, node: JobNode) -> None:
        """Count a job of a batch as in progress no longer: the first job over the limit is queued again."""
        batch = self.batches.get(node.batch or "")
        if batch is None:
            return
        batch.in_progress -= 1
        self._admit_next(batch)

    def _admit_next(self, batch: BatchNode) -> None:
        """Queue the first job over the limit if the batch has a free slot.

        To be called whenever a job of the batch is in progress, or among the queued ones, no longer.
        """
        if batch.over_limit and batch.in_progress < batch.max_parallel:
            self._enqueue(batch.over_limit.pop())

    def _end_job(self, node: JobNode, cause: EndCause, dependency: str = "", root_job: str = "") -> None:
        self.actions.append(api.EndJob(node.id, cause, dependency, root_job))
        self._remove_job(node, False, root_job)
        self.notifications.add(node, False, root_job or node.id)

    # Events from the engine and from clients.

    def _find_job(self, job: str) -> JobNode | None:
        return self.graph.nodes.get(job)

    def _on_hold_changed(self, event: api.HoldChanged) -> None:
        node = self._find_job(event.job)
        if node is None or node.held == event.held or node.stage is JobStage.SENT:
            return
        node.held = event.held
        if not event.held:
            self._try_make_ready(node)
        elif node.stage is JobStage.READY:
            self._dequeue(node)
            self._block_for_hold(node)
        elif node.stage is JobStage.RELEASED:
            self.actions.append(api.WithdrawJob(node.id))

    def _block_for_hold(self, node: JobNode) -> None:
        """Block a job that is held; its age starts at zero again when the hold is lifted."""
        self._set_stage(node, JobStage.BLOCKED)
        node.ready_ms, node.aged = NEVER, False

    def _on_job_sent(self, event: api.JobSent) -> None:
        node = self._find_job(event.job)
        if node is not None and node.stage is JobStage.RELEASED:
            self._leave_unsent(node, sent=True)
            self._set_stage(node, JobStage.SENT)

    def _on_job_returned(self, event: api.JobReturned) -> None:
        node = self._find_job(event.job)
        if node is None or node.stage not in (JobStage.RELEASED, JobStage.SENT):
            return
        if node.stage is JobStage.RELEASED:
            self._leave_unsent(node, sent=False)
        self._set_stage(node, JobStage.READY)
        self._free_batch_slot(node)
        if node.deadline_unix_ms is not None:
            self.by_deadline.remove(node.deadline_unix_ms, node)  # that of a direct job is still there
            self.by_deadline.add(node.deadline_unix_ms, node)
        if node.held:
            self._block_for_hold(node)
            return
        node.direct = False  # from now on it waits as other jobs do
        pause = event.pause_ms
        if pause > 0:
            # The pause is advised by a worker or the decision module. It is shortened so that the job is
            # back when it counts as aged; an aged job is back well before it is due.
            remaining_ms = (node.due_ms if node.aged else self._aged_from_ms(node)) - self.now_ms
            pause = min(
                pause, max(MIN_PAUSE_MS, remaining_ms * MAX_PAUSE_SHARE if node.aged else remaining_ms)
            )
        if node.deadline_unix_ms is not None and self.unix_ms + pause >= node.deadline_unix_ms:
            self._end_job(
                node, EndCause.OVERDUE if self.unix_ms >= node.deadline_unix_ms else EndCause.TOO_LATE
            )
            return
        node.retry_at_ms = self.now_ms + pause
        self._enqueue(node)

    def _on_job_ended(self, event: api.JobEnded) -> None:
        node = self._find_job(event.job)
        if node is not None:
            self._remove_job(node, event.done)
            self.notifications.add(node, event.done, node.id)

    def _on_termination_requested(self, event: api.TerminationRequested) -> None:
        node = self._find_job(event.job)
        if node is not None and node.stage in (JobStage.BLOCKED, JobStage.READY):
            self._end_job(node, EndCause.TERMINATED)

    def _on_class_availability_changed(self, event: api.ClassAvailabilityChanged) -> None:
        self.class_queues[event.job_class].available = event.available

    def _on_tick(self, event: api.Tick) -> None:
        self.next_tick_ms = NEVER

    def _on_wall_clock_offset(self, event: api.WallClockOffset) -> None:
        self.offset_ms = event.offset_ms

    # What follows from an event, at most `max_steps_per_event` steps; the rest follows at the next tick.

    def _notify_dependants(self) -> None:
        """Notify the dependants of jobs and batches that have ended."""
        while self.steps_left > 0 and (dependant := self.notifications.pop_dependant()) is not None:
            self.steps_left -= 1
            node, condition, done, dependency, root_job = dependant
            if node.stage is not JobStage.BLOCKED or not node.unmet:
                continue
            satisfied = self.graph.resolve(node, condition, done)
            if satisfied is None:
                continue
            if satisfied:
                self._try_make_ready(node)
            else:
                self._end_job(node, EndCause.DEPENDENCY, dependency, root_job)

    def _process_due_jobs(self) -> None:
        """Process the jobs whose time has been reached; deadlines first, to release no overdue job."""
        while self.steps_left > 0 and self._has_been_reached(self.by_deadline.first_key()):
            node = self.by_deadline.pop()
            if node.stage in (JobStage.BLOCKED, JobStage.READY):  # else the engine enforces the deadline
                self._end_job(node, EndCause.OVERDUE)
            self.steps_left -= 1
        while self.steps_left > 0 and self.newly_recorded:
            node = self.newly_recorded.popleft()
            node.unrecorded_batch = None
            self._try_make_ready(node)
            self.steps_left -= 1
        while self.steps_left > 0 and self._has_been_reached(self.by_start.first_key()):
            node = self.by_start.pop()
            node.start_reached = True
            self._try_make_ready(node)
            self.steps_left -= 1
        while self.steps_left > 0 and self.by_retry_time.first_key() <= self.now_ms:
            node = self.by_retry_time.pop()
            self.class_queues[node.job_class].ready[node.aged].add(node.due_ms, node)
            self.steps_left -= 1
        while self.steps_left > 0 and self.by_ageing_time.first_key() <= self.now_ms:
            self._mark_aged(self.by_ageing_time.pop())
            self.steps_left -= 1

    def _has_been_reached(self, unix_ms: float) -> bool:
        """Whether a wall-clock time, in milliseconds, has been reached.

        It is computed and rounded as for the scheduled tick. Otherwise that tick could come just before the
        time and be scheduled again without end.
        """
        return unix_ms - self.offset_ms <= self.now_ms

    def _mark_aged(self, node: JobNode) -> None:
        """Give a job that has waited for long priority over all jobs that are not aged.

        A released one is withdrawn, so that it is released again as an aged job.
        """
        if node.stage is JobStage.RELEASED:
            self.actions.append(api.WithdrawJob(node.id))
            return
        queues = self.class_queues[node.job_class].ready
        length = len(queues[0])
        queues[0].remove(node.due_ms, node)
        node.aged = True
        if len(queues[0]) < length:
            queues[1].add(node.due_ms, node)

    def _release_ready_jobs(self) -> None:
        """Release ready jobs, the aged first, while fewer than `lookahead` of their class are unsent."""
        for class_queue in self.class_queues:
            for aged in (True, False):
                queue = class_queue.ready[aged]
                while (
                    class_queue.available
                    and self.steps_left > 0
                    and queue
                    and class_queue.unsent[aged] < self.settings.lookahead
                ):
                    self.steps_left -= 1
                    node = queue.pop()
                    batch = self.batches.get(node.batch or "")
                    if batch is not None and batch.in_progress >= batch.max_parallel:
                        self.by_ageing_time.remove(self._aged_from_ms(node), node)
                        batch.over_limit.add(node.due_ms, node)
                        continue
                    if batch is not None:
                        batch.in_progress += 1
                    if node.deadline_unix_ms is not None:
                        self.by_deadline.remove(node.deadline_unix_ms, node)
                    class_queue.unsent[aged] += 1
                    self._set_stage(node, JobStage.RELEASED)
                    self.actions.append(api.ReleaseJob(node.id, aged))

    def _schedule_tick(self) -> None:
        """Schedule the next tick, unless an earlier one is scheduled."""
        at = min(
            min(self.by_start.first_key(), self.by_deadline.first_key()) - self.offset_ms,
            self.by_retry_time.first_key(),
            self.by_ageing_time.first_key(),
        )
        if self.steps_left <= 0 or self.notifications or self.newly_recorded:
            at = self.now_ms
        if at < self.next_tick_ms:
            self.next_tick_ms = at
            self.actions.append(api.ScheduleTick(at))
