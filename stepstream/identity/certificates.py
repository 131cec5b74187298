"""Client certificates and revocation lists (X.509, RFC 5280); free of I/O.

The chain was verified in the TLS handshake. Expiry and revocation may change while a connection is
open and are checked for every request. All objects are immutable; any thread may read them.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from cryptography import x509
from cryptography.x509.oid import NameOID

from stepstream.identity.errors import CertificateError, RevocationListError

NAME_KINDS = ("uri", "dns", "cn")  # the values of `identity.tls.names`
SPIFFE_SCHEME = "spiffe://"
CRL_HEADER = b"-----BEGIN X509 CRL-----"
# Errors of the x509 library for a certificate that the TLS handshake may have accepted.
PARSE_ERRORS = (
    ValueError,
    x509.InvalidVersion,
    x509.DuplicateExtension,
    x509.UnsupportedGeneralNameType,
)


@dataclass(frozen=True, slots=True)
class ClientCertificate:
    """The content of a peer's certificate; times in Unix seconds.

    `names` has the names by kind (`NAME_KINDS`), in the certificate's order.
    """

    serial_number: int
    issuer: bytes  # DER
    not_before: float
    not_after: float
    names: dict[str, tuple[str, ...]]

    @property
    def key_id(self) -> str:
        """The serial number in hexadecimal, for audit lines."""
        return f"{self.serial_number:x}"

    def subject(self, name_kinds: Sequence[str]) -> str:
        """Return the name that identifies the peer; raise `CertificateError` without one.

        `name_kinds` has the kinds by preference: the first name of the first kind present counts.
        A URI is returned unchanged, other names as `dns:NAME` or `cn:NAME`.
        """
        for kind in name_kinds:
            names = self.names.get(kind, ())
            if kind == "uri" and sum(name.startswith(SPIFFE_SCHEME) for name in names) > 1:
                # A certificate has exactly one SPIFFE ID (SPIFFE X.509-SVID, 2).
                raise CertificateError("two_spiffe_ids", "it has several SPIFFE IDs", self.key_id)
            if names:
                return names[0] if kind == "uri" else f"{kind}:{names[0]}"
        raise CertificateError("no_name", f"it has no name of {', '.join(name_kinds)}", self.key_id)


@dataclass(frozen=True, slots=True)
class RevocationList:
    """The certificates that CRLs (RFC 5280, 5) revoke, by the issuer's DER and serial number."""

    revoked: frozenset[tuple[bytes, int]] = frozenset()

    def has_revoked(self, certificate: ClientCertificate) -> bool:
        """Return whether the certificate is revoked."""
        return (certificate.issuer, certificate.serial_number) in self.revoked


def parse_certificate(der: bytes) -> ClientCertificate:
    """Read a DER certificate; raise `CertificateError`."""
    try:
        certificate = x509.load_der_x509_certificate(der)
        return ClientCertificate(
            certificate.serial_number,
            certificate.issuer.public_bytes(),
            certificate.not_valid_before_utc.timestamp(),
            certificate.not_valid_after_utc.timestamp(),
            names_of(certificate),
        )
    except PARSE_ERRORS as error:
        explanation = f"it cannot be read: {type(error).__name__}"
        raise CertificateError("unreadable", explanation) from error


def names_of(certificate: x509.Certificate) -> dict[str, tuple[str, ...]]:
    """Return the common names and the alternative names (RFC 5280, 4.1.2.6 and 4.2.1.6)."""
    common_names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    names = {"cn": tuple(str(attribute.value) for attribute in common_names)}
    try:
        extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return names
    alternative_names = extension.value
    names["uri"] = tuple(alternative_names.get_values_for_type(x509.UniformResourceIdentifier))
    names["dns"] = tuple(alternative_names.get_values_for_type(x509.DNSName))
    return names


def parse_revocation_lists(data: bytes, issuers: Sequence[x509.Certificate]) -> RevocationList:
    """Read one or more PEM CRLs, each signed by one of the issuers (RFC 5280, 5.1.1.3).

    Raise `RevocationListError` if one cannot be read or no issuer has signed it.
    """
    revoked: set[tuple[bytes, int]] = set()
    for body in data.split(CRL_HEADER)[1:]:
        try:
            crl = x509.load_pem_x509_crl(CRL_HEADER + body)
            revoked |= revoked_by(crl, issuers)
        except ValueError as error:  # raised by the library; its text names what it could not read
            raise RevocationListError(str(error)) from error
    return RevocationList(frozenset(revoked))


def revoked_by(
    crl: x509.CertificateRevocationList, issuers: Sequence[x509.Certificate]
) -> set[tuple[bytes, int]]:
    """Return the certificates that a CRL revokes, by the issuer's DER and serial number.

    Raise `RevocationListError` if no issuer has signed the CRL.
    """
    signers = [issuer for issuer in issuers if issuer.subject == crl.issuer]
    if not any(is_signed_by(crl, signer) for signer in signers):
        raise RevocationListError("a CRL is not signed by a certificate of the CA bundle")
    issuer_name = crl.issuer.public_bytes()
    return {(issuer_name, entry.serial_number) for entry in crl}


def is_signed_by(crl: x509.CertificateRevocationList, signer: x509.Certificate) -> bool:
    """Return whether this CA certificate's key has signed the CRL."""
    # The library raises TypeError for key types that cannot sign a CRL.
    return crl.is_signature_valid(signer.public_key())  # type: ignore[arg-type]


def check_validity(
    certificate: ClientCertificate, revocation_list: RevocationList, now: float
) -> None:
    """Raise `CertificateError` if a certificate is not valid at the Unix time `now`.

    Sources: RFC 5280, 4.1.2.5 (validity) and 5 (revocation).
    """
    key_id = certificate.key_id
    if revocation_list.has_revoked(certificate):
        raise CertificateError("certificate_revoked", "a CRL revokes it", key_id)
    if now >= certificate.not_after:
        raise CertificateError("certificate_expired", "notAfter has passed", key_id)
    if now < certificate.not_before:
        raise CertificateError("certificate_not_yet", "notBefore is in the future", key_id)
