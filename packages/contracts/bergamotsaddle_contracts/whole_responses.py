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
from enum import Enum
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

_INTERIM = frozenset(range(100, 200)) - {http.client.SWITCHING_PROTOCOLS}
_FINAL = range(200, 600)
_WITHOUT_BODY = frozenset((http.client.NO_CONTENT, http.client.NOT_MODIFIED))
_MAX_INTERIM_RESPONSES = 64
_LENGTH = re.compile(r"[0-9]+")
_BLANKS = " \t"
_BLANK_LINES = frozenset((b"\r\n", b"\n"))
_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT)
_CONTINUED_VALUE = re.compile(rb"[ \t]" + _TEXT)
_LAST_CHUNK = re.compile(rb"0+[ \t]*(?:;.*)?\r?\n")


class _Line(Enum):
    """What a line of a response may be. Values are patterns."""

    STATUS = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb"|\r?\n)")
    FIELD = re.compile(rb"(?:" + _FIELD.pattern + rb")|\r?\n")
    FIELD_OR_VALUE = re.compile(
        rb"(?:" + FIELD.pattern + rb")|(?:" + _CONTINUED_VALUE.pattern + rb")"
    )
    CHUNK = re.compile(rb"[0-9A-Fa-f]+[ \t]*(?:;" + _TEXT + rb"|\r?\n)")


class _LineReader(io.BufferedReader):
    """A reader whose lines end with a line feed and are those of a response.

    Attributes:
        expected: What the next line may be.
    """

    expected = _Line.STATUS

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line, or as much of it as fits.

        Raises:
            http.client.RemoteDisconnected: If the connection ended inside the line.
            http.client.HTTPException: If it is not what may come next.
        """
        line = super().readline(size)
        if line.endswith(b"\n"):
            self._check(line)
        elif len(line) != size:
            raise http.client.RemoteDisconnected("response broke off inside a line")
        return line

    def _check(self, line: bytes) -> None:
        if not self.expected.value.fullmatch(line):
            name = self.expected.name.lower()
            raise http.client.HTTPException(f"expected a {name}, not {line[:80]!r}")
        self.expected = self._next(line)

    def _next(self, line: bytes) -> _Line:
        """Return what may follow a line. Chunks follow a head, a trailer the last."""
        if self.expected is _Line.STATUS:
            return _Line.FIELD
        if self.expected is _Line.CHUNK:
            return _Line.FIELD if _LAST_CHUNK.fullmatch(line) else _Line.CHUNK
        return _Line.CHUNK if line in _BLANK_LINES else _Line.FIELD_OR_VALUE


class _Response(http.client.HTTPResponse):
    """A final response whose head, chunk lines and trailers must be whole."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.fp = _LineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head.

        Raises:
            http.client.HTTPException: If it is none of HTTP/1.1, or does not say where
                the body ends.
        """
        super().begin()
        self._check_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line behind interim responses, and skip these.

        ``http.client`` itself skips only those with status 100, in any number.

        Raises:
            http.client.HTTPException: If there are too many of them, or it is none of
                HTTP/1.1.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            self.fp.expected = _Line.STATUS
            line = super()._read_status()
            if line[1] in _FINAL:
                return line
            if line[1] not in _INTERIM:
                raise http.client.HTTPException(f"unexpected status {line[1]}")
            http.client.parse_headers(self.fp)
        raise http.client.HTTPException("too many interim responses")

    def _check_framing(self) -> None:
        """Raise an error if the head doesn't say clearly where the body ends."""
        codings = self.headers.get_all("transfer-encoding", [])
        if [coding.strip(_BLANKS).lower() for coding in codings] not in (
            [],
            ["chunked"],
        ):
            raise http.client.HTTPException(f"unknown transfer coding {codings}")
        values = self.headers.get_all("content-length", [])
        lengths = {value.strip(_BLANKS) for value in values}
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
