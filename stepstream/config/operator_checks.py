"""Checks of the operator's file that need more than one value.

They compare sections with the deployment's settings and with each other. Each check raises
`ConfigurationError`, which names the key; it does not change what it checks.
"""

from stepstream.config.errors import ConfigurationError
from stepstream.config.fields import MAX_PORT
from stepstream.config.operator_sections import (
    PROBE_SWEEP_LEASE_SECONDS,
    CallerSection,
    GearmanSection,
    IdentitySection,
    LeasesSection,
    MembershipSection,
    OperatorConfig,
)
from stepstream.model.settings import Settings

WILDCARD = "*"  # stands for every tenant or class in the rights of a caller
# A lease must last for several rounds to the voters: its holder renews it before its end, and some
# of the rounds may be lost.
MIN_TIMEOUTS_PER_LEASE = 4
MILLISECONDS_PER_SECOND = 1000


def check_operator_config(operator: OperatorConfig, settings: Settings) -> None:
    """Check every section that the file has."""
    if operator.gearman is not None:
        check_gearman(operator.gearman, settings)
    if operator.fleet is not None:
        check_membership(operator.fleet)
    if operator.leases is not None:
        check_leases(operator.leases, operator)
    if operator.identity is not None:
        check_identity(operator.identity, operator, settings)


def check_gearman(gearman: GearmanSection, settings: Settings) -> None:
    """Check `[gearman]`: its names are in the settings, and its port is in range."""
    check_name("gearman.tenant", gearman.tenant, settings.tenants)
    check_name("gearman.worker.zone", gearman.worker.zone, settings.zones)
    check_name("gearman.worker.kind", gearman.worker.kind, settings.worker_kinds)
    check_port("gearman.listen", gearman.listen)


def check_membership(membership: MembershipSection) -> None:
    """Check `[fleet]`: every port is in range."""
    check_port("fleet.listen", membership.listen)
    if membership.advertise is not None:
        check_port("fleet.advertise", membership.advertise)
    for position, seed in enumerate(membership.seeds):
        check_port(f"fleet.seeds[{position}]", seed)


def check_leases(leases: LeasesSection, operator: OperatorConfig) -> None:
    """Check `[leases]`: the file has `[fleet]`, voters are distinct, times are long enough."""
    if operator.fleet is None:
        raise ConfigurationError("leases needs [fleet]: its members carry the messages")
    check_distinct("leases.voters", leases.voters)
    check_distinct("leases.old_voters", leases.old_voters)
    if leases.probe_sweep and leases.longest_s < PROBE_SWEEP_LEASE_SECONDS:
        raise ConfigurationError(
            f"leases.longest_s={leases.longest_s:g} is under the "
            f"{PROBE_SWEEP_LEASE_SECONDS:g} s of probe_sweep's lease"
        )
    longest_ms = leases.longest_s * MILLISECONDS_PER_SECOND
    if longest_ms < MIN_TIMEOUTS_PER_LEASE * leases.timeout_ms:
        raise ConfigurationError(
            f"leases.longest_s={leases.longest_s:g} is under four times leases.timeout_ms"
        )


def check_identity(identity: IdentitySection, operator: OperatorConfig, settings: Settings) -> None:
    """Check `[identity]`: names are in the settings, callers are distinct, ports are in range."""
    for class_name in identity.methods:
        check_name(f"identity.methods.{class_name}", class_name, settings.class_names)
    owners: dict[tuple[str, str], str] = {}
    for position, caller in enumerate(identity.caller):
        check_caller(f"identity.caller[{position}]", caller, identity, settings, owners)
    if identity.tls is None:
        return
    check_port("identity.tls.listen", identity.tls.listen)
    if identity.tls.gearman_listen is not None:
        check_port("identity.tls.gearman_listen", identity.tls.gearman_listen)
        if operator.gearman is None:
            raise ConfigurationError("identity.tls.gearman_listen needs [gearman]")


def check_caller(
    path: str,
    caller: CallerSection,
    identity: IdentitySection,
    settings: Settings,
    owners: dict[tuple[str, str], str],
) -> None:
    """Check a caller, whose section is at `path`.

    `owners` collects the path of the caller that has each name and subject.
    """
    for tenant in caller.tenants:
        if tenant != WILDCARD:
            check_name(f"{path}.tenants", tenant, settings.tenants)
    for class_name in caller.classes:
        if class_name != WILDCARD:
            check_name(f"{path}.classes", class_name, settings.class_names)
    claim_name(owners, path, "name", caller.name)
    for subject in caller.subjects:
        claim_name(owners, path, "subjects", subject)
    if any(subject.startswith(identity.workers) for subject in caller.subjects):
        raise ConfigurationError(
            f"{path}.subjects: names that begin with one of identity.workers are workers'"
        )


def claim_name(owners: dict[tuple[str, str], str], path: str, key: str, value: str) -> None:
    """Record a caller's name or subject; raise `ConfigurationError` if another caller has it."""
    owner = owners.get((key, value))
    if owner is not None:
        raise ConfigurationError(f"{path}.{key}={value} is {owner}'s too")
    owners[key, value] = path


def check_name(key: str, value: str, known: tuple[str, ...]) -> None:
    """Check that a name is in the settings; "" stands for the default and passes."""
    if value and value not in known:
        raise ConfigurationError(
            f"{key}={value} is not in the settings ({', '.join(known) or 'which name none'})"
        )


def check_port(key: str, address: str) -> None:
    """Check that the port of an address, whose form is checked already, is in range.

    0 is allowed and stands for any free port.
    """
    if int(address.rpartition(":")[2]) > MAX_PORT:
        raise ConfigurationError(f"{key}={address} is not HOST:PORT")


def check_distinct(key: str, names: tuple[str, ...]) -> None:
    """Check that no name is listed twice."""
    for position, name in enumerate(names):
        if name in names[:position]:
            raise ConfigurationError(f"{key}[{position}]={name} is there twice")
