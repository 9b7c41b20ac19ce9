"""`python -m grebestack console`: sends one command to the DRMAA API of a running dispatcher.

Exit codes: 0 done; 1 the dispatcher refused the command; 2 invalid arguments; 3 no dispatcher responded;
4 try again later; 5 (submit --wait, wait) the job ended as FAILED.
"""

from __future__ import annotations

import argparse
import json
import sys
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from grebestack.program.console_arguments import console_parser
from grebestack.program.console_client import ConsoleError, DispatcherClient, ExitCode
from grebestack.program.console_text import as_pairs, as_table


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The outcome of a command."""

    response: Any  # decoded JSON, for --json
    text: str  # the response as text for a terminal
    exit_code: ExitCode = ExitCode.DONE


def main(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    options = console_parser().parse_args(arguments)
    try:
        result = _COMMANDS[options.command](DispatcherClient(options.at, options.timeout), options)
    except ConsoleError as error:
        print(f"grebestack console: {error}", file=sys.stderr)
        return error.code
    print(json.dumps(result.response, indent=2) if options.json else result.text)
    return result.exit_code


def _job_path(options: argparse.Namespace) -> str:
    return f"/drmaa2/jobs/{quote(options.job, safe='')}"


def _status(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    status = client.get("/console/status")
    return CommandResult(status, as_pairs(status))


def _servers(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    rows = client.get("/console/servers")
    columns = ("server", "state", "address", "drained_here", "dispatches", "reason")
    return CommandResult(rows, as_table(rows, columns))


def _membership(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    membership = client.get("/console/membership")
    source_columns = ("source", "servers", "heard_s_ago", "stale", "held_back", "why")
    sources = as_table(membership["sources"], source_columns)
    worker_columns = ("server", "state", "for_s", "sources", "disagree", "reason")
    workers = as_table(membership["servers"], worker_columns)
    return CommandResult(membership, f"{sources}\n\n{workers}")


def _fleet(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    return _leases(client) if options.what else _cluster_members(client)


def _leases(client: DispatcherClient) -> CommandResult:
    leases = client.get("/console/leases")
    tasks = as_table(leases["tasks"], ("task", "holder", "token", "more_s", "seen_s_ago"))
    return CommandResult(leases, f"{tasks}\n\n{leases['restart']}")


def _cluster_members(client: DispatcherClient) -> CommandResult:
    cluster = client.get("/console/fleet")
    members = as_table(cluster["members"], ("member", "state", "in_set"))
    quorum = "heard" if cluster["majority_heard"] else "not heard"
    text = f"epoch {cluster['epoch']}, a majority is {quorum}\n\n{members}"
    if cluster["configuration"]:
        text = "\n".join([text, "", *cluster["configuration"]])
    return CommandResult(cluster, text)


def _accept(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    response = client.post("/console/accept", {"source": options.source})
    return CommandResult(response, f"{response['source']}  accepted")


def _jobs(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    query = f"?jobState={quote(options.state)}" if options.state else ""
    rows = client.get(f"/drmaa2/jobs{query}")
    return CommandResult(rows, as_table(rows, ("jobId", "jobCategory", "jobState", "jobSubState")))


def _job(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    info = client.get(_job_path(options))
    return CommandResult(info, as_pairs(info))


def _job_template(options: argparse.Namespace) -> dict[str, Any]:
    template: dict[str, Any] = {
        "jobCategory": options.category,
        "jobName": options.name,
        "startTime": options.start,
        "deadlineTime": options.deadline,
        "priority": options.priority,
    }
    extensions: dict[str, Any] = {}
    if options.payload is not None:
        extensions["payload"] = options.payload
    else:
        template["args"] = options.args
    if options.hold:
        template["submitAsHold"] = True
    if options.after:
        dependencies = [dependency.partition(":")[::2] for dependency in options.after]
        extensions["after"] = [{"job": job, "on": on or "done"} for job, on in dependencies]
    if options.any:
        extensions["afterMode"] = "any"
    if options.wanted is not None:
        extensions["wantedTime"] = options.wanted
    return template | {"implementationSpecific": extensions}


def _submit(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    template = _job_template(options)
    key = options.key or str(uuid.uuid4())
    response = client.post("/drmaa2/jobs", template, key)
    if not options.wait:
        return CommandResult(response, f"{response['jobId']}  {response['jobState']}  key={key}")
    options.job = response["jobId"]
    return _wait(client, options)


def _wait(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    path = f"{_job_path(options)}/waitTerminated"
    info = client.post(path, {"timeout": options.seconds}, wait_s=options.seconds)
    code = ExitCode.DONE if info["jobState"] == "DONE" else ExitCode.JOB_FAILED
    return CommandResult(info, as_pairs(info), code)


def _change_job(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    operation = "terminate" if options.command == "cancel" else options.command
    response = client.post(f"{_job_path(options)}/{operation}")
    return CommandResult(response, f"{response['jobId']}  {response['jobState']}")


def _drain(client: DispatcherClient, options: argparse.Namespace) -> CommandResult:
    response = client.post("/console/drain", {"server": options.server, "on": not options.undo})
    state = "drains" if response["drained_here"] else "no longer drains"
    return CommandResult(response, f"{response['server']}  {state}")


_COMMANDS: dict[str, Callable[[DispatcherClient, argparse.Namespace], CommandResult]] = {
    "status": _status,
    "servers": _servers,
    "membership": _membership,
    "fleet": _fleet,
    "accept": _accept,
    "jobs": _jobs,
    "job": _job,
    "submit": _submit,
    "wait": _wait,
    "cancel": _change_job,
    "hold": _change_job,
    "release": _change_job,
    "drain": _drain,
}
