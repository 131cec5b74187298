"""Measure leases in simulated time, by an exhaustive search, and on real dispatchers.

Usage:
  leases [--quick] [--out DIR]

Options:
  --quick    Fewer runs and shorter ones.
  --out DIR  The folder for leases.json [default: docs/results].

Simulated: random fault schedules by seed; the exhaustive search of small configurations; the
seconds from a holder's crash to the next holder's first operation; envelopes and messages per
second while members wait for one lease. On processes: fault schedules with the ledger as the
verifier; the CPU of holding many leases at the same time, in percent of a core, compared with a
dispatcher that neither holds a lease nor votes. Tables go to standard output as Markdown.
"""

import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from docopt import docopt

from benchmarks.harness import (
    markdown_table,
    process_cpu_seconds,
    quantiles_of,
    run_in_processes,
    write_json,
)
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.processes.lease_cluster import LeaseDispatcherCluster, LeaseWorkload
from stepstream.lab.processes.lease_faults import LEASE_FAULTS, inject
from stepstream.lab.search.lease_model import Bounds
from stepstream.lab.search.lease_search import LeaseSearch
from stepstream.lab.simulation.errors import InvariantError, TwoHoldersError
from stepstream.lab.simulation.guarded_resource import GuardedResource
from stepstream.lab.simulation.lease_cluster import LeaseCluster
from stepstream.lab.simulation.lease_tasks import Task
from stepstream.lab.simulation.random_lease_cluster import generate_lease_cluster
from stepstream.lab.verification import ledger_record
from stepstream.leases.configuration import LeaseConfiguration

SIMULATION_PROCESSES = 7
SIMULATION_CHUNK = 10
DISPATCHER_CLUSTERS_AT_ONCE = 5
ACCEPTORS = ("n0", "n1", "n2")
LEASE = "x"
SETTLE_SECONDS = 60.0  # longest wait for a holder after the last fault
ENDLESS_HOLD_SECONDS = 1e6  # longer than any run
SCHEDULE_SECONDS = 25.0
MAX_AFFECTED_FRACTION = 1.0  # of the members, by one fault
TTLS_SECONDS = (5.0, 15.0)
WAITING_MEMBERS = (0, 1, 10, 100)
LEASES_AT_ONCE = (1, 100, 1000)
CPU_SECONDS = 20.0
MAX_SEARCH_STATES = 400_000
MAX_ERROR_LENGTH = 400
SMALL_CONFIGURATIONS = (
    Bounds(renewals=0, restarts=0, releases=False, time_steps=2),
    Bounds(renewals=0, restarts=0, releases=False, time_steps=3),
    Bounds(renewals=0, restarts=0, releases=True, time_steps=2),
    Bounds(renewals=0, restarts=1, releases=False, time_steps=2),
    Bounds(renewals=1, restarts=0, releases=False, time_steps=2),
)


@dataclass(frozen=True)
class RunCounts:
    """The numbers of runs of each part of the benchmark."""

    schedules: int
    crashes_per_ttl: int
    configurations: int
    dispatcher_clusters: int
    rounds_of_faults: int


FULL = RunCounts(3000, 200, len(SMALL_CONFIGURATIONS), 5, 4)
QUICK = RunCounts(400, 50, 2, 2, 1)

# -- simulated clusters ----------------------------------------------------------------------------


def play_schedule(seed: int) -> dict[str, Any]:
    """Play a random fault schedule on a random cluster, both given by the seed."""
    cluster = generate_lease_cluster(seed)
    try:
        schedule = generate_schedule(seed, cluster.names, SCHEDULE_SECONDS, MAX_AFFECTED_FRACTION)
        settled = cluster.play(schedule, SETTLE_SECONDS)
    except InvariantError as error:
        return {"seed": seed, "broken": str(error)}
    resource = cluster.resources.get(LEASE, GuardedResource())
    return {
        "seed": seed,
        "settled": settled,
        "grants": len(cluster.grants),
        "acts": resource.completed_operations(),
        "refused": cluster.fenced_operations,
    }


def search_configuration(bounds: Bounds) -> dict[str, Any]:
    """Search every order of events of one small configuration."""
    search = LeaseSearch(bounds, max_states=MAX_SEARCH_STATES)
    result: dict[str, Any] = {"bounds": stored_bounds(bounds)}
    started_seconds = time.monotonic()
    try:
        result["whole"] = search.run()
    except TwoHoldersError as error:
        result["broken"] = str(error)
    result["states"] = search.states
    result["held"] = search.states_with_holder
    result["s"] = round(time.monotonic() - started_seconds, 1)
    return result


def stored_bounds(bounds: Bounds) -> str:
    """Return the bounds under the shorter names that the result file uses."""
    return (
        f"Bounds(ballots={bounds.ballots}, renewals={bounds.renewals}, restarts={bounds.restarts},"
        f" steps={bounds.time_steps}, drift={bounds.max_clock_drift}, releases={bounds.releases})"
    )


def simulated_cluster(seed: int, members: int, max_ttl_seconds: float) -> LeaseCluster:
    """Return a cluster of members whose first three are the acceptors."""
    names = [f"n{number}" for number in range(members)]
    return LeaseCluster(seed, names, LeaseConfiguration(ACCEPTORS, max_ttl_seconds=max_ttl_seconds))


def measure_crash(job: tuple[float, int]) -> dict[str, float]:
    """Measure the time from a holder's crash to the next holder's first operation.

    The job is a time to live and a seed. The crash comes at a random moment of a renewal.
    """
    ttl_seconds, seed = job
    cluster = simulated_cluster(seed, 5, ttl_seconds)
    for name in ("n3", "n4"):
        cluster.tasks[name] = [
            Task(
                LEASE,
                ttl_seconds=ttl_seconds,
                max_operation_seconds=ttl_seconds / 10,
                hold_seconds=ENDLESS_HOLD_SECONDS,
                think_seconds=0.1,
            )
        ]
    cluster.start_all()
    phase_seconds = cluster.rng.uniform(0.0, ttl_seconds)
    cluster.run(cluster.configuration.recovery_seconds + 5.0 + phase_seconds)
    (holder,) = cluster.holders(LEASE)
    operations = cluster.resources[LEASE].operations
    operations_before = len(operations)
    cluster.kill(holder.partition("@")[0])
    crashed_at = cluster.now
    if not cluster.run(10 * ttl_seconds, lambda: len(operations) > operations_before):
        raise InvariantError(f"no operation began: ttl {ttl_seconds}, seed {seed}")
    return {"ttl": ttl_seconds, "s": operations[operations_before].begun_at - crashed_at}


def measure_load(waiting: int) -> dict[str, float]:
    """Measure envelopes and messages per second while one task holds the lease and others wait."""
    members = 10
    window_seconds = 60.0
    cluster = simulated_cluster(1, members, 15.0)
    cluster.start_all()
    cluster.run(16.0)
    task = Task(
        LEASE, ttl_seconds=15.0, max_operation_seconds=1.0, hold_seconds=ENDLESS_HOLD_SECONDS
    )
    for number in range(waiting + 1):
        cluster.start_task(f"n{number % members}", task)
    cluster.run(20.0)
    envelopes_before = cluster.packets_sent
    messages_before = cluster.messages_sent
    cluster.run(window_seconds)
    return {
        "waiting": waiting,
        "letters_s": (cluster.packets_sent - envelopes_before) / window_seconds,
        "bodies_s": (cluster.messages_sent - messages_before) / window_seconds,
    }


# -- processes -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class FaultRounds:
    """A cluster of dispatchers, and how many times each fault is injected."""

    seed: int
    acceptors: int
    rounds: int


def measure_faults(job: FaultRounds) -> dict[str, Any]:
    """Inject every fault in random order, `rounds` times; check the ledger."""
    result: dict[str, Any] = {"seed": job.seed, "voters": job.acceptors}
    next_operation_seconds: list[float] = []
    members = job.acceptors + 2
    with LeaseDispatcherCluster(members, job.acceptors, job.seed) as cluster:
        cluster.wait_for(cluster.holder, SETTLE_SECONDS, "a first holder")
        try:
            for _ in range(job.rounds):
                for fault in cluster.rng.sample(LEASE_FAULTS, len(LEASE_FAULTS)):
                    outcome = inject(cluster, fault, SETTLE_SECONDS)
                    next_operation_seconds.append(outcome.recovery_seconds)
        except AssertionError as error:
            result["broken"] = str(error)[:MAX_ERROR_LENGTH]
        rows = cluster.ledger_rows()
    result["played"] = len(next_operation_seconds)
    result["next_act_s"] = next_operation_seconds
    result["faults"] = ledger_record.find_breaches(rows)
    result["acts"] = sum(row["what"] == "end" for row in rows)
    result["refused"] = sum(map(ledger_record.is_rejected, rows))
    result["holders"] = len({row["token"] for row in rows})
    return result


def measure_cpu(lease_count: int) -> dict[str, float]:
    """Measure the CPU of a holder of many leases and of the other members, in percent of a core."""
    holder = "n4"
    workload = LeaseWorkload(ttl_seconds=15.0, contenders=(holder,), lease_count=lease_count)
    with LeaseDispatcherCluster(5, 3, 1, workload) as cluster:
        member = cluster.members[holder]

        def held_count() -> int:
            status, body = member.call_admin("/leases")
            if status != HTTPStatus.OK:
                return 0
            return sum(row["holder"].startswith(f"{holder}@") for row in body)

        cluster.wait_for(lambda: held_count() >= lease_count, 120.0, f"{lease_count} leases")
        time.sleep(5.0)  # so that the work of acquiring the leases does not count
        before = cpu_seconds(cluster)
        time.sleep(CPU_SECONDS)
        after = cpu_seconds(cluster)
        if held_count() < lease_count:
            raise RuntimeError(
                f"of {lease_count} leases only {held_count()} are held after the measurement"
            )
    used = {name: (after[name] - before[name]) / CPU_SECONDS * 100 for name in after}
    acceptor = statistics.median(used[name] for name in cluster.acceptors)
    return {
        "leases": lease_count,
        "holder": used[holder],
        "voter": acceptor,
        "neither": used["n3"],
    }


def cpu_seconds(cluster: LeaseDispatcherCluster) -> dict[str, float]:
    """Return the CPU seconds of each dispatcher so far."""
    return {
        name: process_cpu_seconds(member.started_process().pid)
        for name, member in cluster.members.items()
    }


# -- report ----------------------------------------------------------------------------------------


def schedules_summary(rows: list[dict[str, Any]]) -> str:
    """Return the count of schedules, the broken ones and totals."""
    settled_rows = [row for row in rows if "settled" in row]
    broken = [row for row in rows if "broken" in row]
    settled = quantiles_of([row["settled"] for row in settled_rows])
    seconds = [f"{value:.2f}" for value in asdict(settled).values()]
    totals = [
        f"{key}: {sum(row[key] for row in settled_rows)}" for key in ("grants", "acts", "refused")
    ]
    return "\n".join(
        [
            f"schedules {len(rows)}, broken {broken}",
            f"held again after the last fault, s: median, p99, most: {seconds}",
            *totals,
        ]
    )


def search_table(rows: list[dict[str, Any]]) -> str:
    """Return the states and the verdict of each configuration."""
    cells = []
    for row in rows:
        verdict = row.get("broken") or ("all tried" if row["whole"] else "unfinished")
        cells.append((row["bounds"], f"{row['states']:,}", f"{row['held']:,}", row["s"], verdict))
    return markdown_table(("bounds", "states", "with a holder", "s", ""), cells)


def crash_table(rows: list[dict[str, float]]) -> str:
    """Return the seconds from a crash to the next operation by time to live."""
    cells = []
    for ttl_seconds in sorted({row["ttl"] for row in rows}):
        seconds = [row["s"] for row in rows if row["ttl"] == ttl_seconds]
        quantiles = [f"{value:.2f}" for value in asdict(quantiles_of(seconds)).values()]
        cells.append((f"{ttl_seconds:g}", len(seconds), *quantiles))
    header = ("time to live, s", "runs", "crash to next operation, s: median", "p99", "greatest")
    return markdown_table(header, cells)


def load_lines(rows: list[dict[str, float]]) -> str:
    """Return a line for each number of waiting members."""
    return "\n".join(
        f"waiting {row['waiting']}: {row['letters_s']:.1f} envelopes,"
        f" {row['bodies_s']:.1f} messages a second"
        for row in rows
    )


def faults_table(rows: list[dict[str, Any]]) -> str:
    """Return the figures of each cluster of dispatchers, with the violations in its ledger."""
    header = (
        "cluster",
        "acceptors",
        "faults injected",
        "operations",
        "holders",
        "rejected by the guard",
        "next operation after recovery, s: median",
        "greatest",
        "violations in the ledger",
    )
    cells = []
    for row in rows:
        seconds = quantiles_of(row["next_act_s"])
        counts = [row[key] for key in ("seed", "voters", "played", "acts", "holders", "refused")]
        verdict = row["faults"] or row.get("broken") or "none"
        cells.append((*counts, f"{seconds.median:.2f}", f"{seconds.greatest:.2f}", verdict))
    return markdown_table(header, cells)


def cpu_table(rows: list[dict[str, float]]) -> str:
    """Return the CPU by number of leases held."""
    cells = [
        (row["leases"], f"{row['holder']:.1f}", f"{row['voter']:.1f}", f"{row['neither']:.1f}")
        for row in rows
    ]
    return markdown_table(("leases held", "holder, % of a core", "acceptor", "neither"), cells)


def measure_all(run_counts: RunCounts) -> dict[str, Any]:
    """Run all parts; return the results under the keys of the result file."""
    results: dict[str, Any] = {}
    with ProcessPoolExecutor(max_workers=SIMULATION_PROCESSES) as pool:
        # The searches take longest, so they start first and run while the others are measured.
        searches = [
            pool.submit(search_configuration, bounds)
            for bounds in SMALL_CONFIGURATIONS[: run_counts.configurations]
        ]
        schedules = pool.map(play_schedule, range(run_counts.schedules), chunksize=SIMULATION_CHUNK)
        results["schedules"] = list(schedules)
        crash_jobs = [
            (ttl, seed) for ttl in TTLS_SECONDS for seed in range(run_counts.crashes_per_ttl)
        ]
        results["crash"] = list(pool.map(measure_crash, crash_jobs, chunksize=SIMULATION_CHUNK))
        results["load"] = list(pool.map(measure_load, WAITING_MEMBERS))
        results["orders"] = [search.result() for search in searches]
    fault_jobs = [
        FaultRounds(seed, 3 if seed % 2 else 5, run_counts.rounds_of_faults)
        for seed in range(run_counts.dispatcher_clusters)
    ]
    results["processes"] = run_in_processes(measure_faults, fault_jobs, DISPATCHER_CLUSTERS_AT_ONCE)
    results["cpu"] = [measure_cpu(lease_count) for lease_count in LEASES_AT_ONCE]
    return results


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    results = measure_all(QUICK if arguments["--quick"] else FULL)
    write_json(Path(arguments["--out"]), "leases.json", results)
    print(schedules_summary(results["schedules"]))
    print(f"\n{search_table(results['orders'])}")
    print(f"\n{crash_table(results['crash'])}")
    print(load_lines(results["load"]))
    print(f"\n{faults_table(results['processes'])}")
    print(f"\n{cpu_table(results['cpu'])}")


if __name__ == "__main__":
    main()
