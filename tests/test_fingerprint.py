"""Recognising a request that is sent again."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.catalog import Team
from bergamotsaddle_serving.fingerprint import fingerprint
from bergamotsaddle_serving.messages import RequestHead

HEAD = RequestHead("r1", b"POST", b"/plans/7", "h", "key", 9.0)
TEAM = Team("crews")
BODY = b"two pens of salmon"


class FingerprintTest(unittest.TestCase):
    """Which differences between two requests change the fingerprint."""

    @parameterized.expand(
        [
            ("another_try", HEAD._replace(id="r2"), TEAM, BODY, True),
            ("another_key_of_the_team", HEAD._replace(key="k"), TEAM, BODY, True),
            ("less_time", HEAD._replace(deadline=2.0), TEAM, BODY, True),
            ("resumed", HEAD._replace(last_event_id=4), TEAM, BODY, True),
            ("another_path", HEAD._replace(path=b"/plans/8"), TEAM, BODY, False),
            ("another_host", HEAD._replace(host="g"), TEAM, BODY, False),
            ("another_team", HEAD, Team("barges"), BODY, False),
            ("no_team", HEAD, None, BODY, False),
            ("another_body", HEAD, TEAM, BODY[:-1], False),
        ]
    )
    def test_same_fingerprint(self, _, head, team, body, is_same):
        first = fingerprint(HEAD, TEAM, BODY)
        self.assertEqual(fingerprint(head, team, body) == first, is_same)

    def test_adjacent_parts_are_separated(self):
        one = fingerprint(HEAD._replace(path=b"/ab"), Team("c"), b"")
        other = fingerprint(HEAD._replace(path=b"/a"), Team("bc"), b"")
        self.assertNotEqual(one, other)
