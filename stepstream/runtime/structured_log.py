"""Structured log lines on standard error, for the subsystems of the operator's file."""

import sys
from typing import Literal, TextIO, cast

import structlog

LogFormat = Literal["json", "console"]


def structured_logger(log_format: LogFormat, stream: TextIO = sys.stderr) -> structlog.BoundLogger:
    """Create a logger; `json` writes one object a line, keys sorted, `console` is for people.

    Times are UTC, in ISO form.
    """
    renderer = (
        structlog.processors.JSONRenderer(sort_keys=True)
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    logger = structlog.wrap_logger(
        structlog.PrintLogger(stream),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.BoundLogger,
    )
    return cast(structlog.BoundLogger, logger)
