"""Responses between instances that stop before their end."""

import json
import sys
import unittest
from pathlib import Path

from eventlet.green import subprocess

from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

PROGRAM = Path(__file__).with_name("_cut_links.py")
TEXT = "x" * 40
LIMIT_S = 60.0


class CutLinkTest(unittest.TestCase):
    """A call between two instances, over a relay."""

    def test_a_cut_response_is_whole_or_none(self):
        """Guards against a declaration of a peer that lacks its end."""
        run = subprocess.run(
            [sys.executable, PROGRAM], capture_output=True, timeout=LIMIT_S, check=True
        )
        whole, *texts = json.loads(run.stdout)
        self.assertEqual(whole, TEXT)
        self.assertGreater(len(texts), len(TEXT))
        self.assertIn("", texts)
        self.assertEqual(set(texts) - {"", TEXT}, set())
