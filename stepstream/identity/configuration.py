"""Load `[identity]` of the operator's file and the files that it names.

Converts the operator's settings to this package's types. Owns no state.
"""

import os
from dataclasses import dataclass

from stepstream.config.errors import ConfigurationError
from stepstream.config.json_decoding import decode_json
from stepstream.config.operator_file import IdentitySection
from stepstream.identity.errors import KeySetError
from stepstream.identity.key_set import KeySet, parse_key_set
from stepstream.identity.permissions import AuthenticationMethod, Caller, Permissions
from stepstream.identity.tls import TlsCredentials, load_tls_credentials
from stepstream.identity.tokens import TokenRules

MAX_KEY_FILE_BYTES = 256 * 1024

# A file's modification time in nanoseconds and inode; both change when the file is replaced.
FileVersion = tuple[int, int]


@dataclass(frozen=True, slots=True)
class LoadedIdentity:
    """An `[identity]` section and its files, read and checked: applying them cannot fail."""

    section: IdentitySection
    key_set: KeySet
    key_file_version: FileVersion
    tls: TlsCredentials | None = None


def load_identity(section: IdentitySection) -> LoadedIdentity:
    """Read the files of a section.

    Raise `ConfigurationError`, which names the setting and, for a faulty key file, the member.
    """
    setting = f"identity.keys={section.keys}"
    try:
        with open(section.keys, "rb") as file:
            version = version_of(os.fstat(file.fileno()))
            data = file.read(MAX_KEY_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigurationError(f"{setting}: {error.strerror or error}") from error
    if len(data) > MAX_KEY_FILE_BYTES:
        raise ConfigurationError(f"{setting}: over {MAX_KEY_FILE_BYTES} bytes")
    try:
        key_set = parse_key_set(decode_json(data))
    except (KeySetError, ValueError) as error:
        raise ConfigurationError(f"{setting}: {error}") from error
    tls = load_tls_credentials(section.tls) if section.tls else None
    return LoadedIdentity(section, key_set, version, tls)


def key_file_version(section: IdentitySection) -> FileVersion:
    """Return the version of the key file; raise OSError if there is no file."""
    return version_of(os.stat(section.keys))


def version_of(status: os.stat_result) -> FileVersion:
    """Return the version of the file with this status."""
    return status.st_mtime_ns, status.st_ino


def token_rules_of(section: IdentitySection) -> TokenRules:
    """Return what a section requires of tokens."""
    return TokenRules(
        issuer=section.issuer,
        audience=section.audience,
        leeway_seconds=section.leeway_s,
        max_bytes=section.token_bytes,
        max_lifetime_seconds=section.longest_s,
    )


def permissions_of(section: IdentitySection) -> Permissions:
    """Return the callers and required methods of a section; the limits are unused."""
    callers = tuple(
        Caller(
            name=table.name,
            subjects=frozenset(table.subjects),
            tenants=frozenset(table.tenants),
            classes=frozenset(table.classes),
            suspended=table.state == "suspended",
            rate_per_second=table.rate_per_s,
            burst=table.burst,
            max_open_requests=table.most_open,
        )
        for table in section.caller
    )
    required_methods = {
        class_name: frozenset(AuthenticationMethod(name) for name in names)
        for class_name, names in section.methods.items()
    }
    return Permissions(callers, required_methods)
