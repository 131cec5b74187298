"""Errors in configuration."""


class ConfigurationError(Exception):
    """A value is missing, cannot be read or cannot be had.

    The text begins with the value's key as the operator wrote it, and ends with the expected form.
    `serve` and `check-config` print it as one line and exit with status 2.
    """
