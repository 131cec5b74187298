"""The running program with `[identity.tls]`: client certificates, their end, revocation, handshakes."""

import contextlib
import datetime
import socket
import ssl
import threading

import pytest
import trustme
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from stepstream.gearman.codec import PacketKind
from tests.gearman.program import GearmanPeer
from tests.http.messages import job_request
from tests.identity.program import challenge
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def client_context(tls_program, ca=None):
    """What a client connects with: a certificate of the CA, or without one none."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_program.ca.configure_trust(context)
    if ca is not None:
        ca.issue_cert("client.test").configure_cert(context)
    return context


def client_with_uri(tls_program, uri, seconds=600):
    """A client certificate with one URI SAN, which trustme does not make."""
    names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri)])
    return client_with_names(tls_program, names, seconds)


def client_with_names(tls_program, names, seconds=600):
    """A client certificate with this extension as its alternative names."""
    issuer = x509.load_pem_x509_certificate(tls_program.ca.cert_pem.bytes())
    signer = serialization.load_pem_private_key(tls_program.ca.private_key_pem.bytes(), None)
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([]))
        .issuer_name(issuer.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(seconds=60))
        .not_valid_after(now + datetime.timedelta(seconds=seconds))
        .add_extension(names, critical=True)
        .sign(signer, hashes.SHA256())
    )
    path = tls_program.folder / f"client{certificate.serial_number}.pem"
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        + certificate.public_bytes(serialization.Encoding.PEM)
    )
    context = client_context(tls_program)
    context.load_cert_chain(path)
    return context, certificate


def connect_tls(port, context):
    plain = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)
    return context.wrap_socket(plain, server_hostname="127.0.0.1")


def test_a_certificate_that_only_the_handshake_can_read_costs_one_line_and_its_connection(
    tls_program,
):
    # Guards against a reader thread that ends with an unforeseen fault.
    x400_address = x509.UnrecognizedExtension(
        x509.OID_SUBJECT_ALTERNATIVE_NAME, b"\x30\x02\xa3\x00"
    )
    context, _ = client_with_names(tls_program, x400_address)
    with connect_tls(tls_program.tls_port, context) as peer, contextlib.suppress(OSError):
        assert peer.recv(1) == b""
    tls_program.start_worker()
    publisher, _ = client_with_uri(tls_program, "spiffe://danubia/publisher")
    with connect_tls(tls_program.tls_port, publisher) as peer:
        assert tls_program.post(peer=peer, path="/nav-publish").body == b"17.5"
    tls_program.process.terminate()
    log = tls_program.process.communicate(timeout=WAIT_TIMEOUT_SECONDS)[1]
    assert log.count("client_certificate_unreadable") == 1
    assert "internal_fault" not in log


def test_a_certificate_identifies_its_caller_over_http_and_gearman(tls_program):
    tls_program.start_worker()
    publisher, _ = client_with_uri(tls_program, "spiffe://danubia/publisher")
    with connect_tls(tls_program.tls_port, publisher) as peer:
        for _ in range(3):
            assert tls_program.post(peer=peer, path="/nav-publish").body == b"17.5"
        assert tls_program.post(tls_program.token("publisher"), peer).status == 200
        assert "two_callers" in challenge(tls_program.post(tls_program.token("portal"), peer))[1]
    portal, _ = client_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, portal) as peer:
        assert tls_program.post(peer=peer).status == 200
        assert tls_program.post(peer=peer, path="/nav-publish").status == 403
    with connect_tls(tls_program.gearman_tls_port, publisher) as sock:
        peer = GearmanPeer(sock)
        done = peer.send(PacketKind.SUBMIT_JOB, "tatra-invest/nav-publish", "k", "x").receive_until(
            PacketKind.WORK_COMPLETE
        )
        assert done.args[1] == b"17.5"


def test_a_request_is_denied_once_the_certificate_has_expired_on_its_connection(tls_program):
    tls_program.start_worker()
    context, _ = client_with_uri(tls_program, "spiffe://danubia/portal", seconds=4)
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post(peer=peer).status == 200
        wait_for(lambda: tls_program.post(peer=peer).status == 401)
        assert "certificate_expired" in challenge(tls_program.post(peer=peer))[1]


def test_a_revoked_certificate_is_denied_on_its_open_connection_after_the_reload(tls_program):
    tls_program.start_worker()
    context, certificate = client_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post(peer=peer).status == 200
        tls_program.write_revocation_list(certificate.serial_number)
        assert "configuration_reloaded" in tls_program.reload()
        assert "certificate_revoked" in challenge(tls_program.post(peer=peer))[1]
        assert tls_program.post(peer=peer, token=None).status == 401


def test_the_servers_certificate_is_replaced_without_closing_connections(tls_program):
    tls_program.start_worker()
    context, _ = client_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        before = peer.getpeercert(binary_form=True)
        tls_program.write_tls_files()
        assert "configuration_reloaded" in tls_program.reload()
        with connect_tls(tls_program.tls_port, context) as new:
            assert new.getpeercert(binary_form=True) != before
            assert [tls_program.post(peer=p).status for p in (peer, new)] == [200, 200]


def test_a_client_without_a_certificate_of_the_bundle_or_with_old_tls_is_not_served(tls_program):
    of_another_ca = client_context(tls_program, trustme.CA())
    without_certificate = client_context(tls_program)
    with_old_tls = client_context(tls_program, tls_program.ca)
    with_old_tls.maximum_version = ssl.TLSVersion.TLSv1_2
    for context in (of_another_ca, without_certificate, with_old_tls):
        with (
            pytest.raises((ssl.SSLError, OSError, ConnectionError)),
            connect_tls(tls_program.tls_port, context) as peer,
        ):
            tls_program.post(peer=peer)


def test_the_wrong_protocol_on_either_port_and_a_stalled_handshake_end_in_time(tls_program):
    tls_program.start_worker()
    with socket.create_connection(
        ("127.0.0.1", tls_program.tls_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request())
        while peer.recv(4096):
            pass
    with pytest.raises((ssl.SSLError, OSError)):
        connect_tls(tls_program.http_port, client_context(tls_program))
    stalled = [
        socket.create_connection(("127.0.0.1", tls_program.tls_port), timeout=WAIT_TIMEOUT_SECONDS)
        for _ in range(20)
    ]
    for peer in stalled:
        peer.sendall(b"\x16\x03\x01")
    context, _ = client_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post(peer=peer).status == 200
    for peer in stalled:
        while peer.recv(4096):
            pass
        peer.close()


def test_many_handshakes_at_once(tls_program):
    tls_program.start_worker()
    context, _ = client_with_uri(tls_program, "spiffe://danubia/portal")
    statuses = []

    def send_job():
        with connect_tls(tls_program.tls_port, context) as peer:
            statuses.append(tls_program.post(peer=peer).status)

    threads = [threading.Thread(target=send_job) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
    assert len(statuses) == 100
    assert 200 in statuses
    assert not set(statuses) & {401, 403}


def test_no_session_is_resumed(tls_program):
    context, _ = client_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        tls_program.post(peer=peer, path="/nothing")
        assert not peer.session or not peer.session.has_ticket
