"""The platform's discovery API: polls of the endpoint list and the answers to them.

The platform defines the paths and field names. Only this module translates them. `DiscoveryApi` is
immutable, and any thread may use it.
"""

from typing import Any, cast

from stepstream.http.codec import Message, ProtocolError, write_request
from stepstream.http.json_body import read_json_object
from stepstream.http.named_numbers import bounded_number
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.model.records import record
from stepstream.model.settings import Settings

ENDPOINT_LIST_PATH = "/api/targets"
OK_STATUS = 200
UNKNOWN_NAME_INDEX = -1  # of a zone or worker kind that the settings do not list
STATE_BY_WIRE_NAME = {
    "ready": EndpointState.ACTIVE,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
Address = tuple[str, int]


@record
class EndpointAnswer:
    """An answer of discovery: the list for the core, and the workers' addresses."""

    version: int
    update: EndpointList
    addresses: dict[str, Address]


class DiscoveryApi:
    """Writes polls and reads endpoint lists; the settings name the zones and worker kinds."""

    def __init__(self, settings: Settings) -> None:
        self.zone_index = {name: index for index, name in enumerate(settings.zones)}
        self.worker_kind_index = {name: index for index, name in enumerate(settings.worker_kinds)}

    @staticmethod
    def fetch_bytes(host: str) -> bytes:
        """Return a poll of the complete list."""
        return write_request("GET", ENDPOINT_LIST_PATH, {"Host": host})

    @staticmethod
    def watch_bytes(host: str, version: int, wait_seconds: float) -> bytes:
        """Return a long poll for what has changed since a version."""
        query = f"index={version}&wait={int(wait_seconds * 1000)}"
        return write_request("GET", f"{ENDPOINT_LIST_PATH}?{query}", {"Host": host})

    def read_answer(self, message: Message) -> EndpointAnswer:
        """Return the list in an answer of discovery; raises ProtocolError if there is none."""
        if message.status != OK_STATUS:
            raise ProtocolError(400, f"discovery answered {message.status}")
        return self.read(read_json_object(message.body))

    def read(self, data: dict[str, Any], *, persisted: bool = False) -> EndpointAnswer:
        """Return a list from its JSON object; raises ProtocolError if it is malformed.

        `persisted` is True for a list from before the process started, which may be outdated.
        """
        try:
            rows = [self._read_row(row) for row in data.get("servers", ())]
            version = int(data.get("version", 0))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            description = f"the list is malformed: {type(error).__name__} {error}"
            raise ProtocolError(400, description) from error
        if persisted:
            kind = EndpointListKind.PERSISTED
        elif data.get("full", True):
            kind = EndpointListKind.COMPLETE
        else:
            kind = EndpointListKind.CHANGES
        endpoints = tuple(endpoint for endpoint, _ in rows)
        addresses = {endpoint.worker_id: address for endpoint, address in rows if address}
        return EndpointAnswer(version, EndpointList(kind, endpoints), addresses)

    def _read_row(self, row: dict[str, Any]) -> tuple[Endpoint, Address | None]:
        """Return a row's endpoint and address; `read` handles the errors of malformed rows."""
        state = STATE_BY_WIRE_NAME[row.get("state", "ready")]
        host, _, port = row.get("addr", "").rpartition(":")
        if not host and state is not EndpointState.REMOVED:
            raise ValueError(f"{row['id']} has no addr")
        if not isinstance(row["id"], str):
            raise ValueError("an id is not text")  # noqa: TRY004  the log names its type
        endpoint = Endpoint(
            worker_id=row["id"],
            zone=index_of(self.zone_index, row.get("zone", 0)),
            worker_kind=index_of(self.worker_kind_index, row.get("kind", 0)),
            cell=int(row.get("cell", 0)),
            state=state,
            weight=bounded_number(row.get("weight", 1.0)),
            started_us=int(row.get("started_ms", 0)) * 1000,
        )
        return endpoint, (host, int(port)) if host else None


def index_of(indices: dict[str, int], name: object) -> int:
    """Return the index of a name that the settings list; a number is an index already."""
    if isinstance(name, int):
        return name
    # A value that is not a string is not found, or raises TypeError, and `read` then reports the
    # list as malformed.
    return indices.get(cast("str", name), UNKNOWN_NAME_INDEX)
