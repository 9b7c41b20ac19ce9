"""Reads one dispatcher's audit log from its segments, and notes why it may be incomplete. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import DecodeError

from grebestack.audit.records import (
    FORMAT_VERSION,
    ActionRecord,
    Gap,
    Item,
    SegmentHeader,
    VersionsChanged,
    decode,
)
from grebestack.audit.version_sets import VersionSet
from grebestack.consensus.log_format import read_log

MAGIC = b"grebestack audit 1\n"


@dataclass(frozen=True, slots=True)
class AuditedAction:
    """A recorded action, with the versions it was taken under."""

    dispatcher: str
    at_ms: float
    kind: str
    call_id: str  # or the operator's command
    worker: str  # or the target of the operator's command
    versions: VersionSet
    process_incarnation: str
    set_number: int  # of the version set, within that process incarnation


@dataclass(frozen=True, slots=True)
class VersionPeriod:
    """When a version set was in force at a dispatcher; without an end if the log does not have it."""

    dispatcher: str
    versions: VersionSet
    from_ms: float
    to_ms: float | None


@dataclass(slots=True)
class AuditLog:
    """The contents of one dispatcher's segments."""

    dispatcher: str
    max_clock_error_ms: float = 0.0
    actions: list[AuditedAction] = field(default_factory=list)
    periods: list[VersionPeriod] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)  # why it may be incomplete
    last_item_ms: float = 0.0

    @property
    def sampled_out(self) -> int:
        """How many actions were left out by sampling."""
        return sum(gap.acts for gap in self.gaps if gap.why == "sampled")

    def begin_period(self, at_ms: float, versions: VersionSet) -> None:
        """Note that a version set is in force from now on."""
        if self.periods and self.periods[-1].to_ms is None:
            last = self.periods[-1]
            if last.versions == versions:
                return
            self.end_period(at_ms)
        self.periods.append(VersionPeriod(self.dispatcher, versions, at_ms, None))

    def end_period(self, at_ms: float) -> None:
        """Note that the version set in force is not known to be so any longer."""
        if self.periods and self.periods[-1].to_ms is None:
            last = self.periods[-1]
            self.periods[-1] = VersionPeriod(last.dispatcher, last.versions, last.from_ms, at_ms)


@dataclass(slots=True)
class _Reader:
    """Reads segments in order, with the state that is carried from one to the next."""

    log: AuditLog
    segment: int | None = None  # the number of the last one read
    process_incarnation: str = ""
    is_running: bool = False  # that process incarnation has not stopped
    is_closed: bool = True  # the last segment has its end
    version_sets: dict[int, VersionSet] = field(default_factory=dict)  # that this segment has defined

    def read_segment(self, name: str, data: bytes) -> None:
        """Read one segment."""
        contents, doubts = read_log(data, 1, MAGIC), self.log.doubts
        if contents.corruption:
            doubts.append(f"{name}: {contents.corruption}; the rest of the segment is unknown")
        self.version_sets = {}
        for payload in contents.payloads:
            try:
                items = decode(payload)
            except DecodeError as error:
                doubts.append(f"{name}: a batch can't be read: {error}")
                break
            for item in items:
                if isinstance(item, SegmentHeader) and item.version != FORMAT_VERSION:
                    doubts.append(
                        f"{name}: its format is {item.version}; this program reads {FORMAT_VERSION}"
                    )
                    return
                self._on_item(name, item)
        if contents.has_torn_end:
            doubts.append(f"{name}: its last record is torn")

    def _on_item(self, name: str, item: Item) -> None:
        log = self.log
        if isinstance(item, Gap):
            log.gaps.append(item)
            return
        if isinstance(item, SegmentHeader):
            self._on_header(name, item)
        else:
            log.last_item_ms = max(log.last_item_ms, item.at_ms)
        if isinstance(item, SegmentHeader | VersionsChanged):
            self.version_sets[item.stamp] = item.versions
            log.begin_period(item.at_ms, item.versions)
        elif isinstance(item, ActionRecord):
            self._on_action(name, item)
        else:
            self.is_closed, self.is_running = True, not item.stop
            if item.stop:
                log.end_period(item.at_ms)

    def _on_header(self, name: str, header: SegmentHeader) -> None:
        """Check that a segment follows the one before it."""
        log = self.log
        if self.segment is not None and header.segment != self.segment + 1:
            log.doubts.append(f"{name}: segment {header.segment} follows {self.segment}: some are missing")
        if self.is_running and self.process_incarnation != header.life:
            until = f"{log.last_item_ms:.0f} ms"
            log.doubts.append(
                f"process incarnation {self.process_incarnation} ended without recording its stop,"
                f" at {until} or later"
            )
            log.end_period(log.last_item_ms)
        elif not self.is_closed and self.process_incarnation == header.life:
            log.doubts.append(f"segment {self.segment} was not closed: its end may be lost")
        log.max_clock_error_ms = max(log.max_clock_error_ms, header.off_ms)
        self.segment, self.process_incarnation, self.is_running, self.is_closed = (
            header.segment,
            header.life,
            True,
            False,
        )

    def _on_action(self, name: str, record: ActionRecord) -> None:
        versions = self.version_sets.get(record.stamp)
        if versions is None:
            self.log.doubts.append(f"{name}: an act under version set {record.stamp}, which is not defined")
            return
        dispatcher = self.log.dispatcher
        action = AuditedAction(
            dispatcher,
            record.at_ms,
            record.what,
            record.call,
            record.server,
            versions,
            self.process_incarnation,
            record.stamp,
        )
        self.log.actions.append(action)


def read_audit_log(dispatcher: str, files: Iterable[tuple[str, bytes]]) -> AuditLog:
    """Read a dispatcher's segments, given by name in the order of their numbers.

    A missing segment, one without an end and a corrupt batch are each noted as a doubt; the rest is used.
    """
    log, found = AuditLog(dispatcher), False
    reader = _Reader(log)
    for name, data in files:
        found = True
        reader.read_segment(name, data)
    if not found:
        log.doubts.append("there is no record of it")
    elif reader.is_running:
        until = f"{log.last_item_ms:.0f} ms"
        log.doubts.append(f"it has not said that it stopped; nothing is known after {until}")
    # Operators' actions are written again after a failure of the disk, and may be there twice.
    log.actions = list(dict.fromkeys(log.actions))
    return log
