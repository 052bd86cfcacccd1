"""WSGI helpers shared by the stand-ins."""

import sys
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec

Environ = dict[str, Any]
App = Callable[[Environ, Callable], Iterable[bytes]]


def serve(app: App, port: int = 0) -> int:
    """Serve an application on loopback in the background and return its port."""
    listener = eventlet.listen(("127.0.0.1", port), backlog=512)
    eventlet.spawn_n(
        eventlet.wsgi.server,
        listener,
        app,
        max_size=8192,
        log_output=False,
        minimum_chunk_size=1,
        debug=False,
    )
    return listener.getsockname()[1]


def announce_ports(**ports: Any) -> None:
    """Print a JSON line with the ports this process listens on."""
    sys.stdout.write(msgspec.json.encode({"event": "listening", **ports}).decode())
    sys.stdout.write("\n")
    sys.stdout.flush()


def read_json(environ: Environ) -> Any:
    """Decode the JSON body of a request; an empty body decodes to ``{}``."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length)
    return msgspec.json.decode(body) if body else {}


def respond_json(
    start_response: Callable,
    payload: Any,
    *,
    status: str = "200 OK",
    headers: tuple[tuple[str, str], ...] = (),
) -> list[bytes]:
    """Send a JSON response."""
    body = msgspec.json.encode(payload)
    content = [("Content-Type", "application/json"), *headers]
    start_response(status, [*content, ("Content-Length", str(len(body)))])
    return [body]
