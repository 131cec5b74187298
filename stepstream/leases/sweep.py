"""The probe sweep: one dispatcher's probes serve all. What is told and what is believed; free of I/O.

The holder of the lease probes each worker once in a period, as each module alone would, and passes on what
it saw. A dispatcher that was told of a worker of late sends no probe of its own; if nothing comes, or only
what is old or of a holder that was overtaken, it does as without the sweep.
"""

from collections.abc import Sequence
from math import sqrt
from typing import Annotated

import msgspec

from stepstream.config.operator_file import PROBE_SWEEP_LEASE_SECONDS
from stepstream.leases.guard import FencedError, Guard

LEASE = "probe-sweep"
TTL_S, ACT_S = PROBE_SWEEP_LEASE_SECONDS, 1.0  # a probe takes a second at most, net/limits.py
PERIOD_S = 1.0  # a module alone probes a worker once in about so long
SPARED_S = 1.6  # a worker that was told of so lately is not probed by others
OLDEST_S = 0.4  # a report that is older where it is sent is no news
WORKERS = 16_384  # whose last telling is kept
VERSION = 1
ROOM = 1_000  # bytes of a page
MOST = 64  # reports in a page


def period(dispatchers: int) -> float:
    """Seconds between two probes of one worker by the sweep: the root of the fleet's size oftener than one
    alone. All are told in one instant, and until the next telling nobody sees what the others push; alone
    each looks at a time of its own.
    """
    return PERIOD_S / sqrt(max(dispatchers, 1))


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """A worker's report; `age_ms` since its probe was answered, by the holder's monotonic clock."""

    worker: Text
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)]
    spent_us: Annotated[int, msgspec.Meta(ge=0, le=60_000_000)]
    report: Annotated[dict[Text, float], msgspec.Meta(max_length=16)]


class Page(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    version: int
    token: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    seen: Annotated[tuple[Seen, ...], msgspec.Meta(max_length=MOST)]


class BadPageError(Exception):
    """It is dropped and counted; the text says why."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Page)


def pages(token: int, seen: Sequence[Seen]) -> list[bytes]:
    """As few as hold them all."""
    made, part, left = [], [], ROOM - 24
    for one in seen:
        need = len(ENCODER.encode(one))
        if part and (need > left or len(part) == MOST):
            made.append(ENCODER.encode(Page(VERSION, token, tuple(part))))
            part, left = [], ROOM - 24
        part.append(one)
        left -= need
    if part:
        made.append(ENCODER.encode(Page(VERSION, token, tuple(part))))
    return made


class Hearing:
    """What one dispatcher believes of the sweep; the token fences off a holder that stood still."""

    def __init__(self) -> None:
        self.guard = Guard()
        self.heard = self.old = self.fenced = 0  # reports
        self.told_at: dict[str, float] = {}  # by worker

    def spared(self, worker: str, now: float) -> bool:
        return now - self.told_at.get(worker, -SPARED_S) < SPARED_S

    def note(self, worker: str, now: float) -> None:
        if worker not in self.told_at and len(self.told_at) >= WORKERS:
            self.told_at.pop(next(iter(self.told_at)))
        self.told_at[worker] = now

    def read(self, data: bytes, names: Sequence[str], now: float) -> list[Seen]:
        """The reports that are news, with just the fields of these names; BadPageError if it is not ours."""
        try:
            page = DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise BadPageError(f"unreadable: {error}"[:160]) from None
        if page.version != VERSION:
            raise BadPageError(f"version {page.version}, not {VERSION}")
        try:
            self.guard.admit(page.token)
        except FencedError:
            self.fenced += len(page.seen)
            return []
        fresh = [one for one in page.seen if one.age_ms <= OLDEST_S * 1000]
        self.old += len(page.seen) - len(fresh)
        told = [
            Seen(
                one.worker,
                one.age_ms,
                one.spent_us,
                {k: v for k, v in one.report.items() if k in names},
            )
            for one in fresh
        ]
        told = [one for one in told if one.report]
        for one in told:
            self.note(one.worker, now)
        self.heard += len(told)
        return told
