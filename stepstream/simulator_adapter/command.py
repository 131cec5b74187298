"""The command: answer each batch from standard input on standard output, one after the other."""

import sys
from collections.abc import Callable
from typing import TextIO

from stepstream.config.errors import ConfigurationError
from stepstream.simulator_adapter.adapter import SimulatorAdapter
from stepstream.simulator_adapter.errors import WireError
from stepstream.simulator_adapter.wire_reader import Message
from stepstream.simulator_adapter.wire_writer import write_panic

BEGIN_OF_BATCH = "MARK"
EXIT_OK = 0
EXIT_BAD_INPUT = 2


class NumberedLines:
    """The input's lines without line ends; `line_number` is that of the last line read, from 1."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.line_number = 0

    def __iter__(self) -> "NumberedLines":
        return self

    def __next__(self) -> str:
        line = self.stream.readline()
        if not line:
            raise StopIteration
        self.line_number += 1
        return line.rstrip("\r\n")


def main() -> int:
    """Run on standard input and output; return the exit code."""
    return run(
        sys.stdin,
        sys.stdout,
        lambda message: print("stepstream.simulator_adapter:", message, file=sys.stderr),
    )


def run(source: TextIO, sink: TextIO, report_error: Callable[[str], None]) -> int:
    """Answer every batch of `source` on `sink`; return the exit code.

    Faulty input is reported with the number of the last line read, and ends the run.
    """
    adapter = SimulatorAdapter()
    lines = NumberedLines(source)
    try:
        for line in lines:
            if line:
                sink.write(answer_batch(adapter, line, lines))
                sink.flush()
    except ConfigurationError as error:
        report_error(f"line {lines.line_number}: {error}")
        return EXIT_BAD_INPUT
    return EXIT_OK


def answer_batch(adapter: SimulatorAdapter, first_line: str, lines: NumberedLines) -> str:
    """Answer the batch that begins with `first_line`, its MARK; return the complete reply.

    Raise ConfigurationError for faulty input.
    """
    first_message = Message(first_line)
    if first_message.name != BEGIN_OF_BATCH:
        raise WireError(f"expected {BEGIN_OF_BATCH}, found {first_message.name}")
    fields = first_message.fields()
    now_us = fields.integer("t_us")
    batch_number = fields.integer("batch")
    try:
        reply = adapter.run_batch(now_us, lines)
    except ConfigurationError:
        raise
    except Exception as error:  # noqa: BLE001  the simulator must see every fault of the policy
        reply = [write_panic(error)]
    reply.append(f"FINISHED batch={batch_number}")
    return "\n".join(reply) + "\n"
