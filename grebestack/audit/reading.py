"""One dispatcher's record as its files have it: its items in order, and why it can't be vouched for. Pure."""

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
    """An act as the record has it, with the versions that it was done under."""

    dispatcher: str
    at_ms: float
    kind: str
    call_id: str
    worker: str
    versions: VersionSet
    process_incarnation: str
    set_number: int  # the number of the versions within that life


@dataclass(frozen=True, slots=True)
class VersionPeriod:
    """From when to when versions were in force at a dispatcher; the end is not known if it did not say."""

    dispatcher: str
    versions: VersionSet
    from_ms: float
    to_ms: float | None


@dataclass(slots=True)
class AuditLog:
    """What one dispatcher's files come to."""

    dispatcher: str
    max_clock_error_ms: float = 0.0  # its clock is at most so far from true
    actions: list[AuditedAction] = field(default_factory=list)
    periods: list[VersionPeriod] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)  # why it can't be vouched for
    last_item_ms: float = 0.0  # the last thing it says

    @property
    def sampled_out(self) -> int:
        """Acts that the rule of sampling left out."""
        return sum(gap.acts for gap in self.gaps if gap.why == "sampled")

    def begin_period(self, at_ms: float, versions: VersionSet) -> None:
        """From now on it holds these."""
        if self.periods and self.periods[-1].to_ms is None:
            last = self.periods[-1]
            if last.versions == versions:
                return
            self.end_period(at_ms)
        self.periods.append(VersionPeriod(self.dispatcher, versions, at_ms, None))

    def end_period(self, at_ms: float) -> None:
        """It says no more of what it holds."""
        if self.periods and self.periods[-1].to_ms is None:
            last = self.periods[-1]
            self.periods[-1] = VersionPeriod(last.dispatcher, last.versions, last.from_ms, at_ms)


@dataclass(slots=True)
class _Reader:
    """What is carried from one segment to the next."""

    log: AuditLog
    segment: int | None = None  # the last that was read
    process_incarnation: str = ""
    is_running: bool = False  # that life goes on
    is_closed: bool = True  # that segment said that it ends
    version_sets: dict[int, VersionSet] = field(default_factory=dict)  # that the segment has named

    def read_segment(self, name: str, data: bytes) -> None:
        """Read one segment."""
        contents, doubts = read_log(data, 1, MAGIC), self.log.doubts
        if contents.corruption:
            doubts.append(f"{name}: {contents.corruption}; what follows in it is not known")
        self.version_sets = {}
        for payload in contents.payloads:
            try:
                items = decode(payload)
            except DecodeError as error:
                doubts.append(f"{name}: a batch can't be read: {error}")
                break
            for item in items:
                if isinstance(item, SegmentHeader) and item.version != FORMAT_VERSION:
                    doubts.append(f"{name}: of version {item.version}; this program reads {FORMAT_VERSION}")
                    return
                self._on_item(name, item)
        if contents.has_torn_end:
            doubts.append(f"{name}: its end is torn")

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
        """Another segment begins: does it follow the one before?"""
        log = self.log
        if self.segment is not None and header.segment != self.segment + 1:
            log.doubts.append(f"{name}: segment {header.segment} follows {self.segment}: some are gone")
        if self.is_running and self.process_incarnation != header.life:
            until = f"{log.last_item_ms:.0f} ms"
            log.doubts.append(f"life {self.process_incarnation} ended without a word at {until} or later")
            log.end_period(log.last_item_ms)
        elif not self.is_closed and self.process_incarnation == header.life:
            log.doubts.append(f"segment {self.segment} was not sealed: its end may be lost")
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
            self.log.doubts.append(f"{name}: an act under stamp {record.stamp}, which it does not say")
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
    """Read a dispatcher's files, by name in the order of their segments.

    A segment whose number is not the next, one without an end, a batch that is not what was written: each is
    a doubt. What can be read beside it is used.
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
    log.actions = list(dict.fromkeys(log.actions))  # operators' may be written twice where the disk failed
    return log
