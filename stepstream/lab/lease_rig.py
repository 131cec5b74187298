"""Several dispatchers that want one lease, a relay between them and a ledger that they act at; and faults."""

import contextlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from stepstream.lab import ledger
from stepstream.lab.fleet_rig import FleetRig, free_port
from stepstream.lab.lease_member import LEASE, LEDGER, TASKS

TTL, ACT, HOLD = 1.2, 0.25, 1.5  # seconds; an act's longest as a share of the first; seconds
TIMES = "period_ms = 200\ntimeout_ms = 90\nsync_ms = 1000\nreach_ms = 200\nyoung_s = 2\nhold_s = 2\nslack = 3\n"
LEASES = "\n[leases]\nvoters = [{voters}]\nlongest_s = {ttl}\ntimeout_ms = 100\nturn_ms = 100\n"


class LeaseRig(FleetRig):
    """`voters`: of n0, n1, ...; `tasks`: members that run the lab's task, all if none is named."""

    def __init__(
        self, members: int, voters: int, seed: int, ttl: float = TTL, tasks: tuple[str, ...] = ()
    ) -> None:
        named = ", ".join(f'"n{k}"' for k in range(voters))
        super().__init__(members, seed, TIMES + LEASES.format(voters=named, ttl=ttl))
        self.ttl, self.busy = ttl, tasks
        self.voters = [f"n{k}" for k in range(voters)]
        self.program = ["-m", "stepstream.lab.lease_member"]
        self.draw = random.Random(seed)
        self.drained: set[str] = set()
        self.file = Path(self.folder.name) / "ledger.jsonl"
        host = next(iter(self.members.values())).host
        self.address = f"{host}:{free_port(host)}"
        self.ledger: subprocess.Popen | None = None

    def __enter__(self) -> "LeaseRig":
        words = [sys.executable, "-m", "stepstream.lab.ledger", self.address, str(self.file)]
        self.ledger = subprocess.Popen(words)
        self.environment = {LEDGER: self.address, LEASE: f"x,{self.ttl},{self.ttl * ACT},{HOLD}"}
        if self.busy:
            self.environment[TASKS] = ",".join(self.busy)
        super().__enter__()
        return self

    def __exit__(self, *what: object) -> None:
        if self.ledger is not None:
            self.ledger.send_signal(signal.SIGCONT)
            self.ledger.kill()
            self.ledger.wait()
        super().__exit__(*what)

    # -- what the ledger has ------------------------------------------------------------------------------

    def rows(self) -> list[dict]:
        return ledger.rows(self.file)

    def holder(self) -> str | None:
        """The member whose act was taken last, if that was just now."""
        taken = [row for row in self.rows()[-20:] if not row["what"].startswith("refused")]
        if not taken or time.monotonic() - taken[-1]["at"] > TTL:
            return None
        return taken[-1]["holder"].partition("@")[0]

    def acted_since(self, at: float) -> bool:
        return any(row["what"] == "end" and row["at"] > at for row in self.rows()[-40:])

    def drain(self, name: str) -> None:
        self.drained.add(name)
        self.members[name].call("/healthcheck/fail", "PUT")

    def all_whole(self) -> None:
        self.heal()
        for name in self.drained:
            with contextlib.suppress(ConnectionError):  # a restart ends a drain as well
                self.members[name].call("/healthcheck/ok", "PUT")
        self.drained.clear()
        with self.relay.lock:
            self.relay.links.loss = self.relay.links.late = self.relay.links.doubled = 0.0
        for member in self.members.values():
            if member.running():
                member.process.send_signal(signal.SIGCONT)
        self.ledger.send_signal(signal.SIGCONT)
        self.start(
            [name for name, member in self.members.items() if not member.running()], wait=False
        )


@dataclass(frozen=True)
class Trouble:
    """One fault, for so many times to live, and what it does to whom; `holder` held it a moment ago."""

    name: str
    length: float
    begin: Callable[[LeaseRig, str], None]


def others(rig: LeaseRig, *names: str) -> list[str]:
    return [name for name in rig.members if name not in names]


def majority_without(rig: LeaseRig, holder: str) -> list[str]:
    voters = [name for name in rig.voters if name != holder]
    return voters[: len(rig.voters) // 2 + 1]


def links(rig: LeaseRig, **values: float) -> None:
    with rig.relay.lock:
        for name, value in values.items():
            setattr(rig.relay.links, name, value)


def kill(rig: LeaseRig, *names: str) -> None:
    for name in names:
        if rig.members[name].running():
            rig.kill(name)


def restart(rig: LeaseRig, *names: str) -> None:
    kill(rig, *names)
    rig.start(names, wait=False)


def voters_in_turn(rig: LeaseRig, holder: str) -> None:
    for name in rig.voters:
        restart(rig, name)
        time.sleep(TTL / 2)  # faster than the lease


TROUBLES = (
    Trouble("holder stopped, shorter than the lease", 0.5, lambda rig, h: rig.freeze(h)),
    Trouble("holder stopped, longer than the lease", 2.0, lambda rig, h: rig.freeze(h)),
    Trouble("holder killed", 1.5, lambda rig, h: kill(rig, h)),
    Trouble(
        "holder told to stop",
        1.5,
        lambda rig, h: rig.members[h].process.send_signal(signal.SIGTERM),
    ),
    Trouble("holder drained", 1.0, lambda rig, h: rig.drain(h)),
    Trouble("holder restarted at once", 1.0, lambda rig, h: restart(rig, h)),
    Trouble("holder cut off from all", 2.0, lambda rig, h: rig.cut([h], others(rig, h))),
    Trouble(
        "holder cut off from a majority", 2.0, lambda rig, h: rig.cut([h], majority_without(rig, h))
    ),
    Trouble("holder not heard", 2.0, lambda rig, h: rig.cut([h], others(rig, h), both=False)),
    Trouble("holder hears nothing", 2.0, lambda rig, h: rig.cut(others(rig, h), [h], both=False)),
    Trouble("one voter with the holder, cut from the rest", 2.0, lambda rig, h: halves(rig, h)),
    Trouble("each voter restarted in turn", 0.5, voters_in_turn),
    Trouble("all voters killed at once", 1.0, lambda rig, h: kill(rig, *rig.voters)),
    Trouble(
        "a majority restarted together", 0.5, lambda rig, h: restart(rig, *majority_without(rig, h))
    ),
    Trouble(
        "messages later than a lease, doubled",
        2.5,
        lambda rig, h: links(rig, late=0.4, late_s=2 * TTL, doubled=0.3),
    ),
    Trouble("three in ten messages lost", 2.0, lambda rig, h: links(rig, loss=0.3)),
    Trouble("the ledger answers late", 1.5, lambda rig, h: rig.ledger.send_signal(signal.SIGSTOP)),
    Trouble(
        "two members stopped",
        2.0,
        lambda rig, h: [rig.freeze(name) for name in (h, others(rig, h)[0])],
    ),
)


def halves(rig: LeaseRig, holder: str) -> None:
    side = (
        {holder, next(name for name in rig.voters if name != holder)}
        if holder not in rig.voters
        else {holder}
    )
    rig.cut(side, others(rig, *side))


def trouble(rig: LeaseRig, which: Trouble, patience: float) -> dict:
    """Plays one on the rig and makes all whole again: how long until an act was taken after that."""
    rig.wait_for(rig.holder, patience, "a holder")
    time.sleep(rig.draw.uniform(0.0, ACT * TTL))  # before, in or after an act
    holder, begun = rig.holder() or rig.voters[0], time.monotonic()
    which.begin(rig, holder)
    time.sleep(which.length * TTL)
    rig.all_whole()
    whole = time.monotonic()
    took = rig.wait_for(lambda: rig.acted_since(whole), patience, f"an act after: {which.name}")
    return {
        "name": which.name,
        "holder": holder,
        "begun": begun,
        "whole": whole,
        "next_act_s": took,
    }
