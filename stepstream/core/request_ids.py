"""The ids of requests that may have run: a request that comes again under one of them never runs.

Clients use a fresh id for each request, a retry included. An id that comes again while its first
request may still run, or has run, would run the job a second time, whoever sends it.

The decision thread owns the table.
"""

from collections import OrderedDict
from typing import Protocol

MAX_RECENT_IDS = 4096  # of up to 64 characters; together less than a megabyte


class RequestIdClaims(Protocol):
    """The ids that the processes of one dispatcher have admitted, in a hot restart for example."""

    def claim(self, request_id: str) -> bool:
        """Record that this process admits the id; return False if another process has done so."""


class UnsharedRequestIds:
    """The claims of a process that shares its clients with no other."""

    def claim(self, request_id: str) -> bool:  # noqa: ARG002  no other process can have the id
        """Return True."""
        return True


class RecentRequestIds:
    """The latest ids of ended requests that may have run."""

    def __init__(self) -> None:
        self._ids: OrderedDict[str, None] = OrderedDict()  # oldest first

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def add(self, request_id: str) -> None:
        """Remember an id, and forget the oldest one if there are too many."""
        self._ids[request_id] = None
        if len(self._ids) > MAX_RECENT_IDS:
            self._ids.popitem(last=False)
