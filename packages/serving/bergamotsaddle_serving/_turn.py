"""Lets other green threads run between the steps of a long piece of work."""

import eventlet
from eventlet.semaphore import Semaphore


class Turn:
    """Counts steps, and lets other green threads run after some of them.

    Reading from a green socket switches to the hub only if nothing has arrived. A peer
    that sends faster than its bytes are read would keep a reader running forever.

    Args:
        steps: Number of steps of a turn.
    """

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._left = steps

    def step(self) -> None:
        """Count a step that is about to be made; at the end of a turn, wait first."""
        if self._left <= 0:
            self.restart()
            eventlet.sleep(0)
        self._left -= 1

    def end(self) -> None:
        """Let the next step begin a new turn."""
        self._left = 0

    def restart(self) -> None:
        """Begin a new turn, as others have just run."""
        self._left = self._steps


class SharedTurn:
    """Lets one green thread at a time do a step of long work.

    The others wait in the order in which they have come. All green threads run between
    two steps, so that the rest of the process waits for one step at a time, however
    many threads have long work.
    """

    def __init__(self) -> None:
        self._semaphore = Semaphore()

    def __enter__(self) -> None:
        self._semaphore.acquire()

    def __exit__(self, *_: object) -> None:
        # A thread that comes before the others have run finds the turn taken.
        try:
            eventlet.sleep(0)
        finally:
            self._semaphore.release()
