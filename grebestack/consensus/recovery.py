"""The state that a member recovers from its log, and the merge of a quorum's registers. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from grebestack.consensus.messages import (
    EpochEnded,
    EpochEntered,
    IncarnationStarted,
    LogRecord,
    MembershipConfig,
    ProcessStarted,
    RegisterEntry,
    RegisterWritten,
)
from grebestack.consensus.register import AcceptorState


@dataclass(slots=True)
class RecoveredState:
    """The durable state of one disk incarnation."""

    cluster: str = ""
    disk_incarnation: str = ""  # empty: the log has no first record
    config: MembershipConfig = field(default_factory=MembershipConfig)
    next_config: MembershipConfig | None = None  # set: voting in the current epoch has stopped
    start_count: int = 0
    registers: dict[str, AcceptorState] = field(default_factory=dict)

    def apply(self, record: LogRecord) -> None:
        """Apply the next record of the log."""
        _APPLY[type(record)](self, record)

    def _on_register_written(self, record: RegisterWritten) -> None:
        register, promised, accepted, value = record.entry
        self.registers[register] = AcceptorState(promised, accepted, value)

    def _on_epoch_entered(self, record: EpochEntered) -> None:
        self.config, self.next_config = record.config, None
        self.registers = {name: AcceptorState(p, a, value) for name, p, a, value in record.registers}

    def _on_epoch_ended(self, record: EpochEnded) -> None:
        self.next_config = record.next_config

    def _on_process_started(self, record: ProcessStarted) -> None:
        # A compacted log has a single such record for all starts; older versions of the program wrote 0.
        self.start_count = max(self.start_count + 1, record.start_count)

    def _on_incarnation_started(self, record: IncarnationStarted) -> None:
        self.cluster, self.disk_incarnation = record.cluster, record.disk_incarnation
        self.config = record.config

    def register_entries(self) -> tuple[RegisterEntry, ...]:
        """Return all registers in their wire form, sorted by name."""
        return tuple((name, s.promised, s.accepted, s.value) for name, s in sorted(self.registers.items()))

    def compacted_records(self) -> list[LogRecord]:
        """Return the shortest list of records from which the same state is recovered."""
        records: list[LogRecord] = [IncarnationStarted(self.cluster, self.disk_incarnation, self.config)]
        if self.start_count:
            records.append(ProcessStarted(self.start_count))
        records.append(EpochEntered(self.config, self.register_entries()))
        if self.next_config is not None:
            records.append(EpochEnded(self.next_config))
        return records


_APPLY: dict[type[LogRecord], Callable[[RecoveredState, Any], None]] = {
    RegisterWritten: RecoveredState._on_register_written,
    EpochEntered: RecoveredState._on_epoch_entered,
    EpochEnded: RecoveredState._on_epoch_ended,
    ProcessStarted: RecoveredState._on_process_started,
    IncarnationStarted: RecoveredState._on_incarnation_started,
}


def merge_registers(replicas: list[tuple[RegisterEntry, ...]]) -> tuple[RegisterEntry, ...]:
    """Merge the registers of a quorum of an ended epoch into those that the next epoch begins with.

    Every quorum that chose a value shares a member with this one, so the last chosen value is among the
    entries. It has the highest accepted ballot unless a later proposal has replaced it.
    """
    merged: dict[str, RegisterEntry] = {}
    for register, promised, accepted, value in (entry for entries in replicas for entry in entries):
        if register in merged:
            _, other_promised, other_accepted, other_value = merged[register]
            promised = max(promised, other_promised)
            if other_accepted >= accepted:
                accepted, value = other_accepted, other_value
        merged[register] = register, promised, accepted, value
    return tuple(merged[register] for register in sorted(merged))
