"""An outbound carrier with one worker beside it, and answers of discovery that name workers."""

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
REUSED_AT_ONCE = Limits(timeouts=Timeouts(outbound_reuse_delay_seconds=0.0))


def endpoint_answer(state=EndpointState.ACTIVE, kind=EndpointListKind.COMPLETE, **ports):
    """Discovery's answer at version 1: the named workers, each at its port of 127.0.0.1."""
    endpoints = tuple(Endpoint(name, state=state) for name in ports)
    addresses = {name: ("127.0.0.1", port) for name, port in ports.items()}
    return EndpointAnswer(1, EndpointList(kind, endpoints), addresses)


def accept_job(_):
    """Answer as a worker that accepts a job."""
    return write_answer(202)


class OutboundHarness:
    """A carrier whose events are recorded, and one worker 'w' that answers by `reply`."""

    def __init__(self, reply, limits=LIMITS, settings=POLICY_SETTINGS):
        self.events = []
        self.server = ScriptedServer(reply)
        self.destinations = DestinationSet()
        self.destinations.apply(endpoint_answer(w=self.server.port))
        self.settings = settings
        self.unreadable = RateLimitedLogger(log_events.worker_answer_unreadable, limits)
        self.carrier = OutboundCarrier(
            limits,
            CLOCK,
            self.destinations,
            self.events.append,
            LoadReportReader(settings, self.unreadable.add),
            self.unreadable,
        )

    def new_call(self, name="aa", sent_us=None, worker="w"):
        """Return a call that is not started."""
        now_us = CLOCK.now_us()
        job = replace(make_request(name, now_us), settings=self.settings)
        return Call(job, 0, worker, now_us if sent_us is None else sent_us, now_us + 5_000_000)

    def start_call(self, name="aa", sent_us=None, worker="w"):
        """Start a call and return it."""
        call = self.new_call(name, sent_us, worker)
        self.carrier.start(call)
        return call

    def start_accepted_call(self, name):
        """Return a call, once its worker has accepted the job."""
        call = self.start_call(name)
        wait_for(lambda: call.carrier_state.phase is CallPhase.ACCEPTED)
        return call

    def idle_connections(self):
        """Return the worker's idle connections, once there is one."""
        return wait_for(lambda: self.carrier.pool.idle.get("w"))

    def result(self, call):
        """Return how a call ended, once it has."""
        return wait_for(
            lambda: [e.result for e in self.events if isinstance(e, CallEnded) and e.call is call]
        )[0]

    def close(self):
        """Stop the worker and end the carrier's threads."""
        self.server.close()
        end_carrier(self.carrier)
