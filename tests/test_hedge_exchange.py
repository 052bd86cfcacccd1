"""Hedges that instances ask the owner of their pool for."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_serving import hedge_exchange
from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.hedge_exchange import HedgeExchange
from bergamotsaddle_serving.peer_messages import decode, encode
from tests._paused import advance, use_paused_clock

SHARE = 0.5
TIMEOUT_S = 0.04


class Links:
    """Carries datagrams between instances, unless they are lost.

    Attributes:
        lost: Names of instances that receive nothing.
        owner: Name of the instance that owns all pools.
        verified: Names of instances that others had verified.
    """

    def __init__(self, names):
        self.lost = set()
        self.owner = names[0]
        self.verified = []
        self._handlers_by_name = {name: {} for name in names}

    def peers_of(self, name):
        """Return the peers as one instance knows them."""
        handlers = self._handlers_by_name[name]
        return mock.Mock(
            own=mock.Mock(id=name),
            set_handler=handlers.__setitem__,
            send=lambda to, message: self._deliver(name, to, message),
            send_to=lambda to, message: self._deliver(name, to, message),
            verify=self.verified.append,
        )

    def _deliver(self, sender, receiver, message):
        if receiver not in self.lost:
            handler = self._handlers_by_name[receiver][type(message)]
            eventlet.spawn(handler, decode(encode(message)), sender)


class HedgeExchangeTest(unittest.TestCase):
    """Two instances, one of which owns the pool."""

    def setUp(self):
        use_paused_clock()
        self.links = Links(["a", "b"])
        self.exchange_by_name = {}
        for name in ("a", "b"):
            peers = self.links.peers_of(name)
            exchange = HedgeExchange(peers, HedgePool(SHARE))
            self.exchange_by_name[name] = exchange
        patched = mock.patch.object(
            hedge_exchange, "rank_owners", lambda *_: [self.links.owner]
        )
        patched.start()
        self.addCleanup(patched.stop)

    def ask(self, name, *, requests):
        """Return whether an instance gets a hedge after further requests."""
        exchange = self.exchange_by_name[name]
        for _ in range(requests):
            exchange.count_request("s")
        granted = []
        eventlet.spawn(lambda: granted.append(exchange.request("s")))
        advance(2 * TIMEOUT_S)
        return granted[0]

    @parameterized.expand([("owner", "a"), ("other", "b")])
    def test_both_get_what_they_have_earned(self, _, name):
        self.assertFalse(self.ask(name, requests=1))
        self.assertTrue(self.ask(name, requests=1))
        self.assertFalse(self.ask(name, requests=0))

    def test_one_uses_what_the_other_has_earned(self):
        self.assertFalse(self.ask("a", requests=1))
        self.assertTrue(self.ask("b", requests=1))

    def test_the_owner_hears_of_those_that_want_no_hedge(self):
        """Guards against hedges that only those who are late can make known."""
        exchange = self.exchange_by_name["b"]
        for _ in range(3):
            exchange.count_request("s")
            advance(10.0)
        self.assertTrue(self.ask("a", requests=0))

    def test_an_owner_that_is_killed(self):
        """Guards against late requests that wait for an owner that is gone."""
        self.links.lost.add("a")
        self.assertFalse(self.ask("b", requests=2))
        self.assertEqual(self.links.verified, ["a"])
        self.links.owner = "b"
        self.assertFalse(self.ask("b", requests=0))
        self.assertTrue(self.ask("b", requests=2))

    def test_a_lost_response_grants_nothing(self):
        """Guards against a hedge that is used twice because its grant was lost."""
        self.links.lost.add("b")
        self.assertFalse(self.ask("b", requests=2))
        self.links.lost.clear()
        self.assertFalse(self.ask("b", requests=0))

    def test_a_zone_that_is_cut_off_has_a_pool_of_its_own(self):
        """Guards against hedges beyond the share on both sides of a cut."""
        self.assertTrue(self.ask("a", requests=2))
        self.links.owner = "b"
        self.assertFalse(self.ask("b", requests=1))
        self.assertTrue(self.ask("b", requests=1))
