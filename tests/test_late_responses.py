"""Targets that send a response once more when the next one is expected."""

import re
import unittest
from unittest import mock

import eventlet
import msgspec
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import UNLIMITED
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import (
    Attempt,
    NotRunError,
    OutcomeUnknownError,
)
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import CROSSED, ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.context import Progress
from bergamotsaddle_serving.decisions.stage_queue import PieceKey
from bergamotsaddle_serving.given_results import GivenResults
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import (
    Dispatch,
    Piece,
    PieceResult,
    RequestHead,
)
from bergamotsaddle_serving.stage_calls import StageCalls
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 1.0
WORK_S = 0.1
REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
REJECTED = (503, "X-Not-Executed: 1", "Retry-After: 9", "Server-Limit: 0.5")
MISDIRECTED = (421, "X-Instance-Id: i-2")
SERVED = (200, "X-Response-Seal: x")


def make_response(answer, request_id=""):
    """Return the bytes of a response without a body."""
    status, *headers = answer
    named = [f"X-Request-Id: {request_id}"] if request_id else []
    lines = [f"HTTP/1.1 {status} X", *headers, *named, "Content-Length: 0", "", ""]
    return "\r\n".join(lines).encode()


class ListeningTarget:
    """A target on a socket; ``serve`` has what it does on each connection.

    Attributes:
        address: Its address.
        connections: Number of connections that it accepted.
    """

    def __init__(self):
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.connections = 0
        eventlet.spawn_n(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            eventlet.spawn_n(self.serve, sock)


class RepeatingTarget(ListeningTarget):
    """A target that answers each request on a connection with scripted bytes.

    Args:
        responses: What it sends after each request.
    """

    def __init__(self, *responses):
        super().__init__()
        self._responses = responses

    def serve(self, sock):
        """Answer the requests on a connection."""
        for response in self._responses:
            if not sock.recv(65_536):
                return
            sock.sendall(response)


class LateResponseTest(unittest.TestCase):
    """Two requests on one connection."""

    def setUp(self):
        self.said = []
        self.health = Health(
            on_limit=lambda target, limit: self.said.append(limit),
            on_response=lambda target, status, head: self.said.append(status),
        )
        self.pool = ConnectionPool()

    def send(self, target, request_id):
        """Send a request and return the status of its response."""
        head = RequestHead(request_id, b"POST", b"/", "h", "", 9.0)
        head = head._replace(forwarded=((b"host", b"h"),))
        context = mock.Mock(head=head, body=b"", progress=Progress(), memory=UNLIMITED)
        known = Target("i-1", "s", target.address, "a", 4)
        dispatch = Dispatch(known, remaining=9.0, priority=0, team=None)
        with Attempt(
            context, self.health.of(known), self.pool, PlatformDialect()
        ) as attempt:
            response = attempt.send(dispatch, limit=LIMIT_S)
            attempt.read_body(limit=LIMIT_S, max_bytes=100)
        return response.head.status

    def send_two(self, first, *second):
        """Send a request, then another one; return the outcome of the second."""
        target = RepeatingTarget(first, b"".join(second))
        try:
            self.send(target, "r1")
        except NotRunError:
            self.said.clear()
        try:
            return self.send(target, "r2")
        except (NotRunError, OutcomeUnknownError) as error:
            return error
        finally:
            self.assertEqual(target.connections, 1)

    @parameterized.expand(
        [
            (f"{name}_{named}", answer, request_id)
            for name, answer in [
                ("rejection", REJECTED),
                ("misdirected", MISDIRECTED),
                ("success", SERVED),
            ]
            for named, request_id in [("named", "r1"), ("unnamed", "")]
        ]
    )
    def test_a_second_copy_is_not_taken_for_the_next_response(
        self, _, answer, request_id
    ):
        """Guards against bookings that run at a second target, or after a 503."""
        copy = make_response(answer, request_id)
        outcome = self.send_two(
            make_response(answer, "r1"), copy, make_response(SERVED, "r2")
        )
        self.assertIsInstance(outcome, OutcomeUnknownError)
        self.assertEqual(outcome.reason, "crossed")

    def test_what_a_second_copy_says_of_its_target_does_not_count(self):
        """Guards against limits and rests that begin anew with a late response."""
        rejection = make_response(REJECTED, "r1")
        self.send_two(rejection, rejection, make_response(SERVED, "r2"))
        self.assertEqual(self.said, [])

    @parameterized.expand(
        [("rejection", REJECTED), ("misdirected", MISDIRECTED), ("success", SERVED)]
    )
    def test_the_own_response_counts_on_a_used_connection(self, _, answer):
        """Guards against connections that carry one request only."""
        outcome = self.send_two(
            make_response(SERVED, "r1"), make_response(answer, "r2")
        )
        if answer is SERVED:
            self.assertEqual(outcome, 200)
            return
        self.assertIsInstance(outcome, NotRunError)
        self.assertEqual(outcome.status, answer[0])

    def test_a_first_response_without_an_id_counts(self):
        """Guards against rejections of targets that name no request."""
        target = RepeatingTarget(make_response(REJECTED))
        with self.assertRaises(NotRunError):
            self.send(target, "r1")


class StageTarget(ListeningTarget):
    """A stage target that sends its first response once more ahead of its second.

    Args:
        names_calls: Whether its responses name the call.
        status: Status of its first response.
        has_result: Whether that brings a result.
        work: Seconds from the second copy to the second response.
        repeats: Whether it sends a second copy. Otherwise all responses have the status
            of the first one.
    """

    def __init__(
        self, *, names_calls, status=200, has_result=True, work=0.0, repeats=True
    ):
        super().__init__()
        self._repeats = repeats
        self._names_calls = names_calls
        self._first_status = status
        self._has_result = has_result
        self._work = work
        self._calls = 0

    def serve(self, sock):
        """Answer the calls on a connection."""
        late = b""
        while request := sock.recv(65_536):
            self._calls += 1
            response = self._respond(request)
            if late and self._work:
                sock.sendall(late)
                eventlet.sleep(self._work)
                late = b""
            sock.sendall(late + response)
            late = response if self._calls == 1 and self._repeats else b""

    def _respond(self, request):
        is_first = self._calls == 1 or not self._repeats
        status = self._first_status if is_first else 200
        body = b'{"freeMb": 1}'
        if b"stage-run" in request:
            handle = f"{self.address}/{self._calls}"
            has_result = self._has_result or self._calls > 1
            item = {"handle": handle} if has_result else {"reason": "error"}
            body = msgspec.json.encode({"items": [item]})
        named = REQUEST_ID.search(request)
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if named and self._names_calls:
            lines.append(f"X-Request-Id: {named.group(1).decode()}")
        return "\r\n".join([*lines, "", ""]).encode() + body


class LateStageResponseTest(unittest.TestCase):
    """Calls to a stage target, one after the other."""

    def make_calls(self, target):
        """Return stage calls and the target that they go to."""
        view = mock.Mock(may_get_work=lambda target: True)
        notices = mock.Mock(may_send=lambda target: True)
        rates = mock.Mock(reserve=lambda *_: True)
        calls = StageCalls(
            view, ConnectionPool(), PlatformDialect(), mock.Mock(), rates,
            notices=notices,
        )  # fmt: skip
        return calls, Target("i-1", "s", target.address, "a", 1)

    def run_piece(self, calls, known, request):
        """Run a piece and return its handle, None if the target is full."""
        piece = mock.Mock(
            key=PieceKey(request, 0, 0, 0), urgency=0, input_key="k", inputs=(),
            expires_at=9.0,
        )  # fmt: skip
        results = calls.run(known, [piece], LIMIT_S)
        return results and results[0].handle

    @parameterized.expand(
        [("named", True, 200), ("unnamed", False, 200), ("rejection", True, 503)]
    )
    def test_a_second_copy_gives_no_results(self, _, names_calls, status):
        """Guards against results that were made for another request."""
        target = StageTarget(names_calls=names_calls, status=status)
        calls, known = self.make_calls(target)
        first = self.run_piece(calls, known, "r1")
        self.assertEqual(first, None if status == 503 else f"{target.address}/1")
        with self.assertRaises(ConnectionLostError) as raised:
            self.run_piece(calls, known, "r2")
        self.assertEqual(raised.exception.reason, CROSSED)
        self.assertEqual(self.run_piece(calls, known, "r3"), f"{target.address}/3")
        self.assertEqual(target.connections, 2)

    @parameterized.expand([("rejection", 503, True), ("failure", 200, False)])
    def test_a_response_behind_an_unnamed_copy_gives_no_results(
        self, _, status, has_result
    ):
        """Guards against results of a call that a second copy seemed to answer."""
        target = StageTarget(
            names_calls=False, status=status, has_result=has_result, work=WORK_S
        )
        calls, known = self.make_calls(target)
        for request in ("r1", "r2"):
            self.assertFalse(self.run_piece(calls, known, request))
        self.assertEqual(self.run_piece(calls, known, "r3"), f"{target.address}/3")

    @parameterized.expand(
        [
            ("named_rejections", True, 503, 1),
            ("named_results", True, 200, 1),
            ("unnamed_results", False, 200, 1),
            ("unnamed_rejections", False, 503, 2),
        ]
    )
    def test_connections_whose_responses_are_certain_are_kept(
        self, _, names_calls, status, connections
    ):
        """Guards against a new connection for each call."""
        target = StageTarget(names_calls=names_calls, status=status, repeats=False)
        calls, known = self.make_calls(target)
        for request in ("r1", "r2", "r3"):
            self.run_piece(calls, known, request)
        self.assertEqual(target.connections, connections)

    @parameterized.expand(
        [
            ("release", lambda calls, known: calls.release(known, ["h"])),
            ("query", lambda calls, known: calls.query_free_memory(known)),
        ]
    )
    def test_a_second_copy_answers_no_other_call(self, _, call):
        """Guards against a connection on which each response is one call late."""
        target = StageTarget(names_calls=True)
        calls, known = self.make_calls(target)
        self.run_piece(calls, known, "r1")
        with self.assertRaises(ConnectionLostError):
            call(calls, known)
        self.assertEqual(self.run_piece(calls, known, "r3"), f"{target.address}/3")

    @parameterized.expand(
        [
            ("the_same_piece", ("r1", 0, 0), True),
            ("another_piece", ("r1", 0, 1), False),
            ("another_stage", ("r1", 1, 0), False),
            ("another_request", ("r2", 0, 0), False),
        ]
    )
    def test_a_handle_that_is_given_again(self, _, piece, is_given):
        """Guards against pieces that get the result of another one."""
        given = GivenResults()
        result = [PieceResult("h:1/a")]
        first = Piece("r1", 0, 0, "k", (), 1.0)
        self.assertTrue(given.add([first], result))
        again = first._replace(request=piece[0], stage=piece[1], number=piece[2])
        self.assertEqual(given.add([again], result), is_given)

    def test_pieces_that_were_not_made_have_no_handle(self):
        """Guards against failures that are taken for a second copy."""
        given = GivenResults()
        for request in ("r1", "r2"):
            piece = Piece(request, 0, 0, "k", (), 1.0)
            self.assertTrue(given.add([piece], [PieceResult("")]))
