"""The wire format of the messages between two processes of a hot restart. Pure.

A message is a JSON object whose key `is` holds its type. All types are defined here, and so are the keys of
the messages that this module builds.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

PROTOCOL_VERSION = 1
TYPE_KEY = "is"

Message = dict[str, Any]


class MessageType(StrEnum):
    """The type of a message; the values are sent as they are."""

    HELLO = "hello"  # successor: asks to take over
    BUSY = "busy"  # predecessor: can't be taken over now
    INHERITED_STATE = "welcome"  # predecessor: the state that the successor starts from
    READY = "ready"  # successor: ready to accept clients
    HANDED_OVER = "retired"  # predecessor: accepts no more clients
    ATTEMPT_SENT = "sent"  # predecessor: an attempt was sent to a worker
    ATTEMPT_ENDED = "ended"  # predecessor: an attempt has ended
    REQUEST_CLOSED = "closed"  # predecessor: a request was answered or is handed over
    RUN_COMMAND = "call"  # either: run this admin command as well
    COMMAND_RESULT = "did"  # the response to RUN_COMMAND
    DELIVER_CALLBACK = "back"  # either: a worker's call-back for an unknown request
    CALLBACK_RESULT = "known"  # the response to DELIVER_CALLBACK
    CONNECTION = "conn"  # predecessor, with a descriptor: a client's connection
    QUEUED_REQUEST = "job"  # predecessor, with a descriptor: a request not yet sent to a worker
    IN_FLIGHT_REQUEST = "orphan"  # predecessor, with a descriptor: a request that a worker runs


def hello() -> Message:
    """Ask the serving process to hand over; this version reads which attempts of a request may have run."""
    return {TYPE_KEY: MessageType.HELLO, "version": PROTOCOL_VERSION, "attempt_history": True}


def busy() -> Message:
    """Refuse a successor."""
    return {TYPE_KEY: MessageType.BUSY}


def ready() -> Message:
    """Announce that the successor has started."""
    return {TYPE_KEY: MessageType.READY}


def handed_over(open_call_ids: list[str], attempts: list[Message], ended_call_ids: list[str]) -> Message:
    """Announce that no more clients are accepted, with the requests and attempts still open here.

    `ended_call_ids` are those of requests that have ended and must not run again.
    """
    message = {TYPE_KEY: MessageType.HANDED_OVER, "open": open_call_ids, "out": attempts}
    return message | {"ended": ended_call_ids} if ended_call_ids else message


def attempt_sent(attempt: Message) -> Message:
    """Announce an attempt that occupies a worker."""
    return {TYPE_KEY: MessageType.ATTEMPT_SENT, **attempt}


def attempt_ended(key: str) -> Message:
    """Announce the end of an attempt."""
    return {TYPE_KEY: MessageType.ATTEMPT_ENDED, "key": key}


def request_closed(call_id: str, moved: bool = False) -> Message:
    """Announce that a request has been answered, or that it is about to be handed over (`moved`)."""
    message: Message = {TYPE_KEY: MessageType.REQUEST_CLOSED, "id": call_id}
    return message | {"moved": True} if moved else message


def run_command(number: int, verb: str, worker: str) -> Message:
    """Ask a peer to run an admin command; its result carries the same number."""
    return {TYPE_KEY: MessageType.RUN_COMMAND, "n": number, "verb": verb, "server": worker}


def command_result(number: int, succeeded: bool) -> Message:
    """Answer `run_command`."""
    return {TYPE_KEY: MessageType.COMMAND_RESULT, "n": number, "yes": succeeded}


def deliver_callback(number: int, body: str) -> Message:
    """Ask a peer to deliver a call-back; its result carries the same number."""
    return {TYPE_KEY: MessageType.DELIVER_CALLBACK, "n": number, "body": body}


def callback_result(number: int, accepted: bool) -> Message:
    """Answer `deliver_callback`."""
    return {TYPE_KEY: MessageType.CALLBACK_RESULT, "n": number, "yes": accepted}


def message_type(message: Message) -> str:
    """The type of a received message; it may be unknown."""
    return str(message[TYPE_KEY])


def attempts_sent(message: Message) -> Iterable[Message]:
    """An `attempt_sent` for each attempt that a `handed_over` lists."""
    return (attempt_sent(attempt) for attempt in message["out"])


def connection(request_sent: bool, idle: bool) -> Message:
    """Hand over a client's connection, whose descriptor is attached."""
    return {TYPE_KEY: MessageType.CONNECTION, "asked": request_sent, "idle": idle}


def queued_request(deadline_ms: float, request: Message) -> Message:
    """Hand over a request that no worker runs, with its client's connection.

    `request` has the fields of the request and of its ended attempts.
    """
    return {"deadline_ms": deadline_ms, TYPE_KEY: MessageType.QUEUED_REQUEST, **request}


def in_flight_request(
    deadline_ms: float, worker: str, call_id: str, ambiguous_outcomes: list[str], request: Message
) -> Message:
    """Hand over a request that a worker runs, with its client's connection.

    Call-backs with one of the ambiguous outcomes may be repeats of an earlier one; the key is left out if
    there are none. `request` has the fields of the request, of its ended attempts and of the open one.
    """
    message: Message = {
        "deadline_ms": deadline_ms,
        TYPE_KEY: MessageType.IN_FLIGHT_REQUEST,
        "server": worker,
        "id": call_id,
        **request,
    }
    return message | {"ambiguous": ambiguous_outcomes} if ambiguous_outcomes else message
