"""Decides which actions of a dispatcher are recorded, and in which batches and segments. Pure.

The caller asks for the next batch once the previous one is on the disk, so that many actions share one sync,
and batches grow, up to a limit, while the disk is slow. Actions beyond that limit are counted, not kept; the
gap is recorded with its reason in the next batch.

Sampling applies to sends and retries. If the second before had more than `max_full_rate` actions, only those
of jobs whose call ids hash into the share that fits are kept. Other actions are never sampled out: denials,
failures, cancellations, operators' actions, and the first ones under a version set.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from grebestack.audit.records import (
    FORMAT_VERSION,
    OPERATOR_ACTION,
    ActionRecord,
    Gap,
    Item,
    SegmentEnd,
    SegmentHeader,
    VersionsChanged,
    encode,
)
from grebestack.audit.version_sets import VersionSets

SAMPLED_KINDS = frozenset({"send", "retry"})
UNSAMPLED_ACTIONS = 100  # the first of a version set are all kept: they show how a new version begins
MAX_BATCH_ITEMS = 2000  # about 200 KB


def sampling_position(call_id: str) -> float:
    """Return a number from 0 to below 1 by the call id, so that all dispatchers sample the same jobs."""
    return (crc32(call_id.encode("utf-8", "surrogatepass")) & 0xFFFF) / 65536.0


@dataclass(frozen=True, slots=True)
class RecorderLimits:
    """Limits from the operator's file."""

    max_full_rate: float = 2000.0  # actions per second up to which all are kept
    max_waiting_items: int = 20_000  # items that wait for the disk
    max_segment_bytes: int = 8 * 1024 * 1024
    max_clock_error_ms: float = 100.0  # of this machine's clock


@dataclass(slots=True)
class Recorder:
    """The audit log of one dispatcher. Times are Unix milliseconds and never decrease here."""

    name: str  # the dispatcher's
    process_incarnation: str
    version_sets: VersionSets
    limits: RecorderLimits
    segment: int  # the number of the next one
    now_ms: float = 0.0
    waiting_items: list[Item] = field(default_factory=list)
    batch_in_flight: tuple[Item, ...] = ()  # being written
    segment_bytes: int = 0
    is_segment_open: bool = False
    stopped: bool = False
    gaps: dict[str, Gap] = field(default_factory=dict)  # by reason; not among the waiting items yet
    current_second: int = 0
    actions_in_second: int = 0
    kept_share: float = 1.0
    actions_under_set: int = 0
    last_change: VersionsChanged | None = None  # the last one put into a batch
    change_before_batch: VersionsChanged | None = None  # the last one before the batch in flight

    def _advance_time(self, at_ms: float) -> float:
        self.now_ms = max(self.now_ms, at_ms)
        return self.now_ms

    def on_versions_changed(self, at_ms: float) -> None:
        """Record that another version set is in force from now on."""
        self.actions_under_set = 0
        self.waiting_items.append(
            VersionsChanged(self._advance_time(at_ms), self.version_sets.number, self.version_sets.current)
        )

    def record_action(self, at_ms: float, kind: str, call_id: str, worker: str = "") -> None:
        """Record an action under the version set in force, unless it is sampled out or the disk is slow."""
        now = self._advance_time(at_ms)
        self._count_action(now)
        self.actions_under_set += 1
        if (
            kind in SAMPLED_KINDS
            and self.actions_under_set > UNSAMPLED_ACTIONS
            and sampling_position(call_id) >= self.kept_share
        ):
            self._extend_gap(now, 1, "sampled", (self.version_sets.number,))
            return
        if len(self.waiting_items) >= self.limits.max_waiting_items and kind != OPERATOR_ACTION:
            self._extend_gap(now, 1, "the disk is slow", (self.version_sets.number,))
            return
        self.waiting_items.append(ActionRecord(now, kind, self.version_sets.number, call_id, worker))

    def _count_action(self, now: float) -> None:
        second = int(now // 1000.0)
        if second != self.current_second:
            previous = self.actions_in_second if second == self.current_second + 1 else 0
            self.kept_share = min(1.0, self.limits.max_full_rate / max(1, previous))
            self.current_second, self.actions_in_second = second, 0
            if "sampled" in self.gaps:
                self.waiting_items.append(self.gaps.pop("sampled"))
        self.actions_in_second += 1

    def _extend_gap(
        self, now: float, actions: int, reason: str, set_numbers: tuple[int, ...], since: float | None = None
    ) -> None:
        former = self.gaps.get(reason)
        if former is None:
            self.gaps[reason] = Gap(now if since is None else since, now, actions, reason, set_numbers)
        else:
            known = tuple(dict.fromkeys((*former.stamps, *set_numbers)))[:64]
            self.gaps[reason] = Gap(former.from_ms, now, former.acts + actions, reason, known)

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to write."""
        return not self.waiting_items and not self.gaps

    def next_batch(self, at_ms: float) -> tuple[bool, bytes] | None:
        """Return whether the next batch begins a segment, and the batch itself.

        None: a batch is in flight, or there is nothing to write.
        """
        if self.batch_in_flight or self.is_idle:
            return None
        now = self._advance_time(at_ms)
        self.waiting_items += self.gaps.values()
        self.gaps.clear()
        items, self.waiting_items = (
            self.waiting_items[:MAX_BATCH_ITEMS],
            self.waiting_items[MAX_BATCH_ITEMS:],
        )
        begins_segment = not self.is_segment_open
        changes = [item for item in items if isinstance(item, VersionsChanged)]
        if self.last_change is None:
            self.last_change = changes[0] if changes else None
        if begins_segment:  # the header has the version set in force before the first item
            items.insert(0, self._segment_header(now, items))
        self.change_before_batch, self.last_change = (
            self.last_change,
            changes[-1] if changes else self.last_change,
        )
        self.is_segment_open = True
        data = encode(tuple(items))
        self.segment_bytes = len(data) if begins_segment else self.segment_bytes + len(data)
        if self.segment_bytes > self.limits.max_segment_bytes:
            items.append(SegmentEnd(now, False))
            data = encode(tuple(items))
            self.is_segment_open = False
            self.segment += 1
        self.batch_in_flight = tuple(items)
        return begins_segment, data

    def _segment_header(self, now: float, items: list[Item]) -> SegmentHeader:
        change = self.last_change or VersionsChanged(now, self.version_sets.number, self.version_sets.current)
        at_ms = min(
            [now, *(item.at_ms for item in items if isinstance(item, ActionRecord | VersionsChanged))]
        )
        return SegmentHeader(
            FORMAT_VERSION,
            self.name,
            self.process_incarnation,
            self.segment,
            at_ms,
            self.limits.max_clock_error_ms,
            change.stamp,
            change.versions,
        )

    def on_written(self) -> None:
        """The batch in flight is on the disk."""
        self.batch_in_flight = ()

    def on_write_failed(self, at_ms: float, reason: str) -> None:
        """The batch in flight may not be on the disk: abandon its segment; the next batch begins another."""
        now, actions = (
            self._advance_time(at_ms),
            [item for item in self.batch_in_flight if isinstance(item, ActionRecord)],
        )
        operators_actions = [action for action in actions if action.what == OPERATOR_ACTION]
        in_gaps = sum(item.acts for item in self.batch_in_flight if isinstance(item, Gap))
        set_numbers = tuple(dict.fromkeys(item.stamp for item in actions))[:64]
        since = min([now, *(action.at_ms for action in actions)])
        self._extend_gap(now, len(actions) - len(operators_actions) + in_gaps, reason, set_numbers, since)
        if self.is_segment_open:
            self.is_segment_open = False
            self.segment += 1
        # Version changes are written again, and so are operators' actions, which are few.
        again: list[Item] = [
            i for i in self.batch_in_flight if isinstance(i, VersionsChanged) or i in operators_actions
        ]
        self.waiting_items[:0] = again
        self.last_change, self.batch_in_flight = self.change_before_batch, ()

    def stop(self, at_ms: float) -> None:
        """Add the last item: the dispatcher stops."""
        if not self.stopped:
            self.stopped = True
            self.waiting_items += self.gaps.values()
            self.gaps.clear()
            self.waiting_items.append(SegmentEnd(self._advance_time(at_ms), True))
