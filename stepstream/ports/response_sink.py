"""Where the answer of a request goes.

The protocol is defined with the request that carries it: the core may not import this package.
"""

from stepstream.core.requests import ResponseSink

__all__ = ["ResponseSink"]
