"""Callers that were rejected, and the times at which they come back."""

import unittest

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.decisions.return_times import (
    ReturnTimes,
    ToldCallers,
    has_time,
)
from bergamotsaddle_serving.policy import Mechanism, Policy
from bergamotsaddle_serving.return_exchange import ReturnExchange, caller_key
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests._paused import advance, use_paused_clock
from tests._short_room import RequestKind, ShortFleet

URGENT = RequestKind(urgency=0, objective=1.5, patience=12.0)
OTHER = RequestKind(urgency=1, objective=1.5, patience=12.0)
# The fraction of those that come when told that are not rejected a second time.
MIN_KEPT = 0.9
BURST_S = 4
REST_S = 16
FLEET_SIZE = 9
WITHOUT_RETURN_TIMES = Policy(frozenset({Mechanism.RETURN_TIMES}))


def tell(times, urgency=1, **changes):
    """Tell a caller when to come back, at time 0."""
    values = {"room_in": 0.2, "served_per_s": 100.0, "remaining": 9.0}
    return times.tell(urgency, 0.0, **(values | changes))


class ReturnTimesTest(unittest.TestCase):
    """Times that one instance tells."""

    def test_callers_are_spread_over_the_room(self):
        """Guards against a rejected burst that returns as another burst."""
        times = ReturnTimes()
        told = [tell(times) for _ in range(200)]
        placed = sorted(t.seconds for t in told if t.has_place)
        self.assertGreaterEqual(placed[0], 0.2)
        gaps = [b - a for a, b in zip(placed, placed[1:], strict=False)]
        self.assertGreater(min(gaps), 0.099)
        self.assertLessEqual(max(t.seconds for t in told), 3.0)
        rest = [t.seconds for t in told if not t.has_place]
        self.assertGreater(max(rest) - min(rest), 1.0)

    def test_the_most_urgent_come_first(self):
        """Guards against urgent callers that come back behind less urgent ones."""
        times = ReturnTimes()
        less = [tell(times, 2).seconds for _ in range(10)]
        urgent = tell(times, 0).seconds
        self.assertLessEqual(urgent, less[0])
        self.assertGreater(tell(times, 2).seconds, max(less))

    def test_less_urgent_ones_come_after_the_places_of_urgent_ones(self):
        times = ReturnTimes()
        urgent = [tell(times, 0).seconds for _ in range(5)]
        self.assertGreater(tell(times, 3).seconds, max(urgent))

    def test_the_longest_waiting_come_first(self):
        times = ReturnTimes()
        told = [tell(times).seconds for _ in range(10)]
        self.assertEqual(told, sorted(told))

    @parameterized.expand(
        [
            ("nothing_is_known", {"served_per_s": 0.0}),
            ("no_time_is_left", {"remaining": 0.0}),
            ("room_comes_too_late", {"room_in": 20.0}),
            ("room_is_there", {"room_in": -1.0}),
        ]
    )
    def test_callers_return_within_their_time(self, _, changes):
        """Guards against a time that a caller does not honour."""
        times = ReturnTimes()
        limit = changes.get("remaining", 9.0) / 3
        told = [tell(times, **changes).seconds for _ in range(50)]
        self.assertTrue(all(0.0 <= seconds <= limit + 1e-9 for seconds in told))

    @parameterized.expand(
        [
            ("room_comes_too_late", {"room_in": 5.0, "remaining": 6.0}, (1.0, 2.0)),
            ("no_time_is_left", {"remaining": 0.0}, (0.0, 0.0)),
            ("the_time_has_passed", {"remaining": -1.0}, (0.0, 0.0)),
        ]
    )
    def test_no_place_without_room(self, _, changes, limits):
        """Guards against a promise for a time at which there is no room."""
        times = ReturnTimes()
        told = [tell(times, **changes) for _ in range(50)]
        self.assertFalse(any(t.has_place for t in told))
        self.assertTrue(all(limits[0] <= t.seconds <= limits[1] for t in told))
        width = max(t.seconds for t in told) - min(t.seconds for t in told)
        self.assertGreaterEqual(width, (limits[1] - limits[0]) / 2)
        self.assertAlmostEqual(tell(times).seconds, 0.2)

    def test_callers_are_spread_by_their_time_if_nothing_is_known(self):
        """Guards against callers that return together after a loss of power."""
        times = ReturnTimes()
        told = [tell(times, served_per_s=0.0) for _ in range(200)]
        self.assertFalse(any(t.has_place for t in told))
        seconds = [t.seconds for t in told]
        self.assertLess(min(seconds), 0.6)
        self.assertGreater(max(seconds), 2.4)

    def test_a_caller_without_time_is_not_admitted(self):
        self.assertFalse(has_time(3.0, 3.0))
        self.assertTrue(has_time(1.0, 3.0))


class ToldCallersTest(unittest.TestCase):
    """What a keeper remembers."""

    @parameterized.expand(
        [("early", 4.0, False), ("in_time", 5.0, True), ("late", 8.0, False)]
    )
    def test_came_when_told(self, _, at, expected):
        callers = ToldCallers()
        callers.add(1, 5.0)
        self.assertEqual(callers.came_when_told(1, at), expected)

    def test_a_place_is_used_once(self):
        """Guards against one place for two tries of a request."""
        callers = ToldCallers()
        callers.add(1, 5.0)
        found = [callers.came_when_told(1, 5.0) for _ in range(2)]
        self.assertEqual(found, [True, False])

    def test_an_early_caller_keeps_its_place(self):
        callers = ToldCallers()
        callers.add(1, 5.0)
        found = [callers.came_when_told(1, at) for at in (3.0, 5.0)]
        self.assertEqual(found, [False, True])

    def test_equal_requests_have_a_place_each(self):
        """Guards against a caller whose place goes to an equal request of another."""
        callers = ToldCallers()
        for due_at in (5.0, 9.0):
            callers.add(1, due_at)
        found = [callers.came_when_told(1, at) for at in (5.0, 5.1, 9.0, 9.1)]
        self.assertEqual(found, [True, False, True, False])
        self.assertEqual(len(callers), 0)

    def test_the_place_of_one_that_never_came_is_dropped(self):
        """Guards against a late caller that takes the place of an equal request."""
        callers = ToldCallers()
        for due_at in (9.0, 5.0):
            callers.add(1, due_at)
        found = [callers.came_when_told(1, at) for at in (8.0, 9.0, 9.1)]
        self.assertEqual(found, [False, True, False])

    @parameterized.expand(
        [("callers", 10_000, 1), ("equal_requests", 1, 10_000), ("both", 1_000, 10)]
    )
    def test_memory_is_bounded(self, _, keys, each):
        """Guards against a storm of rejections that fills the memory."""
        callers = ToldCallers()
        for number in range(keys * each):
            callers.add(number % keys, 5.0)
        self.assertLessEqual(len(callers), 4_096)
        kept = sum(
            callers.came_when_told(key, 5.0) for key in range(keys) for _ in range(each)
        )
        self.assertLessEqual(kept, 8 * keys)
        self.assertGreaterEqual(kept, min(8, each))
        self.assertEqual(len(callers), 0)


class ReturnExchangeTest(unittest.TestCase):
    """Callers that come back to another instance."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.fleet = PeerFleet(FLEET_SIZE)
        self.fleet.start(within=0.3)
        advance(2.0)
        self.peers = list(self.fleet)
        self.exchanges = [ReturnExchange(peers) for peers in self.peers]

    def ask(self, exchange, key):
        """Ask an instance; return its answer and how long it took."""
        answers = []
        since = now()

        def ask():
            answers.append((exchange.came_when_told(key), now() - since))

        eventlet.spawn_n(ask)
        advance(0.2)
        return answers[0]

    def test_another_instance_knows_the_caller(self):
        """Guards against a place that only the instance that told it knows."""
        for key in range(20):
            self.exchanges[key % 3].tell(key, 0.2)
        advance(0.2)
        found = [self.ask(self.exchanges[-1], key) for key in range(5)]
        self.assertTrue(all(is_told for is_told, _ in found))
        self.assertLess(max(seconds for _, seconds in found), 0.04)

    def test_equal_requests_that_come_together(self):
        """Guards against an answer to two equal requests that reaches only one."""
        for seconds in (0.2, 0.25):
            self.exchanges[0].tell(3, seconds)
        advance(0.25)
        asking = next(e for e in self.exchanges if e._keeper(3) != e._peers.own.id)
        answers = []
        for _ in range(3):
            eventlet.spawn_n(lambda: answers.append(asking.came_when_told(3)))
        advance(0.2)
        self.assertEqual(sorted(answers), [False, True, True])

    def test_a_newcomer_is_not_known(self):
        self.assertFalse(self.ask(self.exchanges[0], 77)[0])

    def test_a_keeper_that_was_killed(self):
        """Guards against a caller that waits for an instance that is gone."""
        key = next(
            k for k in range(50) if self.exchanges[0]._keeper(k) == self.peers[5].own.id
        )
        self.exchanges[0].tell(key, 0.1)
        advance(0.1)
        self.fleet.kill(self.peers[5].own.id)
        is_told, seconds = self.ask(self.exchanges[0], key)
        self.assertFalse(is_told)
        self.assertLessEqual(seconds, 0.041)

    def test_a_zone_that_is_cut_off_has_keepers_of_its_own(self):
        """Guards against callers of a zone that is cut off which nobody keeps."""
        self.fleet.partition_zone("a")
        advance(4.0)
        inside = [
            exchange for exchange in self.exchanges if exchange._peers.own.zone == "a"
        ]
        for key in range(16):
            inside[0].tell(key, 0.1)
        advance(0.2)
        self.assertTrue(all(self.ask(inside[-1], key)[0] for key in range(3)))

    def test_a_request_without_a_fingerprint_has_no_key(self):
        self.assertEqual(caller_key(""), 0)
        self.assertEqual(caller_key("00000010ffffffff"), 16)


class ReturningCallersTest(unittest.TestCase):
    """A burst that the stages can't serve, and what follows it."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def run_burst(self, fleet, *, disturb=lambda fleet: None, load=220):
        """Run a burst beside ordinary load; return all outcomes."""
        fleet.send("urgent", URGENT, load / 2, BURST_S)
        fleet.send("other", OTHER, load / 2, BURST_S)
        advance(BURST_S / 2)
        disturb(fleet)
        advance(BURST_S / 2)
        fleet.send("later", OTHER, 60, 6)
        for _ in range(REST_S):
            advance(1.0)
        return fleet.outcome_by_name

    def kept(self, outcomes):
        """Return how many callers had a place, and the fraction that was served."""
        had = sum(outcome.had_place for outcome in outcomes.values())
        lost = sum(outcome.lost_place for outcome in outcomes.values())
        return had, 1.0 - lost / max(1, had)

    @parameterized.expand([(7, 1), (7, 2), (66, 1), (195, 1), (350, 1)])
    def test_callers_that_come_when_told_are_served(self, size, seed):
        """Guards against a second rejection of callers that came when told."""
        had, kept = self.kept(self.run_burst(ShortFleet(size, seed=seed)))
        self.assertGreater(had, 10)
        self.assertGreaterEqual(kept, MIN_KEPT)

    def test_callers_that_come_when_told_in_a_lasting_overload(self):
        """Guards against places that are told but can't be kept."""
        fleet = ShortFleet(7)
        fleet.send("urgent", URGENT, 60, 14)
        fleet.send("other", OTHER, 90, 14)
        for _ in range(30):
            advance(1.0)
        had, kept = self.kept(fleet.outcome_by_name)
        self.assertGreater(had, 50)
        self.assertGreaterEqual(kept, MIN_KEPT)

    def test_newcomers_keep_most_of_the_room_in_a_lasting_overload(self):
        """Guards against an overload in which everyone waits and is late."""
        served = {}
        for name, policy in (("off", WITHOUT_RETURN_TIMES), ("on", Policy())):
            use_paused_clock()
            fleet = ShortFleet(7, policy=policy)
            fleet.send("one", OTHER, 130, 14)
            for _ in range(30):
                advance(1.0)
            served[name] = fleet.outcome_by_name["one"].on_time
        self.assertGreaterEqual(served["on"], 0.85 * served["off"])

    @parameterized.expand(
        [
            ("owner_ends", lambda fleet: fleet.lose_owner()),
            ("all_restart", lambda fleet: fleet.restart_all()),
        ]
    )
    def test_a_failure_midway(self, _, disturb):
        """Guards against callers that find no way back after a failure."""
        outcomes = self.run_burst(ShortFleet(7), disturb=disturb)
        later = outcomes["later"]
        self.assertGreaterEqual(later.served_fraction, 0.95)
        sent = sum(outcome.sent for outcome in outcomes.values())
        served = sum(outcome.served for outcome in outcomes.values())
        self.assertGreaterEqual(served / sent, 0.75)
