"""The endpoint set of several sources, compared with a model that keeps one dict per source."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState
from tests.core.harness import RecordingLog

IDS = ("a", "b", "c")
SOURCES = ("discovery", "gearman", "consul")
STATES = list(EndpointState)


def update(source, kind, *endpoints):
    return EndpointsUpdated(source, EndpointList(kind, endpoints))


class EndpointSetMachine(RuleBasedStateMachine):
    """The model: what each source lists, which source owns each id, and what the policy sees."""

    def __init__(self):
        super().__init__()
        self.endpoints = EndpointSet(RecordingLog())
        self.policy_view = {}
        self.listed = {source: {} for source in SOURCES}
        self.owner = {}

    # -- rules ----------------------------------------------------------------------------------

    @rule(
        source=st.sampled_from(SOURCES),
        worker=st.sampled_from(IDS),
        state=st.sampled_from(STATES),
    )
    def change(self, source, worker, state):
        self.apply(source, EndpointListKind.CHANGES, {worker: state})

    @rule(
        source=st.sampled_from(SOURCES),
        states=st.dictionaries(st.sampled_from(IDS), st.sampled_from(STATES), max_size=3),
    )
    def list_all(self, source, states):
        self.apply(source, EndpointListKind.COMPLETE, states)

    @rule(source=st.sampled_from(SOURCES))
    def fail(self, source):
        failed = EndpointList(EndpointListKind.FAILED)
        assert self.endpoints.apply(EndpointsUpdated(source, failed)) is failed

    def apply(self, source, kind, states):
        entries = [
            Endpoint(worker, worker_kind=SOURCES.index(source), state=state)
            for worker, state in states.items()
        ]
        merged = self.endpoints.apply(update(source, kind, *entries))
        assert merged.kind is kind
        self.update_policy_view(merged)
        self.update_listed(source, kind, states)
        for worker in IDS:
            if worker not in self.listed[self.owner.get(worker, source)]:
                self.owner.pop(worker, None)

    def update_policy_view(self, merged):
        if merged.kind is not EndpointListKind.CHANGES:
            self.policy_view = {}
        for endpoint in merged.endpoints:
            self.policy_view.pop(endpoint.worker_id, None)
            if endpoint.state is not EndpointState.REMOVED:
                source = SOURCES[endpoint.worker_kind]
                self.policy_view[endpoint.worker_id] = (source, endpoint.state)

    def update_listed(self, source, kind, states):
        if kind is not EndpointListKind.CHANGES:
            self.listed[source] = {}
        for worker, state in states.items():
            self.listed[source].pop(worker, None)
            if state is not EndpointState.REMOVED:
                self.listed[source][worker] = state

    # -- checks ---------------------------------------------------------------------------------

    @invariant()
    def agrees_with_the_model(self):
        for worker in IDS:
            listing = [source for source in SOURCES if worker in self.listed[source]]
            assert self.endpoints.contains(worker) == bool(listing)
            if not listing:
                assert worker not in self.policy_view
                assert self.endpoints.owner(worker) is None
                continue
            owner, state = self.policy_view[worker]
            # The first owner keeps the id until it no longer lists the id. The model does not know
            # the order of the waiting claims, so any source that lists it may be the next owner.
            assert owner == self.owner.setdefault(worker, owner)
            assert owner in listing
            assert state is self.listed[owner][worker]
            assert self.endpoints.owner(worker) == owner


def test_endpoint_set_against_its_model(run_state_machine):
    run_state_machine(EndpointSetMachine)


def test_a_complete_list_of_one_source_keeps_the_other_sources_workers():
    endpoints = EndpointSet(RecordingLog())
    endpoints.apply(update("gearman", EndpointListKind.CHANGES, Endpoint("g")))
    merged = endpoints.apply(update("discovery", EndpointListKind.COMPLETE, Endpoint("s")))
    assert {endpoint.worker_id for endpoint in merged.endpoints} == {"g", "s"}
    merged = endpoints.apply(update("discovery", EndpointListKind.COMPLETE))
    assert {endpoint.worker_id for endpoint in merged.endpoints} == {"g"}


def test_a_claim_to_an_owned_id_is_logged_once():
    log = RecordingLog()
    endpoints = EndpointSet(log)
    endpoints.apply(update("discovery", EndpointListKind.COMPLETE, Endpoint("a")))
    for _ in range(3):
        merged = endpoints.apply(update("gearman", EndpointListKind.CHANGES, Endpoint("a")))
        assert merged.endpoints == ()
    assert log.events == [("worker_id_conflict", "a", "gearman", "discovery")]


def test_a_waiting_claim_is_granted_when_the_owner_drops_the_id():
    endpoints = EndpointSet(RecordingLog())
    endpoints.apply(update("discovery", EndpointListKind.COMPLETE, Endpoint("a", zone=1)))
    endpoints.apply(update("gearman", EndpointListKind.CHANGES, Endpoint("a", zone=2)))
    merged = endpoints.apply(update("discovery", EndpointListKind.COMPLETE))
    assert merged.endpoints == (Endpoint("a", zone=2),)
    assert endpoints.owner("a") == "gearman"
