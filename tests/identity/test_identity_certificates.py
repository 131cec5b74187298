"""Client certificates: which name identifies the caller, and when a certificate is valid."""

import pytest

from stepstream.identity.certificates import (
    ClientCertificate,
    RevocationList,
    check_validity,
    parse_certificate,
    parse_revocation_lists,
)
from stepstream.identity.errors import CertificateError, RevocationListError
from tests.case_ids import case_id

NOW = 1_900_000_000
ISSUER = b"issuer"


def client_certificate(**names):
    return ClientCertificate(0xAB, ISSUER, NOW - 60, NOW + 60, names)


@pytest.mark.parametrize(
    ("names", "name_kinds", "subject"),
    [
        ({"uri": ("spiffe://a/b",), "dns": ("d",)}, ("uri", "dns"), "spiffe://a/b"),
        ({"uri": ("spiffe://a/b",), "dns": ("d",)}, ("dns", "uri"), "dns:d"),
        ({"dns": ("d", "e"), "cn": ("c",)}, ("uri", "dns", "cn"), "dns:d"),
        ({"uri": (), "dns": (), "cn": ("c",)}, ("uri", "dns", "cn"), "cn:c"),
        ({"uri": ("https://a", "spiffe://a/b")}, ("uri",), "https://a"),
    ],
    ids=case_id,
)
def test_the_subject_is_the_first_name_of_the_first_kind_present(names, name_kinds, subject):
    assert client_certificate(**names).subject(name_kinds) == subject


@pytest.mark.parametrize(
    ("names", "name_kinds", "reason"),
    [
        ({"cn": ("c",)}, ("uri", "dns"), "no_name"),
        ({}, ("uri",), "no_name"),
        ({"uri": ("spiffe://a/b", "spiffe://a/c")}, ("uri",), "two_spiffe_ids"),
    ],
    ids=case_id,
)
def test_a_certificate_without_a_name_or_with_two_spiffe_ids_is_rejected(names, name_kinds, reason):
    with pytest.raises(CertificateError) as raised:
        client_certificate(**names).subject(name_kinds)
    assert raised.value.reason == reason
    assert raised.value.key_id == "ab"


@pytest.mark.parametrize(
    ("now", "revoked", "reason"),
    [
        (NOW - 61, set(), "certificate_not_yet"),
        (NOW - 60, set(), None),
        (NOW + 59, set(), None),
        (NOW + 60, set(), "certificate_expired"),
        (NOW, {(ISSUER, 0xAB)}, "certificate_revoked"),
        (NOW + 60, {(ISSUER, 0xAB)}, "certificate_revoked"),
        (NOW, {(b"another", 0xAB), (ISSUER, 0xAC)}, None),
    ],
    ids=case_id,
)
def test_a_certificate_is_valid_between_its_times_unless_revoked(now, revoked, reason):
    revocation_list = RevocationList(frozenset(revoked))
    if reason is None:
        check_validity(client_certificate(), revocation_list, now)
        return
    with pytest.raises(CertificateError) as raised:
        check_validity(client_certificate(), revocation_list, now)
    assert raised.value.reason == reason


def test_unreadable_certificates_and_revocation_lists_are_rejected():
    with pytest.raises(CertificateError) as raised:
        parse_certificate(b"x")
    assert raised.value.reason == "unreadable"
    with pytest.raises(RevocationListError):
        parse_revocation_lists(b"-----BEGIN X509 CRL-----\nx\n-----END X509 CRL-----\n", [])
