"""A running dispatcher with `[identity]`, its signing keys and, if asked for, TLS listeners."""

import datetime
import threading
import time

import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from gearman_program import Peer, Program
from net_helpers import job_bytes
from node_helpers import ask, free_port

from stepstream.gearman.codec import Kind
from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState

NAMES = {"iss": "https://issuer.test", "aud": "stepstream"}
SECTION = """[gearman]
listen = "127.0.0.1:{{port}}"
[identity]
keys = "{folder}/keys.json"
issuer = "https://issuer.test"
audience = "stepstream"
admins = ["root"]
workers = ["worker/", "spiffe://fleet/"]
[identity.methods]
nav-publish = ["certificate"]
[[identity.caller]]
name = "portal"
subjects = ["portal", "spiffe://danubia/portal"]
tenants = ["tatra-invest"]
classes = ["revalue"]
[[identity.caller]]
name = "publisher"
subjects = ["publisher", "spiffe://danubia/publisher"]
tenants = ["*"]
classes = ["*"]
[[identity.caller]]
name = "slow"
subjects = ["slow"]
tenants = ["*"]
classes = ["*"]
rate_per_s = 0.01
burst = 1
"""
TLS = """[identity.tls]
listen = "127.0.0.1:{tls}"
gearman_listen = "127.0.0.1:{gearman_tls}"
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
clients_ca = "{folder}/ca.pem"
crl = "{folder}/crl.pem"
"""


class IdentityProgram(Program):
    """The program with [identity], a Gearman worker that may, and words for tokens."""

    def __init__(self, folder, tls=False):
        self.folder = folder
        self.key_store = SigningKeyStore(folder)
        self.key_store.create_key("EdDSA", "k1", KeyState.ACTIVE, 0)
        self.key_store.create_key("EdDSA", "k2", KeyState.NEXT, 0)
        self.tls, self.gearman_tls = free_port(), free_port()
        section = SECTION.format(folder=folder)
        if tls:
            self.ca = trustme.CA()
            self.write_tls_files()
            section += TLS.format(folder=folder, tls=self.tls, gearman_tls=self.gearman_tls)
        super().__init__(folder, section)

    def write_tls_files(self):
        server = self.ca.issue_cert("127.0.0.1")
        chain = b"".join(blob.bytes() for blob in server.cert_chain_pems)
        (self.folder / "server.pem").write_bytes(chain)
        (self.folder / "server.key").write_bytes(server.private_key_pem.bytes())
        (self.folder / "ca.pem").write_bytes(self.ca.cert_pem.bytes())
        self.revoke()

    def revoke(self, *serials):
        """A new CRL."""
        issuer = x509.load_pem_x509_certificate(self.ca.cert_pem.bytes())
        now = datetime.datetime.now(datetime.UTC)
        crl = x509.CertificateRevocationListBuilder().issuer_name(issuer.subject)
        crl = crl.last_update(now).next_update(now + datetime.timedelta(days=1))
        for serial in serials:
            row = x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now)
            crl = crl.add_revoked_certificate(row.build())
        key = serialization.load_pem_private_key(self.ca.private_key_pem.bytes(), None)
        signed = crl.sign(key, hashes.SHA256())
        (self.folder / "crl.pem").write_bytes(signed.public_bytes(serialization.Encoding.PEM))

    def token(self, subject="portal", ttl=600, **claims):
        now = int(time.time())
        return self.key_store.issue_token(
            {**NAMES, "sub": subject, "iat": now, "exp": now + ttl, **claims}
        )

    def post(self, token=None, peer=None, tenant="tatra-invest", path="/revalue", name=None):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        name = name or f"{time.monotonic_ns():016x}"
        return ask(self.http, job_bytes(name=name, path=path, Tenant=tenant, **headers), peer)

    def worker(self, name="w"):
        """One that serves all it gets, in a thread."""
        made = Peer(self.gearman)
        made.send(Kind.OPTION_REQ, f"token:{self.token(f'worker/{name}', 3600)}")
        made.join(name)

        def serve():
            try:
                while True:
                    made.send(Kind.WORK_COMPLETE, made.grab()[0], "17.5")
            except (OSError, AssertionError):
                pass

        threading.Thread(target=serve, daemon=True).start()
        return made


def challenge(answer):
    return answer.status, answer.headers.get("www-authenticate", "")
