"""Leases, measured: `PYTHONPATH=. python benchmarks/leases.py [--quick] [--out DIR]`, from the root.

`--sweep` plays the days of the probe sweep instead, each with it and without beside each other.

Simulated: drawn schedules, every order of small configurations, the time from a holder's crash to the next
one's first act, messages. Processes: fault schedules on real dispatchers with the ledger as the witness, the
CPU of many leases held at once. Figures as JSON in DIR, tables to standard output as Markdown.
"""

import argparse
import json
import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from stepstream.lab.faults.schedule import draw
from stepstream.lab.processes.cluster_load_test import play_swept
from stepstream.lab.processes.lease_cluster import TROUBLES, LeaseDispatcherCluster, trouble
from stepstream.lab.processes.lease_member import MANY
from stepstream.lab.search.lease_search import Bounds, Search, TwoHoldersError
from stepstream.lab.simulation.lease_cluster import LeaseCluster, drawn
from stepstream.lab.simulation.lease_workload import Resource, Task
from stepstream.lab.simulation.lease_workload import TwoHoldersError as InvariantError
from stepstream.lab.verification import ledger
from stepstream.leases.configuration import LeaseConfiguration

SMALL = (
    Bounds(renewals=0, restarts=0, releases=False, steps=2),
    Bounds(renewals=0, restarts=0, releases=False, steps=3),
    Bounds(renewals=0, restarts=0, releases=True, steps=2),
    Bounds(renewals=0, restarts=1, releases=False, steps=2),
    Bounds(renewals=1, restarts=0, releases=False, steps=2),
)


def schedule(seed: int) -> dict:
    world = drawn(seed)
    try:
        settled = world.play(draw(seed, world.names, 25.0, 1.0), 60.0)
    except InvariantError as error:
        return {"seed": seed, "broken": str(error)}
    acts = world.resources.get("x", Resource()).acts
    return {
        "seed": seed,
        "settled": settled,
        "grants": len(world.grants),
        "acts": sum(act.taken for act in acts),
        "refused": world.fenced,
    }


def every_order(bounds: Bounds) -> dict:
    begun, search = time.monotonic(), Search(bounds, most=400_000)
    told: dict = {"bounds": repr(bounds)}
    try:
        told["whole"] = search.run()
    except TwoHoldersError as error:
        told["broken"] = str(error)
    return {
        **told,
        "states": search.states,
        "held": search.held,
        "s": round(time.monotonic() - begun, 1),
    }


def crash(job: tuple[float, int]) -> dict:
    """From a holder's crash to the next one's first act; the crash comes at any time of a renewal."""
    ttl, seed = job
    world = LeaseCluster(
        seed,
        [f"n{k}" for k in range(5)],
        LeaseConfiguration(("n0", "n1", "n2"), max_ttl_seconds=ttl),
    )
    for name in ("n3", "n4"):
        world.tasks[name] = [Task("x", ttl=ttl, act=ttl / 10, hold=1e6, think=0.1)]
    world.start_all()
    world.run(world.rules.recovery_seconds + 5.0 + world.draw.uniform(0.0, ttl))
    (holder,) = world.holders("x")
    acts = len(world.resources["x"].acts)
    world.kill(holder.partition("@")[0])
    begun = world.now
    if not world.run(10 * ttl, lambda: len(world.resources["x"].acts) > acts):
        raise InvariantError(f"nobody acted: ttl {ttl}, seed {seed}")
    return {"ttl": ttl, "s": world.resources["x"].acts[acts].begun - begun}


def load(waiting: int) -> dict:
    """One holder that stays, so many that wait: bodies a second, all members' together."""
    world = LeaseCluster(
        1,
        [f"n{k}" for k in range(10)],
        LeaseConfiguration(("n0", "n1", "n2"), max_ttl_seconds=15.0),
    )
    world.start_all()
    world.run(16.0)
    for k in range(waiting + 1):
        world.work(world.processes[f"n{k % 10}"], Task("x", ttl=15.0, act=1.0, hold=1e6))
    world.run(20.0)
    sent, bodies = world.sent, world.bodies
    world.run(60.0)
    return {
        "waiting": waiting,
        "letters_s": (world.sent - sent) / 60,
        "bodies_s": (world.bodies - bodies) / 60,
    }


# -- processes --------------------------------------------------------------------------------------------


def processes(job: tuple[int, int, int]) -> dict:
    """All troubles so many times over, on a rig of its own; what its ledger shows."""
    seed, voters, times = job
    told: dict = {"seed": seed, "voters": voters, "played": 0, "next_act_s": []}
    with LeaseDispatcherCluster(voters + 2, voters, seed) as rig:
        rig.wait_for(rig.holder, 60.0, "a first holder")
        try:
            for _ in range(times):
                for which in rig.draw.sample(TROUBLES, len(TROUBLES)):
                    told["next_act_s"].append(trouble(rig, which, 60.0)["next_act_s"])
                    told["played"] += 1
        except AssertionError as error:
            told["broken"] = str(error)[:400]
        rows = rig.rows()
        told["faults"] = ledger.faults(rows)
        told["acts"] = sum(row["what"] == "end" for row in rows)
        told["refused"] = sum(row["what"].startswith("refused") for row in rows)
        told["holders"] = len({row["token"] for row in rows})
    return told


def cpu(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def held_at_once(many: int, seconds: float) -> dict:
    """CPU of the holder of so many leases, of a voter, and of a dispatcher that does neither; percent."""
    os.environ[MANY] = str(many)
    with LeaseDispatcherCluster(5, 3, 1, ttl=15.0, tasks=("n4",)) as rig:
        at = rig.members["n4"]

        def held() -> int:
            status, rows = at.call("/leases")
            return sum(row["holder"].startswith("n4@") for row in rows) if status == 200 else 0

        rig.wait_for(lambda: held() >= many, 120.0, f"{many} leases")
        time.sleep(5.0)
        before = {name: cpu(x.process.pid) for name, x in rig.members.items()}
        time.sleep(seconds)
        used = {n: (cpu(x.process.pid) - before[n]) / seconds * 100 for n, x in rig.members.items()}
        assert held() >= many
    del os.environ[MANY]
    voter = statistics.median(used[name] for name in rig.voters)
    return {"leases": many, "holder": used["n4"], "voter": voter, "neither": used["n3"]}


# -- the probe sweep --------------------------------------------------------------------------------------

SWEPT = (
    (4, ""),
    (4, "kill"),
    (4, "stop"),
    (16, ""),
)  # dispatchers, what befalls the sweep's holder


def sweep_days(quick: bool) -> list[dict]:
    rows = []
    for dispatchers, harm in SWEPT:
        jobs = [
            (seed, on, dispatchers, 12, harm)
            for seed in range(3 if quick else 10)
            for on in (False, True)
        ]
        with ProcessPoolExecutor(max_workers=4 if dispatchers < 8 else 2) as pool:
            rows += pool.map(play_swept, jobs)
    return rows


def show_sweep(rows: list[dict]) -> None:
    print(
        "| dispatchers | holder | probes a worker and second: alone | swept | score: gain | late, ms |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for dispatchers, harm in SWEPT:
        mine = [row for row in rows if (row["dispatchers"], row["harm"]) == (dispatchers, harm)]
        off, on = ([row for row in mine if row["sweep"] == wanted] for wanted in (False, True))
        gaps = [b["score"] - a["score"] for a, b in zip(off, on, strict=True)]
        error = statistics.stdev(gaps) / len(gaps) ** 0.5
        probes = [statistics.mean(row["probes_a_worker_s"] for row in part) for part in (off, on)]
        late = max(row["late_ms"] for row in mine)
        broken = [row["breaches"] for row in mine if row["breaches"]]
        print(
            f"| {dispatchers} | {harm or 'well'} | {probes[0]:.2f} | {probes[1]:.2f} | "
            f"{statistics.mean(gaps):+.3f}, standard error {error:.3f} | {late:.0f} | {broken or ''}"
        )


# -- all of it --------------------------------------------------------------------------------------------


def quantiles(values: list[float]) -> tuple[float, float, float]:
    ordered = sorted(values)
    return (
        statistics.median(ordered),
        ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)],
        ordered[-1],
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--sweep", action="store_true")
    parser.add_argument("--out", default="docs/results")
    arguments = parser.parse_args()
    quick, out = arguments.quick, Path(arguments.out)
    told: dict = {}
    if arguments.sweep:
        rows = sweep_days(quick)
        (out / "sweep.json").write_text(json.dumps(rows, indent=1))
        show_sweep(rows)
        return
    with ProcessPoolExecutor(max_workers=7) as pool:
        orders = [pool.submit(every_order, bounds) for bounds in SMALL[: 2 if quick else None]]
        told["schedules"] = list(pool.map(schedule, range(400 if quick else 3000), chunksize=10))
        jobs = [(ttl, seed) for ttl in (5.0, 15.0) for seed in range(50 if quick else 200)]
        told["crash"] = list(pool.map(crash, jobs, chunksize=10))
        told["load"] = list(pool.map(load, (0, 1, 10, 100)))
        told["orders"] = [order.result() for order in orders]
    with ProcessPoolExecutor(max_workers=5) as pool:
        rigs = [
            (seed, 3 if seed % 2 else 5, 1 if quick else 4) for seed in range(2 if quick else 5)
        ]
        told["processes"] = list(pool.map(processes, rigs))
    told["cpu"] = [held_at_once(many, 20.0) for many in (1, 100, 1000)]
    out.mkdir(parents=True, exist_ok=True)
    (out / "leases.json").write_text(json.dumps(told, indent=1))
    show(told)


def show(told: dict) -> None:
    good = [row for row in told["schedules"] if "settled" in row]
    print(
        f"schedules {len(told['schedules'])}, broken {[x for x in told['schedules'] if 'broken' in x]}"
    )
    settled = [f"{x:.2f}" for x in quantiles([row["settled"] for row in good])]
    print(f"held again after the last fault, s: median, p99, most: {settled}")
    for key in ("grants", "acts", "refused"):
        print(f"{key}: {sum(row[key] for row in good)}")
    print("\n| bounds | situations | with a holder | s | |\n| --- | --- | --- | --- | --- |")
    for row in told["orders"]:
        verdict = row.get("broken") or ("all tried" if row["whole"] else "unfinished")
        print(f"| {row['bounds']} | {row['states']:,} | {row['held']:,} | {row['s']} | {verdict} |")
    print("\n| time to live, s | plays | crash to the next act, s: median | p99 | most |")
    print("| --- | --- | --- | --- | --- |")
    for ttl in sorted({row["ttl"] for row in told["crash"]}):
        rows = [row["s"] for row in told["crash"] if row["ttl"] == ttl]
        print(
            f"| {ttl:g} | {len(rows)} | " + " | ".join(f"{x:.2f}" for x in quantiles(rows)) + " |"
        )
    for row in told["load"]:
        print(
            f"waiting {row['waiting']}: {row['letters_s']:.1f} letters, {row['bodies_s']:.1f} bodies a second"
        )
    print(
        "\n| rig | voters | schedules | acts | holders | refused | next act, s: median | most | faults |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in told["processes"]:
        middle, _, most = quantiles(row["next_act_s"])
        print(
            f"| {row['seed']} | {row['voters']} | {row['played']} | {row['acts']} | {row['holders']} | "
            f"{row['refused']} | {middle:.2f} | {most:.2f} | {row['faults'] or row.get('broken') or 'none'} |"
        )
    print("\n| leases held | holder, % of a core | voter | neither |\n| --- | --- | --- | --- |")
    for row in told["cpu"]:
        print(
            f"| {row['leases']} | {row['holder']:.1f} | {row['voter']:.1f} | {row['neither']:.1f} |"
        )


if __name__ == "__main__":
    main()
