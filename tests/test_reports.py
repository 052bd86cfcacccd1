"""Load reports of home targets in heartbeats to peers."""

import unittest

from bergamotsaddle_contracts.messages import TargetReport, sign
from bergamotsaddle_daemon.clock import now
from tests._fakes import FakeFleet
from tests._paused import advance

KEY = b"0123456789abcdef"
MTU = 1472


class ReportTest(unittest.TestCase):
    """Three daemons, each the home of the forty-five targets in its zone."""

    def setUp(self):
        self.fleet = FakeFleet(tuple(f"kind-{n:02}" for n in range(45)))
        self.addCleanup(self.fleet.close)
        self.fleet.start(5.0)
        self.daemon = self.fleet.daemons["a1"]

    def test_successive_heartbeats_report_every_target(self):
        reported = set()
        for _ in range(4):
            reported |= {
                report.target_id for report in self.daemon.reports.heartbeat_reports()
            }
            advance(self.daemon.settings.timing.heartbeat)
        self.assertEqual(len(reported), 45)

    def test_a_heartbeat_fits_one_packet(self):
        reports = self.daemon.reports.heartbeat_reports()
        self.assertEqual(len(reports), 40)
        heartbeat = self.daemon.peers._make_heartbeat(self.daemon.peers.by_id["b1"])
        self.assertLess(len(sign(heartbeat._replace(reports=reports), KEY)), MTU)

    def test_reported_targets_are_warm_for_peers(self):
        targets = self.fleet.daemons["b1"].targets.by_id.values()
        self.assertEqual([t.id for t in targets if t.is_cold()], [])

    def test_older_report_changes_nothing(self):
        target = self.daemon.targets.by_id["kind-00-a"]
        older_report = TargetReport(target.id, True, 9, 0.0)
        target.apply_report(older_report, sent_at=now() - 2.0)
        self.assertFalse(target.is_cold())

    def test_response_of_another_target_is_ignored(self):
        # An address may be reused when instances are replaced. A report from the
        # process that listens there now must not be attributed to this target.
        target = self.daemon.targets.by_id["kind-00-a"]
        self.fleet.target_by_address[target.declared.address].id = "somebody-else"
        advance(4.0)
        self.assertTrue(target.is_cold())
