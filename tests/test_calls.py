"""Calls to targets over real sockets: each response goes to its own request."""

import socket
import unittest

import eventlet
from nose2.tools import params

from bergamotsaddle_contracts.errors import TargetError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.calls import Call, Connections
from bergamotsaddle_daemon.clock import now
from tests._fakes import run_green
from tests._paused import advance, settle

BODY = b'{"output": 1}'
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def response_to(
    call: Call, *, request: str | None = None, stage: str | None = None
) -> bytes:
    """Return the bytes of a response that names a request and a stage."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request or call.request}",
        f"X-Stage: {stage or call.stage}",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + BODY


def read_to_end(stream) -> bytes:
    """Read a response that arrives in parts."""
    parts = []
    while part := stream.read_available(1.0):
        parts.append(part)
    return b"".join(parts)


def no_guard() -> None:
    """Allow every call."""


class CallTest(unittest.TestCase):
    """Calls to one target whose connections the test controls."""

    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.connections = Connections()
        self.accepted = []
        self.thread = eventlet.spawn(self.accept)
        self.addCleanup(self.listener.close)
        self.addCleanup(self.thread.kill)

    def accept(self):
        while True:
            self.accepted.append(self.listener.accept()[0])

    def call(self, request: str = "r1", stage: str = "encode.1", seconds: float = 2.0):
        return Call(request, stage, "/v1/x", b"{}", now() + seconds, 0.5, 5, {})

    def post(self, call: Call, method: str = "post"):
        """Post in the background until the target has read the request."""
        post = getattr(self.connections, method)
        result = run_green(lambda: post(self.address, call, no_guard))
        settle()
        return result

    def test_response_to_its_own_request(self):
        call = self.call()
        result = self.post(call)
        self.accepted[0].recv(4096)
        self.accepted[0].sendall(response_to(call))
        settle()
        self.assertEqual(result.value.body, BODY)

    def test_connection_is_kept_after_a_complete_response(self):
        for number in (1, 2):
            call = self.call(stage=f"encode.{number}")
            result = self.post(call)
            self.accepted[0].recv(4096)
            self.accepted[0].sendall(response_to(call))
            settle()
            self.assertEqual(result.value.body, BODY)
        self.assertEqual(len(self.accepted), 1)

    @params(("other", None), (None, "encode.9"), (None, "rerank.1"))
    def test_crossed_response_is_discarded(self, request, stage):
        # A proxy between daemon and target mixes up responses. A caller must never
        # get the response to another caller's request.
        call = self.call()
        result = self.post(call)
        self.accepted[0].recv(4096)
        self.accepted[0].sendall(response_to(call, request=request, stage=stage))
        settle()
        self.assertIsInstance(result.error, TargetError)
        self.assertEqual(self.connections.responses_discarded, 1)

    def test_late_response_reaches_no_later_request(self):
        # The target responds after the time limit, just as the next request is sent.
        # On a reused connection, that request would get this response.
        first = self.call(seconds=1.0)
        result = self.post(first)
        advance(1.5)
        self.assertIsInstance(result.error, TargetError)
        self.assertTrue(result.error.sent)
        second = self.call(request="r2", stage="encode.2")
        result = self.post(second)
        with self.assertRaises(OSError):
            self.accepted[0].sendall(response_to(first))
            settle()
            self.accepted[0].sendall(response_to(first))
        self.assertEqual(len(self.accepted), 2)
        self.accepted[1].recv(4096)
        self.accepted[1].sendall(response_to(second))
        settle()
        self.assertEqual(result.value.body, BODY)

    def test_silent_connection_ends_at_the_time_limit(self):
        # A middlebox has dropped the connection's state: neither bytes nor an error
        # ever arrive.
        result = self.post(self.call(seconds=1.0))
        advance(0.9)
        self.assertFalse(result.done)
        advance(0.2)
        self.assertIsInstance(result.error, TargetError)

    def test_closed_idle_connection_is_not_used(self):
        call = self.call()
        self.post(call)
        self.accepted[0].recv(4096)
        self.accepted[0].sendall(response_to(call))
        settle()
        self.accepted[0].close()
        settle()
        call = self.call(stage="encode.2")
        result = self.post(call)
        self.accepted[1].recv(4096)
        self.accepted[1].sendall(response_to(call))
        settle()
        self.assertEqual(result.value.body, BODY)

    def test_unrepeatable_call_uses_no_idle_connection(self):
        call = self.call()
        self.post(call)
        self.accepted[0].recv(4096)
        self.accepted[0].sendall(response_to(call))
        settle()
        self.post(self.call(stage="orders.2"), "post_once")
        self.assertEqual(len(self.accepted), 2)

    def test_refused_connection_sent_nothing(self):
        self.thread.kill()
        self.listener.close()
        result = self.post(self.call())
        advance(1.0)
        self.assertFalse(result.error.sent)

    def test_connection_closed_after_sending_counts_as_sent(self):
        result = self.post(self.call(), "post_once")
        self.accepted[0].recv(4096)
        self.accepted[0].close()
        settle()
        self.assertTrue(result.error.sent)

    @params("post", "post_once", "open_stream")
    def test_a_reset_never_looks_like_the_end(self, method):
        # A target without lengths crashes while it sends its response.
        for size in range(len(BODY) + 1):
            call = self.call()
            result = self.post(call, method)
            target = self.accepted.pop()
            target.recv(4096)
            head = response_to(call).replace(LENGTH, b"").removesuffix(BODY)
            target.sendall(head + BODY[:size])
            settle()
            target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            target.close()
            settle()
            if method == "open_stream" and result.error is None:
                stream = result.value
                result = run_green(lambda s=stream: read_to_end(s))
            self.assertIsInstance(result.error, TargetError, size)
            self.assertTrue(result.error.sent)

    @params("post", "post_once", "open_stream")
    def test_a_response_that_states_no_end_is_none(self, method):
        """Guards against a part of a body that looks like all of it."""
        call = self.call()
        result = self.post(call, method)
        self.accepted[0].recv(4096)
        self.accepted[0].sendall(response_to(call).replace(LENGTH, b""))
        self.accepted[0].close()
        settle()
        self.assertIsInstance(result.error, TargetError)
        self.assertTrue(result.error.sent)

    def test_guard_stops_before_the_first_byte(self):
        def stop():
            raise TargetError("stop", sent=False)

        result = run_green(
            lambda: self.connections.post(self.address, self.call(), stop)
        )
        settle()
        self.assertFalse(result.error.sent)
        self.assertEqual(self.accepted[0].recv(4096), b"")

    def test_silent_stream_is_cut(self):
        # An engine's connection goes silent in the middle of a token stream.
        call = self.call(stage="generate.1", seconds=60.0)
        result = self.post(call, "open_stream")
        self.accepted[0].recv(4096)
        head = response_to(call).removesuffix(BODY)
        self.accepted[0].sendall(head + BODY[:3])
        settle()
        stream = result.value
        self.assertEqual(run_green(lambda: stream.read_available(1.0)).value, BODY[:3])
        reading = run_green(lambda: stream.read_available(1.0))
        advance(0.9)
        self.assertFalse(reading.done)
        advance(0.2)
        self.assertTrue(reading.error.timed_out)
