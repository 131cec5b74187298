"""Client certificates: which name identifies the caller, and when a certificate is good."""

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


def certificate(**names):
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
    assert certificate(**names).subject(name_kinds) == subject


@pytest.mark.parametrize(
    ("names", "name_kinds", "reason"),
    [
        ({"cn": ("c",)}, ("uri", "dns"), "no_name"),
        ({}, ("uri",), "no_name"),
        ({"uri": ("spiffe://a/b", "spiffe://a/c")}, ("uri",), "two_spiffe_ids"),
    ],
    ids=case_id,
)
def test_a_certificate_without_one_usable_name_identifies_nobody(names, name_kinds, reason):
    with pytest.raises(CertificateError) as fault:
        certificate(**names).subject(name_kinds)
    assert fault.value.reason == reason
    assert fault.value.key_id == "ab"


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
def test_a_certificate_is_good_within_its_times_unless_revoked(now, revoked, reason):
    revocation_list = RevocationList(frozenset(revoked))
    if reason is None:
        check_validity(certificate(), revocation_list, now)
        return
    with pytest.raises(CertificateError) as fault:
        check_validity(certificate(), revocation_list, now)
    assert fault.value.reason == reason


def test_what_is_no_certificate_and_no_revocation_list_is_rejected():
    with pytest.raises(CertificateError) as fault:
        parse_certificate(b"x")
    assert fault.value.reason == "unreadable"
    with pytest.raises(RevocationListError):
        parse_revocation_lists(b"-----BEGIN X509 CRL-----\nx\n-----END X509 CRL-----\n", [])
