"""The operator's own TOML file: read, checked, and compared at a reload.

A subsystem whose section is missing is off: nothing of it is imported. The platform's dispatcher
has no such file and never imports this module, nor `msgspec`. The main thread reads the file; what
is read is immutable. The sections are given on from here: subsystems import this module alone.
"""

import tomllib
from collections.abc import Iterable

import msgspec

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_checks import check_operator_config
from stepstream.config.operator_sections import (
    PATTERN_FORMS,
    PROBE_SWEEP_LEASE_SECONDS,
    CallerSection,
    GearmanSection,
    IdentitySection,
    LeasesSection,
    MembershipSection,
    OperatorConfig,
    Section,
    TlsSection,
    WorkerDefaults,
)
from stepstream.model.settings import Settings

__all__ = [
    "PROBE_SWEEP_LEASE_SECONDS",
    "CallerSection",
    "GearmanSection",
    "IdentitySection",
    "LeasesSection",
    "MembershipSection",
    "OperatorConfig",
    "Section",
    "TlsSection",
    "WorkerDefaults",
    "read_operator",
    "require_all_unchanged",
    "require_unchanged",
    "split_address",
]


def read_operator(path: str, settings: Settings) -> OperatorConfig:
    """Read the file and check it against the deployment's settings.

    `ConfigurationError` names the file, and the key at fault by its path, such as
    `identity.caller[0].tenants`.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"operator file {path} cannot be read: {error}") from error
    try:
        operator = msgspec.convert(data, OperatorConfig)
    except msgspec.ValidationError as error:
        fault = key_first(plain_forms(str(error)))
        raise ConfigurationError(f"operator file {path}: {fault}") from error
    try:
        check_operator_config(operator, settings)
    except ConfigurationError as error:
        raise ConfigurationError(f"operator file {path}: {error}") from error
    return operator


def key_first(fault: str) -> str:
    """Put the key before the fault.

    msgspec words a fault as "Expected `int`, got `str` - at `$.gearman.queue`"; at the top level it
    names no place.
    """
    text, _, path = fault.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    return f"{key}: {text}" if key else text


def plain_forms(fault: str) -> str:
    """Say in words what msgspec says by a regular expression."""
    for pattern, form in PATTERN_FORMS.items():
        fault = fault.replace(f"`str` matching regex {pattern!r}", form)
    return fault


def split_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT, whose form has been checked."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def require_all_unchanged(
    keys: Iterable[str], old: OperatorConfig | None, new: OperatorConfig | None
) -> None:
    """Raise `ConfigurationError` for the first key that `require_unchanged` refuses."""
    for key in keys:
        require_unchanged(key, old, new)


def require_unchanged(key: str, old: OperatorConfig | None, new: OperatorConfig | None) -> None:
    """Raise `ConfigurationError` if a reload would change what only a restart may change.

    That is a value, or whether a section is there; `key` is its path, such as `gearman.listen`.
    None stands for no operator's file: all its sections are missing.
    """
    before = value_at(old, key)
    after = value_at(new, key)
    if isinstance(before, Section) or isinstance(after, Section):
        if (before is None) != (after is None):
            raise ConfigurationError(f"{key} is switched on or off only with a restart")
    elif before != after:
        raise ConfigurationError(f"{key}={after} changes only with a restart")


def value_at(operator: OperatorConfig | None, key: str) -> object:
    """Give a section or a value by its path; None where a section on the way is missing."""
    value: object = operator
    for name in key.split("."):
        value = getattr(value, name, None)
    return value
