"""A certificate, signing keys and the operator's sections of a dispatcher that listens for TLS.

The packages of the extra `identity` are needed.
"""

import datetime
import time
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState

VALID_DAYS = 1
TOKEN_SECONDS = 3600
SUBJECT = "sound-client"
ISSUER = "https://issuer.lab"
AUDIENCE = "stepstream"
SECTIONS_TEMPLATE = """
[identity]
keys = "{folder}/keys.json"
issuer = "{issuer}"
audience = "{audience}"
news = "open"
[[identity.caller]]
name = "sound"
subjects = ["{subject}"]
tenants = ["*"]
classes = ["*"]
[identity.tls]
listen = "{listen}"
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
clients_ca = "{folder}/server.pem"
clients = "wanted"
"""


class TlsFiles:
    """The files of one dispatcher; `listen` is the address of its TLS listener, HOST:PORT."""

    def __init__(self, folder: Path, listen: str) -> None:
        write_self_signed_certificate(folder, listen.partition(":")[0])
        keys = SigningKeyStore(folder)
        now = int(time.time())
        keys.create_key("EdDSA", "k1", KeyState.ACTIVE, now)
        claims = {"iss": ISSUER, "aud": AUDIENCE, "sub": SUBJECT, "iat": now}
        self.bearer_token = keys.issue_token({**claims, "exp": now + TOKEN_SECONDS})
        self.operator_sections = SECTIONS_TEMPLATE.format(
            folder=folder, issuer=ISSUER, audience=AUDIENCE, subject=SUBJECT, listen=listen
        )


def write_self_signed_certificate(folder: Path, host: str) -> None:
    """Write `server.pem` and `server.key` of a certificate for a host's address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, host)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=VALID_DAYS))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address(host))]), critical=False
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    (folder / "server.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    private_bytes = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / "server.key").write_bytes(private_bytes)
