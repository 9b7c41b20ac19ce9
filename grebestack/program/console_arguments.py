"""Command-line arguments of the operator's console."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from argparse import _SubParsersAction

_STATES = (
    "QUEUED",
    "QUEUED_HELD",
    "REQUEUED",
    "REQUEUED_HELD",
    "RUNNING",
    "UNDETERMINED",
    "DONE",
    "FAILED",
)
_WAIT_HELP = "wait at most this long, in seconds"


def console_parser() -> argparse.ArgumentParser:
    """Return the parser of `python -m grebestack console`."""
    parser = argparse.ArgumentParser(
        prog="grebestack console", description="Query and control a running dispatcher."
    )
    parser.add_argument(
        "--at", default="127.0.0.1:8080", metavar="HOST:PORT", help="address of its DRMAA API"
    )
    parser.add_argument("--json", action="store_true", help="print the response as JSON")
    parser.add_argument("--timeout", type=float, default=10.0, metavar="S", help="timeout of a request")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_views(commands)
    _add_submit(commands)
    _add_job_commands(commands)
    drain = commands.add_parser("drain", help="stop sending new work to a worker")
    drain.add_argument("server")
    drain.add_argument("--undo", action="store_true", help="send new work again")
    return parser


def _add_views(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
    commands.add_parser("status", help="show the status of the dispatcher")
    commands.add_parser("servers", help="list the workers")
    commands.add_parser(
        "membership", help="show the worker sources, and the status of each worker with its reason"
    )
    fleet = commands.add_parser("fleet", help="show the members of the cluster, or the leases of its tasks")
    fleet.add_argument("what", nargs="?", choices=("leases",), help="show which member holds which task")
    accept = commands.add_parser("accept", help="apply the removals of a worker source that are held back")
    accept.add_argument("source", help="name of the source, as `membership` shows it")
    jobs = commands.add_parser("jobs", help="list the newest jobs")
    jobs.add_argument("--state", choices=_STATES)
    commands.add_parser("job", help="show the details of a job").add_argument("job")


def _add_submit(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("category", help="the job class, as named in the settings")
    submit.add_argument("args", nargs="*", help="arguments of the job")
    submit.add_argument("--payload", help="request body for the worker, instead of arguments")
    submit.add_argument("--name", help="a display name")
    submit.add_argument("--start", metavar="TIME", help="earliest start (ISO 8601 with time zone)")
    submit.add_argument("--deadline", metavar="TIME", help="deadline (ISO 8601 with time zone)")
    submit.add_argument("--hold", action="store_true", help="hold the job until it is released")
    submit.add_argument(
        "--after", action="append", metavar="JOB[:done|failed|ended]", help="start only after another job"
    )
    submit.add_argument(
        "--any", action="store_true", help="start after any one of the --after jobs instead of all"
    )
    submit.add_argument("--priority", type=int, help="-100 to 100; adding 50 halves the latency objective")
    submit.add_argument(
        "--wanted", type=float, metavar="S", help="latency objective: how long the job may wait in the queue"
    )
    submit.add_argument("--key", help="idempotency key: repeating the command with it submits no second job")
    submit.add_argument("--wait", action="store_true", help="wait until the job has ended")
    submit.add_argument("--seconds", type=float, default=60.0, help=_WAIT_HELP)


def _add_job_commands(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
    wait = commands.add_parser("wait", help="wait until a job has ended")
    wait.add_argument("job")
    wait.add_argument("--seconds", type=float, default=60.0, help=_WAIT_HELP)
    commands.add_parser("cancel", help="terminate a job").add_argument("job")
    commands.add_parser("hold", help="hold a queued job").add_argument("job")
    commands.add_parser("release", help="release a held job").add_argument("job")
