"""Reading of asyncio streams, as emulated workers, discovery and clients share it."""

import asyncio

from stepstream.config.limits import Limits
from stepstream.http.codec import Message, Parser

LIMITS = Limits()
READ_BYTES = 65_536  # read from a socket at once


async def read_response(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP response; raise EOFError if the connection ends before it is complete."""
    parser = Parser(LIMITS, answers=True)
    while (message := parser.next()) is None:
        data = await reader.read(READ_BYTES)
        if not data:
            raise EOFError
        parser.feed(data)
    return message
