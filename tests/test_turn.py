"""Long work of many green threads."""

import unittest

import eventlet

from bergamotsaddle_serving._turn import SharedTurn
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

THREADS = 30
STEPS = 4


class SharedTurnTest(unittest.TestCase):
    """Green threads that take the same turn."""

    def setUp(self):
        self.turns = SharedTurn()
        self.order = []

    def work(self, number):
        """Do all steps of a thread."""
        for _ in range(STEPS):
            with self.turns:
                self.order.append(number)

    def test_others_run_between_any_two_steps(self):
        """Guards against a process that many callers keep from its other work."""

        def run_beside():
            while True:
                self.order.append(None)
                eventlet.sleep(0)

        threads = [eventlet.spawn(self.work, number) for number in range(THREADS)]
        beside = eventlet.spawn(run_beside)
        for thread in threads:
            thread.wait()
        beside.kill()
        steps = [at for at, number in enumerate(self.order) if number is not None]
        behind_the_first = list(zip(steps, steps[1:], strict=False))[1:]
        self.assertTrue(all(after - at > 1 for at, after in behind_the_first))

    def test_steps_are_shared_evenly(self):
        """Guards against a thread whose steps all others wait for."""
        threads = [eventlet.spawn(self.work, number) for number in range(THREADS)]
        for thread in threads:
            thread.wait()
        rounds = [
            self.order[n : n + THREADS] for n in range(0, len(self.order), THREADS)
        ]
        self.assertEqual([sorted(r) for r in rounds], [[*range(THREADS)]] * STEPS)

    def test_a_thread_that_ends_in_its_step(self):
        """Guards against a turn that is never given back."""

        def fail():
            with self.turns:
                raise ValueError

        with self.assertRaises(ValueError):
            fail()
        waiting = eventlet.spawn(self.work, 1)
        eventlet.sleep(0)
        waiting.kill()
        self.work(2)
        self.assertEqual(self.order.count(2), STEPS)
