"""A process with `[identity.tls]`: client certificates, expiry, revocation and handshakes."""

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
from tests.identity.program import status_and_challenge
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for


def client_context(tls_program, ca=None):
    """Return a client's TLS context; with `ca`, it has a certificate of that CA."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_program.ca.configure_trust(context)
    if ca is not None:
        ca.issue_cert("client.test").configure_cert(context)
    return context


def context_with_uri(tls_program, uri, lifetime_seconds=600):
    """Return a context and its client certificate with one URI as SAN.

    trustme cannot issue such a certificate.
    """
    names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri)])
    return context_with_names(tls_program, names, lifetime_seconds)


def context_with_names(tls_program, names, lifetime_seconds=600):
    """Return a context and its client certificate, whose SAN extension is `names`."""
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
        .not_valid_after(now + datetime.timedelta(seconds=lifetime_seconds))
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
    sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)
    return context.wrap_socket(sock, server_hostname="127.0.0.1")


def test_a_certificate_that_cannot_be_parsed_closes_its_connection_with_one_log_line(
    tls_program,
):
    # Guards against an uncaught error in the connection's thread. The handshake accepts an X.400
    # address as alternative name, but the parser of certificates does not.
    x400_address = x509.UnrecognizedExtension(
        x509.OID_SUBJECT_ALTERNATIVE_NAME, b"\x30\x02\xa3\x00"
    )
    context, _ = context_with_names(tls_program, x400_address)
    with connect_tls(tls_program.tls_port, context) as peer, contextlib.suppress(OSError):
        assert peer.recv(1) == b""
    tls_program.start_worker()
    publisher, _ = context_with_uri(tls_program, "spiffe://danubia/publisher")
    with connect_tls(tls_program.tls_port, publisher) as peer:
        assert tls_program.post_job(peer=peer, path="/nav-publish").body == b"17.5"
    tls_program.process.terminate()
    log = tls_program.process.communicate(timeout=WAIT_TIMEOUT_SECONDS)[1]
    assert log.count("client_certificate_unreadable") == 1
    assert "internal_fault" not in log


def test_a_certificate_identifies_its_caller_over_http_and_gearman(tls_program):
    tls_program.start_worker()
    publisher, _ = context_with_uri(tls_program, "spiffe://danubia/publisher")
    with connect_tls(tls_program.tls_port, publisher) as peer:
        for _ in range(3):
            assert tls_program.post_job(peer=peer, path="/nav-publish").body == b"17.5"
        assert tls_program.post_job(tls_program.issue_token("publisher"), peer).status == 200
        assert (
            "two_callers"
            in status_and_challenge(tls_program.post_job(tls_program.issue_token("portal"), peer))[
                1
            ]
        )
    portal, _ = context_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, portal) as peer:
        assert tls_program.post_job(peer=peer).status == 200
        assert tls_program.post_job(peer=peer, path="/nav-publish").status == 403
    with connect_tls(tls_program.gearman_tls_port, publisher) as sock:
        peer = GearmanPeer(sock)
        completion = peer.send(
            PacketKind.SUBMIT_JOB, "tatra-invest/nav-publish", "k", "x"
        ).receive_until(PacketKind.WORK_COMPLETE)
        assert completion.args[1] == b"17.5"


def test_a_request_gets_401_after_the_certificate_of_its_open_connection_has_expired(tls_program):
    tls_program.start_worker()
    context, _ = context_with_uri(tls_program, "spiffe://danubia/portal", lifetime_seconds=4)
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post_job(peer=peer).status == 200
        wait_for(lambda: tls_program.post_job(peer=peer).status == 401)
        assert "certificate_expired" in status_and_challenge(tls_program.post_job(peer=peer))[1]


def test_a_request_gets_401_after_a_reload_has_revoked_the_certificate_of_its_connection(
    tls_program,
):
    tls_program.start_worker()
    context, certificate = context_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post_job(peer=peer).status == 200
        tls_program.write_revocation_list(certificate.serial_number)
        assert "configuration_reloaded" in tls_program.reload()
        assert "certificate_revoked" in status_and_challenge(tls_program.post_job(peer=peer))[1]
        assert tls_program.post_job(peer=peer, token=None).status == 401


def test_the_servers_certificate_is_replaced_without_closing_connections(tls_program):
    tls_program.start_worker()
    context, _ = context_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        certificate_before = peer.getpeercert(binary_form=True)
        tls_program.write_tls_files()
        assert "configuration_reloaded" in tls_program.reload()
        with connect_tls(tls_program.tls_port, context) as new_peer:
            assert new_peer.getpeercert(binary_form=True) != certificate_before
            assert [tls_program.post_job(peer=sock).status for sock in (peer, new_peer)] == [
                200,
                200,
            ]


def test_a_client_without_a_certificate_of_the_ca_bundle_or_with_tls_1_2_is_not_served(tls_program):
    with_another_ca = client_context(tls_program, trustme.CA())
    without_certificate = client_context(tls_program)
    with_tls_1_2 = client_context(tls_program, tls_program.ca)
    with_tls_1_2.maximum_version = ssl.TLSVersion.TLSv1_2
    for context in (with_another_ca, without_certificate, with_tls_1_2):
        with (
            pytest.raises((ssl.SSLError, OSError, ConnectionError)),
            connect_tls(tls_program.tls_port, context) as peer,
        ):
            tls_program.post_job(peer=peer)


def test_connections_with_the_wrong_protocol_or_a_stalled_handshake_are_closed_in_time(tls_program):
    tls_program.start_worker()
    with socket.create_connection(
        ("127.0.0.1", tls_program.tls_port), timeout=WAIT_TIMEOUT_SECONDS
    ) as peer:
        peer.sendall(job_request())
        while peer.recv(4096):
            pass
    with pytest.raises((ssl.SSLError, OSError)):
        connect_tls(tls_program.http_port, client_context(tls_program))
    stalled_peers = [
        socket.create_connection(("127.0.0.1", tls_program.tls_port), timeout=WAIT_TIMEOUT_SECONDS)
        for _ in range(20)
    ]
    for peer in stalled_peers:
        peer.sendall(b"\x16\x03\x01")
    context, _ = context_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        assert tls_program.post_job(peer=peer).status == 200
    for peer in stalled_peers:
        while peer.recv(4096):
            pass
        peer.close()


def test_100_concurrent_tls_clients_are_answered_without_401_or_403(tls_program):
    tls_program.start_worker()
    context, _ = context_with_uri(tls_program, "spiffe://danubia/portal")
    statuses = []

    def send_job():
        with connect_tls(tls_program.tls_port, context) as peer:
            statuses.append(tls_program.post_job(peer=peer).status)

    threads = [threading.Thread(target=send_job) for _ in range(100)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
    assert len(statuses) == 100
    assert 200 in statuses
    assert not set(statuses) & {401, 403}


def test_no_session_ticket_is_issued(tls_program):
    context, _ = context_with_uri(tls_program, "spiffe://danubia/portal")
    with connect_tls(tls_program.tls_port, context) as peer:
        tls_program.post_job(peer=peer, path="/nothing")
        assert not peer.session or not peer.session.has_ticket
