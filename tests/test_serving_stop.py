"""Tests for requests that are still running when an instance stops."""

import socket
import sys
import unittest
from collections import Counter
from unittest import mock

import eventlet
from eventlet.patcher import original
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_serving import handler as handler_module
from bergamotsaddle_serving import server as server_module
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import CallerLimits, Kind, Route, Service, Share
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.plain import CompleteResponse
from bergamotsaddle_serving.relay_headers import RelayedRequest, encode_request
from bergamotsaddle_serving.request_times import RequestTimes
from bergamotsaddle_serving.server import ServingServer
from bergamotsaddle_serving.stop_schedule import StopSchedule
from tests._paused import use_paused_clock, use_running_clock

subprocess = original("subprocess")

setUpModule = use_running_clock
tearDownModule = use_paused_clock

ROUTE = Route("r", "h", "/", Kind.ONCE, 9.0, 1.0, 1, 0, (Share("s", 1.0),))
# The module is cleared after the interpreter has removed the handlers of signals.
EXIT_WITH_LATE_SIGNAL = """
import os, signal
from bergamotsaddle_serving import server

class Late:
    def __init__(self, kill, pid):
        self.kill, self.pid = kill, pid
    def __del__(self):
        self.kill(self.pid, 1)

signal.signal(signal.SIGHUP, lambda *_: None)
server._ignore_signals()
os.late = Late(os.kill, os.getpid())
"""
# The process exits 0.8 s earlier.
STOP_GRACE_S = 1.2
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


def make_context(*, is_sent, deadline=9.0):
    """Return the context of a request that waits, or has been sent to a target."""
    progress = Progress()
    progress.is_sent = is_sent
    head = RequestHead("r1", b"POST", b"/", "h", "", 9.0)
    now = eventlet.hubs.get_hub().clock()
    service = Service("s", 10)
    return Context(head, b"", ROUTE, service, None, now, now + deadline, 1, 0, progress)


def make_handler(*, usual=0.0):
    """Return a handler that quarantines no request.

    Args:
        usual: Seconds that its last request took, None if it has served none.
    """
    suspects = mock.Mock(is_quarantined=lambda fingerprint: False)
    handler = Handler(*(mock.MagicMock() for _ in range(7)), suspects=suspects)
    if usual is not None:
        handler.times.record(ROUTE, usual, usual)
    return handler


def serve_connection(serve, *, usual=0.0):
    """Serve a connection of a caller at a stopping instance.

    Args:
        serve: Returns the response to the context of each request.
        usual: Seconds that the last request took, None if there was none.

    Returns:
        The handler, the served connection and the caller's socket.
    """
    handler = make_handler(usual=usual)
    handler._plain = mock.Mock(serve=serve)
    handler._make_context = lambda head, raw: make_context(is_sent=True)
    handler._dialect.read_head.return_value = mock.Mock(id="r1")
    caller, client = open_connection(handler)
    return handler, caller, client


def open_connection(handler):
    """Have a stopping handler serve a connection; return it and the caller's socket."""
    listener = eventlet.listen(("127.0.0.1", 0))
    client = eventlet.connect(listener.getsockname())
    accepted, _ = listener.accept()
    caller = CallerConnection(accepted, CallerLimits, lambda: True)
    eventlet.spawn_n(handler.run, caller)
    return caller, client


def make_server(handler, *, grace=STOP_GRACE_S, hand_over=lambda is_final: None):
    """Return a server that can be stopped.

    Args:
        handler: Its handler.
        grace: Seconds from its stop until it is killed.
        hand_over: Hands the stage queues over to other instances.
    """
    server = ServingServer.__new__(ServingServer)
    server._is_stopping = False
    server.handler, server.peers, server.logger = handler, mock.Mock(), mock.Mock()
    server.owner = mock.Mock(is_busy=lambda: False, hand_over=hand_over)
    server.settings = mock.Mock()
    server.settings.bounds.grace = grace
    return server


def serve_slowly(context):
    """Return a response after a while, in which other green threads run."""
    eventlet.sleep(0.05)
    return CompleteResponse(200, [], b"done")


def fail(context):
    """Fail a request."""
    raise RequestError(ErrorKind.TARGET_FAILED, "no repeats are left")


class QuarantineTest(unittest.TestCase):
    """A request that is on trial after targets have crashed under it."""

    @parameterized.expand([("own", "", True), ("handed_over", "i1", False)])
    def test_one_permit_is_requested_for_a_trial(self, _, sender, is_refused):
        """Guards against a helper that refuses the trial its sender has permitted."""
        suspects = mock.Mock()
        suspects.is_quarantined.return_value = False
        suspects.may_enter.return_value = False
        handler = Handler(*(mock.MagicMock() for _ in range(7)), suspects=suspects)
        context = make_context(is_sent=False)._replace(sender=sender)
        if is_refused:
            self.assertRaises(RequestError, handler._check_quarantine, context)
        else:
            handler._check_quarantine(context)


class FailureTest(unittest.TestCase):
    """A request that fails."""

    def test_its_line_names_the_reason(self):
        """Guards against failures whose line does not tell them apart."""
        handler, _, client = serve_connection(fail)
        client.sendall(REQUEST)
        client.recv(4_096)
        handler._logger.warning.assert_called_once()
        logged = handler._logger.warning.call_args.kwargs
        self.assertEqual(logged["outcome"], ErrorKind.TARGET_FAILED)
        self.assertEqual(logged["reason"], "no repeats are left")


class StopTest(unittest.TestCase):
    """An instance whose stop limit has passed."""

    @parameterized.expand([("waiting", False, b" 503 "), ("sent", True, b" 502 ")])
    def test_every_request_gets_a_truthful_response(self, _, is_sent, status):
        """Requests wait for a stage or a target when the process is about to exit.

        If their connections were just closed, callers would not know whether the
        requests have run. "Not run" may be reported only when nothing was sent.
        """
        plain = mock.Mock()
        plain.serve = lambda context: eventlet.sleep(5)
        handler = make_handler()
        handler._plain = plain
        handler._make_context = lambda head, raw: make_context(is_sent=is_sent)
        handler._dialect.read_head.return_value = mock.Mock(id="r1")
        listener = eventlet.listen(("127.0.0.1", 0))
        client = eventlet.connect(listener.getsockname())
        server, _ = listener.accept()
        caller = CallerConnection(server, CallerLimits, lambda: True)
        eventlet.spawn_n(handler.run, caller)
        client.sendall(REQUEST)
        eventlet.sleep(0.05)
        self.assertEqual(handler.active, 1)
        handler.abort_all()
        self.assertIn(status, client.recv(1000))
        eventlet.sleep(0.01)
        self.assertEqual(handler.active, 0)

    def test_closing_an_idle_connection_affects_no_other(self):
        """A stopping instance closes a kept-alive connection without a request.

        Another green thread waits for the next request on it. If the connection is
        closed while that thread waits, the thread gets an error as soon as the
        descriptor is reused. The error was raised in the hub and ended the process,
        and callers of running streams got incomplete responses.
        """
        handler = make_handler()
        listener = eventlet.listen(("127.0.0.1", 0))
        client = eventlet.connect(listener.getsockname())
        server, _ = listener.accept()
        caller = CallerConnection(server, CallerLimits, lambda: True)
        eventlet.spawn_n(handler.run, caller)
        eventlet.sleep(0.02)
        self.assertTrue(caller.is_idle)
        caller.close_idle()
        eventlet.sleep(0.02)
        others = [eventlet.connect(listener.getsockname()) for _ in range(3)]
        eventlet.sleep(0.02)
        self.assertEqual(len(others), 3)
        self.assertEqual(client.recv(1000), b"")
        self.assertFalse(handler.connections)

    @parameterized.expand([("whole", len(REQUEST)), ("half", 20), ("first_byte", 1)])
    def test_a_request_that_crosses_the_close_of_its_connection(self, _, first_size):
        """Guards against requests lost on connections that are closed as idle.

        Their bytes have arrived, but the green thread that waits for them has not run
        yet. Without a response the caller does not know whether its request has run.
        """
        _, caller, client = serve_connection(serve_slowly)
        eventlet.sleep(0.02)
        client.sendall(REQUEST[:first_size])
        caller.close_idle()
        eventlet.spawn_after(0.03, client.sendall, REQUEST[first_size:])
        self.assertIn(b" 200 ", client.recv(1000))

    def test_pipelined_requests_are_served_before_the_close(self):
        """Guards against requests lost behind the response that closes a connection."""
        _, _, client = serve_connection(serve_slowly)
        client.sendall(REQUEST + REQUEST)
        received = b""
        while data := client.recv(1000):
            received += data
        self.assertEqual(received.count(b" 200 "), 2)
        self.assertEqual(received.count(b"connection: close"), 1)

    @parameterized.expand(
        [
            ("in_notice", 0.0, 9.0, 0.1, b" 200 "),
            ("in_notice_but_long", 0.0, 9.0, 0.9, b" 503 "),
            ("in_notice_but_unknown", 0.0, 9.0, None, b" 503 "),
            ("in_notice_and_sure_to_end", 0.0, 0.8, 0.9, b" 200 "),
            ("sure_to_end", 0.3, 0.5, None, b" 200 "),
            ("may_be_cut", 0.3, 9.0, 0.1, b" 503 "),
        ]
    )
    def test_a_request_on_an_open_connection_while_stopping(
        self, _, pause, deadline, usual, status
    ):
        """Guards against requests that are accepted and cut off by the exit.

        A caller sends its next request on a connection whose last response announced
        no close, after the instance has told the load balancer that it stops.
        """
        handler, _, client = serve_connection(serve_slowly, usual=usual)
        handler._make_context = lambda head, raw: make_context(
            is_sent=True, deadline=deadline
        )
        at = eventlet.hubs.get_hub().clock()
        handler.stop_schedule = StopSchedule(at, notice=0.1, limit=1.0)
        eventlet.sleep(pause)
        client.sendall(REQUEST)
        response = client.recv(1000)
        self.assertIn(status, response)
        self.assertEqual(b"retry-after" in response, status == b" 503 ")

    def stop_while_sending(
        self, *, pause, first_size=20, hand_over=lambda is_final: None
    ):
        """Stop an instance while a caller sends a request.

        Args:
            pause: Seconds between the two parts of the request.
            first_size: Size of the first part in bytes.
            hand_over: Hands the stage queues over to other instances.

        Returns:
            Number of requests that were passed on, number of those that still run at
            the end of the process, and the bytes that the caller got.
        """
        passed_on = []

        def serve(context):
            passed_on.append(context)
            eventlet.sleep(0.2)
            return CompleteResponse(200, [], b"done")

        handler = make_handler()
        handler._plain = mock.Mock(serve=serve)
        handler._make_context = lambda head, raw: make_context(is_sent=True)
        handler._dialect.read_head.return_value = mock.Mock(id="r1")
        server = make_server(handler, hand_over=hand_over)
        listener = eventlet.listen(("127.0.0.1", 0))
        client = eventlet.connect(listener.getsockname())
        accepted, _ = listener.accept()
        caller = CallerConnection(accepted, CallerLimits, lambda: True)
        eventlet.spawn_n(handler.run, caller)
        client.sendall(REQUEST[:first_size])
        eventlet.spawn_after(pause, client.sendall, REQUEST[first_size:])
        with mock.patch.object(server_module, "_STOP_NOTICE_S", 0.05):
            server._stop(listener)
        unfinished = handler.active
        return len(passed_on), unfinished, client.recv(1000)

    @parameterized.expand([("waits_for_it", 0.1, 1), ("rejects_it", 0.47, 0)])
    def test_a_request_that_arrives_while_stopping(self, _, pause, expected):
        """Guards against a request that is passed on just before the process exits.

        Its connection would be closed without a response, although a target runs it.
        """
        passed_on, unfinished, received = self.stop_while_sending(pause=pause)
        self.assertEqual((passed_on, unfinished), (expected, 0))
        self.assertTrue(received.startswith(b"HTTP/1.1 "))

    def test_a_request_on_an_idle_connection_just_before_the_exit(self):
        """Guards against requests passed on over connections that stay open to the end.

        Nothing runs when the notice is over, so the instance exits at once.
        """
        passed_on, unfinished, received = self.stop_while_sending(
            pause=0.1, first_size=0
        )
        self.assertEqual((passed_on, unfinished), (0, 0))
        self.assertEqual(received, b"")

    def test_an_error_in_the_announcement_of_a_stop_cuts_no_request(self):
        """Guards against a process that ends because a hand-over fails."""
        passed_on, unfinished, received = self.stop_while_sending(
            pause=0.1, hand_over=mock.Mock(side_effect=KeyError("t1"))
        )
        self.assertEqual((passed_on, unfinished), (1, 0))
        self.assertIn(b" 200 ", received)

    @parameterized.expand(
        [
            (False, ErrorKind.NOT_RUN),
            (True, ErrorKind.DEADLINE_PASSED),
        ]
    )
    def test_an_abort_error_reports_whether_the_request_was_sent(self, is_sent, kind):
        error = make_context(is_sent=is_sent).abort_error(
            ErrorKind.DEADLINE_PASSED, "x"
        )
        self.assertEqual(error.kind, kind)

    @parameterized.expand(
        [("long", 0.6, 503), ("short", 0.05, 502), ("unknown", None, 502)]
    )
    def test_a_request_that_waits_in_a_queue(self, _, run, status):
        """Guards against requests that wait until the exit for a run that is cut."""
        handler, _, client = serve_connection(lambda context: eventlet.sleep(5))
        context = make_context(is_sent=False)
        handler._make_context = lambda head, raw: context
        handler.times = RequestTimes()
        if run is not None:
            handler.times.record(ROUTE, 1.0, run)
        client.sendall(REQUEST)
        eventlet.sleep(0.02)
        at = eventlet.hubs.get_hub().clock()
        handler.stop_schedule = StopSchedule(at, notice=0.1, limit=0.5)
        handler.reject_waiting()
        eventlet.sleep(0.02)
        context.progress.is_sent = True
        handler.reject_waiting()
        handler.abort_all()
        self.assertIn(b" %d " % status, client.recv(1_000))

    def test_a_short_grace_is_kept(self):
        """Guards against a notice that outlasts the grace, and requests cut by it."""
        handler, _, client = serve_connection(lambda context: eventlet.sleep(5))
        client.sendall(REQUEST)
        eventlet.sleep(0.02)
        server = make_server(handler)
        at = eventlet.hubs.get_hub().clock()
        server._stop()
        self.assertLess(eventlet.hubs.get_hub().clock() - at, STOP_GRACE_S)
        self.assertIn(b" 502 ", client.recv(1_000))

    def test_an_abort_behind_a_complete_response(self):
        """Guards against connections reset while their response is on its way."""
        handler, caller, client = serve_connection(serve_slowly)

        def watch(_):
            try:
                eventlet.sleep(5)
            finally:
                # The worker ends its watcher once its response is complete.
                handler.abort_all()

        caller._watch_for_disconnect = watch
        client.sendall(REQUEST)
        self.assertIn(b" 200 ", client.recv(1_000))
        eventlet.sleep(0.05)
        self.assertEqual(client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)
        logged = handler._logger.info.call_args.kwargs
        self.assertEqual(logged["outcome"], "whole")

    def test_an_abort_beside_a_request_that_ends(self):
        """Guards against an abort that closes a connection with its next request.

        Other requests may end while one is aborted.
        """
        handler, _, first = serve_connection(serve_slowly)
        _, second = open_connection(handler)
        for client in (first, second):
            client.sendall(REQUEST + REQUEST[:20])
        eventlet.sleep(0.02)

        def kill(*args):
            eventlet.kill(*args)
            eventlet.sleep(0.1)

        handler.is_closed = True
        with mock.patch.object(handler_module, "eventlet", wraps=eventlet) as patched:
            patched.kill = kill
            handler.abort_all()
        for client in (first, second):
            client.sendall(REQUEST[20:])
        eventlet.sleep(0.05)
        received = [client.recv(4_096) for client in (first, second)]
        self.assertEqual(sum(b" 200 " in data for data in received), 1)
        self.assertEqual([data.count(b" 503 ") for data in received], [1, 1])

    def test_a_relayed_request_that_waits_for_its_configuration(self):
        """Guards against requests that the exit cuts before they are served."""
        handler = make_handler()
        handler._known_version = lambda: 0
        handler.is_closed = True
        at = eventlet.hubs.get_hub().clock()
        relayed = RelayedRequest("i2", 0.0, 1)
        raw = mock.Mock(headers=encode_request([], relayed, 0))
        handler._wait_for_version(raw, mock.Mock(deadline=9.0))
        self.assertLess(eventlet.hubs.get_hub().clock() - at, 0.5)


class ReplayTest(unittest.TestCase):
    """A planned stop while callers go on sending requests of several kinds."""

    KINDS = tuple(
        (seconds, kind)
        for seconds in (0.2, 0.9, 1.6, 2.5)
        for kind in (Kind.ONCE, Kind.IDEMPOTENT)
    )
    GRACE_S = 2.0
    FIRST_AT = 0.2
    LAST_AT = 1.0
    INTERVAL_S = 0.1

    def setUp(self):
        self.handler = make_handler(usual=None)
        self.handler._make_context = self.make_context
        self.handler._dialect.read_head.side_effect = lambda method, path, headers: (
            mock.Mock(id="r", path=path)
        )
        self.handler._plain = mock.Mock(serve=self.serve)
        self.server = make_server(self.handler, grace=self.GRACE_S)
        self.listener = eventlet.listen(("127.0.0.1", 0), backlog=128)
        acceptor = eventlet.spawn(self.accept)
        self.addCleanup(acceptor.kill)
        self.counts = Counter()

    def accept(self):
        """Serve each connection of a caller."""
        while True:
            accepted, _ = self.listener.accept()
            caller = CallerConnection(
                accepted, CallerLimits, lambda: self.server._is_stopping
            )
            eventlet.spawn_n(self.handler.run, caller)

    def make_context(self, head, raw):
        """Return the context of a request, whose path names what it is."""
        seconds, kind = self.KINDS[int(raw.path[1:])]
        context = make_context(is_sent=False)
        route = ROUTE._replace(name=raw.path.decode(), kind=kind)
        body = str(seconds).encode()
        return context._replace(route=route, body=body)

    def serve(self, context):
        """Run a request at a target."""
        context.progress.is_sent = True
        eventlet.sleep(float(context.body))
        return CompleteResponse(200, [], b"done")

    def connect(self):
        """Open a connection of a caller."""
        return eventlet.connect(self.listener.getsockname())

    def send(self, number, client, *, pause=0.0):
        """Send a request after a while, and count its end."""
        eventlet.sleep(pause)
        client = client or self.connect()
        client.sendall(REQUEST.replace(b"/", b"/%d" % number, 1))
        head = client.recv(1_000)
        client.close()
        seconds, kind = self.KINDS[number]
        self.counts[seconds, kind, head[9:12].decode()] += 1

    @parameterized.expand([("open", True), ("new", False)])
    def test_no_request_is_taken_that_the_exit_cuts(self, _, is_open):
        """Guards against requests cut at the end of the grace that others could run."""
        warm_up = [
            eventlet.spawn(self.send, number, None) for number in range(len(self.KINDS))
        ]
        for thread in warm_up:
            thread.wait()
        self.counts.clear()
        pauses = [
            self.FIRST_AT + self.INTERVAL_S * i
            for i in range(round((self.LAST_AT - self.FIRST_AT) / self.INTERVAL_S))
        ]
        threads = [
            eventlet.spawn(
                self.send, number, self.connect() if is_open else None, pause=pause
            )
            for number in range(len(self.KINDS))
            for pause in pauses
        ]
        eventlet.sleep(0.05)
        self.server._stop(mock.Mock())
        for thread in threads:
            thread.wait()
        self.assertEqual(self.counts.total(), len(self.KINDS) * len(pauses))
        statuses = {status for _, _, status in self.counts}
        self.assertEqual(statuses, {"200", "503"}, self.counts)
        for kind in (Kind.ONCE, Kind.IDEMPOTENT):
            # All but the last ones are sure to end, also beside other work.
            self.assertGreaterEqual(self.counts[0.2, kind, "200"], 6, self.counts)
            self.assertEqual(self.counts[2.5, kind, "200"], 0, self.counts)


class RequestTimesTest(unittest.TestCase):
    """What is known of how long requests take."""

    @parameterized.expand(
        [
            ("none", Kind.ONCE, [], None),
            ("one", Kind.IDEMPOTENT, [0.4], 0.4),
            ("a_rare_long_one", Kind.IDEMPOTENT, [0.4] * 19 + [3.0], 0.4),
            ("often_a_long_one", Kind.IDEMPOTENT, [0.4] * 8 + [3.0] * 2, 3.0),
            ("not_repeatable", Kind.ONCE, [0.4] * 19 + [3.0], 3.0),
            ("long_ago", Kind.ONCE, [3.0] + [0.4] * 32, 0.4),
        ]
    )
    def test_the_usual_time(self, _, kind, seconds, expected):
        """Guards against one rare request that keeps out all others."""
        times = RequestTimes()
        route = ROUTE._replace(kind=kind)
        for taken in seconds:
            times.record(route, taken, None)
        self.assertEqual(times.usual(route), expected)


class ExitTest(unittest.TestCase):
    """A process that exits after its stop."""

    def test_a_late_signal_does_not_kill_it(self):
        """Guards against a stop that counts as failed since a reload came last."""
        done = subprocess.run(
            [sys.executable, "-c", EXIT_WITH_LATE_SIGNAL],
            capture_output=True,
            timeout=20.0,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stderr.decode())
