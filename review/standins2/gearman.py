"""Gearman stand-ins: one connection that sends and reads packets of the published protocol."""

import socket
import struct
import time

from standins2.case import HOST

CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB = 1, 4, 6, 7, 8, 9, 10
WORK_STATUS, WORK_COMPLETE, WORK_FAIL, ERROR, SET_CLIENT_ID = 12, 13, 14, 19, 22
WORK_EXCEPTION, WORK_DATA, WORK_WARNING, GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ = 25, 28, 29, 30, 31
HEADER = struct.Struct(">4sII")


class Connection:
    """A connection of a client or a worker."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection((HOST, port), timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, kind: int, *args: bytes) -> None:
        """Send a packet."""
        body = b"\0".join(args)
        self.sock.sendall(HEADER.pack(b"\0REQ", kind, len(body)) + body)

    def read(self, seconds: float) -> tuple[int, list[bytes]] | None:
        """Return the next packet's type and body parts; None if none comes in time."""
        deadline = time.monotonic() + seconds
        while True:
            if len(self.buffer) >= HEADER.size:
                _, kind, size = HEADER.unpack_from(self.buffer)
                if len(self.buffer) >= HEADER.size + size:
                    body = self.buffer[HEADER.size : HEADER.size + size]
                    self.buffer = self.buffer[HEADER.size + size :]
                    return kind, body.split(b"\0")
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return None
            self.sock.settimeout(remaining)
            try:
                data = self.sock.recv(65536)
            except TimeoutError:
                return None
            if not data:
                raise ConnectionError("the dispatcher closed the connection")
            self.buffer += data

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


class GearmanWorker(Connection):
    """A worker with one slot that asks for its jobs."""

    def __init__(self, port: int, client_id: str, *functions: str) -> None:
        super().__init__(port)
        self.send(SET_CLIENT_ID, client_id.encode())
        for function in functions:
            self.send(CAN_DO, function.encode())

    def grab(self, seconds: float) -> tuple[bytes, bytes, bytes] | None:
        """Ask for a job, asleep in between; return handle, unique id and workload."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            self.send(GRAB_JOB_UNIQ)
            packet = self.read(remaining)
            while packet is not None and packet[0] == NOOP:
                packet = self.read(max(deadline - time.monotonic(), 0.01))
            if packet is None:
                return None
            kind, args = packet
            if kind == JOB_ASSIGN_UNIQ:
                return args[0], args[2], b"\0".join(args[3:])
            if kind == NO_JOB:
                self.send(PRE_SLEEP)
                packet = self.read(max(deadline - time.monotonic(), 0.01))
                if packet is None:
                    return None
        return None

    def complete(self, handle: bytes, data: bytes) -> None:
        """Report the end of a job."""
        self.send(WORK_COMPLETE, handle, data)


class GearmanClient(Connection):
    """A client that submits foreground jobs."""

    def submit(self, function: str, unique: str, workload: bytes) -> str:
        """Submit a job and return its handle."""
        self.send(SUBMIT_JOB, function.encode(), unique.encode(), workload)
        packet = self.read(5.0)
        if packet is None or packet[0] != JOB_CREATED:
            raise ConnectionError(f"no JOB_CREATED: {packet}")
        return packet[1][0].decode()

    def outcome(self, seconds: float) -> tuple[str, bytes]:
        """Return how the next job ended: served with its data, failed, or nothing in time."""
        deadline = time.monotonic() + seconds
        data = b""
        reason = b""
        while (remaining := deadline - time.monotonic()) > 0:
            packet = self.read(remaining)
            if packet is None:
                break
            kind, args = packet
            if kind == WORK_DATA:
                data += args[1]
            elif kind in (WORK_WARNING, WORK_EXCEPTION):
                reason = args[1]
            elif kind == WORK_COMPLETE:
                return "served", data + b"\0".join(args[1:])
            elif kind == WORK_FAIL:
                return "failed", reason
        return "nothing", b""
