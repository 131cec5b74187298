"""The fleet's view, measured: `python benchmarks/fleet.py [--quick] [--out DIR]`, from the root.

Simulated: times to know of a crash and to settle after a healed cut, wrong deaths, load by size, drawn
schedules, the search in every order. Processes: twenty dispatchers, the CPU that they use when calm, a
crash, a cut, a ban. Tables to standard output as Markdown, figures as JSON and a chart in DIR.
"""

import argparse
import json
import os
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from stepstream.lab.faults.schedule import draw
from stepstream.lab.processes.dispatcher_cluster import Dispatcher, DispatcherCluster
from stepstream.lab.search.membership_search import Search
from stepstream.lab.simulation.membership_cluster import InvariantError, MembershipCluster
from stepstream.membership.messages import MemberState
from stepstream.membership.protocol_settings import ProtocolSettings

DEFAULT_SETTINGS = ProtocolSettings()
# Lifeguard's parts off: one fixed suspicion
SWIM = {
    "max_local_health_score": 0,
    "suspicion_confirmations": 0,
    "suspicion_max_multiplier": 1.0,
}


def joined(
    seed: int, members: int, times: ProtocolSettings = DEFAULT_SETTINGS
) -> MembershipCluster:
    world = MembershipCluster(seed, members, times)
    world.start_all()
    if not world.run(120.0, world.agreed):
        raise InvariantError(f"{members} members, seed {seed}: not joined")
    return world


def crash_and_cut(job: tuple[int, int]) -> dict:
    members, seed = job
    world = joined(seed, members)
    world.run(3.0 + seed % 7 * 0.13)
    sent, size = world.sent, world.bytes
    world.run(10.0)
    load = (world.sent - sent) / members / 10, (world.bytes - size) / members / 10
    begun = world.now
    world.crash("n1")
    world.run(60.0, lambda: world.known("n1", (MemberState.DEAD,)))
    known = world.now - begun
    world.start("n1")
    world.run(30.0, world.agreed)
    half = [f"n{k}" for k in range(members // 2)]
    world.links.cut(half, [n for n in world.names if n not in half])
    world.run(20.0)
    world.links.heal()
    begun = world.now
    if not world.run(120.0, world.agreed):
        raise InvariantError(f"{members} members, seed {seed}: not healed")
    return {
        "members": members,
        "known": known,
        "healed": world.now - begun,
        "sent": load[0],
        "bytes": load[1],
    }


def wrong_deaths(job: tuple[str, float, bool, int, float]) -> dict:
    """Members held dead while they run, by others that do not stand still, for each member and hour."""
    which, loss, stalled, seed, seconds = job
    times = ProtocolSettings(**SWIM) if which == "SWIM" else ProtocolSettings()
    world = joined(seed, 20, times)
    world.links.loss = loss
    begun = len(world.deaths)
    for _ in range(int(seconds)):
        if stalled:
            world.stall("n0", world.draw.uniform(0.2, 0.9))
        world.run(1.0)
    wrong = {(name, round(at / 10)) for at, _, name, runs in world.deaths[begun:] if runs}
    others = [name for name, _ in wrong if not (stalled and name == "n0")]
    hours = seconds / 3600
    return {
        "which": which,
        "loss": loss,
        "stalled": stalled,
        "wrong": len(others) / 20 / hours,
        "of the stalled": sum(1 for name, _ in wrong if stalled and name == "n0") / hours,
    }


def schedule(job: tuple[int, int, float]) -> dict:
    members, seed, seconds = job
    world = MembershipCluster(seed, members, ProtocolSettings())
    world.links.doubled = world.links.late = 0.05
    world.start_all()
    world.run(3.0)
    try:
        return {
            "members": members,
            "seed": seed,
            "settled": world.play(draw(seed, world.names, seconds), 60.0),
        }
    except InvariantError as error:
        return {"members": members, "seed": seed, "broken": str(error)}


def quantiles(values: list[float]) -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.1f} | {ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]:.1f}"


# -- processes --------------------------------------------------------------------------------------------


def cpu(pid: int) -> float:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def thread(member: Dispatcher) -> float:
    """CPU seconds of its fleet thread."""
    return member.fleet()["counts"]["cpu_s"]


LISTED = {
    "version": 3,
    "full": True,
    "servers": [{"id": "s-1", "addr": "127.0.0.1:9", "state": "ready"}],
}


def twenty(seconds: float) -> dict:
    """Real processes: CPU when calm, a crash, a cut in halves, an operator's word on each side of it."""
    told: dict = {}
    with DispatcherCluster(20, 1) as rig:
        everyone = set(rig.members)
        told["joined_s"] = rig.wait_for(lambda: rig.agreed(everyone), 60.0, "one view")
        time.sleep(5.0)
        before = {name: (cpu(x.process.pid), thread(x)) for name, x in rig.members.items()}
        time.sleep(seconds)
        after = {name: (cpu(x.process.pid), thread(x)) for name, x in rig.members.items()}
        for k, what in enumerate(("process", "fleet_thread")):
            used = [after[name][k] - before[name][k] for name in everyone]
            told[f"{what}_cpu_percent"] = statistics.median(used) / seconds * 100
        begun = time.monotonic()
        rig.kill("n3")
        rest = everyone - {"n3"}
        rig.wait_for(lambda: rig.held(rest, "n3", "dead"), 60.0, "the death")
        told["crash_known_s"] = time.monotonic() - begun
        rig.members["n3"].known = LISTED
        rig.start(["n3"])
        rig.wait_for(lambda: rig.agreed(everyone), 60.0, "the return")
        half = {f"n{k}" for k in range(10)}
        rig.cut(half, everyone - half)
        time.sleep(20.0)
        begun = time.monotonic()
        rig.members["n3"].call("/workers/s-1/maint", "PUT")
        rig.wait_for(lambda: all(bans(rig, n) for n in half), 60.0, "the ban on its side")
        told["ban_on_its_side_s"] = time.monotonic() - begun
        begun = time.monotonic()
        rig.heal()
        rig.wait_for(lambda: all(bans(rig, n) for n in everyone), 60.0, "the ban everywhere")
        told["ban_everywhere_after_heal_s"] = time.monotonic() - begun
        told["healed_s"] = told["ban_everywhere_after_heal_s"] + rig.wait_for(
            lambda: rig.agreed(everyone), 60.0, "the healing"
        )
        begun = time.monotonic()
        rig.members["n3"].call("/workers/s-1/ready", "PUT")
        rig.wait_for(
            lambda: not any(bans(rig, n) for n in everyone), 60.0, "the return of the worker"
        )
        told["word_everywhere_s"] = time.monotonic() - begun
        number = rig.members["n5"].fleet()["number"]
        rig.freeze("n5")
        time.sleep(60.0)
        rig.thaw("n5")
        begun = time.monotonic()
        rig.wait_for(lambda: rig.agreed(everyone), 60.0, "the return of one that stood still")
        told["settled_after_60s_stop_s"] = time.monotonic() - begun
        said = rig.members["n5"].call(f"/fleet/changes?after={number}")[1]["changes"]
        told["held_dead_by_it"] = sum(x["after"] == "dead" and x["name"] != "n5" for x in said)
    return told


def bans(rig: DispatcherCluster, name: str) -> bool:
    told = rig.members[name].fleet()
    return bool(told) and any(word["out"] for word in told["words"])


# -- all of it --------------------------------------------------------------------------------------------


def chart(rows: list[dict], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = sorted({row["members"] for row in rows})
    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for key, label in (("known", "crash known to all"), ("healed", "healed cut settled")):
        axes[0].boxplot(
            [[row[key] for row in rows if row["members"] == size] for size in sizes],
            positions=[k + (0.2 if key == "healed" else -0.2) for k in range(len(sizes))],
            widths=0.3,
            label=label,
            patch_artist=True,
            boxprops={"facecolor": "#fdae61" if key == "healed" else "#abd9e9"},
        )
    axes[0].set_xticks(range(len(sizes)), sizes)
    axes[0].set_xlabel("members")
    axes[0].set_ylabel("seconds")
    axes[0].legend(fontsize=8)
    means = [
        statistics.mean(row["bytes"] for row in rows if row["members"] == size) for size in sizes
    ]
    axes[1].plot(sizes, means, marker="o")
    axes[1].set_xscale("log")
    axes[1].set_ylim(0)
    axes[1].set_xlabel("members")
    axes[1].set_ylabel("bytes a member and second, calm")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def spread(pool: ProcessPoolExecutor, step: Callable, jobs: list) -> list[dict]:
    return list(pool.map(step, jobs))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", default="docs/results")
    parser.add_argument("--no-processes", action="store_true")
    arguments = parser.parse_args()
    quick, out = arguments.quick, Path(arguments.out)
    out.mkdir(parents=True, exist_ok=True)
    plays = {5: 60, 20: 60, 50: 24, 200: 4} if quick else {5: 200, 20: 200, 50: 60, 200: 8, 1000: 2}
    told: dict = {}
    with ProcessPoolExecutor(max_workers=6) as pool:
        told["sizes"] = spread(
            pool, crash_and_cut, [(n, seed) for n, k in plays.items() for seed in range(k)]
        )
        seconds = 600.0 if quick else 1800.0
        told["wrong"] = spread(
            pool,
            wrong_deaths,
            [
                (which, loss, stalled, 1, seconds)
                for which in ("Lifeguard", "SWIM")
                for loss, stalled in ((0.0, False), (0.1, False), (0.3, False), (0.0, True))
            ],
        )
        jobs = [(5, seed, 25.0) for seed in range(900)] + [(20, seed, 25.0) for seed in range(100)]
        told["schedules"] = spread(pool, schedule, jobs)
    begun, search = time.monotonic(), Search(depth=5)
    search.run()
    told["search"] = {"depth": 5, "states": search.states, "settled": search.settled}
    told["search"]["s"] = round(time.monotonic() - begun, 1)
    if not arguments.no_processes:
        told["twenty"] = twenty(20.0)
    (out / "fleet.json").write_text(json.dumps(told, indent=1))
    chart(told["sizes"], out / "fleet.png")
    show(told, plays)


def show(told: dict, plays: dict[int, int]) -> None:
    print(
        "| members | plays | crash known, s: median | p99 | healed, s: median | p99 | datagrams | bytes |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size, count in plays.items():
        rows = [row for row in told["sizes"] if row["members"] == size]
        sent, size_b = (statistics.mean(row[key] for row in rows) for key in ("sent", "bytes"))
        known, healed = ([row[key] for row in rows] for key in ("known", "healed"))
        print(
            f"| {size} | {count} | {quantiles(known)} | {quantiles(healed)} | {sent:.1f} | {size_b:.0f} |"
        )
    print("\n| | loss | one stalls | wrong deaths a member and hour | of the stalled one an hour |")
    print("| --- | --- | --- | --- | --- |")
    for row in told["wrong"]:
        stalled = f"{row['of the stalled']:.1f}" if row["stalled"] else "-"
        print(
            f"| {row['which']} | {row['loss']:.0%} | {row['stalled']} | {row['wrong']:.2f} | {stalled} |"
        )
    good = [row["settled"] for row in told["schedules"] if "settled" in row]
    broken = [row for row in told["schedules"] if "broken" in row]
    print(f"\nschedules: {len(told['schedules'])}, broken {len(broken)}, settled {quantiles(good)}")
    for row in broken[:10]:
        print(f"  {row}")
    print(f"search: {told['search']}\ntwenty processes: {told.get('twenty')}")


if __name__ == "__main__":
    main()
