"""Run one dispatcher among hostile clients per seed, and print what broke.

Usage:
  overload_soak [options]

Options:
  --seed N           The first seed [default: 1].
  --seeds N          How many seeds, in order [default: 1].
  --seconds N        Length of the load of each run [default: 60].
  --rest N           Time after it, in which memory is given back [default: 10].
  --keep DIR         Folder for the logs and samples of runs with breaches [default: found].
  --kind KIND        Play one kind of clients alone, over its own carrier, in place of seeds.
  --memory N         `memory_mb` for it, one of 32, 48, 64, 96, 128 and 192 [default: 32].
  --connections N    Its clients at a time; 0 for as many as descriptors [default: 0].
  --piece-seconds N  Its pause after each piece [default: 0].
  --piece-bytes N    The size of its pieces; 0 for whole ones [default: 0].

Run it as `python -m stepstream.lab.reports.overload_soak`. The same seed repeats the plan; the
timing on the machine differs. Exit code 1 if a run broke a bound (`lab.verification
.overload_bounds`).
"""

import shutil
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from stepstream.lab.faults.overload_plan import (
    DESCRIPTORS_BY_MEMORY_MB,
    Carrier,
    HostileGroup,
    OverloadPlan,
    generate_overload_plan,
)
from stepstream.lab.processes.configuration_files import render_gearman_section
from stepstream.lab.processes.overload_run import OverloadFigures, OverloadSetup, play
from stepstream.lab.verification.overload_bounds import (
    answer_breaches,
    memory_breaches,
    retention_breaches,
)

SOUND_CLIENTS = 6
TENANT = "hron-asset"
SAMPLES_FILE = "memory.csv"


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The outcome of one plan."""

    plan: OverloadPlan
    figures: OverloadFigures
    breaches: tuple[str, ...]  # all of them

    @property
    def breaches_under_load(self) -> tuple[str, ...]:
        """The breaches but for what stayed after the clients had gone."""
        retained = retention_breaches(self.figures.memory)
        return tuple(breach for breach in self.breaches if breach not in retained)


def setup_of(plan: OverloadPlan, seconds: float, rest_seconds: float) -> OverloadSetup:
    """Return what a plan plays."""
    has_gearman = Carrier.GEARMAN in plan.carriers
    return OverloadSetup(
        plan.groups,
        plan.memory_mb,
        plan.descriptors,
        seconds,
        rest_seconds,
        client_count=SOUND_CLIENTS,
        operator_sections=(
            render_gearman_section("{host}:{gearman_port}", TENANT) if has_gearman else ""
        ),
        is_tls=Carrier.TLS in plan.carriers,
        has_hot_restart=plan.has_hot_restart,
    )


def play_plan(plan: OverloadPlan, seconds: float, rest_seconds: float, keep: Path) -> SoakResult:
    """Play a plan; keep the folder of a run with breaches."""
    folder = Path(tempfile.mkdtemp(prefix="overload-"))
    try:
        figures = play(setup_of(plan, seconds, rest_seconds), folder)
        breaches = breaches_of(plan, figures)
        if breaches:
            write_samples(figures, folder / SAMPLES_FILE)
            keep.mkdir(parents=True, exist_ok=True)
            shutil.copytree(folder, keep / folder.name)
    finally:
        shutil.rmtree(folder)
    return SoakResult(plan, figures, tuple(breaches))


def breaches_of(plan: OverloadPlan, figures: OverloadFigures) -> Sequence[str]:
    """Return every bound that a run broke."""
    breaches = [
        *memory_breaches(figures.memory, plan.memory_mb),
        *retention_breaches(figures.memory),
        *answer_breaches(
            figures.outcomes, figures.slowest_seconds, has_hot_restart=plan.has_hot_restart
        ),
    ]
    if figures.exit_status is not None:
        breaches.append(f"the process ended with {figures.exit_status}")
    if "internal_fault" in figures.log:
        breaches.append("internal_fault in the log")
    return breaches


def write_samples(figures: OverloadFigures, path: Path) -> None:
    """Write the memory over time as comma-separated values."""
    start = figures.memory.load_began_at_seconds
    lines = ["seconds,resident_mb,files_mb"]
    lines += [
        f"{one.at_seconds - start:.2f},{one.resident_mb:.2f},{one.files_mb:.2f}"
        for one in figures.memory.samples
    ]
    path.write_text("\n".join(lines) + "\n")


def describe(plan: OverloadPlan) -> str:
    """Return a plan in a few words."""
    groups = [
        f"{group.connections} {group.carrier}/{group.kind} ({group.departure},"
        f" {group.piece_bytes} bytes each {group.piece_seconds} s)"
        for group in plan.groups
    ]
    restart = ", a hot restart" if plan.has_hot_restart else ""
    return f"{plan.memory_mb} MB, {plan.descriptors} descriptors{restart}: {'; '.join(groups)}"


def print_result(name: str, result: SoakResult) -> None:
    """Print a line about a run, and one for each breach."""
    figures = result.figures
    memory = figures.memory
    print(
        f"{name}: idle {memory.idle_mb:.1f}, peak {memory.peak_mb:.1f},"
        f" growth in the last third {memory.growth_in_last_third_mb:.1f},"
        f" left {memory.remaining_mb:.1f} MB; served {figures.served_fraction:.1%},"
        f" slowest {figures.slowest_seconds:.2f} s, {len(result.breaches)} breaches;"
        f" {describe(result.plan)}",
        flush=True,
    )
    for breach in result.breaches:
        print(f"  {breach}", flush=True)


def main(command_line: list[str] | None = None) -> int:
    """Play each plan; return 1 if a run broke a bound."""
    arguments = docopt(__doc__ or "", command_line)
    seconds = float(arguments["--seconds"])
    rest_seconds = float(arguments["--rest"])
    runs_with_breaches = 0
    for name, plan in plans_of(arguments):
        result = play_plan(plan, seconds, rest_seconds, Path(arguments["--keep"]))
        print_result(name, result)
        runs_with_breaches += bool(result.breaches)
    return 1 if runs_with_breaches else 0


def plans_of(arguments: dict[str, str]) -> Sequence[tuple[str, OverloadPlan]]:
    """Return the plans that the command line asks for, each with its name."""
    kind = arguments["--kind"]
    if kind:
        return [(kind, plan_of_kind(kind, arguments))]
    first_seed, seed_count = int(arguments["--seed"]), int(arguments["--seeds"])
    return [
        (f"seed {seed}", generate_overload_plan(seed))
        for seed in range(first_seed, first_seed + seed_count)
    ]


def plan_of_kind(kind: str, arguments: dict[str, str]) -> OverloadPlan:
    """Return a plan of one kind of clients."""
    memory_mb = int(arguments["--memory"])
    descriptors = DESCRIPTORS_BY_MEMORY_MB[memory_mb]
    carrier = Carrier.GEARMAN if kind.startswith("gearman") else Carrier.HTTP
    group = HostileGroup(
        kind,
        int(arguments["--connections"]) or descriptors,
        piece_seconds=float(arguments["--piece-seconds"]),
        piece_bytes=int(arguments["--piece-bytes"]),
        carrier=carrier,
    )
    return OverloadPlan(memory_mb, descriptors, (group,))


if __name__ == "__main__":
    sys.exit(main())
