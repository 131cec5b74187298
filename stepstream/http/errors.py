"""The base class of this package's errors."""


class HttpError(Exception):
    """Something about HTTP with a client, a worker or discovery went wrong."""
