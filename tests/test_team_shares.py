"""A team that sends many times as much as the others, while room is short."""

import unittest
from collections import Counter
from math import inf

from parameterized import parameterized

from bergamotsaddle_serving.catalog import CallerLimits, Configuration, Team
from bergamotsaddle_serving.decisions.room_counts import (
    WINDOW_S,
    RoomCounts,
    RoomTotals,
    team_key,
)
from bergamotsaddle_serving.decisions.stage_queue import (
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from bergamotsaddle_serving.decisions.team_shares import (
    TeamTurns,
    fair_level,
    is_over_share,
)
from bergamotsaddle_serving.peer_messages import Demand
from bergamotsaddle_serving.policy import Mechanism, Policy
from tests._paused import advance, use_paused_clock
from tests._short_room import RequestKind, ShortFleet
from tests._stages import FOUR_PER_CALL

KIND = RequestKind(urgency=1, objective=1.5, patience=12.0)
SMALL_TEAMS = 15
SMALL_PER_S = 4
# Ten times as much as each of the small teams; all together 1.0 of the room, with a
# second team like it 1.4.
LARGE_PER_S = 10 * SMALL_PER_S
# The fraction of what it would have alone that each small team gets at least.
MIN_SHARE_OF_ALONE = 0.8
BURST_S = 10
REST_S = 14
WITHOUT_SHARES = Policy(frozenset({Mechanism.TEAM_SHARES}))


def equal(key):
    """Return the share of a team."""
    return 1.0


def totals(arrived, missed, **requests):
    """Return totals with the requests of teams."""
    teams = {team_key(name): count for name, count in requests.items()}
    return RoomTotals([Demand("s", [arrived], [missed], teams)])


class FairLevelTest(unittest.TestCase):
    """Which teams have sent more than their share."""

    def over(self, found, share=equal):
        level = fair_level(found, share)
        names = ("big", "a", "b")
        return [n for n in names if is_over_share(found, 0, team_key(n), level, share)]

    @parameterized.expand(
        [
            ("room_for_all", 100, 0, {"big": 80, "a": 10, "b": 10}, []),
            ("one_sends_most", 100, 40, {"big": 80, "a": 10, "b": 10}, ["big"]),
            ("all_alike", 90, 45, {"big": 30, "a": 30, "b": 30}, ["big", "a", "b"]),
            ("two_send_most", 100, 40, {"big": 48, "a": 48, "b": 4}, ["big", "a"]),
            ("no_team_known", 100, 40, {}, []),
        ]
    )
    def test_over_share(self, _, arrived, missed, requests, expected):
        self.assertEqual(self.over(totals(arrived, missed, **requests)), expected)

    def test_shares_of_the_configuration_count(self):
        found = totals(100, 30, big=50, a=30, b=20)
        self.assertIn("big", self.over(found))
        shares = {team_key("big"): 10.0}
        self.assertNotIn("big", self.over(found, lambda k: shares.get(k, 1.0)))

    def test_a_large_team_makes_no_room_for_less_urgent_requests(self):
        """Guards against urgent requests that are rejected for less urgent ones."""
        teams = {team_key("big"): 80, team_key("a"): 20}
        found = RoomTotals([Demand("s", [50, 50], [0, 25], teams)])
        level = fair_level(found, equal)
        key = team_key("big")
        over = [is_over_share(found, n, key, level, equal) for n in (0, 1)]
        self.assertEqual(over, [False, True])

    def test_a_share_of_zero(self):
        """Guards against a division by a share of 0."""
        found = totals(100, 40, big=80, a=10, b=10)
        self.assertEqual(fair_level(totals(0, 0), lambda key: 0.0), inf)
        self.assertIn("big", self.over(found, lambda key: 0.0))

    def test_a_configuration_names_the_shares(self):
        teams = [(Team("a"), ()), (Team("b", share=3.0), ())]
        configuration = Configuration(1, [], [], teams, CallerLimits())
        self.assertEqual(configuration.share_by_team, {"a": 1.0, "b": 3.0})


class RoomCountsTest(unittest.TestCase):
    """Counts of recent requests at one instance."""

    def test_counts_age_out(self):
        """Guards against a burst that still counts after it has ended."""
        counts = RoomCounts()
        counts.record_arrival(1, "a", 10.0)
        counts.record_missed(1, 10.0)
        report = counts.report("s", 10.1, names_teams=True)
        expected = Demand("s", [0, 1], [0, 1], {team_key("a"): 1})
        self.assertEqual(report, expected)
        self.assertTrue(counts.is_empty(10.5 + WINDOW_S))

    def test_a_report_is_bounded(self):
        """Guards against heartbeats that grow with the number of teams."""
        counts = RoomCounts()
        for number in range(2_000):
            counts.record_arrival(number, f"team {number}", 1.0)
        report = counts.report("s", 1.0, names_teams=True)
        self.assertLessEqual(len(report.teams), 8)
        self.assertLessEqual(len(report.arrived), 6)

    def test_a_report_of_more_levels_is_read(self):
        """Guards against a peer of another version whose lists are longer."""
        found = RoomTotals([Demand("s", [1] * 9, [1] * 9), Demand("s", [1])])
        self.assertEqual(found.arrived, [2, 1, 1, 1, 1, 1])


class TeamTurnsTest(unittest.TestCase):
    """The order of pieces in one queue."""

    def test_a_flood_comes_after_the_first_pieces_of_others(self):
        """Guards against a team whose flood is served before all others."""
        queue, turns = StageQueue(FOUR_PER_CALL), TeamTurns()
        for team, count in (("big", 40), ("a", 2), ("b", 2)):
            for number in range(count):
                lag = turns.lag(team, 1.0, 1, 10.0, 0.0)
                key = PieceKey(f"{team} {number}", 0, 0)
                values = (1, False, 5.0, 9.0, 1_000, "k", ())
                queue.add(QueuedPiece(key, *values, lag=lag))
        first = [queue.pop_batch(0.0, 18e6) for _ in range(2)]
        teams = Counter(p.key.request.split()[0] for call in first for p in call)
        self.assertEqual((teams["a"], teams["b"]), (2, 2))

    def test_the_order_is_work_conserving(self):
        """Guards against room that stays free because a team is over its share."""
        queue, turns = StageQueue(FOUR_PER_CALL), TeamTurns()
        for number in range(8):
            lag = turns.lag("big", 0.0, 1, 10.0, 0.0)
            values = (1, False, 5.0, 9.0, 1_000, "k", ())
            queue.add(QueuedPiece(PieceKey(f"r{number}", 0, 0), *values, lag=lag))
        self.assertEqual(len(queue.pop_batch(0.0, 18e6)), 4)

    def test_a_more_urgent_request_of_a_large_team_goes_first(self):
        queue, turns = StageQueue(FOUR_PER_CALL), TeamTurns()
        for _ in range(100):
            lag = turns.lag("big", 1.0, 1, 10.0, 0.0)
        for name, urgency, late in (("big", 0, lag), ("a", 1, 0.0)):
            values = (urgency, False, 5.0, 9.0, 1_000, "k", ())
            queue.add(QueuedPiece(PieceKey(name, 0, 0), *values, lag=late))
        popped = queue.pop_batch(0.0, 18e6)
        self.assertEqual(popped[0].key.request, "big")

    def test_the_lag_is_bounded_and_ends(self):
        """Guards against a team that pays for its burst long after it."""
        turns = TeamTurns()
        turns.lag("a", 1.0, 1, 10.0, 0.0)
        lags = [turns.lag("big", 1.0, 1, 10.0, 0.0) for _ in range(500)]
        self.assertLessEqual(max(lags), 2.0)
        self.assertEqual(turns.lag("big", 1.0, 1, 10.0, WINDOW_S + 0.1), 0.0)


class TeamSharesTest(unittest.TestCase):
    """Bursts of sixteen teams, one of which sends ten times as much and more."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def start(self, **changes):
        """Start a burst; the room is 1.4 times too short."""
        fleet = ShortFleet(7, **changes)
        for number in range(SMALL_TEAMS):
            fleet.send(f"t{number}", KIND, SMALL_PER_S, BURST_S)
        fleet.send("big", KIND, LARGE_PER_S, BURST_S)
        fleet.send("also big", KIND, LARGE_PER_S, BURST_S, team="big")
        return fleet

    def end(self, fleet, seconds=BURST_S + REST_S):
        """Let the burst end; return the least fraction of a small team.

        That is the fraction of its callers that were served on time.
        """
        for _ in range(int(seconds)):
            advance(1.0)
        outcomes = [fleet.outcome_by_name[f"t{n}"] for n in range(SMALL_TEAMS)]
        return min(outcome.on_time / outcome.sent for outcome in outcomes)

    def test_each_small_team_gets_its_share(self):
        """Guards against small teams that are rejected for one that floods.

        Alone, all callers of a small team would be served on time.
        """
        fleet = self.start()
        self.assertGreaterEqual(self.end(fleet), MIN_SHARE_OF_ALONE)
        self.assertGreater(fleet.outcome_by_name["big"].served_fraction, 0.2)

    def test_the_room_that_small_teams_leave_is_used(self):
        """Guards against shares that leave room free."""
        fleet = self.start()
        self.end(fleet)
        served = sum(o.served for o in fleet.outcome_by_name.values())
        use = served / (100.0 * BURST_S)
        self.assertGreaterEqual(use, 0.95)

    def test_the_load_is_unfair_without_the_mechanism(self):
        """Shows that the load of these tests is one that needs it."""
        fleet = self.start(policy=WITHOUT_SHARES)
        self.assertLess(self.end(fleet), MIN_SHARE_OF_ALONE)

    @parameterized.expand(
        [
            ("owner_ends", lambda fleet: fleet.lose_owner()),
            ("all_restart", lambda fleet: fleet.restart_all()),
            ("shares_change", lambda fleet: fleet.shares.update(big=0.0, t0=2.0)),
            (
                "all_shares_zero",
                lambda fleet: fleet.shares.update(
                    dict.fromkeys(fleet.outcome_by_name, 0.0)
                ),
            ),
        ]
    )
    def test_a_change_midway(self, _, change):
        """Guards against a change midway that leaves small teams behind."""
        fleet = self.start()
        advance(5.0)
        change(fleet)
        self.assertGreaterEqual(self.end(fleet, 19), MIN_SHARE_OF_ALONE)

    def test_a_team_with_a_share_of_zero_is_served(self):
        """Guards against a team that starves because its share is 0."""
        fleet = self.start()
        fleet.shares["big"] = 0.0
        self.end(fleet)
        self.assertGreater(fleet.outcome_by_name["big"].served_fraction, 0.1)
