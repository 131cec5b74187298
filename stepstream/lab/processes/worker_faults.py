"""Inject faults into emulated workers during a load test: slowness, errors, crashes and drains.

A `WorkerFaultInjector` belongs to the event loop of its load test.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from stepstream.lab.emulator.clock import MS_PER_SECOND, US_PER_SECOND, Clock
from stepstream.lab.emulator.gearman_worker import GearmanWorker
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.load.scenario import Scenario, WorkerFault
from stepstream.lab.load.site import WorkerFaultKind
from stepstream.lab.verification.verifier import Verifier

DRAIN_POLL_INTERVAL_SECONDS = 0.05
DRAIN_MARGIN_SECONDS = 0.2  # beyond the site's drain grace

EmulatedWorker = HttpWorker | GearmanWorker


class WorkerFaultInjector:
    """Apply the worker faults of a scenario to its workers.

    `announce` changes a worker's state in discovery after the site's delay.
    """

    def __init__(
        self,
        scenario: Scenario,
        workers: Sequence[EmulatedWorker],
        clock: Clock,
        verifier: Verifier,
        announce: Callable[[EmulatedWorker, str], Awaitable[None]],
    ) -> None:
        self.scenario = scenario
        self.workers = workers
        self.clock = clock
        self.verifier = verifier
        self.announce = announce
        self.tasks: list[asyncio.Task[None]] = []

    def schedule(self) -> None:
        """Start a task for each fault of the scenario; the times of the faults count from now."""
        self.tasks = [asyncio.ensure_future(self.apply(fault)) for fault in self.scenario.faults]

    def cancel(self) -> None:
        """Cancel all tasks; faults in force are not ended."""
        for task in self.tasks:
            task.cancel()

    async def apply(self, fault: WorkerFault) -> None:
        """Wait for the fault's time and inject it into each of its workers."""
        await asyncio.sleep(fault.at_us / US_PER_SECOND)
        await asyncio.gather(
            *(self.inject(fault, self.workers[index]) for index in fault.worker_indexes)
        )

    async def inject(self, fault: WorkerFault, worker: EmulatedWorker) -> None:
        """Begin a fault of one worker, and end it when its time is over."""
        duration_seconds = (fault.end_us - fault.at_us) / US_PER_SECOND
        match fault.kind:
            case WorkerFaultKind.SLOW:
                # Compute the work done so far with the speed that applied until now.
                worker.model.advance(self.clock.now_us())
                worker.model.slowdown_factor = fault.size
                await asyncio.sleep(duration_seconds)
                worker.model.advance(self.clock.now_us())
                worker.model.slowdown_factor = 1.0
                worker.model_changed.set()
            case WorkerFaultKind.ERRORS:
                worker.model.error_fraction = fault.size
                await asyncio.sleep(duration_seconds)
                worker.model.error_fraction = 0.0
            case WorkerFaultKind.CRASH:
                worker.crash()
                await self.announce(worker, "gone")
                await asyncio.sleep(duration_seconds)
                await self.restart_worker(worker)
            case WorkerFaultKind.DRAIN:
                await self.drain(worker)
                await asyncio.sleep(duration_seconds)
                await self.restart_worker(worker)

    async def drain(self, worker: EmulatedWorker) -> None:
        """Announce that the worker drains, let it finish its work, then end its process."""
        if isinstance(worker, GearmanWorker):
            worker.drain()
        else:
            await self.announce(worker, "draining")
        await wait_until_idle(worker)
        # The dispatcher may still send jobs within the drain grace: the process waits that long.
        grace_seconds = self.scenario.site.drain_grace_ms / MS_PER_SECOND
        await asyncio.sleep(grace_seconds + DRAIN_MARGIN_SECONDS)
        await wait_until_idle(worker)
        worker.crash()
        await self.announce(worker, "gone")

    async def restart_worker(self, worker: EmulatedWorker) -> None:
        """Restart the worker's process and announce that it is ready."""
        await worker.restart()
        self.verifier.on_worker_ready(worker.name)
        await self.announce(worker, "ready")


async def wait_until_idle(worker: EmulatedWorker) -> None:
    """Wait until the worker has neither running nor waiting jobs."""
    while worker.model.running or worker.model.waiting:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
