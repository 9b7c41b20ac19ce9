"""A toy job runner: takes jobs with 202, works on each for half a second, then calls the dispatcher back.

python examples/toy_runner.py PORT [DISPATCHER_HOST:PORT]
"""

from __future__ import annotations

import http.client
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SECONDS = 0.5
DISPATCHER = sys.argv[2] if len(sys.argv) > 2 else "127.0.0.1:8000"
given_up: set[str] = set()


class Runner(BaseHTTPRequestHandler):
    """Answers the dispatcher."""

    protocol_version = "HTTP/1.1"

    def answer(self, status: int) -> None:
        """Answer without a body."""
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self) -> None:  # noqa: N802 (the library's name)
        """Take a job."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        threading.Thread(target=work, args=(self.headers["X-Call-Id"], body), daemon=True).start()
        self.answer(202)

    def do_DELETE(self) -> None:  # noqa: N802
        """Give a job up."""
        given_up.add(self.path.rpartition("/")[2])
        self.answer(204)


def work(call_id: str, body: bytes) -> None:
    """Do a job and call back until that is answered, ten times at most."""
    time.sleep(SECONDS)
    if call_id in given_up:
        return
    result = f"did {body.decode('utf-8', 'replace')}"
    message = json.dumps({"id": call_id, "from": "toy-1", "state": "done", "result": result})
    for _ in range(10):
        connection = http.client.HTTPConnection(DISPATCHER, timeout=5)
        try:
            connection.request("POST", "/callback", message)
            if connection.getresponse().status in (200, 204):
                return
        except OSError:
            time.sleep(0.5)
        finally:
            connection.close()


if __name__ == "__main__":
    ThreadingHTTPServer(("127.0.0.1", int(sys.argv[1])), Runner).serve_forever()
