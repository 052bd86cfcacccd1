"""Calls the callers' interface as a web server would."""

import io
from typing import Any, NamedTuple

import msgspec

from bergamotsaddle_daemon.daemon import Daemon
from tests._fakes import KEY


class HttpResponse(NamedTuple):
    """What a caller gets."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
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
    """Make one request and read its whole answer."""
    payload = raw if raw is not None else msgspec.json.encode(body or {})
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(payload)),
        "wsgi.input": io.BytesIO(payload),
        "HTTP_AUTHORIZATION": f"Bearer {key}",
        **{f"HTTP_X_{name.upper()}": value for name, value in headers.items()},
    }
    began: list[Any] = []
    answer = daemon.callers(environ, lambda *args: began.extend(args))
    try:
        parts = b"".join(answer)
    finally:
        getattr(answer, "close", lambda: None)()
    return HttpResponse(int(began[0].split()[0]), dict(began[1]), parts)
