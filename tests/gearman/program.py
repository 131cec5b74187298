"""A dispatcher's process with a Gearman listener, and raw connections to it."""

import contextlib
import json
import signal
import socket
import threading

from stepstream.gearman import codec
from stepstream.gearman.codec import PacketKind, Parser
from tests.config.configurations import CONFIGURATION, LIMITS
from tests.node.dispatcher_process import end_process, start_serving
from tests.runtime.ports import free_port
from tests.runtime.waiting import WAIT_TIMEOUT_SECONDS, wait_for

OPERATOR_FILE_TEMPLATE = (
    '[gearman]\nlisten = "127.0.0.1:{port}"\ntenant = "tatra-invest"\nqueue = 4\n'
)
RECEIVE_BYTES = 65_536


class GearmanPeer:
    """A raw connection that sends and receives packets."""

    def __init__(self, sock):
        """Use this connected socket."""
        self.sock = sock
        self.parser = Parser(LIMITS, responses=True)

    @classmethod
    def connect(cls, port):
        """Connect to a port of 127.0.0.1."""
        return cls(socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS))

    def send(self, kind, *arguments):
        """Send a packet; return this peer."""
        self.sock.sendall(codec.encode_request(kind, *arguments))
        return self

    def receive(self):
        """Return the next packet, or None when the connection has ended."""
        while (packet := self.parser.next_message()) is None:
            data = self.sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            self.parser.feed(data)
        return packet

    def receive_until(self, *kinds):
        """Return the next packet of these kinds; discard the packets before it."""
        while (packet := self.receive()) is None or packet.kind not in kinds:
            assert packet is not None, "the connection ended"
        return packet

    def register_worker(self, name="w", *functions):
        """Register as a worker for these functions."""
        self.send(PacketKind.SET_CLIENT_ID, f"{name};start=1")
        for function in functions or ("revalue", "nav-publish"):
            self.send(PacketKind.CAN_DO, function)
        self.send(PacketKind.ECHO_REQ, "joined").receive_until(PacketKind.ECHO_RES)
        return self

    def grab_job(self):
        """Request a job, and sleep until there is one; return the arguments of its packet."""
        while True:
            packet = self.send(PacketKind.GRAB_JOB_UNIQ).receive_until(
                PacketKind.JOB_ASSIGN_UNIQ, PacketKind.NO_JOB
            )
            if packet.kind is PacketKind.JOB_ASSIGN_UNIQ:
                return packet.args
            self.send(PacketKind.PRE_SLEEP).receive_until(PacketKind.NOOP)

    def complete_jobs(self, *results):
        """Complete each job with the last result; before that, send the other results as data.

        Return when the connection ends.
        """
        *data_parts, result = results
        with contextlib.suppress(OSError, AssertionError):
            while True:
                handle = self.grab_job()[0]
                for part in data_parts:
                    self.send(PacketKind.WORK_DATA, handle, part)
                self.send(PacketKind.WORK_COMPLETE, handle, result)

    def close(self):
        """Disconnect."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes a thread that waits for a packet
        self.sock.close()


class GearmanProgram:
    """A dispatcher's process with a Gearman listener; `close` ends it."""

    def __init__(self, folder, operator_text=OPERATOR_FILE_TEMPLATE):
        """Start the process and wait until it listens.

        `operator_text`: the operator's file, in which {port} stands for the Gearman port.
        """
        self.http_port = free_port()
        self.gearman_port = free_port()
        self.config = self.configuration()
        self.config_file = folder / "config.json"
        self.config_file.write_text(json.dumps(self.config))
        self.operator_file = folder / "operator.toml"
        self.operator_file.write_text(operator_text.format(port=self.gearman_port))
        self.peers = []
        self.threads = []
        self.process = start_serving(self.config_file, "--operator", str(self.operator_file))
        try:
            wait_for(self.is_listening)
        except BaseException:
            self.close()
            raise

    def configuration(self):
        """Return a configuration whose goal times are the deadlines.

        No job is rejected only because the machine is busy.
        """
        settings = CONFIGURATION["settings"]
        services = [
            {**service, "goal_time_us": service["deadline_us"]} for service in settings["services"]
        ]
        return {
            **CONFIGURATION,
            "settings": {**settings, "services": services},
            "listen": f"127.0.0.1:{self.http_port}",
            "discovery": f"127.0.0.1:{free_port()}",
        }

    def is_listening(self):
        """Return whether the Gearman listener accepts connections; fail if the process ended."""
        assert self.process.poll() is None, f"ended: {self.process.stderr.read()}"
        with contextlib.suppress(OSError):
            GearmanPeer.connect(self.gearman_port).close()
            return True
        return False

    def connect(self):
        """Return a new connection; `close` ends it."""
        peer = GearmanPeer.connect(self.gearman_port)
        self.peers.append(peer)
        return peer

    def run_in_thread(self, function, *arguments):
        """Run in a thread a function that returns when the process ends; `close` waits for it."""
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def command(self, line):
        """Send a text command on a new connection; return the answer."""
        address = ("127.0.0.1", self.gearman_port)
        with socket.create_connection(address, timeout=WAIT_TIMEOUT_SECONDS) as sock:
            sock.sendall(line.encode() + b"\n")
            answer = b""
            while not answer.endswith(b".\n") and not answer.startswith((b"OK", b"ERR")):
                answer += sock.recv(RECEIVE_BYTES)
            return answer.decode()

    def reload(self):
        """Send SIGHUP; return the log line of the reload."""
        self.process.send_signal(signal.SIGHUP)
        return next(
            line
            for line in self.process.stderr
            if "configuration_reloaded" in line or "reload_failed" in line
        )

    def close(self):
        """End the process, the connections to it and the threads that use them."""
        end_process(self.process)
        for peer in self.peers:
            peer.close()
        for thread in self.threads:
            thread.join(WAIT_TIMEOUT_SECONDS)


def revalue_with_progress(worker, job):
    """Run as a task of pygearman's worker: report progress and send a part of the result."""
    worker.send_job_status(job, 1, 2)
    worker.send_job_data(job, b"part ")
    return job.data.upper()
