"""The whole program that asks who is calling, on loopback: tokens, certificates, rotation and revocation."""

import datetime
import json
import os
import socket
import ssl
import subprocess
import sys
import threading
import time

import pytest
import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from gearman_program import Peer, Program
from net_helpers import LIMITS, job_bytes
from node_helpers import PATIENCE, ROOT, ask, free_port, wait_for

from stepstream.gearman import codec
from stepstream.gearman.codec import Kind
from stepstream.http.codec import write_request
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


class Guarded(Program):
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


@pytest.fixture
def guarded(tmp_path):
    made = Guarded(tmp_path)
    yield made
    made.process.kill()
    made.process.communicate()


@pytest.fixture
def sealed(tmp_path):
    made = Guarded(tmp_path, tls=True)
    yield made
    made.process.kill()
    made.process.communicate()


def challenge(answer):
    return answer.status, answer.headers.get("www-authenticate", "")


# -- tokens -----------------------------------------------------------------------------------------------


def test_callers_get_what_they_may_and_hear_why_not(guarded):
    guarded.worker()
    portal = guarded.token()
    assert guarded.post(portal).body == b"17.5"
    assert guarded.post(portal, tenant=None).status == 200  # it stands for one tenant alone
    assert challenge(guarded.post()) == (401, 'Bearer realm="stepstream"')
    for token, reason in (
        (guarded.token(aud="another"), "wrong_audience"),
        (guarded.token(exp=int(time.time()) - 60), "expired"),
        (portal[:-6] + "AAAAAA", "bad_signature"),
        ("x" * 5000, "too_long"),
    ):
        status, said = challenge(guarded.post(token))
        assert status == 401
        assert f'error_description="{reason}"' in said
    for answer, reason in (
        (guarded.post(portal, tenant="nobody"), "tenant_contradicts"),
        (guarded.post(portal, path="/nav-publish"), "class_not_allowed"),
        (guarded.post(guarded.token("publisher"), path="/nav-publish"), "method_not_allowed"),
        (guarded.post(guarded.token("stranger")), "unknown_caller"),
    ):
        status, said = challenge(answer)
        assert status == 403
        assert 'error="insufficient_scope"' in said
        assert reason in said
    slow = guarded.token("slow")
    assert guarded.post(slow).status == 200
    later = guarded.post(slow)
    assert later.status == 503
    assert float(later.headers["retry-after"]) > 1
    # The connection of somebody turned away goes on.
    with socket.create_connection(("127.0.0.1", guarded.http), timeout=PATIENCE) as peer:
        assert [guarded.post(t, peer).status for t in (None, portal)] == [401, 200]


def test_news_needs_the_token_of_the_worker_that_it_speaks_for(guarded):
    def news(token):
        headers = {"Connection": "close"} | ({"Authorization": f"Bearer {token}"} if token else {})
        body = b'{"id":"0a","from":"s-1","state":"done","result":"forged"}'
        return ask(guarded.http, write_request("POST", "/_jobs/news", headers, body)).status

    tokens = (None, guarded.token(), guarded.token("worker/s-2"), guarded.token("worker/s-1"))
    assert [news(token) for token in tokens] == [401, 403, 403, 200]


def test_a_worker_joins_only_as_whom_its_token_names(guarded):
    for token, expected in (
        (None, b"NOT_IDENTIFIED"),
        (guarded.token("worker/other"), b"NOT_ALLOWED"),
    ):
        peer = Peer(guarded.gearman)
        if token:
            peer.send(Kind.OPTION_REQ, f"token:{token}").until(Kind.OPTION_RES)
        peer.send(Kind.SET_CLIENT_ID, "w").send(Kind.CAN_DO, "revalue")
        assert peer.until(Kind.ERROR).args[0] == expected


def test_gearman_clients_are_known_by_their_token_and_keep_to_their_own_jobs(guarded):
    guarded.worker()
    peer = Peer(guarded.gearman)
    assert (
        peer.send(Kind.SUBMIT_JOB, "revalue", "", "x").until(Kind.ERROR).args[0]
        == b"NOT_IDENTIFIED"
    )
    said = peer.send(Kind.OPTION_REQ, f"token:{guarded.token()}").until(Kind.OPTION_RES)
    assert said.args == (b"token",)  # never the token itself
    handle = peer.send(Kind.SUBMIT_JOB_BG, "revalue", "u", "x").until(Kind.JOB_CREATED).args[0]
    assert peer.send(Kind.SUBMIT_JOB, "nav-publish", "k", "x").until(Kind.ERROR).args == (
        b"NOT_ALLOWED",
        b"class_not_allowed",
    )
    assert peer.send(Kind.GET_STATUS, handle).until(Kind.STATUS_RES).args[1] == b"1"
    other = Peer(guarded.gearman).send(Kind.OPTION_REQ, f"token:{guarded.token('publisher')}")
    for kind, name in (
        (Kind.GET_STATUS, handle),
        (Kind.GET_STATUS_UNIQUE, "u"),
        (Kind.GET_STATUS, "H:none"),
    ):
        assert other.send(kind, name).until(Kind.ERROR).args == (b"NOT_ALLOWED", b"anothers_job")
    assert guarded.command("status").startswith("ERR NOT_IDENTIFIED")
    assert guarded.command("version").startswith("OK")


def test_a_rotation_under_load_drops_no_good_request_and_ends_the_old_key(guarded):
    guarded.worker()
    seen, stop = [], threading.Event()

    def load():
        with socket.create_connection(("127.0.0.1", guarded.http), timeout=PATIENCE) as peer:
            while not stop.is_set():
                seen.append(guarded.post(guarded.token(ttl=30), peer).status)

    threads = [threading.Thread(target=load) for _ in range(3)]
    for thread in threads:
        thread.start()
    old = guarded.token()
    wait_for(lambda: len(seen) > 20)
    guarded.key_store.rotate(overlap_seconds=5, now=int(time.time()))
    rotated = len(seen)
    wait_for(lambda: len(seen) > rotated + 40)
    assert guarded.key_store.load_rows()[0]["state"] == "retiring"
    wait_for(lambda: guarded.post(old).status == 401)
    assert "key_past" in challenge(guarded.post(old))[1]
    stop.set()
    for thread in threads:
        thread.join()
    # The module may refuse under load; nobody was turned away for who he is.
    assert 200 in seen
    assert not set(seen) & {401, 403}


def test_a_revoked_key_ends_cached_tokens_on_open_connections(guarded):
    guarded.worker()
    token = guarded.token()
    with socket.create_connection(("127.0.0.1", guarded.http), timeout=PATIENCE) as peer:
        assert guarded.post(token, peer).status == 200
        guarded.key_store.revoke("k1")
        wait_for(lambda: guarded.post(token, peer).status == 401)
        assert "key_revoked" in challenge(guarded.post(token, peer))[1]


def test_a_key_file_half_written_changes_nothing(guarded):
    guarded.worker()
    token, whole = guarded.token(), (guarded.folder / "keys.json").read_bytes()
    (guarded.folder / "keys.json").write_bytes(whole[: len(whole) // 2])
    line = next(line for line in guarded.process.stderr if "keys:" in line)
    assert "the old ones serve on" in line
    assert guarded.post(token).status == 200


def test_no_token_and_no_key_is_written_to_the_log(guarded):
    guarded.worker()
    tokens = [guarded.token(), guarded.token("stranger"), guarded.token(aud="another")]
    for token in tokens:
        guarded.post(token)
    guarded.process.terminate()
    log = guarded.process.communicate(timeout=PATIENCE)[1]
    assert '"reason": "unknown_caller"' in log
    assert not any(token.split(".")[2] in log for token in tokens)


# -- certificates -----------------------------------------------------------------------------------------


def client_context(sealed, *names, **more):
    """What a client with such a certificate connects by; without names it has none."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    sealed.ca.configure_trust(context)
    if names:
        issue(sealed.ca, *names, **more).configure_cert(context)
    return context


def issue(ca, *names, **more):
    return ca.issue_cert(*names, **more)


def with_uri(sealed, uri, seconds=600):
    """A client certificate with one URI SAN, which trustme does not make."""
    from cryptography.hazmat.primitives.asymmetric import ec

    issuer = x509.load_pem_x509_certificate(sealed.ca.cert_pem.bytes())
    signer = serialization.load_pem_private_key(sealed.ca.private_key_pem.bytes(), None)
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([]))
        .issuer_name(issuer.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(seconds=60))
        .not_valid_after(now + datetime.timedelta(seconds=seconds))
        .add_extension(
            x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri)]), critical=True
        )
        .sign(signer, hashes.SHA256())
    )
    path = sealed.folder / f"client{made.serial_number}.pem"
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        + made.public_bytes(serialization.Encoding.PEM)
    )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    sealed.ca.configure_trust(context)
    context.load_cert_chain(path)
    return context, made


def dial(port, context):
    plain = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
    return context.wrap_socket(plain, server_hostname="127.0.0.1")


def test_a_certificate_says_who_is_calling_over_http_and_gearman(sealed):
    sealed.worker()
    publisher, _ = with_uri(sealed, "spiffe://danubia/publisher")
    with dial(sealed.tls, publisher) as peer:
        for _ in range(3):
            assert sealed.post(peer=peer, path="/nav-publish").body == b"17.5"
        assert sealed.post(sealed.token("publisher"), peer).status == 200
        assert "two_callers" in challenge(sealed.post(sealed.token("portal"), peer))[1]
    portal, _ = with_uri(sealed, "spiffe://danubia/portal")
    with dial(sealed.tls, portal) as peer:
        assert sealed.post(peer=peer).status == 200
        assert sealed.post(peer=peer, path="/nav-publish").status == 403
    with dial(sealed.gearman_tls, publisher) as sock:
        peer = Peer.__new__(Peer)
        peer.sock, peer.parser = sock, codec.Parser(LIMITS, answers=True)
        done = peer.send(Kind.SUBMIT_JOB, "tatra-invest/nav-publish", "k", "x").until(
            Kind.WORK_COMPLETE
        )
        assert done.args[1] == b"17.5"


def test_a_certificate_that_ends_on_a_connection_denies_the_next_request(sealed):
    sealed.worker()
    context, _ = with_uri(sealed, "spiffe://danubia/portal", seconds=4)
    with dial(sealed.tls, context) as peer:
        assert sealed.post(peer=peer).status == 200
        wait_for(lambda: sealed.post(peer=peer).status == 401)
        assert "certificate_expired" in challenge(sealed.post(peer=peer))[1]


def test_a_revoked_certificate_is_denied_on_its_open_connection_after_the_reload(sealed):
    sealed.worker()
    context, made = with_uri(sealed, "spiffe://danubia/portal")
    with dial(sealed.tls, context) as peer:
        assert sealed.post(peer=peer).status == 200
        sealed.revoke(made.serial_number)
        assert "reloaded" in sealed.reload()
        assert "certificate_revoked" in challenge(sealed.post(peer=peer))[1]
        assert sealed.post(peer=peer, token=None).status == 401


def test_the_servers_certificate_is_replaced_without_closing_connections(sealed):
    sealed.worker()
    context, _ = with_uri(sealed, "spiffe://danubia/portal")
    with dial(sealed.tls, context) as peer:
        before = peer.getpeercert(binary_form=True)
        sealed.write_tls_files()
        assert "reloaded" in sealed.reload()
        with dial(sealed.tls, context) as new:
            assert new.getpeercert(binary_form=True) != before
            assert [sealed.post(peer=p).status for p in (peer, new)] == [200, 200]


def test_who_has_no_certificate_of_the_bundle_does_not_get_in(sealed):
    stranger = trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    sealed.ca.configure_trust(context)
    stranger.issue_cert("client.test").configure_cert(context)
    none = client_context(sealed)
    old = client_context(sealed, "old.test")
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    for refused in (context, none, old):
        with (
            pytest.raises((ssl.SSLError, OSError, ConnectionError)),
            dial(sealed.tls, refused) as peer,
        ):
            sealed.post(peer=peer)


def test_the_wrong_protocol_on_either_port_and_a_stalled_handshake_end_in_time(sealed):
    sealed.worker()
    with socket.create_connection(("127.0.0.1", sealed.tls), timeout=PATIENCE) as peer:
        peer.sendall(job_bytes())
        while peer.recv(4096):
            pass
    with pytest.raises((ssl.SSLError, OSError)):
        dial(sealed.http, client_context(sealed))
    stalled = [
        socket.create_connection(("127.0.0.1", sealed.tls), timeout=PATIENCE) for _ in range(20)
    ]
    for peer in stalled:
        peer.sendall(b"\x16\x03\x01")
    context, _ = with_uri(sealed, "spiffe://danubia/portal")
    with dial(sealed.tls, context) as peer:
        assert sealed.post(peer=peer).status == 200
    for peer in stalled:
        while peer.recv(4096):
            pass
        peer.close()


def test_many_handshakes_at_once(sealed):
    sealed.worker()
    context, _ = with_uri(sealed, "spiffe://danubia/portal")
    seen = []

    def one():
        with dial(sealed.tls, context) as peer:
            seen.append(sealed.post(peer=peer).status)

    threads = [threading.Thread(target=one) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE)
    assert len(seen) == 100
    assert 200 in seen
    assert not set(seen) & {401, 403}


def test_no_session_is_resumed(sealed):
    context, _ = with_uri(sealed, "spiffe://danubia/portal")
    with dial(sealed.tls, context) as peer:
        sealed.post(peer=peer, path="/nothing")
        assert not peer.session or not peer.session.has_ticket


# -- the command line -------------------------------------------------------------------------------------


def stepstream(*words, **environment):
    return subprocess.run(
        [sys.executable, "-m", "stepstream", *words],
        cwd=ROOT,
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=PATIENCE,
    )


def test_keys_and_tokens_from_the_command_line(tmp_path):
    folder = str(tmp_path / "keys")
    kid = stepstream("keys", "new", "--dir", folder).stdout.strip()
    private = tmp_path / "keys" / f"{kid}.pem"
    assert private.stat().st_mode & 0o777 == 0o600
    assert "no next key" in stepstream("keys", "rotate", "--dir", folder).stderr
    stepstream("keys", "new", "--dir", folder, "--state", "next", "--alg", "ES256")
    assert "may not know it" in stepstream("keys", "rotate", "--dir", folder).stderr
    assert "signs from now on" in stepstream("keys", "rotate", "--dir", folder, "--early").stdout
    states = [
        line.split()[2] for line in stepstream("keys", "list", "--dir", folder).stdout.splitlines()
    ]
    assert states == ["retiring", "active", "next"]
    names = ("--subject", "portal", "--issuer", NAMES["iss"], "--audience", NAMES["aud"])
    token = stepstream("token", "issue", "--dir", folder, *names).stdout.strip()
    told = json.loads(stepstream("token", "inspect", token).stdout)
    assert told["header"]["alg"] == "ES256"
    assert told["claims"]["sub"] == "portal"
    assert told["verified"] is False
    assert stepstream("token", "inspect", "nonsense").returncode == 2
    assert "is revoked" in stepstream("keys", "revoke", kid, "--dir", folder).stdout
    assert not private.exists()
    assert stepstream("keys", "revoke", "who", "--dir", folder).returncode == 2


def test_explain_prints_the_decision_and_its_rule(guarded):
    def explain(token, *more):
        words = ("--operator", str(guarded.operator), "--token", token, "--class", *more)
        return stepstream("identity", "explain", *words, EDGE_CONFIG=str(guarded.path))

    good = explain(guarded.token(), "revalue")
    assert good.returncode == 0
    assert "allowed" in good.stdout
    assert "tenant: tatra-invest" in good.stdout
    bad = explain(guarded.token(), "nav-publish", "--tenant", "tatra-invest")
    assert bad.returncode == 1
    assert "class_not_allowed\nrule: identity.caller portal: classes" in bad.stdout
    assert "not_a_token" in explain("x", "revalue").stdout
