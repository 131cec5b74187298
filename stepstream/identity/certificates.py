"""What a client's certificate says, and whether it is good now; free of I/O.

The chain was verified in the handshake. What may change while a connection lives, its end and its
revocation, is asked for every request.
"""

from dataclasses import dataclass

from cryptography import x509
from cryptography.x509.oid import NameOID

NAMES = ("uri", "dns", "cn")


class CertificateError(Exception):
    """The certificate identifies nobody; `reason` is one word for logs and clients."""

    def __init__(self, reason: str, serial: str = "") -> None:
        super().__init__(reason)
        self.reason, self.serial = reason, serial


@dataclass(frozen=True, slots=True)
class Certificate:
    """Times in Unix seconds. `names`: those that it has, by kind, in the certificate's order."""

    serial: int
    issuer: bytes
    not_before: float
    not_after: float
    names: dict[str, tuple[str, ...]]

    @property
    def key(self) -> str:
        return f"{self.serial:x}"

    def subject(self, order: tuple[str, ...]) -> str:
        """The first name by the file's order of kinds: a URI as it is, else `dns:NAME` or `cn:NAME`."""
        for kind in order:
            found = self.names.get(kind, ())
            if kind == "uri" and len([n for n in found if n.startswith("spiffe://")]) > 1:
                raise CertificateError(
                    "two_spiffe_ids", self.key
                )  # SPIFFE X.509-SVID, 2: exactly one
            if found:
                return found[0] if kind == "uri" else f"{kind}:{found[0]}"
        raise CertificateError("no_name", self.key)


def read_certificate(der: bytes) -> Certificate:
    try:
        found = x509.load_der_x509_certificate(der)
        names = {
            "cn": tuple(a.value for a in found.subject.get_attributes_for_oid(NameOID.COMMON_NAME))
        }
        try:
            alternative = found.extensions.get_extension_for_class(
                x509.SubjectAlternativeName
            ).value
            names["uri"] = tuple(alternative.get_values_for_type(x509.UniformResourceIdentifier))
            names["dns"] = tuple(alternative.get_values_for_type(x509.DNSName))
        except x509.ExtensionNotFound:
            pass
        return Certificate(
            found.serial_number,
            found.issuer.public_bytes(),
            found.not_valid_before_utc.timestamp(),
            found.not_valid_after_utc.timestamp(),
            names,
        )
    except ValueError:
        raise CertificateError("unreadable") from None


@dataclass(frozen=True, slots=True)
class Revoked:
    """Certificates that a CRL file names, by issuer and serial number."""

    serials: frozenset[tuple[bytes, int]] = frozenset()

    def has(self, certificate: Certificate) -> bool:
        return (certificate.issuer, certificate.serial) in self.serials


def read_crls(data: bytes, issuers: list[x509.Certificate]) -> Revoked:
    """One or more PEM lists; ValueError if one cannot be read or no issuer at hand has signed it."""
    serials = set()
    for piece in data.split(b"-----BEGIN X509 CRL-----")[1:]:
        crl = x509.load_pem_x509_crl(b"-----BEGIN X509 CRL-----" + piece)
        signers = [issuer for issuer in issuers if issuer.subject == crl.issuer]
        if not any(crl.is_signature_valid(signer.public_key()) for signer in signers):
            raise ValueError("a list is signed by none of the CA bundle")
        serials |= {(crl.issuer.public_bytes(), entry.serial_number) for entry in crl}
    return Revoked(frozenset(serials))


def check(certificate: Certificate, revoked: Revoked, now: float) -> None:
    if revoked.has(certificate):
        raise CertificateError("certificate_revoked", certificate.key)
    if now >= certificate.not_after:
        raise CertificateError("certificate_expired", certificate.key)
    if now < certificate.not_before:
        raise CertificateError("certificate_not_yet", certificate.key)
