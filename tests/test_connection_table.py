"""Which connection makes room for another one."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.connection_table import ConnectionTable, Phase
from tests._paused import advance, use_paused_clock

setUpModule = use_paused_clock

LIMIT = 3


class ExpendableTest(unittest.TestCase):
    """Connections that have entered phases one second after the other."""

    @parameterized.expand(
        [
            ("the_oldest_reader", [("a", Phase.READING), ("b", Phase.READING)], "a"),
            (
                "one_that_ends_first",
                [("a", Phase.READING), ("b", Phase.ENDING)],
                "b",
            ),
            (
                "none_that_is_served",
                [("a", Phase.SERVING), ("b", Phase.READING)],
                "b",
            ),
            (
                "not_one_that_has_gone_on",
                [("a", Phase.READING), ("b", Phase.READING), ("a", Phase.READING)],
                "b",
            ),
            ("nobody", [("a", Phase.SERVING), ("b", Phase.SERVING)], None),
        ]
    )
    def test_who_makes_room(self, _, entries, expected):
        """Guards against ordinary callers that wait behind idle ones."""
        table = ConnectionTable(LIMIT)
        for connection, phase in entries:
            table.enter(connection, phase)
            advance(1.0)
        found = table.find_evictable()
        self.assertEqual(found[0] if found else None, expected)

    def test_a_crowd_that_only_holds_connections(self):
        """Guards against a newcomer that makes room before those who send nothing."""
        table = ConnectionTable(LIMIT)
        for number in range(100):
            table.enter(number, Phase.READING)
            advance(0.01)
            if table.excess > 0:
                table.remove(table.find_evictable()[0])
        self.assertEqual(len(table), LIMIT)
        table.enter("newcomer", Phase.READING)
        self.assertEqual(table.excess, 1)
        self.assertEqual(table.find_evictable()[0], 97)

    def test_age_and_removal(self):
        table = ConnectionTable(LIMIT)
        table.enter("a", Phase.READING)
        advance(2.0)
        self.assertAlmostEqual(table.age("a"), 2.0, places=3)
        table.remove("a")
        table.remove("a")
        self.assertEqual((len(table), table.find_evictable()), (0, None))
