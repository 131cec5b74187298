"""The errors of this package. No text holds a token, a signature or a private key."""


class IdentityError(Exception):
    """Base of this package's errors; the text names the fault and the expected form."""


class CredentialError(IdentityError):
    """A credential identifies nobody.

    `reason` is one word for clients, audit lines and the command line. They do not get the text,
    which would help forgers. `key_id` is the id of the token's key or the certificate's serial
    number; it is empty if the check failed before it was read.
    """

    credential = "credential"

    def __init__(self, reason: str, explanation: str, key_id: str = "") -> None:
        prefix = f"{self.credential} of {key_id}" if key_id else self.credential
        super().__init__(f"{prefix}: {explanation}")
        self.reason = reason
        self.key_id = key_id


class TokenError(CredentialError):
    """A bearer token that identifies nobody."""

    credential = "token"


class CertificateError(CredentialError):
    """A client certificate that identifies nobody."""

    credential = "certificate"


class KeySetError(IdentityError):
    """A JWK set that cannot be used; the text begins with the path of the faulty member."""


class RevocationListError(IdentityError):
    """A file of certificate revocation lists that cannot be used."""


class IdentityCommandError(IdentityError):
    """A command on keys or tokens that cannot be carried out.

    The text is printed as one line, and the command exits with status 2.
    """
