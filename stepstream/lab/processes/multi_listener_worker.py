"""Emulate a worker that several dispatchers share, with one listener for each dispatcher.

The listener that received a job tells which dispatcher gets the job's notifications. A worker
belongs to the event loop that starts it.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from functools import partial

import ujson

from stepstream.http.codec import write_request
from stepstream.lab.emulator.http_worker import (
    NOTIFICATION_ATTEMPTS,
    NOTIFICATION_BACKOFF_SECONDS,
    NOTIFICATION_PATH,
    HttpWorker,
    Notification,
)
from stepstream.lab.emulator.streams import read_response
from stepstream.lab.emulator.worker_model import SubmissionResult, Task, TaskEvent
from stepstream.lab.processes.addresses import Address


@dataclass(eq=False)
class MultiListenerWorker(HttpWorker):
    """A worker with a listener for each of `dispatchers`, in their order.

    A task's `handle` is one byte with the index of its dispatcher.
    """

    dispatchers: list[Address] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)  # of the listeners; 0 before the first start
    listeners: list[asyncio.Server] = field(default_factory=list)
    queues: list[asyncio.Queue[Notification]] = field(default_factory=list)  # one per dispatcher

    async def start(self) -> None:
        """Open the listeners; start to run the model and to deliver notifications."""
        self.ports = [0] * len(self.dispatchers)
        self.queues = [asyncio.Queue() for _ in self.dispatchers]
        await self.open_listener()
        self.run_in_background(self.run_model())
        for index in range(len(self.dispatchers)):
            self.run_in_background(self.deliver_notifications_to(index))

    async def open_listener(self) -> None:
        """Open the listeners; a restart opens them on the same ports again."""
        self.listeners = [
            await asyncio.start_server(partial(self.serve, listener_index=index), self.host, port)
            for index, port in enumerate(self.ports)
        ]
        self.ports = [listener.sockets[0].getsockname()[1] for listener in self.listeners]

    def submit(self, task_id: str, body: bytes, handle: bytes = b"") -> SubmissionResult:  # noqa: ARG002  the listener's index is the handle
        """Offer a received job to the model, with the index of its listener as the handle."""
        return super().submit(task_id, body, bytes([self.listener_index]))

    def notify(self, event: TaskEvent) -> None:
        """Queue a job notification for the dispatcher that sent the job."""
        super().notify(event)
        self.queue_notification(event.task, self.notifications.get_nowait())

    def queue_notification(self, task: Task, notification: Notification) -> None:
        """Queue a notification for the dispatcher that sent the task."""
        dispatcher_index = task.context.handle[0]
        self.queues[dispatcher_index].put_nowait(notification)

    async def deliver_notifications_to(self, dispatcher_index: int) -> None:
        """Send each notification to its dispatcher, in order, until cancelled."""
        while True:
            notification = await self.queues[dispatcher_index].get()
            await send_notification(self.dispatchers[dispatcher_index], notification)

    def crash(self) -> None:
        """Close the listeners and every connection; queue a notification of each lost task."""
        self.close_listeners()
        for connection in list(self.connections):
            connection.transport.abort()
        for task in self.terminate():
            self.queue_notification(task, {"id": task.id, "from": self.name, "state": "lost"})

    def close_listeners(self) -> None:
        """Accept no further connections."""
        for listener in self.listeners:
            listener.close()

    def stop(self) -> None:
        """Cancel the background tasks and close the listeners."""
        super().stop()
        self.close_listeners()


async def send_notification(address: Address, notification: Notification) -> None:
    """Send a notification until it is acknowledged, each time on a new connection.

    Drop it after `NOTIFICATION_ATTEMPTS`: the dispatcher may have been killed and not restarted.
    """
    headers = {"Host": "d", "Connection": "close"}
    body = ujson.dumps(notification).encode()
    data = write_request("POST", NOTIFICATION_PATH, headers, body)
    for _ in range(NOTIFICATION_ATTEMPTS):
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await read_response(reader)
            writer.close()
            return
        await asyncio.sleep(NOTIFICATION_BACKOFF_SECONDS)
