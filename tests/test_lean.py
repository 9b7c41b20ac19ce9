"""A dispatcher on the platform loads exactly these modules."""

from __future__ import annotations

import json
import subprocess
import sys

OWN_MODULES = {
    "core",
    "core.actions",
    "core.admission",
    "core.api",
    "core.context",
    "core.estimates",
    "core.events",
    "core.hashing",
    "core.learning",
    "core.outliers",
    "core.policy",
    "core.queueing",
    "core.settings",
    "core.requests",
    "core.retries",
    "core.script",
    "core.selection",
    "core.slow_start",
    "core.timers",
    "core.workers",
    "program",
    "program.config",
    "program.config.errors",
    "program.config.files",
    "program.config.model",
    "program.config.platform",
    "program.client_listener",
    "program.config_reload",
    "program.dispatcher",
    "program.reload_signal",
    "program.lifecycle",
    "program.lifecycle_control",
    "program.loop_clock",
    "program.loop_monitor",
    "program.heap",
    "program.memory_guard",
    "program.memory_log",
    "program.process_memory",
    "program.log",
    "program.traffic_log",
    "program.worker_sources",
    "protocol",
    "protocol.discovery",
    "protocol.worker_list",
    "protocol.platform",
    "protocol.http_workers",
    "protocol.job_request",
    "protocol.recent_call_ids",
    "protocol.settings",
    "routing",
    "routing.engine",
    "routing.interfaces",
    "routing.requests",
    "routing.worker_table",
    "transport",
    "transport.acceptor",
    "transport.body_buffer",
    "transport.client",
    "transport.connection_pool",
    "transport.end_reason",
    "transport.http_message",
    "transport.interfaces",
    "transport.line_stream",
    "transport.memory_step",
    "transport.peer_state",
    "transport.refusal_log",
    "transport.request_parser",
    "transport.server",
    "transport.turns",
    "endpoint_watch",
    "endpoint_watch.state_machine",
    "endpoint_watch.timing",
}
LIBRARIES = {"httptools", "uvloop"}
FORBIDDEN = {"sqlite3", "http.client", "tkinter", "multiprocessing", "unittest"}


def test_the_platform_loads_only_what_it_needs() -> None:
    code = (
        "import sys; before = set(sys.modules); import grebestack.__main__, json; "
        "print(json.dumps({n: getattr(sys.modules[n], '__file__', None) for n in set(sys.modules) - before}))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    loaded = json.loads(result.stdout)
    own_modules = {name.removeprefix("grebestack.") for name in loaded if name.startswith("grebestack.")}
    assert own_modules - {"__main__"} == OWN_MODULES
    installed = {name.partition(".")[0] for name, file in loaded.items() if file and "site-packages" in file}
    assert installed - {"grebestack"} == LIBRARIES
    assert not FORBIDDEN & set(loaded)
    # Only a dispatcher with an operator's file distributes configuration or is a member of a cluster.
    assert not {
        name
        for name in own_modules
        if name.split(".")[0] in ("consensus", "config_distribution", "cluster_tasks", "cluster_io")
    }
    assert not {"program.config_updates", "program.cluster_member"} & own_modules
