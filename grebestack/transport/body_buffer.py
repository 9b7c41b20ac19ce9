"""A body that arrives in pieces, in one block of memory."""

from __future__ import annotations


class BodyBuffer:
    """Collects the pieces of one body after the other.

    A list of the pieces would take memory for an object each, thirty times their bytes where they are small.

    Attributes
    ----------
    append
        Takes a piece. It is a builtin method, so that a parser runs no Python code for a small piece.
    """

    __slots__ = ("append", "buffer")

    def __init__(self) -> None:
        """Begin an empty body."""
        self.buffer = bytearray()
        self.append = self.buffer.extend

    def __len__(self) -> int:
        """The bytes of the body so far."""
        return len(self.buffer)

    @property
    def held_bytes(self) -> int:
        """The memory that the body takes."""
        return self.buffer.__alloc__()

    def take(self) -> bytes:
        """Return the body and begin the next one."""
        body = bytes(self.buffer)
        self.clear()
        return body

    def clear(self) -> None:
        """Give back the memory."""
        self.buffer.clear()
