"""Calls the WSGI interface for callers as a web server does."""

import io
from typing import Any, NamedTuple

import msgspec

from bergamotsaddle_daemon.daemon import Daemon
from tests._fakes import KEY


class HttpResponse(NamedTuple):
    """A complete response to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body decoded as JSON."""
        return msgspec.json.decode(self.body)


def send_request(
    daemon: Daemon,
    path: str,
    body: Any = None,
    *,
    method: str = "POST",
    key: str = KEY,
    raw: bytes | None = None,
    **headers: str,
) -> HttpResponse:
    """Send one request and read its complete response."""
    payload = raw if raw is not None else msgspec.json.encode(body or {})
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(payload)),
        "wsgi.input": io.BytesIO(payload),
        "HTTP_AUTHORIZATION": f"Bearer {key}",
        **{f"HTTP_X_{name.upper()}": value for name, value in headers.items()},
    }
    started: list[Any] = []
    chunks = daemon.callers(environ, lambda *args: started.extend(args))
    try:
        response_body = b"".join(chunks)
    finally:
        getattr(chunks, "close", lambda: None)()
    return HttpResponse(int(started[0].split()[0]), dict(started[1]), response_body)
