"""The handed-over state on disk, and news passed on to the process beside this one.

The file is written whole under another name and renamed over the old one, so that a reader finds either
the old state or the new, never a part. Each process looks at it every turn of its admin listener (a stat,
no read, unless it has changed) and takes over bans that are newer than its own.
"""

import os
import socket

from stepstream.config.limits import Limits
from stepstream.core.events import JobNotification
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.hot_restart.state import (
    DamagedError,
    Handover,
    ProcessRecord,
    decode,
    encode,
    sibling,
    with_own,
)
from stepstream.http.codec import Parser, ProtocolError, write_request
from stepstream.http.platform_api import notification_body
from stepstream.runtime.log import log
from stepstream.runtime.sockets import connect, set_socket_timeout
from stepstream.runtime.threads import ThreadPool

RELAYED = "Stepstream-Relayed"  # marks news passed on: it is never passed on again


def alive(pid: int) -> bool:
    """Signal 0 sends nothing: only whether the process is there."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        return True
    return True


class HotRestartController:
    def __init__(
        self, folder: str, name: str, own: ProcessRecord, bans: MaintenanceRegistry, limits: Limits
    ) -> None:
        self.path = os.path.join(folder, f"stepstream-{name}.handover")
        self.own, self.bans, self.limits = own, bans, limits
        self.others: tuple[ProcessRecord, ...] = ()
        self.listed: dict | None = None  # discovery's list, to be handed over with the rest
        self.seen: tuple[int, int, int] | None = (
            None  # inode, time and size of what was last read or written
        )
        self.relays = ThreadPool("relay", limits.connections.forwarder_threads)

    def load(self) -> Handover | None:
        """At the start: what the process before this one left; None, with one line, if nothing usable."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(self.limits.sizes.handover_bytes)
            self.seen = self.stamp()
            state = decode(data)
        except FileNotFoundError:
            log("handover: no state found, starting clean")
            return None
        except (OSError, DamagedError) as error:
            log(f"handover: state ignored, starting clean: {error}")
            return None
        self.take(state)
        return state

    def take(self, state: Handover) -> None:
        self.others = tuple(p for p in state.processes if p.pid != self.own.pid)
        self.bans.adopt(state.bans)
        if self.listed is None or newer(state.listed, self.listed):
            self.listed = state.listed

    def stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def write(self, ready: bool | None = None) -> None:
        """Atomically; a failure costs a line, and the next change writes again."""
        if ready is not None:
            self.own = ProcessRecord(self.own.pid, self.own.admin, self.own.started_us, ready)
        living = {p.pid for p in self.others if alive(p.pid)}
        state = with_own(Handover(self.bans.snapshot(), self.others, self.listed), self.own, living)
        self.others = state.processes[:-1]
        part = f"{self.path}.{self.own.pid}.part"
        try:
            with open(part, "wb") as file:
                file.write(encode(state))
                file.flush()
                os.fsync(file.fileno())
            os.replace(part, self.path)
            self.seen = self.stamp()
        except OSError as error:
            log(f"handover: state not written: {error}")

    def watch(self) -> bool:
        """Whether the other process has written bans newer than these."""
        stamp = self.stamp()
        if stamp is None or stamp == self.seen:
            return False
        self.seen = stamp
        try:
            with open(self.path, "rb") as file:
                state = decode(file.read(self.limits.sizes.handover_bytes))
        except (OSError, DamagedError) as error:
            log(f"handover: state ignored: {error}")
            return False
        before = self.bans.snapshot().generation
        self.take(state)
        if all(p.pid != self.own.pid for p in state.processes):
            self.write()  # guards this process's entry against a write of the other that did not know it
        return self.bans.snapshot().generation != before

    def successor(self) -> ProcessRecord | None:
        """A process that started after this one, takes clients and is there: this one may leave to it."""
        found = sibling(Handover(processes=self.others), self.own.pid)
        usable = found is not None and found.ready and found.started_us > self.own.started_us
        return found if usable and alive(found.pid) else None

    def neighbour(self) -> ProcessRecord | None:
        found = sibling(Handover(processes=self.others), self.own.pid)
        return found if found is not None and alive(found.pid) else None

    def pass_on(self, told: JobNotification) -> None:
        """News of a request that is not this process's: the other one may have it."""
        target = self.neighbour()
        if target is not None:
            self.relays.submit(self.relay, target, told)

    def relay(self, target: ProcessRecord, told: JobNotification) -> None:
        host, _, port = target.admin.rpartition(":")
        headers = {"Host": target.admin, RELAYED: "1", "Connection": "close"}
        data = write_request("POST", "/_jobs/news", headers, notification_body(told))
        try:
            sock = connect(
                (host, int(port)),
                self.limits.timeouts.connect_seconds,
                self.limits.timeouts.forward_seconds,
            )
        except OSError:
            return
        with sock:
            try:
                set_socket_timeout(sock, socket.SO_RCVTIMEO, self.limits.timeouts.forward_seconds)
                sock.sendall(data)
                parser = Parser(self.limits, answers=True)
                while piece := sock.recv(self.limits.sizes.read_bytes):
                    parser.feed(piece)
                    if parser.next() is not None:
                        return
            except (OSError, ProtocolError):
                pass


def newer(one: dict | None, other: dict | None) -> bool:
    """Whether one list in discovery's form has a later version than the other."""
    if one is None:
        return False
    return other is None or int(one.get("version", 0)) > int(other.get("version", 0))


def own_process(admin: tuple[str, int], now_us: int) -> ProcessRecord:
    return ProcessRecord(os.getpid(), f"{admin[0]}:{admin[1]}", now_us)


def folder() -> str | None:
    """$TMPDIR, where both processes of a hot restart find it; None where it is not set."""
    return os.environ.get("TMPDIR") or None
