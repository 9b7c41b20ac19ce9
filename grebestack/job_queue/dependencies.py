"""What the room knows of each job, the graph of what waits for what, and the queues it keeps them in."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from sortedcontainers import SortedList

from grebestack.job_queue.interface import Condition, JobSpec, JobStage, SubmissionError

NEVER = float("inf")


class Ending:
    """What a job can wait for: another job or a group."""

    __slots__ = ("dependants", "earliest", "id")

    def __init__(self, name: str, earliest: float) -> None:
        self.id = name
        self.dependants: list[tuple[Node, Condition]] | None = None
        self.earliest = earliest  # no end of it can come before this, in Unix time


class Node(Ending):
    """A job that has not ended. Slots and shared strings keep a hundred thousand of them small."""

    __slots__ = (
        "aged",
        "after",
        "any_of",
        "deadline",
        "direct",
        "due",
        "batch",
        "held",
        "intake",
        "job_class",
        "left",
        "need",
        "ready_ms",
        "seq",
        "stage",
        "start",
        "started",
        "until",
        "wanted",
    )

    def __init__(self, spec: JobSpec, seq: int, earliest: float) -> None:
        super().__init__(spec.job, earliest)
        self.job_class, self.seq = spec.job_class, seq
        self.wanted = spec.latency_objective_ms
        self.start, self.deadline = spec.start_unix_ms, spec.deadline_unix_ms
        self.started = spec.start_unix_ms is None or spec.age_ms is not None  # ready once: its hour had come
        self.held, self.direct, self.any_of = spec.held, spec.direct, spec.any_of
        self.intake: str | None = None
        self.batch = spec.batch
        self.stage = JobStage.BLOCKED
        self.aged = False
        self.need = 0  # conditions that must come to hold yet
        self.left = 0  # conditions that are not decided
        self.after: tuple[str, ...] = ()
        self.ready_ms = 0.0  # since when its age counts
        self.due = 0.0  # its standing: the lower the sooner
        self.until = 0.0  # back from the engine: not tried again before

    def __lt__(self, other: Node) -> bool:
        return self.seq < other.seq


class Queue:
    """Nodes in the order of a number, each at most once; entering, leaving and place cost O(log n)."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: SortedList[tuple[float, Node]] = SortedList()

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, key: float, node: Node) -> None:
        """Put a node in."""
        self.entries.add((key, node))

    def remove(self, key: float, node: Node) -> None:
        """Take a node out that may have left already."""
        self.entries.discard((key, node))

    def first(self) -> float:
        """The lowest number; infinity if there is none."""
        return self.entries[0][0] if self.entries else NEVER

    def pop(self) -> Node:
        """Take the first out."""
        node: Node = self.entries.pop(0)[1]
        return node

    def place(self, key: float, node: Node) -> int:
        """How many stand before a node."""
        return int(self.entries.bisect_left((key, node)))


class Group(Ending):
    """Jobs that came together. It ends with the last of them: done if all are done.

    Guards against a job that waits for ten thousand others by as many conditions: it has one. At most `most`
    of the jobs are out of the room at a time; the others stand aside.
    """

    __slots__ = ("aside", "failed", "members", "most", "out", "root", "whole")

    def __init__(self, name: str, most: float, failed: bool) -> None:
        super().__init__(name, 0.0)
        self.most, self.failed = most, failed
        self.members = self.out = 0  # those that have not ended, those that are out
        self.whole = False  # no more will come
        self.root = name  # the first that was not done
        self.aside = Queue()


class Graph:
    """The jobs that have not ended, and for each those that wait for its end; the groups too."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.batches: dict[str, Group] = {}
        self.count = 0

    def find(self, name: str) -> Ending | None:
        """A job or group that has not ended."""
        return self.nodes.get(name) or self.batches.get(name)

    def check_and_sort(self, specs: Iterable[JobSpec], most_edges: int) -> list[JobSpec]:
        """The jobs of a submission in an order in which each comes after those it waits for.

        RoomError for a name used twice, an unknown job, too many conditions, a cycle, or a deadline that
        can't be met since a job that is waited for begins later.
        """
        fresh: dict[str, JobSpec] = {}
        for spec in specs:
            if spec.job in fresh or spec.job in self.nodes:
                raise SubmissionError(f"job {spec.job} is there already", spec.job)
            fresh[spec.job] = spec
        waits = {name: 0 for name in fresh}
        followers: dict[str, list[str]] = {}
        for spec in fresh.values():
            if len(spec.dependencies) > most_edges:
                what = f"it waits for {len(spec.dependencies)} jobs, {most_edges} are allowed"
                raise SubmissionError(f"job {spec.job}: {what}", spec.job)
            for edge in spec.dependencies:
                if edge.job in fresh:
                    waits[spec.job] += 1
                    followers.setdefault(edge.job, []).append(spec.job)
                elif edge.done is None and self.find(edge.job) is None:
                    raise SubmissionError(f"job {spec.job} waits for the unknown job {edge.job}", spec.job)
        ordered: list[JobSpec] = []
        free = deque(name for name, count in waits.items() if not count)
        while free:
            name = free.popleft()
            ordered.append(fresh[name])
            for follower in followers.get(name, ()):
                waits[follower] -= 1
                if not waits[follower]:
                    free.append(follower)
        if len(ordered) < len(fresh):
            ring = self._ring(fresh, {name for name, count in waits.items() if count})
            raise SubmissionError(f"jobs wait for each other: {' -> '.join(ring)}", ring[0])
        self._check_times(ordered)
        return ordered

    @staticmethod
    def _ring(fresh: Mapping[str, JobSpec], stuck: set[str]) -> list[str]:
        """A cycle: each of the stuck waits for another that is stuck."""
        path: dict[str, int] = {}
        name = next(name for name in fresh if name in stuck)
        while name not in path:
            path[name] = len(path)
            name = next(edge.job for edge in fresh[name].dependencies if edge.job in stuck)
        names = list(path)[path[name] :]
        return [*names, name] if len(names) <= 8 else [*names[:4], "...", *names[-3:], name]

    def _check_times(self, ordered: Iterable[JobSpec]) -> None:
        earliest: dict[str, float] = {}
        for spec in ordered:
            begins = self._earliest(spec, earliest)
            earliest[spec.job] = begins
            if spec.deadline_unix_ms is not None and begins >= spec.deadline_unix_ms:
                raise SubmissionError(f"job {spec.job} can't begin before its deadline has passed", spec.job)

    def _earliest(self, spec: JobSpec, fresh: Mapping[str, float]) -> float:
        ends = [
            0.0 if edge.done is not None else self._earliest_end(edge.job, fresh)
            for edge in spec.dependencies
        ]
        after = (min(ends) if spec.any_of else max(ends)) if ends else 0.0
        return max(spec.start_unix_ms or 0.0, after)

    def _earliest_end(self, name: str, fresh: Mapping[str, float]) -> float:
        known = self.find(name)
        return fresh.get(name, 0.0) if known is None else known.earliest

    def add(self, spec: JobSpec) -> tuple[Node, str | None]:
        """Take a job in; also the job whose end leaves it no hope, if there is one."""
        self.count += 1
        node = Node(spec, self.count, self._earliest(spec, {}))
        self.nodes[spec.job] = node
        if not spec.dependencies:
            return node, None
        waits_for, hopeless = [], None
        held = 0
        for edge in spec.dependencies:
            parent = self.find(edge.job)
            if parent is not None:
                if parent.dependants is None:
                    parent.dependants = []
                parent.dependants.append((node, edge.condition))
                waits_for.append(parent.id)
            elif edge.done is not None and edge.condition.is_met(edge.done):
                held += 1
            else:
                hopeless = hopeless or edge.job
        node.after = tuple(waits_for)
        node.left = len(waits_for)
        if spec.any_of:
            node.need = 0 if held else 1
            return node, hopeless if not held and not waits_for else None
        node.need = len(waits_for)
        return node, hopeless

    def forget(self, node: Node) -> None:
        """A job has ended."""
        self.nodes.pop(node.id, None)
        node.stage = JobStage.ENDED

    @staticmethod
    def decide(node: Node, condition: Condition, done: bool) -> bool | None:
        """A job that a node waits for has ended: the node may go now, or never, or waits on (None)."""
        node.left -= 1
        if condition.is_met(done):
            node.need = 0 if node.any_of else node.need - 1
            return True if node.need == 0 else None
        if node.any_of and (node.left > 0 or node.need == 0):
            return None
        return False


class Cascade:
    """Ends whose dependants have not all been told. Walked without recursion, a few steps at a time."""

    def __init__(self) -> None:
        self.open: deque[tuple[Iterator[tuple[Node, Condition]], bool, str, str]] = deque()

    def __bool__(self) -> bool:
        return bool(self.open)

    def add(self, node: Ending, done: bool, root: str) -> None:
        """A job or group has ended; `root` is the job whose end began it."""
        if node.dependants:
            self.open.append((iter(node.dependants), done, node.id, root))
            node.dependants = None

    def step(self) -> tuple[Node, Condition, bool, str, str] | None:
        """The next one to be told: who, its condition, how the other ended, the other and the root."""
        while self.open:
            rest, done, name, root = self.open[0]
            told = next(rest, None)
            if told is not None:
                return told[0], told[1], done, name, root
            self.open.popleft()
        return None
