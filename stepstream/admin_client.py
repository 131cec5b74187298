"""One call to a dispatcher's admin listener, for commands that ask a running program."""

import http.client

import ujson

from stepstream.config.errors import ConfigurationError

TIMEOUT_SECONDS = 5.0


def call_admin(
    at: str, path: str, method: str = "GET", timeout_seconds: float = TIMEOUT_SECONDS
) -> tuple[int, dict]:
    """The status and what was told; ConnectionError without an answer, FieldError if `at` is no address."""
    host, _, port = at.rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigurationError(f"--at={at} is not HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_seconds)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        body, status = answer.read(), answer.status
    except (OSError, http.client.HTTPException) as error:
        raise ConnectionError(f"{at}: {error}") from None
    finally:
        connection.close()
    try:
        return status, ujson.loads(body)
    except ValueError:
        return status, {"error": body.decode("utf-8", "replace").strip()}
