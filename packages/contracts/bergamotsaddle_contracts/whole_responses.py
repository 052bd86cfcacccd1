"""HTTP connections on which a response that breaks off, or is none, is an error.

``http.client`` takes the end of a connection for the end of a line, of the headers and
of the chunks. A response that broke off there would look whole, with a short body. It
also accepts heads that are none of HTTP/1.1, and drops the fields behind a line that it
can't read, with the length of the body among them. A response that doesn't state where
its body ends can't be told from a part of it, so it is an error, too.
"""

import http.client
import io
import re
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

_INTERIM = frozenset(range(100, 200)) - {http.client.SWITCHING_PROTOCOLS}
_FINAL = range(200, 600)
_WITHOUT_BODY = frozenset((http.client.NO_CONTENT, http.client.NOT_MODIFIED))
_VERSIONS = frozenset(("HTTP/1.0", "HTTP/1.1"))
_MAX_INTERIM_RESPONSES = 64
_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT)
_CONTINUED_VALUE = re.compile(rb"[ \t]" + _TEXT)
_LENGTH = re.compile(r"[0-9]+")
_CONTROLS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_BLANK_LINES = frozenset((b"\r\n", b"\n"))


class _LineReader(io.BufferedReader):
    """A reader whose lines end with a line feed.

    Attributes:
        reads_fields: Whether the lines are fields of a head.
    """

    reads_fields = False
    _has_field = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line, or as much of it as fits.

        Raises:
            http.client.RemoteDisconnected: If the connection ended inside the line.
            http.client.HTTPException: If it is no field of a head that is read.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected("response broke off inside a line")
        if self.reads_fields and line.endswith(b"\n"):
            self._check_field(line)
        return line

    def _check_field(self, line: bytes) -> None:
        if line in _BLANK_LINES:
            self._has_field = False
        elif _FIELD.fullmatch(line):
            self._has_field = True
        elif not (self._has_field and _CONTINUED_VALUE.fullmatch(line)):
            raise http.client.HTTPException(f"expected a field, not {line[:80]!r}")


class _Response(http.client.HTTPResponse):
    """A final response whose head, chunk lines and trailers must be whole."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.fp = _LineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head.

        Raises:
            http.client.HTTPException: If it is none of HTTP/1.1.
        """
        reader = self.fp
        super().begin()
        # A response without a body gives its reader up.
        reader.reads_fields = False
        self._check_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line behind interim responses, and skip these.

        ``http.client`` itself skips only those with status 100, in any number.

        Raises:
            http.client.HTTPException: If there are too many of them, or it is none of
                HTTP/1.1.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            self.fp.reads_fields = False
            version, status, reason = super()._read_status()
            self.fp.reads_fields = True
            if version not in _VERSIONS or _CONTROLS.search(reason.rstrip()):
                raise http.client.HTTPException(f"malformed status line: {version}")
            if status in _FINAL:
                return version, status, reason
            if status not in _INTERIM:
                raise http.client.HTTPException(f"unexpected status {status}")
            http.client.parse_headers(self.fp)
        raise http.client.HTTPException("too many interim responses")

    def _check_framing(self) -> None:
        """Raise an error if the head doesn't say clearly where the body ends."""
        codings = self.headers.get_all("transfer-encoding", [])
        if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise http.client.HTTPException(f"unknown transfer coding {codings}")
        values = self.headers.get_all("content-length", [])
        lengths = {length.strip() for value in values for length in value.split(",")}
        is_number = all(map(_LENGTH.fullmatch, lengths))
        if len(lengths) > 1 or not is_number:
            raise http.client.HTTPException(f"expected one length, not {values}")
        has_body = self._method != "HEAD" and self.status not in _WITHOUT_BODY
        if has_body and not lengths and not codings:
            raise http.client.HTTPException("expected a length or chunks")


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
