"""Messages between members, and the records of a member's log, in msgspec's MessagePack form.

Both are arrays that begin with the tag of their type. Tags and the order of fields are the wire and disk
format of `PROTOCOL_VERSION`.

Only `Handshake` names its sender: a connection belongs to one member, disk incarnation and process
incarnation from then on.
"""

from __future__ import annotations

from msgspec import Struct, msgpack

from grebestack.config_distribution.versions import Version
from grebestack.consensus.lease import Lease
from grebestack.consensus.register import Ballot

PROTOCOL_VERSION = 2
MAX_MESSAGE_BYTES = 1 << 20  # without the frame's header


class MembershipConfig(Struct, frozen=True, array_like=True, tag="roll"):
    """The members of one membership epoch, each with the disk incarnation whose votes count."""

    epoch: int = 0  # 0: the membership is not known
    members: tuple[tuple[str, str], ...] = ()

    @property
    def quorum_size(self) -> int:
        """How many members make a majority."""
        return len(self.members) // 2 + 1

    @property
    def required_witnesses(self) -> int:
        """How many other members must have heard of a vote's log record before the vote counts."""
        return min(1, len(self.members) - 1)

    @property
    def required_confirmations(self) -> int:
        """How many other members must confirm a disk after a start: a witness is among any so many."""
        others = len(self.members) - 1
        return min(others, others + 1 - self.required_witnesses)

    def names(self) -> frozenset[str]:
        """Return the names of the members."""
        return frozenset(name for name, _ in self.members)

    def is_voter(self, name: str, disk_incarnation: str) -> bool:
        """Tell whether a member's vote counts under this disk incarnation."""
        return (name, disk_incarnation) in self.members


class RestartPlan(Struct, frozen=True, array_like=True, tag="plan"):
    """A rolling restart of the cluster; see `cluster_tasks.rolling_restart`."""

    number: int
    requested_by: str  # the member whose operator requested it
    members: tuple[str, ...]
    restarted: tuple[str, ...] = ()  # members that have restarted
    restarting: str = ""  # the member that restarts now
    process_incarnation: int = 0  # the process incarnation that it is to end
    state: str = ""
    reason: str = ""


RegisterValue = Lease | MembershipConfig | RestartPlan | Version | None
RegisterEntry = tuple[str, Ballot, Ballot, RegisterValue]  # register, promised, accepted, value


class Handshake(Struct, array_like=True, tag="hello"):
    """The first message in each direction of a connection."""

    version: int
    cluster: str
    name: str
    disk_incarnation: str
    process_incarnation: int
    epoch: int
    # By member: its disk incarnation and the last log record that it has reported to the sender.
    log_positions: dict[str, tuple[str, int]]


class Heartbeat(Struct, array_like=True, tag="ping"):
    """A heartbeat that requests a response; `about` names a third member to report on, if any."""

    about: str = ""


class HeartbeatResponse(Struct, array_like=True, tag="pong"):
    """The response to a heartbeat; `about` names a third member if the sender hears from it."""

    about: str = ""


class Prepare(Struct, array_like=True, tag="prepare"):
    """Requests a promise: the first phase of a proposal."""

    epoch: int
    register: str
    ballot: Ballot


class Accept(Struct, array_like=True, tag="accept"):
    """Requests that a value be accepted: the second phase of a proposal."""

    epoch: int
    register: str
    ballot: Ballot
    value: RegisterValue


class Promise(Struct, array_like=True, tag="promise"):
    """The response to `Prepare`: the promise is durable."""

    epoch: int
    register: str
    ballot: Ballot
    accepted: Ballot
    value: RegisterValue


class Accepted(Struct, array_like=True, tag="taken"):
    """The response to `Accept`: the value is durable."""

    epoch: int
    register: str
    ballot: Ballot


class Rejected(Struct, array_like=True, tag="refuse"):
    """The response to either phase where a higher ballot has been promised."""

    epoch: int
    register: str
    ballot: Ballot
    promised: Ballot


class JoinRequest(Struct, array_like=True, tag="admit"):
    """The sender requests membership under a new disk incarnation; sent again until it is a member."""

    name: str
    disk_incarnation: str


class StopVoting(Struct, array_like=True, tag="seal"):
    """Requests that an epoch's acceptor stop voting, since the next membership has been chosen."""

    epoch: int  # the one that ends
    next_config: MembershipConfig


class VotingStopped(Struct, array_like=True, tag="sealed"):
    """The response to `StopVoting`, which is durable, with the acceptor's registers."""

    epoch: int
    registers: tuple[RegisterEntry, ...]


class EnterEpoch(Struct, array_like=True, tag="enter"):
    """A membership epoch begins, or has begun, with these registers."""

    config: MembershipConfig
    registers: tuple[RegisterEntry, ...]


class EpochRequest(Struct, array_like=True, tag="behind"):
    """Requests `EnterEpoch` where the receiver is in a later epoch than this one, the sender's."""

    epoch: int


class TaskMessage(Struct, array_like=True, tag="word"):
    """A message from a cluster task of one member to the same task of another."""

    task: str
    body: bytes


Message = (
    Handshake
    | Heartbeat
    | HeartbeatResponse
    | Prepare
    | Accept
    | Promise
    | Accepted
    | Rejected
    | JoinRequest
    | StopVoting
    | VotingStopped
    | EnterEpoch
    | EpochRequest
    | TaskMessage
)


class IncarnationStarted(Struct, array_like=True, tag="born"):
    """The first record of a disk. `config` is the known membership; a founding member knows the first."""

    cluster: str
    disk_incarnation: str
    config: MembershipConfig


class ProcessStarted(Struct, array_like=True, tag="began"):
    """A process has started on this disk."""

    start_count: int


class RegisterWritten(Struct, array_like=True, tag="kept"):
    """The acceptor's new state of one register."""

    entry: RegisterEntry


class EpochEnded(Struct, array_like=True, tag="ended"):
    """The acceptor votes no more in the present epoch; the next membership follows."""

    next_config: MembershipConfig


class EpochEntered(Struct, array_like=True, tag="entered"):
    """The acceptor has entered an epoch, with these registers."""

    config: MembershipConfig
    registers: tuple[RegisterEntry, ...]


LogRecord = IncarnationStarted | ProcessStarted | RegisterWritten | EpochEnded | EpochEntered

_encoder = msgpack.Encoder()
_message_decoder = msgpack.Decoder(Message)
_record_decoder = msgpack.Decoder(LogRecord)


def encode(item: Message | LogRecord) -> bytes:
    """Encode a message or a log record."""
    return _encoder.encode(item)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError
        The data is no message of this version.
    """
    return _message_decoder.decode(data)


def decode_record(data: bytes) -> LogRecord:
    """Decode a log record.

    Raises
    ------
    msgspec.DecodeError
        The data is no log record of this version.
    """
    return _record_decoder.decode(data)
