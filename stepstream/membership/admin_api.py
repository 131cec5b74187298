"""The membership's routes on the admin listener: `/fleet` and its sub-paths.

Operators' tools and `stepstream fleet` depend on the paths, query parameters and error texts, so
their spelling is fixed. The module `report` builds the answers. This module owns no state. The
admin listener's thread calls it; the driver's lock guards what it reads.
"""

import signal
import time
from collections.abc import Callable, Sequence

from stepstream.membership import report
from stepstream.membership.context import DriverMetrics
from stepstream.membership.driver import Driver
from stepstream.ports.admin import (
    READ_METHODS,
    WRITE_METHODS,
    AdminRequest,
    AdminResponse,
    AdminRoute,
)
from stepstream.subsystem_api.admin_json import (
    json_error,
    json_or_not_found,
    json_response,
    parse_whole_number,
)
from stepstream.subsystem_api.context import SubsystemContext

MAX_EVENT_NUMBER_DIGITS = 15
HTTP_OK = 200
HTTP_BAD_REQUEST = 400


class MembershipAdminApi:
    """Answers operators' requests to `/fleet` and its sub-paths.

    `dispatcher_count` returns how many dispatchers share the cluster's capacity.
    """

    def __init__(
        self, host: SubsystemContext, driver: Driver, dispatcher_count: Callable[[], int]
    ) -> None:
        self.host = host
        self.driver = driver
        self.dispatcher_count = dispatcher_count

    def routes(self) -> Sequence[AdminRoute]:
        """Return the routes below `/fleet`."""
        return (
            AdminRoute(r"/fleet", READ_METHODS, self.on_membership),
            AdminRoute(r"/fleet/changes", READ_METHODS, self.on_events),
            AdminRoute(r"/fleet/members/([^/]{1,128})", READ_METHODS, self.on_explain),
            AdminRoute(r"/fleet/leave", WRITE_METHODS, self.on_leave),
        )

    def on_membership(self, _request: AdminRequest) -> AdminResponse:
        """Answer `GET /fleet`."""
        driver = self.driver
        with driver.lock:
            driver_metrics = DriverMetrics(
                driver.dropped_datagrams.count, driver.unsent_datagrams, driver.cpu_seconds
            )
            answer = report.membership_answer(
                driver.protocol, self.dispatcher_count(), driver_metrics, time.monotonic()
            )
        return json_response(HTTP_OK, answer)

    def on_events(self, request: AdminRequest) -> AdminResponse:
        """Answer `GET /fleet/changes?after=NUMBER`."""
        after = parse_whole_number(request.query.get("after", "0"), MAX_EVENT_NUMBER_DIGITS)
        if after is None:
            return json_error(HTTP_BAD_REQUEST, "after is not a whole number")
        with self.driver.lock:
            answer = report.events_answer(self.driver.protocol, after, time.monotonic())
        return json_response(HTTP_OK, answer)

    def on_explain(self, request: AdminRequest) -> AdminResponse:
        """Answer `GET /fleet/members/NAME`."""
        name = request.path_parameters[0]
        with self.driver.lock:
            answer = report.explanation_answer(self.driver.protocol, name, time.monotonic())
        return json_or_not_found(answer, "no such member")

    def on_leave(self, _request: AdminRequest) -> AdminResponse:
        """Answer `PUT /fleet/leave`: begin the graceful shutdown that SIGTERM begins, too."""
        self.host.signals.put(signal.SIGTERM)
        return json_response(HTTP_OK, {"leaving": self.driver.protocol.members.local_name})
