"""Measure membership, in simulated time and on twenty dispatchers.

Usage:
  membership [--quick] [--out DIR] [--no-processes]

Options:
  --quick         Fewer runs and shorter ones.
  --out DIR       The folder for fleet.json and the chart fleet.png [default: docs/results].
  --no-processes  Leave out the part with real dispatchers.

Simulated, by cluster size: the seconds until all members know of a crash, and until they agree
after a network cut has healed; datagrams and bytes per member and second without faults; members
wrongly believed dead, per member and hour, with Lifeguard and with SWIM's fixed suspicion only;
random fault schedules by seed; the exhaustive search. On processes: the CPU of a dispatcher without
faults, in percent of a core, and the seconds until a crash, a cut and a maintenance record are
known. Tables go to standard output as Markdown.
"""

import statistics
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import matplotlib
from docopt import docopt

from benchmarks.harness import (
    markdown_table,
    process_cpu_seconds,
    quantiles_of,
    run_in_processes,
    write_json,
)
from stepstream.lab.faults.random_schedule import generate_schedule
from stepstream.lab.processes.cluster_member import ClusterMember, MembershipList
from stepstream.lab.processes.dispatcher_cluster import DispatcherCluster
from stepstream.lab.search.membership_search import MembershipSearch
from stepstream.lab.simulation.errors import InvariantError
from stepstream.lab.simulation.membership_cluster import MembershipCluster
from stepstream.membership.messages import MemberState
from stepstream.membership.protocol_settings import ProtocolSettings

PROCESSES = 6
RUNS_BY_SIZE = {5: 200, 20: 200, 50: 60, 200: 8, 1000: 2}
QUICK_RUNS_BY_SIZE = {5: 60, 20: 60, 50: 24, 200: 4}
FALSE_DEATHS_SECONDS = 1800.0
QUICK_FALSE_DEATHS_SECONDS = 600.0
FALSE_DEATHS_CLUSTER_SIZE = 20
SCHEDULES_BY_SIZE = {5: 900, 20: 100}
SCHEDULE_SECONDS = 25.0
SCHEDULE_LINK_FAULT_FRACTION = 0.05  # of the datagrams: duplicated, and delayed
SETTLE_SECONDS = 60.0  # longest wait for one membership list after the last fault
SEARCH_DEPTH = 5
JOIN_SECONDS = 120.0
LOAD_SECONDS = 10.0
SECONDS_PER_HOUR = 3600
MAX_BROKEN_SHOWN = 10

DEFAULT_SETTINGS = ProtocolSettings()
# Without Lifeguard's extensions: one fixed suspicion timeout.
SWIM_SETTINGS = ProtocolSettings(
    max_local_health_score=0, suspicion_confirmations=0, suspicion_max_multiplier=1.0
)
SETTINGS_BY_NAME = {"Lifeguard": DEFAULT_SETTINGS, "SWIM": SWIM_SETTINGS}
LOSS_AND_STALLS = ((0.0, False), (0.1, False), (0.3, False), (0.0, True))

# -- simulated clusters ----------------------------------------------------------------------------


def joined_cluster(seed: int, members: int, settings: ProtocolSettings) -> MembershipCluster:
    """Return a cluster whose members all agree; raise InvariantError if they do not in time."""
    cluster = MembershipCluster(seed, members, settings)
    cluster.start_all()
    if not cluster.run(JOIN_SECONDS, cluster.has_converged):
        raise InvariantError(
            f"{members} members, seed {seed}: the members do not agree after the start"
        )
    return cluster


@dataclass(frozen=True)
class CrashAndCut:
    """One run: seconds until a crash is known and until all agree after a cut; load per second."""

    members: int
    known: float
    healed: float
    sent: float  # datagrams
    bytes: float


def measure_crash_and_cut(job: tuple[int, int]) -> CrashAndCut:
    """Measure the load without faults, a crash and a cut; the job is a cluster size and a seed."""
    members, seed = job
    cluster = joined_cluster(seed, members, DEFAULT_SETTINGS)
    cluster.run(3.0 + seed % 7 * 0.13)  # another phase of the probe interval for each seed
    packets_before = cluster.packets_sent
    bytes_before = cluster.bytes_sent
    cluster.run(LOAD_SECONDS)
    sent = (cluster.packets_sent - packets_before) / members / LOAD_SECONDS
    sent_bytes = (cluster.bytes_sent - bytes_before) / members / LOAD_SECONDS
    known_seconds = measure_crash(cluster)
    healed_seconds = measure_cut(cluster, members)
    if healed_seconds is None:
        raise InvariantError(
            f"{members} members, seed {seed}: the members do not agree after the cut"
        )
    return CrashAndCut(members, known_seconds, healed_seconds, sent, sent_bytes)


def measure_crash(cluster: MembershipCluster) -> float:
    """Crash a member; return the seconds until all others believe it dead. Start it again."""
    crashed_at = cluster.now
    cluster.kill("n1")
    cluster.run(SETTLE_SECONDS, lambda: cluster.is_known_as("n1", (MemberState.DEAD,)))
    known_seconds = cluster.now - crashed_at
    cluster.start("n1")
    cluster.run(30.0, cluster.has_converged)
    return known_seconds


def measure_cut(cluster: MembershipCluster, members: int) -> float | None:
    """Cut the cluster in halves for 20 s; return the seconds until all agree after that."""
    half = [f"n{number}" for number in range(members // 2)]
    cluster.links.cut(half, [name for name in cluster.names if name not in half])
    cluster.run(20.0)
    cluster.links.heal()
    healed_at = cluster.now
    return cluster.now - healed_at if cluster.run(JOIN_SECONDS, cluster.has_converged) else None


@dataclass(frozen=True)
class FalseDeathsJob:
    """The parameters of one run that counts false deaths."""

    settings_name: str
    loss: float
    has_stalls: bool
    seed: int
    seconds: float


def measure_false_deaths(job: FalseDeathsJob) -> dict[str, Any]:
    """Count the running members that members without a stall believe dead, per hour.

    Deaths of the member that stalls are counted separately.
    """
    settings = SETTINGS_BY_NAME[job.settings_name]
    cluster = joined_cluster(job.seed, FALSE_DEATHS_CLUSTER_SIZE, settings)
    cluster.links.loss_probability = job.loss
    deaths_before = len(cluster.declared_deaths)
    for _ in range(int(job.seconds)):
        if job.has_stalls:
            cluster.stall("n0", cluster.rng.uniform(0.2, 0.9))
        cluster.run(1.0)
    # A death that several members declare counts once: declarations within about 10 s are one.
    wrong = {
        (death.member, round(death.declared_at / 10))
        for death in cluster.declared_deaths[deaths_before:]
        if death.was_running
    }
    of_stalled = [name for name, _ in wrong if job.has_stalls and name == "n0"]
    hours = job.seconds / SECONDS_PER_HOUR
    return {
        "which": job.settings_name,
        "loss": job.loss,
        "stalled": job.has_stalls,
        "wrong": (len(wrong) - len(of_stalled)) / FALSE_DEATHS_CLUSTER_SIZE / hours,
        "of the stalled": len(of_stalled) / hours,
    }


def play_schedule(job: tuple[int, int]) -> dict[str, Any]:
    """Play a random fault schedule on a cluster; the job is a cluster size and a seed."""
    members, seed = job
    cluster = MembershipCluster(seed, members, DEFAULT_SETTINGS)
    cluster.links.duplicate_probability = SCHEDULE_LINK_FAULT_FRACTION
    cluster.links.reorder_probability = SCHEDULE_LINK_FAULT_FRACTION
    cluster.start_all()
    cluster.run(3.0)
    outcome: dict[str, Any] = {"members": members, "seed": seed}
    try:
        schedule = generate_schedule(seed, cluster.names, SCHEDULE_SECONDS)
        outcome["settled"] = cluster.play(schedule, SETTLE_SECONDS)
    except InvariantError as error:
        outcome["broken"] = str(error)
    return outcome


def run_search() -> dict[str, Any]:
    """Search every order of events to SEARCH_DEPTH; raise InvariantError at a violation."""
    search = MembershipSearch(max_depth=SEARCH_DEPTH)
    started_seconds = time.monotonic()
    search.run()
    return {
        "depth": SEARCH_DEPTH,
        "states": search.states,
        "settled": search.converged_count,
        "s": round(time.monotonic() - started_seconds, 1),
    }


# -- processes -------------------------------------------------------------------------------------

CLUSTER_SIZE = 20
FAULT_FREE_SECONDS = 20.0
ENDPOINT_LIST = {
    "version": 3,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "ready"}],
}


class ProcessBenchmark:
    """Measure twenty dispatchers without faults and through a crash, a cut and a suspension."""

    def __init__(self, cluster: DispatcherCluster) -> None:
        self.cluster = cluster
        self.member_names = set(cluster.members)
        self.figures: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        """Return the figures by name; the part of a name after the last `_` is the unit."""
        self.figures["joined_s"] = self.wait_for_agreement("agreement after the start")
        time.sleep(5.0)  # so that the work of the start does not count
        self.measure_fault_free_cpu()
        self.measure_crash()
        self.measure_cut()
        self.measure_maintenance_end()
        self.measure_suspension()
        return self.figures

    def wait_for_agreement(self, expectation: str) -> float:
        """Wait until all members agree; return the seconds that it took."""
        return self.cluster.wait_for(
            lambda: self.cluster.has_converged(self.member_names), SETTLE_SECONDS, expectation
        )

    def measure_fault_free_cpu(self) -> None:
        """Measure the CPU of the processes and of their membership threads without faults."""
        before = self.cpu_seconds()
        time.sleep(FAULT_FREE_SECONDS)
        after = self.cpu_seconds()
        for index, part in enumerate(("process", "fleet_thread")):
            used = [after[name][index] - before[name][index] for name in self.member_names]
            self.figures[f"{part}_cpu_percent"] = statistics.median(used) / FAULT_FREE_SECONDS * 100

    def cpu_seconds(self) -> dict[str, tuple[float, float]]:
        """Return by member the CPU seconds of the process and of its membership thread."""
        return {
            name: (
                process_cpu_seconds(member.started_process().pid),
                required_membership_list(member)["counts"]["cpu_s"],
            )
            for name, member in self.cluster.members.items()
        }

    def measure_crash(self) -> None:
        """Measure how soon all others know of a killed member; restart it with an endpoint list."""
        killed_seconds = time.monotonic()
        self.cluster.kill("n3")
        others = self.member_names - {"n3"}
        self.cluster.wait_for(
            lambda: self.cluster.all_observe(others, "n3", "dead"),
            SETTLE_SECONDS,
            "the death at all others",
        )
        self.figures["crash_known_s"] = time.monotonic() - killed_seconds
        self.cluster.members["n3"].persisted_endpoints = ENDPOINT_LIST
        self.cluster.start(["n3"])
        self.wait_for_agreement("agreement after the restart")

    def measure_cut(self) -> None:
        """Cut the cluster in halves, begin maintenance of a worker in one half, and heal."""
        half = {f"n{number}" for number in range(CLUSTER_SIZE // 2)}
        self.cluster.cut(half, self.member_names - half)
        time.sleep(20.0)  # long enough for each half to believe the other dead
        begun_seconds = time.monotonic()
        self.cluster.members["n3"].call_admin("/workers/s-1/maint", "PUT")
        self.wait_for_maintenance(half, "the maintenance in its half")
        self.figures["ban_on_its_side_s"] = time.monotonic() - begun_seconds
        healed_seconds = time.monotonic()
        self.cluster.heal()
        self.wait_for_maintenance(self.member_names, "the maintenance at all members")
        self.figures["ban_everywhere_after_heal_s"] = time.monotonic() - healed_seconds
        agreement_seconds = self.wait_for_agreement("agreement after the cut")
        self.figures["healed_s"] = self.figures["ban_everywhere_after_heal_s"] + agreement_seconds

    def wait_for_maintenance(self, names: Iterable[str], expectation: str) -> None:
        """Wait until each of the members has a worker in maintenance."""
        self.cluster.wait_for(
            lambda: all(map(self.has_maintenance, names)), SETTLE_SECONDS, expectation
        )

    def has_maintenance(self, name: str) -> bool:
        """Return whether a member has any worker in maintenance."""
        membership = self.cluster.members[name].membership_list()
        return membership is not None and any(record["out"] for record in membership["words"])

    def measure_maintenance_end(self) -> None:
        """End the maintenance at one member."""
        ended_seconds = time.monotonic()
        self.cluster.members["n3"].call_admin("/workers/s-1/ready", "PUT")
        self.cluster.wait_for(
            lambda: not any(map(self.has_maintenance, self.member_names)),
            SETTLE_SECONDS,
            "the end of the maintenance at all members",
        )
        self.figures["word_everywhere_s"] = time.monotonic() - ended_seconds

    def measure_suspension(self) -> None:
        """Suspend a member for a minute; count the members that it believes dead after that."""
        member = self.cluster.members["n5"]
        last_change = required_membership_list(member)["number"]
        self.cluster.suspend("n5")
        time.sleep(60.0)
        self.cluster.resume("n5")
        self.figures["settled_after_60s_stop_s"] = self.wait_for_agreement(
            "agreement after the suspension"
        )
        _, body = member.call_admin(f"/fleet/changes?after={last_change}")
        changes = body["changes"]
        self.figures["held_dead_by_it"] = sum(
            change["after"] == "dead" and change["name"] != "n5" for change in changes
        )


def required_membership_list(member: ClusterMember) -> MembershipList:
    """Return a dispatcher's membership list; raise RuntimeError if it does not answer."""
    membership = member.membership_list()
    if membership is None:
        raise RuntimeError(f"{member.name} does not answer")
    return membership


def measure_processes() -> dict[str, float]:
    """Run the part with real dispatchers."""
    with DispatcherCluster(CLUSTER_SIZE, 1) as cluster:
        return ProcessBenchmark(cluster).run()


# -- report ----------------------------------------------------------------------------------------


def draw_chart(rows: list[CrashAndCut], path: Path) -> None:
    """Draw the times by size, and the load."""
    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415  the backend is chosen first

    sizes = sorted({row.members for row in rows})
    figure, (times, load) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    draw_times(times, rows, sizes, "known", "crash known to all", "#abd9e9", -0.2)
    draw_times(times, rows, sizes, "healed", "healed cut settled", "#fdae61", 0.2)
    times.set_xticks(range(len(sizes)), sizes)
    times.set_xlabel("members")
    times.set_ylabel("seconds")
    times.legend(fontsize=8)
    means = [statistics.mean(row.bytes for row in rows if row.members == size) for size in sizes]
    load.plot(sizes, means, marker="o")
    load.set_xscale("log")
    load.set_ylim(0)
    load.set_xlabel("members")
    load.set_ylabel("bytes per member and second, no faults")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def draw_times(  # noqa: PLR0913, PLR0917  one box plot: its data and its looks
    axes: Any,  # noqa: ANN401  matplotlib has no types
    rows: list[CrashAndCut],
    sizes: list[int],
    field: str,
    label: str,
    colour: str,
    offset: float,
) -> None:
    """Draw one box for each size of the seconds in a field."""
    axes.boxplot(
        [[getattr(row, field) for row in rows if row.members == size] for size in sizes],
        positions=[index + offset for index in range(len(sizes))],
        widths=0.3,
        label=label,
        patch_artist=True,
        boxprops={"facecolor": colour},
    )


def sizes_table(rows: list[CrashAndCut], runs_by_size: dict[int, int]) -> str:
    """Return the times and the load by size."""
    header = (
        "members",
        "runs",
        "crash known, s: median",
        "p99",
        "healed, s: median",
        "p99",
        "datagrams",
        "bytes",
    )
    return markdown_table(
        header,
        [
            size_row(size, runs, [row for row in rows if row.members == size])
            for size, runs in runs_by_size.items()
        ],
    )


def size_row(size: int, runs: int, rows: list[CrashAndCut]) -> list[object]:
    """Return the table cells of one size."""
    known = quantiles_of([row.known for row in rows])
    healed = quantiles_of([row.healed for row in rows])
    seconds = (known.median, known.p99, healed.median, healed.p99)
    sent = statistics.mean(row.sent for row in rows)
    sent_bytes = statistics.mean(row.bytes for row in rows)
    return [size, runs, *(f"{value:.1f}" for value in seconds), f"{sent:.1f}", f"{sent_bytes:.0f}"]


def false_deaths_table(rows: list[dict[str, Any]]) -> str:
    """Return the wrong deaths by settings, loss and stalls."""
    header = (
        "",
        "loss",
        "one stalls",
        "wrong deaths a member and hour",
        "of the stalled one an hour",
    )
    cells = []
    for row in rows:
        of_stalled = f"{row['of the stalled']:.1f}" if row["stalled"] else "-"
        wrong = f"{row['wrong']:.2f}"
        cells.append((row["which"], f"{row['loss']:.0%}", row["stalled"], wrong, of_stalled))
    return markdown_table(header, cells)


def schedules_summary(rows: list[dict[str, Any]]) -> str:
    """Return the count of schedules, their times to settle and the first broken ones."""
    settled = quantiles_of([row["settled"] for row in rows if "settled" in row])
    broken = [row for row in rows if "broken" in row]
    first = (
        f"schedules: {len(rows)}, broken {len(broken)},"
        f" settled {settled.median:.1f} | {settled.p99:.1f}"
    )
    return "\n".join([first, *(f"  {row}" for row in broken[:MAX_BROKEN_SHOWN])])


def main() -> None:
    """Run the benchmark with the options of the command line."""
    arguments = docopt(__doc__)
    quick = arguments["--quick"]
    folder = Path(arguments["--out"])
    runs_by_size = QUICK_RUNS_BY_SIZE if quick else RUNS_BY_SIZE
    size_jobs = [(size, seed) for size, runs in runs_by_size.items() for seed in range(runs)]
    sizes = run_in_processes(measure_crash_and_cut, size_jobs, PROCESSES)
    seconds = QUICK_FALSE_DEATHS_SECONDS if quick else FALSE_DEATHS_SECONDS
    false_death_jobs = [
        FalseDeathsJob(name, loss, has_stalls, 1, seconds)
        for name in SETTINGS_BY_NAME
        for loss, has_stalls in LOSS_AND_STALLS
    ]
    false_deaths = run_in_processes(measure_false_deaths, false_death_jobs, PROCESSES)
    schedule_jobs = [
        (size, seed) for size, runs in SCHEDULES_BY_SIZE.items() for seed in range(runs)
    ]
    schedules = run_in_processes(play_schedule, schedule_jobs, PROCESSES)
    # The keys of the result file.
    results: dict[str, Any] = {
        "sizes": [asdict(row) for row in sizes],
        "wrong": false_deaths,
        "schedules": schedules,
        "search": run_search(),
    }
    if not arguments["--no-processes"]:
        results["twenty"] = measure_processes()
    write_json(folder, "fleet.json", results)
    draw_chart(sizes, folder / "fleet.png")
    print(sizes_table(sizes, runs_by_size))
    print(f"\n{false_deaths_table(false_deaths)}")
    print(f"\n{schedules_summary(schedules)}")
    print(f"search: {results['search']}\ntwenty processes: {results.get('twenty')}")


if __name__ == "__main__":
    main()
