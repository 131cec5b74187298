"""The JSON body of a message of the platform's APIs. No state; any thread may use it."""

from typing import Any

from stepstream.config.json_decoding import JsonNestingError, JsonSyntaxError, decode_json
from stepstream.http.codec import ProtocolError


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in `body`; raises ProtocolError 400 for anything else."""
    try:
        data = decode_json(body)
    except JsonNestingError as error:
        description = f"the body is {error}"
        raise ProtocolError(400, description, f"{description}\n".encode()) from error
    except JsonSyntaxError as error:
        raise ProtocolError(400, "the body is not JSON") from error
    if not isinstance(data, dict):
        raise ProtocolError(400, "the body is not a JSON object")
    return data
