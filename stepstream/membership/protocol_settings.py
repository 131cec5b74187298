"""Settings of the membership protocol; they hold no state.

docs/fleet.md has each one's key, unit and default, and what a wrong value does.
"""

from dataclasses import dataclass

# Members that notify a suspect in one probe interval, and that probe it next themselves.
SUSPECT_NOTIFIERS = 8


@dataclass(frozen=True)
class ProtocolSettings:
    """Intervals and timeouts in seconds, counts, and multipliers without a unit."""

    # Between two probes by one member: SWIM's protocol period.
    probe_interval_seconds: float = 0.4
    # Of a direct probe, before helpers are asked for indirect ones.
    probe_timeout_seconds: float = 0.2
    # Helpers that are asked for an indirect probe: SWIM's k.
    indirect_probes: int = 3
    # Shortest suspicion, in probe intervals times the logarithm of the cluster's size.
    suspicion_multiplier: float = 3.0
    # Longest suspicion over the shortest: Lifeguard's LHA-Suspicion.
    suspicion_max_multiplier: float = 6.0
    # Independent confirmations that make a suspicion shortest.
    suspicion_confirmations: int = 3
    # Transmissions of one update, times the logarithm of the cluster's size: SWIM's lambda.
    retransmit_multiplier: float = 4.0
    # Between two digests to a random member.
    anti_entropy_interval_seconds: float = 5.0
    # Between two digests to a seed without a present member, or to a dead member.
    reconnect_interval_seconds: float = 1.0
    # After the start, for which the configured cluster size is the least that counts.
    startup_hold_seconds: float = 10.0
    # Upper bound of the local health score; 0 switches Lifeguard's part off.
    max_local_health_score: int = 8
    # For which the record of a dead or left member is kept at least.
    tombstone_timeout_seconds: float = 86_400.0
    # Names in the member list, and workers with a maintenance record.
    max_members: int = 1_024
