"""Responses whose sender stops inside the head, a chunk line or a trailer."""

import re
from collections.abc import Callable, Sequence

import eventlet

from bergamotsaddle_contracts.ini import Address

BODY = b'{"output": 1}'
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_SO_LINGER = (1, 13)
_STATUS = b"HTTP/1.1 200 OK\r\n"
_FIELDS = (
    b"X-Request-Id: r1\r\nX-Stage: encode.1\r\nETag: 5\r\nX-Response-Seal: x\r\n"
    b"Content-Type: application/json\r\n"
)
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_HINTS = b"HTTP/1.1 103 Early Hints\r\n"
UNCHANGED = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n"


def with_length(body: bytes) -> bytes:
    """Return a response that states the length of its body."""
    return _STATUS + _FIELDS + b"Content-Length: %d\r\n\r\n" % len(body) + body


def without_end(body: bytes) -> bytes:
    """Return a response that ends with its connection."""
    return _STATUS + _FIELDS + b"\r\n" + body


def with_chunks(body: bytes, size: int = 0) -> bytes:
    """Return a response whose body is one chunk, or two of which one has a size."""
    chunks = b"".join(
        b"%04x\r\n%b\r\n" % (len(chunk), chunk)
        for chunk in (body[:size], body[size:])
        if chunk
    )
    return _STATUS + _FIELDS + _CHUNKED + b"\r\n" + chunks + b"0\r\nX-Sum: 1\r\n\r\n"


def make_whole_responses(body: bytes = BODY) -> list[tuple[str, bytes]]:
    """Return a row for each way to send a whole response."""
    return [
        ("length", with_length(body)),
        ("chunk", with_chunks(body)),
        ("chunks", with_chunks(body, 7)),
        ("length_behind_interim", _INTERIM + with_length(body)),
        ("length_behind_hints", _HINTS + b"Link: <x>\r\n\r\n" + with_length(body)),
        ("chunks_behind_hints", _HINTS + _FIELDS + b"\r\n" + with_chunks(body)),
    ]


def make_cut_responses(body: bytes = BODY) -> list[tuple[str, bytes]]:
    """Return a row for each place at which a response may stop."""
    line = with_length(body).removesuffix(b"\r\n\r\n" + body)
    chunk, chunks = with_chunks(body), with_chunks(body, 7)
    first = chunk.index(b"\r\n\r\n") + 4
    last = chunk.rindex(b"0\r\nX-Sum")
    second = chunks.index(body[:7]) + 9
    return [
        ("in_version", b"HTTP/1"),
        ("in_status", b"HTTP/1.1 20"),
        ("behind_status", b"HTTP/1.1 200"),
        ("in_reason", b"HTTP/1.1 200 O"),
        ("behind_status_line", _STATUS),
        ("behind_unchanged", b"HTTP/1.1 304 Not Modified\r\n"),
        ("behind_no_content", b"HTTP/1.1 204 No Content\r\n" + _FIELDS),
        ("in_name", _STATUS + _FIELDS + b"Content-Len"),
        ("behind_name", _STATUS + _FIELDS + b"Content-Length:"),
        ("in_value", _STATUS + _FIELDS + b"Cache-Control: no-"),
        ("behind_field", _STATUS + _FIELDS),
        ("in_digits", line[:-1]),
        ("behind_digits", line),
        ("behind_length_cr", line + b"\r"),
        ("behind_length", line + b"\r\n"),
        ("behind_empty_length", _STATUS + _FIELDS + b"Content-Length: 0\r\n"),
        ("in_blank_line", line + b"\r\n\r"),
        ("behind_head", line + b"\r\n\r\n"),
        ("in_body", line + b"\r\n\r\n" + body[:-1]),
        ("in_interim_status", b"HTTP/1.1 10"),
        ("behind_interim_status", b"HTTP/1.1 100 Continue\r\n"),
        ("in_interim_field", _HINTS + b"Link: "),
        ("behind_interim_field", _HINTS + _FIELDS),
        ("behind_interim", _INTERIM),
        ("behind_hints", _HINTS + _FIELDS + b"\r\n"),
        ("behind_field_behind_interim", _INTERIM + _STATUS + _FIELDS),
        ("in_coding", _STATUS + _FIELDS + b"Transfer-Encoding: chun"),
        ("behind_coding", _STATUS + _FIELDS + _CHUNKED),
        ("before_first_chunk", chunk[:first]),
        ("in_chunk_line", chunk[: first + 1]),
        ("behind_chunk_size", chunk[: first + 4]),
        ("behind_chunk_cr", chunk[: first + 5]),
        ("in_chunk", chunk[: first + 11]),
        ("behind_chunk", chunk[:last]),
        ("in_second_chunk_line", chunks[: second + 1]),
        ("in_last_chunk_line", chunk[: last + 1]),
        ("behind_last_chunk_line", chunk[: last + 3]),
        ("in_trailer", chunk[: last + 6]),
        ("behind_trailer", chunk[:-2]),
    ]


WHOLE_BY_LENGTH = with_length(BODY)
WHOLE_RESPONSES = make_whole_responses()
CUT_RESPONSES = make_cut_responses()
MALFORMED_RESPONSES = [
    ("no_http", b"garbage\r\n\r\n"),
    ("no_status", b"HTTP/1.1 OK\r\n\r\n"),
    ("status_out_of_range", b"HTTP/1.1 99 OK\r\n\r\n"),
    ("other_version", b"HTTP/2 200 OK\r\n" + _FIELDS + b"\r\n"),
    ("long_status_line", b"HTTP/1.1 200 " + b"x" * 70_000 + b"\r\n" + _FIELDS),
    ("long_field", _STATUS + b"X-Long: " + b"x" * 70_000 + b"\r\n\r\n"),
    ("many_interim", _INTERIM * 99 + WHOLE_BY_LENGTH),
    ("many_fields", _STATUS + b"X-More: 1\r\n" * 110 + _FIELDS + b"\r\n"),
]
Answer = Callable[[bytes], bytes]
ENDINGS = ("close", "reset")


class CuttingPeer:
    """Reads a request on each connection, sends fixed bytes and ends the connection.

    Args:
        data: The bytes to send, or a function that returns those for a request. They
            name the request and the stage that the request names.
        ending: How the connection ends, ``close`` or ``reset``.
        earlier: What it sends for earlier requests on each connection.

    Attributes:
        address: Where it listens.
        served: Number of requests read.
    """

    def __init__(
        self,
        data: bytes | Answer,
        ending: str = "close",
        *,
        earlier: Sequence[bytes] = (),
    ) -> None:
        self._earlier = earlier
        self._answer = data if callable(data) else lambda request: data
        self._ending = ending
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.served = 0
        self._thread = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop listening."""
        self._thread.kill()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            eventlet.spawn_n(self._serve, self._listener.accept()[0])

    def _serve(self, sock) -> None:
        answers = [lambda _, data=data: data for data in self._earlier]
        for answer in (*answers, self._answer):
            if request := sock.recv(65_536):
                self.served += 1
                sock.sendall(_name_request(answer(request), request))
        if self._ending == "reset":
            eventlet.sleep(0.02)
            sock.setsockopt(*_SO_LINGER, LINGER_RESET)
        sock.close()


def _name_request(data: bytes, request: bytes) -> bytes:
    for name in (b"X-Request-Id", b"X-Stage"):
        named = re.search(rb"(?i)\r\n%b(: [^\r]*\r\n)" % name, request)
        line = name + named[1] if named else b""
        data = re.sub(rb"%b: [^\r]*\r\n" % name, line, data)
    return data
