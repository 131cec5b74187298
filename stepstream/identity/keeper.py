"""The folder of signing keys: `keys.json`, which every verifier reads, and one private PEM a key, mode 0600.

A rotation has three steps that are each safe by themselves: the next key is known to all verifiers before
it signs; it signs while tokens of the one before are still good; that one goes once the last of them has
ended.
"""

import os
import secrets
import tempfile
from dataclasses import dataclass
from pathlib import Path

import jwt
import ujson
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

from stepstream.identity.keys import ALGORITHMS, KID, KeySetError, State, read_keys

FILE = "keys.json"
RSA_BITS = 3072
SETTLE_S = 60  # a next key is taken for known everywhere after so long


class KeeperError(Exception):
    """What was asked cannot be done; the text says why."""


@dataclass
class Keeper:
    folder: Path

    @property
    def path(self) -> Path:
        return self.folder / FILE

    def rows(self) -> list[dict]:
        if not self.path.exists():
            return []
        try:
            data = ujson.loads(self.path.read_bytes())
            read_keys(data)
        except (KeySetError, ValueError) as error:
            raise KeeperError(f"{self.path}: {error}") from None
        return data["keys"]

    def save(self, rows: list[dict]) -> None:
        """Whole or not at all: a reader never sees half of it."""
        data = {"keys": rows}
        read_keys(data)
        self.replace(self.path, ujson.dumps(data, indent=1).encode() + b"\n", 0o644)

    def replace(self, path: Path, data: bytes, mode: int) -> None:
        self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        number, name = tempfile.mkstemp(dir=self.folder, prefix=".")
        try:
            with os.fdopen(number, "wb") as file:
                os.fchmod(file.fileno(), mode)
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(name, path)
        except BaseException:
            os.unlink(name)
            raise

    # -- steps --------------------------------------------------------------------------------------------

    def new(self, algorithm: str, kid: str | None, state: State, now: int) -> str:
        """A key pair; its id."""
        if algorithm not in ALGORITHMS:
            raise KeeperError(f"--alg={algorithm} is none of {', '.join(ALGORITHMS)}")
        kid = kid or f"k{secrets.token_hex(4)}"
        if not KID.fullmatch(kid):
            raise KeeperError(f"--kid={kid} needs 1 to 64 letters, digits, - or _")
        rows = self.rows()
        if any(row["kid"] == kid for row in rows) or self.private_path(kid).exists():
            raise KeeperError(f"--kid={kid} is there already")
        private = generate(algorithm)
        pem = private.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        self.replace(self.private_path(kid), pem, 0o600)
        rows.append(
            {**public_row(algorithm, private), "kid": kid, "state": state.value, "not_before": now}
        )
        self.save(rows)
        return kid

    def rotate(self, overlap_s: int, now: int, early: bool = False) -> list[str]:
        """The next key becomes active, the active one retires, a new next one is made, what has ended
        goes.
        """
        rows, told = self.rows(), []
        coming = [row for row in rows if row["state"] == "next"]
        if not coming:
            raise KeeperError(
                "there is no next key: 'keys new --state next' first, and let verifiers read it"
            )
        if not early and now - coming[0]["not_before"] < SETTLE_S:
            raise KeeperError(
                f"the next key is younger than {SETTLE_S} s: verifiers may not know it (--early)"
            )
        for row in rows:
            if row["state"] == "active":
                row["state"], row["not_after"] = "retiring", now + overlap_s
                told.append(f"{row['kid']} retires, its tokens are good for {overlap_s} s more")
        coming[0]["state"] = "active"
        told.append(f"{coming[0]['kid']} signs from now on")
        for row in [row for row in rows if row["state"] == "retiring" and row["not_after"] <= now]:
            rows.remove(row)
            self.private_path(row["kid"]).unlink(missing_ok=True)
            told.append(f"{row['kid']} is gone")
        self.save(rows)
        algorithm = coming[0]["alg"]
        told.append(f"{self.new(algorithm, None, State.NEXT, now)} is next")
        return told

    def revoke(self, kid: str) -> None:
        rows = self.rows()
        found = [row for row in rows if row["kid"] == kid]
        if not found:
            raise KeeperError(f"there is no key {kid}")
        found[0]["state"] = "revoked"
        self.save(rows)
        self.private_path(kid).unlink(missing_ok=True)

    def private_path(self, kid: str) -> Path:
        return self.folder / f"{kid}.pem"

    # -- tokens -------------------------------------------------------------------------------------------

    def issue(self, claims: dict, kid: str | None = None) -> str:
        """A token signed by the active key, or by the one named."""
        rows = self.rows()
        fit = [row for row in rows if (row["kid"] == kid if kid else row["state"] == "active")]
        if not fit:
            raise KeeperError(f"there is no key {kid}" if kid else "there is no active key")
        row = fit[-1]
        try:
            pem = self.private_path(row["kid"]).read_bytes()
        except OSError:
            raise KeeperError(f"the private key of {row['kid']} is not here") from None
        return jwt.encode(claims, pem, algorithm=row["alg"], headers={"kid": row["kid"]})


def generate(
    algorithm: str,
) -> ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey:
    match algorithm:
        case "EdDSA":
            return ed25519.Ed25519PrivateKey.generate()
        case "ES256":
            return ec.generate_private_key(ec.SECP256R1())
    return rsa.generate_private_key(public_exponent=65537, key_size=RSA_BITS)


def public_row(algorithm: str, private: object) -> dict:
    row = jwt.get_algorithm_by_name(algorithm).to_jwk(private.public_key(), as_dict=True)
    return {
        **{name: value for name, value in row.items() if name != "key_ops"},
        "alg": algorithm,
        "use": "sig",
    }
