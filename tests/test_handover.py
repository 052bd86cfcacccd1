"""Tests for requests that are handed over while targets are out of reach."""

import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.attempt import NOT_RUN_STATUSES
from bergamotsaddle_serving.caller import CallerConnection, RawRequest
from bergamotsaddle_serving.catalog import CallerLimits, Kind, Route, Service, Share
from bergamotsaddle_serving.client import end_to_end_headers
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.handover import Handover
from bergamotsaddle_serving.helper_choice import Helper, choose_helper, may_relay
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.relay_headers import (
    RelayedRequest,
    decode_error,
    decode_request,
    encode_error,
    encode_request,
)
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

HOST = "127.0.0.1"
OTHER_HOST = "127.0.0.2"
BODY = b"HTTP/1.1 200 OK\r\nSeal: x\r\nContent-Length: 4\r\n\r\nbody"
EVENT = b"id: 1\n\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM = CHUNKED + b"7\r\n" + EVENT + b"\r\n0\r\n\r\n"
OPEN_BODY = b"HTTP/1.1 200 OK\r\nSeal: x\r\n\r\nbody"
OPEN_STREAM = b"HTTP/1.1 200 OK\r\nSeal: x\r\n\r\n" + EVENT
NEWER = (
    b"POST / HTTP/1.1\r\nHost: h\r\nBergamotsaddle-Sender: i\r\n"
    b"Bergamotsaddle-Elapsed-Ms: 1\r\nBergamotsaddle-Version: 7\r\n\r\n"
)
FORGED = encode_error(RequestError(ErrorKind.NO_TARGET, "x"))
REGION_BY_ZONE = {"a": "north", "b": "north", "c": "south"}


def refusal(kind, ran=Ran.NO, status=503):
    """Return a helper's own error as it is sent to the instance that handed over."""
    headers = encode_error(RequestError(kind, "x", ran=ran))
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    head = b"HTTP/1.1 %d X\r\nRetry-After: 0.25\r\n" % status
    return head + lines + b"Content-Length: 0\r\n\r\n"


def make_context(kind=Kind.ONCE, *, sender=""):
    """Return the context of a request with a second left."""
    route = Route("r", "h", "/", kind, 9.0, 1.0, 1, 0, (Share("s", 1.0),))
    head = RequestHead("r1", b"POST", b"/x", "h", "", 9.0)
    service = Service("s", 10)
    headers = [(b"host", b"h"), (b"deadline", b"1000")]
    return Context(
        head,
        b"input",
        route,
        service,
        None,
        now(),
        now() + 1.0,
        7,
        0,
        Progress(),
        headers=headers,
        sender=sender,
    )


def read_relayed(request):
    """Return what a handed-over request says besides the caller's own."""
    lines = request.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = [line.partition(b": ") for line in lines]
    return decode_request([(name.lower(), value) for name, _, value in pairs])


class ScriptedHelper:
    """A helper that answers each request with the same bytes, then closes.

    Args:
        response: The bytes.
        delay: Seconds until it sends them.
        address: Where it listens.
        is_killed: Whether its process is killed behind the first response.
        dies_for: Seconds for which its kernel still accepts connections then.

    Attributes:
        requests: What it received.
        port: Its port.
    """

    def __init__(
        self, response, *, delay=0.0, address=(HOST, 0), is_killed=False, dies_for=0.0
    ):
        listener = eventlet.listen(address)
        self.port = listener.getsockname()[1]
        self.requests = []
        self.has_left = False
        self._response = response
        self._delay = delay
        self._is_killed = is_killed
        self._dies_for = dies_for
        eventlet.spawn_n(self._run, listener)

    def _run(self, listener):
        while True:
            sock, _ = listener.accept()
            self.requests.append(sock.recv(65_536))
            eventlet.sleep(self._delay)
            sock.sendall(self._response)
            if self._is_killed:
                if not self._dies_for:
                    listener.close()
                sock.close()
                eventlet.sleep(self._dies_for)
                listener.close()
                return
            self.has_left = not sock.recv(1) if self._delay else False
            sock.close()


class HandoverTest(unittest.TestCase):
    """One helper in the own zone, and an instance that reaches nothing."""

    def hand_over(self, response, *, kind=Kind.ONCE, attempts=1, delay=0.0, helpers=1):
        """Hand one request over and return its context and the caller."""
        self.helper = ScriptedHelper(response, delay=delay)
        contacts = [Contact(f"h{n}", "a", HOST) for n in range(helpers)]
        peers = mock.Mock(own=Contact("me", "a", HOST), region=lambda zone: zone)
        peers.reaching.return_value = [
            SimpleNamespace(contact=contact, cores=1.0) for contact in contacts
        ]
        peers.incarnation_of.side_effect = lambda peer_id: "1"
        reach = mock.Mock(is_lost=lambda service: True)
        reach.seconds_to_probe.return_value = 0.5
        self.peers = peers
        self.handover = Handover(
            reach, peers, self.helper.port, mock.Mock(), budget=mock.Mock()
        )
        context = make_context(kind)
        route = context.route._replace(attempts=attempts)
        self.context = context._replace(route=route)
        self.caller = mock.Mock()
        self.handover.serve(self.context, self.caller, serve_here=mock.Mock())

    def test_a_whole_response_is_forwarded(self):
        self.hand_over(BODY)
        self.caller.respond.assert_called_once_with(
            200, [(b"seal", b"x")], b"body", size=4
        )
        request = self.helper.requests[0]
        self.assertTrue(request.startswith(b"POST /x HTTP/1.1\r\n"))
        self.assertTrue(request.endswith(b"\r\n\r\ninput"))

    @parameterized.expand([(Kind.ONCE, 1), (Kind.IDEMPOTENT, 3)])
    def test_the_helper_is_told_how_often_it_may_run(self, kind, expected):
        """Guards against repeats that only the helper's configuration allows."""
        self.hand_over(BODY, kind=kind, attempts=3)
        self.assertEqual(read_relayed(self.helper.requests[0]).max_runs, expected)

    def test_a_stream_is_forwarded_to_its_proper_end(self):
        self.hand_over(STREAM, kind=Kind.STREAM)
        self.caller.send.assert_called_once_with(EVENT)
        self.caller.finish.assert_called_once_with()

    def test_the_failure_of_a_streaming_request_is_forwarded(self):
        response = BODY.replace(b"200 OK", b"500 X")
        self.hand_over(response, kind=Kind.STREAM)
        self.caller.respond.assert_called_once_with(
            500, [(b"seal", b"x")], b"body", size=4
        )

    @parameterized.expand(
        [("body", OPEN_BODY, Kind.ONCE), ("stream", OPEN_STREAM, Kind.STREAM)]
    )
    def test_a_helper_that_states_no_end_has_broken_off(self, _, response, kind):
        """Guards against a helper that ended with its connection and looks complete."""
        for size in range(len(response) + 1):
            with self.assertRaises(RequestError) as caught:
                self.hand_over(response[:size], kind=kind)
            self.assertEqual(caught.exception.ran, Ran.UNKNOWN, size)
            self.caller.finish.assert_not_called()
            self.caller.respond.assert_not_called()

    def test_a_stream_that_ends_inside_an_event_has_broken_off(self):
        """Guards against a helper's broken stream that looks complete."""
        events = EVENT + EVENT
        for size in range(len(events)):
            if size == len(EVENT):
                continue
            chunk = b"%x\r\n%s\r\n" % (size, events[:size]) if size else b""
            with self.assertRaises(RequestError, msg=size) as caught:
                self.hand_over(CHUNKED + chunk + b"0\r\n\r\n", kind=Kind.STREAM)
            self.assertEqual(caught.exception.ran, Ran.UNKNOWN)
            self.caller.finish.assert_not_called()

    @parameterized.expand([("body", BODY, Kind.ONCE), ("stream", STREAM, Kind.STREAM)])
    def test_a_response_cut_at_any_byte_promises_nothing(self, _, response, kind):
        """Guards against "not run" for a request that a helper may have run."""
        for size in range(len(response)):
            with self.assertRaises(RequestError) as caught:
                self.hand_over(response[:size], kind=kind)
            self.assertEqual(caught.exception.ran, Ran.UNKNOWN, size)
            self.assertTrue(self.context.progress.is_sent)
            self.assertEqual(len(self.helper.requests), 1, "handed over once")
            self.caller.finish.assert_not_called()
            self.caller.respond.assert_not_called()

    @parameterized.expand(
        [
            ("overloaded", ErrorKind.OVERLOADED, 3),
            ("behind", ErrorKind.NOT_READY, 3),
            ("cut_off_too", ErrorKind.NO_TARGET, 3),
            ("late", ErrorKind.DEADLINE_INFEASIBLE, 1),
        ]
    )
    def test_a_refused_request_has_not_run(self, _, kind, tries):
        """A few other helpers are asked if the refusal is due to the helper."""
        with self.assertRaises(RequestError) as caught:
            self.hand_over(refusal(kind), helpers=9)
        self.assertEqual(caught.exception.ran, Ran.NO)
        self.assertIsNotNone(caught.exception.retry_after)
        self.assertFalse(self.context.progress.is_sent)
        self.assertEqual(len(self.helper.requests), tries)

    @parameterized.expand(
        [(s, k) for s in (408, 421, 429, 503) for k in (Kind.ONCE, Kind.STREAM)]
    )
    def test_a_promise_that_no_instance_has_made_is_not_passed_on(self, status, kind):
        """Guards against "not run" by what listens at the address of a helper."""
        response = b"HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\nbody" % status
        with self.assertRaises(RequestError) as caught:
            self.hand_over(response, kind=kind)
        found = (caught.exception.status, caught.exception.ran)
        self.assertEqual(found, (502, Ran.UNKNOWN))
        self.caller.respond.assert_not_called()

    @parameterized.expand([("failed", 500), ("served", 200)])
    def test_a_target_does_not_speak_for_a_helper(self, _, status):
        """Guards against "not run" for what a target has run that names a kind."""
        headers = [*FORGED, (b"seal", b"x")]
        kept = list(end_to_end_headers(headers))
        lines = b"".join(b"%s: %s\r\n" % header for header in kept)
        head = b"HTTP/1.1 %d X\r\n%s" % (status, lines)
        self.hand_over(head + b"Content-Length: 4\r\n\r\nbody")
        self.caller.respond.assert_called_once_with(
            status, [(b"seal", b"x")], b"body", size=4
        )

    def test_the_unknown_outcome_of_a_helper_is_passed_on(self):
        with self.assertRaises(RequestError) as caught:
            self.hand_over(refusal(ErrorKind.TARGET_FAILED, Ran.UNKNOWN, 502))
        self.assertEqual(caught.exception.ran, Ran.UNKNOWN)
        self.assertEqual(len(self.helper.requests), 1)

    def test_without_a_helper_it_is_rejected_at_once(self):
        """Guards against callers kept waiting for what can't be served."""
        started_at = now()
        with self.assertRaises(RequestError) as caught:
            self.hand_over(BODY, helpers=0)
        self.assertEqual(caught.exception.kind, ErrorKind.NO_TARGET)
        self.assertGreaterEqual(caught.exception.retry_after, 0.5)
        self.assertLess(now() - started_at, 0.1)

    def test_a_dead_helper_is_noticed_before_the_deadline(self):
        def kill():
            self.peers.incarnation_of.side_effect = lambda peer_id: None

        eventlet.spawn_after(0.1, kill)
        started_at = now()
        with self.assertRaises(RequestError) as caught:
            self.hand_over(BODY, delay=5.0)
        self.assertEqual(caught.exception.ran, Ran.UNKNOWN)
        self.assertLess(now() - started_at, 0.6)

    def test_a_caller_that_leaves_is_passed_on(self):
        """Guards against helpers that go on with requests nobody waits for."""
        thread = eventlet.spawn(self.hand_over, BODY, delay=0.2)
        eventlet.sleep(0.1)
        thread.kill()
        eventlet.sleep(0.3)
        self.assertTrue(self.helper.has_left)
        self.assertEqual(sum(self.handover._in_flight_by_id.values()), 0)

    @parameterized.expand([("caller", "", True), ("peer", "other", False)])
    def test_a_request_takes_one_hop(self, _, sender, expected):
        """Guards against requests that instances pass around."""
        reach = mock.Mock(is_lost=lambda service: True)
        handover = Handover(reach, mock.Mock(), 1, mock.Mock(), budget=mock.Mock())
        self.assertEqual(handover.is_needed(make_context(sender=sender)), expected)


class KilledHelperTest(unittest.TestCase):
    """A helper in the own zone that is killed, and another one elsewhere."""

    def hand_over(
        self,
        first,
        second,
        *,
        kind=Kind.STREAM,
        is_resumable=True,
        attempts=2,
        is_killed=True,
        dies_for=0.0,
        delay=0.0,
        second_after=0.0,
        regained_after=9.0,
        repeat_after=0.0,
        here=None,
    ):
        """Hand one request over.

        Args:
            first: What the first helper sends before it breaks off.
            second: Response of the second helper.
            kind: Kind of the route.
            is_resumable: Whether its streams may be resumed.
            attempts: Runs that it allows.
            is_killed: Whether the first helper is killed.
            dies_for: Seconds for which its kernel still accepts connections then.
            delay: Seconds for which it is paused first, and not heard by its peers.
            second_after: Seconds after which the second helper reaches the service.
            regained_after: Seconds after which this instance does.
            repeat_after: Seconds after which a repeat is available here.
            here: What serving it here raises, time after time.
        """
        self.first = ScriptedHelper(
            first, delay=delay, is_killed=is_killed, dies_for=dies_for
        )
        port = self.first.port
        self.second = ScriptedHelper(second, address=(OTHER_HOST, port))
        contacts = [Contact("h0", "a", HOST), Contact("h1", "b", OTHER_HOST)]
        peers = mock.Mock(own=Contact("me", "a", HOST), region=lambda zone: zone)
        all_reaching = [
            SimpleNamespace(contact=contact, cores=1.0) for contact in contacts
        ]
        started_at = now()
        peers.reaching.side_effect = lambda service: (
            all_reaching if now() - started_at >= second_after else all_reaching[:1]
        )
        peers.incarnation_of.side_effect = lambda peer_id: (
            None if 0.1 <= now() - started_at < delay else "1"
        )
        reach = mock.Mock(is_lost=lambda service: now() - started_at < regained_after)
        reach.seconds_to_probe.return_value = 0.5
        context = make_context(kind)
        route = context.route._replace(is_resumable=is_resumable, attempts=attempts)
        self.context = context._replace(route=route)
        self.caller = mock.Mock()
        budget = mock.Mock()
        budget.reserve.side_effect = lambda service: (
            mock.Mock() if now() - started_at >= repeat_after else None
        )
        handover = Handover(reach, peers, port, mock.Mock(), budget=budget)
        self.serve_here = mock.Mock(side_effect=here)
        handover.serve(self.context, self.caller, serve_here=self.serve_here)

    def sent_events(self):
        """Return the events that the caller got."""
        return [call.args[0] for call in self.caller.send.call_args_list]

    @parameterized.expand(
        [
            ("nothing", b""),
            ("a_part_of_the_head", CHUNKED[:20]),
            ("the_head", CHUNKED),
            ("a_part_of_an_event", CHUNKED + b"7\r\n" + EVENT[:4]),
        ]
    )
    def test_another_helper_begins_a_stream_of_which_it_sent(self, _, first):
        """Guards against a 502 for a stream of which the caller has nothing yet."""
        self.hand_over(first, STREAM)
        self.assertEqual(self.sent_events(), [EVENT])
        self.caller.finish.assert_called_once_with()
        relayed = read_relayed(self.second.requests[0])
        self.assertEqual((relayed.runs, relayed.last_event), (1, None))

    def test_a_helper_that_is_just_dying_is_known_to_be(self):
        """Guards against a 502 as its kernel has not closed its listener yet."""
        self.hand_over(b"", STREAM, dies_for=0.05)
        self.assertEqual(self.sent_events(), [EVENT])

    @parameterized.expand([("no_other", 9.0, 0), ("another", 0.0, 1)])
    def test_a_paused_helper_is_left_only_for(self, _, second_after, handed_over):
        """Guards against a 502 for what a paused helper would have served."""
        self.hand_over(
            STREAM, STREAM, is_killed=False, delay=0.6, second_after=second_after
        )
        self.assertEqual(self.sent_events(), [EVENT])
        self.assertEqual(len(self.second.requests), handed_over)

    def test_a_stream_waits_for_another_helper(self):
        """Guards against a 502 as nobody reaches the service at that very moment."""
        self.hand_over(b"", STREAM, second_after=0.3)
        self.assertEqual(self.sent_events(), [EVENT])

    @parameterized.expand([("the_service", 0.3, 0.0), ("a_repeat", 0.0, 0.3)])
    def test_a_stream_waits_for(self, _, regained_after, repeat_after):
        self.hand_over(
            b"",
            STREAM,
            second_after=9.0,
            regained_after=regained_after,
            repeat_after=repeat_after,
        )
        self.assertEqual(self.second.requests, [])
        (context,) = self.serve_here.call_args.args
        self.assertEqual(context.earlier_runs, 1)
        self.assertEqual(context.route.attempts, 1)

    def test_a_stream_that_is_refused_here_waits_on(self):
        """Guards against a 502 as engines come back just after the service."""
        refusal_here = RequestError(ErrorKind.VERSION_GONE, "x", ran=Ran.NO)
        self.hand_over(
            b"",
            STREAM,
            second_after=9.0,
            regained_after=0.0,
            here=[refusal_here, refusal_here, None],
        )
        self.assertEqual(self.serve_here.call_count, 3)

    @parameterized.expand([(Ran.NO,), (Ran.UNKNOWN,)])
    def test_a_failure_here_does_not_say_that_it_has_not_run(self, ran):
        error = RequestError(ErrorKind.HELD_BACK, "x", ran=ran)
        with self.assertRaises(RequestError) as caught:
            self.hand_over(
                b"", STREAM, second_after=9.0, regained_after=0.0, here=[error]
            )
        self.assertEqual(caught.exception.ran, Ran.UNKNOWN)

    def test_another_helper_goes_on_behind_its_last_event(self):
        """Guards against a stream that ends though the rest may follow."""
        self.hand_over(STREAM[:-5], STREAM.replace(b"id: 1", b"id: 2"))
        self.assertEqual(self.sent_events(), [EVENT, EVENT.replace(b"1", b"2")])
        self.caller.start.assert_called_once()
        self.caller.finish.assert_called_once_with()
        relayed = read_relayed(self.second.requests[0])
        self.assertEqual((relayed.runs, relayed.last_event), (1, 1))

    def test_events_are_not_sent_twice(self):
        """Guards against a helper of an older version, which begins anew."""
        with self.assertRaises(RequestError):
            self.hand_over(STREAM[:-5], STREAM)
        self.assertEqual(self.sent_events(), [EVENT])
        self.caller.finish.assert_not_called()

    @parameterized.expand([("nothing", 0), ("a_part", len(BODY) - 2)])
    def test_another_helper_serves_a_repeatable_request_of_which_it_sent(self, _, size):
        self.hand_over(BODY[:size], BODY, kind=Kind.IDEMPOTENT)
        self.caller.respond.assert_called_once_with(
            200, [(b"seal", b"x")], b"body", size=4
        )

    @parameterized.expand(
        [
            ("must_not_be_repeated", b"", {"kind": Kind.ONCE, "is_resumable": False}),
            ("is_no_stream", b"", {"kind": Kind.ONCE}),
            ("can_not_resume", b"", {"is_resumable": False}),
            ("has_no_run_left", b"", {"attempts": 1}),
            ("has_an_event_without_a_number", CHUNKED + b"9\r\ndata: x\n\n\r\n", {}),
            ("its_helper_gave_up", b"", {"is_killed": False}),
        ]
    )
    def test_no_other_helper_gets_a_request_that(self, _, first, options):
        """Guards against a request that runs more often than it may."""
        with self.assertRaises(RequestError) as caught:
            self.hand_over(first, STREAM, **options)
        self.assertEqual(caught.exception.ran, Ran.UNKNOWN)
        self.assertEqual(self.second.requests, [])

    @parameterized.expand([ErrorKind.NO_TARGET, ErrorKind.DEADLINE_INFEASIBLE])
    def test_a_refusal_behind_it_does_not_say_that_it_has_not_run(self, kind):
        with self.assertRaises(RequestError) as caught:
            self.hand_over(b"", refusal(kind))
        self.assertEqual(caught.exception.ran, Ran.UNKNOWN)
        self.assertTrue(self.context.progress.is_sent)


class HelperTest(unittest.TestCase):
    """An instance that gets a request from another one."""

    def respond(self, data, *, version_7_after=9.0):
        """Return the response to some bytes on a connection of a peer.

        Args:
            data: The bytes.
            version_7_after: Seconds until the helper has version 7.
        """
        mocks = (mock.MagicMock() for _ in range(7))
        handler = Handler(*mocks, suspects=mock.Mock())
        handler._view.configuration.version = 6
        head = mock.Mock(id="r1", path=b"/", deadline=0.6)
        handler._dialect.read_head.return_value = head
        handler._view.configuration.find_route.return_value = None
        timer = eventlet.spawn_after(
            version_7_after,
            setattr,
            handler._view.configuration,
            "version",
            7,
        )
        self.addCleanup(timer.cancel)
        listener = eventlet.listen((HOST, 0))
        client = eventlet.connect(listener.getsockname())
        accepted, _ = listener.accept()
        caller = CallerConnection(accepted, CallerLimits, lambda: False, is_peer=True)
        eventlet.spawn_n(handler.run, caller)
        client.sendall(data)
        return client.recv(1_000)

    @parameterized.expand(
        [
            ("malformed", b"POST / HTTP/1.1\r\nno header\r\n\r\n", b"bad_request"),
            ("not_handed_over", b"POST / HTTP/1.1\r\nHost: h\r\n\r\n", b"bad_request"),
            ("newer", NEWER, b"not_ready"),
        ]
    )
    def test_its_own_errors_are_marked(self, _, data, kind):
        """Guards against an error of a helper that looks like a target's response."""
        response = self.respond(data)
        self.assertIn(b"bergamotsaddle-kind: " + kind, response)
        self.assertIn(b"bergamotsaddle-ran: no", response)

    def test_it_waits_for_the_configuration_of_the_sender(self):
        """Guards against requests that no helper takes just after a change."""
        response = self.respond(NEWER, version_7_after=0.1)
        self.assertIn(b"bergamotsaddle-kind: not_found", response)


class RepeatedHandoverTest(unittest.TestCase):
    """A request that another helper may have run before it died."""

    def setUp(self):
        mocks = (mock.MagicMock() for _ in range(7))
        self.handler = Handler(*mocks, suspects=mock.Mock())
        self.context = make_context()._replace(earlier_runs=1)

    def serve(self, repeats, error=None):
        """Serve it with some repeats left; return the repeat and the error."""
        repeat = mock.Mock() if repeats else None
        self.handler._budget.reserve.return_value = repeat
        self.handler._plain.serve.side_effect = error
        try:
            self.handler._serve_here(mock.Mock(), self.context)
        except RequestError as caught:
            return repeat, caught
        return repeat, None

    def receive(self, relayed, **route):
        """Return the context of a handed-over request.

        Args:
            relayed: What its sender says.
            route: Attributes of its route at the helper.
        """
        configuration = self.handler._view.configuration
        configuration.version = 7
        configuration.has_teams = False
        found = self.context.route._replace(**route)
        configuration.find_route.return_value = found
        headers = encode_request([], relayed, 0)
        raw = RawRequest(b"POST", b"/x", headers, b"", now(), is_from_peer=True)
        return self.handler._make_context(self.context.head, raw)

    def test_its_runs_and_events_are_taken_on(self):
        """Guards against more runs than the route allows, and events sent twice."""
        relayed = RelayedRequest("me", 0.0, 7, runs=1, last_event=5)
        context = self.receive(relayed, kind=Kind.IDEMPOTENT, attempts=3)
        self.assertEqual(context.route.attempts, 2)
        self.assertEqual(context.head.last_event_id, 5)
        self.assertEqual(context.head.resumed_request, "r1")

    @parameterized.expand(
        [
            ("fewer_at_the_sender", 1, 0, Kind.IDEMPOTENT, 3, 1),
            ("fewer_here", 3, 0, Kind.IDEMPOTENT, 2, 2),
            ("once_here", 3, 0, Kind.ONCE, 3, 1),
            ("one_is_left", 2, 1, Kind.IDEMPOTENT, 3, 1),
            ("not_said", None, 0, Kind.IDEMPOTENT, 3, 3),
        ]
    )
    def test_it_runs_no_more_often_than(
        self, _, max_runs, runs, kind, attempts, expected
    ):
        """Guards against a second run that its sender's configuration rules out."""
        relayed = RelayedRequest("me", 0.0, 6, runs=runs, max_runs=max_runs)
        context = self.receive(relayed, kind=kind, attempts=attempts)
        self.assertEqual(context.route.attempts, expected)

    @parameterized.expand(
        [
            ("by_its_sender", 1, Kind.IDEMPOTENT, 3),
            ("here", 3, Kind.IDEMPOTENT, 1),
            ("here_any_more", 3, Kind.ONCE, 3),
        ]
    )
    def test_it_is_refused_if_it_may_not_run_again(self, _, max_runs, kind, attempts):
        """Guards against another run behind the last one that is allowed."""
        relayed = RelayedRequest("me", 0.0, 6, runs=1, max_runs=max_runs)
        with self.assertRaises(RequestError) as caught:
            self.receive(relayed, kind=kind, attempts=attempts)
        self.assertEqual(caught.exception.ran, Ran.NO)

    def test_it_is_a_repeat(self):
        """Guards against repeats that no budget counts."""
        self.serve(1)
        self.handler._budget.count_request.assert_not_called()
        self.handler._budget.reserve.assert_called_once_with("s")

    def test_without_a_repeat_it_may_go_to_another_helper(self):
        _, error = self.serve(0)
        self.assertEqual((error.kind, error.ran), (ErrorKind.OVERLOADED, Ran.NO))

    @parameterized.expand([(Ran.NO, True), (Ran.UNKNOWN, False)])
    def test_its_repeat_is_given_back_if_it_has_not_run(self, ran, expected):
        repeat, _ = self.serve(1, RequestError(ErrorKind.NO_TARGET, "x", ran=ran))
        self.assertEqual(repeat.cancel.called, expected)


class HelperChoiceTest(unittest.TestCase):
    """Which instance serves a request of an instance without targets."""

    def choose(self, *zones, in_flight=(0,) * 9, times=40):
        """Return how often each helper was chosen by an instance in zone a."""
        helpers = [
            Helper(f"{zone}{n}", zone, HOST, 1.0, in_flight[n])
            for n, zone in enumerate(zones)
        ]
        region = REGION_BY_ZONE.__getitem__
        chosen = [choose_helper(helpers, "a", region) for _ in range(times)]
        return Counter(helper and helper.id for helper in chosen)

    @parameterized.expand(
        [
            ("own_zone", "cba", {"a2"}),
            ("own_region", "cb", {"b1"}),
            ("any", "c", {"c0"}),
            ("none", "", {None}),
        ]
    )
    def test_the_nearest_helper_serves(self, _, zones, expected):
        self.assertEqual(set(self.choose(*zones)), expected)

    def test_many_instances_do_not_choose_the_same_helper(self):
        chosen = self.choose("a", "a", "a", times=300)
        self.assertGreater(min(chosen.values()), 60)

    def test_a_loaded_helper_is_avoided(self):
        chosen = self.choose("a", "a", in_flight=(9, 0))
        self.assertEqual(set(chosen), {"a1"})

    @parameterized.expand(
        [
            ("idle", 200, 0, 0.0, True),
            ("busy", 20, 10, 0.1, False),
            ("busy_with_few", 10, 0, 0.1, True),
            ("busy_with_own_ones", 20, 40, 0.1, True),
        ]
    )
    def test_own_callers_are_not_crowded_out(self, _, relayed, local, delay, expected):
        """Guards against callers of a helper that suffer from another's cut."""
        self.assertEqual(may_relay(relayed=relayed, local=local, delay=delay), expected)


class RelayHeadersTest(unittest.TestCase):
    """What instances tell each other about a request that is handed over."""

    def test_a_request_is_passed_on_unchanged(self):
        headers = [
            (b"host", b"h"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            (b"expect", b"100-continue"),
            (b"transfer-encoding", b"chunked"),
            (b"bergamotsaddle-sender", b"forged"),
            (b"x-own", b"2"),
        ]
        relayed = RelayedRequest("me", 0.25, 7)
        encoded = encode_request(headers, relayed, 3)
        self.assertEqual(
            encoded[:3], [(b"host", b"h"), (b"x-own", b"2"), (b"content-length", b"3")]
        )
        self.assertEqual(decode_request(encoded), relayed)

    @parameterized.expand(
        [
            ("none", []),
            (
                "malformed",
                [
                    (b"bergamotsaddle-sender", b"me"),
                    (b"bergamotsaddle-elapsed-ms", b"x"),
                    (b"bergamotsaddle-version", b"1"),
                ],
            ),
        ]
    )
    def test_a_request_without_them_is_rejected(self, _, headers):
        with self.assertRaises(RequestError):
            decode_request(headers)

    @parameterized.expand([*ErrorKind])
    def test_errors_keep_their_kind(self, kind):
        error = RequestError(ErrorKind(kind), "x")
        decoded = decode_error(encode_error(error))
        self.assertEqual((decoded.kind, decoded.ran), (error.kind, error.ran))

    @parameterized.expand([*ErrorKind])
    def test_an_unknown_outcome_has_no_status_that_promises(self, kind):
        """Guards against a 503 for what a helper of another version may have run."""
        error = RequestError(ErrorKind(kind), "x", ran=Ran.UNKNOWN)
        decoded = decode_error(encode_error(error))
        self.assertEqual(decoded.ran, Ran.UNKNOWN)
        self.assertNotIn(decoded.status, NOT_RUN_STATUSES)

    def test_an_unknown_kind_promises_nothing(self):
        headers = [(b"bergamotsaddle-kind", b"new"), (b"bergamotsaddle-ran", b"no")]
        self.assertEqual(decode_error(headers).ran, Ran.UNKNOWN)

    def test_a_response_of_a_target_is_no_error(self):
        self.assertIsNone(decode_error([(b"content-length", b"1")]))
