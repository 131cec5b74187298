"""Several catalogues in one destination set, against a model that keeps a plain set a source."""

from hypothesis import strategies as st
from walk import walks

from stepstream import interface as i
from stepstream.members import Listed, Members

IDS, SOURCES = ("a", "b", "c"), ("discovery", "gearman", "consul")
STATES = list(i.WorkerState)


class MembersRig:
    """The model: what each source last said of each id, and who held an id first."""

    def __init__(self):
        self.members, self.module, self.complaints = Members(self.complain), {}, []
        self.said = {source: {} for source in SOURCES}
        self.owner = {}

    def complain(self, text):
        self.complaints.append(text)

    def changes(self, move):
        source, worker, state = move
        self.apply(source, i.ListKind.CHANGES, {worker: state})

    def full(self, move):
        source, rows = move
        self.apply(source, i.ListKind.COMPLETE, rows)

    def failed(self, source):
        told = i.WorkerList(i.ListKind.FAILED)
        assert self.members.apply(Listed(source, told)) is told

    def apply(self, source, kind, rows):
        entries = tuple(
            i.WorkerEntry(w, kind=SOURCES.index(source), state=s) for w, s in rows.items()
        )
        told = self.members.apply(Listed(source, i.WorkerList(kind, entries)))
        assert told.kind is kind
        # What the module makes of it.
        if kind is not i.ListKind.CHANGES:
            self.module = {}
        for entry in told.entries:
            self.module.pop(entry.worker, None)
            if entry.state is not i.WorkerState.OUT:
                self.module[entry.worker] = (SOURCES[entry.kind], entry.state)
        if kind is not i.ListKind.CHANGES:
            self.said[source] = {}
        for worker, state in rows.items():
            self.said[source].pop(worker, None)
            if state is not i.WorkerState.OUT:
                self.said[source][worker] = state
        for worker in IDS:
            if worker not in self.said[self.owner.get(worker, source)]:
                self.owner.pop(worker, None)

    def check(self):
        for worker in IDS:
            holders = [source for source in SOURCES if worker in self.said[source]]
            if not holders:
                assert worker not in self.module and self.members.source(worker) is None
                continue
            owner, state = self.module[worker]
            # The first holder stays; which of several that waited comes next is free.
            assert owner == self.owner.setdefault(worker, owner) and owner in holders
            assert state is self.said[owner][worker] and self.members.source(worker) == owner


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
    members = Members(lambda _: None)
    members.apply(Listed("gearman", i.WorkerList(i.ListKind.CHANGES, (i.WorkerEntry("g"),))))
    told = members.apply(
        Listed("discovery", i.WorkerList(i.ListKind.COMPLETE, (i.WorkerEntry("s"),)))
    )
    assert {e.worker for e in told.entries} == {"g", "s"}
    told = members.apply(Listed("discovery", i.WorkerList(i.ListKind.COMPLETE, ())))
    assert {e.worker for e in told.entries} == {"g"}


def test_a_claimed_id_is_complained_of_once():
    said = []
    members = Members(said.append)
    members.apply(Listed("discovery", i.WorkerList(i.ListKind.COMPLETE, (i.WorkerEntry("a"),))))
    for _ in range(3):
        told = members.apply(
            Listed("gearman", i.WorkerList(i.ListKind.CHANGES, (i.WorkerEntry("a"),)))
        )
        assert told.entries == ()
    assert said == ["worker a of gearman waits: discovery holds that id"]
