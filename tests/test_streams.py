"""Tests for token streams: complete, in order and of the right request."""

import unittest

import msgspec
from nose2.tools import params

from bergamotsaddle_contracts.declaration import Team
from bergamotsaddle_contracts.errors import TargetError
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.streams import GenerationParams, TokenStream
from tests._fakes import FakeFleet, run_green
from tests._http import send_request
from tests._paused import advance

PIPELINE = "[pipeline plan]\nstages = generate\nmodel = m\ndeadline = 4s\n"
LINES = "models = m\nresumes = yes"
CUT = TargetError("stream: reset", sent=True)


def event(request: str, index: int, text: str = "", done: bool = False) -> bytes:
    """Return one event of an engine."""
    data = {"request": request, "index": index, "text": text, "done": done}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def tokens(call, count: int, start: int | None = None) -> list:
    """Return the events that an engine should send for a call, one per chunk."""
    body = msgspec.json.decode(call.body)
    first = body["start"] if start is None else start
    events = [event(call.request, i, f"t{i} ") for i in range(first, count)]
    return [*events, event(call.request, count, done=True)]


def text_of(body: bytes) -> str:
    """Return the tokens in the body of a caller's response."""
    events = [e for e in body.split(b"\n\n") if e.startswith(b"data: ")]
    return "".join(msgspec.json.decode(e[6:])["text"] for e in events)


class TokenStreamTest(unittest.TestCase):
    """Events that a token stream accepts or rejects."""

    def setUp(self):
        self.request = Request(Team("crews", 1, 5, ()), "plan", 4.0, 5)
        self.stream = TokenStream(self.request, GenerationParams("m", "p", 10))
        self.stream.tokens += ["a", "b"]

    @params((2, True), (1, False), (0, False))
    def test_only_the_next_token_is_new(self, index, is_new):
        is_applied = self.stream.apply_event(event(self.request.id, index, "x")[6:])
        self.assertEqual(is_applied, is_new)
        self.assertEqual(len(self.stream.tokens), 2 + is_new)

    @params("gap", "request", "json", "early end")
    def test_foreign_events_are_rejected(self, fault):
        payload = {
            "gap": event(self.request.id, 3, "x"),
            "request": event("other", 2, "x"),
            "json": b"data: {nothing",
            "early end": event(self.request.id, 5, done=True),
        }[fault]
        with self.assertRaises(TargetError):
            self.stream.apply_event(payload[6:])

    def test_an_end_before_the_next_token_is_ignored(self):
        self.stream.apply_event(event(self.request.id, 1, done=True)[6:])
        self.assertFalse(self.stream.is_done)


class RelayTest(unittest.TestCase):
    """Streams that a daemon relays from engines in three zones."""

    def setUp(self):
        self.fleet = FakeFleet(("generate",), target_lines=LINES)
        self.addCleanup(self.fleet.close)
        self.fleet.publish(1, PIPELINE)
        self.fleet.start()
        self.daemon = self.fleet.daemons["a1"]

    def set_engine_handler(self, handle):
        for target in self.fleet.targets.values():
            target.handle = handle

    def plan(self, stream: bool = True):
        body = {"input": "pens", "stream": stream, "max_tokens": 6}
        result = run_green(
            lambda: send_request(self.daemon, "/v1/pipelines/plan", body)
        )
        advance(5.0)
        self.assertIsNone(result.error)
        return result.value

    def test_complete_stream(self):
        self.set_engine_handler(lambda call: tokens(call, 6))
        response = self.plan()
        self.assertEqual(text_of(response.body), "t0 t1 t2 t3 t4 t5 ")
        self.assertIn(b'event: end\ndata: {"request":', response.body)
        self.assertIn(b'"tokens":6}', response.body)

    @params(1, 3, 7, 1000)
    def test_chunks_of_any_size(self, size):
        # The network may split and join the chunks of the engine anywhere.
        def split_chunks(call):
            data = b"".join(tokens(call, 6))
            return [data[i : i + size] for i in range(0, len(data), size)]

        self.set_engine_handler(split_chunks)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")

    def test_comments_are_ignored(self):
        # Engines send comments to keep a connection open while they are busy.
        self.set_engine_handler(lambda call: [b": busy\n\n", *tokens(call, 6)])
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")
        self.assertEqual(len(self.fleet.calls("generate")), 1)

    def test_not_streamed(self):
        self.set_engine_handler(lambda call: tokens(call, 6))
        response = self.plan(stream=False)
        self.assertEqual(response.json["output"], "t0 t1 t2 t3 t4 t5 ")
        self.assertEqual(int(response.headers["Content-Length"]), len(response.body))

    @params("cut", "ended early", "crossed", "gap")
    def test_resumed_without_gap_or_repetition(self, fault):
        # The engine's stream breaks after three tokens. The caller must not notice it.
        broken = []

        def handle(call):
            if broken:
                return tokens(call, 6)
            broken.append(call)
            start = tokens(call, 6)[:3]
            last_chunk = {
                "cut": CUT,
                "ended early": b"",
                "crossed": event("somebody-elses", 3, "x"),
                "gap": event(call.request, 5, "x"),
            }[fault]
            return [*start, last_chunk]

        self.set_engine_handler(handle)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")
        second = msgspec.json.decode(self.fleet.calls("generate")[-1].body)
        self.assertEqual(second["start"], 3)
        self.assertEqual(second["generated"], ["t0 ", "t1 ", "t2 "])

    def test_tokens_that_a_resumed_stream_repeats_are_dropped(self):
        def handle(call):
            if len(self.fleet.calls("generate")) > 1:
                return tokens(call, 6, start=1)
            return [*tokens(call, 6)[:3], CUT]

        self.set_engine_handler(handle)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")

    def test_a_stream_that_cannot_be_completed_ends_in_an_error(self):
        # No engine completes the stream. The caller must not mistake the tokens that
        # it has received for the complete plan.
        self.set_engine_handler(lambda call: [event(call.request, 0, "t0 "), CUT])
        body = self.plan().body
        self.assertIn(b"event: error", body)
        self.assertIn(b'"ran":"yes"', body)
        self.assertNotIn(b"event: end", body)

    def test_a_broken_stream_that_cannot_be_resumed(self):
        fleet = FakeFleet(("generate",), target_lines="models = m")
        self.addCleanup(fleet.close)
        fleet.publish(1, PIPELINE)
        fleet.start()
        self.fleet, self.daemon = fleet, fleet.daemons["a1"]
        self.set_engine_handler(lambda call: [*tokens(call, 6)[:2], CUT])
        body = self.plan().body
        self.assertIn(b"event: error", body)
        self.assertEqual(len(fleet.calls("generate")), 1)

    def test_a_caller_that_disconnects_cancels_the_engine(self):
        # A learner closes the page. The engine should stop generating tokens.
        self.set_engine_handler(lambda call: tokens(call, 6))
        callers = self.daemon.callers
        opened = []
        connections = callers._relay._connections
        open_stream = connections.open_stream
        connections.open_stream = lambda *args: (
            opened.append(open_stream(*args)) or opened[-1]
        )
        first_chunks = []

        def disconnect():
            import io

            payload = b'{"input": "pens", "stream": true, "max_tokens": 6}'
            environ = {
                "REQUEST_METHOD": "POST",
                "PATH_INFO": "/v1/pipelines/plan",
                "CONTENT_LENGTH": str(len(payload)),
                "wsgi.input": io.BytesIO(payload),
                "HTTP_AUTHORIZATION": "Bearer crew key",
            }
            response = callers(environ, lambda *args: None)
            first_chunks.append(next(iter(response)))
            response.close()

        run_green(disconnect)
        advance(1.0)
        self.assertTrue(first_chunks)
        self.assertTrue(opened[0].closed)
        self.assertEqual(callers.active, 0)
        self.assertEqual(
            sum(t.in_flight for t in self.daemon.targets.by_id.values()), 0
        )
