"""Reports of home targets on their way to peers."""

import unittest

from bergamotsaddle_contracts.messages import TargetReport, seal
from bergamotsaddle_daemon.clock import now
from tests._fakes import FakeFleet
from tests._paused import advance

KEY = b"0123456789abcdef"
MTU = 1472


class ReportTest(unittest.TestCase):
    """Three daemons, each home to forty-five targets of its zone."""

    def setUp(self):
        self.fleet = FakeFleet(tuple(f"kind-{n:02}" for n in range(45)))
        self.addCleanup(self.fleet.close)
        self.fleet.start(5.0)
        self.daemon = self.fleet.daemons["a1"]

    def test_all_are_told_in_turn(self):
        told = set()
        for _ in range(4):
            told |= {
                report.target_id for report in self.daemon.reports.heartbeat_reports()
            }
            advance(self.daemon.settings.timing.heartbeat)
        self.assertEqual(len(told), 45)

    def test_a_heartbeat_fits_one_packet(self):
        reports = self.daemon.reports.heartbeat_reports()
        self.assertEqual(len(reports), 40)
        beat = self.daemon.peers._make_heartbeat(self.daemon.peers.by_id["b1"])
        self.assertLess(len(seal(beat._replace(reports=reports), KEY)), MTU)

    def test_peers_take_them_all_for_warm(self):
        targets = self.fleet.daemons["b1"].targets.by_id.values()
        self.assertEqual([t.id for t in targets if t.is_cold()], [])

    def test_older_report_changes_nothing(self):
        target = self.daemon.targets.by_id["kind-00-a"]
        late = TargetReport(target.id, True, 9, 0.0)
        target.apply_report(late, sent_at=now() - 2.0)
        self.assertFalse(target.is_cold())

    def test_answer_of_another_target_is_ignored(self):
        # Addresses change hands when instances are replaced; a report from whoever
        # listens there now must not pass for this target's.
        target = self.daemon.targets.by_id["kind-00-a"]
        self.fleet.target_by_address[target.declared.address].id = "somebody-else"
        advance(4.0)
        self.assertTrue(target.is_cold())
