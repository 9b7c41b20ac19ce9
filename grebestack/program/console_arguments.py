"""The command line of the operator's console."""

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
_WAIT_HELP = "wait so long at the most"


def console_parser() -> argparse.ArgumentParser:
    """Return the parser of `python -m grebestack console`."""
    parser = argparse.ArgumentParser(prog="grebestack console", description="Ask a running dispatcher.")
    parser.add_argument("--at", default="127.0.0.1:8080", metavar="HOST:PORT", help="its DRMAA front")
    parser.add_argument("--json", action="store_true", help="print what it answers as JSON")
    parser.add_argument("--timeout", type=float, default=10.0, metavar="S", help="wait so long for an answer")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_views(commands)
    _add_submit(commands)
    _add_job_commands(commands)
    drain = commands.add_parser("drain", help="send a server nothing new")
    drain.add_argument("server")
    drain.add_argument("--undo", action="store_true", help="let it have new work again")
    return parser


def _add_views(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
    commands.add_parser("status", help="how the dispatcher is")
    commands.add_parser("servers", help="the server table")
    commands.add_parser("membership", help="the sources of servers, and what is believed of each and why")
    fleet = commands.add_parser("fleet", help="the dispatchers that this one agrees with, or their tasks")
    fleet.add_argument("what", nargs="?", choices=("leases",), help="who holds which task")
    accept = commands.add_parser("accept", help="accept what a source takes away and what is held back")
    accept.add_argument("source", help="as membership names it")
    jobs = commands.add_parser("jobs", help="the newest jobs")
    jobs.add_argument("--state", choices=_STATES)
    commands.add_parser("job", help="all that is known of a job").add_argument("job")


def _add_submit(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
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
    submit.add_argument("--seconds", type=float, default=60.0, help=_WAIT_HELP)


def _add_job_commands(commands: _SubParsersAction[argparse.ArgumentParser]) -> None:
    wait = commands.add_parser("wait", help="wait until a job has ended")
    wait.add_argument("job")
    wait.add_argument("--seconds", type=float, default=60.0, help=_WAIT_HELP)
    commands.add_parser("cancel", help="terminate a job").add_argument("job")
    commands.add_parser("hold", help="keep a queued job from going on").add_argument("job")
    commands.add_parser("release", help="lift a hold").add_argument("job")
