"""Releases of results whose target is no longer called from an instance."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.stage_releases import StageReleases
from tests._paused import settle

ADDRESS = Address("127.0.0.1", 8_281)
HANDLE = f"{ADDRESS}/91bd3f06e44"


class DirectReleaseTest(unittest.TestCase):
    """A result at an address that no worker of the queue has."""

    @parameterized.expand(
        [
            ("of_the_service", "rerank", False, True),
            ("of_another_service", "engines", False, False),
            ("in_a_lost_zone", "rerank", True, False),
            ("that_is_gone", None, False, False),
        ]
    )
    def test_it_goes_to_a_target(self, _, service, is_lost, is_released):
        """Guards against calls to what took over the address of a stage target."""
        target = Target("i-1", service, ADDRESS, "a", 1)
        calls = mock.Mock()
        releases = StageReleases(
            SimpleNamespace(target_by_address={ADDRESS: target} if service else {}),
            SimpleNamespace(is_lost=lambda zone: is_lost),
            calls,
            PlatformDialect(),
            mock.Mock(),
        )
        releases.release("rerank", None, [HANDLE])
        eventlet.sleep(0)
        settle()
        expected = [mock.call(target, [HANDLE])] if is_released else []
        self.assertEqual(calls.release.call_args_list, expected)


if __name__ == "__main__":
    unittest.main()
