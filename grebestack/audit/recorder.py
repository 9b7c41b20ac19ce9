"""What of a dispatcher's acts goes into its record, in which batches and segments. Pure.

The shell asks for the next batch once the one before is on the disk, so that many acts share one sync, and a
disk that is slow makes batches longer, up to a bound. Beyond it acts are counted, not kept: the gap is
written down with its reason as soon as the disk takes it.

The rule of sampling: of sends and retries under the stamp in force, when more than `full_rate` acts came in
the second before, those are kept whose job's id hashes into the share that fits. All others are always kept:
denies, failures, cancels, what operators do, and the first acts of a stamp.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from grebestack.audit.records import OF_OPERATORS, VERSION, Act, Gap, Head, Item, Sealed, Turned, encode
from grebestack.audit.version_sets import Stamps

SAMPLED = frozenset({"send", "retry"})
FIRST = 100  # acts of a stamp that are all kept: what a version does at first matters most
BATCH = 2000  # items of one frame: some 200 KB


def place(call: str) -> float:
    """From 0 to under 1, by the job's id: all dispatchers keep or leave out the same jobs."""
    return (crc32(call.encode("utf-8", "surrogatepass")) & 0xFFFF) / 65536.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the operator's file says."""

    full_rate: float = 2000.0  # acts a second that are all kept
    most_waiting: int = 20_000  # items that wait for the disk
    segment_bytes: int = 8 * 1024 * 1024
    off_ms: float = 100.0  # how far this machine's clock may be from true


@dataclass(slots=True)
class Recorder:
    """One dispatcher's record. Times are Unix milliseconds; they never go back here."""

    name: str
    life: str
    stamps: Stamps
    limits: Limits
    segment: int  # the number of the next one
    now_ms: float = 0.0
    waiting: list[Item] = field(default_factory=list)
    out: tuple[Item, ...] = ()  # the batch that the disk has now
    size: int = 0  # bytes of the segment
    begun: bool = False
    stopped: bool = False
    gaps: dict[str, Gap] = field(default_factory=dict)  # by reason, not yet among what waits
    second: int = 0
    of_second: int = 0
    share: float = 1.0
    of_stamp: int = 0
    said: Turned | None = None  # the last that was put into a batch
    before: Turned | None = None  # and the last one before that batch

    def _time(self, at_ms: float) -> float:
        self.now_ms = max(self.now_ms, at_ms)
        return self.now_ms

    def turned(self, at_ms: float) -> None:
        """The stamp has changed just now."""
        self.of_stamp = 0
        self.waiting.append(Turned(self._time(at_ms), self.stamps.number, self.stamps.current))

    def act(self, at_ms: float, what: str, call: str, server: str = "") -> None:
        """Something is done under the stamp in force."""
        now = self._time(at_ms)
        self._count(now)
        self.of_stamp += 1
        if what in SAMPLED and self.of_stamp > FIRST and place(call) >= self.share:
            self._miss(now, 1, "sampled", (self.stamps.number,))
            return
        if len(self.waiting) >= self.limits.most_waiting and what != OF_OPERATORS:
            self._miss(now, 1, "the disk is slow", (self.stamps.number,))
            return
        self.waiting.append(Act(now, what, self.stamps.number, call, server))

    def _count(self, now: float) -> None:
        second = int(now // 1000.0)
        if second != self.second:
            came = self.of_second if second == self.second + 1 else 0
            self.share = min(1.0, self.limits.full_rate / max(1, came))
            self.second, self.of_second = second, 0
            if "sampled" in self.gaps:
                self.waiting.append(self.gaps.pop("sampled"))
        self.of_second += 1

    def _miss(
        self, now: float, acts: int, why: str, stamps: tuple[int, ...], since: float | None = None
    ) -> None:
        former = self.gaps.get(why)
        if former is None:
            self.gaps[why] = Gap(now if since is None else since, now, acts, why, stamps)
        else:
            known = tuple(dict.fromkeys((*former.stamps, *stamps)))[:64]
            self.gaps[why] = Gap(former.from_ms, now, former.acts + acts, why, known)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to write."""
        return not self.waiting and not self.gaps

    def next(self, at_ms: float) -> tuple[bool, bytes] | None:
        """The next batch, and whether it begins a segment; None while one is out or nothing waits."""
        if self.out or self.idle:
            return None
        now = self._time(at_ms)
        self.waiting += self.gaps.values()
        self.gaps.clear()
        items, self.waiting = self.waiting[:BATCH], self.waiting[BATCH:]
        fresh = not self.begun
        turns = [item for item in items if isinstance(item, Turned)]
        if self.said is None:
            self.said = turns[0] if turns else None
        if fresh:  # which stamp held before the first item; the items say when it turned after that
            items.insert(0, self._head(now, items))
        self.before, self.said = self.said, turns[-1] if turns else self.said
        self.begun = True
        data = encode(tuple(items))
        self.size = len(data) if fresh else self.size + len(data)
        if self.size > self.limits.segment_bytes:
            items.append(Sealed(now, False))
            data = encode(tuple(items))
            self.begun = False
            self.segment += 1
        self.out = tuple(items)
        return fresh, data

    def _head(self, now: float, items: list[Item]) -> Head:
        held = self.said or Turned(now, self.stamps.number, self.stamps.current)
        at_ms = min([now, *(item.at_ms for item in items if isinstance(item, Act | Turned))])
        return Head(
            VERSION, self.name, self.life, self.segment, at_ms, self.limits.off_ms, held.stamp, held.versions
        )

    def written(self) -> None:
        """The batch is on the disk."""
        self.out = ()

    def failed(self, at_ms: float, why: str) -> None:
        """The batch may not be on the disk; the segment is left as it is, the next begins another."""
        now, acts = self._time(at_ms), [item for item in self.out if isinstance(item, Act)]
        operators = [act for act in acts if act.what == OF_OPERATORS]
        lost = sum(item.acts for item in self.out if isinstance(item, Gap))
        stamps = tuple(dict.fromkeys(item.stamp for item in acts))[:64]
        since = min([now, *(act.at_ms for act in acts)])
        self._miss(now, len(acts) - len(operators) + lost, why, stamps, since)
        if self.begun:
            self.begun = False
            self.segment += 1
        # Versions that turned meanwhile are said again; operators' acts are few and are kept.
        again: list[Item] = [i for i in self.out if isinstance(i, Turned) or i in operators]
        self.waiting[:0] = again
        self.said, self.out = self.before, ()

    def stop(self, at_ms: float) -> None:
        """The dispatcher stops: the last item."""
        if not self.stopped:
            self.stopped = True
            self.waiting += self.gaps.values()
            self.gaps.clear()
            self.waiting.append(Sealed(self._time(at_ms), True))
