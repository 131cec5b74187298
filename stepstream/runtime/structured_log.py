"""Structured log lines on standard error, for subsystems that the operator's file enables."""

import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Literal, TextIO, cast

import structlog

LogFormat = Literal["json", "console"]

MAX_CHANGE_LINES = 50  # of one step; one more line states how many changes were omitted


def structured_logger(log_format: LogFormat, stream: TextIO = sys.stderr) -> structlog.BoundLogger:
    """Create a logger: `json` writes one object per line, keys sorted; `console` is for people.

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
    log_change: Callable[..., None],
    log_omitted: Callable[..., None],
    changes: Sequence[Mapping[str, object]],
) -> None:
    """Log the first changes by `log_change`, and the count of the rest by `log_omitted`.

    Both are functions of `log_events`. A change is given as the fields of its event.
    """
    for fields in changes[:MAX_CHANGE_LINES]:
        log_change(logger, **fields)
    if len(changes) > MAX_CHANGE_LINES:
        log_omitted(logger, more=len(changes) - MAX_CHANGE_LINES)
