"""Context that all parts of a member's protocol share: settings, random numbers, time, metrics.

Owned by the protocol and touched only under the driver's lock.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stepstream.membership.local_health import LocalHealth
from stepstream.membership.protocol_settings import ProtocolSettings


@dataclass(slots=True)
class ProtocolMetrics:
    """The protocol's counters since the start."""

    probes: int = 0
    failed_probes: int = 0
    refutations: int = 0
    stalls: int = 0
    anti_entropy_rounds: int = 0
    rejected_names: int = 0  # names of members or workers beyond `max_members`
    misdirected_pings: int = 0  # pings to this address for another member name


@dataclass(frozen=True, slots=True)
class DriverMetrics:
    """The driver's counters since the start; `cpu_seconds` is its thread's CPU time."""

    dropped_datagrams: int
    unsent_datagrams: int
    cpu_seconds: float


# Returns the greatest generation that a process started by now can have, by this machine's clock.
GenerationClock = Callable[[], int]


@dataclass(slots=True)
class ProtocolContext:
    """What the parts of the protocol share.

    `now` is the caller's monotonic time in seconds at the current datagram or tick. With
    `newest_generation`, a newly started member recognizes its successor in a hot restart; without
    it, it may take the successor for an earlier start (`record_precedence.classify_local_claim`).
    """

    settings: ProtocolSettings
    rng: random.Random
    now: float
    newest_generation: GenerationClock | None = None
    metrics: ProtocolMetrics = field(default_factory=ProtocolMetrics)
    local_health: LocalHealth = field(default_factory=LocalHealth)

    def worsen_local_health(self, points: int) -> None:
        """Add points to the local health score, up to the settings' maximum."""
        self.local_health.worsen(points, self.settings.max_local_health_score)
