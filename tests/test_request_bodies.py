"""Bodies of requests that one instance holds at the same time."""

import contextlib
import re
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import BodyMemory
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.messages import HttpCall
from bergamotsaddle_serving.settings import CapacitySettings
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

MEMORY_BYTES = 4_000_000
LONG = 400_000
SHORT = 20_000
HELD_S = 1.0
# What each line of a head takes beside its bytes.
HEADER_BYTES = 256
HEAD = b"POST /p/ HTTP/1.1\r\nHost: h\r\n"
CHUNK = 50_000
# A response with a body of some bytes.
WHOLE = re.compile(rb"HTTP/1.1 .*\r\n\r\n.+", re.DOTALL)


class RequestBodiesTest(unittest.TestCase):
    """An instance that holds each request for a second."""

    def setUp(self):
        self.memory = BodyMemory(MEMORY_BYTES)
        self.most = 0
        self.handler = Handler(
            *(mock.MagicMock() for _ in range(7)), suspects=mock.MagicMock()
        )
        self.handler._serve = self.serve
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def serve(self, caller, raw):
        """Respond to a request after a second."""
        self.most = max(self.most, self.memory.used)
        eventlet.sleep(HELD_S)
        caller.respond(200, [], b"%d" % len(raw.body))

    def connect(self):
        """Return the socket of a new caller."""
        client = eventlet.connect(self.listener.getsockname())
        accepted, _ = self.listener.accept()
        caller = CallerConnection(
            accepted, CallerLimits, lambda: False, memory=self.memory
        )
        eventlet.spawn_n(self.handler.run, caller)
        return client

    @staticmethod
    def receive(client):
        """Read a response and return its status and its bytes."""
        response = b""
        while not WHOLE.fullmatch(response):
            data = client.recv(65_536)
            if not data:
                raise OSError("the response is incomplete")
            response += data
        return int(response.split(b" ")[1]), response.lower()

    def ask(self, data):
        """Send a request and return the status and the bytes of its response."""
        client = self.connect()
        try:
            # A caller reads its response only after it has sent its request.
            client.sendall(data)
            return self.receive(client)
        except OSError:
            return 0, b""
        finally:
            client.close()

    def ask_all(self, *requests):
        """Send requests at the same time and return the outcomes."""
        threads = [eventlet.spawn(self.ask, request) for request in requests]
        outcomes = [thread.wait() for thread in threads]
        eventlet.sleep(3.0)
        self.assertEqual(self.memory.used, 0)
        return outcomes

    @staticmethod
    def request(size, *, is_chunked=False):
        """Return a request with a body."""
        if not is_chunked:
            return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
        chunk = b"%x\r\n%b\r\n" % (CHUNK, b"x" * CHUNK)
        body = chunk * (size // CHUNK) + b"0\r\n\r\n"
        return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body

    @parameterized.expand([("stated", False), ("chunked", True)])
    def test_a_burst_of_long_bodies(self, _, is_chunked):
        """Guards against a process that is killed for its memory."""
        requests = [self.request(LONG, is_chunked=is_chunked)] * 30
        outcomes = self.ask_all(*requests)
        statuses = [status for status, _ in outcomes]
        self.assertLessEqual(self.most, MEMORY_BYTES)
        self.assertEqual(set(statuses), {200, 429})
        self.assertGreaterEqual(statuses.count(200), 5)
        for status, response in outcomes:
            if status == 429:
                self.assertIn(b"retry-after: 1", response)
                self.assertIn(b"connection: close", response)
                self.assertIn(b'"ran":"no"', response)

    def test_short_bodies_beside_long_ones(self):
        """Guards against short requests that are refused for uploads."""
        outcomes = self.ask_all(*[self.request(LONG)] * 30, *[self.request(SHORT)] * 30)
        self.assertEqual([status for status, _ in outcomes[30:]], [200] * 30)

    def test_a_slow_upload_that_is_refused(self):
        """Guards against callers that lose a refusal while they still send."""
        uploads = [eventlet.spawn(self.ask, self.request(LONG)) for _ in range(30)]
        eventlet.sleep(0.1)
        client = self.connect()
        request = self.request(LONG)
        for start in range(0, len(request), CHUNK):
            client.sendall(request[start : start + CHUNK])
            eventlet.sleep(0.5)
        self.assertEqual(self.receive(client)[0], 429)
        self.assertFalse(self.handler.is_reading(), "it keeps no stop waiting")
        client.close()
        for upload in uploads:
            upload.wait()

    def test_what_callers_send_ahead(self):
        """Guards against requests that wait behind others and take all memory."""
        self.memory.open().keep(MEMORY_BYTES)
        clients = [self.connect() for _ in range(20)]
        for client in clients:
            client.settimeout(0.1)
            client.sendall(self.request(SHORT))
            eventlet.sleep(0.01)
            with contextlib.suppress(OSError):
                client.sendall(self.request(LONG))
        eventlet.sleep(0.5)
        held = self.memory.used - MEMORY_BYTES
        self.assertLess(held, 20 * (SHORT + 2 * 65_536))
        for client in clients:
            client.close()
        eventlet.sleep(HELD_S)
        self.assertEqual(self.memory.used, MEMORY_BYTES)

    def test_callers_that_leave(self):
        """Guards against memory that is lost with the callers of long bodies."""
        client = self.connect()
        request = self.request(LONG)
        client.sendall(request[: LONG // 2])
        eventlet.sleep(0.1)
        head = request[:-LONG]
        head_memory = 2 * len(head) + HEADER_BYTES * head.count(b"\n")
        self.assertEqual(self.memory.used, LONG + head_memory)
        client.close()
        eventlet.sleep(0.1)
        self.assertEqual(self.memory.used, 0)

    def test_the_next_request_of_a_connection(self):
        """Guards against memory that is held until a connection closes."""
        client = self.connect()
        for _ in range(20):
            client.sendall(self.request(LONG))
            self.assertEqual(self.receive(client)[0], 200)
        client.close()

    def test_a_fraction_of_the_memory_is_for_them(self):
        """Guards against bodies that leave no room for the rest of the process."""
        self.assertEqual(CapacitySettings(memory_mb=300.0).request_bytes, 90e6)


class SendTest(unittest.TestCase):
    """A long body on its way to a target."""

    def test_it_is_not_copied(self):
        """Guards against bodies that take their memory once more as they are sent."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        connection = ConnectionPool().acquire(listener.getsockname())
        body = b"x" * LONG
        headers = [(b"host", b"t"), (b"content-length", b"%d" % LONG)]
        sent = []
        with mock.patch.object(
            connection, "_send_in_background", side_effect=sent.extend
        ):
            size = connection.send(HttpCall(b"POST", b"/", headers, body), limit=1.0)
            eventlet.sleep(0.1)
        self.assertTrue(any(part is body for part in sent))
        self.assertEqual(size, sum(map(len, sent)))
