"""Permits that instances ask each other for."""

import unittest
from itertools import count
from types import SimpleNamespace

import eventlet

from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.hedge_exchange import HedgeExchange
from bergamotsaddle_serving.rate_exchange import RateExchange
from bergamotsaddle_serving.shared_rate import RateOwner
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests._paused import advance, use_paused_clock


class RestartTest(unittest.TestCase):
    """An instance that asks another one for permits, and is started again."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        fleet = PeerFleet(2)
        self.asker, owner = fleet
        self.owner_id = owner.own.id
        waits = count(1)
        # Each answer of the owner differs from those before it.
        RateExchange(owner, SimpleNamespace(request_permit=lambda *_: next(waits)))
        fleet.start(within=0.3)
        advance(2.0)

    def start(self):
        """Return the exchange of a new process at the asker's address."""
        return RateExchange(self.asker, RateOwner(lambda: 1.0))

    def find_key(self, exchange):
        """Return a key whose permits the other instance has."""
        keys = (f"key {number}" for number in range(100))
        return next(k for k in keys if exchange._owner_of(k, "") == self.owner_id)

    def request(self, exchange, key):
        """Return what the owner answers."""
        outcome = []
        eventlet.spawn_n(
            lambda: outcome.append(exchange.request_permit(key, "", 1.0, 0))
        )
        advance(0.3)
        return outcome[0]

    def test_an_answer_to_the_process_before_is_not_given_again(self):
        """Guards against trials of fatal requests that no owner has permitted."""
        before = self.start()
        key = self.find_key(before)
        self.assertEqual([self.request(before, key) for _ in range(3)], [1, 2, 3])
        after = self.start()
        self.assertEqual([self.request(after, key) for _ in range(3)], [4, 5, 6])

    def test_no_exchange_begins_with_the_number_of_another_one(self):
        """Guards against responses to another process that are taken for own ones."""
        pool = HedgePool(0.1)
        exchanges = [
            HedgeExchange(self.asker, pool),
            HedgeExchange(self.asker, pool),
            self.start(),
            self.start(),
        ]
        numbers = {next(exchange._numbers) for exchange in exchanges}
        self.assertEqual(len(numbers), 4)
