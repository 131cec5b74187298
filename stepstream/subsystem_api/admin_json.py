"""JSON responses and query parameters of the admin routes that subsystems add."""

import ujson

from stepstream.config.fields import parse_whole_number
from stepstream.ports.admin import AdminResponse

__all__ = ["json_error", "json_or_not_found", "json_response", "parse_whole_number"]

HTTP_OK = 200
HTTP_NOT_FOUND = 404


def json_response(status: int, body: object) -> AdminResponse:
    """Return a response whose body is `body` as JSON."""
    text = ujson.dumps(body, escape_forward_slashes=False)
    return AdminResponse(status, text, "application/json")


def json_error(status: int, error: str) -> AdminResponse:
    """Return a response with an error's text, as JSON."""
    return json_response(status, {"error": error})


def json_or_not_found(found: object | None, error: str) -> AdminResponse:
    """Return `found` as JSON, or a 404 response with `error` if it is None."""
    if found is None:
        return json_error(HTTP_NOT_FOUND, error)
    return json_response(HTTP_OK, found)
