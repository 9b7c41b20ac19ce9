"""What a caller at the door says: bytes into one call. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MOST_LINE = 256  # bytes of a line, its end not counted
ALLOWED = (
    "health, cordon ID, uncordon ID, quiesce, resume, fleet, leases, restart, halt, drop ID, configure PATH"
)


class Verb(Enum):
    """What can be asked for."""

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
    def named(self) -> bool:
        """Whether it is said of one server, of one member of the fleet, or of one file."""
        return self in (Verb.CORDON, Verb.UNCORDON, Verb.DROP, Verb.CONFIGURE)

    @property
    def acts(self) -> bool:
        """Whether it changes anything."""
        return self not in (Verb.HEALTH, Verb.FLEET, Verb.LEASES)

    @property
    def of_fleet(self) -> bool:
        """Whether it is asked of the fleet that the dispatcher belongs to."""
        return self in (
            Verb.FLEET,
            Verb.LEASES,
            Verb.RESTART,
            Verb.HALT,
            Verb.DROP,
            Verb.CONFIGURE,
        )


@dataclass(frozen=True, slots=True)
class Call:
    """One call; `server` is empty where none is named."""

    verb: Verb
    server: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call came to: its line is SUCCESS or FAILURE and a few words."""

    done: bool
    text: str

    @property
    def line(self) -> bytes:
        """The line as it goes out, its end included."""
        word = "SUCCESS" if self.done else "FAILURE"
        return f"{word} {self.text}".rstrip().encode("utf-8", "replace") + b"\n"


def shown(line: bytes) -> str:
    """Some of what a caller said, fit for a line."""
    text = line[:40].decode("utf-8", "replace")
    return repr("".join(c if c.isprintable() else "?" for c in text)) + ("..." if len(line) > 40 else "")


def parse(line: bytes) -> Call | Answer:
    """Read a line without its end; an `Answer` is the FAILURE that it is owed."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return Answer(False, f"the call {shown(line)} is not ASCII; allowed: {ALLOWED}")
    if not words:
        return Answer(False, f"the call is empty; allowed: {ALLOWED}")
    try:
        verb = Verb(words[0])
    except ValueError:
        return Answer(False, f"unknown call {shown(line)}; allowed: {ALLOWED}")
    if len(words) != 1 + verb.named:
        takes = "takes one ID" if verb.named else "takes no ID"
        return Answer(False, f"{verb.value} {takes}, not {len(words) - 1}; allowed: {ALLOWED}")
    if not all(word.isprintable() for word in words):
        return Answer(False, f"the call {shown(line)} has control characters; allowed: {ALLOWED}")
    return Call(verb, words[1] if verb.named else "")


class LineReader:
    """Gathers the one line of a connection, in pieces of any size. What follows it is not read."""

    def __init__(self) -> None:
        self.rest = b""
        self.result: Call | Answer | None = None

    def feed(self, data: bytes) -> Call | Answer | None:
        """Take a piece; the call, or the FAILURE owed, once the line is there and never twice."""
        if self.result is not None:
            return None
        line, end, _ = (self.rest + data[: MOST_LINE + 2]).partition(b"\n")
        if len(line.removesuffix(b"\r") if end else line) > MOST_LINE + (not end):
            self.rest, self.result = b"", Answer(False, f"the line is longer than {MOST_LINE} bytes")
        elif end:
            self.rest, self.result = b"", parse(line.removesuffix(b"\r"))
        else:
            self.rest = line
        return self.result

    def ended(self) -> Answer | None:
        """The caller has stopped sending; half a line is carried out by nobody."""
        if self.result is not None:
            return None
        self.result = Answer(False, f"the line {shown(self.rest)} has no end")
        return self.result
