"""Emulate the platform's discovery service: the list of endpoints, and the watch for its changes.

`GET` without a query returns the whole list. `GET ?index=VERSION&wait=MILLISECONDS` waits for
a version above the given one and returns the endpoints that have changed after the given version.
A `DiscoveryEmulator` belongs to the event loop of the run; it has no lock.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

import ujson

from stepstream.http.codec import Message, Parser, ProtocolError, write_answer
from stepstream.lab.emulator.clock import MS_PER_SECOND, Clock
from stepstream.lab.emulator.streams import LIMITS, READ_BYTES
from stepstream.lab.load.site import EndpointSource
from stepstream.lab.verification.verifier import Verifier

EndpointJson = dict[str, Any]
"""An endpoint in the discovery service's JSON form, with at least `id` and `state`."""


@dataclass(eq=False)
class DiscoveryEmulator:
    """Serve the endpoint list and its version over HTTP on a loopback port."""

    clock: Clock
    verifier: Verifier
    version: int = 1
    endpoints: dict[str, EndpointJson] = field(default_factory=dict)  # by id
    change_versions: dict[str, int] = field(default_factory=dict)  # of the last change, by id
    version_raised: asyncio.Condition = field(default_factory=asyncio.Condition)
    server: asyncio.Server | None = None

    async def start(self) -> int:
        """Start to serve, and return the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def update(self, endpoint: EndpointJson) -> None:
        """Add or replace an endpoint, and wake every watch."""
        self.version += 1
        self.endpoints[endpoint["id"]] = endpoint
        self.change_versions[endpoint["id"]] = self.version
        if self.verifier.scenario.site.endpoint_source is EndpointSource.PUSHED:
            # The local agent has the change at once, so the dispatcher counts as informed.
            self._note_dispatcher_informed([endpoint])
        async with self.version_raised:
            self.version_raised.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it ends."""
        parser = Parser(LIMITS)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    writer.write(await self.respond(message))
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass  # the dispatcher has ended, or the run is over
        finally:
            writer.close()

    async def respond(self, message: Message) -> bytes:
        """Return the response to a request: the whole list, or the changes when there are any."""
        query = parse_qs(urlsplit(message.target).query)
        if "index" not in query:
            endpoints = [
                endpoint for endpoint in self.endpoints.values() if endpoint["state"] != "gone"
            ]
            return self._encode_response(endpoints, full=True)
        version = int(query["index"][0])
        wait_seconds = int(query.get("wait", ["0"])[0]) / MS_PER_SECOND
        await self._wait_for_change(version, wait_seconds)
        changes = [
            endpoint
            for endpoint in self.endpoints.values()
            if self.change_versions[endpoint["id"]] > version
        ]
        return self._encode_response(changes, full=False)

    async def _wait_for_change(self, version: int, wait_seconds: float) -> None:
        """Wait until the list has changed since `version`, or for `wait_seconds`."""
        with contextlib.suppress(TimeoutError):
            async with self.version_raised:
                await asyncio.wait_for(
                    self.version_raised.wait_for(lambda: self.version > version), wait_seconds
                )

    def _note_dispatcher_informed(self, endpoints: list[EndpointJson]) -> None:
        """Note that the dispatcher knows these endpoints' states from now on."""
        now_us = self.clock.now_us()
        for endpoint in endpoints:
            if endpoint["state"] == "ready":
                self.verifier.on_worker_ready(endpoint["id"])
            else:
                self.verifier.on_drain_known(now_us, endpoint["id"])

    def _encode_response(self, endpoints: list[EndpointJson], *, full: bool) -> bytes:
        """Return the response's bytes; note that the dispatcher is informed from now on."""
        self._note_dispatcher_informed(endpoints)
        body = {"version": self.version, "full": full, "servers": endpoints}
        return write_answer(HTTPStatus.OK, ujson.dumps(body).encode())
