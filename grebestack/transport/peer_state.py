"""What the kernel knows of the other side of a connection, before that is read."""

from __future__ import annotations

import asyncio
import select


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed its side, also if the end lies unread behind other data."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
