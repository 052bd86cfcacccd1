"""Calls that native threads pass to the hub."""

import unittest

from eventlet.patcher import is_monkey_patched, original

from bergamotsaddle_daemon.hub_bridge import HubBridge
from tests._paused import settle, use_paused_clock

threading = original("threading")
time = original("time")
_PIPE_BYTES = 1 << 16
_TIMEOUT_S = 10.0


class HubBridgeTest(unittest.TestCase):
    """A bridge between native threads and the hub."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.bridge = HubBridge()
        settle()

    def run_native(self, function) -> None:
        """Run a function in a native thread while the hub runs."""
        thread = threading.Thread(target=function)
        thread.start()
        started_at = time.monotonic()
        while thread.is_alive() and time.monotonic() - started_at < _TIMEOUT_S:
            settle()
        thread.join(0)
        self.assertFalse(thread.is_alive())
        settle()

    def test_callback_of_a_native_thread_runs_on_the_hub(self):
        thread_ids = []
        self.run_native(
            lambda: self.bridge.post(lambda: thread_ids.append(threading.get_ident()))
        )
        self.assertEqual(thread_ids, [threading.get_ident()])

    def test_result_and_error_are_returned(self):
        """Guards against native threads that wait for an event of another hub."""
        self.assertTrue(is_monkey_patched("thread"))
        results = []

        def call():
            results.append(self.bridge.call(lambda: 7, _TIMEOUT_S))
            try:
                self.bridge.call(lambda: 1 / 0, _TIMEOUT_S)
            except ZeroDivisionError:
                results.append("error")

        self.run_native(call)
        self.assertEqual(results, [7, "error"])

    def test_more_wake_ups_than_the_pipe_holds(self):
        # The hub is busy while peers respond. A write that blocked on the full pipe
        # would fail from then on, and with it every call between instances.
        count = _PIPE_BYTES + 100
        done = []
        for _ in range(count):
            self.bridge.post(lambda: done.append(1))
        settle()
        self.assertEqual(len(done), count)

    def test_failing_callback_does_not_stop_the_bridge(self):
        # One failing callback must not stop all calls between instances.
        done = []
        self.bridge.post(lambda: 1 / 0)
        settle()
        self.bridge.post(lambda: done.append(1))
        settle()
        self.assertEqual(done, [1])
