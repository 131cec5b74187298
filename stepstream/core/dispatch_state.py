"""The state that the dispatcher's handlers share. The decision thread owns it."""

from dataclasses import dataclass

from stepstream.core.request_table import RequestTable
from stepstream.core.round_output import RoundOutput
from stepstream.core.timer_wheel import TimerWheel
from stepstream.model.settings import Settings


@dataclass(slots=True)
class DispatchState:
    """The state that all handlers read and change."""

    settings: Settings  # the current settings; a reload replaces them
    answer_margin_us: int  # time that is reserved before a deadline for writing the answer
    timers: TimerWheel
    requests: RequestTable
    output: RoundOutput
