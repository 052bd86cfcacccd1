"""WSGI helpers shared by both HTTP interfaces of the daemon."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import eventlet
import msgspec

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_daemon.body_memory import MemoryShare, MemoryShortError
from bergamotsaddle_daemon.settings import Settings

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Headers = list[tuple[str, str]]
# Bytes of a body that are read at once. A chunk may have a single one.
_PART_BYTES = 65_536
_CHUNKED_PART_BYTES = 1_024
# A body is held as received and as decoded.
_COPIES = 2


def send_response_head(
    start_response: StartResponse, status: int, headers: Headers, *, close: bool
) -> None:
    """Send status and headers; ``close`` asks the client to close the connection."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    if close:
        headers = [*headers, ("Connection", "close")]
    start_response(f"{status} {phrase}", headers)


def json_response(
    start_response: StartResponse,
    status: int,
    payload: Any,
    *,
    headers: Headers | None = None,
    close: bool = False,
) -> Iterable[bytes]:
    """Send the head of a JSON response and return its body."""
    body = msgspec.json.encode(payload)
    content = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *(headers or []),
    ]
    send_response_head(start_response, status, content, close=close)
    return [body]


def read_body(environ: Environ, settings: Settings, share: MemoryShare) -> bytes:
    """Read a request's body.

    Args:
        environ: The request.
        settings: Settings of the daemon.
        share: Gets the memory that the body takes.

    Raises:
        RequestError: If it is malformed, too large or sent too slowly, or there is no
            memory for it.
    """
    bound = settings.limits.body_bytes
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        raise RequestError(ErrorKind.BAD_REQUEST, "Content-Length is no number")
    if int(length) > bound:
        raise RequestError(ErrorKind.TOO_LARGE, f"body above {bound} bytes")
    try:
        with eventlet.Timeout(settings.timing.header):
            body = _read_parts(environ, bound + 1, share)
    except eventlet.Timeout as error:
        detail = f"body took longer than {settings.timing.header} s"
        raise RequestError(ErrorKind.TOO_SLOW, detail) from error
    except MemoryShortError as error:
        raise RequestError(ErrorKind.OVERLOADED, "no memory for the body") from error
    except (ValueError, OSError) as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"body: {error}") from error
    if len(body) > bound:
        raise RequestError(ErrorKind.TOO_LARGE, f"body above {bound} bytes")
    if len(body) < int(length):
        raise RequestError(ErrorKind.BAD_REQUEST, "body ended early")
    return body


def _read_parts(environ: Environ, limit: int, share: MemoryShare) -> bytes:
    """Read a body in parts, between which other green threads run.

    Raises:
        MemoryShortError: If there is no memory for it.
        ValueError: If its chunks are malformed.
        OSError: If it ends early.
    """
    is_chunked = "HTTP_TRANSFER_ENCODING" in environ
    size = _CHUNKED_PART_BYTES if is_chunked else _PART_BYTES
    parts = []
    while limit > 0 and (part := environ["wsgi.input"].read(min(size, limit))):
        share.take(_COPIES * len(part))
        parts.append(part)
        limit -= len(part)
        eventlet.sleep(0)
    return b"".join(parts)
