"""Random bytes of targets and of callers, cut and endless, at both HTTP edges."""

import random
import resource
import socket as native
import unittest

import eventlet
import h11

from bergamotsaddle_contracts.errors import RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import BodyMemory
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.caller import CallerConnection, CallerLeftError
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.client import ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.events import EventSplitter
from bergamotsaddle_serving.messages import HttpCall
from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

CASES = 150
AT_ONCE = 15
LIMIT_S = 1.0
# Seconds in which a reader with that limit ends on a busy machine.
MAX_S = 10.0
MAX_BYTES = 2_000_000
MAX_GROWTH = 16_000_000
ENDLESS_BYTES = 20_000_000
BLOCK = 65_536
# Kilobytes of the operating system in bytes.
KB = 1_024
REQUEST = HttpCall(b"GET", b"/", [(b"host", b"t")])
LIMITS = CallerLimits(head_seconds=LIMIT_S)
RESPONSE_PIECES = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 503 Full\r\n",
    b"HTTP/1.1 204 None\r\n",
    b"Content-Length: 12\r\n",
    b"Content-Length: 99999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"X: y\r\n",
    b"\r\n",
)
REQUEST_PIECES = (
    b"POST / HTTP/1.1\r\n",
    b"GET / HTTP/1.0\r\n",
    b"Host: h\r\n",
    b"Content-Length: 12\r\n",
    b"Content-Length: 99999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"X: y\r\n",
    b"\r\n",
)
BODY_PIECES = (
    b"5\r\nhello\r\n",
    b"1;a=b\r\nx\r\n",
    b"0\r\n",
    b"fffffff\r\n",
    b"id: 1\ndata: x\n\n",
    b"data: x\r\n",
    b"\r\n",
    b"\n",
    b"\r",
    b"\x00",
    b"hello world!",
)


class Peer:
    """Random bytes, which are cut off, go on for good or are followed by silence.

    Args:
        seed: Seed of all choices.
        heads: Pieces that heads are made of.

    Attributes:
        data: The first bytes.
        repeated: What follows again and again, nothing if the bytes end.
        is_reset: Whether the connection is reset at the end.
    """

    def __init__(self, seed, heads):
        rng = random.Random(seed)
        pieces = [rng.choice(heads) for _ in range(rng.randint(0, 4))]
        # Half of the heads are sound.
        if rng.random() < 0.5:
            pieces = [heads[0], b"Host: h\r\n", rng.choice(heads[3:-1]), b"\r\n"]
        pieces += [rng.choice(BODY_PIECES) for _ in range(rng.randint(0, 8))]
        data = bytearray(b"".join(pieces))
        if data and rng.random() < 0.3:
            data[rng.randrange(len(data))] = rng.randrange(256)
        if data and rng.random() < 0.3:
            del data[rng.randrange(len(data)) :]
        self.data = bytes(data)
        unit = rng.choice([*heads, *BODY_PIECES, rng.randbytes(50)])
        self.repeated = unit if rng.random() < 0.5 else b""
        self.is_reset = rng.random() < 0.3

    def send(self, sock):
        """Send the bytes; what is endless goes on until the reader closes."""
        try:
            sock.sendall(self.data)
            if self.repeated:
                block = self.repeated * (BLOCK // len(self.repeated) + 1)
                for _ in range(ENDLESS_BYTES // len(block)):
                    sock.sendall(block)
        except OSError:
            return
        if self.is_reset:
            sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, b"\x01" + b"\0" * 7)


def reference_body(data):
    """Return the status and body that the parser finds in all bytes at once."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "t")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    parser.receive_data(b"")
    status, body = 0, b""
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif not isinstance(event, h11.InformationalResponse):
            return None


def peak_memory():
    """Return the most memory that this process has had so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KB


class EdgeFuzzTest(unittest.TestCase):
    """Each reader ends, in time and memory, with nothing or with what was sent."""

    maxDiff = None

    def run_all(self, run):
        """Run all seeds, some at once, and return those that broke something."""
        before = peak_memory()
        faults = {}
        pool = eventlet.GreenPool(AT_ONCE)

        def check(seed):
            started_at = now()
            fault = run(seed)
            if now() - started_at > MAX_S:
                fault = "hung"
            if fault:
                faults[seed] = fault

        for seed in range(CASES):
            pool.spawn_n(check, seed)
        pool.waitall()
        self.assertEqual(faults, {})
        self.assertLess(peak_memory() - before, MAX_GROWTH)

    def test_targets(self):
        """Guards against a response that hangs, grows or is not what was sent."""
        memory = BodyMemory()
        connections = ConnectionPool(memory=memory)

        def run(seed):
            peer = Peer(seed, RESPONSE_PIECES)
            listener = eventlet.listen(("127.0.0.1", 0))

            def serve():
                sock, _ = listener.accept()
                sock.recv(BLOCK)
                peer.send(sock)
                sock.close()

            thread = eventlet.spawn(serve)
            connection = connections.acquire(Address(*listener.getsockname()))
            try:
                head, body = connection.exchange(
                    REQUEST, limit=LIMIT_S, max_bytes=MAX_BYTES
                )
            except ConnectionLostError:
                return ""
            finally:
                connection.close()
                thread.kill()
                listener.close()
            sent = peer.data + peer.repeated * (BLOCK // max(1, len(peer.repeated)))
            # The parser reads no further than the end of a response.
            expected = reference_body(sent)
            return "" if (head.status, body) == expected else f"got {body[:50]!r}"

        self.run_all(run)
        self.assertEqual(memory.used, 0)

    def test_callers(self):
        """Guards against a request that hangs, grows or is not what was sent."""

        def run(seed):
            peer = Peer(seed, REQUEST_PIECES)
            listener = eventlet.listen(("127.0.0.1", 0))
            client = eventlet.connect(listener.getsockname())
            accepted, _ = listener.accept()
            listener.close()
            caller = CallerConnection(accepted, lambda: LIMITS, lambda: False)

            def send():
                peer.send(client)
                client.close()

            thread = eventlet.spawn(send)
            try:
                request = caller.read()
            except (RequestError, CallerLeftError):
                return ""
            finally:
                caller.reset()
                thread.kill()
                client.close()
            if request is None:
                return ""
            sent = peer.data + peer.repeated * (BLOCK // max(1, len(peer.repeated)))
            is_sent = request.method in sent and len(request.body) <= LIMITS.body_bytes
            return "" if is_sent else f"got {request!r:.80}"

        self.run_all(run)

    def test_events(self):
        """Guards against events that depend on how their bytes arrive."""
        for seed in range(CASES):
            rng = random.Random(seed)
            data = b"".join(rng.choice(BODY_PIECES) for _ in range(60))
            whole = EventSplitter()
            expected = whole.feed(data)
            split = EventSplitter()
            found = []
            start = 0
            while start < len(data):
                # A line end is two bytes or one, depending on what has arrived.
                end = start + rng.randint(1, 9)
                while data[end - 1 : end] == b"\r" and end < len(data):
                    end += 1
                found += split.feed(data[start:end])
                start = end
            self.assertEqual((found, split.remainder), (expected, whole.remainder))

    def test_others_run_beside_a_fast_peer(self):
        """Guards against a reader that keeps the hub from other work."""
        listener = eventlet.listen(("127.0.0.1", 0))

        def serve():
            sock, _ = listener.accept()
            sock.recv(BLOCK)
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                sock.sendall(b"x" * BLOCK)

        thread = eventlet.spawn(serve)
        connection = ConnectionPool().acquire(Address(*listener.getsockname()))
        connection.send(REQUEST, limit=LIMIT_S)
        connection.read_head(limit=LIMIT_S)
        ticks = []

        def tick():
            while True:
                ticks.append(now())
                eventlet.sleep(0)

        ticking = eventlet.spawn(tick)
        parts = 0
        for _ in range(200):
            self.assertTrue(connection.read_some(limit=LIMIT_S))
            parts += 1
        ticking.kill()
        thread.kill()
        connection.close()
        self.assertGreaterEqual(len(ticks), parts / 2)
