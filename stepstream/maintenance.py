"""Maintenance of workers: the operators' bans, and how a banned worker looks to the module; free of I/O.

A banned worker is shown to the module as draining, whatever its catalogue says, so that the module's rule on
drains holds for it: nothing new after the grace. The ban lasts until the call back. The return is cold: the
operators restart the worker meanwhile, so it is shown as started when it was let back, unless its catalogue
tells of a later start.
"""

import threading
from dataclasses import dataclass, field, replace

from stepstream import interface as i

LIFTED_MOST = 1024  # returns remembered for their cold start; the oldest go first


@dataclass(frozen=True, slots=True)
class BanState:
    """What passes between processes and to the core. `generation` orders two states: the higher is newer."""

    generation: int = 0
    banned: frozenset[str] = frozenset()
    lifted: tuple[
        tuple[str, int], ...
    ] = ()  # (worker, microseconds on the one clock base) of each return


@dataclass
class Counts:
    out: int = 0  # calls that took a worker out
    back: int = 0  # calls that let one back
    again: int = 0  # calls that changed nothing
    unknown: int = 0  # calls for ids that nobody holds


class Bans:
    """The operators' word, shared by the admin listener's thread and whoever hands the state over."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.state = BanState()
        self.counts = Counts()

    def ban(self, worker: str) -> bool:
        """Whether that changed anything; a second call out changes nothing."""
        with self.lock:
            if worker in self.state.banned:
                self.counts.again += 1
                return False
            self.counts.out += 1
            self.state = replace(
                self.state,
                generation=self.state.generation + 1,
                banned=self.state.banned | {worker},
            )
            return True

    def lift(self, worker: str, now_us: int) -> bool:
        with self.lock:
            if worker not in self.state.banned:
                self.counts.again += 1
                return False
            self.counts.back += 1
            lifted = tuple(pair for pair in self.state.lifted if pair[0] != worker)[
                -(LIFTED_MOST - 1) :
            ]
            self.state = BanState(
                self.state.generation + 1, self.state.banned - {worker}, (*lifted, (worker, now_us))
            )
            return True

    def adopt(self, state: BanState) -> bool:
        """Another process's state, if it is newer than this one's."""
        with self.lock:
            if state.generation <= self.state.generation:
                return False
            self.state = state
            return True

    def snapshot(self) -> BanState:
        with self.lock:
            return self.state

    def holds(self, worker: str) -> bool:
        return worker in self.state.banned


@dataclass
class Overlay:
    """The bans as the core keeps them, to be laid over every entry that a catalogue gives."""

    banned: frozenset[str] = frozenset()
    lifted: dict[str, int] = field(default_factory=dict)

    def take(self, state: BanState) -> set[str]:
        """The workers whose look has changed."""
        changed = set(self.banned ^ state.banned)
        lifted = dict(state.lifted)
        changed |= {w for w, at_us in lifted.items() if self.lifted.get(w) != at_us}
        self.banned, self.lifted = state.banned, lifted
        return changed

    def lay(self, entry: i.WorkerEntry) -> i.WorkerEntry:
        if entry.worker in self.banned:
            return (
                entry
                if entry.state is not i.WorkerState.IN
                else replace(entry, state=i.WorkerState.DRAINING)
            )
        back_us = self.lifted.get(entry.worker)
        if (
            back_us is not None
            and back_us > entry.started_us
            and entry.state is not i.WorkerState.OUT
        ):
            return replace(entry, started_us=back_us)
        return entry
