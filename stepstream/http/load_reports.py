"""Load reports as workers word them, by the names in the settings; free of I/O.

One report has three places: the header `Server-Load: TEXT inflight=7, queue=2` of an answer, the object
`"load":{...}` in news, and a probe's body, the same text without the header's name. A report that cannot be
read is no report, costs nothing else and is counted; fields that the settings do not name are ignored.
"""

from collections.abc import Callable

import ujson

from stepstream.http.named_numbers import bounded_number, read_pairs
from stepstream.model.settings import Settings

HEADER = "server-load"

Report = dict[str, float]


def read_text(text: str) -> dict[str, str]:
    word, _, rest = text.strip().partition(" ")
    if word != "TEXT":
        raise ValueError("it does not begin with TEXT")
    return read_pairs(rest)


def read_body(body: bytes) -> object:
    text = body.decode()
    return ujson.loads(text) if text.lstrip().startswith("{") else read_text(text)


class LoadReportReader:
    """Reads reports by the settings in force; any thread."""

    def __init__(self, settings: Settings, complain: Callable[[str], None]) -> None:
        """`complain` is told what is wrong with a report."""
        self.complain = complain
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        self.names = dict(
            zip(settings.load_report_names, settings.load_report_columns, strict=True)
        )
        self.in_answers = settings.load_report_source == "answers"
        self.in_probes = settings.load_report_source != "none"

    def header(self, text: str | None) -> Report | None:
        """Of an answer that ends an attempt; None where the settings say that such bring none."""
        return self.read(read_text, text) if self.in_answers else None

    def news(self, load: object) -> Report | None:
        """Of news that ends an attempt: its `load` object."""
        return self.read(lambda given: given, load) if self.in_answers else None

    def probe(self, body: bytes) -> Report | None:
        return self.read(read_body, body or None) if self.in_probes else None

    def read(self, how: Callable, given: object) -> Report | None:
        if given is None:
            return None
        names = self.names  # one look: another thread may be at a reload
        try:
            fields = how(given)
            if not isinstance(fields, dict):
                raise ValueError("it is not an object")
            return {
                names[name]: bounded_number(value)
                for name, value in fields.items()
                if name in names
            } or None
        except (ValueError, RecursionError) as error:
            self.complain(f"{error}")
            return None
