"""The messages that two processes of a hot restart exchange, as they are on the wire. Pure.

A message is a JSON object whose key `is` holds its type. This module alone knows the types and, for the
messages that it builds, their keys.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

PROTOCOL_VERSION = 1
TYPE_KEY = "is"

Message = dict[str, Any]


class MessageType(StrEnum):
    """The type of a message; the values are the words on the wire."""

    HELLO = "hello"  # successor: it asks to take over
    BUSY = "busy"  # predecessor: it can't be taken over now
    INHERITED_STATE = "welcome"  # predecessor: what the successor starts from
    READY = "ready"  # successor: it can accept clients
    HANDED_OVER = "retired"  # predecessor: it accepts no more clients
    ATTEMPT_SENT = "sent"  # predecessor: a worker has been sent an attempt
    ATTEMPT_ENDED = "ended"  # predecessor: an attempt has ended
    REQUEST_CLOSED = "closed"  # predecessor: a request has been answered
    RUN_COMMAND = "call"  # either: run an admin command here as well
    COMMAND_RESULT = "did"  # the response to RUN_COMMAND
    DELIVER_CALLBACK = "back"  # either: a worker's call-back for an unknown request
    CALLBACK_RESULT = "known"  # the response to DELIVER_CALLBACK
    CONNECTION = "conn"  # predecessor, with a descriptor: a client's connection
    QUEUED_REQUEST = "job"  # predecessor, with a descriptor: a request that no worker has been sent
    IN_FLIGHT_REQUEST = "orphan"  # predecessor, with a descriptor: a request that a worker runs


def hello() -> Message:
    """Ask the process that serves to be taken over."""
    return {TYPE_KEY: MessageType.HELLO, "version": PROTOCOL_VERSION}


def busy() -> Message:
    """Refuse a successor."""
    return {TYPE_KEY: MessageType.BUSY}


def ready() -> Message:
    """Announce that the start is over."""
    return {TYPE_KEY: MessageType.READY}


def handed_over(open_call_ids: list[str], attempts: list[Message]) -> Message:
    """Announce that clients are accepted no longer, with what is still open here."""
    return {TYPE_KEY: MessageType.HANDED_OVER, "open": open_call_ids, "out": attempts}


def attempt_sent(attempt: Message) -> Message:
    """Announce an attempt that occupies a worker."""
    return {TYPE_KEY: MessageType.ATTEMPT_SENT, **attempt}


def attempt_ended(key: str) -> Message:
    """Announce the end of an attempt."""
    return {TYPE_KEY: MessageType.ATTEMPT_ENDED, "key": key}


def request_closed(call_id: str) -> Message:
    """Announce that a request has been answered."""
    return {TYPE_KEY: MessageType.REQUEST_CLOSED, "id": call_id}


def run_command(number: int, verb: str, worker: str) -> Message:
    """Have an admin command run by a peer; the number comes back in its result."""
    return {TYPE_KEY: MessageType.RUN_COMMAND, "n": number, "verb": verb, "server": worker}


def command_result(number: int, succeeded: bool) -> Message:
    """Answer `run_command`."""
    return {TYPE_KEY: MessageType.COMMAND_RESULT, "n": number, "yes": succeeded}


def deliver_callback(number: int, body: str) -> Message:
    """Have a call-back delivered by a peer; the number comes back in its result."""
    return {TYPE_KEY: MessageType.DELIVER_CALLBACK, "n": number, "body": body}


def callback_result(number: int, accepted: bool) -> Message:
    """Answer `deliver_callback`."""
    return {TYPE_KEY: MessageType.CALLBACK_RESULT, "n": number, "yes": accepted}


def message_type(message: Message) -> str:
    """The word of a message that has come; it need not be a known one."""
    return str(message[TYPE_KEY])


def attempts_sent(message: Message) -> Iterable[Message]:
    """An `attempt_sent` for each attempt that a `handed_over` lists."""
    return (attempt_sent(attempt) for attempt in message["out"])


def connection(request_sent: bool, idle: bool) -> Message:
    """Announce the client's connection whose descriptor goes along."""
    return {TYPE_KEY: MessageType.CONNECTION, "asked": request_sent, "idle": idle}


def queued_request(deadline_ms: float, request: Message) -> Message:
    """Hand over a request that no worker has been sent, with its client's connection."""
    return {"deadline_ms": deadline_ms, TYPE_KEY: MessageType.QUEUED_REQUEST, **request}


def in_flight_request(deadline_ms: float, worker: str, call_id: str) -> Message:
    """Hand over the end of a request that a worker runs, with its client's connection."""
    return {
        "deadline_ms": deadline_ms,
        TYPE_KEY: MessageType.IN_FLIGHT_REQUEST,
        "server": worker,
        "id": call_id,
    }
