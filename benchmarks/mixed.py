"""The same seeded load as HTTP only, Gearman only and mixed, side by side, on the lab's fleet.

Usage:
  mixed.py [--seeds N] [--seconds N] [--loads LIST] [--out FILE]

Options:
  --seeds N     Seeds 1 to N [default: 5].
  --seconds N   Of load in each run [default: 25].
  --loads LIST  Work asked for over what the fleet can do, with commas [default: 0.55,0.8].
  --out FILE    Write the tables there, as Markdown; else print them.

The three runs of a seed are played at the same time, so that a noisy machine meets all three. HTTP only runs
the dispatcher as the platform does, without the operator's file.
"""

import asyncio
from dataclasses import dataclass
from statistics import mean

import msgspec
from docopt import docopt

from stepstream.lab.load.site import draw_scenario, read_site
from stepstream.lab.processes.load_test import LoadTest, Result

MIXES = ("http", "gearman", "mixed")
LATE_MS = 100.0


@dataclass
class Row:
    load: float
    seed: int
    jobs: int
    results: dict[str, Result]


async def play(seed: int, seconds: int, load: float, mix: str) -> tuple[int, Result]:
    site = msgspec.structs.replace(read_site(), load=load)
    day = draw_scenario(site, seed, seconds, mix)
    rig = LoadTest(day, seed, with_gearman=mix != "http")
    try:
        await rig.start()
        return len(day.asks), await rig.play()
    finally:
        await rig.stop()


def played(seed: int, seconds: int, load: float, mix: str) -> tuple[int, Result]:
    return asyncio.run(play(seed, seconds, load, mix))


async def seed_of(seed: int, seconds: int, load: float) -> Row:
    """Each run in a process of its own: three event loops in one would slow each other."""
    from concurrent.futures import ProcessPoolExecutor

    loop = asyncio.get_running_loop()
    with ProcessPoolExecutor(len(MIXES)) as pool:
        runs = [loop.run_in_executor(pool, played, seed, seconds, load, mix) for mix in MIXES]
        found = await asyncio.gather(*runs)
    return Row(
        load,
        seed,
        found[0][0],
        {mix: result for mix, (_, result) in zip(MIXES, found, strict=True)},
    )


def table(rows: list[Row]) -> list[str]:
    lines = [
        "| seed | jobs | HTTP | Gearman | mixed | mixed less HTTP | broken rules | lab late, ms |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        score = {mix: row.results[mix].figures.score for mix in MIXES}
        broken = sum(len(row.results[mix].figures.breaches) for mix in MIXES)
        late = max(row.results[mix].late_ms for mix in MIXES)
        scores = " | ".join(f"{score[mix]:.3f}" for mix in MIXES)
        less = score["mixed"] - score["http"]
        lines.append(
            f"| {row.seed} | {row.jobs} | {scores} | {less:+.3f} | {broken} | {late:.0f} |"
        )
    means = [mean(row.results[mix].figures.score for row in rows) for mix in MIXES]
    less = [row.results["mixed"].figures.score - row.results["http"].figures.score for row in rows]
    scores = " | ".join(f"{m:.3f}" for m in means)
    lines.append(
        f"| mean | | {scores} | {mean(less):+.3f} ({min(less):+.3f} to {max(less):+.3f}) | | |"
    )
    return lines


def costs(rows: list[Row]) -> list[str]:
    lines = [
        "| mix | CPU a job, us: mean (least to most) | against HTTP | resident, MB |",
        "| --- | --- | --- | --- |",
    ]
    cpu = {mix: [1e6 * row.results[mix].cost.cpu_s / row.jobs for row in rows] for mix in MIXES}
    for mix in MIXES:
        ratio = mean(a / b for a, b in zip(cpu[mix], cpu["http"], strict=True))
        memory = max(row.results[mix].cost.rss_mb for row in rows)
        spread = f"{mean(cpu[mix]):.0f} ({min(cpu[mix]):.0f} to {max(cpu[mix]):.0f})"
        lines.append(f"| {mix} | {spread} | {ratio:.2f} | {memory:.0f} |")
    return lines


def report(rows: list[Row]) -> str:
    parts = []
    for load in dict.fromkeys(row.load for row in rows):
        mine = [row for row in rows if row.load == load]
        parts += [f"Load {load}:", "", *table(mine), "", *costs(mine), ""]
        breaches = [
            f"- seed {row.seed}, {mix}: {breach}"
            for row in mine
            for mix in MIXES
            for breach in row.results[mix].figures.breaches
        ]
        parts += [*breaches, ""] if breaches else []
    return "\n".join(parts)


def main() -> None:
    arguments = docopt(__doc__)
    seeds, seconds = int(arguments["--seeds"]), int(arguments["--seconds"])
    loads = [float(load) for load in arguments["--loads"].split(",")]
    rows = [
        asyncio.run(seed_of(seed, seconds, load)) for load in loads for seed in range(1, seeds + 1)
    ]
    text = report(rows)
    if arguments["--out"]:
        with open(arguments["--out"], "w", encoding="utf-8") as file:
            file.write(text)
    print(text)


if __name__ == "__main__":
    main()
