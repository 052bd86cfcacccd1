"""Bodies in chunks of all sizes, however their bytes arrive."""

import random
import unittest

import eventlet
from parameterized import parameterized

from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.chunked_body import ChunkDecoder, ChunkError
from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

MAX_LINE = 500
END = b"0\r\n\r\n"
HEAD = b"POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = CallerLimits().body_bytes
SEEDS = 300


def encode(body, sizes):
    """Encode a body in chunks of the given sizes, in turn."""
    chunks, at = [], 0
    while at < len(body):
        size = sizes[len(chunks) % len(sizes)]
        part = body[at : at + size]
        chunks.append(b"%x\r\n%b\r\n" % (len(part), part))
        at += size
    return b"".join(chunks) + END


def decode(data, step):
    """Decode bytes that arrive in parts; return the body and what is left over."""
    decoder = ChunkDecoder(MAX_LINE)
    received, body, at = bytearray(), bytearray(), 0
    while not decoder.is_complete:
        content = decoder.decode(received)
        body += content
        if content or decoder.is_complete:
            continue
        if at >= len(data):
            raise EOFError
        received += data[at : at + step]
        at += step
    return bytes(body), bytes(received) + data[at:], decoder


class DecoderTest(unittest.TestCase):
    """Decoding of chunks."""

    def test_random_chunks_in_random_parts(self):
        """Guards against bodies that depend on how their bytes arrive."""
        for seed in range(SEEDS):
            rng = random.Random(seed)
            body = rng.randbytes(rng.randint(0, 400))
            sizes = [rng.choice([1, 1, 2, 15, 16, 17, 200]) for _ in range(5)]
            data = encode(body, sizes) + b"next"
            found, rest, _ = decode(data, rng.choice([1, 2, 3, 7, 50, 5_000]))
            self.assertEqual((found, rest), (body, b"next"), f"seed {seed}")

    @parameterized.expand(
        [
            ("extension", b"3;a=b\r\nabc\r\n" + END, b""),
            ("spaces", b"3 \t\r\nabc\r\n" + END, b""),
            ("zeros", b"0003\r\nabc\r\n000\r\n\r\n", b""),
            ("upper_case", b"A\r\nabcabcabca\r\n" + END, b""),
            ("trailers", b"3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n", b"A: b\r\nC: d\r\n"),
        ]
    )
    def test_forms(self, _, data, trailers):
        for step in (1, 1_000):
            body, rest, decoder = decode(data, step)
            self.assertEqual(body[:3].lower(), b"abc")
            self.assertEqual((rest, decoder.trailers), (b"", trailers))

    @parameterized.expand(
        [
            ("no_size", b"\r\nabc\r\n"),
            ("signed", b"+3\r\nabc\r\n"),
            ("no_number", b"x\r\nabc\r\n"),
            ("longer_than_its_size", b"2\r\nabc\r\n"),
            ("longer_than_its_size_in_parts", b"200\r\n" + b"x" * 600),
            ("bare_line_end", b"3\nabc\r\n0\r\n\r\n"),
            ("nul", b"3;\0\r\nabc\r\n"),
            ("long_line", b"3;" + b"e" * (MAX_LINE + 1)),
            ("long_trailers", b"0\r\n" + b"a: b\r\n" * MAX_LINE),
            ("huge_size", b"1" * 17 + b"\r\n"),
            ("much_framing", (b"1;" + b"e" * 400 + b"\r\nx\r\n") * 1_000),
        ]
    )
    def test_bytes_that_are_no_chunks(self, _, data):
        """Guards against a caller whose bytes never become a body."""
        for step in (1, 100_000):
            with self.assertRaises(ChunkError):
                decode(data, step)


class WholeBodyTest(unittest.TestCase):
    """The longest body that the limits allow, alone."""

    @parameterized.expand(
        [
            ("1", [1]),
            ("2", [2]),
            ("4", [4]),
            ("1_to_3", [1, 3, 2]),
            ("16", [16]),
            ("64", [64]),
            ("one", [BODY_BYTES]),
        ]
    )
    def test_it_is_read_in_chunks_of(self, _, sizes):
        """Guards against a refusal of a body for the size of its chunks."""
        body = random.Random(1).randbytes(BODY_BYTES)
        listener = eventlet.listen(("127.0.0.1", 0))
        client = eventlet.connect(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        caller = CallerConnection(accepted, CallerLimits, lambda: False)
        sender = eventlet.spawn(client.sendall, HEAD + encode(body, sizes))
        request = caller.read()
        sender.wait()
        client.close()
        self.assertTrue(request.body == body)
