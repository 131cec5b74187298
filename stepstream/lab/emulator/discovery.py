"""Emulate the platform's discovery service: the list of servers, and the watch for its changes.

`GET` without a query answers with the whole list. `GET ?index=VERSION&wait=MILLISECONDS` waits for
a version above the given one and answers with the servers that changed since. A `DiscoveryEmulator`
belongs to the event loop that plays the day; it has no lock.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import ujson

from stepstream.http.codec import Message, Parser, ProtocolError, write_answer
from stepstream.lab.emulator.worker_drivers import LIMITS, READ, Clock
from stepstream.lab.verification.verifier import Verifier

Row = dict[str, Any]
"""A server in the form of the discovery service's JSON, with at least `id` and `state`."""

OK = 200


@dataclass(eq=False)
class DiscoveryEmulator:
    """The list of servers with its version, served over HTTP on a loopback port."""

    clock: Clock
    verifier: Verifier
    version: int = 1
    rows: dict[str, Row] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)  # by id, the version of its last change
    version_raised: asyncio.Condition = field(default_factory=asyncio.Condition)
    server: asyncio.Server | None = None

    async def begin(self) -> int:
        """Start to serve, and return the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def put(self, row: Row) -> None:
        """Add or replace a server, and wake every watch."""
        self.version += 1
        self.rows[row["id"]] = row
        self.changed[row["id"]] = self.version
        if self.verifier.day.site.lists == "pushed":
            # The dispatcher counts as informed once its local agent holds the change.
            self._note_informed([row])
        async with self.version_raised:
            self.version_raised.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        parser = Parser(LIMITS)
        try:
            while data := await reader.read(READ):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    writer.write(await self.answer(message))
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass  # the dispatcher is gone, or the day is over
        finally:
            writer.close()

    async def answer(self, message: Message) -> bytes:
        """Return the answer to a request: the whole list, or the changes once there are any."""
        query = parse_qs(urlsplit(message.target).query)
        if "index" not in query:
            rows = [row for row in self.rows.values() if row["state"] != "gone"]
            return self._encode_answer(rows, full=True)
        index = int(query["index"][0])
        wait_seconds = int(query.get("wait", ["0"])[0]) / 1000
        with contextlib.suppress(TimeoutError):  # then the answer has no changes
            async with self.version_raised:
                await asyncio.wait_for(
                    self.version_raised.wait_for(lambda: self.version > index), wait_seconds
                )
        changes = [row for row in self.rows.values() if self.changed[row["id"]] > index]
        return self._encode_answer(changes, full=False)

    def _note_informed(self, rows: list[Row]) -> None:
        """Note that the dispatcher is informed of these servers' states from now on."""
        now_us = self.clock.now_us()
        for row in rows:
            if row["state"] == "ready":
                self.verifier.ready_again(row["id"])
            else:
                self.verifier.drain_told(now_us, row["id"])

    def _encode_answer(self, rows: list[Row], *, full: bool) -> bytes:
        """Return the answer's bytes; the dispatcher counts as informed of its rows from now on."""
        self._note_informed(rows)
        body = {"version": self.version, "full": full, "servers": rows}
        return write_answer(OK, ujson.dumps(body).encode())
