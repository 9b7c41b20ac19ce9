"""What a member's disk says: its records, one after the other. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from grebestack.consensus.messages import Began, Born, Ended, Entered, Kept, Record, Roll, SlotOf
from grebestack.consensus.register import Slot


@dataclass(slots=True)
class Shelf:
    """What follows from the records of one disk."""

    fleet: str = ""
    incarnation: str = ""  # empty: not born
    roll: Roll = field(default_factory=Roll)
    following: Roll | None = None  # the set that ends this epoch: no more votes in it
    starts: int = 0
    slots: dict[str, Slot] = field(default_factory=dict)

    def take(self, record: Record) -> None:
        """One more record."""
        if isinstance(record, Kept):
            register, promised, accepted, value = record.slot
            self.slots[register] = Slot(promised, accepted, value)
        elif isinstance(record, Entered):
            self.roll, self.following = record.roll, None
            self.slots = {register: Slot(p, a, value) for register, p, a, value in record.slots}
        elif isinstance(record, Ended):
            self.following = record.following
        elif isinstance(record, Began):
            self.starts += 1
        else:
            assert isinstance(record, Born)
            self.fleet, self.incarnation, self.roll = record.fleet, record.incarnation, record.roll

    def held(self) -> tuple[SlotOf, ...]:
        """All registers, as they are told to others."""
        return tuple((name, s.promised, s.accepted, s.value) for name, s in sorted(self.slots.items()))

    def short(self) -> list[Record]:
        """As few records as say the same, for a file that is begun anew."""
        records: list[Record] = [Born(self.fleet, self.incarnation, self.roll)]
        records += [Began(0)] * min(self.starts, 1)
        records.append(Entered(self.roll, self.held()))
        if self.following is not None:
            records.append(Ended(self.following))
        return records


def merged(many: list[tuple[SlotOf, ...]]) -> tuple[SlotOf, ...]:
    """What an epoch begins with: of what a majority of the former one held, the value accepted last.

    Whatever was in force there lies on one of them under the highest ballot, or has been changed since.
    """
    slots: dict[str, SlotOf] = {}
    for register, promised, accepted, value in (slot for held in many for slot in held):
        other = slots.get(register)
        if other is None:
            slots[register] = register, promised, accepted, value
        else:
            best = (accepted, value) if accepted > other[2] else (other[2], other[3])
            slots[register] = register, max(promised, other[1]), *best
    return tuple(slots[register] for register in sorted(slots))
