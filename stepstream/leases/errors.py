"""The base of this package's errors."""


class LeaseError(Exception):
    """A rule of the leases does not hold; the text says which, for what, and what was expected."""
