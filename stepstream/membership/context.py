"""What all parts of one member's protocol share: settings, random numbers, time and metrics.

Owned by the protocol and touched only under the driver's lock.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.membership.local_health import LocalHealth
from stepstream.membership.protocol_settings import ProtocolSettings


@dataclass(slots=True)
class ProtocolMetrics:
    """Counters since the start."""

    probes: int = 0
    failed_probes: int = 0
    refutations: int = 0
    stalls: int = 0
    anti_entropy_rounds: int = 0
    rejected_names: int = 0  # beyond `max_members`
    misdirected_pings: int = 0  # meant for another name at this address


@dataclass(frozen=True, slots=True)
class DriverMetrics:
    """The driver's counters since the start; `cpu_seconds` is the time that its thread has used."""

    dropped_datagrams: int
    unsent_datagrams: int
    cpu_seconds: float


# Returns the generation of a process that would start now, by this machine's clock.
GenerationClock = Callable[[], int]


@dataclass(slots=True)
class ProtocolContext:
    """`now` is the caller's monotonic time in seconds at the current datagram or tick.

    With `newest_generation` the successor in a hot restart is recognized from the start on.
    """

    settings: ProtocolSettings
    rng: random.Random
    now: float
    newest_generation: GenerationClock | None = None
    metrics: ProtocolMetrics = field(default_factory=ProtocolMetrics)
    local_health: LocalHealth = field(default_factory=LocalHealth)

    def worsen_local_health(self, points: int) -> None:
        """Add points to the local health score, within the settings' bound."""
        self.local_health.worsen(points, self.settings.max_local_health_score)
