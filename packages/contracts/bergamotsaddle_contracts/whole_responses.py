"""HTTP connections on which a response that breaks off is an error.

``http.client`` takes the end of a connection for the end of a line, of the headers and
of the chunks. A response that broke off there would look whole, with a short body.
"""

import http.client
import io
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

_INTERIM = frozenset(range(100, 200)) - {http.client.SWITCHING_PROTOCOLS}
_MAX_INTERIM_RESPONSES = 64


class _LineReader(io.BufferedReader):
    """A reader whose lines end with a line feed."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line, or as much of it as fits.

        Raises:
            http.client.RemoteDisconnected: If the connection ended inside the line.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected("response broke off inside a line")
        return line


class _Response(http.client.HTTPResponse):
    """A final response whose head, chunk lines and trailers must be whole."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.fp = _LineReader(self.fp.detach())

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line behind interim responses, and skip these.

        ``http.client`` itself skips only those with status 100, in any number.

        Raises:
            http.client.HTTPException: If there are too many of them.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            line = super()._read_status()
            if line[1] not in _INTERIM:
                return line
            http.client.parse_headers(self.fp)
        raise http.client.HTTPException("too many interim responses")


class WholeConnection(HTTPConnection):
    """A connection on which a response that breaks off inside a line is an error."""

    response_class = _Response


class WholeConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of such connections to one address."""

    ConnectionCls = WholeConnection


def make_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Create a manager of such pools for plain HTTP, without retries.

    Args:
        **options: Options of the manager and of its pools.
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {"http": WholeConnectionPool}
    return manager
