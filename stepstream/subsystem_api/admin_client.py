"""A client of the admin listener, for commands that query or change a running dispatcher."""

import http.client
from http import HTTPStatus
from typing import Any

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import MAX_PORT
from stepstream.config.json_decoding import JsonError, decode_json

TIMEOUT_SECONDS = 5.0
NO_ANSWER = 0  # the status of a request without an answer


class AdminCallError(Exception):
    """The dispatcher rejected a request or gave no answer.

    The message has the dispatcher's address and the reason. `status` is the answer's HTTP status,
    or NO_ANSWER; `reason` is the answer's error text, "" if it has none.
    """

    def __init__(self, message: str, status: int, reason: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason


def call_admin(
    address: str, path: str, method: str = "GET", timeout_seconds: float = TIMEOUT_SECONDS
) -> tuple[int, Any]:
    """Send a request to the admin listener at `address`; return status and JSON of the answer.

    The text of an answer that is not JSON is returned under the key `error`. Raise ConnectionError
    if there is no answer within `timeout_seconds`, and `ConfigurationError` if `address`, the value
    of the option `--at`, is not HOST:PORT.
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ConfigurationError(f"--at={address} is not HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_seconds)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConnectionError(f"{address}: {error}") from error
    finally:
        connection.close()
    try:
        return response.status, decode_json(body)
    except JsonError:
        return response.status, {"error": body.decode("utf-8", "replace").strip()}


def request_json(address: str, path: str, method: str = "GET") -> Any:  # noqa: ANN401  parsed JSON
    """Send a request as `call_admin` does; return a 200 answer's JSON or raise `AdminCallError`."""
    try:
        status, answer = call_admin(address, path, method)
    except ConnectionError as error:
        raise AdminCallError(str(error), NO_ANSWER, "") from error
    if status != HTTPStatus.OK:
        message = f"{address}: {answer.get('error', status)}"
        raise AdminCallError(message, status, str(answer.get("error", "")))
    return answer
