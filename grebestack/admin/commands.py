"""Admin commands and responses, and their encoding as lines. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 256  # without the line ending
MAX_EXCERPT_BYTES = 40
ALLOWED_COMMANDS = (
    "health, cordon ID, uncordon ID, quiesce, resume, fleet, leases, restart, halt, drop ID, configure PATH"
)


class Verb(Enum):
    """The first word of a command."""

    HEALTH = "health"
    CORDON = "cordon"
    UNCORDON = "uncordon"
    QUIESCE = "quiesce"
    RESUME = "resume"
    FLEET = "fleet"
    LEASES = "leases"
    RESTART = "restart"
    HALT = "halt"
    DROP = "drop"
    CONFIGURE = "configure"

    @property
    def takes_target(self) -> bool:
        """Whether the command names a worker, a member of the cluster or a file."""
        return self in (Verb.CORDON, Verb.UNCORDON, Verb.DROP, Verb.CONFIGURE)

    @property
    def changes_state(self) -> bool:
        """Whether the command changes anything, rather than only reporting."""
        return self not in (Verb.HEALTH, Verb.FLEET, Verb.LEASES)

    @property
    def is_for_cluster(self) -> bool:
        """Whether the command concerns the cluster that the dispatcher is a member of."""
        return self in (
            Verb.FLEET,
            Verb.LEASES,
            Verb.RESTART,
            Verb.HALT,
            Verb.DROP,
            Verb.CONFIGURE,
        )


@dataclass(frozen=True, slots=True)
class Command:
    """One command; `target` is empty for a verb that takes none."""

    verb: Verb
    target: str = ""


@dataclass(frozen=True, slots=True)
class CommandResponse:
    """The outcome of a command: SUCCESS or FAILURE, and a text for the operator."""

    succeeded: bool
    text: str

    @property
    def line(self) -> bytes:
        """The line on the wire, including its line ending."""
        word = "SUCCESS" if self.succeeded else "FAILURE"
        return f"{word} {self.text}".rstrip().encode("utf-8", "replace") + b"\n"


def excerpt(line: bytes) -> str:
    """Return the beginning of a line, quoted, with unprintable characters replaced."""
    text = line[:MAX_EXCERPT_BYTES].decode("utf-8", "replace")
    printable = "".join(character if character.isprintable() else "?" for character in text)
    return repr(printable) + ("..." if len(line) > MAX_EXCERPT_BYTES else "")


def parse(line: bytes) -> Command | CommandResponse:
    """Parse a line without its line ending; a `CommandResponse` is the FAILURE to send."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return _malformed(f"the call {excerpt(line)} is not ASCII")
    if not words:
        return _malformed("the call is empty")
    name, *targets = words
    try:
        verb = Verb(name)
    except ValueError:
        return _malformed(f"unknown call {excerpt(line)}")
    if len(targets) != int(verb.takes_target):
        takes = "takes one ID" if verb.takes_target else "takes no ID"
        return _malformed(f"{verb.value} {takes}, not {len(targets)}")
    if not all(word.isprintable() for word in words):
        return _malformed(f"the call {excerpt(line)} has control characters")
    return Command(verb, *targets)


def _malformed(reason: str) -> CommandResponse:
    return CommandResponse(False, f"{reason}; allowed: {ALLOWED_COMMANDS}")


class LineReader:
    """Assembles the single line of a connection from chunks of any size. Data after the line is ignored."""

    def __init__(self) -> None:
        """Begin with no data."""
        self.rest = b""
        self.result: Command | CommandResponse | None = None

    def feed(self, data: bytes) -> Command | CommandResponse | None:
        """Add a chunk; return the command or the FAILURE to send, only once."""
        if self.result is not None:
            return None
        line, end, _ = (self.rest + data[: MAX_LINE_BYTES + 2]).partition(b"\n")
        content = line.removesuffix(b"\r") if end else line
        # Before the line ending has arrived, the last byte may be its carriage return.
        max_bytes = MAX_LINE_BYTES if end else MAX_LINE_BYTES + 1
        if len(content) > max_bytes:
            self.result = CommandResponse(False, f"the line is longer than {MAX_LINE_BYTES} bytes")
        elif end:
            self.result = parse(content)
        self.rest = b"" if self.result is not None else line
        return self.result

    def feed_eof(self) -> CommandResponse | None:
        """Handle the end of the data; return the FAILURE to send if the line is incomplete."""
        if self.result is not None:
            return None
        failure = CommandResponse(False, f"the line {excerpt(self.rest)} has no end")
        self.result = failure
        return failure
