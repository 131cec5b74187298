"""The probe sweep's driver: the holder's one thread, and what all others do with what it tells."""

import threading
import time
from collections.abc import Callable, Sequence

from stepstream.leases import sweep
from stepstream.leases.sweep import Hearing, Seen
from stepstream.leases.tasks import Lease, Leases, LostError
from stepstream.model.events import HealthChecked
from stepstream.ports.messaging import MessageTransport
from stepstream.runtime.log import RateLimitedLogger, log

KIND = "sweep"
TELLING_S = 0.05  # what probes have brought is passed on so often
PAUSE_S = 0.5  # after a fault, or while there is nobody to probe


class Sweeper:
    """`workers`: the ids to be probed; `probe`: has one probed, its outcome goes to the second argument, from
    any thread; `names`: of the fields in force; `post`: to the core.
    """

    def __init__(
        self,
        leases: Leases,
        messenger: MessageTransport,
        complaints: RateLimitedLogger,
        workers: Callable[[], Sequence[str]],
        probe: Callable[[str, Callable[[HealthChecked], None]], None],
        names: Callable[[], Sequence[str]],
        post: Callable[[HealthChecked], None],
    ) -> None:
        self.leases, self.messenger, self.complaints = leases, messenger, complaints
        self.workers, self.probe, self.names, self.post = workers, probe, names, post
        self.hearing = Hearing()
        self.lock = threading.Lock()
        self.fresh: list[tuple[float, HealthChecked]] = []  # answered, not yet told
        self.probes = 0
        self.closed = False
        messenger.subscribe(KIND, self.hear)

    # -- everybody ----------------------------------------------------------------------------------------

    def hear(self, member: str, data: bytes) -> None:
        try:
            told = self.hearing.read(data, self.names(), time.monotonic())
        except sweep.BadPageError as error:
            self.complaints.add(f"sweep from {member}: {error}")
            return
        for one in told:
            self.post(HealthChecked(one.worker, True, one.spent_us, one.report))

    def spared(self, worker: str) -> bool:
        """Whether this dispatcher's own probe of it is left out."""
        return self.hearing.spared(worker, time.monotonic())

    # -- the holder's thread ------------------------------------------------------------------------------

    def run(self) -> None:
        while not self.closed:
            try:
                self.hold()
            except LostError:
                time.sleep(PAUSE_S)  # drained, or on its way out
            except Exception as error:
                # Guards the sweep: without it each dispatcher probes for itself, which costs workers more.
                log(f"fault in the probe sweep: {type(error).__name__}: {error}")
                time.sleep(PAUSE_S)

    def hold(self) -> None:
        """One attempt at the lease, to its end."""
        lease = self.leases.acquire(sweep.LEASE, sweep.TTL_S, sweep.ACT_S)
        try:
            while not lease.wait(PAUSE_S) and not lease.claim.over and not self.closed:
                pass
            while lease.check() and not self.closed:
                self.round(lease)
        finally:
            lease.release()

    def round(self, lease: Lease) -> None:
        """All workers once, evenly over the period; the lease is looked at right before each probe."""
        workers, period = list(self.workers()), sweep.period(len(self.messenger.present()) + 1)
        begun = told = time.monotonic()
        for place, worker in enumerate(workers):
            due = begun + place * period / len(workers)
            while (now := time.monotonic()) < due or now - told >= TELLING_S:
                if now - told >= TELLING_S:
                    told = now
                    self.tell(lease)
                else:
                    time.sleep(min(due - now, TELLING_S))
            if self.closed or not lease.check():
                return
            self.probes += 1
            self.probe(worker, self.answered)
        time.sleep(max(begun + period - time.monotonic(), 0.0) if workers else PAUSE_S)
        self.tell(lease)

    def answered(self, probed: HealthChecked) -> None:
        self.post(probed)
        if probed.healthy and probed.load_report:
            self.hearing.note(probed.worker_id, time.monotonic())
            with self.lock:
                self.fresh.append((time.monotonic(), probed))

    def tell(self, lease: Lease) -> None:
        with self.lock:
            fresh, self.fresh = self.fresh, []
        now = time.monotonic()
        seen = [
            Seen(p.worker_id, int((now - at) * 1000), max(p.elapsed_us, 0), p.load_report)
            for at, p in fresh
        ]
        for page in sweep.pages(lease.token, seen):
            for member in self.messenger.present():
                self.messenger.send(member, KIND, page)
