"""The state that a successor inherits: cordoned workers, the worker list, and the policy's checkpoint."""

from __future__ import annotations

import logging
from typing import Any

from grebestack.core import checkpoint
from grebestack.core.api import ListKind, WorkerEntry, WorkerState
from grebestack.hot_restart.messages import TYPE_KEY, Message, MessageType
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable

log = logging.getLogger(__name__)
MAX_INHERITED_NAMES = 20_000


def inherited_state(dispatcher: RestartableDispatcher) -> Message:
    """The message with the state of the predecessor."""
    table = dispatcher.table
    return {
        TYPE_KEY: MessageType.INHERITED_STATE,
        "bans": sorted(table.cordoned),
        "quiesced": dispatcher.lifecycle.quiesced,
        "names": list(table.known_names)[-MAX_INHERITED_NAMES:],
        "servers": [worker_to_wire(worker) for worker in table.reported.values()],
        "clock": dispatcher.list_reader.unix_to_clock_ms,
        "learned": checkpoint.save_checkpoint(dispatcher.engine.policy),
    }


def inherit_state(dispatcher: RestartableDispatcher, state: Message) -> None:
    """Adopt the predecessor's state. Of a malformed message, the parts before the error are adopted."""
    cordoned = set[str]()
    try:
        dispatcher.list_reader.unix_to_clock_ms = float(state["clock"])
        dispatcher.table.remember_names({str(name) for name in state["names"]})
        cordoned = {str(name) for name in state["bans"]}
        _replace_cordoned(dispatcher.table, cordoned)
        if state["quiesced"]:
            dispatcher.lifecycle.quiesce(dispatcher.clock.now_ms())
        if not dispatcher.table.has_live_list:  # a list that this process received itself is newer
            _inherit_workers(dispatcher, state)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        log.warning("welcome_refused", extra={"kv": {"why": repr(error)}})
    # Also after welcome_refused: the counts then show how much was adopted.
    counts = {"servers": len(dispatcher.table.workers), "bans": len(cordoned)}
    log.info("upgrade_welcomed", extra={"kv": counts})


def cordon_all(table: WorkerTable, names: set[str]) -> None:
    """Cordon workers, including ones not listed yet."""
    table.remember_names(names)
    for name in names:
        table.set_cordoned(name, True)


def _replace_cordoned(table: WorkerTable, names: set[str]) -> None:
    for name in table.cordoned - names:
        table.set_cordoned(name, False)
    cordon_all(table, names)


def _inherit_workers(dispatcher: RestartableDispatcher, state: Message) -> None:
    policy, learned = dispatcher.engine.policy, state["learned"]
    # Restored before the list is updated, since the slow start of a listed worker depends on the slots of
    # its kind and on run times; and again after it, since per-worker values need the worker to be listed.
    checkpoint.restore_checkpoint(policy, learned)
    dispatcher.table.update(ListKind.CACHED, [worker_from_wire(raw) for raw in state["servers"]])
    checkpoint.restore_checkpoint(policy, learned)
    checkpoint.apply_own_slow_start(policy)


def worker_to_wire(worker: WorkerEndpoint) -> list[Any]:
    """The message's list of values for a worker."""
    entry = worker.entry
    return [
        entry.worker,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.state.value,
        entry.weight,
        entry.started_ms,
        *worker.address,
    ]


def worker_from_wire(raw: Any) -> WorkerEndpoint:
    """The inverse of `worker_to_wire`; ValueError or TypeError if the values are malformed."""
    name, zone, kind, cell, state, weight, started_ms, host, port = raw
    entry = WorkerEntry(
        str(name),
        int(zone),
        int(kind),
        int(cell),
        WorkerState(state),
        float(weight),
        None if started_ms is None else float(started_ms),
    )
    return WorkerEndpoint(entry, (str(host), int(port)))
