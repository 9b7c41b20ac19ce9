"""A chain with a time: read a tank, plan the round once that is booked, drive it not before an hour.

    python examples/chain.py [DRMAA_HOST:PORT]

Start the toy runner and a dispatcher first (see README.md beside this file). It prints each job's state, and
why it waits, until all have ended.
"""

from __future__ import annotations

import http.client
import json
import sys
import time
import uuid
from typing import Any

AT = sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:8080"
SECONDS = 3.0


def ask(method: str, path: str, body: Any = None, key: str = "") -> Any:
    """One call to the DRMAA front."""
    connection = http.client.HTTPConnection(AT, timeout=30)
    connection.request(method, path, None if body is None else json.dumps(body), {"Idempotency-Key": key})
    answer = json.loads(connection.getresponse().read())
    connection.close()
    if "error" in answer:
        raise SystemExit(f"{answer['error']}: {answer['message']}")
    return answer


def main() -> None:
    """Submit the chain and follow it."""
    hour = time.time() + SECONDS
    jobs = {
        "read": {"jobCategory": "order", "args": ["read tank 7"]},
        "plan": {
            "jobCategory": "order",
            "args": ["plan round 3"],
            "implementationSpecific": {"after": ["read"]},
        },
        "drive": {
            "jobCategory": "order",
            "args": ["drive round 3"],
            "startTime": hour,
            "implementationSpecific": {"after": ["plan"], "wantedTime": 10},
        },
        "call": {
            "jobCategory": "order",
            "args": ["call the member: no delivery"],
            "implementationSpecific": {"after": [{"job": "plan", "on": "failed"}]},
        },
    }
    ids = ask("POST", "/drmaa2/jobs/graph", {"jobs": jobs}, key=uuid.uuid4().hex)["jobs"]
    seen: dict[str, str] = {}
    while len([state for state in seen.values() if state.startswith(("DONE", "FAILED"))]) < len(ids):
        for name, job in ids.items():
            info = ask("GET", f"/drmaa2/jobs/{job}")
            text = f"{info['jobState']}  {info['jobSubState'] or info['annotation']}"
            if seen.get(name, "").split("(")[0] != text.split("(")[0]:
                print(f"{name:6} {text}", flush=True)
            seen[name] = text
        time.sleep(0.1)


if __name__ == "__main__":
    main()
