"""Settings of the membership protocol; holds no state.

docs/membership.md lists each setting's key, unit, default and the effect of a wrong value.
"""

from dataclasses import dataclass

# The expected number of members that contact a suspect out of turn (Lifeguard, Buddy System).
SUSPECT_NOTIFIERS = 8


@dataclass(frozen=True)
class ProtocolSettings:
    """Intervals and timeouts in seconds, counts, and multipliers without a unit."""

    # The time between two probes by one member: SWIM's protocol period.
    probe_interval_seconds: float = 0.4
    # The time to wait for the ack of a direct probe before indirect probes are requested.
    probe_timeout_seconds: float = 0.2
    # The number of indirect probes that are requested: SWIM's k.
    indirect_probes: int = 3
    # The shortest suspicion, in probe intervals times the logarithm of the cluster's size.
    suspicion_multiplier: float = 3.0
    # The ratio of the longest to the shortest suspicion: Lifeguard's LHA-Suspicion.
    suspicion_max_multiplier: float = 6.0
    # The number of independent confirmations after which a suspicion has its shortest duration.
    suspicion_confirmations: int = 3
    # An update is sent this number times the logarithm of the cluster's size: SWIM's lambda.
    retransmit_multiplier: float = 4.0
    # The time between two digests to a random member.
    anti_entropy_interval_seconds: float = 5.0
    # The time between two digests to a seed at which no member is present, or to a dead member.
    reconnect_interval_seconds: float = 1.0
    # The time after the start in which the dispatcher count is at least the configured one.
    startup_hold_seconds: float = 10.0
    # The upper bound of the local health score; 0 switches LHA-Probe off.
    max_local_health_score: int = 8
    # The least time for which the record of a dead or left member is kept.
    tombstone_timeout_seconds: float = 86_400.0
    # The maximum number of names in the member list, and of workers with a maintenance record.
    max_members: int = 1_024
