"""The plan of an overload soak: which hostile clients meet a dispatcher of which size.

Equal seeds give equal plans. Sizes are MiB and bytes, times seconds.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from stepstream.lab.load.hostile_traffic import TRAFFIC_BY_KIND, Departure

# By memory_mb: the descriptors of such a machine.
DESCRIPTORS_BY_MEMORY_MB = {32: 256, 48: 256, 64: 512, 96: 512, 128: 1024, 192: 1024}
# Two idle processes of a hot restart do not fit into less.
MIN_HOT_RESTART_MEMORY_MB = 64
MAX_GROUPS = 4
# Of the descriptors: how many clients are connected at a time.
MIN_CLIENT_FRACTION = 0.3
MAX_CLIENT_FRACTION = 1.0
PIECE_SECONDS = (0.0, 0.0, 0.02, 0.05, 0.2)
PIECE_BYTES = (0, 0, 100, 1000, 8000)
HOT_RESTART_PROBABILITY = 0.2
PEER_DEPARTURES = (Departure.STAY, Departure.STAY, Departure.CLOSE, Departure.RESET)


class Carrier(StrEnum):
    """What hostile clients speak, and so to which listener."""

    HTTP = "http"
    GEARMAN = "gearman"
    TLS = "tls"  # HTTP over TLS


@dataclass(frozen=True, slots=True)
class HostileGroup:
    """One process of hostile clients."""

    kind: str  # a key of `hostile_traffic.TRAFFIC_BY_KIND`
    connections: int = 1
    departure: str = Departure.STAY
    piece_seconds: float = 0.0
    piece_bytes: int = 0  # 0: as the kind has them
    carrier: Carrier = Carrier.HTTP


@dataclass(frozen=True, slots=True)
class OverloadPlan:
    """What one seed plays."""

    memory_mb: int
    descriptors: int
    groups: tuple[HostileGroup, ...]
    has_hot_restart: bool = False

    @property
    def carriers(self) -> frozenset[Carrier]:
        """The carriers of all groups."""
        return frozenset(group.carrier for group in self.groups)


def kinds_of(carrier: Carrier) -> Sequence[str]:
    """Return the kinds of traffic that a carrier has, in a fixed order."""
    is_gearman = carrier is Carrier.GEARMAN
    return sorted(kind for kind in TRAFFIC_BY_KIND if kind.startswith("gearman") == is_gearman)


def generate_overload_plan(seed: int) -> OverloadPlan:
    """Draw the plan of a seed: a size, and one to `MAX_GROUPS` groups of clients on one carrier."""
    rng = random.Random(seed)
    memory_mb = rng.choice(sorted(DESCRIPTORS_BY_MEMORY_MB))
    descriptors = DESCRIPTORS_BY_MEMORY_MB[memory_mb]
    carrier = rng.choice((Carrier.HTTP, Carrier.HTTP, Carrier.GEARMAN, Carrier.TLS))
    clients = int(descriptors * rng.uniform(MIN_CLIENT_FRACTION, MAX_CLIENT_FRACTION))
    group_count = rng.randint(1, MAX_GROUPS)
    groups = tuple(
        HostileGroup(
            kind=rng.choice(kinds_of(carrier)),
            connections=max(clients // group_count, 1),
            departure=rng.choice(PEER_DEPARTURES),
            piece_seconds=rng.choice(PIECE_SECONDS),
            piece_bytes=rng.choice(PIECE_BYTES),
            carrier=carrier,
        )
        for _ in range(group_count)
    )
    may_restart = memory_mb >= MIN_HOT_RESTART_MEMORY_MB and carrier is Carrier.HTTP
    has_hot_restart = may_restart and rng.random() < HOT_RESTART_PROBABILITY
    return OverloadPlan(memory_mb, descriptors, groups, has_hot_restart)
