"""A running dispatcher with `[identity]`, its signing keys and, if asked for, TLS listeners."""

import datetime
import time

import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization

from stepstream.gearman.codec import PacketKind
from stepstream.identity.key_rotation import SigningKeyStore
from stepstream.identity.key_set import KeyState
from tests.gearman.program import GearmanProgram
from tests.http.messages import job_request
from tests.http.scripted_server import exchange
from tests.runtime.ports import free_port

ISSUER_AND_AUDIENCE = {"iss": "https://issuer.test", "aud": "stepstream"}
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


class IdentityProgram(GearmanProgram):
    """The program with `[identity]`: its signing keys, tokens, requests and a Gearman worker."""

    def __init__(self, folder, tls=False):
        self.folder = folder
        self.key_store = SigningKeyStore(folder)
        self.key_store.create_key("EdDSA", "k1", KeyState.ACTIVE, 0)
        self.key_store.create_key("EdDSA", "k2", KeyState.NEXT, 0)
        self.tls_port = free_port()
        self.gearman_tls_port = free_port()
        section = SECTION.format(folder=folder)
        if tls:
            self.ca = trustme.CA()
            self.write_tls_files()
            section += TLS.format(
                folder=folder, tls=self.tls_port, gearman_tls=self.gearman_tls_port
            )
        super().__init__(folder, section)

    def write_tls_files(self):
        """Write a new server certificate of the same CA, and an empty revocation list."""
        server = self.ca.issue_cert("127.0.0.1")
        chain = b"".join(blob.bytes() for blob in server.cert_chain_pems)
        (self.folder / "server.pem").write_bytes(chain)
        (self.folder / "server.key").write_bytes(server.private_key_pem.bytes())
        (self.folder / "ca.pem").write_bytes(self.ca.cert_pem.bytes())
        self.write_revocation_list()

    def write_revocation_list(self, *serial_numbers):
        """Write a CRL that revokes these certificates."""
        issuer = x509.load_pem_x509_certificate(self.ca.cert_pem.bytes())
        now = datetime.datetime.now(datetime.UTC)
        crl = x509.CertificateRevocationListBuilder().issuer_name(issuer.subject)
        crl = crl.last_update(now).next_update(now + datetime.timedelta(days=1))
        for serial_number in serial_numbers:
            entry = x509.RevokedCertificateBuilder().serial_number(serial_number)
            crl = crl.add_revoked_certificate(entry.revocation_date(now).build())
        key = serialization.load_pem_private_key(self.ca.private_key_pem.bytes(), None)
        signed = crl.sign(key, hashes.SHA256())
        (self.folder / "crl.pem").write_bytes(signed.public_bytes(serialization.Encoding.PEM))

    def token(self, subject="portal", ttl=600, **claims):
        """Issue a token of the active key; `ttl` in seconds."""
        now = int(time.time())
        return self.key_store.issue_token(
            {**ISSUER_AND_AUDIENCE, "sub": subject, "iat": now, "exp": now + ttl, **claims}
        )

    def post(self, token=None, peer=None, tenant="tatra-invest", path="/revalue", request_id=None):
        """Send a job over HTTP; return the answer."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        request_id = request_id or f"{time.monotonic_ns():016x}"
        return exchange(
            self.http_port, job_request(request_id, path=path, Tenant=tenant, **headers), peer
        )

    def start_worker(self, name="w"):
        """Register a Gearman worker that completes each job with 17.5, in a thread."""
        peer = self.connect()
        peer.send(PacketKind.OPTION_REQ, f"token:{self.token(f'worker/{name}', 3600)}")
        peer.register_worker(name)
        self.run_in_thread(peer.complete_jobs, "17.5")


def challenge(answer):
    """The status of an HTTP answer and its challenge (RFC 6750, 3)."""
    return answer.status, answer.headers.get("www-authenticate", "")
