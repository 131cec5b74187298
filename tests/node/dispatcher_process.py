"""A dispatcher in its own process, with a scripted worker and a scripted discovery."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

from stepstream.http.codec import write_answer, write_request
from tests.config.configurations import CONFIGURATION
from tests.http.scripted_server import ScriptedServer, exchange
from tests.runtime.ports import free_port
from tests.runtime.waiting import wait_for

ROOT = Path(__file__).parents[2]
READINESS_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"
SERVE = (sys.executable, "-m", "stepstream", "serve")
WATCH_SECONDS = 0.2  # discovery answers a watch after this time, even if nothing has changed


def start_serving(config_file, *options, **environment):
    """Start `stepstream serve` with this configuration; its log can be read from `stderr`."""
    return subprocess.Popen(
        [*SERVE, *options],
        cwd=ROOT,
        env={**os.environ, "EDGE_CONFIG": str(config_file), **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


def end_process(process):
    """Kill a process if it is still running, and close its log."""
    if process.poll() is None:
        process.kill()
    process.communicate()


def is_ready(port):
    """Return whether a dispatcher's readiness check succeeds; False while nobody listens."""
    try:
        return exchange(port, READINESS_CHECK).status == 200
    except OSError:
        return False


class DispatcherProcess:
    """A dispatcher's process, its worker and its discovery; `close` ends all three."""

    def __init__(self, folder, **configuration):
        """Start all three; return when the dispatcher is ready.

        `configuration` adds keys to the dispatcher's configuration file, or replaces them.
        """
        self.hold_jobs = threading.Event()  # while set, jobs are accepted but not completed
        self.worker_answers = []  # answers that the worker sends instead of a 202, in order
        self.closing = threading.Event()
        self.worker = ScriptedServer(self.worker_reply)
        self.discovery = ScriptedServer(self.discovery_reply)
        self.port = free_port()
        self.endpoint_list = {"version": 3, "full": True, "servers": [self.endpoint()]}
        self.config = {
            **CONFIGURATION,
            "settings": self.settings(),
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "known": self.endpoint_list,
            **configuration,
        }
        self.config_file = folder / f"config-{self.port}.json"
        self.config_file.write_text(json.dumps(self.config))
        self.process = start_serving(self.config_file)
        try:
            wait_for(self.is_ready)
        except BaseException:
            self.close()
            raise

    def endpoint(self):
        """Return the worker in the format of discovery."""
        return {
            "id": "s-1",
            "addr": f"127.0.0.1:{self.worker.port}",
            "state": "ready",
            "zone": "ruzinov",
        }

    @staticmethod
    def settings():
        """Return settings without start notifications.

        A held job sends no start notification. If the policy expected one, it would take the job
        as a sign of a full worker.
        """
        section = CONFIGURATION["settings"]
        return {**section, "extra": {**section["extra"], "tells_start": False}}

    def reload(self, configuration):
        """Replace the configuration file and send SIGHUP; return the log line of the reload."""
        self.config_file.write_text(json.dumps(configuration))
        self.process.send_signal(signal.SIGHUP)
        for line in self.process.stderr:
            if "configuration_reloaded" in line or "reload_failed" in line:
                return line
        raise AssertionError("the process ended without a log line about the reload")

    def is_ready(self):
        """Return whether the readiness check succeeds."""
        return is_ready(self.port)

    def worker_reply(self, message):
        """Accept a job; unless jobs are held, notify its completion before the answer."""
        if message.method == "POST":
            if self.worker_answers:
                return self.worker_answers.pop(0)
            if not self.hold_jobs.is_set():
                self.notify(message.headers["request-id"], "done", "17.5")
            return write_answer(202)
        return write_answer(200)

    def discovery_reply(self, message):
        """Answer with the list; delay the answer to a watch by at most WATCH_SECONDS."""
        if "wait=" in message.target:
            self.closing.wait(WATCH_SECONDS)
        return write_answer(200, json.dumps(self.endpoint_list).encode())

    def notify(self, request_id, state, result=None):
        """Send a worker's notification; return the status of the answer."""
        body = json.dumps({"id": request_id, "from": "s-1", "state": state, "result": result})
        headers = {"Connection": "close"}
        data = write_request("POST", "/_jobs/news", headers, body.encode())
        return exchange(self.port, data).status

    def job_calls(self):
        """Return the job calls that the worker has received."""
        return [message for message in self.worker.requests if message.method == "POST"]

    def close(self):
        """End the process, the worker and the discovery."""
        self.closing.set()
        end_process(self.process)
        self.worker.close()
        self.discovery.close()


@contextlib.contextmanager
def running_process(config_file, *options, **environment):
    """Run `stepstream serve` inside the context, and kill it at the end."""
    process = start_serving(config_file, *options, **environment)
    try:
        yield process
    finally:
        end_process(process)
