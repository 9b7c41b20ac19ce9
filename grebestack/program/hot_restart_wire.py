"""The fields of the messages that hand a client's request over to another process.

Fields that former versions don't know are optional: they neither send nor read them.
"""

from __future__ import annotations

from typing import Any

from grebestack.core.api import LaterReport, Outcome, PossibleRun
from grebestack.hot_restart import messages
from grebestack.hot_restart.messages import Message
from grebestack.protocol.platform import HandedOverJob
from grebestack.routing.requests import EndedAttempt, InFlightAttempt, Request, RequestHistory
from grebestack.routing.worker_table import WorkerTable
from grebestack.transport.http_message import HttpRequest

UNKNOWN_ADDRESS = ("", 0)  # of a worker that no list names any more: it can't be told to give up a job


def request_to_wire(request: HttpRequest) -> Message:
    """The message fields of an HTTP request."""
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in request.headers.items()]
    return {
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": headers,
        "body": request.body.decode("latin-1"),
    }


def request_from_wire(message: Message) -> HttpRequest:
    """The HTTP request that a message holds."""
    headers = {name.encode("latin-1"): value.encode("latin-1") for name, value in message["headers"]}
    method, target = message["method"].encode("latin-1"), message["target"].encode("latin-1")
    return HttpRequest(method, target, headers, message["body"].encode("latin-1"))


def history_to_wire(history: RequestHistory) -> Message:
    """The message fields of what is known of a request's attempts; none if there were none."""
    if not history.attempt_count:
        return {}
    reported_again = [
        [ended.callback_id, ended.outcome.value, ended.later_report.value] for ended in history.reported_again
    ]
    fields: Message = {"attempts": history.attempt_count, "reported_again": reported_again}
    if (possible_run := history.first_possible_run) is not None:
        fields["may_have_run"] = [possible_run.sent_ms, possible_run.zone, possible_run.cell]
    return fields


def request_history(message: Message) -> RequestHistory:
    """What the other process knew of the ended attempts of a request."""
    reported_again = (
        EndedAttempt(str(callback_id), Outcome(outcome), LaterReport(later_report))
        for callback_id, outcome, later_report in message.get("reported_again", ())
    )
    raw = message.get("may_have_run")
    first_possible_run = None if raw is None else _possible_run(*raw)
    return RequestHistory(int(message.get("attempts", 0)), tuple(reported_again), first_possible_run)


def _possible_run(sent_ms: Any, zone: Any, cell: Any) -> PossibleRun:
    return PossibleRun(
        float(sent_ms), None if zone is None else int(zone), None if cell is None else int(cell)
    )


def queued_request_to_wire(request: Request, http_request: HttpRequest) -> Message:
    """The message that hands over a request that no worker runs."""
    fields = request_to_wire(http_request) | history_to_wire(request.ended_history())
    return messages.queued_request(request.arrival.deadline_ms, fields)


def in_flight_request_to_wire(
    request: Request, http_request: HttpRequest, attempt: InFlightAttempt, attempt_key: str
) -> Message:
    """The message that hands over a request that a worker runs."""
    fields = request_to_wire(http_request) | history_to_wire(request.ended_history())
    fields["attempt"] = {
        "key": attempt_key,
        "worker": attempt.worker,
        "address": list(attempt.address),
        "sent_ms": attempt.sent_ms,
        "zone": attempt.zone,
        "cell": attempt.cell,
    }
    ambiguous = sorted(outcome.value for outcome in request.ambiguous_outcomes(attempt.callback_id))
    return messages.in_flight_request(
        request.arrival.deadline_ms, attempt.callback_id, request.call_id, ambiguous, fields
    )


def queued_job(message: Message) -> HandedOverJob:
    """What the other process knew of a request that no worker runs."""
    return HandedOverJob(float(message["deadline_ms"]), request_history(message))


def in_flight_job(message: Message, table: WorkerTable, now_ms: float) -> HandedOverJob:
    """What the other process knew of a request that a worker runs."""
    callback_id, deadline_ms = str(message["server"]), float(message["deadline_ms"])
    if "attempt" in message:
        raw = message["attempt"]
        host, port = raw["address"]
        attempt = InFlightAttempt(
            str(raw["worker"]),
            callback_id,
            (str(host), int(port)),
            float(raw["sent_ms"]),
            int(raw["zone"]),
            int(raw["cell"]),
        )
        return HandedOverJob(deadline_ms, request_history(message), attempt)
    name = next(iter(table.names_of({callback_id})), callback_id)
    known = table.workers.get(name)
    address = UNKNOWN_ADDRESS if known is None else known.address
    attempt = InFlightAttempt(name, callback_id, address, now_ms)
    return HandedOverJob(deadline_ms, _history_of_former_version(message, callback_id, now_ms), attempt)


def in_flight_http_request(message: Message) -> HttpRequest:
    """The HTTP request of a request that a worker runs; former versions tell only its call id."""
    if "headers" in message:
        return request_from_wire(message)
    return HttpRequest(b"POST", b"/api", {b"x-call-id": str(message["id"]).encode("latin-1")})


def _history_of_former_version(message: Message, callback_id: str, now_ms: float) -> RequestHistory:
    """Former versions tell only which outcomes prove nothing: an earlier attempt may have run."""
    repeated = (
        EndedAttempt(callback_id, Outcome(outcome), LaterReport.SAME)
        for outcome in message.get("ambiguous", ())
    )
    return RequestHistory(0, tuple(repeated), PossibleRun(now_ms, None, None))
