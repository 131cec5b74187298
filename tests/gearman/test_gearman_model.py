"""A model-based test of the Gearman service over random sequences of steps."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from stepstream.gearman.codec import PacketKind
from tests.gearman.service_harness import (
    OUTCOME_KINDS,
    ServiceHarness,
    submit_job,
)

FUNCTIONS = ("revalue", "nav-publish", "once")
CLIENT_INDEXES = st.integers(0, 2)
WORKER_INDEXES = st.integers(0, 1)
LONGER_THAN_EVERY_DEADLINE_US = 12_000_000


class ServiceMachine(RuleBasedStateMachine):
    """The model: how many outcomes each client must get, and how often a workload was assigned."""

    def __init__(self):
        super().__init__()
        self.harness = ServiceHarness()
        self.clients = [self.harness.connect() for _ in range(3)]
        self.workers = [self.connect_worker(index) for index in range(2)]
        self.assigned = {worker: [] for worker in self.workers}
        self.expected_outcomes = {client: 0 for client in self.clients}
        self.assignment_counts = {}  # how often each workload was assigned
        self.submitted_count = 0

    def connect_worker(self, index):
        return self.harness.connect().register_worker(f"w{index}", *FUNCTIONS)

    # -- rules ----------------------------------------------------------------------------------

    @rule(
        index=CLIENT_INDEXES,
        function=st.sampled_from(FUNCTIONS),
        unique=st.sampled_from(("", "same")),
        background=st.booleans(),
    )
    def submit(self, index, function, unique, background):
        client = self.clients[index]
        if client not in self.expected_outcomes:
            return
        self.submitted_count += 1
        kind = PacketKind.SUBMIT_JOB_HIGH_BG if background else PacketKind.SUBMIT_JOB
        if not unique and function == "nav-publish":
            unique = f"own{self.submitted_count}"
        assert submit_job(client, function, unique, f"{function} {self.submitted_count}", kind)
        if not background:
            self.expected_outcomes[client] += 1

    @rule(index=WORKER_INDEXES)
    def grab(self, index):
        worker = self.workers[index]
        if worker.peer.disconnected:
            return
        job = worker.grab_job()
        if job is not None:
            workload = job[3]
            self.assigned[worker].append(job)
            self.assignment_counts[workload] = self.assignment_counts.get(workload, 0) + 1

    @rule(
        index=WORKER_INDEXES,
        kind=st.sampled_from(
            (PacketKind.WORK_COMPLETE, PacketKind.WORK_FAIL, PacketKind.WORK_STATUS)
        ),
    )
    def report(self, index, kind):
        worker = self.workers[index]
        if not self.assigned[worker]:
            return
        handle, _, _, workload = self.assigned[worker][0]
        if kind is PacketKind.WORK_STATUS:
            worker.send(kind, handle, "1", "2")
            return
        self.assigned[worker].pop(0)
        if kind is PacketKind.WORK_COMPLETE:
            worker.send(kind, handle, b"result of " + workload)
        else:
            worker.send(kind, handle)

    @rule(index=CLIENT_INDEXES)
    def disconnect_client(self, index):
        client = self.clients[index]
        if client in self.expected_outcomes:
            client.disconnect()
            del self.expected_outcomes[client]

    @rule(index=WORKER_INDEXES)
    def reconnect_worker(self, index):
        worker = self.workers[index]
        worker.disconnect()
        del self.assigned[worker]
        self.workers[index] = self.connect_worker(index)
        self.assigned[self.workers[index]] = []

    @rule(index=WORKER_INDEXES)
    def drain(self, index):
        self.workers[index].send(PacketKind.RESET_ABILITIES)
        assert not self.workers[index].peer.worker.queue

    @rule(index=WORKER_INDEXES)
    def end_drain(self, index):
        for function in FUNCTIONS:
            self.workers[index].send(PacketKind.CAN_DO, function)

    @rule(duration_ms=st.integers(1, 800))
    def wait(self, duration_ms):
        self.harness.advance_time(duration_ms * 1000)

    # -- checks ---------------------------------------------------------------------------------

    @invariant()
    def agrees_with_the_model(self):
        assert not self.harness.log.events
        self.check_outcomes()
        self.check_open_jobs()
        self.check_queues()

    def check_outcomes(self):
        jobs = self.harness.state.jobs
        for client, expected in self.expected_outcomes.items():
            assert (
                len(client.packets_of(*OUTCOME_KINDS)) + jobs.submission_count(client.peer)
                == expected
            )
            for packet in client.packets_of(PacketKind.WORK_COMPLETE):
                assert packet.args[1].startswith(b"result of ")

    def check_open_jobs(self):
        jobs = self.harness.state.jobs
        open_jobs = [job for job in jobs.by_handle.values() if job.request is not None]
        assert jobs.open_workload_bytes == sum(job.workload_bytes for job in open_jobs)
        assert jobs.open_count == len(open_jobs)
        assert self.harness.core.open_count == len(open_jobs)

    def check_queues(self):
        workers = self.harness.state.workers.by_id.values()
        queued_calls = [queued.call for worker in workers for queued in worker.queue]
        assert all(call.open for call in queued_calls)
        assert len(set(map(id, queued_calls))) == len(queued_calls)
        for workload, count in self.assignment_counts.items():
            assert count == 1 or not workload.startswith(b"once")

    def teardown(self):
        """Check that every client has its outcomes after every deadline has passed."""
        self.harness.advance_time(LONGER_THAN_EVERY_DEADLINE_US, step_us=500_000)
        for client, expected in self.expected_outcomes.items():
            assert len(client.packets_of(*OUTCOME_KINDS)) == expected
        assert self.harness.core.open_count == 0
        assert not self.harness.state.jobs.submissions
        assert set(self.harness.state.jobs.by_handle) == set(self.harness.state.jobs.retained)


def test_the_service_agrees_with_the_model_over_random_steps(run_state_machine):
    run_state_machine(ServiceMachine)
