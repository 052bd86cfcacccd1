"""Which services have targets that share their machines."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import TargetLoad

TARGET = Target("t", "s", Address("10.0.0.1", 80), "a", 4)


class ReportingServicesTest(unittest.TestCase):
    """Services by what their targets report and operators declare."""

    @parameterized.expand(
        [
            ("nothing", None, False, False),
            ("no_slowdown", TargetLoad(1, 0, 4), False, False),
            ("usual_speed", TargetLoad(1, 0, 4, 1.0), False, True),
            ("declared", None, True, True),
        ]
    )
    def test_targets_report(self, _, load, is_declared, expected):
        """Guards against decisions for shared machines where none are shared."""
        reporting = ReportingServices(includes_all=is_declared)
        Health(reporting=reporting).of(TARGET).record_load(load)
        self.assertEqual("s" in reporting, expected)
        self.assertEqual("other" in reporting, is_declared)
