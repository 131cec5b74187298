"""Draw what each member of a cluster observed of each other over time, with the faults marked."""

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from stepstream.lab.faults.schedule import Fault, FaultKind, Schedule
from stepstream.lab.reports.invariant_monitor import OBSERVATION_INTERVAL_SECONDS, Observation

if TYPE_CHECKING:
    from matplotlib.axes import Axes

STATE_COLOURS = {
    "alive": "#7fbf7b",
    "suspect": "#fee08b",
    "dead": "#d73027",
    "left": "#bdbdbd",
    "superseded": "#9970ab",
}
FAULT_COLOUR = "#4575b4"
FAULT_OPACITY = 0.12
FAULT_LABEL_CHARACTERS = 24
FAULT_LABEL_LINE = -1.5  # above the first line
WIDTH_INCHES = 11
LINE_HEIGHT_INCHES = 0.09
MARGIN_HEIGHT_INCHES = 1.5
MIN_HEIGHT_INCHES = 3.0
MAX_HEIGHT_INCHES = 40
DOTS_PER_INCH = 110
X_LABEL = "seconds; one band per observer, one line in it per member, first name on top"


def describe(fault: Fault) -> str:
    """Return a fault's kind, size and members on one line."""
    size = f" {fault.loss_fraction:.0%}" if fault.kind is FaultKind.LOSS else ""
    return f"{fault.kind}{size} {' '.join(fault.members)}".strip()


def write_chart(observations: Sequence[Observation], schedule: Schedule, path: Path) -> None:
    """Write the chart as a PNG file: a band per observer, and in it a line per member."""
    # Imported here because the import is slow, and a run without `--out` does not need the package.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot
    from matplotlib.patches import Patch

    observers = sorted({observation.observer for observation in observations})
    names = sorted({observation.name for observation in observations})
    height_inches = len(observers) * len(names) * LINE_HEIGHT_INCHES + MARGIN_HEIGHT_INCHES
    height_inches = min(max(height_inches, MIN_HEIGHT_INCHES), MAX_HEIGHT_INCHES)
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height_inches))
    add_observations(axes, observations, observers, names)
    add_faults(axes, schedule)
    axes.set_xlabel(X_LABEL)
    axes.invert_yaxis()
    legend = [Patch(color=colour, label=state) for state, colour in STATE_COLOURS.items()]
    axes.legend(handles=legend, loc="lower right", fontsize=7)
    figure.tight_layout()
    figure.savefig(str(path), dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def add_observations(
    axes: "Axes", observations: Sequence[Observation], observers: list[str], names: list[str]
) -> None:
    """Draw a bar for each observation, and label the observers' bands."""
    lines_per_band = len(names) + 1
    for observation in observations:
        band = observers.index(observation.observer)
        duration_seconds = observation.ended_at_seconds - observation.begun_at_seconds
        axes.barh(
            band * lines_per_band + names.index(observation.name),
            max(duration_seconds, OBSERVATION_INTERVAL_SECONDS),
            left=observation.begun_at_seconds,
            height=1.0,
            color=STATE_COLOURS.get(observation.state, "black"),
        )
    band_centres = [band * lines_per_band + len(names) / 2 for band in range(len(observers))]
    axes.set_yticks(band_centres, observers)


def add_faults(axes: "Axes", schedule: Schedule) -> None:
    """Shade the time of each fault, and label the fault."""
    for fault in schedule.faults:
        duration_seconds = max(fault.duration_seconds, OBSERVATION_INTERVAL_SECONDS)
        axes.axvspan(
            fault.begin_seconds,
            fault.begin_seconds + duration_seconds,
            color=FAULT_COLOUR,
            alpha=FAULT_OPACITY,
        )
        label = describe(fault)[:FAULT_LABEL_CHARACTERS]
        axes.text(
            fault.begin_seconds, FAULT_LABEL_LINE, label, rotation=60, fontsize=6, va="bottom"
        )
