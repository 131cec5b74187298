"""An outbound carrier that calls a scripted worker, and answers of discovery that list workers."""

from dataclasses import replace

from stepstream.config.limits import Limits, Timeouts
from stepstream.core.events import CallEnded
from stepstream.core.requests import Call
from stepstream.http.codec import write_answer
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_api import EndpointAnswer
from stepstream.http.in_flight_call import CallPhase
from stepstream.http.load_reports import LoadReportReader
from stepstream.http.outbound import OutboundCarrier
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from stepstream.runtime import log_events
from stepstream.runtime.clock import Clock
from stepstream.runtime.log import RateLimitedLogger
from tests.config.configurations import LIMITS, POLICY_SETTINGS
from tests.core.builders import make_request
from tests.http.scripted_server import ScriptedServer
from tests.runtime.thread_ends import end_carrier
from tests.runtime.waiting import wait_for

CLOCK = Clock()
LIMITS_WITHOUT_REUSE_DELAY = Limits(timeouts=Timeouts(outbound_reuse_delay_seconds=0.0))


def endpoint_answer(state=EndpointState.ACTIVE, kind=EndpointListKind.COMPLETE, **ports):
    """Return discovery's answer at version 1: these workers, each at its port of 127.0.0.1."""
    endpoints = tuple(Endpoint(name, state=state) for name in ports)
    addresses = {name: ("127.0.0.1", port) for name, port in ports.items()}
    return EndpointAnswer(1, EndpointList(kind, endpoints), addresses)


def accept_job(_):
    """Answer as a worker that accepts a job."""
    return write_answer(202)


class OutboundHarness:
    """A carrier whose events are recorded, and one worker 'w'.

    `reply(message)` returns the bytes of the worker's answer, or None to disconnect.
    """

    def __init__(self, reply, limits=LIMITS, settings=POLICY_SETTINGS):
        self.events = []
        self.server = ScriptedServer(reply)
        self.destinations = DestinationSet()
        self.destinations.apply(endpoint_answer(w=self.server.port))
        self.settings = settings
        self.unreadable_answers = RateLimitedLogger(log_events.worker_answer_unreadable, limits)
        self.carrier = OutboundCarrier(
            limits,
            CLOCK,
            self.destinations,
            self.events.append,
            LoadReportReader(settings, self.unreadable_answers.add),
            self.unreadable_answers,
        )

    def new_call(self, request_id="aa", sent_us=None, worker="w"):
        """Return a call that is not started."""
        now_us = CLOCK.now_us()
        job = replace(make_request(request_id, now_us), settings=self.settings)
        return Call(job, 0, worker, now_us if sent_us is None else sent_us, now_us + 5_000_000)

    def start_call(self, request_id="aa", sent_us=None, worker="w"):
        """Start a call and return it."""
        call = self.new_call(request_id, sent_us, worker)
        self.carrier.start(call)
        return call

    def start_accepted_call(self, request_id):
        """Start a call, wait until its worker has accepted the job, and return it."""
        call = self.start_call(request_id)
        wait_for(lambda: call.carrier_state.phase is CallPhase.ACCEPTED)
        return call

    def wait_for_idle_connections(self):
        """Wait for an idle connection to the worker; return its idle connections."""
        return wait_for(lambda: self.carrier.pool.idle.get("w"))

    def wait_for_result(self, call):
        """Wait for the end of a call and return its result."""
        return wait_for(
            lambda: [
                event.result
                for event in self.events
                if isinstance(event, CallEnded) and event.call is call
            ]
        )[0]

    def close(self):
        """Stop the worker and end the carrier's threads."""
        self.server.close()
        end_carrier(self.carrier)
