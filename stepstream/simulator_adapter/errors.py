"""The error of this package."""

from stepstream.config.errors import ConfigurationError


class WireError(ConfigurationError):
    """The simulator has sent a message that cannot be read, or that its state does not allow."""
