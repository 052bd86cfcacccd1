"""Work that native threads hand to the hub."""

import unittest

from eventlet.patcher import original

from bergamotsaddle_daemon.hub_bridge import HubBridge
from tests._paused import settle

threading = original("threading")
time = original("time")
_PIPE_BYTES = 1 << 16
_LIMIT = 10.0


class HubBridgeTest(unittest.TestCase):
    """A bridge and threads of the operating system."""

    def setUp(self):
        self.bridge = HubBridge()
        settle()

    def run_native(self, work) -> None:
        """Run a function in a native thread while the hub goes on."""
        thread = threading.Thread(target=work)
        thread.start()
        began = time.monotonic()
        while thread.is_alive() and time.monotonic() - began < _LIMIT:
            settle()
        thread.join(0)
        self.assertFalse(thread.is_alive())
        settle()

    def test_work_of_a_native_thread_runs_on_the_hub(self):
        names = []
        self.run_native(
            lambda: self.bridge.post(lambda: names.append(threading.get_ident()))
        )
        self.assertEqual(names, [threading.get_ident()])

    def test_result_and_error_come_back(self):
        results = []

        def work():
            results.append(self.bridge.call(lambda: 7, _LIMIT))
            try:
                self.bridge.call(lambda: 1 / 0, _LIMIT)
            except ZeroDivisionError:
                results.append("error")

        self.run_native(work)
        self.assertEqual(results, [7, "error"])

    def test_more_wake_ups_than_the_pipe_holds(self):
        # The hub is busy while peers answer. A write that waits on the hub would
        # fail from then on, and every call between instances with it.
        count = _PIPE_BYTES + 100
        done = []
        for _ in range(count):
            self.bridge.post(lambda: done.append(1))
        settle()
        self.assertEqual(len(done), count)

    def test_failing_work_does_not_end_the_bridge(self):
        # One broken callback must not silence all calls between instances.
        done = []
        self.bridge.post(lambda: 1 / 0)
        settle()
        self.bridge.post(lambda: done.append(1))
        settle()
        self.assertEqual(done, [1])
