"""Messages between members, and the records of a member's log, in msgspec's MessagePack form.

Both are arrays that begin with the tag of their type. Tags and the order of fields are the wire and disk
format of `PROTOCOL_VERSION`.

Only `Handshake` names its sender. It binds the connection to one member, one disk incarnation and one process
incarnation.
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

    epoch: int = 0  # 0: the membership is unknown
    members: tuple[tuple[str, str], ...] = ()

    @property
    def quorum_size(self) -> int:
        """Number of members in a majority."""
        return len(self.members) // 2 + 1

    @property
    def required_witnesses(self) -> int:
        """Number of other members that must know of a vote's log record before the vote counts."""
        return min(1, len(self.members) - 1)

    @property
    def required_confirmations(self) -> int:
        """Number of other members that must confirm a disk after a start.

        Any set of that size includes a witness of each vote.
        """
        others = len(self.members) - 1
        return min(others, others + 1 - self.required_witnesses)

    def names(self) -> frozenset[str]:
        """Return the names of the members."""
        return frozenset(name for name, _ in self.members)

    def is_voter(self, name: str, disk_incarnation: str) -> bool:
        """Return whether a member's vote counts under this disk incarnation."""
        return (name, disk_incarnation) in self.members


class RestartPlan(Struct, frozen=True, array_like=True, tag="plan"):
    """The progress of a rolling restart of the cluster; see `cluster_tasks.rolling_restart`."""

    number: int
    requested_by: str  # the member whose operator requested it
    members: tuple[str, ...]
    restarted: tuple[str, ...] = ()  # members that have restarted
    restarting: str = ""  # the member that is restarting now
    process_incarnation: int = 0  # its process incarnation before the restart
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
    # By member: its disk incarnation and the last log record that it reported to the sender.
    log_positions: dict[str, tuple[str, int]]


class Heartbeat(Struct, array_like=True, tag="ping"):
    """Requests a heartbeat response; `about` names a third member to report on, if any."""

    about: str = ""


class HeartbeatResponse(Struct, array_like=True, tag="pong"):
    """The response to a heartbeat; `about` repeats the name of the third member if the sender sees it up."""

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
    """The response to `Prepare`, sent once the promise is durable."""

    epoch: int
    register: str
    ballot: Ballot
    accepted: Ballot
    value: RegisterValue


class Accepted(Struct, array_like=True, tag="taken"):
    """The response to `Accept`, sent once the value is durable."""

    epoch: int
    register: str
    ballot: Ballot


class Rejected(Struct, array_like=True, tag="refuse"):
    """The response to `Prepare` or `Accept` if a higher ballot has been promised."""

    epoch: int
    register: str
    ballot: Ballot
    promised: Ballot


class JoinRequest(Struct, array_like=True, tag="admit"):
    """Requests membership for the sender's disk incarnation; repeated until the sender is a member."""

    name: str
    disk_incarnation: str


class StopVoting(Struct, array_like=True, tag="seal"):
    """Requests that an acceptor stop voting in an epoch, since the next membership has been chosen."""

    epoch: int  # the epoch that ends
    next_config: MembershipConfig


class VotingStopped(Struct, array_like=True, tag="sealed"):
    """The response to `StopVoting`, sent once the stop is durable, with the acceptor's registers."""

    epoch: int
    registers: tuple[RegisterEntry, ...]


class EnterEpoch(Struct, array_like=True, tag="enter"):
    """Tells a member to enter a membership epoch, with these registers."""

    config: MembershipConfig
    registers: tuple[RegisterEntry, ...]


class EpochRequest(Struct, array_like=True, tag="behind"):
    """Requests `EnterEpoch` if the receiver is in a later epoch than the sender."""

    epoch: int  # the sender's


class TaskMessage(Struct, array_like=True, tag="word"):
    """A message from one member's part of a cluster task to another member's part of it."""

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
    """The first record of a log: a new disk incarnation.

    `config` is the membership known then: for a founding member the initial one.
    """

    cluster: str
    disk_incarnation: str
    config: MembershipConfig


class ProcessStarted(Struct, array_like=True, tag="began"):
    """A process has started with this log."""

    start_count: int


class RegisterWritten(Struct, array_like=True, tag="kept"):
    """The acceptor's new state of one register."""

    entry: RegisterEntry


class EpochEnded(Struct, array_like=True, tag="ended"):
    """The acceptor has stopped voting in the current epoch; `next_config` is the next membership."""

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
        The data is not a message of this version.
    """
    return _message_decoder.decode(data)


def decode_record(data: bytes) -> LogRecord:
    """Decode a log record.

    Raises
    ------
    msgspec.DecodeError
        The data is not a log record of this version.
    """
    return _record_decoder.decode(data)
