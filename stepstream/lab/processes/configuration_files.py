"""The content of a dispatcher's configuration files: the platform's JSON, the operator's TOML.

The keys are those that `stepstream serve` reads, so their spelling is fixed.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NotRequired, TypedDict

import ujson


class NodeConfiguration(TypedDict):
    """The platform's file; the environment variable EDGE_CONFIG holds its path."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    operator: NotRequired[str]  # address of the admin listener
    seed: NotRequired[str]  # hexadecimal
    limits: NotRequired[dict[str, float]]
    known: NotRequired[dict[str, Any]]  # the endpoint list that the dispatcher starts with


@dataclass(frozen=True)
class FleetSection:
    """Section `[fleet]` of the operator's file; `further_lines` are added unchanged."""

    listen: str
    seeds: Sequence[str]
    cluster: str
    advertise: str | None = None
    further_lines: str = ""

    def render(self) -> str:
        """Return the section as TOML."""
        # A JSON list of strings is valid TOML, as long as slashes are not escaped.
        seeds = ujson.dumps(list(self.seeds), escape_forward_slashes=False)
        lines = [
            "[fleet]",
            f'listen = "{self.listen}"',
            f"seeds = {seeds}",
            f'cluster = "{self.cluster}"',
        ]
        if self.advertise is not None:
            lines.append(f'advertise = "{self.advertise}"')
        return "\n".join([*lines, self.further_lines, ""])


def render_gearman_section(listen: str, tenant: str) -> str:
    """Return section `[gearman]` of the operator's file as TOML."""
    return f'[gearman]\nlisten = "{listen}"\ntenant = "{tenant}"\n'
