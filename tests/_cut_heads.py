"""Responses whose sender stops inside the head, a chunk line or a trailer."""

import re
from collections.abc import Callable

import eventlet

from bergamotsaddle_contracts.ini import Address

BODY = b'{"output": 1}'
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_SO_LINGER = (1, 13)
_STATUS = b"HTTP/1.1 200 OK\r\n"
_FIELDS = (
    b"X-Request-Id: r1\r\nX-Stage: encode.1\r\nETag: 5\r\nX-Backend: t1\r\n"
    b"Content-Type: application/json\r\n"
)
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_LENGTH = _STATUS + _FIELDS + b"Content-Length: 13"
_CHUNKS = _STATUS + _FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE_BY_LENGTH = _LENGTH + b"\r\n\r\n" + BODY
WHOLE_BY_CHUNKS = _CHUNKS + b"0d\r\n" + BODY + b"\r\n0\r\nX-Sum: 1\r\n\r\n"
UNCHANGED = b"HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n"
WHOLE_RESPONSES = [
    ("length", WHOLE_BY_LENGTH),
    ("chunks", WHOLE_BY_CHUNKS),
    ("length_behind_interim", _INTERIM + WHOLE_BY_LENGTH),
]
CUT_RESPONSES = [
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
    ("in_digits", _LENGTH[:-1]),
    ("behind_digits", _LENGTH),
    ("behind_length_cr", _LENGTH + b"\r"),
    ("behind_length", _LENGTH + b"\r\n"),
    ("behind_empty_length", _STATUS + _FIELDS + b"Content-Length: 0\r\n"),
    ("in_blank_line", _LENGTH + b"\r\n\r"),
    ("behind_head", _LENGTH + b"\r\n\r\n"),
    ("in_interim_status", b"HTTP/1.1 10"),
    ("behind_interim_status", b"HTTP/1.1 100 Continue\r\n"),
    ("in_interim_field", b"HTTP/1.1 103 Early Hints\r\nLink: "),
    ("behind_interim_field", b"HTTP/1.1 103 Early Hints\r\n" + _FIELDS),
    ("behind_interim", _INTERIM),
    ("behind_field_behind_interim", _INTERIM + _STATUS + _FIELDS),
    ("in_coding", _STATUS + _FIELDS + b"Transfer-Encoding: chun"),
    ("behind_coding", _CHUNKS.removesuffix(b"\r\n")),
    ("before_first_chunk", _CHUNKS),
    ("in_chunk_line", _CHUNKS + b"0"),
    ("behind_chunk_size", _CHUNKS + b"0d"),
    ("behind_chunk_cr", _CHUNKS + b"0d\r"),
    ("in_chunk", _CHUNKS + b"0d\r\n" + BODY[:5]),
    ("behind_chunk", _CHUNKS + b"0d\r\n" + BODY + b"\r\n"),
    ("in_second_chunk_line", _CHUNKS + b"07\r\n" + BODY[:7] + b"\r\n0"),
    ("in_last_chunk_line", _CHUNKS + b"0d\r\n" + BODY + b"\r\n0"),
    ("behind_last_chunk_line", _CHUNKS + b"0d\r\n" + BODY + b"\r\n0\r\n"),
    ("in_trailer", WHOLE_BY_CHUNKS[:-9]),
    ("behind_trailer", WHOLE_BY_CHUNKS[:-2]),
]
MALFORMED_RESPONSES = [
    ("no_http", b"garbage\r\n\r\n"),
    ("no_status", b"HTTP/1.1 OK\r\n\r\n"),
    ("status_out_of_range", b"HTTP/1.1 99 OK\r\n\r\n"),
    ("other_version", b"HTTP/2 200 OK\r\n" + _FIELDS + b"\r\n"),
    ("long_status_line", b"HTTP/1.1 200 " + b"x" * 70_000 + b"\r\n" + _FIELDS),
    ("long_field", _STATUS + b"X-Long: " + b"x" * 70_000 + b"\r\n\r\n"),
    ("many_fields", _STATUS + b"X-More: 1\r\n" * 110 + _FIELDS + b"\r\n"),
]
Answer = Callable[[bytes], bytes]
ENDINGS = ("close", "reset")


class CuttingPeer:
    """Reads a request on each connection, sends fixed bytes and ends the connection.

    Args:
        data: The bytes to send, or a function that returns those for a request. The
            request and the stage that they name are replaced by those of the request.
        ending: How the connection ends, ``close`` or ``reset``.

    Attributes:
        address: Where it listens.
        served: Number of requests read.
    """

    def __init__(self, data: bytes | Answer, ending: str = "close") -> None:
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
        if request := sock.recv(65_536):
            self.served += 1
            sock.sendall(_name_request(self._answer(request), request))
        if self._ending == "reset":
            eventlet.sleep(0.02)
            sock.setsockopt(*_SO_LINGER, LINGER_RESET)
        sock.close()


def _name_request(data: bytes, request: bytes) -> bytes:
    for name in (b"X-Request-Id", b"X-Stage"):
        if named := re.search(rb"(?i)%b: [^\r]*" % name, request):
            data = re.sub(rb"%b: [^\r]*" % name, name + named[0][len(name) :], data)
    return data
