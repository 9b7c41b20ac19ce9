"""Why a connection of a client ends, as it is counted and logged."""

from __future__ import annotations

from enum import Enum


class EndReason(Enum):
    """Why a connection ends."""

    PEER_CLOSED = "peer_closed"
    PEER_RESET = "peer_reset"
    LAST_RESPONSE = "last_response"  # the client asked for it, or the dispatcher drains
    IDLE_CLOSED = "idle_closed"  # closed between two requests
    HANDED_OVER = "handed_over"  # to the other process of a hot restart
    DISCONNECTED = "disconnected"  # by the handler: the client has left
    MALFORMED = "malformed"
    MALFORMED_JOBS = "malformed_jobs"  # well-formed requests that the handler can't use
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_PIPELINED = "too_many_pipelined"
    REQUEST_TIMEOUT = "request_timeout"
    NO_REQUEST = "no_request"  # nothing of a request arrived in time
    CONNECTION_LIMIT = "connection_limit"
    MEMORY_LIMIT = "memory_limit"
    UNREAD_RESPONSE = "unread_response"  # while memory was full
    LINGER_TIMEOUT = "linger_timeout"
    EXCESS_DATA = "excess_data"  # after the last response


REFUSAL_STATUS = {
    EndReason.MALFORMED: 400,
    EndReason.TOO_MANY_PIPELINED: 400,
    EndReason.REQUEST_TIMEOUT: 408,
    EndReason.BODY_TOO_LARGE: 413,
    EndReason.HEAD_TOO_LARGE: 431,
    EndReason.CONNECTION_LIMIT: 503,
    EndReason.MEMORY_LIMIT: 503,
}
