"""The HTTP client of the operator's console, and the exit codes for failed requests."""

from __future__ import annotations

import http.client
import json
from enum import IntEnum
from typing import Any

from grebestack.protocol.worker_list import parse_address

_FIRST_ERROR_STATUS = 400


class ExitCode(IntEnum):
    """The exit codes of the console."""

    DONE = 0
    REFUSED = 1
    BAD_ARGUMENTS = 2
    NO_RESPONSE = 3
    TRY_LATER = 4
    JOB_FAILED = 5


class ConsoleError(Exception):
    """A command has failed; the message is one line for the operator."""

    def __init__(self, message: str, code: ExitCode) -> None:
        """Create the error; `code` becomes the exit code of the process."""
        super().__init__(message)
        self.code = code


class DispatcherClient:
    """Sends requests to the DRMAA API of one dispatcher."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Use the dispatcher at HOST:PORT. ConsoleError: the address is invalid."""
        try:
            self.address = parse_address(address)
        except ValueError as error:
            raise ConsoleError(str(error), ExitCode.BAD_ARGUMENTS) from error
        self.timeout_s = timeout_s

    def get(self, path: str) -> Any:
        """Send a GET request; see `request`."""
        return self.request("GET", path)

    def post(self, path: str, body: Any = None, idempotency_key: str = "", wait_s: float = 0.0) -> Any:
        """Send a POST request; see `request`."""
        return self.request("POST", path, body, idempotency_key, wait_s)

    def request(
        self, method: str, path: str, body: Any = None, idempotency_key: str = "", wait_s: float = 0.0
    ) -> Any:
        """Send one request and return the response's JSON.

        Parameters
        ----------
        body : sent as JSON; None sends no body.
        wait_s : added to the timeout, for requests that wait at the dispatcher.

        Raises
        ------
        ConsoleError : there is no response, or its status is an error.
        """
        response, text = self._exchange(method, path, body, idempotency_key, wait_s)
        try:
            content = json.loads(text) if text else None
        except ValueError as error:
            raise ConsoleError(
                f"the response to {path} is not JSON: not a dispatcher?", ExitCode.NO_RESPONSE
            ) from error
        if response.status >= _FIRST_ERROR_STATUS:
            raise _error_from(response, content)
        return content

    def _exchange(
        self, method: str, path: str, body: Any, idempotency_key: str, wait_s: float
    ) -> tuple[http.client.HTTPResponse, bytes]:
        connection = http.client.HTTPConnection(*self.address, timeout=self.timeout_s + wait_s)
        headers = {"Content-Type": "application/json"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        try:
            connection.request(method, path, None if body is None else json.dumps(body), headers)
            response = connection.getresponse()
            return response, response.read()
        except (OSError, http.client.HTTPException) as error:
            host, port = self.address
            message = f"no response from {host}:{port}: {error or type(error).__name__}"
            raise ConsoleError(message, ExitCode.NO_RESPONSE) from error
        finally:
            connection.close()


def _error_from(response: http.client.HTTPResponse, content: Any) -> ConsoleError:
    fields = content if isinstance(content, dict) else {}
    message = f"{fields.get('error', response.status)}: {fields.get('message', response.reason)}"
    if retry_after := response.getheader("Retry-After"):
        return ConsoleError(f"{message}; try again in {retry_after} s", ExitCode.TRY_LATER)
    return ConsoleError(message, ExitCode.REFUSED)
