"""The measured scenarios of a `ClusterLoadTest`: crashes, and health checks by a leader.

Each `play_` function runs an event loop of its own, so a pool of processes can call it.
"""

import asyncio
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypedDict

import msgspec

from stepstream.lab.emulator.clock import US_PER_SECOND
from stepstream.lab.load.scenario import Scenario, WorkerFault, generate_scenario
from stepstream.lab.load.site import WorkerFaultKind, read_site
from stepstream.lab.processes.cluster_load_test import ClusterLoadTest, Disturbance
from stepstream.lab.processes.multi_listener_worker import MultiListenerWorker
from stepstream.lab.processes.round_robin_clients import RoundRobinClients
from stepstream.lab.verification.score import Figures

LOAD = 0.6  # ratio of the requested work to the workers' capacity
CRASH_WORKERS = 12
CRASHED_WORKERS_DIVISOR = 4  # one worker in four crashes
CRASHED_DISPATCHER_INDEXES = (1, 3)
LEADER_WORKERS = 8

# Fractions of the scenario's duration.
FAULT_BEGIN_FRACTION = 0.4
CRASH_END_FRACTION = 0.6
SUSPENSION_FRACTION = 0.25


@dataclass(frozen=True)
class CrashRun:
    """A run in which two of four dispatchers and a quarter of the workers crash together."""

    seed: int
    shares_membership: bool
    seconds: int


class CrashRunResult(TypedDict):
    """The figures of one crash run; the keys are those of stored results."""

    seed: int
    viewed: bool
    score: float
    whole: float
    worst_window: float
    finals: dict[str, int]
    breaches: list[str]
    late_ms: float


class LeaderFault(StrEnum):
    """What happens to the health-check leader; the values are those of stored results."""

    NONE = ""
    KILL = "kill"
    SUSPEND = "stop"


@dataclass(frozen=True)
class HealthCheckRun:
    """A run in which one dispatcher checks the workers for all, or each dispatcher checks them."""

    seed: int
    delegates_health_checks: bool
    dispatcher_count: int
    seconds: int
    leader_fault: LeaderFault = LeaderFault.NONE


class HealthCheckRunResult(TypedDict):
    """The figures of one health-check run; the keys are those of stored results."""

    seed: int
    sweep: bool
    dispatchers: int
    harm: str
    sweepers: list[int]  # the leaders, in order
    probes_a_worker_s: float
    probes_a_request: float
    score: float
    whole: float
    breaches: list[str]
    late_ms: float


# -- crashes --------------------------------------------------------------------------------------


def crash_scenario(seed: int, seconds: int) -> Scenario:
    """Draw a run of the small site with `CRASH_WORKERS` workers.

    A quarter of them crashes and restarts in slow start.
    """
    site = msgspec.structs.replace(read_site(), worker_count=CRASH_WORKERS, faults=(), load=LOAD)
    scenario = generate_scenario(site, seed, seconds, "http")
    crashed = scenario.streams["faults"].choice(
        CRASH_WORKERS, size=CRASH_WORKERS // CRASHED_WORKERS_DIVISOR, replace=False
    )
    crash = WorkerFault(
        WorkerFaultKind.CRASH,
        int(FAULT_BEGIN_FRACTION * US_PER_SECOND * seconds),
        int(CRASH_END_FRACTION * US_PER_SECOND * seconds),
        tuple(int(index) for index in crashed),
        1.0,
    )
    return replace(scenario, faults=(crash,))


def crash_dispatchers(test: ClusterLoadTest) -> Disturbance:
    """Return a disturbance that kills two dispatchers at the time of the workers' crash."""

    async def disturb(clients: RoundRobinClients) -> None:
        await asyncio.sleep(FAULT_BEGIN_FRACTION * test.scenario.seconds)
        for index in CRASHED_DISPATCHER_INDEXES:
            clients.record_failure(index)
            test.kill_dispatcher(index)

    return disturb


async def run_crash_test(test: ClusterLoadTest) -> Figures:
    """Start the test, play its scenario with the dispatchers' crashes, and stop the test."""
    async with test:
        return await test.play_with(crash_dispatchers(test))


def play_crash_run(run: CrashRun) -> CrashRunResult:
    """Play one crash run and return its figures."""
    scenario = crash_scenario(run.seed, run.seconds)
    test = ClusterLoadTest(scenario, run.seed, shares_membership=run.shares_membership)
    figures = asyncio.run(run_crash_test(test))
    return {
        "seed": run.seed,
        "viewed": run.shares_membership,
        "score": figures.score,
        "whole": figures.whole,
        "worst_window": figures.worst_window,
        "finals": figures.finals,
        "breaches": figures.breaches,
        "late_ms": test.late_ms,
    }


# -- health checks by a leader --------------------------------------------------------------------


def disturb_leader(test: ClusterLoadTest, fault: LeaderFault) -> Disturbance:
    """Return a disturbance that kills or suspends the present health-check leader."""

    async def disturb(clients: RoundRobinClients) -> None:
        if fault is LeaderFault.NONE:
            return
        await asyncio.sleep(FAULT_BEGIN_FRACTION * test.scenario.seconds)
        leader = (test.health_check_leaders() or [0])[-1]
        clients.record_failure(leader)
        if fault is LeaderFault.KILL:
            test.kill_dispatcher(leader)
            return
        test.dispatchers[leader].suspend()
        await asyncio.sleep(SUSPENSION_FRACTION * test.scenario.seconds)
        test.dispatchers[leader].resume()

    return disturb


def count_answered_health_checks(test: ClusterLoadTest) -> int:
    """Return the number of health checks that the workers have answered so far."""
    return sum(
        worker.health_check_count
        for worker in test.workers
        if isinstance(worker, MultiListenerWorker)
    )


async def run_health_check_test(test: ClusterLoadTest, run: HealthCheckRun) -> HealthCheckRunResult:
    """Start the test, play its scenario with the leader's fault, and stop the test."""
    async with test:
        count_before = count_answered_health_checks(test)
        figures = await test.play_with(disturb_leader(test, run.leader_fault))
        health_check_count = count_answered_health_checks(test) - count_before
        return {
            "seed": run.seed,
            "sweep": run.delegates_health_checks,
            "dispatchers": run.dispatcher_count,
            "harm": run.leader_fault.value,
            "sweepers": test.health_check_leaders(),
            "probes_a_worker_s": health_check_count / len(test.workers) / run.seconds,
            "probes_a_request": health_check_count / max(len(test.scenario.requests), 1),
            "score": figures.score,
            "whole": figures.whole,
            "breaches": figures.breaches,
            "late_ms": test.late_ms,
        }


def play_health_check_run(run: HealthCheckRun) -> HealthCheckRunResult:
    """Play one health-check run and return its figures."""
    site = msgspec.structs.replace(
        read_site(name="probed"), worker_count=LEADER_WORKERS, faults=(), load=LOAD
    )
    test = ClusterLoadTest(
        generate_scenario(site, run.seed, run.seconds, "http"),
        run.seed,
        dispatcher_count=run.dispatcher_count,
        delegates_health_checks=run.delegates_health_checks,
    )
    return asyncio.run(run_health_check_test(test, run))
