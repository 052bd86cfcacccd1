"""Expected times of stages while no instance owns their queues."""

import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_serving.admission import Forecast, admits
from bergamotsaddle_serving.stage_waits import StageWaits
from tests._stages import FOUR_PER_CALL

SETTLE_S = 0.5
OBJECTIVE_S = 2.4
REMAINING_S = 6.0


def expected_seconds(settle_wait):
    """Return the expected seconds of a stage whose queue has no owner."""
    service = mock.Mock(batching=FOUR_PER_CALL)
    view = mock.Mock()
    view.usable.return_value = [mock.Mock(target=mock.Mock(zone="a"))]
    view.configuration.services_by_name = {"encode": service}
    peers = mock.Mock()
    peers.owners.return_value = []
    owner = mock.Mock()
    owner.scopes.of.return_value = "a"
    waits = StageWaits(view, peers, owner, settle_wait=lambda: settle_wait)
    load = waits.best_scope("encode", "a", 0).load
    return load.drain + load.call


class SettlingTest(unittest.TestCase):
    """The first half second after all instances have restarted."""

    @parameterized.expand([("settling", SETTLE_S, True), ("settled", 0.0, False)])
    def test_requests_are_admitted_if_they_can_wait_for_an_owner(
        self, _, settle_wait, is_admitted
    ):
        """Guards against a restart that rejects all callers who return to it."""
        seconds = expected_seconds(settle_wait)
        forecast = Forecast(seconds, 0.2, OBJECTIVE_S, REMAINING_S)
        self.assertEqual(admits(forecast, 0.0), is_admitted)
