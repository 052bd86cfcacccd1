"""Token streams: whole, in order, and the caller's own."""

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
    """One event of an engine."""
    data = {"request": request, "index": index, "text": text, "done": done}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def tokens(call, count: int, start: int | None = None) -> list:
    """The events that an engine asked by a call should send, one a chunk."""
    body = msgspec.json.decode(call.body)
    first = body["start"] if start is None else start
    events = [event(call.request, i, f"t{i} ") for i in range(first, count)]
    return [*events, event(call.request, count, done=True)]


def text_of(body: bytes) -> str:
    """The tokens in a caller's answer."""
    events = [e for e in body.split(b"\n\n") if e.startswith(b"data: ")]
    return "".join(msgspec.json.decode(e[6:])["text"] for e in events)


class TokenStreamTest(unittest.TestCase):
    """Which events are taken."""

    def setUp(self):
        self.request = Request(Team("crews", 1, 5, ()), "plan", 4.0, 5)
        self.stream = TokenStream(self.request, GenerationParams("m", "p", 10))
        self.stream.tokens += ["a", "b"]

    @params((2, True), (1, False), (0, False))
    def test_only_the_next_token_is_new(self, index, is_new):
        taken = self.stream.apply_event(event(self.request.id, index, "x")[6:])
        self.assertEqual(taken, is_new)
        self.assertEqual(len(self.stream.tokens), 2 + is_new)

    @params("gap", "request", "json", "early end")
    def test_what_can_not_belong_here(self, wrong):
        payload = {
            "gap": event(self.request.id, 3, "x"),
            "request": event("other", 2, "x"),
            "json": b"data: {nothing",
            "early end": event(self.request.id, 5, done=True),
        }[wrong]
        with self.assertRaises(TargetError):
            self.stream.apply_event(payload[6:])

    def test_end_of_an_older_stream_is_not_the_end(self):
        self.stream.apply_event(event(self.request.id, 1, done=True)[6:])
        self.assertFalse(self.stream.is_done)


class RelayTest(unittest.TestCase):
    """Streams through a daemon, over engines in three zones."""

    def setUp(self):
        self.world = FakeFleet(("generate",), target_lines=LINES)
        self.addCleanup(self.world.close)
        self.world.publish(1, PIPELINE)
        self.world.start()
        self.daemon = self.world.daemons["a1"]

    def engines(self, handle):
        for target in self.world.targets.values():
            target.handle = handle

    def plan(self, stream: bool = True):
        body = {"input": "pens", "stream": stream, "max_tokens": 6}
        result = run_green(
            lambda: send_request(self.daemon, "/v1/pipelines/plan", body)
        )
        advance(5.0)
        self.assertIsNone(result.error)
        return result.value

    def test_whole(self):
        self.engines(lambda call: tokens(call, 6))
        answer = self.plan()
        self.assertEqual(text_of(answer.body), "t0 t1 t2 t3 t4 t5 ")
        self.assertIn(b'event: end\ndata: {"request":', answer.body)
        self.assertIn(b'"tokens":6}', answer.body)

    @params(1, 3, 7, 1000)
    def test_chunks_of_any_size(self, size):
        # The network splits and joins what the engine sent as it likes.
        def chop(call):
            whole = b"".join(tokens(call, 6))
            return [whole[i : i + size] for i in range(0, len(whole), size)]

        self.engines(chop)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")

    def test_comments_are_no_tokens(self):
        # Engines send comments to keep a connection open while they are busy.
        self.engines(lambda call: [b": busy\n\n", *tokens(call, 6)])
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")
        self.assertEqual(len(self.world.calls("generate")), 1)

    def test_not_streamed(self):
        self.engines(lambda call: tokens(call, 6))
        answer = self.plan(stream=False)
        self.assertEqual(answer.json["output"], "t0 t1 t2 t3 t4 t5 ")
        self.assertEqual(int(answer.headers["Content-Length"]), len(answer.body))

    @params("cut", "ended early", "crossed", "gap")
    def test_resumed_without_gap_or_repetition(self, how):
        # The engine's stream breaks after three tokens. The caller must not notice.
        broken = []

        def handle(call):
            if broken:
                return tokens(call, 6)
            broken.append(call)
            start = tokens(call, 6)[:3]
            wrong = {
                "cut": CUT,
                "ended early": b"",
                "crossed": event("somebody-elses", 3, "x"),
                "gap": event(call.request, 5, "x"),
            }[how]
            return [*start, wrong]

        self.engines(handle)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")
        second = msgspec.json.decode(self.world.calls("generate")[-1].body)
        self.assertEqual(second["start"], 3)
        self.assertEqual(second["generated"], ["t0 ", "t1 ", "t2 "])

    def test_resumed_stream_repeats_tokens(self):
        def handle(call):
            if len(self.world.calls("generate")) > 1:
                return tokens(call, 6, start=1)
            return [*tokens(call, 6)[:3], CUT]

        self.engines(handle)
        self.assertEqual(text_of(self.plan().body), "t0 t1 t2 t3 t4 t5 ")

    def test_cut_for_good_says_so(self):
        # No engine completes the stream. The caller must not take the part that it
        # has for the whole plan.
        self.engines(lambda call: [event(call.request, 0, "t0 "), CUT])
        body = self.plan().body
        self.assertIn(b"event: error", body)
        self.assertIn(b'"ran":"yes"', body)
        self.assertNotIn(b"event: end", body)

    def test_cut_where_streams_can_not_be_resumed(self):
        world = FakeFleet(("generate",), target_lines="models = m")
        self.addCleanup(world.close)
        world.publish(1, PIPELINE)
        world.start()
        self.world, self.daemon = world, world.daemons["a1"]
        self.engines(lambda call: [*tokens(call, 6)[:2], CUT])
        body = self.plan().body
        self.assertIn(b"event: error", body)
        self.assertEqual(len(world.calls("generate")), 1)

    def test_caller_that_leaves_cancels_the_engine(self):
        # A learner closes the page. The engine should stop generating for nobody.
        self.engines(lambda call: tokens(call, 6))
        callers = self.daemon.callers
        opened = []
        connections = callers._relay._connections
        open_stream = connections.open_stream
        connections.open_stream = lambda *args: (
            opened.append(open_stream(*args)) or opened[-1]
        )
        answers = []

        def leave():
            import io

            payload = b'{"input": "pens", "stream": true, "max_tokens": 6}'
            environ = {
                "REQUEST_METHOD": "POST",
                "PATH_INFO": "/v1/pipelines/plan",
                "CONTENT_LENGTH": str(len(payload)),
                "wsgi.input": io.BytesIO(payload),
                "HTTP_AUTHORIZATION": "Bearer crew key",
            }
            answer = callers(environ, lambda *args: None)
            answers.append(next(iter(answer)))
            answer.close()

        run_green(leave)
        advance(1.0)
        self.assertTrue(answers)
        self.assertTrue(opened[0].closed)
        self.assertEqual(callers.active, 0)
        self.assertEqual(
            sum(t.in_flight for t in self.daemon.targets.by_id.values()), 0
        )
