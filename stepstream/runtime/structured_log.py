"""Structured log lines on standard error, for the subsystems of the operator's file."""

import sys
from collections.abc import Mapping, Sequence
from typing import Literal, TextIO, cast

import structlog

LogFormat = Literal["json", "console"]

MAX_CHANGE_LINES = 50  # in one step; further changes are counted in one line


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


def log_changes(
    logger: structlog.BoundLogger,
    event: str,
    overflow_event: str,
    changes: Sequence[Mapping[str, object]],
) -> None:
    """Log a line `event` for each of the first changes, and count the rest in one line.

    A change is given as the fields of its line.
    """
    for fields in changes[:MAX_CHANGE_LINES]:
        logger.info(event, **fields)
    if len(changes) > MAX_CHANGE_LINES:
        logger.info(overflow_event, more=len(changes) - MAX_CHANGE_LINES)
