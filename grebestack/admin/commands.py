"""Admin commands and responses, and their lines on the wire. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 256  # without the end of the line
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
        """Whether the command does more than to report."""
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
        """The line on the wire, its end included."""
        word = "SUCCESS" if self.succeeded else "FAILURE"
        return f"{word} {self.text}".rstrip().encode("utf-8", "replace") + b"\n"


def excerpt(line: bytes) -> str:
    """The begin of a line, quoted and printable."""
    text = line[:MAX_EXCERPT_BYTES].decode("utf-8", "replace")
    printable = "".join(character if character.isprintable() else "?" for character in text)
    return repr(printable) + ("..." if len(line) > MAX_EXCERPT_BYTES else "")


def parse(line: bytes) -> Command | CommandResponse:
    """Parse a line without its end; a `CommandResponse` is the FAILURE to send."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return _malformed(f"the call {excerpt(line)} is not ASCII")
    if not words:
        return _malformed("the call is empty")
    word, *targets = words
    try:
        verb = Verb(word)
    except ValueError:
        return _malformed(f"unknown call {excerpt(line)}")
    if len(targets) != int(verb.takes_target):
        takes = "takes one ID" if verb.takes_target else "takes no ID"
        return _malformed(f"{verb.value} {takes}, not {len(targets)}")
    if not all(word.isprintable() for word in words):
        return _malformed(f"the call {excerpt(line)} has control characters")
    return Command(verb, *targets)


def _malformed(fault: str) -> CommandResponse:
    return CommandResponse(False, f"{fault}; allowed: {ALLOWED_COMMANDS}")


class LineReader:
    """Assembles the one line of a connection from pieces of any size. What follows the line is ignored."""

    def __init__(self) -> None:
        """Expect the begin of the line."""
        self.rest = b""
        self.result: Command | CommandResponse | None = None

    def feed(self, data: bytes) -> Command | CommandResponse | None:
        """Take a piece; the command, or the FAILURE to send, once only."""
        if self.result is not None:
            return None
        line, end, _ = (self.rest + data[: MAX_LINE_BYTES + 2]).partition(b"\n")
        content = line.removesuffix(b"\r") if end else line
        # Without the end of the line the last byte may still turn out to be its carriage return.
        max_bytes = MAX_LINE_BYTES if end else MAX_LINE_BYTES + 1
        if len(content) > max_bytes:
            self.result = CommandResponse(False, f"the line is longer than {MAX_LINE_BYTES} bytes")
        elif end:
            self.result = parse(content)
        self.rest = b"" if self.result is not None else line
        return self.result

    def feed_eof(self) -> CommandResponse | None:
        """The client has stopped sending; the FAILURE to send if its line is incomplete."""
        if self.result is not None:
            return None
        failure = CommandResponse(False, f"the line {excerpt(self.rest)} has no end")
        self.result = failure
        return failure
