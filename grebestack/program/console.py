"""The operator's console: one command on a terminal that asks a running dispatcher over its DRMAA front.

Exit codes: 0 done; 1 the dispatcher turned it down; 2 the command's words are off; 3 no dispatcher answered;
4 it says to try later; 5 (submit --wait, wait) the job ended as FAILED.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import uuid
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from grebestack.protocol.lists import address_of

DONE, TURNED_DOWN, WORDS, NO_ANSWER, LATER, JOB_FAILED = range(6)
STATES = (
    "QUEUED",
    "QUEUED_HELD",
    "REQUEUED",
    "REQUEUED_HELD",
    "RUNNING",
    "UNDETERMINED",
    "DONE",
    "FAILED",
)


class ConsoleError(Exception):
    """What went wrong, in one line, and the exit code that it means."""

    def __init__(self, message: str, code: int) -> None:
        super().__init__(message)
        self.code = code


class Remote:
    """The dispatcher that is asked."""

    def __init__(self, at: str, timeout_s: float) -> None:
        try:
            self.address = address_of(at)
        except ValueError as error:
            raise ConsoleError(str(error), WORDS) from error
        self.timeout_s = timeout_s

    def ask(self, method: str, path: str, body: Any = None, key: str = "", wait_s: float = 0.0) -> Any:
        """One request; what it answers, or a ConsoleError."""
        connection = http.client.HTTPConnection(*self.address, timeout=self.timeout_s + wait_s)
        headers = {"Content-Type": "application/json"} | ({"Idempotency-Key": key} if key else {})
        try:
            connection.request(method, path, None if body is None else json.dumps(body), headers)
            response = connection.getresponse()
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            what = f"no answer from {self.address[0]}:{self.address[1]}: {error or type(error).__name__}"
            raise ConsoleError(what, NO_ANSWER) from error
        finally:
            connection.close()
        try:
            answer = json.loads(text) if text else None
        except ValueError as error:
            raise ConsoleError(f"{path} is not answered as a dispatcher would", NO_ANSWER) from error
        if response.status < 400:
            return answer
        named = answer if isinstance(answer, dict) else {}
        message = f"{named.get('error', response.status)}: {named.get('message', response.reason)}"
        if after := response.getheader("Retry-After"):
            raise ConsoleError(f"{message}; come back in {after} s", LATER)
        raise ConsoleError(message, TURNED_DOWN)


def table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Rows under their columns' names."""
    lines = [list(columns)] + [["" if r.get(c) is None else str(r[c]) for c in columns] for r in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def pairs(value: dict[str, Any], indent: str = "") -> str:
    """An object, a line a pair."""
    lines = []
    for name, item in value.items():
        if isinstance(item, dict):
            lines += [f"{indent}{name}:"] + ([pairs(item, indent + "  ")] if item else [])
        elif item is not None:
            text = ", ".join(map(str, item)) if isinstance(item, list) else item
            lines.append(f"{indent}{name}: {text}")
    return "\n".join(lines)


def _template(options: argparse.Namespace) -> dict[str, Any]:
    template: dict[str, Any] = {
        "jobCategory": options.category,
        "jobName": options.name,
        "startTime": options.start,
        "deadlineTime": options.deadline,
        "priority": options.priority,
    }
    special: dict[str, Any] = {}
    if options.payload is not None:
        special["payload"] = options.payload
    else:
        template["args"] = options.args
    if options.hold:
        template["submitAsHold"] = True
    if options.after:
        conditions = [word.partition(":")[::2] for word in options.after]
        special["after"] = [{"job": job, "on": on or "done"} for job, on in conditions]
    if options.any:
        special["afterMode"] = "any"
    if options.wanted is not None:
        special["wantedTime"] = options.wanted
    return template | {"implementationSpecific": special}


def _submit(remote: Remote, options: argparse.Namespace) -> tuple[Any, str, int]:
    template = _template(options)
    key = options.key or str(uuid.uuid4())
    answer = remote.ask("POST", "/drmaa2/jobs", template, key)
    if not options.wait:
        return answer, f"{answer['jobId']}  {answer['jobState']}  key={key}", DONE
    options.job = answer["jobId"]
    return _wait(remote, options)


def _wait(remote: Remote, options: argparse.Namespace) -> tuple[Any, str, int]:
    path = f"/drmaa2/jobs/{quote(options.job, safe='')}/waitTerminated"
    info = remote.ask("POST", path, {"timeout": options.seconds}, wait_s=options.seconds)
    return info, pairs(info), DONE if info["jobState"] == "DONE" else JOB_FAILED


def _run(remote: Remote, options: argparse.Namespace) -> tuple[Any, str, int]:
    """Carry out a command: its answer, that as a person reads it, and the exit code."""
    if options.command == "submit":
        return _submit(remote, options)
    if options.command == "wait":
        return _wait(remote, options)
    if options.command == "status":
        status = remote.ask("GET", "/console/status")
        return status, pairs(status), DONE
    if options.command == "servers":
        rows = remote.ask("GET", "/console/servers")
        columns = ("server", "state", "address", "drained_here", "dispatches", "reason")
        return rows, table(rows, columns), DONE
    if options.command == "membership":
        shown = remote.ask("GET", "/console/membership")
        sources = table(shown["sources"], ("source", "servers", "heard_s_ago", "stale", "held_back", "why"))
        believed = table(shown["servers"], ("server", "state", "for_s", "sources", "disagree", "reason"))
        return shown, f"{sources}\n\n{believed}", DONE
    if options.command == "fleet":
        known = remote.ask("GET", f"/console/{'leases' if options.what else 'fleet'}")
        if options.what:
            tasks = table(known["tasks"], ("task", "holder", "token", "more_s", "seen_s_ago"))
            return known, f"{tasks}\n\n{known['restart']}", DONE
        rows = table(known["members"], ("member", "state", "in_set"))
        heard = "heard" if known["majority_heard"] else "not heard"
        lines = "".join(f"\n{line}" for line in ["", *known["configuration"]] if known["configuration"])
        return known, f"epoch {known['epoch']}, a majority is {heard}\n\n{rows}{lines}", DONE
    if options.command == "accept":
        answer = remote.ask("POST", "/console/accept", {"source": options.source})
        return answer, f"{answer['source']}  accepted", DONE
    if options.command == "jobs":
        state = f"?jobState={quote(options.state)}" if options.state else ""
        rows = remote.ask("GET", f"/drmaa2/jobs{state}")
        return rows, table(rows, ("jobId", "jobCategory", "jobState", "jobSubState")), DONE
    if options.command == "job":
        info = remote.ask("GET", f"/drmaa2/jobs/{quote(options.job, safe='')}")
        return info, pairs(info), DONE
    if options.command in ("cancel", "hold", "release"):
        what = "terminate" if options.command == "cancel" else options.command
        answer = remote.ask("POST", f"/drmaa2/jobs/{quote(options.job, safe='')}/{what}")
        return answer, f"{answer['jobId']}  {answer['jobState']}", DONE
    answer = remote.ask("POST", "/console/drain", {"server": options.server, "on": not options.undo})
    return answer, f"{answer['server']}  {'drains' if answer['drained_here'] else 'drains no more'}", DONE


def parser() -> argparse.ArgumentParser:
    """The command's words."""
    top = argparse.ArgumentParser(prog="grebestack console", description="Ask a running dispatcher.")
    top.add_argument("--at", default="127.0.0.1:8080", metavar="HOST:PORT", help="its DRMAA front")
    top.add_argument("--json", action="store_true", help="print what it answers as JSON")
    top.add_argument("--timeout", type=float, default=10.0, metavar="S", help="wait so long for an answer")
    commands = top.add_subparsers(dest="command", required=True)
    commands.add_parser("status", help="how the dispatcher is")
    commands.add_parser("servers", help="the server table")
    commands.add_parser("membership", help="the sources of servers, and what is believed of each and why")
    fleet = commands.add_parser("fleet", help="the dispatchers that this one agrees with, or their tasks")
    fleet.add_argument("what", nargs="?", choices=("leases",), help="who holds which task")
    accept = commands.add_parser("accept", help="accept what a source takes away and what is held back")
    accept.add_argument("source", help="as membership names it")
    jobs = commands.add_parser("jobs", help="the newest jobs")
    jobs.add_argument("--state", choices=STATES)
    commands.add_parser("job", help="all that is known of a job").add_argument("job")
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("category", help="its class, as the settings name it")
    submit.add_argument("args", nargs="*", help="its arguments")
    submit.add_argument("--payload", help="the body for the runner, in place of arguments")
    submit.add_argument("--name", help="a name for people")
    submit.add_argument("--start", metavar="TIME", help="not before then (ISO 8601 with its zone)")
    submit.add_argument("--deadline", metavar="TIME", help="not after then")
    submit.add_argument("--hold", action="store_true", help="it waits until it is released")
    submit.add_argument("--after", action="append", metavar="JOB[:done|failed|ended]", help="wait for a job")
    submit.add_argument("--any", action="store_true", help="one of those that --after names is enough")
    submit.add_argument("--priority", type=int, help="-100 to 100; 50 more halves the wanted time")
    submit.add_argument("--wanted", type=float, metavar="S", help="how long it may wait for its turn")
    submit.add_argument("--key", help="makes a repeat of this command the same job")
    submit.add_argument("--wait", action="store_true", help="wait until it has ended")
    submit.add_argument("--seconds", type=float, default=60.0, help="wait so long at the most")
    wait = commands.add_parser("wait", help="wait until a job has ended")
    wait.add_argument("job")
    wait.add_argument("--seconds", type=float, default=60.0, help="wait so long at the most")
    commands.add_parser("cancel", help="terminate a job").add_argument("job")
    commands.add_parser("hold", help="keep a queued job from going on").add_argument("job")
    commands.add_parser("release", help="lift a hold").add_argument("job")
    drain = commands.add_parser("drain", help="send a server nothing new")
    drain.add_argument("server")
    drain.add_argument("--undo", action="store_true", help="let it have new work again")
    return top


def main(arguments: Sequence[str]) -> int:
    """Run one command; returns the exit code."""
    options = parser().parse_args(arguments)
    try:
        answer, text, code = _run(Remote(options.at, options.timeout), options)
    except ConsoleError as error:
        print(f"grebestack console: {error}", file=sys.stderr)
        return error.code
    print(json.dumps(answer, indent=2) if options.json else text)
    return code
