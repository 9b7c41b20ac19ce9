"""The unfinished jobs, the graph of their dependencies, and the sorted queues that hold them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from sortedcontainers import SortedList

from grebestack.job_queue.interface import Condition, JobSpec, JobStage, SubmissionError

NEVER = float("inf")


class GraphNode:
    """What a job can depend on: another job or a batch."""

    __slots__ = ("dependants", "earliest_end_unix_ms", "id")

    def __init__(self, name: str, earliest_end_unix_ms: float) -> None:
        self.id = name
        self.dependants: list[tuple[JobNode, Condition]] | None = None
        self.earliest_end_unix_ms = earliest_end_unix_ms  # it can't end before this time


class JobNode(GraphNode):
    """A job that has not ended. Slots and shared strings save memory: there can be a hundred thousand."""

    __slots__ = (
        "aged",
        "depends_on",
        "any_of",
        "deadline_unix_ms",
        "direct",
        "due_ms",
        "batch",
        "held",
        "unrecorded_batch",
        "job_class",
        "undecided",
        "unmet",
        "ready_ms",
        "sequence",
        "stage",
        "start_unix_ms",
        "start_reached",
        "retry_at_ms",
        "latency_objective_ms",
    )

    def __init__(self, spec: JobSpec, sequence: int, earliest_end_unix_ms: float) -> None:
        super().__init__(spec.job, earliest_end_unix_ms)
        self.job_class, self.sequence = spec.job_class, sequence
        self.latency_objective_ms = spec.latency_objective_ms
        self.start_unix_ms, self.deadline_unix_ms = spec.start_unix_ms, spec.deadline_unix_ms
        # A job with an age was ready before a restart, so its start time has passed.
        self.start_reached = spec.start_unix_ms is None or spec.age_ms is not None
        self.held, self.direct, self.any_of = spec.held, spec.direct, spec.any_of
        self.unrecorded_batch: str | None = None
        self.batch = spec.batch
        self.stage = JobStage.BLOCKED
        self.aged = False
        self.unmet = 0  # number of conditions that have still to be met
        self.undecided = 0  # number of dependencies that have not ended
        self.depends_on: tuple[str, ...] = ()
        self.ready_ms = 0.0  # when it became ready
        self.due_ms = 0.0  # end of its latency objective; the job with the lowest value is released first
        self.retry_at_ms = 0.0  # earliest time of the next try after the engine returned the job

    def __lt__(self, other: JobNode) -> bool:
        return self.sequence < other.sequence


class SortedQueue:
    """Jobs sorted by a number, each at most once; adding, removing and ranking cost O(log n)."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: SortedList[tuple[float, JobNode]] = SortedList()

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, key: float, node: JobNode) -> None:
        """Add a job."""
        self.entries.add((key, node))

    def remove(self, key: float, node: JobNode) -> None:
        """Remove a job if it is in the queue."""
        self.entries.discard((key, node))

    def first_key(self) -> float:
        """Return the lowest number; infinity if the queue is empty."""
        return self.entries[0][0] if self.entries else NEVER

    def pop(self) -> JobNode:
        """Remove and return the first job."""
        node: JobNode = self.entries.pop(0)[1]
        return node

    def rank(self, key: float, node: JobNode) -> int:
        """Return the number of jobs before this one."""
        return int(self.entries.bisect_left((key, node)))


class BatchNode(GraphNode):
    """A batch: jobs that were submitted together. It ends with the last of them, as done if all are done.

    A job that waits for the ten thousand jobs of a batch has a single dependency, on the batch. At most
    `max_parallel` of the jobs are released or sent at a time; `over_limit` holds the ready ones beyond that.
    """

    __slots__ = (
        "complete",
        "failed",
        "in_progress",
        "max_parallel",
        "over_limit",
        "root_job",
        "unfinished_jobs",
    )

    def __init__(self, name: str, max_parallel: float, failed: bool) -> None:
        super().__init__(name, 0.0)
        self.max_parallel, self.failed = max_parallel, failed
        self.unfinished_jobs = self.in_progress = 0  # in_progress: released or sent
        self.complete = False  # no further jobs will be added
        self.root_job = name  # the first job that was not done
        self.over_limit = SortedQueue()


class DependencyGraph:
    """The jobs and batches that have not ended, each with the jobs that depend on it."""

    def __init__(self) -> None:
        self.nodes: dict[str, JobNode] = {}
        self.batches: dict[str, BatchNode] = {}
        self.added_count = 0

    def find(self, name: str) -> GraphNode | None:
        """Return the unfinished job or batch of this name, if there is one."""
        return self.nodes.get(name) or self.batches.get(name)

    def check_and_sort(self, specs: Iterable[JobSpec], max_dependencies: int) -> list[JobSpec]:
        """Return the jobs of a submission sorted so that each comes after its dependencies.

        Raises
        ------
        SubmissionError : a name that is used twice, an unknown job, too many dependencies, a cycle, or a
            deadline that can't be met because a dependency starts later.
        """
        submitted: dict[str, JobSpec] = {}
        for spec in specs:
            if spec.job in submitted or spec.job in self.nodes:
                raise SubmissionError(f"job {spec.job} already exists", spec.job)
            submitted[spec.job] = spec
        unsorted_dependencies = {name: 0 for name in submitted}
        dependants: dict[str, list[str]] = {}
        for spec in submitted.values():
            if len(spec.dependencies) > max_dependencies:
                reason = f"it has {len(spec.dependencies)} dependencies, the limit is {max_dependencies}"
                raise SubmissionError(f"job {spec.job}: {reason}", spec.job)
            for dependency in spec.dependencies:
                if dependency.job in submitted:
                    unsorted_dependencies[spec.job] += 1
                    dependants.setdefault(dependency.job, []).append(spec.job)
                elif dependency.done is None and self.find(dependency.job) is None:
                    raise SubmissionError(
                        f"job {spec.job} depends on the unknown job {dependency.job}", spec.job
                    )
        ordered: list[JobSpec] = []
        unblocked = deque(name for name, count in unsorted_dependencies.items() if not count)
        while unblocked:
            name = unblocked.popleft()
            ordered.append(submitted[name])
            for dependant in dependants.get(name, ()):
                unsorted_dependencies[dependant] -= 1
                if not unsorted_dependencies[dependant]:
                    unblocked.append(dependant)
        if len(ordered) < len(submitted):
            cycle = self._find_cycle(
                submitted, {name for name, count in unsorted_dependencies.items() if count}
            )
            raise SubmissionError(f"cyclic dependency: {' -> '.join(cycle)}", cycle[0])
        self._check_times(ordered)
        return ordered

    @staticmethod
    def _find_cycle(submitted: Mapping[str, JobSpec], unsorted: set[str]) -> list[str]:
        """Return the names along a cycle; each job of `unsorted` depends on another job of it."""
        path: dict[str, int] = {}
        name = next(name for name in submitted if name in unsorted)
        while name not in path:
            path[name] = len(path)
            name = next(
                dependency.job for dependency in submitted[name].dependencies if dependency.job in unsorted
            )
        names = list(path)[path[name] :]
        return [*names, name] if len(names) <= 8 else [*names[:4], "...", *names[-3:], name]

    def _check_times(self, ordered: Iterable[JobSpec]) -> None:
        earliest_end_unix_ms: dict[str, float] = {}
        for spec in ordered:
            start = self._earliest_start(spec, earliest_end_unix_ms)
            earliest_end_unix_ms[spec.job] = start
            if spec.deadline_unix_ms is not None and start >= spec.deadline_unix_ms:
                raise SubmissionError(f"job {spec.job} can't start before its deadline", spec.job)

    def _earliest_start(self, spec: JobSpec, submitted: Mapping[str, float]) -> float:
        ends = [
            0.0 if dependency.done is not None else self._earliest_end(dependency.job, submitted)
            for dependency in spec.dependencies
        ]
        after = (min(ends) if spec.any_of else max(ends)) if ends else 0.0
        return max(spec.start_unix_ms or 0.0, after)

    def _earliest_end(self, name: str, submitted: Mapping[str, float]) -> float:
        node = self.find(name)
        return submitted.get(name, 0.0) if node is None else node.earliest_end_unix_ms

    def add(self, spec: JobSpec) -> tuple[JobNode, str | None]:
        """Add a job; also return the ended job or batch because of which it can never run, if any."""
        self.added_count += 1
        node = JobNode(spec, self.added_count, self._earliest_start(spec, {}))
        self.nodes[spec.job] = node
        if not spec.dependencies:
            return node, None
        waits_for, failed_dependency = [], None
        met = 0
        for dependency in spec.dependencies:
            prerequisite = self.find(dependency.job)
            if prerequisite is not None:
                if prerequisite.dependants is None:
                    prerequisite.dependants = []
                prerequisite.dependants.append((node, dependency.condition))
                waits_for.append(prerequisite.id)
            elif dependency.done is not None and dependency.condition.is_met(dependency.done):
                met += 1
            else:
                failed_dependency = failed_dependency or dependency.job
        node.depends_on = tuple(waits_for)
        node.undecided = len(waits_for)
        if spec.any_of:
            node.unmet = 0 if met else 1
            return node, failed_dependency if not met and not waits_for else None
        node.unmet = len(waits_for)
        return node, failed_dependency

    def remove(self, node: JobNode) -> None:
        """Remove a job that has ended."""
        self.nodes.pop(node.id, None)
        node.stage = JobStage.ENDED

    @staticmethod
    def resolve(node: JobNode, condition: Condition, done: bool) -> bool | None:
        """Take into account that a dependency of a job has ended.

        Return True if all conditions of the job are met, False if they can't be met any more, else None.
        """
        node.undecided -= 1
        if condition.is_met(done):
            node.unmet = 0 if node.any_of else node.unmet - 1
            return True if node.unmet == 0 else None
        if node.any_of and (node.undecided > 0 or node.unmet == 0):
            return None
        return False


class DependantNotifications:
    """The ended jobs and batches whose dependants have not all been notified.

    They are walked without recursion and a few steps at a time, since a chain of dependencies may be long.
    """

    def __init__(self) -> None:
        self.pending: deque[tuple[Iterator[tuple[JobNode, Condition]], bool, str, str]] = deque()

    def __bool__(self) -> bool:
        return bool(self.pending)

    def add(self, node: GraphNode, done: bool, root_job: str) -> None:
        """Add a job or batch that has ended; `root_job` is the first job of the chain that ended."""
        if node.dependants:
            self.pending.append((iter(node.dependants), done, node.id, root_job))
            node.dependants = None

    def pop_dependant(self) -> tuple[JobNode, Condition, bool, str, str] | None:
        """Return the next dependant to notify, its condition, and of the ended one: done, name, root job."""
        while self.pending:
            remaining, done, name, root_job = self.pending[0]
            dependant = next(remaining, None)
            if dependant is not None:
                return dependant[0], dependant[1], done, name, root_job
            self.pending.popleft()
        return None
