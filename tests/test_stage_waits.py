"""Tests for the expected waits at stage queues, which are known for some moments."""

import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_serving.stage_load import StageLoad
from bergamotsaddle_serving.stage_waits import StageWaits
from tests._paused import advance, use_paused_clock

PLACE = 1
SHORT = StageLoad(0.1, 0.2, 10.0)
LONG = StageLoad(5.0, 0.2, 10.0)
AFTER_CACHE_S = 0.011


def known_in(zone):
    """Return a known target in a zone."""
    return mock.Mock(target=mock.Mock(zone=zone))


class KnownLoadsTest(unittest.TestCase):
    """An instance that knows a queue in zone a and another one in zone b."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.view = mock.Mock()
        self.view.usable.return_value = [known_in("a"), known_in("b")]
        owner = mock.Mock()
        owner.scopes.of.side_effect = lambda service, zone: zone
        self.waits = StageWaits(self.view, mock.Mock(), owner)
        self.load_by_scope = {"a": SHORT, "b": SHORT}
        self.queries = 0
        self.waits._query_load = self._query_load

    def _query_load(self, service, scope, place):
        self.queries += 1
        return self.load_by_scope.get(scope)

    def best(self, zone="a"):
        """Return the queue that is best for a zone."""
        return self.waits.best_scope("encode", zone, PLACE).scope

    def let_time_pass(self):
        """Wait for longer than loads are known."""
        advance(AFTER_CACHE_S)

    def admit(self):
        """Admit a request of this instance."""
        self.waits.pending.add("encode", "a", 0, 1)

    def list_again(self):
        """List the targets again."""
        self.view.usable.return_value = list(self.view.usable.return_value)

    def test_loads_are_asked_once_for_all_zones_of_a_request(self):
        """Guards against a walk over all targets for each zone and stage."""
        for _ in range(3):
            for zone in ("a", "b", "c"):
                self.best(zone)
        self.assertEqual(self.queries, len(self.load_by_scope))

    @parameterized.expand([("let_time_pass",), ("admit",), ("list_again",)])
    def test_known_loads_are_dropped_with_each_of_their_inputs(self, change):
        """Guards against decisions by loads of an earlier moment."""
        self.assertEqual(self.best(), "a")
        self.load_by_scope["a"] = LONG
        getattr(self, change)()
        self.assertEqual(self.best(), "b")
        self.assertEqual(self.best("b"), "b")

    def test_a_queue_whose_owner_is_gone_is_left_out(self):
        self.assertEqual(self.best(), "a")
        del self.load_by_scope["a"]
        self.admit()
        self.assertEqual(self.best(), "b")


if __name__ == "__main__":
    unittest.main()
