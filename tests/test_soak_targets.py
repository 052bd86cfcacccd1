"""Targets of a soak, and the links on which instances reach them."""

import random
import unittest

import eventlet
from eventlet.patcher import original
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.soak_dialect import LOOKUPS, RERANK
from bergamotsaddle_standins.soak_links import CutMode, TargetLink, cut_links
from bergamotsaddle_standins.soak_targets import Ledger, RunningTarget
from tests._paused import use_paused_clock, use_running_clock

blocking_socket = original("socket")
setUpModule = use_running_clock
tearDownModule = use_paused_clock

HELD_S = 0.6
SOON_S = 0.3
POLL_S = 0.01
LIMIT_S = 5.0
LINKS = 40
MAX_PASSES = 5
HEAD = (
    b"POST /%s HTTP/1.1\r\nHost: h\r\nTarget: t1\r\nInstance: i0\r\n%s"
    b"Content-Length: 2\r\n\r\n[]"
)
REQUEST = HEAD % (b"look/r", b"Id: r\r\nSent-At: 1.0\r\n")
CALL = HEAD % (b"pieces", b"")


class HeldLinkTest(unittest.TestCase):
    """Requests that a link holds back on their way to a target."""

    def make_target(self, service):
        """Return a target, and the instance's connection to it."""
        self.ledger = Ledger()
        target = RunningTarget(
            "t1", service, "a", self.ledger, random.Random(1), ["i0"]
        )
        self.link = target.link_by_instance["i0"]
        connection = eventlet.connect(("127.0.0.1", self.link.port))
        self.addCleanup(connection.close)
        return target, connection

    def send_through_held_link(self, connection, data, *, leaves=False):
        """Send data while the link is held, and return when it was sent."""
        self.link.pause()
        sent_at = now()
        connection.sendall(data)
        eventlet.sleep(HELD_S)
        if leaves:
            connection.close()
        self.link.resume()
        self.wait_for_arrivals(1)
        return sent_at

    def wait_for_arrivals(self, count):
        """Wait until some requests have reached the target and are recorded."""
        with eventlet.Timeout(LIMIT_S):
            while len(self.ledger.arrivals) < count:
                eventlet.sleep(POLL_S)
        eventlet.sleep(POLL_S)

    @parameterized.expand([("request", LOOKUPS, REQUEST), ("call", RERANK, CALL)])
    def test_what_a_link_held_back_counts_when_it_was_sent(self, _, service, data):
        """Guards against requests that count as late since their link was cut."""
        _, connection = self.make_target(service)
        sent_at = self.send_through_held_link(connection, data)
        uses = [*self.ledger.runs_by_request["r"], *self.ledger.stage_calls]
        times = [use.at for use in (*uses, *self.ledger.arrivals)]
        self.assertEqual(len(times), 2)
        for at in times:
            self.assertAlmostEqual(at, sent_at, delta=SOON_S)

    @parameterized.expand([("request", LOOKUPS, REQUEST), ("call", RERANK, CALL)])
    def test_the_next_one_counts_when_it_arrives(self, _, service, data):
        """Guards against late requests that an earlier one excuses."""
        _, connection = self.make_target(service)
        self.send_through_held_link(connection, data)
        connection.recv(65_536)
        sent_at = now()
        connection.sendall(data)
        self.wait_for_arrivals(2)
        self.assertAlmostEqual(self.ledger.arrivals[-1].at, sent_at, delta=SOON_S)

    @parameterized.expand([("waits", False, 1), ("has_left", True, 0)])
    def test_only_instances_that_wait_are_told(self, _, leaves, told):
        """Guards against wishes that bind an instance which never heard them."""
        target, connection = self.make_target(LOOKUPS)
        target.is_resting = target.is_leaving = True
        sent_at = self.send_through_held_link(connection, REQUEST, leaves=leaves)
        self.assertAlmostEqual(self.ledger.arrivals[0].at, sent_at, delta=SOON_S)
        self.assertEqual(len(self.ledger.rests), told)
        self.assertEqual(len(self.ledger.told_leaving["i0", "t1"]), told)

    def test_what_a_cut_finds_in_the_backlog_counts_when_it_was_sent(self):
        """Guards against requests that count as late since a link was busy."""
        self.make_target(LOOKUPS)
        connection = blocking_socket.create_connection(("127.0.0.1", self.link.port))
        self.addCleanup(connection.close)
        connection.sendall(REQUEST)
        sent_at = now()
        self.link.cut(CutMode.HANG)
        eventlet.sleep(HELD_S)
        self.link.heal()
        self.wait_for_arrivals(1)
        self.assertAlmostEqual(self.ledger.arrivals[0].at, sent_at, delta=SOON_S)


class CutLinksTest(unittest.TestCase):
    """Links that are cut while other green threads keep the process busy."""

    @parameterized.expand([(mode,) for mode in CutMode])
    def test_links_are_cut_at_the_same_time(self, mode):
        """Guards against requests that the late part of a cut breaks."""
        links = [TargetLink(1) for _ in range(LINKS)]
        eventlet.sleep(0)
        passes = 0

        def count_passes():
            nonlocal passes
            while True:
                passes += 1
                eventlet.sleep(0)

        counter = eventlet.spawn(count_passes)
        cut_links(links, mode)
        counter.kill()
        for link in links:
            link.heal()
        self.assertLess(passes, MAX_PASSES)


if __name__ == "__main__":
    unittest.main()
