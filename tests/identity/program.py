"""A dispatcher's process with `[identity]`, its signing keys and, optionally, TLS listeners."""

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
OPERATOR_FILE_TEMPLATE = """[gearman]
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
TLS_SECTION_TEMPLATE = """[identity.tls]
listen = "127.0.0.1:{tls_port}"
gearman_listen = "127.0.0.1:{gearman_tls_port}"
certificate = "{folder}/server.pem"
key = "{folder}/server.key"
clients_ca = "{folder}/ca.pem"
crl = "{folder}/crl.pem"
"""


class IdentityProgram(GearmanProgram):
    """A dispatcher's process with `[identity]`, and the requests that tests send to it."""

    def __init__(self, folder, tls=False):
        """Write the keys and the operator's file, with TLS listeners if `tls`, and start."""
        self.folder = folder
        self.key_store = SigningKeyStore(folder)
        self.key_store.create_key("EdDSA", "k1", KeyState.ACTIVE, 0)
        self.key_store.create_key("EdDSA", "k2", KeyState.NEXT, 0)
        self.tls_port = free_port()
        self.gearman_tls_port = free_port()
        operator_text = OPERATOR_FILE_TEMPLATE.format(folder=folder)
        if tls:
            self.ca = trustme.CA()
            self.write_tls_files()
            operator_text += TLS_SECTION_TEMPLATE.format(
                folder=folder, tls_port=self.tls_port, gearman_tls_port=self.gearman_tls_port
            )
        super().__init__(folder, operator_text)

    def write_tls_files(self):
        """Write the CA, a new server certificate that it has issued, and an empty CRL."""
        server = self.ca.issue_cert("127.0.0.1")
        chain = b"".join(pem.bytes() for pem in server.cert_chain_pems)
        (self.folder / "server.pem").write_bytes(chain)
        (self.folder / "server.key").write_bytes(server.private_key_pem.bytes())
        (self.folder / "ca.pem").write_bytes(self.ca.cert_pem.bytes())
        self.write_revocation_list()

    def write_revocation_list(self, *serial_numbers):
        """Write a CRL that revokes the certificates with these serial numbers."""
        issuer = x509.load_pem_x509_certificate(self.ca.cert_pem.bytes())
        now = datetime.datetime.now(datetime.UTC)
        crl = x509.CertificateRevocationListBuilder().issuer_name(issuer.subject)
        crl = crl.last_update(now).next_update(now + datetime.timedelta(days=1))
        for serial_number in serial_numbers:
            entry = x509.RevokedCertificateBuilder().serial_number(serial_number)
            crl = crl.add_revoked_certificate(entry.revocation_date(now).build())
        key = serialization.load_pem_private_key(self.ca.private_key_pem.bytes(), None)
        signed_crl = crl.sign(key, hashes.SHA256())
        (self.folder / "crl.pem").write_bytes(signed_crl.public_bytes(serialization.Encoding.PEM))

    def issue_token(self, subject="portal", ttl_seconds=600, **claims):
        """Return a token signed by the active key; `claims` extend or replace the defaults."""
        now = int(time.time())
        return self.key_store.issue_token(
            {**ISSUER_AND_AUDIENCE, "sub": subject, "iat": now, "exp": now + ttl_seconds, **claims}
        )

    def post_job(
        self, token=None, peer=None, tenant="tatra-invest", path="/revalue", request_id=None
    ):
        """Send a job over HTTP and return the answer; `peer` is a connection to use, if given."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        request_id = request_id or f"{time.monotonic_ns():016x}"
        return exchange(
            self.http_port, job_request(request_id, path=path, Tenant=tenant, **headers), peer
        )

    def start_worker(self, worker_id="w"):
        """Register a Gearman worker; a thread completes each of its jobs with the result 17.5."""
        peer = self.connect()
        peer.send(PacketKind.OPTION_REQ, f"token:{self.issue_token(f'worker/{worker_id}', 3600)}")
        peer.register_worker(worker_id)
        self.run_in_thread(peer.complete_jobs, "17.5")


def status_and_challenge(answer):
    """Return the status of an HTTP answer and its challenge (RFC 6750, 3)."""
    return answer.status, answer.headers.get("www-authenticate", "")
