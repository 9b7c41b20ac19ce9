"""One dispatcher's record as its files have it: its items in order, and why it can't be vouched for. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import DecodeError

from grebestack.audit.records import VERSION, Act, Gap, Head, Item, Turned, decode
from grebestack.audit.version_sets import Stamp
from grebestack.consensus.log_format import read_log

MAGIC = b"grebestack audit 1\n"


@dataclass(frozen=True, slots=True)
class Done:
    """An act as the record has it, with the versions that it was done under."""

    dispatcher: str
    at_ms: float
    what: str
    call: str
    server: str
    versions: Stamp
    life: str
    stamp: int  # the number of the versions within that life


@dataclass(frozen=True, slots=True)
class Held:
    """From when to when versions were in force at a dispatcher; the end is not known if it did not say."""

    dispatcher: str
    versions: Stamp
    from_ms: float
    to_ms: float | None


@dataclass(slots=True)
class Record:
    """What one dispatcher's files come to."""

    dispatcher: str
    off_ms: float = 0.0  # its clock is at most so far from true
    acts: list[Done] = field(default_factory=list)
    held: list[Held] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    doubts: list[str] = field(default_factory=list)  # why it can't be vouched for
    until_ms: float = 0.0  # the last thing it says

    @property
    def sampled(self) -> int:
        """Acts that the rule of sampling left out."""
        return sum(gap.acts for gap in self.gaps if gap.why == "sampled")

    def turn(self, at_ms: float, versions: Stamp) -> None:
        """From now on it holds these."""
        if self.held and self.held[-1].to_ms is None:
            last = self.held[-1]
            if last.versions == versions:
                return
            self.end(at_ms)
        self.held.append(Held(self.dispatcher, versions, at_ms, None))

    def end(self, at_ms: float) -> None:
        """It says no more of what it holds."""
        if self.held and self.held[-1].to_ms is None:
            last = self.held[-1]
            self.held[-1] = Held(last.dispatcher, last.versions, last.from_ms, at_ms)


@dataclass(slots=True)
class _Reader:
    """What is carried from one segment to the next."""

    record: Record
    segment: int | None = None  # the last that was read
    life: str = ""
    running: bool = False  # that life goes on
    sealed: bool = True  # that segment said that it ends
    stamps: dict[int, Stamp] = field(default_factory=dict)  # that the segment has named

    def take(self, name: str, data: bytes) -> None:
        """Read one segment."""
        got, doubts = read_log(data, 1, MAGIC), self.record.doubts
        if got.corruption:
            doubts.append(f"{name}: {got.corruption}; what follows in it is not known")
        self.stamps = {}
        for payload in got.payloads:
            try:
                items = decode(payload)
            except DecodeError as error:
                doubts.append(f"{name}: a batch can't be read: {error}")
                break
            for item in items:
                if isinstance(item, Head) and item.version != VERSION:
                    doubts.append(f"{name}: of version {item.version}; this program reads {VERSION}")
                    return
                self._item(name, item)
        if got.has_torn_end:
            doubts.append(f"{name}: its end is torn")

    def _item(self, name: str, item: Item) -> None:
        record = self.record
        if isinstance(item, Gap):
            record.gaps.append(item)
            return
        if isinstance(item, Head):
            self._head(name, item)
        else:
            record.until_ms = max(record.until_ms, item.at_ms)
        if isinstance(item, Head | Turned):
            self.stamps[item.stamp] = item.versions
            record.turn(item.at_ms, item.versions)
        elif isinstance(item, Act):
            self._act(name, item)
        else:
            self.sealed, self.running = True, not item.stop
            if item.stop:
                record.end(item.at_ms)

    def _head(self, name: str, head: Head) -> None:
        """Another segment begins: does it follow the one before?"""
        record = self.record
        if self.segment is not None and head.segment != self.segment + 1:
            record.doubts.append(f"{name}: segment {head.segment} follows {self.segment}: some are gone")
        if self.running and self.life != head.life:
            until = f"{record.until_ms:.0f} ms"
            record.doubts.append(f"life {self.life} ended without a word at {until} or later")
            record.end(record.until_ms)
        elif not self.sealed and self.life == head.life:
            record.doubts.append(f"segment {self.segment} was not sealed: its end may be lost")
        record.off_ms = max(record.off_ms, head.off_ms)
        self.segment, self.life, self.running, self.sealed = head.segment, head.life, True, False

    def _act(self, name: str, act: Act) -> None:
        versions = self.stamps.get(act.stamp)
        if versions is None:
            self.record.doubts.append(f"{name}: an act under stamp {act.stamp}, which it does not say")
            return
        who = self.record.dispatcher
        done = Done(who, act.at_ms, act.what, act.call, act.server, versions, self.life, act.stamp)
        self.record.acts.append(done)


def assemble(dispatcher: str, files: Iterable[tuple[str, bytes]]) -> Record:
    """Read a dispatcher's files, by name in the order of their segments.

    A segment whose number is not the next, one without an end, a batch that is not what was written: each is
    a doubt. What can be read beside it is used.
    """
    record, found = Record(dispatcher), False
    reader = _Reader(record)
    for name, data in files:
        found = True
        reader.take(name, data)
    if not found:
        record.doubts.append("there is no record of it")
    elif reader.running:
        until = f"{record.until_ms:.0f} ms"
        record.doubts.append(f"it has not said that it stopped; nothing is known after {until}")
    record.acts = list(dict.fromkeys(record.acts))  # operators' may be written twice where the disk failed
    return record
