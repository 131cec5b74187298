"""Several catalogues in one destination set, against a model that keeps a plain set a source."""

from hypothesis import strategies as st
from walk import walks

from stepstream.core.endpoint_set import EndpointSet, EndpointsUpdated
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind, EndpointState

IDS, SOURCES = ("a", "b", "c"), ("discovery", "gearman", "consul")
STATES = list(EndpointState)


class MembersRig:
    """The model: what each source last said of each id, and who held an id first."""

    def __init__(self):
        self.members, self.module, self.complaints = EndpointSet(self.complain), {}, []
        self.said = {source: {} for source in SOURCES}
        self.owner = {}

    def complain(self, text):
        self.complaints.append(text)

    def changes(self, move):
        source, worker, state = move
        self.apply(source, EndpointListKind.CHANGES, {worker: state})

    def full(self, move):
        source, rows = move
        self.apply(source, EndpointListKind.COMPLETE, rows)

    def failed(self, source):
        told = EndpointList(EndpointListKind.FAILED)
        assert self.members.apply(EndpointsUpdated(source, told)) is told

    def apply(self, source, kind, rows):
        entries = tuple(
            Endpoint(w, worker_kind=SOURCES.index(source), state=s) for w, s in rows.items()
        )
        told = self.members.apply(EndpointsUpdated(source, EndpointList(kind, entries)))
        assert told.kind is kind
        # What the module makes of it.
        if kind is not EndpointListKind.CHANGES:
            self.module = {}
        for entry in told.endpoints:
            self.module.pop(entry.worker_id, None)
            if entry.state is not EndpointState.REMOVED:
                self.module[entry.worker_id] = (SOURCES[entry.worker_kind], entry.state)
        if kind is not EndpointListKind.CHANGES:
            self.said[source] = {}
        for worker, state in rows.items():
            self.said[source].pop(worker, None)
            if state is not EndpointState.REMOVED:
                self.said[source][worker] = state
        for worker in IDS:
            if worker not in self.said[self.owner.get(worker, source)]:
                self.owner.pop(worker, None)

    def check(self):
        for worker in IDS:
            holders = [source for source in SOURCES if worker in self.said[source]]
            if not holders:
                assert worker not in self.module
                assert self.members.owner(worker) is None
                continue
            owner, state = self.module[worker]
            # The first holder stays; which of several that waited comes next is free.
            assert owner == self.owner.setdefault(worker, owner)
            assert owner in holders
            assert state is self.said[owner][worker]
            assert self.members.owner(worker) == owner


test_merged_lists_against_their_model = walks(
    MembersRig,
    changes=st.tuples(st.sampled_from(SOURCES), st.sampled_from(IDS), st.sampled_from(STATES)),
    full=st.tuples(
        st.sampled_from(SOURCES),
        st.dictionaries(st.sampled_from(IDS), st.sampled_from(STATES), max_size=3),
    ),
    failed=st.sampled_from(SOURCES),
)


def test_a_full_list_of_one_source_keeps_the_other_sources_workers():
    members = EndpointSet(lambda _: None)
    members.apply(
        EndpointsUpdated("gearman", EndpointList(EndpointListKind.CHANGES, (Endpoint("g"),)))
    )
    told = members.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, (Endpoint("s"),)))
    )
    assert {e.worker_id for e in told.endpoints} == {"g", "s"}
    told = members.apply(EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, ())))
    assert {e.worker_id for e in told.endpoints} == {"g"}


def test_a_claimed_id_is_complained_of_once():
    said = []
    members = EndpointSet(said.append)
    members.apply(
        EndpointsUpdated("discovery", EndpointList(EndpointListKind.COMPLETE, (Endpoint("a"),)))
    )
    for _ in range(3):
        told = members.apply(
            EndpointsUpdated("gearman", EndpointList(EndpointListKind.CHANGES, (Endpoint("a"),)))
        )
        assert told.endpoints == ()
    assert said == ["worker a of gearman waits: discovery holds that id"]
