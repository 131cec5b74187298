"""One request to a dispatcher's admin listener, for commands on a running program."""

import http.client
from http import HTTPStatus
from typing import Any

import ujson

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import MAX_PORT

TIMEOUT_SECONDS = 5.0
NO_ANSWER = 0  # the status of a request without an answer


class AdminCallError(Exception):
    """The dispatcher rejected a request or gave no answer; the text says where and why.

    `status` is the answer's, or NO_ANSWER; `reason` is the answer's error text, "" without one.
    """

    def __init__(self, text: str, status: int, reason: str) -> None:
        super().__init__(text)
        self.status = status
        self.reason = reason


def call_admin(
    at: str, path: str, method: str = "GET", timeout_seconds: float = TIMEOUT_SECONDS
) -> tuple[int, Any]:
    """Send a request to the admin listener at HOST:PORT; return status and JSON of the answer.

    The text of an answer that is not JSON is returned under `error`. Raise ConnectionError if there
    is no answer within `timeout_seconds`, and `ConfigurationError` if `at`, the option `--at`, is
    not HOST:PORT.
    """
    host, _, port = at.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ConfigurationError(f"--at={at} is not HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_seconds)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConnectionError(f"{at}: {error}") from error
    finally:
        connection.close()
    try:
        return response.status, ujson.loads(body)
    except ValueError:
        return response.status, {"error": body.decode("utf-8", "replace").strip()}


def request_json(at: str, path: str, method: str = "GET") -> Any:  # noqa: ANN401  parsed JSON
    """Call `call_admin`; return the JSON of a success, raise `AdminCallError` otherwise."""
    try:
        status, answer = call_admin(at, path, method)
    except ConnectionError as error:
        raise AdminCallError(str(error), NO_ANSWER, "") from error
    if status != HTTPStatus.OK:
        text = f"{at}: {answer.get('error', status)}"
        raise AdminCallError(text, status, str(answer.get("error", "")))
    return answer
