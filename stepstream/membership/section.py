"""The `[fleet]` section of the operator's file: validation and translation; holds no state.

The spelling of the section's keys is fixed, because operators' files use them. Only this module
translates them into the protocol's settings.
"""

import msgspec

from stepstream.config.errors import ConfigurationError
from stepstream.config.node_config import NodeConfig
from stepstream.config.operator_file import MembershipSection, OperatorConfig
from stepstream.membership.messages import MemberName
from stepstream.membership.protocol_settings import ProtocolSettings

MILLISECONDS_PER_SECOND = 1_000
KEYS_FIXED_UNTIL_RESTART = (
    "fleet.listen",
    "fleet.advertise",
    "fleet.cluster",
    "fleet.share_maintenance",
    "fleet.follow_size",
)


def section_of(operator: OperatorConfig | None) -> MembershipSection:
    """Return the `[fleet]` section; raise `ConfigurationError` if there is none."""
    if operator is None or operator.fleet is None:
        raise ConfigurationError("fleet: the operator's file has no [fleet]")
    return operator.fleet


def protocol_settings(section: MembershipSection) -> ProtocolSettings:
    """Translate the section's keys into the protocol's settings."""
    return ProtocolSettings(
        probe_interval_seconds=section.period_ms / MILLISECONDS_PER_SECOND,
        probe_timeout_seconds=section.timeout_ms / MILLISECONDS_PER_SECOND,
        indirect_probes=section.helpers,
        suspicion_multiplier=section.suspicion,
        suspicion_max_multiplier=section.slack,
        suspicion_confirmations=section.confirmations,
        retransmit_multiplier=section.gossip,
        anti_entropy_interval_seconds=section.sync_ms / MILLISECONDS_PER_SECOND,
        reconnect_interval_seconds=section.reach_ms / MILLISECONDS_PER_SECOND,
        startup_hold_seconds=section.young_s,
        max_local_health_score=section.health,
        tombstone_timeout_seconds=section.forget_s,
        max_members=section.most,
    )


def validate_section(section: MembershipSection, config: NodeConfig) -> None:
    """Check what the section's types cannot check.

    Raise `ConfigurationError`, which names the invalid key.
    """
    try:
        msgspec.convert(config.name, MemberName)
    except msgspec.ValidationError as error:
        raise ConfigurationError(
            f"name={config.name} cannot be a member's: letters, digits, . _ - only"
        ) from error
    if (section.advertise or section.listen).startswith("0.0.0.0:"):
        raise ConfigurationError("fleet.advertise: 0.0.0.0 is no address that others can reach")
    if section.timeout_ms >= section.period_ms:
        raise ConfigurationError(f"fleet.timeout_ms={section.timeout_ms} must be under period_ms")
    if section.share_maintenance and config.operator is None:
        raise ConfigurationError(
            "fleet.share_maintenance needs `operator`, the admin listener's address"
        )
