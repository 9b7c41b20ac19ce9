"""The simulator adapter: hosts policies and exchanges JSON lines with the simulator on stdin and stdout.

It only translates; all decisions are made by `grebestack.core.policy`. The policies share no state.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from grebestack.core import api
from grebestack.core.policy import Policy
from grebestack.protocol.settings import (
    FormatError,
    Raw,
    optional_number,
    parse_settings,
    report_names,
    required_choice,
    required_field,
    required_int,
    required_number,
    required_string,
)

OUTCOMES = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.REJECTED,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.CONNECT_FAILED,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.NOT_SENT,
}
LIST_KINDS = {
    "disk": api.ListKind.CACHED,
    "snapshot": api.ListKind.FULL,
    "diff": api.ListKind.CHANGES,
    "error": api.ListKind.FAILED,
}
STATES = {
    "active": api.WorkerState.READY,
    "leaving": api.WorkerState.DRAINING,
    "left": api.WorkerState.GONE,
}
STARTED, PROGRESS = 1, 2


class Instance:
    """One dispatcher: its policy and the names of its load report fields."""

    def __init__(self, raw: Raw) -> None:
        options: Raw = required_field(raw, "options", dict)
        self.report_names = report_names(options.get("extra") or {})
        self.policy = Policy(parse_settings(options), required_int(raw, "randomSeed"))

    def report(self, raw: Raw) -> dict[str, float]:
        """Return the load report in a message, by the decision module's names."""
        stats = raw.get("stats")
        if not stats:
            return {}
        if not isinstance(stats, dict):
            raise FormatError(f"message {raw.get('msg')!r} has a bad value {stats!r} in the field 'stats'")
        return {
            self.report_names.get(str(name), str(name)): float(value)
            for name, value in stats.items()
            if value is not None
        }


def _worker_entry(raw: Raw) -> api.WorkerEntry:
    started_ms = optional_number(raw, "onlineSinceMs")
    return api.WorkerEntry(
        worker=required_string(raw, "worker"),
        zone=int(optional_number(raw, "rackZone")),
        kind=int(optional_number(raw, "shape")),
        cell=int(optional_number(raw, "bay")),
        state=required_choice(raw, "stageState", STATES, str),
        weight=optional_number(raw, "weight", 1.0),
        started_ms=started_ms if started_ms > 0 else None,
    )


def _workers_listed(instance: Instance, raw: Raw) -> api.Event:
    return api.WorkersListed(
        kind=required_choice(raw, "how", LIST_KINDS, str),
        workers=tuple(_worker_entry(item) for item in raw.get("items") or ()),
    )


def _request_arrived(instance: Instance, raw: Raw) -> api.Event:
    return api.RequestArrived(
        request=required_int(raw, "tid"),
        job_class=required_int(raw, "type"),
        deadline_ms=required_number(raw, "notAfterMs"),
        slots=optional_number(raw, "slots", 1.0),
        memory=optional_number(raw, "mem"),
        tenant=int(optional_number(raw, "clientGroup")),
        cache_key=raw.get("entity"),
        cost_ms=raw.get("costMs"),
        retry=bool(raw.get("repeat")),
    )


def _attempt_ended(instance: Instance, raw: Raw) -> api.Event:
    return api.AttemptEnded(
        request=required_int(raw, "tid"),
        attempt=required_int(raw, "sendNo"),
        worker=required_string(raw, "worker"),
        outcome=required_choice(raw, "code", OUTCOMES, int),
        elapsed_ms=optional_number(raw, "elapsedMs"),
        closed=bool(raw.get("closed")),
        report=instance.report(raw),
    )


def _attempt_signal(instance: Instance, raw: Raw) -> api.Event | None:
    request, attempt, worker = (
        required_int(raw, "tid"),
        required_int(raw, "sendNo"),
        required_string(raw, "worker"),
    )
    if raw.get("kind") == STARTED:
        return api.AttemptStarted(request, attempt, worker)
    if raw.get("kind") == PROGRESS:
        return api.AttemptProgress(request, attempt, worker, optional_number(raw, "level"))
    return None


def _stream_started(instance: Instance, raw: Raw) -> api.Event:
    return api.StreamStarted(
        required_int(raw, "tid"), required_int(raw, "sendNo"), required_string(raw, "worker")
    )


def _request_dropped(instance: Instance, raw: Raw) -> api.Event:
    return api.RequestDropped(required_int(raw, "tid"))


def _timer_fired(instance: Instance, raw: Raw) -> api.Event:
    return api.TimerFired(required_int(raw, "name"))


def _probe_ended(instance: Instance, raw: Raw) -> api.Event:
    return api.ProbeEnded(
        worker=required_string(raw, "worker"),
        outcome=required_choice(raw, "code", OUTCOMES, int),
        elapsed_ms=optional_number(raw, "elapsedMs"),
        report=instance.report(raw),
    )


def _ignored_memo(instance: Instance, raw: Raw) -> None:
    return None  # policies exchange no messages


EVENT_READERS: dict[str, Callable[[Instance, Raw], api.Event | None]] = {
    "peersKnown": _workers_listed,
    "submit": _request_arrived,
    "ended": _attempt_ended,
    "signal": _attempt_signal,
    "first": _stream_started,
    "dropped": _request_dropped,
    "wakeup": _timer_fired,
    "echo": _probe_ended,
    "memo": _ignored_memo,
}


def action_message(dispatcher: int, action: api.Action) -> dict[str, Any]:
    """Encode an action as a message to the simulator."""
    if isinstance(action, api.Send):
        message = {"msg": "send", "dispatcher": dispatcher, "tid": action.request, "worker": action.worker}
        if action.timeout_ms is not None:
            message["timeoutMs"] = action.timeout_ms
        return message
    if isinstance(action, api.SetTimer):
        return {"msg": "schedule", "dispatcher": dispatcher, "fireAtMs": action.at_ms, "name": action.token}
    if isinstance(action, api.Cancel):
        return {"msg": "undoSend", "dispatcher": dispatcher, "tid": action.request, "sendNo": action.attempt}
    if isinstance(action, api.Reject):
        message = {"msg": "decline", "dispatcher": dispatcher, "tid": action.request}
        if action.retry_after_ms is not None:
            message["comeBackMs"] = action.retry_after_ms
        return message
    if isinstance(action, api.Fail):
        return {"msg": "error", "dispatcher": dispatcher, "tid": action.request}
    if isinstance(action, api.Probe):
        return {"msg": "soundOut", "dispatcher": dispatcher, "worker": action.worker}
    if isinstance(action, api.WatchList):
        return {"msg": "watch", "dispatcher": dispatcher, "want": action.on}
    return {"msg": "queryAll", "dispatcher": dispatcher}


class Host:
    """Hosts the dispatchers of one process and processes messages in batches."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.now_ms: float | None = None  # of the current batch; None outside of one

    def process_line(self, text: str) -> list[str]:
        """Process one line; return the lines to write, which end with `ready` once the batch is complete."""
        try:
            raw = json.loads(text)
        except ValueError as error:
            raise FormatError(f"not JSON: {error}") from error
        if not isinstance(raw, dict):
            raise FormatError("not an object")
        message = raw.get("msg")
        if not isinstance(message, str):
            raise FormatError("no message name in the field 'msg'")
        if message == "beginBatch":
            if self.now_ms is not None:
                raise FormatError("'beginBatch' inside a batch")
            self.now_ms = required_number(raw, "atTimeMs")
            return []
        if self.now_ms is None:
            raise FormatError(f"message {message!r} outside a batch")
        if message == "overToYou":
            self.now_ms = None
            return ['{"msg":"ready"}']
        return self._process_message(message, raw, self.now_ms)

    def _process_message(self, message: str, raw: Raw, now_ms: float) -> list[str]:
        reader = EVENT_READERS.get(message)
        if reader is None and message not in ("begin", "halt"):
            raise FormatError(f"unknown message {message!r}")
        dispatcher = required_int(raw, "dispatcher")
        if message == "halt":
            self.instances.pop(dispatcher, None)
            return []
        try:
            if reader is None:
                self.instances[dispatcher] = Instance(raw)
                return []
            if dispatcher not in self.instances:
                raise FormatError(f"message {message!r} for dispatcher {dispatcher}, which has not begun")
            instance = self.instances[dispatcher]
            event = reader(instance, raw)
            actions = () if event is None else instance.policy.handle(now_ms, event)
            return [json.dumps(action_message(dispatcher, action)) for action in actions]
        except FormatError:
            raise
        except Exception as error:  # any exception of the decision module ends the simulation, with its cause
            cause = f"{type(error).__name__}: {error}"
            return [json.dumps({"msg": "panic", "dispatcher": dispatcher, "what": cause})]


def serve(lines: TextIO, out: TextIO, err: TextIO) -> int:
    """Process all batches until the input ends; return the exit status."""
    host = Host()
    pending: list[str] = []
    for number, text in enumerate(lines, start=1):
        if not text.strip():
            continue
        try:
            replies = host.process_line(text)
        except FormatError as error:
            print(f"grebestack: input line {number}: {error}", file=err, flush=True)
            return 1
        pending += replies
        if host.now_ms is None:
            out.write("\n".join(pending) + "\n")
            out.flush()
            pending.clear()
    if host.now_ms is not None:
        print("grebestack: input ended inside a batch", file=err, flush=True)
        return 1
    return 0


def main() -> int:
    """Run the adapter on the standard streams of the process."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8", errors="strict")  # type: ignore[union-attr]
    try:
        return serve(sys.stdin, sys.stdout, sys.stderr)
    except UnicodeDecodeError as error:
        print(f"grebestack: input is not UTF-8: {error}", file=sys.stderr, flush=True)
        return 1


if __name__ == "__main__":
    sys.exit(main())
