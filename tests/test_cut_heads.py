"""Responses on the own interface whose sender stops before their end."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock

import eventlet
import urllib3
from cleo.testers.command_tester import CommandTester
from parameterized import parameterized

from bergamotsaddle_cli.pages import DaemonUnreachableError, Pages
from bergamotsaddle_cli.send_command import EXIT_UNREACHABLE, SendCommand
from bergamotsaddle_contracts.errors import PlatformUnreachableError, TargetError
from bergamotsaddle_daemon.calls import Call, Connections
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.platform import HttpReader, PlatformWatch
from bergamotsaddle_daemon.reports import make_http_load_reader
from tests._cut_heads import (
    BODY,
    CUT_RESPONSES,
    ENDINGS,
    MALFORMED_RESPONSES,
    UNCHANGED,
    WHOLE_BY_LENGTH,
    WHOLE_RESPONSES,
    CuttingPeer,
    without_end,
)
from tests._odd_heads import ODD_FRAMINGS, ODD_HEADS
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock


def rows(*places):
    """Return a row for each place, each way to stop and each end of a connection."""
    return [
        (f"{place}_{name}_{ending}", place, data, ending)
        for place in places
        for name, data in CUT_RESPONSES
        for ending in ENDINGS
    ]


def whole_rows(*places):
    """Return a row for each place and each whole response."""
    return [
        (f"{place}_{name}", place, data)
        for place in places
        for name, data in WHOLE_RESPONSES
    ]


def make_call():
    """Return a call whose response names request r1 and stage encode.1."""
    return Call("r1", "encode.1", "/v1/x", b"{}", now() + 2.0, 0.5, 5, {})


def no_guard():
    """Allow every call."""


class _CutTest(unittest.TestCase):
    def serve(self, data, ending="close"):
        """Return the address of a peer that sends some bytes."""
        self.peer = CuttingPeer(data, ending)
        self.addCleanup(self.peer.close)
        return self.peer.address


class CallTest(_CutTest):
    """Calls to targets."""

    def call(self, method, address):
        response = getattr(Connections(), method)(address, make_call(), no_guard)
        if method != "open_stream":
            return response.body
        return b"".join(iter(lambda: response.read_available(1.0), b""))

    @parameterized.expand(whole_rows("post", "post_once", "open_stream"))
    def test_a_whole_response(self, _, method, data):
        self.assertEqual(self.call(method, self.serve(data)), BODY)

    @parameterized.expand(rows("post", "post_once", "open_stream"))
    def test_a_cut_response_is_no_success(self, _, method, data, ending):
        """Guards against a short body that callers get as the whole response."""
        address = self.serve(data, ending)
        with self.assertRaises(TargetError) as caught:
            self.call(method, address)
        self.assertTrue(caught.exception.sent)
        self.assertEqual(self.peer.served, 1)

    @parameterized.expand(
        [
            (f"{method}_{name}", method, data)
            for method in ("post", "post_once", "open_stream")
            for name, data in (*MALFORMED_RESPONSES, *ODD_HEADS, *ODD_FRAMINGS)
        ]
    )
    def test_a_malformed_head_is_a_failure_of_the_target(self, _, method, data):
        """Guards against an error that ends the attempt without its bookkeeping."""
        address = self.serve(data)
        with self.assertRaises(TargetError) as caught:
            self.call(method, address)
        self.assertTrue(caught.exception.sent)


class PlatformTest(_CutTest):
    """Values that the platform publishes and reports of targets."""

    @parameterized.expand(whole_rows("value"))
    def test_a_whole_value(self, _, place, data):
        value = HttpReader(self.serve(data), "/v1/values/x").read("", 0.1)
        self.assertEqual(value, ("5", BODY))

    @parameterized.expand(rows("value"))
    def test_a_cut_value_is_not_read(self, _, place, data, ending):
        """Guards against a cut value that counts as published or as unchanged."""
        reader = HttpReader(self.serve(data, ending), "/v1/values/x")
        with self.assertRaises(PlatformUnreachableError):
            reader.read("4", 0.1)

    @parameterized.expand(
        [
            (f"{size}_bytes_{ending}", size, ending)
            for size in (0, 1, len(BODY) - 1, len(BODY))
            for ending in ENDINGS
        ]
    )
    def test_a_value_without_a_stated_end_is_not_read(self, _, size, ending):
        """Guards against a declaration whose sections are cut off behind a line."""
        address = self.serve(without_end(BODY)[: size - len(BODY) or None], ending)
        with self.assertRaises(PlatformUnreachableError):
            HttpReader(address, "/v1/values/x").read("4", 0.1)

    @parameterized.expand(CUT_RESPONSES)
    def test_a_cut_declaration_is_read_again(self, _, data):
        """Guards against a declaration that is missed as its tag is known already."""
        answers = iter([data])

        def answer(request):
            if (cut := next(answers, None)) is not None:
                return cut
            return UNCHANGED if b"after=5&" in request else WHOLE_BY_LENGTH

        views = Mock()
        timing = SimpleNamespace(watch_wait=0.1, watch_pause=0.05)
        watch = PlatformWatch(
            SimpleNamespace(timing=timing),
            views,
            config=HttpReader(self.serve(answer), "/v1/values/x"),
            instances=Mock(),
        )
        thread = eventlet.spawn(watch.watch_declaration)
        eventlet.sleep(0.2)
        views.confirm.assert_not_called()
        eventlet.sleep(2.0)
        thread.kill()
        offered = [call.args[0] for call in views.offer_declaration.mock_calls]
        self.assertEqual(offered, [BODY.decode()])

    @parameterized.expand([*ODD_HEADS, *ODD_FRAMINGS])
    def test_a_value_behind_an_odd_head_is_not_read(self, _, data):
        """Guards against a declaration behind bytes that are no answer."""
        with self.assertRaises(PlatformUnreachableError):
            HttpReader(self.serve(data), "/v1/values/x").read("4", 0.1)

    @parameterized.expand(whole_rows("report"))
    def test_a_whole_report(self, _, place, data):
        self.assertEqual(make_http_load_reader()(self.serve(data)), BODY)

    @parameterized.expand(rows("report"))
    def test_a_cut_report_is_not_read(self, _, place, data, ending):
        """Guards against a cut report that counts as a target's load."""
        address = self.serve(data, ending)
        with self.assertRaises((urllib3.exceptions.HTTPError, OSError)):
            make_http_load_reader()(address)

    @parameterized.expand([*ODD_HEADS, *ODD_FRAMINGS])
    def test_a_report_behind_an_odd_head_is_not_read(self, _, data):
        """Guards against a load behind bytes that are no answer."""
        with self.assertRaises((urllib3.exceptions.HTTPError, OSError)):
            make_http_load_reader()(self.serve(data))


class CommandTest(_CutTest):
    """Commands that read pages of daemons or send a request."""

    def send(self, address):
        tester = CommandTester(SendCommand())
        status = tester.execute(f"/v1/x --to {address}")
        return status, tester.io.fetch_output().strip()

    @parameterized.expand(whole_rows("page"))
    def test_a_whole_page(self, _, place, data):
        address = str(self.serve(data))
        self.assertEqual(Pages([address]).read(address, "x").content, {"output": 1})

    @parameterized.expand(rows("page"))
    def test_a_cut_page_is_a_failure(self, _, place, data, ending):
        """Guards against a command that ends with a traceback or an empty page."""
        address = str(self.serve(data, ending))
        pages, failures = Pages([address]).read_all("x")
        self.assertEqual((pages, len(failures)), ([], 1))

    @parameterized.expand(
        [
            ("head", b"HTTP/1.1 404 Not Found\r\n"),
            ("field", b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n"),
        ]
    )
    def test_a_page_is_missing_only_behind_a_whole_head(self, _, data):
        """Guards against a cut head that says that a daemon has no such page."""
        address = str(self.serve(data))
        with self.assertRaises(DaemonUnreachableError):
            Pages([address]).read(address, "x")

    @parameterized.expand([*ODD_HEADS, *ODD_FRAMINGS])
    def test_a_page_behind_an_odd_head_is_a_failure(self, _, data):
        """Guards against a page behind bytes that are no answer."""
        pages, failures = Pages([str(self.serve(data))]).read_all("x")
        self.assertEqual((pages, len(failures)), ([], 1))

    @parameterized.expand(whole_rows("send"))
    def test_a_whole_response(self, _, place, data):
        self.assertEqual(self.send(self.serve(data)), (0, BODY.decode()))

    @parameterized.expand(rows("send"))
    def test_a_cut_response_is_no_success(self, _, place, data, ending):
        """Guards against a request that seems to have succeeded without a body."""
        self.assertEqual(self.send(self.serve(data, ending)), (EXIT_UNREACHABLE, ""))

    @parameterized.expand([*ODD_HEADS, *ODD_FRAMINGS])
    def test_an_odd_head_is_no_success(self, _, data):
        """Guards against output behind bytes that are no answer."""
        self.assertEqual(self.send(self.serve(data)), (EXIT_UNREACHABLE, ""))
