"""Structured lines on standard error, for what is newer than the plain ones of `net/threads.py`."""

import sys
from typing import Literal, TextIO

import structlog

LogFormat = Literal["json", "console"]


def structured_logger(form: LogFormat, stream: TextIO = sys.stderr) -> structlog.BoundLogger:
    """`json`: one object a line, keys sorted; `console`: for people. Times are UTC, in ISO form."""
    last = (
        structlog.processors.JSONRenderer(sort_keys=True)
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    return structlog.wrap_logger(
        structlog.PrintLogger(stream),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), last],
        wrapper_class=structlog.BoundLogger,
    )
