"""An emulated discovery: the platform's list and its watch, late by what the site says."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import ujson

from stepstream.http.codec import Message, Parser, ProtocolError, write_answer
from stepstream.lab.nodes import LIMITS, READ, Clock
from stepstream.lab.referee import Referee


@dataclass(eq=False)
class Catalogue:
    clock: Clock
    referee: Referee
    version: int = 1
    rows: dict[str, dict] = field(default_factory=dict)
    changed: dict[str, int] = field(default_factory=dict)  # by id, the version of its last change
    news: asyncio.Condition = field(default_factory=asyncio.Condition)
    server: asyncio.Server | None = None

    async def begin(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def put(self, row: dict) -> None:
        self.version += 1
        self.rows[row["id"]], self.changed[row["id"]] = row, self.version
        if self.referee.day.site.lists == "pushed":
            self.tell([row])  # what an agent beside the dispatcher holds counts as told
        async with self.news:
            self.news.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = Parser(LIMITS)
        try:
            while data := await reader.read(READ):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    writer.write(await self.answer(message))
        except (OSError, ProtocolError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message: Message) -> bytes:
        asked = parse_qs(urlsplit(message.target).query)
        if "index" not in asked:
            rows = [row for row in self.rows.values() if row["state"] != "gone"]
            return self.written(rows, True)
        index, wait = int(asked["index"][0]), int(asked.get("wait", ["0"])[0]) / 1000
        try:
            async with self.news:
                await asyncio.wait_for(self.news.wait_for(lambda: self.version > index), wait)
        except TimeoutError:
            pass
        return self.written(
            [row for row in self.rows.values() if self.changed[row["id"]] > index], False
        )

    def tell(self, rows: list[dict]) -> None:
        now_us = self.clock.now_us()
        for row in rows:
            if row["state"] == "ready":
                self.referee.ready_again(row["id"])
            else:
                self.referee.drain_told(now_us, row["id"])

    def written(self, rows: list[dict], full: bool) -> bytes:
        """From here on its changes count as told."""
        self.tell(rows)
        body = {"version": self.version, "full": full, "servers": rows}
        return write_answer(200, ujson.dumps(body).encode())
