"""The errors that are reported to Gearman's peers, under one base class.

Each becomes one ERROR packet that holds its code and its text. The texts are part of the wire.
"""


class GearmanError(Exception):
    """A peer's message cannot be handled; `code` is the first argument of the ERROR packet."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class FramingError(GearmanError):
    """The received bytes cannot be split into messages; the connection ends after the ERROR."""


class RequestError(GearmanError):
    """A complete packet cannot be handled; the connection stays open."""


class JobQueueFullError(RequestError):
    """A job or request is rejected for now; a retry is harmless."""

    def __init__(self, reason: str, retry_after_seconds: float) -> None:
        """Put the time to wait into the text, as docs/gearman.md specifies under "Outcomes"."""
        super().__init__(
            "JOB_QUEUE_FULL", f"refused retry-after={retry_after_seconds:.3f} {reason}"
        )


class PacketArgumentError(ValueError):
    """The dispatcher's own code tried to encode a packet that the protocol cannot express."""
