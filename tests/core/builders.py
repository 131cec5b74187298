"""Requests and workers that tests of the core and of its subsystems share."""

from stepstream.core.requests import Payload, Request
from stepstream.model.endpoints import Endpoint

WORKERS = tuple(Endpoint(f"s-{index}", zone=0, cell=index % 2) for index in range(4))


def make_request(request_id, now_us=1_000_000, job_class=0, budget_us=5_000_000):
    """Return a request that has just been received."""
    deadline_us = now_us + budget_us
    return Request(request_id, job_class, now_us, deadline_us, payload=Payload("/revalue"))
