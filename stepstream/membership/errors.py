"""The base class of this package's errors; each subclass is defined where it is raised."""


class MembershipError(Exception):
    """Any error of the membership protocol or of its commands."""
