"""A clock that tests set, and the configuration of the processes in the transcripts."""

import contextlib
import io
from collections.abc import Iterator
from unittest import mock

import msgspec
from golden.recorded_data import read_inputs
from golden.state.forms import FOLDER, UNIX_MS

from stepstream.config.limits import Limits
from stepstream.config.operator_file import OperatorConfig

CONFIGURATION = read_inputs(FOLDER, "admin")["configuration"]
LIMITS = Limits()


class FakeClock:
    """Every clock that the transcripts read, in seconds; it moves when `now` is changed."""

    def __init__(self, now: float = 1_000.0) -> None:
        """Set the clock to `now` seconds."""
        self.now = now

    @contextlib.contextmanager
    def as_process_clock(self) -> Iterator[None]:
        """Replace the process's clocks by this one."""
        with (
            mock.patch("time.monotonic", lambda: self.now),  # noqa: PT008  the clock moves on
            mock.patch("time.clock_gettime", lambda _: self.now),  # noqa: PT008  the clock moves on
            mock.patch("time.time_ns", return_value=UNIX_MS * 1_000_000),
        ):
            yield

    def now_us(self) -> int:
        """Return the time of the dispatcher's clock."""
        return UNIX_MS * 1_000 + int(self.now * 1e6)


@contextlib.contextmanager
def discarded_output() -> Iterator[None]:
    """Drop the program's lines on standard error and standard output."""
    with contextlib.redirect_stderr(io.StringIO()), contextlib.redirect_stdout(io.StringIO()):
        yield


def operator_sections(**sections: object) -> OperatorConfig:
    """Return an operator's file with these sections."""
    return msgspec.convert(sections, OperatorConfig)
