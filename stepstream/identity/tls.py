"""TLS under an inbound connection: the library between two memory buffers, and the bare socket.

The handshake takes place in the connection's own thread, within the time of a greeting. Reading never
writes: what the library wants to say meanwhile leaves with the next answer, so that one thread at a time
sends.
"""

import contextlib
import socket
import ssl
import threading
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509

from stepstream.config.errors import ConfigurationError
from stepstream.config.operator_file import TlsSection as Section
from stepstream.identity.certificates import Certificate, Revoked, read_certificate, read_crls
from stepstream.runtime.transport import Transport

RECORD = 16 * 1024
LEAST = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class Credentials:
    """What new connections are met with; files read and found whole."""

    context: ssl.SSLContext
    revoked: Revoked


def load(section: Section) -> Credentials:
    """FieldError names the key whose file cannot be used."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = LEAST[section.least]
    # Guards a revocation: a resumed session would bring back a certificate that nobody has looked at again.
    context.options |= ssl.OP_NO_TICKET | ssl.OP_NO_RENEGOTIATION
    context.num_tickets = 0
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(section.certificate, section.key)
    except (OSError, ssl.SSLError) as error:
        raise ConfigurationError(
            f"identity.tls.certificate={section.certificate}: {error}"
        ) from None
    try:
        bundle = Path(section.clients_ca).read_bytes()
        issuers = x509.load_pem_x509_certificates(bundle)
        context.load_verify_locations(cadata=bundle.decode("ascii"))
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"identity.tls.clients_ca={section.clients_ca}: {error}") from None
    context.verify_mode = ssl.CERT_REQUIRED if section.clients == "required" else ssl.CERT_OPTIONAL
    try:
        revoked = read_crls(Path(section.crl).read_bytes(), issuers) if section.crl else Revoked()
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"identity.tls.crl={section.crl}: {error}") from None
    return Credentials(context, revoked)


class TlsLink(Transport):
    def __init__(self, sock: socket.socket, context: ssl.SSLContext) -> None:
        super().__init__(sock)
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=True)
        self.lock = threading.Lock()  # of the library's state
        self.certificate: Certificate | None = None
        self.plain = b""  # waited for and not taken yet

    def handshake(self) -> None:
        """The handshake; OSError (ssl.SSLError is one) if there is none. The driver's look bounds its
        time.
        """
        while not self.shaken():
            data = self.sock.recv(RECORD)
            if not data:
                raise OSError("the peer left in the handshake")
            self.incoming.write(data)
        der = self.tls.getpeercert(binary_form=True)
        self.certificate = read_certificate(der) if der else None

    def shaken(self) -> bool:
        try:
            self.tls.do_handshake()
            return True
        except ssl.SSLWantReadError:
            return False
        finally:
            # An alert too: it says what was wrong.
            with contextlib.suppress(OSError):
                self.sock.sendall(self.outgoing.read())

    def receive(self, size: int) -> bytes:
        while True:
            with self.lock:
                try:
                    return self.tls.read(size)
                except ssl.SSLWantReadError:
                    pass
                except ssl.SSLZeroReturnError:
                    return b""
            data = self.sock.recv(RECORD)
            if not data:
                return b""
            with self.lock:
                self.incoming.write(data)

    def wait_readable(self, size: int) -> bool:
        self.plain = self.receive(size)
        return bool(self.plain)

    def receive_available(self, size: int) -> bytes:
        data, self.plain = self.plain, b""
        return data

    def enqueue(self, data: bytes) -> None:
        with self.lock:
            self.tls.write(data)
            self.unsent += self.outgoing.read()

    def send_available(self, data: bytes) -> bool:
        self.enqueue(data)
        return self.flush_available()

    def has_unread(self) -> bool:
        with self.lock:
            waiting = bool(self.plain or self.tls.pending() or self.incoming.pending)
        return waiting or super().has_unread()

    def half_close(self) -> None:
        with self.lock, contextlib.suppress(OSError):
            try:
                self.tls.unwrap()
            except ssl.SSLWantReadError:
                pass
            self.sock.send(self.outgoing.read(), socket.MSG_DONTWAIT)
        super().half_close()
