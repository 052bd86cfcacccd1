"""Requests of two urgencies that compete for the same queues."""

import unittest
from math import ceil

from parameterized import parameterized

from bergamotsaddle_serving.decisions.room_counts import RoomTotals
from bergamotsaddle_serving.decisions.urgent_room import (
    MIN_PATIENCE,
    patience,
    pressure,
)
from bergamotsaddle_serving.heartbeat_schedule import fan_out
from bergamotsaddle_serving.peer_messages import Demand
from bergamotsaddle_serving.peers import HEARTBEAT_INTERVAL_S
from bergamotsaddle_serving.policy import Mechanism, Policy
from bergamotsaddle_serving.stage_load import PLACES, place, urgency_of
from tests._paused import advance, use_paused_clock
from tests._short_room import RequestKind, ShortFleet

HINT = RequestKind(urgency=1, objective=1.5, patience=12.0)
HELP = RequestKind(urgency=2, objective=3.0, patience=8.0)
# Callers count a loss where more urgent requests are served less often by more, or on
# time less often by more.
MAX_GAP = 0.05
MAX_GAP_ON_TIME = 0.15
WITHOUT_URGENT_ROOM = Policy(frozenset({Mechanism.URGENT_ROOM}))
BURST_S = 10
REST_S = 14


def total(arrived, missed):
    """Return the totals of one report."""
    return RoomTotals([Demand("s", arrived, missed)])


def make_burst(fleet, *, seconds=BURST_S):
    """Send more than the second stage can serve, as much of each kind."""
    fleet.send("hint", HINT, 55, seconds)
    fleet.send("help", HELP, 60, seconds)


class PressureTest(unittest.TestCase):
    """How far requests of urgency 2 make room."""

    @parameterized.expand(
        [
            ("nothing_known", [], [], 0.0),
            ("nobody_missed", [50, 50, 50], [], 0.0),
            ("urgent_missed", [50, 50, 50], [0, 20], 1.0),
            ("all_missed_alike", [50, 50, 50], [20, 20, 20], 0.0),
            ("less_urgent_missed", [50, 50, 50], [0, 0, 20], 0.0),
            ("within_the_tolerance", [0, 100, 100], [0, 2], 0.0),
            ("halfway", [0, 1000, 1000], [0, 45], 0.5),
            ("few_requests", [0, 3, 50], [0, 3], 0.0),
            ("more_missed_than_arrived", [0, 10, 50], [0, 30, 0], 1.0),
        ]
    )
    def test_pressure(self, _, arrived, missed, expected):
        self.assertAlmostEqual(pressure(total(arrived, missed), 2), expected)

    def test_the_most_urgent_never_make_room(self):
        self.assertEqual(pressure(total([50, 50], [0, 50]), 0), 0.0)

    def test_less_urgent_requests_may_always_wait_a_little(self):
        """Guards against a less urgent kind that is starved by the pressure."""
        self.assertEqual(patience(1.0), MIN_PATIENCE)
        self.assertEqual(patience(0.0), 1.0)


class PlaceTest(unittest.TestCase):
    """Places of started requests, with and without the less urgent ones."""

    def test_places_differ_and_name_their_urgency(self):
        places = [place(n, has_started=True, by_urgency=True) for n in range(6)]
        places += [place(n, has_started=False) for n in range(6)]
        self.assertEqual(sorted(places), list(range(PLACES)))
        self.assertEqual([urgency_of(p) for p in places], [*range(6), *range(6)])


class UrgentRoomTest(unittest.TestCase):
    """A burst of two kinds, of which the less urgent one has the looser objective."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def check(self, fleet):
        """Check that more urgent callers are served as often, and nobody starves."""
        hint, help_ = (fleet.outcome_by_name[n] for n in ("hint", "help"))
        self.assertGreaterEqual(hint.served_fraction, help_.served_fraction - MAX_GAP)
        on_time = help_.on_time_fraction - MAX_GAP_ON_TIME
        self.assertGreaterEqual(hint.on_time_fraction, on_time)
        share = help_.served_fraction / max(0.01, hint.served_fraction)
        self.assertGreater(share, 0.25)

    def run_burst(self, fleet):
        """Run a burst to the end of its last caller."""
        make_burst(fleet)
        for _ in range(BURST_S + REST_S):
            advance(1.0)

    @parameterized.expand([("ordered", True), ("by_arrival", False)])
    def test_urgent_requests_are_served_as_often(self, _, is_ordered):
        """Guards against a less urgent kind that fills the queues of a more urgent one.

        Its looser objective lets it wait for longer, so it was admitted when the queues
        were already too long for the more urgent kind.
        """
        fleet = ShortFleet(7, is_ordered=is_ordered)
        self.run_burst(fleet)
        self.check(fleet)

    @parameterized.expand([(7,), (66,), (195,), (350,)])
    def test_fleets_of_any_size(self, size):
        """Guards against counts that are too old to help in a large fleet."""
        rounds = max(1, ceil(size / fan_out(size)))
        fleet = ShortFleet(size, report_every=rounds * HEARTBEAT_INTERVAL_S)
        self.run_burst(fleet)
        self.check(fleet)

    def test_the_load_is_unfair_without_the_mechanism(self):
        """Shows that the load of these tests is one that needs it."""
        fleet = ShortFleet(7, policy=WITHOUT_URGENT_ROOM)
        self.run_burst(fleet)
        hint, help_ = (fleet.outcome_by_name[n] for n in ("hint", "help"))
        on_time = help_.on_time_fraction - MAX_GAP_ON_TIME
        self.assertLess(hint.on_time_fraction, on_time)

    def test_room_is_given_back_when_the_pressure_ends(self):
        """Guards against a less urgent kind that stays rejected after a burst."""
        fleet = ShortFleet(7, is_ordered=False)
        make_burst(fleet)
        for _ in range(BURST_S + 4):
            advance(1.0)
        fleet.send("later", HELP, 60, 5)
        for _ in range(10):
            advance(1.0)
        later = fleet.outcome_by_name["later"]
        self.assertGreaterEqual(later.on_time / later.sent, 0.95)

    def test_the_owner_ends_midway(self):
        """Guards against an order that is lost with the owner of a queue."""
        fleet = ShortFleet(7)
        make_burst(fleet)
        advance(5.0)
        fleet.lose_owner()
        for _ in range(BURST_S + REST_S - 5):
            advance(1.0)
        self.check(fleet)

    def test_all_instances_restart_midway(self):
        """Guards against an unfair order after a loss of power."""
        fleet = ShortFleet(7, is_ordered=False)
        make_burst(fleet)
        advance(5.0)
        fleet.restart_all()
        for _ in range(BURST_S + REST_S - 5):
            advance(1.0)
        self.check(fleet)
