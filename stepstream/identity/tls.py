"""TLS for an inbound connection: `ssl` works on memory buffers, copied from and to the socket.

The handshake runs in the connection's own thread, within the time limit of the first message.
Receiving never sends: bytes that `ssl` itself has to send are sent with the next answer, so that
one thread at a time sends. A `TlsTransport` owns the state of `ssl`, which its lock guards.
"""

import contextlib
import socket
import ssl
import threading
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import TlsSection
from stepstream.identity.certificates import (
    ClientCertificate,
    RevocationList,
    parse_certificate,
    parse_revocation_lists,
)
from stepstream.identity.errors import CertificateError, RevocationListError
from stepstream.runtime import log_events
from stepstream.runtime.transport import Transport

RECORD_BYTES = 16 * 1024  # the longest plaintext of a TLS record (RFC 8446, 5.1)
TLS_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class TlsCredentials:
    """The files of `[identity.tls]`, read and checked, as new connections use them."""

    context: ssl.SSLContext
    revocation_list: RevocationList


def load_tls_credentials(section: TlsSection) -> TlsCredentials:
    """Read the files of `[identity.tls]`; `ConfigurationError` names a faulty one's setting."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = TLS_VERSIONS[section.least]
    # Guards against a resumed session: it would restore a certificate without checking it again.
    context.options |= ssl.OP_NO_TICKET | ssl.OP_NO_RENEGOTIATION
    context.num_tickets = 0
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(section.certificate, section.key)
    except (OSError, ssl.SSLError) as error:
        raise ConfigurationError(
            f"identity.tls.certificate={section.certificate}: {error}"
        ) from error
    try:
        bundle = Path(section.clients_ca).read_bytes()
        issuers = x509.load_pem_x509_certificates(bundle)
        context.load_verify_locations(cadata=bundle.decode("ascii"))
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            f"identity.tls.clients_ca={section.clients_ca}: {error}"
        ) from error
    context.verify_mode = ssl.CERT_REQUIRED if section.clients == "required" else ssl.CERT_OPTIONAL
    return TlsCredentials(context, load_revocation_list(section, issuers))


def load_revocation_list(section: TlsSection, issuers: list[x509.Certificate]) -> RevocationList:
    """Read the section's CRL file, if any; raise `ConfigurationError` if it cannot be used."""
    if not section.crl:
        return RevocationList()
    try:
        return parse_revocation_lists(Path(section.crl).read_bytes(), issuers)
    except (OSError, RevocationListError) as error:
        raise ConfigurationError(f"identity.tls.crl={section.crl}: {error}") from error


class TlsTransport(Transport):
    """TLS over a connected socket, as the server; see `Transport` for the methods' threads."""

    def __init__(self, sock: socket.socket, context: ssl.SSLContext) -> None:
        super().__init__(sock)
        self.incoming = ssl.MemoryBIO()  # received, not yet decrypted
        self.outgoing = ssl.MemoryBIO()  # encrypted, not yet sent
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=True)
        # Guards `tls` and both buffers after the handshake: one thread reads, another may send.
        self.lock = threading.Lock()
        self.certificate: ClientCertificate | None = None
        # Decrypted by `wait_readable`, not yet returned by `receive_available`.
        self.decrypted = b""

    def handshake(self) -> None:
        """Carry out the handshake; raise OSError (ssl.SSLError is one) if it fails.

        The owner of the connection bounds its duration: it shuts the socket down at a time-out.
        """
        while not self._advance_handshake():
            data = self.sock.recv(RECORD_BYTES)
            if not data:
                raise OSError("the peer closed the connection during the TLS handshake")
            self.incoming.write(data)
        der = self.tls.getpeercert(binary_form=True)
        try:
            self.certificate = parse_certificate(der) if der else None
        except CertificateError as error:
            # Only the holder of a certificate of the configured CA bundle can cause this log line.
            log_events.client_certificate_unreadable(reason=str(error))
            raise OSError(str(error)) from error

    def _advance_handshake(self) -> bool:
        """Advance with the received bytes; return whether the handshake is complete."""
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            return False
        finally:
            # Sent after an error, too: the TLS alert tells the peer the fault.
            with contextlib.suppress(OSError):
                self.sock.sendall(self.outgoing.read())
        return True

    def receive(self, max_bytes: int) -> bytes:
        """Wait for decrypted bytes; return b"" if the peer sends no more."""
        while True:
            with self.lock:
                try:
                    return self.tls.read(max_bytes)
                except ssl.SSLWantReadError:
                    pass
                except ssl.SSLZeroReturnError:
                    return b""
            data = self.sock.recv(RECORD_BYTES)
            if not data:
                return b""
            with self.lock:
                self.incoming.write(data)

    def wait_readable(self, max_bytes: int) -> bool:
        """Wait for decrypted bytes and keep them for `receive_available`."""
        self.decrypted = self.receive(max_bytes)
        return bool(self.decrypted)

    def receive_available(self, max_bytes: int) -> bytes:  # noqa: ARG002  bounded by the wait
        """Return the bytes that `wait_readable` has decrypted."""
        data = self.decrypted
        self.decrypted = b""
        return data

    def enqueue(self, data: bytes) -> None:
        """Encrypt bytes and append them to the unsent ones."""
        with self.lock:
            self.tls.write(data)
            self.unsent += self.outgoing.read()

    def send_available(self, data: bytes) -> bool:
        """Encrypt and send without waiting; return whether all bytes were sent."""
        self.enqueue(data)
        return self.flush_available()

    def has_unread(self) -> bool:
        """Return whether received bytes are still unread, decrypted or not."""
        with self.lock:
            is_buffered = bool(self.decrypted or self.tls.pending() or self.incoming.pending)
        return is_buffered or super().has_unread()

    def half_close(self) -> None:
        """Send the closing alert and nothing more (RFC 8446, 6.1), and go on receiving."""
        with self.lock, contextlib.suppress(OSError):
            # `unwrap` raises until the peer's closing alert arrives, which need not be sent.
            with contextlib.suppress(ssl.SSLWantReadError):
                self.tls.unwrap()
            self.sock.send(self.outgoing.read(), socket.MSG_DONTWAIT)
        super().half_close()
