"""Read the load reports of workers; the settings name their fields.

A report comes in one of three places: the header `Server-Load: TEXT inflight=7, queue=2` of an
answer, the object `"load":{...}` of a job notification, or the body of a health check's answer, as
text in that form or as a JSON object. A malformed report is counted and dropped, and has no other
effect. Fields that the settings do not name are ignored.

No I/O. The only state is the reader's configuration. The main thread replaces it at a reload, and
any thread reads it.
"""

from collections.abc import Callable
from typing import TypeVar

from stepstream.config.json_decoding import decode_json
from stepstream.http.errors import HttpError
from stepstream.http.named_numbers import bounded_number, read_pairs
from stepstream.model.settings import Settings

LOAD_REPORT_HEADER = "server-load"
TEXT_FORMAT = "TEXT"  # the first word of a report in text form

Report = dict[str, float]  # by the policy's name of a column

EncodedReport = TypeVar("EncodedReport")


class LoadReportFormatError(HttpError, ValueError):
    """A load report is neither text that begins with TEXT nor an object."""


def decode_text(text: str) -> dict[str, str]:
    """Split a report in text form into its fields; raises ValueError if it is malformed."""
    format_name, _, fields = text.strip().partition(" ")
    if format_name != TEXT_FORMAT:
        raise LoadReportFormatError("the load report does not begin with TEXT")
    return read_pairs(fields)


def decode_body(body: bytes) -> object:
    """Decode a report in JSON or text form; raises ValueError if it is malformed."""
    text = body.decode()
    return decode_json(text) if text.lstrip().startswith("{") else decode_text(text)


def return_decoded(load: object) -> object:
    """Return a report unchanged, because it was decoded as a part of its message."""
    return load


class LoadReportReader:
    """Reads reports by the current settings; any thread may use it."""

    def __init__(self, settings: Settings, on_unreadable: Callable[[str], None]) -> None:
        """`on_unreadable` takes the description of the fault in each malformed report."""
        self.on_unreadable = on_unreadable
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Use these settings from now on."""
        # By the worker's name of each field: the policy's name of it.
        self.column_names = dict(
            zip(settings.load_report_names, settings.load_report_columns, strict=True)
        )
        self.in_answers = settings.load_report_source == "answers"
        self.in_health_checks = settings.load_report_source != "none"

    def read_header(self, text: str | None) -> Report | None:
        """Read the header of an answer that ends an attempt.

        Return None without a report, for a malformed one, and if the settings do not expect reports
        in answers.
        """
        return self.read(decode_text, text) if self.in_answers else None

    def read_notification(self, load: object) -> Report | None:
        """Read the `load` object of a notification that ends an attempt; None as for a header."""
        return self.read(return_decoded, load) if self.in_answers else None

    def read_health_check(self, body: bytes) -> Report | None:
        """Read the body of a health check's answer; None as for a header."""
        return self.read(decode_body, body or None) if self.in_health_checks else None

    def read(
        self, decode: Callable[[EncodedReport], object], encoded: EncodedReport | None
    ) -> Report | None:
        """Return the fields of a report that the settings name, or None; never raises."""
        if encoded is None:
            return None
        column_names = self.column_names  # read once: a reload may replace it at any time
        try:
            fields = decode(encoded)
            if not isinstance(fields, dict):
                raise LoadReportFormatError("the load report is not an object")
            return {
                column_names[name]: bounded_number(value)
                for name, value in fields.items()
                if name in column_names
            } or None
        except ValueError as error:
            self.on_unreadable(f"{error}")
            return None
