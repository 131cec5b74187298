"""Emulate a worker that speaks the platform's HTTP protocol."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

import ujson

from stepstream.http.codec import Message, Parser, ProtocolError, write_answer, write_request
from stepstream.lab.emulator.clock import US_PER_MS
from stepstream.lab.emulator.streams import LIMITS, READ_BYTES, read_response
from stepstream.lab.emulator.worker_driver import WorkerDriver
from stepstream.lab.emulator.worker_model import SubmissionResult, TaskEvent, TaskState
from stepstream.lab.load.site import LoadReports

HEALTH_PATH = "/-/healthy"
LOAD_REPORT_PATH = "/-/load"
NOTIFICATION_PATH = "/_jobs/news"  # the platform's path for job notifications
NOTIFICATION_ATTEMPTS = 10
NOTIFICATION_BACKOFF_SECONDS = 0.1
AGENT_DETECTION_SECONDS = 0.05  # until the machine's agent reports the jobs of an ended process

Notification = dict[str, object]
"""A job notification, with the platform's field names."""


@dataclass(eq=False)
class NotificationSender:
    """Send job notifications to a dispatcher on one connection, reopened after a failure."""

    address: tuple[str, int]
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, notification: Notification) -> None:
        """Send a notification until it is acknowledged; drop it after `NOTIFICATION_ATTEMPTS`."""
        body = ujson.dumps(notification).encode()
        data = write_request("POST", NOTIFICATION_PATH, {"Host": "d"}, body)
        for _ in range(NOTIFICATION_ATTEMPTS):
            try:
                await self._exchange(data)
            except (OSError, EOFError):
                self._close()
                await asyncio.sleep(NOTIFICATION_BACKOFF_SECONDS)
            else:
                return

    async def _exchange(self, data: bytes) -> None:
        """Send a request and await the response."""
        if self.connection is None:
            self.connection = await asyncio.open_connection(*self.address)
        reader, writer = self.connection
        writer.write(data)
        await read_response(reader)

    def _close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            _, writer = self.connection
            writer.close()
        self.connection = None


@dataclass(eq=False)
class HttpWorker(WorkerDriver):
    """Emulate an HTTP worker: accept a job with 202, then send notifications of its progress."""

    host: str = "127.0.0.1"
    port: int = 0  # 0: the system chooses one when the listener first opens
    dispatcher_address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)  # open
    # Notifications to deliver to the dispatcher, in order.
    notifications: asyncio.Queue[Notification] = field(default_factory=asyncio.Queue)
    health_check_count: int = 0
    load_sampled_at_us: int = 0
    sampled_load: dict[str, int] = field(default_factory=dict)  # reported until the next sample
    # Which listener received the message that `on_message` handles, if the worker has several.
    listener_index: int = 0

    async def start(self) -> None:
        """Open the listener; start to run the model and to deliver notifications."""
        await self.open_listener()
        self.run_in_background(self.run_model())
        self.run_in_background(self.deliver_notifications())

    async def open_listener(self) -> None:
        """Open the listener; a restart opens it on the same port again."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, listener_index: int = 0
    ) -> None:
        """Serve the requests of a connection until it ends or the worker is down."""
        parser = Parser(LIMITS)
        self.connections.add(writer)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self.listener_index = listener_index
                    response = self.on_message(message)
                    if response is None:
                        return
                    writer.write(response)
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def on_message(self, message: Message) -> bytes | None:
        """Return the response to a request; None means to close the connection without one."""
        if message.method == "DELETE":
            self.cancel(message.target.rpartition("/")[2])
            return write_answer(HTTPStatus.OK)
        if message.method == "GET":
            return self.respond_to_health_check(message.target)
        result = self.submit(message.headers["request-id"], message.body)
        match result:
            case SubmissionResult.ACCEPTED:
                return write_answer(HTTPStatus.ACCEPTED)
            case SubmissionResult.FULL:
                return write_answer(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    headers={"Not-Started": "1", **self.load_header()},
                )
            case SubmissionResult.ERROR:
                return write_answer(HTTPStatus.INTERNAL_SERVER_ERROR, headers=self.load_header())
        return None

    def respond_to_health_check(self, path: str) -> bytes:
        """Respond to a health check, which costs work; 404 if the site uses no health checks."""
        site = self.verifier.scenario.site
        if site.load_reports is LoadReports.NONE or path not in (HEALTH_PATH, LOAD_REPORT_PATH):
            return write_answer(HTTPStatus.NOT_FOUND)
        self.health_check_count += 1
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        self.model.add_side_work(int(site.health_check_work_ms * US_PER_MS))
        self.model_changed.set()
        body = self.load_text().encode() if path == LOAD_REPORT_PATH else b""
        return write_answer(HTTPStatus.OK, body)

    def current_load_report(self) -> dict[str, int]:
        """Return the load report, which is sampled once per report interval of the site."""
        now_us = self.clock.now_us()
        interval_us = self.verifier.scenario.site.load_report_interval_ms * US_PER_MS
        if now_us - self.load_sampled_at_us >= interval_us:
            self.load_sampled_at_us = now_us
            self.sampled_load = self.model.load_report(now_us)
        return self.sampled_load

    def load_text(self) -> str:
        """Return the load report in the platform's text form."""
        report = self.current_load_report()
        return "TEXT " + ", ".join(f"{name}={value}" for name, value in report.items())

    def load_header(self) -> dict[str, str]:
        """Return the load report's header; empty unless the site's responses carry reports."""
        if self.verifier.scenario.site.load_reports is not LoadReports.RESPONSES:
            return {}
        return {"Server-Load": self.load_text()}

    def cancel(self, task_id: str) -> None:
        """Cancel a task by its request id."""
        now_us = self.clock.now_us()
        self.model.advance(now_us)
        for task in (*self.model.running.values(), *self.model.waiting):
            if task.id == task_id:
                task.context.attempt.open = False
        self.model.cancel(now_us, task_id)
        self.model_changed.set()

    def notify(self, event: TaskEvent) -> None:
        """Queue a job notification."""
        task = event.task
        notification: Notification = {
            "id": task.id,
            "from": self.name,
            "state": event.state.value,
        }
        if event.state is TaskState.RUNNING:
            notification["share"] = task.completed_fraction()
        elif event.state is TaskState.DONE:
            notification["result"] = self.result_of(task)
        if event.state in (TaskState.DONE, TaskState.FAILED) and self.load_header():
            notification["load"] = self.current_load_report()
        self.notifications.put_nowait(notification)

    async def deliver_notifications(self) -> None:
        """Send each notification to the dispatcher, in order, until cancelled."""
        sender = NotificationSender(self.dispatcher_address)
        while True:
            await sender.send(await self.notifications.get())

    def crash(self) -> None:
        """Close the listener and every connection; an agent reports the lost tasks later."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        loop = asyncio.get_running_loop()
        for task in self.terminate():
            notification: Notification = {"id": task.id, "from": self.name, "state": "lost"}
            loop.call_later(AGENT_DETECTION_SECONDS, self.notifications.put_nowait, notification)

    async def restart(self) -> None:
        """Start a new process, in slow start, on the same port."""
        self.model.start(self.clock.now_us())
        await self.open_listener()
