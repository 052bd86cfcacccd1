"""What happens between the start of a daemon's process and its first request."""

import sys
import unittest

from eventlet.patcher import original

subprocess = original("subprocess")

LIMIT_S = 30.0
# Modules that libraries import and no daemon uses.
NEEDLESS = {
    "asyncio.base_events",
    "concurrent.futures",
    "email.parser",
    "http.server",
    "prometheus_client",
    "subprocess",
    "urllib.request",
    "wsgiref.simple_server",
}
LOAD = """
import sys
before = set(sys.modules)
import bergamotsaddle_platform.main
print(*set(sys.modules) - before)
"""


def run_python(code):
    """The output of a new interpreter."""
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, timeout=LIMIT_S, check=True
    )
    return done.stdout.decode()


class DaemonStartTest(unittest.TestCase):
    """A new process."""

    def test_a_restarted_daemon_loads_only_what_it_uses(self):
        """Guards against callers being refused while a killed daemon loads modules."""
        loaded = set(run_python(LOAD).split())
        self.assertIn("bergamotsaddle_serving.server", loaded)
        self.assertEqual(sorted(loaded & NEEDLESS), [])
