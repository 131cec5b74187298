"""The base class of this package's errors; each is defined where it is raised."""


class LeaseError(Exception):
    """A rule of the leases does not hold; the text says which, for what, and what was expected."""
