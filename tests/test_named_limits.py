"""Rate limits that targets announce in their responses."""

import contextlib
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import Attempt, NotRunError
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import RawResponseHead
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.messages import ResponseHead
from bergamotsaddle_serving.named_limits import NamedLimits
from tests._paused import use_paused_clock

TARGET = Target("t1", "generate", Address("10.0.0.1", 80), "a", 64, started_ms=5)


class DecodeTest(unittest.TestCase):
    """The limit in the headers of a response."""

    @parameterized.expand(
        [
            ("whole", b"3", 3.0),
            ("decimal", b" 0.25 ", 0.25),
            ("none", None, None),
            ("negative", b"-1", None),
            ("word", b"inf", None),
            ("exponent", b"1e3", None),
            ("nothing", b"", None),
        ]
    )
    def test_limit(self, _, value, limit):
        headers = [] if value is None else [(b"server-limit", value)]
        self.assertEqual(PlatformDialect().read_response(headers).limit, limit)


class NamedLimitsTest(unittest.TestCase):
    """The limit in force after a series of responses."""

    def setUp(self):
        use_paused_clock()
        self.published = []
        self.gossip = Gossip()
        self.limits = NamedLimits(self.gossip, self.published.extend, mock.Mock())

    @parameterized.expand(
        [
            ("never_named", [None, None], None, 0),
            ("named", [2.0], 2.0, 1),
            ("named_again", [2.0, 2.0, 2.0], 2.0, 1),
            ("changed", [2.0, 0.5], 0.5, 2),
            ("ended", [2.0, None, None], None, 2),
            ("named_anew", [2.0, None, 1.0], 1.0, 3),
        ]
    )
    def test_the_latest_response_holds_and_only_changes_are_published(
        self, _, limits, expected, published
    ):
        for limit in limits:
            self.limits.record(TARGET, limit)
        self.assertEqual(self.limits.of(TARGET), expected)
        self.assertEqual(len(self.published), published)

    def test_a_new_incarnation_has_no_limit(self):
        """Guards against a limit that outlives the target which announced it."""
        self.limits.record(TARGET, 1.0)
        self.assertIsNone(self.limits.of(TARGET._replace(started_ms=6)))
        self.limits.keep_only({("t1", 6)})
        self.assertEqual(len(self.limits), 0)
        self.assertEqual(list(self.gossip.facts()), [])

    def test_another_instance_receives_the_limit(self):
        other = Gossip()
        limits = NamedLimits(other, lambda facts: None, mock.Mock())
        self.limits.record(TARGET, 1.0)
        other.merge(self.published)
        self.assertEqual(limits.of(TARGET), 1.0)


class ResponseTest(unittest.TestCase):
    """Which responses set and remove a limit."""

    @parameterized.expand(
        [
            ("served_with", 200, False, 2.0, [2.0]),
            ("served_without", 200, False, None, [None]),
            ("refused_with", 503, True, 2.0, [2.0]),
            ("refused_without", 503, True, None, []),
            ("misdirected", 421, False, None, []),
        ]
    )
    def test_only_a_request_that_ran_removes_a_limit(
        self, _, status, not_run, limit, expected
    ):
        """Guards against a limit that a rejection removes by not repeating it."""
        recorded = []
        state = TargetState(TARGET, lambda target, limit: recorded.append(limit))
        connection = mock.Mock(is_reused=False)
        connection.read_head.return_value = RawResponseHead(status, [])
        dialect = mock.Mock()
        dialect.read_response.return_value = ResponseHead(
            "", True, not_run, None, None, False, limit
        )
        pool = mock.Mock()
        pool.acquire.return_value = connection
        attempt = Attempt(mock.MagicMock(), state, pool, dialect)
        with contextlib.suppress(NotRunError), attempt:
            attempt.send(mock.MagicMock(), limit=1.0)
        self.assertEqual(list(dict.fromkeys(recorded)), expected)
