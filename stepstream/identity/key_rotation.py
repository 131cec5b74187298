"""The folder of signing keys and their rotation, for `stepstream keys` and `stepstream token`.

The folder holds `keys.json`, the JWK set that every verifier reads, and for each key a private PEM
file of mode 0600. `rotation_rules` decides the steps of a rotation. There is no lock: one command
at a time may change a folder.
"""

import os
import secrets
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import jwt
import ujson
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

from stepstream.config.json_decoding import decode_json
from stepstream.identity.errors import IdentityCommandError, KeySetError
from stepstream.identity.key_set import ALGORITHMS, KEY_ID_PATTERN, KeyState, parse_key_set
from stepstream.identity.rotation_rules import (
    PROPAGATION_SECONDS,
    Jwk,
    first_next_jwk,
    has_propagated,
    is_expired,
    retire_active,
    signing_jwk,
)

KEY_FILE_NAME = "keys.json"
KEY_FILE_MODE = 0o644
PRIVATE_KEY_MODE = 0o600
FOLDER_MODE = 0o700
RSA_BITS = 3072
RSA_PUBLIC_EXPONENT = 65537
KEY_ID_RANDOM_BYTES = 4

PrivateKey = ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey


@dataclass
class SigningKeyStore:
    """The signing keys of a folder. Times are Unix seconds.

    All methods raise `IdentityCommandError` for what cannot be done and OSError for files that
    cannot be read or written.
    """

    folder: Path

    @property
    def key_file(self) -> Path:
        """The path of the JWK set."""
        return self.folder / KEY_FILE_NAME

    def private_key_file(self, key_id: str) -> Path:
        """Return the path of a private key."""
        return self.folder / f"{key_id}.pem"

    def load_jwks(self) -> list[Jwk]:
        """Return the JWKs of the key file; none if there is no file."""
        if not self.key_file.exists():
            return []
        try:
            data = decode_json(self.key_file.read_bytes())
            parse_key_set(data)
        except (KeySetError, ValueError) as error:
            raise IdentityCommandError(f"{self.key_file}: {error}") from error
        return cast("list[Jwk]", data["keys"])

    def create_key(self, algorithm: str, key_id: str | None, state: KeyState, now: int) -> str:
        """Create a key pair; return its id, a random one if `key_id` is None or empty."""
        if algorithm not in ALGORITHMS:
            raise IdentityCommandError(f"--alg={algorithm} is none of {', '.join(ALGORITHMS)}")
        key_id = key_id or f"k{secrets.token_hex(KEY_ID_RANDOM_BYTES)}"
        if not KEY_ID_PATTERN.fullmatch(key_id):
            raise IdentityCommandError(f"--kid={key_id} needs 1 to 64 letters, digits, - or _")
        jwks = self.load_jwks()
        is_taken = any(jwk["kid"] == key_id for jwk in jwks)
        if is_taken or self.private_key_file(key_id).exists():
            raise IdentityCommandError(f"--kid={key_id} exists already")
        private_key = generate_private_key(algorithm)
        jwk = public_jwk(algorithm, private_key)
        jwks.append({**jwk, "kid": key_id, "state": state.value, "not_before": now})
        self._check_jwks(jwks)
        pem = private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        self._write_atomically(self.private_key_file(key_id), pem, PRIVATE_KEY_MODE)
        try:
            self._save_jwks(jwks)
        except BaseException:
            self.private_key_file(key_id).unlink(missing_ok=True)
            raise
        return key_id

    def rotate(self, overlap_seconds: int, now: int, *, early: bool = False) -> list[str]:
        """Activate the next key, retire the active one, remove expired keys, create a next key.

        Tokens of the retired key stay valid for `overlap_seconds`. With `early`, the next key is
        activated even if some verifiers may not know it yet. Return lines for the operator.
        """
        jwks = self.load_jwks()
        next_jwk = self._next_jwk(jwks)
        if not early and not has_propagated(next_jwk, now):
            raise IdentityCommandError(
                f"the next key is younger than {PROPAGATION_SECONDS} s:"
                " verifiers may not know it (--early)"
            )
        lines = retire_active(jwks, overlap_seconds, now)
        next_jwk["state"] = KeyState.ACTIVE.value
        lines.append(f"{next_jwk['kid']} is active and signs from now on")
        lines += self._remove_expired(jwks, now)
        self._save_jwks(jwks)
        key_id = self.create_key(next_jwk["alg"], None, KeyState.NEXT, now)
        lines.append(f"{key_id} is the next key")
        return lines

    def revoke(self, key_id: str) -> None:
        """Revoke a key at once and delete its private key file."""
        jwks = self.load_jwks()
        jwk = next((jwk for jwk in jwks if jwk["kid"] == key_id), None)
        if jwk is None:
            raise IdentityCommandError(f"there is no key {key_id}")
        jwk["state"] = KeyState.REVOKED.value
        self._save_jwks(jwks)
        self.private_key_file(key_id).unlink(missing_ok=True)

    def issue_token(self, claims: dict[str, Any], key_id: str | None = None) -> str:
        """Return a token signed by the newest active key, or by the one named."""
        jwk = signing_jwk(self.load_jwks(), key_id)
        try:
            pem = self.private_key_file(jwk["kid"]).read_bytes()
        except OSError as error:
            raise IdentityCommandError(
                f"the private key of {jwk['kid']} is not in the folder"
            ) from error
        return jwt.encode(claims, pem, algorithm=jwk["alg"], headers={"kid": jwk["kid"]})

    # -- steps ------------------------------------------------------------------------------------

    def _next_jwk(self, jwks: list[Jwk]) -> Jwk:
        """Return the next key that a rotation activates."""
        jwk = first_next_jwk(jwks)
        if jwk is None:
            raise IdentityCommandError(
                "there is no next key: 'keys new --state next' first, and let verifiers read it"
            )
        return jwk

    def _remove_expired(self, jwks: list[Jwk], now: int) -> list[str]:
        """Remove the expired keys; return a line for the operator on each."""
        expired = [jwk for jwk in jwks if is_expired(jwk, now)]
        for jwk in expired:
            jwks.remove(jwk)
            self.private_key_file(jwk["kid"]).unlink(missing_ok=True)
        return [f"{jwk['kid']} is removed" for jwk in expired]

    def _save_jwks(self, jwks: list[Jwk]) -> None:
        self._check_jwks(jwks)
        data = ujson.dumps({"keys": jwks}, indent=1).encode() + b"\n"
        self._write_atomically(self.key_file, data, KEY_FILE_MODE)

    def _check_jwks(self, jwks: list[Jwk]) -> None:
        """Raise `IdentityCommandError` for JWKs that verifiers would reject, or too many."""
        try:
            parse_key_set({"keys": jwks})
        except KeySetError as error:
            raise IdentityCommandError(f"{self.key_file}: {error}") from error

    def _write_atomically(self, path: Path, data: bytes, mode: int) -> None:
        """Replace a file as a whole: a reader never sees a part of it."""
        self.folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        descriptor, temporary_name = tempfile.mkstemp(dir=self.folder, prefix=".")
        try:
            with os.fdopen(descriptor, "wb") as file:
                os.fchmod(file.fileno(), mode)
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_name, path)
        except BaseException:
            os.unlink(temporary_name)
            raise


def generate_private_key(algorithm: str) -> PrivateKey:
    """Generate a private key for one of `ALGORITHMS`."""
    match algorithm:
        case "EdDSA":
            return ed25519.Ed25519PrivateKey.generate()
        case "ES256":
            return ec.generate_private_key(ec.SECP256R1())
    return rsa.generate_private_key(public_exponent=RSA_PUBLIC_EXPONENT, key_size=RSA_BITS)


def public_jwk(algorithm: str, private_key: PrivateKey) -> Jwk:
    """Return the public key as a JWK (RFC 7517) without an id."""
    library_algorithm = jwt.get_algorithm_by_name(algorithm)
    jwk = library_algorithm.to_jwk(private_key.public_key(), as_dict=True)
    # A JWK should not have both `key_ops` and `use` (RFC 7517, 4.3).
    members = {name: value for name, value in jwk.items() if name != "key_ops"}
    return {**members, "alg": algorithm, "use": "sig"}
