"""JSON responses and query parameters of the admin routes that subsystems add."""

import ujson

from stepstream.ports.admin import AdminResponse

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
    """Return what was found as JSON; 404 with `error` for None."""
    if found is None:
        return json_error(HTTP_NOT_FOUND, error)
    return json_response(HTTP_OK, found)


def parse_whole_number(text: str, max_digits: int) -> int | None:
    """Return a query parameter's whole number; None if it is none of at most `max_digits`."""
    if not (text.isascii() and text.isdigit() and len(text) <= max_digits):
        return None
    return int(text)
