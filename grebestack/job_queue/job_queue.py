"""The waiting room: events in, actions out. It alone decides which job is let into the engine next, and when.

How it orders, and the bound it keeps, is in docs/design-waiting.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from grebestack.job_queue import interface as api
from grebestack.job_queue.dependencies import NEVER, Cascade, Graph, Group, Node, Queue
from grebestack.job_queue.interface import EndCause, JobStage

LEAST_PAUSE_MS = 50.0  # an advised pause is never cut below this
PAUSE_PART = 0.25  # an advised pause is cut to this share of the time until the job is aged, or due
NAMED = 8  # of the jobs that one waits for, a console is shown so many
RATE_SHARE = 0.05  # weight of the newest gap between two sends in the mean of a class


class ClassQueue:
    """One class's ready jobs and those of them that are out, unsent."""

    def __init__(self) -> None:
        self.open = True
        self.ready = (Queue(), Queue())  # by due time; not aged, aged
        self.unsent = [0, 0]
        self.sent_ms: float | None = None
        self.gap_ms = 0.0  # mean time between two sends


class JobQueue:
    """All jobs that have not ended. Feed it events, carry out the actions it returns."""

    def __init__(self, settings: api.JobQueueSettings) -> None:
        self.settings = settings
        self.graph = Graph()
        self.cascade = Cascade()
        self.class_queues = [ClassQueue() for _ in range(settings.class_count)]
        self.batches = self.graph.batches
        self.intakes: dict[str, list[Node]] = {}
        self.opening: deque[Node] = deque()
        self.timed, self.deadlines = Queue(), Queue()  # by Unix time
        self.paused, self.ripening = Queue(), Queue()  # by the monotonic clock
        self.stage_counts = [0] * len(JobStage)  # how many are in each
        self.now, self.offset_ms = 0.0, 0.0
        self.asked_ms = NEVER  # when the earliest tick is due that was asked for
        self.left = 0  # steps that this event may still take
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.JobsSubmitted: self._submitted,
            api.BatchRecorded: self._opened,
            api.BatchDiscarded: self._dropped,
            api.BatchAdded: self._grouped,
            api.HoldChanged: self._held,
            api.JobSent: self._sent,
            api.JobReturned: self._returned,
            api.JobEnded: self._job_ended,
            api.TerminationRequested: self._terminated,
            api.ClassAvailabilityChanged: self._lane,
            api.WallClockOffset: self._wall,
            api.Tick: self._tick,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Take one event; return the actions to carry out, in order. RoomError: the event changed nothing."""
        self.now = max(self.now, now_ms)
        self.handlers[type(event)](event)
        self.left = self.settings.max_steps_per_event
        self._tell()
        self._due()
        self._fill()
        self._ask()
        actions, self.actions = self.actions, []
        return actions

    # What is seen from outside.

    @property
    def unix_ms(self) -> float:
        """Unix time as it was told last."""
        return self.now + self.offset_ms

    def stage(self, job: str) -> JobStage:
        """How far a job has got; ENDED for one that is not here."""
        node = self.graph.nodes.get(job)
        return JobStage.ENDED if node is None else node.stage

    def is_active(self, name: str) -> bool:
        """Whether a job or group has not ended."""
        return self.graph.find(name) is not None

    def is_held(self, job: str) -> bool:
        """Whether a hold is on a job."""
        node = self.graph.nodes.get(job)
        return node is not None and node.held

    def __len__(self) -> int:
        return len(self.graph.nodes)

    def wait_status(self, job: str) -> api.WaitStatus:
        """Why a job waits; KeyError if it has ended."""
        node = self.graph.nodes[job]
        lane = self.class_queues[node.job_class]
        after = [name for name in node.after if self.graph.find(name) is not None] if node.need else []
        group = self.batches.get(node.batch or "")
        ready = node.stage is JobStage.READY
        before = lane.ready[1].place(node.due, node)
        return api.WaitStatus(
            node.stage,
            node.held,
            tuple(after[:NAMED]),
            max(0, len(after) - NAMED),
            node.any_of,
            None if node.started else node.start,
            node.deadline,
            self.now - node.ready_ms if node.stage in (JobStage.READY, JobStage.RELEASED) else 0.0,
            node.wanted,
            (before if node.aged else len(lane.ready[1]) + lane.ready[0].place(node.due, node))
            if ready
            else None,
            ready and group is not None and group.out >= group.most,
            not lane.open,
            max(0.0, node.until - self.now) if ready else 0.0,
            1000.0 / lane.gap_ms if lane.gap_ms > 0 else 0.0,
        )

    # Jobs come in.

    def check_and_sort(self, jobs: Sequence[api.JobSpec]) -> list[api.JobSpec]:
        """Whether a submission could be taken, as RoomError says; its jobs, each after those it waits for."""
        waiting, s = sum(not spec.direct for spec in jobs), self.settings
        if waiting and len(self.graph.nodes) + waiting > s.max_jobs:
            raise api.SubmissionError(f"no more than {s.max_jobs} jobs can wait", queue_full=True)
        return self.graph.check_and_sort(jobs, s.max_dependencies)

    def _submitted(self, event: api.JobsSubmitted) -> None:
        if event.restored:
            ordered = self.graph.check_and_sort(event.jobs, len(event.jobs) + self.settings.max_jobs)
        else:
            ordered = self.check_and_sort(event.jobs)
        intake = (
            None if event.unrecorded_batch is None else self.intakes.setdefault(event.unrecorded_batch, [])
        )
        for spec in ordered:
            node, hopeless = self.graph.add(spec)
            self.stage_counts[JobStage.BLOCKED] += 1
            group = self.batches.get(node.batch or "")
            if group is not None:
                group.members += 1
                group.out += spec.sent
                group.earliest = max(group.earliest, node.earliest)
            if spec.sent:
                self._move(node, JobStage.SENT)
                continue
            if node.deadline is not None:
                self.deadlines.add(node.deadline, node)
            if not node.started:
                self.timed.add(spec.start_unix_ms or 0.0, node)
            node.ready_ms = NEVER if spec.age_ms is None else self.now - spec.age_ms
            if hopeless is not None:
                self._end(node, EndCause.DEPENDENCY, hopeless, hopeless)
            elif intake is not None:
                node.intake = event.unrecorded_batch
                intake.append(node)
            else:
                self._try(node)
        if event.restored:
            for group in list(self.batches.values()):
                self._make_whole(group)

    def _make_whole(self, group: Group) -> None:
        group.whole = True
        if not group.members:
            self._end_group(group)

    def _opened(self, event: api.BatchRecorded) -> None:
        self.opening.extend(self.intakes.pop(event.batch, ()))
        if event.batch in self.batches:
            self._make_whole(self.batches[event.batch])

    def _dropped(self, event: api.BatchDiscarded) -> None:
        # Nobody outside the intake can wait for these: no client has been told of them.
        for node in self.intakes.pop(event.batch, ()):
            if node.stage is not JobStage.ENDED:
                self._remove(node, False)
        self.batches.pop(event.batch, None)

    def _grouped(self, event: api.BatchAdded) -> None:
        if event.max_parallel is not None and event.max_parallel < 1:
            raise api.SubmissionError(f"group {event.batch}: {event.max_parallel} at a time are too few")
        most = NEVER if event.max_parallel is None else event.max_parallel
        self.batches[event.batch] = Group(event.batch, most, event.failed)

    # Stages.

    def _move(self, node: Node, stage: JobStage) -> None:
        self.stage_counts[node.stage] -= 1
        self.stage_counts[stage] += 1
        node.stage = stage

    def _try(self, node: Node) -> None:
        """Make a blocked job ready if nothing holds it any more."""
        if node.stage is not JobStage.BLOCKED or node.need or node.held or node.intake or not node.started:
            return
        if node.ready_ms == NEVER:
            node.ready_ms = self.now
            if not node.direct:
                self.actions.append(api.RecordReadyTime(node.id))
        node.due = node.ready_ms + node.wanted
        if node.direct:
            self._move(node, JobStage.RELEASED)
            self.actions.append(api.ReleaseJob(node.id, False))
        else:
            self._move(node, JobStage.READY)
            self._line_up(node)

    def _ripe_ms(self, node: Node) -> float:
        return node.ready_ms + self.settings.aged_share * node.wanted

    def _line_up(self, node: Node) -> None:
        """Put a ready job into the queue where it is to wait."""
        node.aged = node.aged or self._ripe_ms(node) <= self.now
        if not node.aged:
            self.ripening.add(self._ripe_ms(node), node)
        if node.until > self.now:
            self.paused.add(node.until, node)
        else:
            self.class_queues[node.job_class].ready[node.aged].add(node.due, node)

    def _leave(self, node: Node) -> None:
        """Take a ready job out of wherever it waits."""
        self.ripening.remove(self._ripe_ms(node), node)
        self.paused.remove(node.until, node)
        for queue in self.class_queues[node.job_class].ready:
            queue.remove(node.due, node)
        if node.batch in self.batches:
            self.batches[node.batch].aside.remove(node.due, node)

    def _remove(self, node: Node, done: bool, root: str = "") -> None:
        """A job has ended, or was never one: nothing of it stays here."""
        if node.stage is JobStage.READY:
            self._leave(node)
        elif node.stage is JobStage.RELEASED:
            self._out(node, sent=False)
        if node.stage in (JobStage.RELEASED, JobStage.SENT):
            self._free(node)
        if node.deadline is not None:
            self.deadlines.remove(node.deadline, node)
        if not node.started and node.start is not None:
            self.timed.remove(node.start, node)
        group = self.batches.get(node.batch or "")
        if group is not None:
            group.members -= 1
            if not done and not group.failed:
                group.failed, group.root = True, root or node.id
            if not group.members and group.whole:
                self._end_group(group)
        self.stage_counts[node.stage] -= 1
        self.graph.forget(node)

    def _end_group(self, group: Group) -> None:
        """The last job of a group has ended, and so it has itself."""
        del self.batches[group.id]
        self.cascade.add(group, not group.failed, group.root)

    def _out(self, node: Node, sent: bool) -> None:
        """A released job is not unsent any more: it was sent, came back or ended."""
        if node.direct:
            return
        lane = self.class_queues[node.job_class]
        lane.unsent[node.aged] -= 1
        self.ripening.remove(self._ripe_ms(node), node)
        if sent:
            if lane.sent_ms is not None:
                gap = self.now - lane.sent_ms
                lane.gap_ms += RATE_SHARE * (gap - lane.gap_ms) if lane.gap_ms else gap
            lane.sent_ms = self.now

    def _free(self, node: Node) -> None:
        """A job of a group is out no longer: the first that stands aside lines up again."""
        group = self.batches.get(node.batch or "")
        if group is None:
            return
        group.out -= 1
        if group.aside and group.out < group.most:
            self._line_up(group.aside.pop())

    def _end(self, node: Node, cause: EndCause, of: str = "", root: str = "") -> None:
        self.actions.append(api.EndJob(node.id, cause, of, root))
        self._remove(node, False, root)
        self.cascade.add(node, False, root or node.id)

    # What the engine and the people say.

    def _find(self, job: str) -> Node | None:
        return self.graph.nodes.get(job)

    def _held(self, event: api.HoldChanged) -> None:
        node = self._find(event.job)
        if node is None or node.held == event.held or node.stage is JobStage.SENT:
            return
        node.held = event.held
        if not event.held:
            self._try(node)
        elif node.stage is JobStage.READY:
            self._leave(node)
            self._block(node)
        elif node.stage is JobStage.RELEASED:
            self.actions.append(api.WithdrawJob(node.id))

    def _block(self, node: Node) -> None:
        """Back behind a hold; its age begins anew when that is lifted."""
        self._move(node, JobStage.BLOCKED)
        node.ready_ms, node.aged = NEVER, False

    def _sent(self, event: api.JobSent) -> None:
        node = self._find(event.job)
        if node is not None and node.stage is JobStage.RELEASED:
            self._out(node, sent=True)
            self._move(node, JobStage.SENT)

    def _returned(self, event: api.JobReturned) -> None:
        node = self._find(event.job)
        if node is None or node.stage not in (JobStage.RELEASED, JobStage.SENT):
            return
        if node.stage is JobStage.RELEASED:
            self._out(node, sent=False)
        self._move(node, JobStage.READY)
        self._free(node)
        if node.held:
            self._block(node)
            return
        node.direct = False  # it waits now as others do
        pause = event.pause_ms
        if pause > 0:
            # A server's or the module's advice counts, but never so far that its age can't help it.
            left = (node.due if node.aged else self._ripe_ms(node)) - self.now
            pause = min(pause, max(LEAST_PAUSE_MS, left * PAUSE_PART if node.aged else left))
        if node.deadline is not None and self.unix_ms + pause >= node.deadline:
            self._end(node, EndCause.OVERDUE if self.unix_ms >= node.deadline else EndCause.TOO_LATE)
            return
        node.until = self.now + pause
        if node.deadline is not None:
            self.deadlines.add(node.deadline, node)
        self._line_up(node)

    def _job_ended(self, event: api.JobEnded) -> None:
        node = self._find(event.job)
        if node is not None:
            self._remove(node, event.done)
            self.cascade.add(node, event.done, node.id)

    def _terminated(self, event: api.TerminationRequested) -> None:
        node = self._find(event.job)
        if node is not None and node.stage in (JobStage.BLOCKED, JobStage.READY):
            self._end(node, EndCause.TERMINATED)

    def _lane(self, event: api.ClassAvailabilityChanged) -> None:
        self.class_queues[event.job_class].open = event.available

    def _tick(self, event: api.Tick) -> None:
        self.asked_ms = NEVER

    def _wall(self, event: api.WallClockOffset) -> None:
        self.offset_ms = event.offset_ms

    # What one event moves on: no more than so many steps, the rest at the next tick.

    def _tell(self) -> None:
        """Tell those that wait for jobs that have ended."""
        while self.left > 0 and (told := self.cascade.step()) is not None:
            self.left -= 1
            node, condition, done, of, root = told
            if node.stage is not JobStage.BLOCKED or not node.need:
                continue
            verdict = self.graph.decide(node, condition, done)
            if verdict is None:
                continue
            if verdict:
                self._try(node)
            else:
                self._end(node, EndCause.DEPENDENCY, of, root)

    def _due(self) -> None:
        """Deadlines first: what is overdue is not let in."""
        while self.left > 0 and self._has_come(self.deadlines.first()):
            node = self.deadlines.pop()
            if node.stage in (JobStage.BLOCKED, JobStage.READY):  # else the engine keeps its deadline
                self._end(node, EndCause.OVERDUE)
            self.left -= 1
        while self.left > 0 and self.opening:
            node = self.opening.popleft()
            node.intake = None
            self._try(node)
            self.left -= 1
        while self.left > 0 and self._has_come(self.timed.first()):
            node = self.timed.pop()
            node.started = True
            self._try(node)
            self.left -= 1
        while self.left > 0 and self.paused.first() <= self.now:
            node = self.paused.pop()
            self.class_queues[node.job_class].ready[node.aged].add(node.due, node)
            self.left -= 1
        while self.left > 0 and self.ripening.first() <= self.now:
            self._ripen(self.ripening.pop())
            self.left -= 1

    def _has_come(self, unix_ms: float) -> bool:
        """Whether a wall-clock time has come, in milliseconds.

        It is rounded as the tick that was asked for it; else that tick could come before the time and be
        asked for again without end.
        """
        return unix_ms - self.offset_ms <= self.now

    def _ripen(self, node: Node) -> None:
        """A job has waited for so long that it goes before all that have not."""
        if node.stage is JobStage.RELEASED:
            self.actions.append(api.WithdrawJob(node.id))
            return
        queues = self.class_queues[node.job_class].ready
        lined_up = len(queues[0])
        queues[0].remove(node.due, node)
        node.aged = True
        if len(queues[0]) < lined_up:
            queues[1].add(node.due, node)

    def _fill(self) -> None:
        """Let ready jobs in, the aged first, as long as few of their lane wait in the engine."""
        for lane in self.class_queues:
            for aged in (True, False):
                queue = lane.ready[aged]
                while lane.open and self.left > 0 and queue and lane.unsent[aged] < self.settings.lookahead:
                    self.left -= 1
                    node = queue.pop()
                    group = self.batches.get(node.batch or "")
                    if group is not None and group.out >= group.most:
                        self.ripening.remove(self._ripe_ms(node), node)
                        group.aside.add(node.due, node)
                        continue
                    if group is not None:
                        group.out += 1
                    if node.deadline is not None:
                        self.deadlines.remove(node.deadline, node)
                    lane.unsent[aged] += 1
                    self._move(node, JobStage.RELEASED)
                    self.actions.append(api.ReleaseJob(node.id, aged))

    def _ask(self) -> None:
        """Ask for the next tick, if none that is asked for comes in time."""
        at = min(
            min(self.timed.first(), self.deadlines.first()) - self.offset_ms,
            self.paused.first(),
            self.ripening.first(),
        )
        if self.left <= 0 or self.cascade or self.opening:
            at = self.now
        if at < self.asked_ms:
            self.asked_ms = at
            self.actions.append(api.ScheduleTick(at))
