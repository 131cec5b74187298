"""Read HTTP responses from asyncio streams, for emulated workers, discovery and clients."""

import asyncio

from stepstream.config.limits import Limits
from stepstream.http.codec import Message, Parser

LIMITS = Limits()
READ_BYTES = 65_536  # at most, in one read of a socket


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP response; raise EOFError if the connection ends before it is complete."""
    parser = Parser(LIMITS, answers=True)
    while (message := parser.next()) is None:
        data = await reader.read(READ_BYTES)
        if not data:
            raise EOFError
        parser.feed(data)
    return message
