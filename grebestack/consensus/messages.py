"""What members say to each other, and what they write down: one internal form, versioned, by msgspec.

Every message between members but the first names no sender: the connection that it comes on is known to be
the one of a member, an incarnation and a life (`Hello`).
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.config_distribution.versions import Version
from grebestack.consensus.lease import Lease
from grebestack.consensus.register import Ballot

VERSION = 2
MOST = 1 << 20  # bytes of a message, its length not counted


class Roll(Struct, frozen=True, array_like=True, tag="roll"):
    """The set of members of one epoch: names, each with the incarnation whose votes count."""

    epoch: int = 0  # 0: no set is known
    members: tuple[tuple[str, str], ...] = ()

    @property
    def majority(self) -> int:
        """So many of them decide."""
        return len(self.members) // 2 + 1

    def names(self) -> frozenset[str]:
        """Who belongs to it."""
        return frozenset(name for name, _ in self.members)

    def counts(self, name: str, incarnation: str) -> bool:
        """Whether a member's vote counts under this incarnation."""
        return (name, incarnation) in self.members


class Plan(Struct, frozen=True, array_like=True, tag="plan"):
    """A restart of the fleet, one member after the other; see `pacing`."""

    number: int
    by: str  # on whose door it was asked for
    members: tuple[str, ...]
    done: tuple[str, ...] = ()  # they are back
    step: str = ""  # whose turn it is
    life: int = 0  # in which life that one was told
    state: str = ""
    why: str = ""


Held = Lease | Roll | Plan | Version | None  # what a register may hold
SlotOf = tuple[str, Ballot, Ballot, Held]  # register, promised, accepted, value


class Hello(Struct, array_like=True, tag="hello"):
    """The first message each way on a connection."""

    version: int
    fleet: str
    name: str
    incarnation: str
    life: int
    epoch: int
    marks: dict[str, tuple[str, int]]  # of each member: its incarnation and the last record that it told of


class Ping(Struct, array_like=True, tag="ping"):
    """A sign of life that asks for one; `about` names a third member: is it heard there?"""

    about: str = ""


class Pong(Struct, array_like=True, tag="pong"):
    """The answer to a ping; `about` names a third member that is heard here."""

    about: str = ""


class Prepare(Struct, array_like=True, tag="prepare"):
    """Asked to promise."""

    epoch: int
    register: str
    ballot: Ballot


class Accept(Struct, array_like=True, tag="accept"):
    """Asked to accept."""

    epoch: int
    register: str
    ballot: Ballot
    value: Held


class Promise(Struct, array_like=True, tag="promise"):
    """A promise is on the disk."""

    epoch: int
    register: str
    ballot: Ballot
    accepted: Ballot
    value: Held


class Taken(Struct, array_like=True, tag="taken"):
    """A value is on the disk."""

    epoch: int
    register: str
    ballot: Ballot


class Refuse(Struct, array_like=True, tag="refuse"):
    """A higher ballot has been promised."""

    epoch: int
    register: str
    ballot: Ballot
    promised: Ballot


class Admit(Struct, array_like=True, tag="admit"):
    """Asked to be a member under a new incarnation; repeated until the set says so."""

    name: str
    incarnation: str


class Seal(Struct, array_like=True, tag="seal"):
    """This set follows: vote in the present one no more, and tell what you hold."""

    epoch: int  # the one that ends
    following: Roll


class Sealed(Struct, array_like=True, tag="sealed"):
    """A member votes in this epoch no more, which is on its disk; what it holds."""

    epoch: int
    slots: tuple[SlotOf, ...]


class Enter(Struct, array_like=True, tag="enter"):
    """Be in this epoch, with what it began with or holds by now."""

    roll: Roll
    slots: tuple[SlotOf, ...]


class Behind(Struct, array_like=True, tag="behind"):
    """Asked for `Enter` by a member that has heard of a later epoch than its own."""

    epoch: int


class Word(Struct, array_like=True, tag="word"):
    """What a task of one member says to that task of another."""

    task: str
    body: bytes


Message = (
    Hello
    | Ping
    | Pong
    | Prepare
    | Accept
    | Promise
    | Taken
    | Refuse
    | Admit
    | Seal
    | Sealed
    | Enter
    | Behind
    | Word
)


class Born(Struct, array_like=True, tag="born"):
    """The first record of a disk: of which fleet and incarnation it is, and the set, if it founds one."""

    fleet: str
    incarnation: str
    roll: Roll


class Began(Struct, array_like=True, tag="began"):
    """A start."""

    life: int


class Kept(Struct, array_like=True, tag="kept"):
    """What must not be forgotten of one register."""

    slot: SlotOf


class Ended(Struct, array_like=True, tag="ended"):
    """No more votes in the present epoch; which set follows."""

    following: Roll


class Entered(Struct, array_like=True, tag="entered"):
    """In an epoch, with what it holds."""

    roll: Roll
    slots: tuple[SlotOf, ...]


Record = Born | Began | Kept | Ended | Entered

_encoder = msgpack.Encoder()
_messages = msgpack.Decoder(Message)
_records = msgpack.Decoder(Record)


def encode(item: Message | Record) -> bytes:
    """A message or a record as bytes."""
    return _encoder.encode(item)


def message(data: bytes) -> Message:
    """Read a message; msgspec.DecodeError or ValidationError where it is none."""
    return _messages.decode(data)


def record(data: bytes) -> Record:
    """Read a record; msgspec.DecodeError or ValidationError where it is none."""
    return _records.decode(data)
