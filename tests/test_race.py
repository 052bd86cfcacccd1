"""Functions that run at the same time until one of them has a result."""

import unittest

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.race import Race
from tests._paused import advance, use_paused_clock

setUpModule = use_paused_clock


def make_function(seconds, result, ended):
    def function():
        try:
            eventlet.sleep(seconds)
        except BaseException:
            ended.append(result)
            raise
        if isinstance(result, Exception):
            raise result
        return result

    return function


class RaceTest(unittest.TestCase):
    """Each test waits in a green thread while the clock advances."""

    def run_for(self, seconds, function):
        thread = eventlet.spawn(function)
        advance(seconds)
        return thread.wait()

    def test_ends_are_returned_in_order(self):
        def wait():
            with Race() as race:
                race.start("slow", make_function(2.0, "b", []))
                race.start("fast", make_function(1.0, "a", []))
                return [race.wait().result(), race.wait().result()]

        self.assertEqual(self.run_for(3.0, wait), ["a", "b"])

    def test_errors_are_raised_where_the_result_is_read(self):
        def wait():
            with Race() as race:
                race.start("x", make_function(1.0, ValueError("x"), []))
                finish = race.wait()
                with self.assertRaises(ValueError):
                    finish.result()
                return finish.name

        self.assertEqual(self.run_for(2.0, wait), "x")

    def test_leaving_ends_what_still_runs(self):
        ended = []

        def wait():
            with Race() as race:
                race.start("slow", make_function(9.0, "slow", ended))
                race.start("fast", make_function(1.0, "fast", ended))
                race.wait()

        self.run_for(2.0, wait)
        self.assertEqual(ended, ["slow"])

    def test_stopped_functions_do_not_finish(self):
        """A result that came just before the stop would be taken for a later one."""

        def wait():
            with Race() as race:
                race.start("x", make_function(1.0, "x", []))
                eventlet.sleep(2.0)
                race.stop("x")
                return race.wait(timeout=1.0), "x" in race

        self.assertEqual(self.run_for(4.0, wait), (None, False))

    def test_waiting_is_limited(self):
        started_at = now()

        def wait():
            with Race() as race:
                race.start("x", make_function(9.0, "x", []))
                return race.wait(timeout=1.5)

        self.assertIsNone(self.run_for(2.0, wait))
        self.assertEqual(now() - started_at, 2.0)


if __name__ == "__main__":
    unittest.main()
