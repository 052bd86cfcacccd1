"""Odd values from outside, at each place of the own interface that reads bytes."""

import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.ini import parse_count, parse_duration
from tests._fakes import FakeFleet
from tests._paused import advance

LONG = "9" * 5_000


class FleetTest(unittest.TestCase):
    """Three daemons that follow the platform."""

    def setUp(self):
        self.fleet = FakeFleet()
        self.addCleanup(self.fleet.close)
        self.daemon = self.fleet.daemons["a1"]
        for daemon in self.fleet.daemons.values():
            daemon.logger = mock.Mock()
        self.fleet.start()

    def check_peers(self):
        """Check that all daemons know each other and no loop has ended."""
        for daemon in self.fleet.daemons.values():
            alive = [name for name in daemon.peers.by_id if daemon.peers.is_alive(name)]
            self.assertEqual(len(alive), 2)
            daemon.logger.exception.assert_not_called()

    @parameterized.expand(
        [
            ("revision", b"[declaration]\nname = x\nrevision = " + b"9" * 400),
            ("long_revision", b"[declaration]\nrevision = " + LONG.encode()),
            ("superscript", "[declaration]\nrevision = \u00b2".encode()),
            ("no_text", b"\xff\xfe[declaration]\xff"),
            ("nul", b"\0"),
            ("no_section", b"revision = 5"),
            ("sections", b"[" * 2_000),
            ("twice", b"[declaration]\nrevision = 5\n[declaration]\nrevision = 6"),
            ("lines", "[declaration]\nrevision = 5\u2028\x85\x0b\x0c6\nodd".encode()),
            (
                "port",
                b"[declaration]\nrevision = 5\n[target x]\naddress = 10.0.0.1:65536",
            ),
            ("empty", b""),
        ]
    )
    def test_a_declaration_that_can_not_be_used(self, _, payload):
        """Guards against daemons that don't follow the declaration behind it."""
        for _ in range(6):
            self.fleet.config.payload = payload
            advance(0.3)
        self.assertEqual(self.fleet.revisions(), [1, 1, 1])
        self.fleet.publish(7)
        advance(1.0)
        self.assertEqual(self.fleet.revisions(), [7, 7, 7])
        self.check_peers()


class NumberTest(unittest.TestCase):
    """Numbers in declarations and settings of the daemon."""

    @parameterized.expand(
        ["9" * 400 + "h", "1e3s", "-1s", "nans", "\u0665s", "1_0s", "", "s", "2e9h"]
    )
    def test_durations_that_no_one_can_wait_for(self, text):
        """Guards against timers that overflow."""
        with self.assertRaises(ValueError):
            parse_duration(text)

    @parameterized.expand(
        ["0", "-1", "+5", "1_0", "\u00b2", "\u0665", "9" * 400, LONG, "1e3", ""]
    )
    def test_counts_that_no_message_can_carry(self, text):
        """Guards against heartbeats that can't be sent."""
        with self.assertRaises(ValueError):
            parse_count(text)
