"""Tests for the bound on the worth that stage services can serve."""

import unittest

from parameterized import parameterized

from bergamotsaddle_standins.stage_bound import (
    Demand,
    StageService,
    parse_scenario,
    served_fraction,
)

SERVICE = StageService("s", 2, 10, 0.5)
DEAR = Demand("dear", 4.0, 5.0, {"s": 5.0})
CHEAP = Demand("cheap", 10.0, 1.0, {"s": 4.0})
PLAIN = Demand("plain", 10.0, 1.0, {})


class ServedFractionTest(unittest.TestCase):
    """A service that can do 40 pieces a second."""

    @parameterized.expand(
        [
            ("all_fit", [DEAR], 1.0),
            ("cheap_ones_are_cut", [DEAR, CHEAP], 25 / 30),
            ("others_need_no_stage", [DEAR, CHEAP, PLAIN], 35 / 40),
            ("too_many", [DEAR._replace(per_s=16.0)], 0.5),
        ]
    )
    def test_fraction(self, _, demands, expected):
        self.assertAlmostEqual(served_fraction(SERVICE, demands), expected)

    def test_scenario(self):
        text = (
            "[service s]\ntargets = 2\npieces_per_call = 10\ncall_seconds = 0.5\n"
            "[kind dear]\nper_s = 4\nworth = 5\npieces = s=5\n"
        )
        services, demands = parse_scenario(text, name="x.ini")
        self.assertEqual((services, demands), ([SERVICE], [DEAR]))
