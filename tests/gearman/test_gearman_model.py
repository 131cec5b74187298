"""The Gearman service against a model, over random sequences of steps."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stepstream.gearman.codec import PacketKind
from tests.gearman.service_harness import (
    OUTCOME_KINDS,
    ServiceHarness,
    submit_job,
)

FUNCTIONS = ("revalue", "nav-publish", "once")
PLACES_OF_CLIENTS = st.integers(0, 2)
PLACES_OF_WORKERS = st.integers(0, 1)
PAST_EVERY_DEADLINE_US = 12_000_000


class ServiceMachine(RuleBasedStateMachine):
    """The model: the answers due to each client, and how often each workload was assigned."""

    def __init__(self):
        super().__init__()
        self.harness = ServiceHarness()
        self.clients = [self.harness.connect() for _ in range(3)]
        self.workers = [self.connect_worker(place) for place in range(2)]
        self.assigned = {worker: [] for worker in self.workers}
        self.due_answers = {client: 0 for client in self.clients}
        self.assignments = {}  # their number by workload
        self.submitted = 0

    def connect_worker(self, place):
        return self.harness.connect().register_worker(f"w{place}", *FUNCTIONS)

    # -- rules ----------------------------------------------------------------------------------

    @rule(
        place=PLACES_OF_CLIENTS,
        function=st.sampled_from(FUNCTIONS),
        unique=st.sampled_from(("", "same")),
        background=st.booleans(),
    )
    def submit(self, place, function, unique, background):
        client = self.clients[place]
        if client not in self.due_answers:
            return
        self.submitted += 1
        kind = PacketKind.SUBMIT_JOB_HIGH_BG if background else PacketKind.SUBMIT_JOB
        if not unique and function == "nav-publish":
            unique = f"own{self.submitted}"
        assert submit_job(client, function, unique, f"{function} {self.submitted}", kind)
        if not background:
            self.due_answers[client] += 1

    @rule(place=PLACES_OF_WORKERS)
    def grab(self, place):
        worker = self.workers[place]
        if worker.peer.disconnected:
            return
        job = worker.grab_job()
        if job is not None:
            workload = job[3]
            self.assigned[worker].append(job)
            self.assignments[workload] = self.assignments.get(workload, 0) + 1

    @rule(
        place=PLACES_OF_WORKERS,
        kind=st.sampled_from(
            (PacketKind.WORK_COMPLETE, PacketKind.WORK_FAIL, PacketKind.WORK_STATUS)
        ),
    )
    def report(self, place, kind):
        worker = self.workers[place]
        if not self.assigned[worker]:
            return
        handle, _, _, workload = self.assigned[worker][0]
        if kind is PacketKind.WORK_STATUS:
            worker.send(kind, handle, "1", "2")
            return
        self.assigned[worker].pop(0)
        if kind is PacketKind.WORK_COMPLETE:
            worker.send(kind, handle, b"made of " + workload)
        else:
            worker.send(kind, handle)

    @rule(place=PLACES_OF_CLIENTS)
    def disconnect_client(self, place):
        client = self.clients[place]
        if client in self.due_answers:
            client.disconnect()
            del self.due_answers[client]

    @rule(place=PLACES_OF_WORKERS)
    def reconnect_worker(self, place):
        worker = self.workers[place]
        worker.disconnect()
        del self.assigned[worker]
        self.workers[place] = self.connect_worker(place)
        self.assigned[self.workers[place]] = []

    @rule(place=PLACES_OF_WORKERS)
    def drain(self, place):
        self.workers[place].send(PacketKind.RESET_ABILITIES)
        assert not self.workers[place].peer.worker.queue

    @rule(place=PLACES_OF_WORKERS)
    def end_drain(self, place):
        for function in FUNCTIONS:
            self.workers[place].send(PacketKind.CAN_DO, function)

    @rule(duration_ms=st.integers(1, 800))
    def wait(self, duration_ms):
        self.harness.advance_time(duration_ms * 1000)

    # -- checks ---------------------------------------------------------------------------------

    @invariant()
    def agrees_with_the_model(self):
        assert not self.harness.log.events
        self.check_answers()
        self.check_open_jobs()
        self.check_queues()

    def check_answers(self):
        jobs = self.harness.state.jobs
        for client, due in self.due_answers.items():
            assert (
                len(client.packets_of(*OUTCOME_KINDS)) + jobs.submission_count(client.peer) == due
            )
            for packet in client.packets_of(PacketKind.WORK_COMPLETE):
                assert packet.args[1].startswith(b"made of ")

    def check_open_jobs(self):
        jobs = self.harness.state.jobs
        open_jobs = [job for job in jobs.by_handle.values() if job.request is not None]
        assert jobs.open_workload_bytes == sum(job.workload_bytes for job in open_jobs)
        assert jobs.open_count == len(open_jobs)
        assert self.harness.core.open_count == len(open_jobs)

    def check_queues(self):
        workers = self.harness.state.workers.by_id.values()
        waiting = [waiter.call for worker in workers for waiter in worker.queue]
        assert all(call.open for call in waiting)
        assert len(set(map(id, waiting))) == len(waiting)
        for workload, count in self.assignments.items():
            assert count == 1 or not workload.startswith(b"once")

    def teardown(self):
        """Check that every client has its answers past every deadline."""
        self.harness.advance_time(PAST_EVERY_DEADLINE_US, step=500_000)
        for client, due in self.due_answers.items():
            assert len(client.packets_of(*OUTCOME_KINDS)) == due
        assert self.harness.core.open_count == 0
        assert not self.harness.state.jobs.submissions
        assert set(self.harness.state.jobs.by_handle) == set(self.harness.state.jobs.retained)


def test_clients_and_workers_against_their_model(run_state_machine):
    run_state_machine(ServiceMachine)
