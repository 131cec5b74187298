"""Errors in configuration."""


class ConfigurationError(Exception):
    """A value is missing or cannot be read, or the file or address that it names cannot be opened.

    The message begins with the value's key, as the operator wrote it, and ends with the expected
    form.
    `serve` and `check-config` print it as one line and exit with status 2.
    """
