"""Targets whose process ends, or lives on, behind an unframed response."""

import socket

import eventlet
import msgspec

from bergamotsaddle_contracts.ini import Address

HOST = "127.0.0.1"
STARTED_MS = 1_000
# Time for which connections of a crashed target are still open.
CLOSING_S = 0.02
_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_OTHER_TARGET = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
_REJECTION = (
    b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
LIVES = ("answers", "states_no_start", "rejects_the_question")
ENDS = (
    "refuses",
    "refuses_a_moment_later",
    "resets",
    "closes",
    "stays_silent",
    "cuts_its_report",
    "hides_its_start",
    "is_a_relay",
    "is_an_overloaded_relay",
    "is_a_redirecting_relay",
    "is_another_server",
    "has_no_content",
    "answers_another_request",
    "is_another_target",
    "has_restarted",
)


def report(started_ms):
    """Return the report of a target, which names when it started."""
    fields = {"waiting": 0} if started_ms is None else {"born": started_ms}
    body = msgspec.json.encode(fields)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def bare(status):
    """Return a response without a body that no target of the platform sends."""
    return b"HTTP/1.1 %d Bare\r\nContent-Length: 0\r\n\r\n" % status


_ANSWERS = {
    "answers": report(STARTED_MS),
    "states_no_start": report(None),
    "rejects_the_question": _REJECTION,
    "hides_its_start": report(None),
    "is_a_relay": bare(502),
    "is_an_overloaded_relay": bare(503),
    "is_a_redirecting_relay": bare(301),
    "is_another_server": bare(404),
    "has_no_content": bare(204),
    "answers_another_request": report(STARTED_MS).replace(
        b"\r\n", b"\r\nX-Request-Id: r0\r\n", 1
    ),
    "is_another_target": _OTHER_TARGET,
    "has_restarted": report(STARTED_MS + 500),
    "cuts_its_report": report(STARTED_MS)[:-2],
    "closes": b"",
}


class EndingTarget:
    """A target that sends an unframed response, after which something happens.

    Args:
        first: The bytes with which the first request is answered. The connection is
            closed in order behind them.
        then: What the target, or what is left of it, does from then on.

    Attributes:
        started_ms: When it started, as its entry says; 0 if that does not say.
        requests: Requests that it received, but for reports.
        address: Its address.
    """

    def __init__(self, first, then):
        self._first = first
        self._then = then
        self.started_ms = 0 if then == "states_no_start" else STARTED_MS
        self.requests = []
        self._threads = []
        self._listener = eventlet.listen((HOST, 0))
        self.address = Address(*self._listener.getsockname())
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self._threads.append(eventlet.spawn(self._serve, sock))

    def _serve(self, sock):
        try:
            while request := sock.recv(65_536):
                if not self._answer(sock, request):
                    return
        except OSError:
            # The instance has closed the connection.
            return
        finally:
            sock.close()

    def _answer(self, sock, request):
        """Answer a request; return whether the connection stays open."""
        if b"/report" not in request:
            self.requests.append(request)
            self._respond(sock)
            return False
        if self._then in ("stays_silent", "refuses_a_moment_later"):
            return True
        if self._then == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return False
        sock.sendall(_ANSWERS[self._then])
        return self._then not in ("closes", "cuts_its_report")

    def _respond(self, sock):
        """Send the response, and end with it unless the target lives on."""
        if self._then == "refuses":
            self._close_port()
        sock.sendall(self._first)
        sock.shutdown(socket.SHUT_WR)
        if self._then == "refuses_a_moment_later":
            eventlet.sleep(CLOSING_S)
            self._close_port()
        if self._then not in LIVES:
            self._close_others()

    def _close_port(self):
        self._acceptor.kill()
        self._listener.close()

    def _close_others(self):
        """Close all connections but that of the current green thread."""
        for thread in self._threads:
            if thread is not eventlet.getcurrent():
                thread.kill()

    def close(self):
        """End the target."""
        self._close_port()
        self._close_others()
