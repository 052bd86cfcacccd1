"""The work of a daemon process between its start and its first request."""

import gc
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from eventlet.patcher import original

from bergamotsaddle_serving.server import ServingServer
from tests._paused import use_paused_clock, use_running_clock

subprocess = original("subprocess")
# A wait for the end of a process sleeps on the hub.
setUpModule = use_running_clock
tearDownModule = use_paused_clock

TIMEOUT_S = 30.0
# Modules that libraries import but no daemon uses.
UNUSED = {
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
# Prints the modules of this project, of libraries and of the standard library that have
# no byte code beside their sources, as the launcher finds them below a given root.
UNCOMPILED = """
import runpy, sys
from pathlib import Path
runpy.run_path("platform/launch.py")["use_packages"](Path(sys.argv[1]))
before = set(sys.modules)
import bergamotsaddle_platform.main
print(bergamotsaddle_platform.main.__file__)
for module in [sys.modules[name] for name in set(sys.modules) - before]:
    source = getattr(module, "__file__", None) or ""
    cached = getattr(module, "__cached__", None)
    is_frozen = module.__spec__.origin == "frozen"
    if source.endswith(".py") and not is_frozen and not Path(cached or "").is_file():
        print(module.__name__)
"""
# Sends the signal to reload to itself before the daemon's modules are loaded.
RELOAD = """
import os, runpy, signal
runpy.run_path("platform/launch.py")
os.kill(os.getpid(), signal.SIGHUP)
print("alive")
"""
# Runs the launcher with a daemon that prints whether the collector is on.
COLLECTOR = """
import gc, runpy, sys, types
main = types.ModuleType("bergamotsaddle_platform.main")
main.main = lambda: print(gc.isenabled())
sys.modules["bergamotsaddle_platform"] = types.ModuleType("bergamotsaddle_platform")
sys.modules["bergamotsaddle_platform.main"] = main
runpy.run_path("platform/launch.py", run_name="__main__")
"""


def run(*command):
    """Run a program and return its output."""
    done = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=True)
    return done.stdout.decode()


def run_python(code, *arguments):
    """Run code in a new interpreter and return its output."""
    return run(sys.executable, "-c", code, *arguments)


class DaemonStartTest(unittest.TestCase):
    """Modules that a new daemon process loads."""

    def test_a_restarted_daemon_loads_only_what_it_uses(self):
        """Guards against callers refused while a daemon loads modules it never uses."""
        loaded = set(run_python(LOAD).split())
        self.assertIn("bergamotsaddle_serving.server", loaded)
        self.assertEqual(sorted(loaded & UNUSED), [])

    def test_a_signal_to_reload_does_not_end_a_starting_daemon(self):
        """Guards against daemons lost when their settings change as they start."""
        self.assertEqual(run_python(RELOAD).strip(), "alive")

    def test_a_restarted_daemon_compiles_nothing(self):
        """Guards against callers refused while a daemon compiles its modules."""
        with TemporaryDirectory() as root:
            packages = Path(root) / "target" / "lib"
            run("sh", "deploy/pack.sh", str(packages))
            found, *uncompiled = run_python(UNCOMPILED, root).split()
        self.assertTrue(Path(found).is_relative_to(packages))
        self.assertEqual(uncompiled, [])

    def test_the_collector_rests_while_a_daemon_loads(self):
        """Guards against a collector that walks modules while callers are refused."""
        self.assertEqual(run_python(COLLECTOR).strip(), "False")

    def test_the_collector_is_on_while_a_daemon_serves(self):
        """Guards against a daemon that never frees what refers to itself."""
        server = ServingServer.__new__(ServingServer)
        server.settings = mock.Mock()
        server.settings.listen.callers = server.settings.listen.ready = ()
        for name in ("peers", "follower", "exchange", "reach", "service_reach"):
            setattr(server, name, mock.Mock())
        server.handler = server.metrics = server.logger = mock.Mock()
        server._stop_requested = mock.Mock()
        server._stop = mock.Mock()
        gc.disable()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)
        seen = []
        server._stop_requested.wait = lambda: seen.append(gc.isenabled())
        with (
            mock.patch("bergamotsaddle_serving.server.eventlet"),
            mock.patch("bergamotsaddle_serving.server.signal"),
        ):
            server.run()
        self.assertEqual(seen, [True])
