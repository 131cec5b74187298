"""Errors in configuration."""

pass


class ConfigurationError(Exception):
    """A value is missing or cannot be read; the text names its key."""
