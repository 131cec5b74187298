"""The JSON body of a message of the platform's APIs. No state; any thread may use it."""

from typing import Any

import ujson

from stepstream.http.codec import ProtocolError


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in `body`; raises ProtocolError 400 for anything else."""
    try:
        data = ujson.loads(body)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(400, "the body is not JSON") from error
    if not isinstance(data, dict):
        raise ProtocolError(400, "the body is not a JSON object")
    return data
