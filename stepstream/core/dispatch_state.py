"""The state that the dispatcher's handlers share. The decision thread owns it."""

from dataclasses import dataclass

from stepstream.core.request_table import RequestTable
from stepstream.core.round_output import RoundOutput
from stepstream.core.timer_wheel import TimerWheel
from stepstream.model.settings import Settings


@dataclass(slots=True)
class DispatchState:
    """What requests, calls, notifications, timers and the policy's actions have in common."""

    settings: Settings  # those in force; a reload replaces them
    answer_margin_us: int  # time before a deadline that writing an answer needs
    timers: TimerWheel
    requests: RequestTable
    output: RoundOutput
