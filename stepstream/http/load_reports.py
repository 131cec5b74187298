"""Read the load reports of workers, whose field names the settings give.

A report comes in one of three places: the header `Server-Load: TEXT inflight=7, queue=2` of an
answer, the object `"load":{...}` of a job notification, or the body of a health check's answer, as
that text or as a JSON object. A report that cannot be read is dropped and counted and changes
nothing else; fields that the settings do not name are ignored.

No I/O. The only state is the reader's configuration, which the main thread replaces at a reload
while any thread reads.
"""

from collections.abc import Callable
from typing import TypeVar

import ujson

from stepstream.http.errors import HttpError
from stepstream.http.named_numbers import bounded_number, read_pairs
from stepstream.model.settings import Settings

HEADER = "server-load"
TEXT_FORMAT = "TEXT"  # the first word of a report in text form

Report = dict[str, float]  # by the policy's name of a column

Given = TypeVar("Given")


class LoadReportFormatError(HttpError, ValueError):
    """A load report is neither text that begins with TEXT nor an object."""


def read_text(text: str) -> dict[str, str]:
    """Split a report in text form into its fields; raises ValueError."""
    first_word, _, fields = text.strip().partition(" ")
    if first_word != TEXT_FORMAT:
        raise LoadReportFormatError("it does not begin with TEXT")
    return read_pairs(fields)


def read_body(body: bytes) -> object:
    """Decode a report in JSON or text form; raises ValueError."""
    text = body.decode()
    return ujson.loads(text) if text.lstrip().startswith("{") else read_text(text)


def as_decoded(load: object) -> object:
    """Return a report that was decoded with the message around it."""
    return load


class LoadReportReader:
    """Reads reports by the settings in force; any thread."""

    def __init__(self, settings: Settings, on_unreadable: Callable[[str], None]) -> None:
        """`on_unreadable` gets what is wrong with each report that cannot be read."""
        self.on_unreadable = on_unreadable
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Read by these settings from now on."""
        # The policy's name of each field, by the worker's.
        self.column_names = dict(
            zip(settings.load_report_names, settings.load_report_columns, strict=True)
        )
        self.in_answers = settings.load_report_source == "answers"
        self.in_health_checks = settings.load_report_source != "none"

    def read_header(self, text: str | None) -> Report | None:
        """Read the header of an answer that ends an attempt.

        None for no report, for an unreadable one, and where the settings say that answers bring
        none.
        """
        return self.read(read_text, text) if self.in_answers else None

    def read_notification(self, load: object) -> Report | None:
        """Read the `load` object of a notification that ends an attempt; None as for a header."""
        return self.read(as_decoded, load) if self.in_answers else None

    def read_health_check(self, body: bytes) -> Report | None:
        """Read the body of a health check's answer; None as for a header."""
        return self.read(read_body, body or None) if self.in_health_checks else None

    def read(self, decode: Callable[[Given], object], given: Given | None) -> Report | None:
        """Return the named fields of a report that `decode` splits, or None; never raises."""
        if given is None:
            return None
        column_names = self.column_names  # read once: the main thread may replace it meanwhile
        try:
            fields = decode(given)
            if not isinstance(fields, dict):
                raise LoadReportFormatError("it is not an object")
            return {
                column_names[name]: bounded_number(value)
                for name, value in fields.items()
                if name in column_names
            } or None
        except (ValueError, RecursionError) as error:
            self.on_unreadable(f"{error}")
            return None
