"""A stand-in for discovery: one list that does not change, by the platform's protocol."""

import contextlib
import json
import threading
import time
from collections.abc import Sequence
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

VERSION = 1


class Handler(BaseHTTPRequestHandler):
    """Answers a call for the whole list, and a watch after its wait, as nothing changes."""

    protocol_version = "HTTP/1.1"
    servers: Sequence[dict[str, Any]] = ()

    def do_GET(self) -> None:  # noqa: N802  the library's name
        """Answer one call."""
        query = parse_qs(urlsplit(self.path).query)
        is_watch = int(query.get("index", ["0"])[0]) == VERSION
        if is_watch:
            time.sleep(int(query.get("wait", ["0"])[0]) / 1000)
        listed = [] if is_watch else list(self.servers)
        body = json.dumps({"version": VERSION, "full": not is_watch, "servers": listed}).encode()
        # The dispatcher may have ended during the wait.
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Write no log."""


def start_discovery(host: str, servers: Sequence[dict[str, Any]] = ()) -> str:
    """Serve the list in threads of this process; return the address."""
    handler = type("Listed", (Handler,), {"servers": servers})
    server = ThreadingHTTPServer((host, 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"{host}:{server.server_address[1]}"
