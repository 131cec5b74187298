"""The running program with `[identity.tls]`: client certificates, their end, revocation, handshakes."""

import datetime
import socket
import ssl
import threading

import pytest
import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from gearman_program import Peer
from identity_helpers import challenge
from net_helpers import LIMITS, job_bytes
from node_helpers import PATIENCE, wait_for

from stepstream.gearman import codec
from stepstream.gearman.codec import Kind


def client_context(tls_program, *names, **more):
    """What a client with such a certificate connects by; without names it has none."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_program.ca.configure_trust(context)
    if names:
        issue(tls_program.ca, *names, **more).configure_cert(context)
    return context


def issue(ca, *names, **more):
    return ca.issue_cert(*names, **more)


def with_uri(tls_program, uri, seconds=600):
    """A client certificate with one URI SAN, which trustme does not make."""
    issuer = x509.load_pem_x509_certificate(tls_program.ca.cert_pem.bytes())
    signer = serialization.load_pem_private_key(tls_program.ca.private_key_pem.bytes(), None)
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
    path = tls_program.folder / f"client{made.serial_number}.pem"
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        + made.public_bytes(serialization.Encoding.PEM)
    )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_program.ca.configure_trust(context)
    context.load_cert_chain(path)
    return context, made


def dial(port, context):
    plain = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
    return context.wrap_socket(plain, server_hostname="127.0.0.1")


def test_a_certificate_says_who_is_calling_over_http_and_gearman(tls_program):
    tls_program.worker()
    publisher, _ = with_uri(tls_program, "spiffe://danubia/publisher")
    with dial(tls_program.tls, publisher) as peer:
        for _ in range(3):
            assert tls_program.post(peer=peer, path="/nav-publish").body == b"17.5"
        assert tls_program.post(tls_program.token("publisher"), peer).status == 200
        assert "two_callers" in challenge(tls_program.post(tls_program.token("portal"), peer))[1]
    portal, _ = with_uri(tls_program, "spiffe://danubia/portal")
    with dial(tls_program.tls, portal) as peer:
        assert tls_program.post(peer=peer).status == 200
        assert tls_program.post(peer=peer, path="/nav-publish").status == 403
    with dial(tls_program.gearman_tls, publisher) as sock:
        peer = Peer.__new__(Peer)
        peer.sock, peer.parser = sock, codec.Parser(LIMITS, answers=True)
        done = peer.send(Kind.SUBMIT_JOB, "tatra-invest/nav-publish", "k", "x").until(
            Kind.WORK_COMPLETE
        )
        assert done.args[1] == b"17.5"


def test_a_certificate_that_ends_on_a_connection_denies_the_next_request(tls_program):
    tls_program.worker()
    context, _ = with_uri(tls_program, "spiffe://danubia/portal", seconds=4)
    with dial(tls_program.tls, context) as peer:
        assert tls_program.post(peer=peer).status == 200
        wait_for(lambda: tls_program.post(peer=peer).status == 401)
        assert "certificate_expired" in challenge(tls_program.post(peer=peer))[1]


def test_a_revoked_certificate_is_denied_on_its_open_connection_after_the_reload(tls_program):
    tls_program.worker()
    context, made = with_uri(tls_program, "spiffe://danubia/portal")
    with dial(tls_program.tls, context) as peer:
        assert tls_program.post(peer=peer).status == 200
        tls_program.revoke(made.serial_number)
        assert "reloaded" in tls_program.reload()
        assert "certificate_revoked" in challenge(tls_program.post(peer=peer))[1]
        assert tls_program.post(peer=peer, token=None).status == 401


def test_the_servers_certificate_is_replaced_without_closing_connections(tls_program):
    tls_program.worker()
    context, _ = with_uri(tls_program, "spiffe://danubia/portal")
    with dial(tls_program.tls, context) as peer:
        before = peer.getpeercert(binary_form=True)
        tls_program.write_tls_files()
        assert "reloaded" in tls_program.reload()
        with dial(tls_program.tls, context) as new:
            assert new.getpeercert(binary_form=True) != before
            assert [tls_program.post(peer=p).status for p in (peer, new)] == [200, 200]


def test_who_has_no_certificate_of_the_bundle_does_not_get_in(tls_program):
    stranger = trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_program.ca.configure_trust(context)
    stranger.issue_cert("client.test").configure_cert(context)
    none = client_context(tls_program)
    old = client_context(tls_program, "old.test")
    old.maximum_version = ssl.TLSVersion.TLSv1_2
    for refused in (context, none, old):
        with (
            pytest.raises((ssl.SSLError, OSError, ConnectionError)),
            dial(tls_program.tls, refused) as peer,
        ):
            tls_program.post(peer=peer)


def test_the_wrong_protocol_on_either_port_and_a_stalled_handshake_end_in_time(tls_program):
    tls_program.worker()
    with socket.create_connection(("127.0.0.1", tls_program.tls), timeout=PATIENCE) as peer:
        peer.sendall(job_bytes())
        while peer.recv(4096):
            pass
    with pytest.raises((ssl.SSLError, OSError)):
        dial(tls_program.http, client_context(tls_program))
    stalled = [
        socket.create_connection(("127.0.0.1", tls_program.tls), timeout=PATIENCE)
        for _ in range(20)
    ]
    for peer in stalled:
        peer.sendall(b"\x16\x03\x01")
    context, _ = with_uri(tls_program, "spiffe://danubia/portal")
    with dial(tls_program.tls, context) as peer:
        assert tls_program.post(peer=peer).status == 200
    for peer in stalled:
        while peer.recv(4096):
            pass
        peer.close()


def test_many_handshakes_at_once(tls_program):
    tls_program.worker()
    context, _ = with_uri(tls_program, "spiffe://danubia/portal")
    seen = []

    def one():
        with dial(tls_program.tls, context) as peer:
            seen.append(tls_program.post(peer=peer).status)

    threads = [threading.Thread(target=one) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE)
    assert len(seen) == 100
    assert 200 in seen
    assert not set(seen) & {401, 403}


def test_no_session_is_resumed(tls_program):
    context, _ = with_uri(tls_program, "spiffe://danubia/portal")
    with dial(tls_program.tls, context) as peer:
        tls_program.post(peer=peer, path="/nothing")
        assert not peer.session or not peer.session.has_ticket
