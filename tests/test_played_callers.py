"""Callers of the plays of leaning balancers and of silences."""

import unittest
from itertools import count
from types import SimpleNamespace
from unittest import mock

from bergamotsaddle_standins import leaning, silence
from bergamotsaddle_standins.leaning import LeaningBalancer
from bergamotsaddle_standins.silence import SilentDeployment
from bergamotsaddle_standins.soak_callers import ReceivedResponse

RESPONSE = ReceivedResponse(200, True, b"")


class PlayedCallersTest(unittest.TestCase):
    """What they ask of a connection, which has a fixed signature here."""

    def use_socket(self, module):
        """Have a module use a connection on which a response arrives."""
        patch = mock.patch.object(module, "CallerSocket", autospec=True)
        made = patch.start()
        self.addCleanup(patch.stop)
        made.return_value.read.return_value = RESPONSE
        return made.return_value

    def test_a_leaning_balancer_reads_the_response_to_its_request(self):
        """Guards against a play that ends at its first request."""
        connection = self.use_socket(leaning)
        play = SimpleNamespace(
            _numbers=count(1),
            _ledger=SimpleNamespace(events_by_request={}),
            _prefix="/lookup/",
        )
        found = LeaningBalancer._attempt(play, "127.0.0.1")
        self.assertEqual(found, (200, True))
        self.assertEqual(connection.read.call_args.args[0], "l1")

    def test_a_silence_is_read_by_the_request_that_meets_it(self):
        """Guards against a play that ends at its first request."""
        connection = self.use_socket(silence)
        play = SimpleNamespace(
            _numbers=count(1),
            _ledger=SimpleNamespace(events_by_request={}),
            _instances=[SimpleNamespace(host="127.0.0.1")],
            _describe_end=lambda exchange, last: exchange.status,
        )
        received = SilentDeployment._call(play, 3)
        self.assertEqual(received[0], 200)
        self.assertEqual(connection.read.call_args.args[0], "s3-1")


if __name__ == "__main__":
    unittest.main()
