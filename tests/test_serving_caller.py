"""Tests for caller connections: ambiguous and slow requests, and disconnects."""

import socket
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_serving._sockets import receive
from bergamotsaddle_serving.caller import CallerConnection, CallerLeftError
from bergamotsaddle_serving.catalog import CallerLimits
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMITS = CallerLimits(head_bytes=500, body_bytes=50, head_seconds=0.2, idle_seconds=0.2)
HEAD = b"POST /p/ HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: 3\r\n"
# More than the buffers of both sockets hold.
LARGE_BODY_BYTES = 20_000_000


def connect():
    """Return a caller's socket and the connection that serves it."""
    listener = eventlet.listen(("127.0.0.1", 0))
    client = eventlet.connect(listener.getsockname())
    server, _ = listener.accept()
    listener.close()
    return client, CallerConnection(server, lambda: LIMITS, lambda: False)


class RequestTest(unittest.TestCase):
    """Parsing of one request."""

    def read(self, data, *, end=False):
        """Send bytes and read a request from them."""
        self.client, connection = connect()
        self.client.sendall(data)
        if end:
            self.client.shutdown(socket.SHUT_WR)
        return connection.read()

    @parameterized.expand(
        [
            ("length_and_chunks", HEAD + LENGTH + CHUNKED + b"\r\n0\r\n\r\n"),
            ("two_lengths", HEAD + LENGTH + b"Content-Length: 4\r\n\r\nabcd"),
            ("same_length_twice", HEAD + LENGTH + LENGTH + b"\r\nabc"),
            ("signed_length", HEAD + b"Content-Length: +3\r\n\r\nabc"),
            ("negative_length", HEAD + b"Content-Length: -3\r\n\r\nabc"),
            ("space_before_colon", HEAD + b"Content-Length : 3\r\n\r\nabc"),
            ("folded", HEAD + b"X-A: b\r\n c\r\n\r\n"),
            ("bare_line_feed", b"GET / HTTP/1.1\nHost: h\n\n"),
            ("one_bare_line_feed", HEAD + b"X-A: b\nX-C: d\r\n\r\n"),
            ("bare_return", HEAD + b"X-A: b\rX-C: d\r\n\r\n"),
            ("no_host", b"GET / HTTP/1.1\r\n\r\n"),
            ("two_hosts", HEAD + b"Host: i\r\n\r\n"),
            ("two_encodings", HEAD + CHUNKED + CHUNKED + b"\r\n"),
            ("unknown_encoding", HEAD + b"Transfer-Encoding: gzip\r\n\r\n"),
            ("signed_chunk", HEAD + CHUNKED + b"\r\n+3\r\nabc\r\n0\r\n\r\n"),
            ("no_http", b"hello\r\n\r\n"),
        ]
    )
    def test_ambiguous_requests_are_rejected(self, _, data):
        """Guards against request smuggling: two parsers read one request differently.

        A second request hidden inside the first one would reach a target under a name
        and a team that were not authenticated.
        """
        try:
            with self.assertRaises(RequestError) as raised:
                self.read(data)
        except NotImplementedError:
            self.fail("not refused")
        self.assertEqual(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @parameterized.expand(
        [
            (
                "head",
                HEAD + b"X-A: " + b"a" * 600 + b"\r\n\r\n",
                ErrorKind.HEAD_TOO_LARGE,
            ),
            ("endless_head", HEAD + b"a" * 600, ErrorKind.HEAD_TOO_LARGE),
            ("length", HEAD + b"Content-Length: 51\r\n\r\n", ErrorKind.TOO_LARGE),
            ("chunks", HEAD + CHUNKED + b"\r\n33\r\n" + b"a" * 51, ErrorKind.TOO_LARGE),
            ("slow_head", HEAD, ErrorKind.TOO_SLOW),
        ]
    )
    def test_limits(self, _, data, kind):
        with self.assertRaises(RequestError) as raised:
            self.read(data)
        self.assertEqual(raised.exception.kind, kind)

    @parameterized.expand(
        [
            ("length", HEAD + b"Content-Length: 3\r\n\r\nabc", b"abc"),
            ("chunks", HEAD + CHUNKED + b"\r\n3\r\nabc\r\n0\r\n\r\n", b"abc"),
            ("none", HEAD + b"\r\n", b""),
        ]
    )
    def test_bodies(self, _, data, body):
        self.assertEqual(self.read(data).body, body)

    def test_path_is_kept_as_sent(self):
        request = self.read(b"GET /a%2Fb/?q=%20 HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(request.path, b"/a%2Fb/?q=%20")

    def test_idle_connections_are_closed(self):
        self.assertIsNone(self.read(b""))

    def test_a_truncated_request_never_runs(self):
        with self.assertRaises(CallerLeftError):
            self.read(HEAD + b"Content-Length: 9\r\n\r\nabc", end=True)


class OpenEndTest(unittest.TestCase):
    """Responses that end with their connection, as callers of HTTP/1.0 get them."""

    def start(self):
        """Start a response and send a part of it."""
        self.client, connection = connect()
        self.client.sendall(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        connection.read()
        connection.start(200, [])
        connection.send(b"part")
        self.assertTrue(receive(self.client, 1000, 1.0).endswith(b"part"))
        return connection

    @parameterized.expand(
        [
            ("closed", lambda connection: connection.close()),
            ("reset", lambda connection: connection.reset()),
            # The kernel closes the sockets of a process that was killed.
            ("killed", lambda connection: connection._socket.close()),
        ]
    )
    def test_an_unfinished_response_never_looks_complete(self, _, end):
        """Guards against a part of a response that looks whole to its caller."""
        end(self.start())
        with self.assertRaises(ConnectionResetError):
            receive(self.client, 1000, 1.0)

    def test_a_finished_response_ends_properly(self):
        connection = self.start()
        connection.send(b"rest")
        connection.finish()
        self.assertFalse(connection.prepare_next())
        connection.close()
        data = b""
        while part := receive(self.client, 1000, 1.0):
            data += part
        self.assertEqual(data, b"rest")


class ResponseTest(unittest.TestCase):
    """Responses, and callers that disconnect."""

    def test_a_response_that_exceeds_the_buffers_arrives_whole(self):
        """Guards against a part that is lost or repeated where a write is continued."""
        client, connection = connect()
        client.sendall(HEAD + b"\r\n")
        connection.read()
        body = bytes(number % 251 for number in range(LARGE_BODY_BYTES))
        writer = eventlet.spawn(connection.respond, 200, [], body)
        eventlet.sleep(0)
        self.assertFalse(writer.dead)
        chunks = []
        writer.link(lambda _: connection.close())
        while data := receive(client, 1_000_000, 1.0):
            chunks.append(data)
        received = b"".join(chunks).partition(b"\r\n\r\n")[2]
        self.assertTrue(received == body)

    def test_a_caller_that_reads_nothing_counts_as_gone(self):
        client, connection = connect()
        client.sendall(HEAD + b"\r\n")
        connection.read()
        with (
            mock.patch("bergamotsaddle_serving.caller._WRITE_TIMEOUT_S", 0.05),
            self.assertRaises(CallerLeftError),
        ):
            connection.respond(200, [], bytes(LARGE_BODY_BYTES))

    def test_pipelined_requests_are_served_in_order(self):
        client, connection = connect()
        client.sendall((HEAD + b"Content-Length: 1\r\n\r\na") * 2)
        for _ in range(2):
            self.assertEqual(connection.read().body, b"a")
            connection.respond(200, [], b"x")
            self.assertTrue(connection.prepare_next())
        self.assertEqual(client.recv(1000).count(b"200"), 2)

    def test_a_request_sent_while_another_is_served_is_kept(self):
        client, connection = connect()
        client.sendall(HEAD + b"\r\n")
        connection.read()

        def work():
            client.sendall(HEAD + b"Content-Length: 1\r\n\r\nb")
            eventlet.sleep(0.02)
            connection.respond(200, [], b"x")

        connection.run_while_connected(work)
        self.assertTrue(connection.prepare_next())
        self.assertEqual(connection.read().body, b"b")

    def test_work_is_cancelled_when_the_caller_disconnects(self):
        """A caller disconnects while its request waits or runs.

        Work that continued for it would use capacity that other requests need.
        """
        client, connection = connect()
        client.sendall(HEAD + b"\r\n")
        connection.read()
        eventlet.spawn_after(0.02, client.close)
        with self.assertRaises(CallerLeftError):
            connection.run_while_connected(lambda: eventlet.sleep(5))

    def test_a_broken_stream_never_looks_complete(self):
        client, connection = connect()
        client.sendall(HEAD + b"\r\n")
        connection.read()
        connection.start(200, [])
        connection.send(b"part")
        connection.reset()
        received = b""
        with self.assertRaises(ConnectionResetError):
            while data := receive(client, 100, 1.0):
                received += data
        self.assertNotIn(b"0\r\n\r\n", received)

    def test_a_stopping_instance_announces_the_close(self):
        client, connection = connect()
        connection._is_stopping = lambda: True
        client.sendall(HEAD + b"\r\n")
        connection.read()
        connection.respond(200, [], b"x")
        self.assertIn(b"connection: close", client.recv(1000).lower())
        self.assertFalse(connection.prepare_next())
