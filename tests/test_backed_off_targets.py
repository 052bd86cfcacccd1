"""Targets that failed a moment ago, as the only ones left for a request."""

import unittest
from types import SimpleNamespace
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.selector import Selector
from tests import test_broken_streams, test_stream_versions
from tests._paused import use_paused_clock, use_skipping_clock
from tests._resumptions import make_lone_resumptions
from tests.test_broken_streams import WHOLE, ScriptedEngine

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

SERVICE = "s"
ADDRESS = Address("127.0.0.1", 9)
CUT = 20


def make_target(target_id, software="v1", address=ADDRESS):
    """Return a target."""
    return Target(target_id, SERVICE, address, "a", 4, software=software)


def make_selector(targets, failed, without_permit=()):
    """Return a selector of targets.

    Args:
        targets: The targets.
        failed: Ids of those that failed a moment ago.
        without_permit: Ids of those that have to wait for a permit.
    """
    health = Health()
    for target in targets:
        if target.id in failed:
            health.of(target).record_failure(is_certain=True)
    view = mock.Mock(
        usable=lambda service: [SimpleNamespace(target=t) for t in targets],
        is_cold=lambda known, *, at: False,
        may_get_work=lambda target: True,
    )
    peers = mock.Mock()
    peers.totals.return_value = SimpleNamespace(running={}, prefill_tokens={})
    reach = mock.Mock()
    reach.is_lost.return_value = False
    rates = mock.Mock(reserve=lambda *_: True)
    rates.wait.side_effect = lambda target: float(target.id in without_permit)
    notices = mock.Mock(has_room=lambda *_: True, may_send=lambda _: True)
    return Selector(view, health, peers, mock.Mock(), reach, rates, notices=notices)


class SelectorTest(unittest.TestCase):
    """What is found is what was picked."""

    @parameterized.expand(
        [
            ("sound", {"b"}, (), "a", True),
            ("failed", {"a"}, (), "a", False),
            ("failed_like_all", {"a", "b"}, (), "a", True),
            ("failed_as_the_other_is_excluded", {"a"}, ("b",), "a", True),
            ("failed_as_another_one_is_excluded", {"a"}, ("c",), "a", False),
            ("not_listed", set(), (), "c", False),
        ]
    )
    def test_a_target_that(self, _, failed, exclude, name, is_found):
        """Guards against targets that are picked and may not be used."""
        selector = make_selector([make_target("a"), make_target("b")], failed)
        found = selector.find(SERVICE, name, exclude)
        self.assertEqual(found is not None, is_found)
        picked = selector.candidates(SERVICE, {*exclude})
        self.assertEqual(name in {c.target.id for c in picked}, is_found)

    @parameterized.expand([("sound", {"a"}), ("failed_too", {"a", "b"})])
    def test_one_that_failed_while_the_other_waits_for_a_permit_and_is(self, _, failed):
        """Guards against a target that is picked and given up for one that waits."""
        targets = [make_target("a"), make_target("b")]
        selector = make_selector(targets, failed, without_permit={"b"})
        picked = selector.candidates(SERVICE, set())
        self.assertEqual([c.target.id for c in picked], ["a"])
        self.assertIsNotNone(selector.find(SERVICE, "a"))


class StreamTest(unittest.TestCase):
    """A stream that breaks off at the only engine that had not failed before."""

    def relay(self, others):
        """Send a request; return what its caller gets.

        Args:
            others: Version, and whether it failed a moment ago, of each engine but the
                one that breaks off.
        """
        engine = ScriptedEngine(CUT, "open", is_reset=True)
        targets = [make_target("e1", address=engine.address)]
        for number, (software, _) in enumerate(others, start=2):
            other = ScriptedEngine(len(WHOLE), "chunks")
            other.requests.append(b"an earlier one")
            self.addCleanup(other.close)
            targets.append(make_target(f"e{number}", software, other.address))
        failed = [t.id for t, o in zip(targets[1:], others, strict=True) if o[1]]
        server = test_stream_versions.make_server([])
        server.selector = make_selector(targets, failed)
        server.resumptions = make_lone_resumptions(*targets)
        with mock.patch.object(test_broken_streams, "make_server", lambda _: server):
            return test_broken_streams.relay(engine, is_resumable=True)

    @parameterized.expand(
        [
            ("failed", [("v1", True)]),
            ("and_another_one_failed", [("v1", True), ("v1", True)]),
            ("failed_and_another_version_is_sound", [("v1", True), ("v2", False)]),
        ]
    )
    def test_it_goes_on_at_one_that(self, _, others):
        """Guards against streams that end as their last engine failed before."""
        self.assertEqual(self.relay(others), (200, WHOLE, True))


if __name__ == "__main__":
    unittest.main()
