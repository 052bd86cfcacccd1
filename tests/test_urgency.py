"""Tests for the urgency of requests, by the priorities of teams and routes."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.catalog import (
    Batching,
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Share,
    Team,
)
from bergamotsaddle_serving.decisions.stage_queue import (
    PieceKey,
    QueuedPiece,
    StageQueue,
)

BATCHING = Batching(
    slots=1,
    size=4,
    call_seconds=0.2,
    piece_seconds=0.04,
    memory_bytes=9e6,
    ttl_seconds=4.0,
)


def route(name, priority, **changes):
    """Return a route of streams."""
    shares = (Share("engines", 1),)
    return Route(
        name,
        "host",
        f"/{name}/",
        Kind.STREAM,
        6.0,
        1.4,
        2,
        priority,
        shares,
        **changes,
    )


QUOTE = route("quote", 0)
SUMMARY = route("summary", 1)
CHAT = route("chat", 2)


def configure(*teams, routes=(QUOTE, SUMMARY, CHAT)):
    """Return a configuration in which each team has a key of its own."""
    keyed = [(team, (team.name,)) for team in teams]
    return Configuration(1, list(routes), [], keyed, CallerLimits())


class UrgencyTest(unittest.TestCase):
    """Pairs of requests of which the first one is more urgent."""

    @parameterized.expand(
        [
            ("routes_of_a_team", (Team("a", 1), QUOTE), (Team("a", 1), CHAT)),
            ("routes_of_equal_teams", (Team("a", 1), SUMMARY), (Team("b", 1), CHAT)),
            ("team_before_route", (Team("a", 0), CHAT), (Team("b", 1), QUOTE)),
            ("team_without_one", (Team("a"), QUOTE), (Team("b", 1), QUOTE)),
            ("after_such_a_team", (Team("a", 1), CHAT), (Team("b"), CHAT)),
        ]
    )
    def test_order(self, _, first, second):
        configuration = configure(first[0], second[0])
        urgencies = [configuration.urgency(r, team) for team, r in (first, second)]
        self.assertLess(*urgencies)

    def test_urgencies_are_consecutive(self):
        """All teams have the same priority; the most urgent kind gets urgency 0.

        Admission and engines count in steps from 0, so a gap would treat the first kind
        as a less urgent one.
        """
        team = Team("a", 7)
        configuration = configure(team)
        urgencies = [configuration.urgency(r, team) for r in (QUOTE, SUMMARY, CHAT)]
        self.assertEqual(urgencies, [0, 1, 2])

    def test_public_routes_need_no_team(self):
        public = route("public", 1, is_public=True)
        configuration = configure(Team("a", 1), routes=(QUOTE, public))
        self.assertGreaterEqual(configuration.urgency(public, None), 0)


class ChatBurstTest(unittest.TestCase):
    """Bursts of the least urgent kind at a stage that all kinds use."""

    def test_quotes_overtake_a_burst_of_chats(self):
        """Twelve chats and four quotes of teams of equal priority arrive at once.

        If only the team's priority counted, the quotes would wait for three calls of
        chats, and the most urgent responses would be too late.
        """
        team = Team("a", 1)
        configuration = configure(team)
        queue = StageQueue(BATCHING)
        for kind, count in ((CHAT, 12), (QUOTE, 4)):
            urgency = configuration.urgency(kind, team)
            for number in range(count):
                key = PieceKey(f"{kind.name}{number}", 0, 0)
                queue.add(QueuedPiece(key, urgency, False, 1.4, 6.0, 8_000, "k", ()))
        batch = queue.pop_batch(0.0, 9e6)
        self.assertEqual({piece.urgency for piece in batch}, {0})
        self.assertEqual(len(batch), 4)
