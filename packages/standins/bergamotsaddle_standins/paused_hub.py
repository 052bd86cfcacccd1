"""Eventlet hubs whose clocks move as a test or experiment advances or needs them."""

import os
from collections.abc import Callable
from itertools import count

import eventlet
from eventlet import hubs
from eventlet.hubs import epolls
from eventlet.hubs.timer import Timer

_MAX_STEPS = 10_000
_MAX_SETTLE_ROUNDS = 100
_YIELDS_PER_ROUND = 2
_START = 1_000.0
_DELIVERY_S = 0.001


class _Entry(tuple):
    """A due time and its timer, ordered by the time, then by when it was added.

    The hub orders timers that are due at the same time by their memory addresses, which
    differ between runs.
    """

    number: int

    def __lt__(self, other: "_Entry") -> bool:
        return (self[0], self.number) < (other[0], other.number)


class PausedHub(epolls.Hub):
    """A hub that polls sockets without sleeping and has a clock of its own."""

    def __init__(self) -> None:
        self.time = _START
        self._numbers = count()
        super().__init__(clock=lambda: self.time)

    def add_timer(self, timer: Timer) -> float:
        """Add a timer behind those that are due at the same time."""
        entry = _Entry((self.clock() + timer.seconds, timer))
        entry.number = next(self._numbers)
        self.next_timers.append(entry)
        return entry[0]

    def wait(self, seconds: float | None = None) -> None:
        """Poll the sockets once, without waiting."""
        super().wait(0)


class SkippingHub(PausedHub):
    """A hub whose clock skips to the next timer once no green thread can run.

    Green threads that share real sockets take no time of their own, so what they do
    at which time doesn't depend on how fast the process runs.
    """

    def __init__(self) -> None:
        self._is_idle = False
        super().__init__()

    def do_poll(self, seconds: float) -> list[tuple[int, int]]:
        """Poll the sockets, and note whether any of them is ready."""
        found = super().do_poll(seconds)
        if not found:
            # The system may deliver what was sent once this process makes room. Opening
            # connections and full ones may need more than one step of it.
            os.sched_yield()
            is_sending = bool(self.listeners[self.WRITE])
            found = super().do_poll(max(seconds, _DELIVERY_S if is_sending else 0))
        self._is_idle = not found
        return found

    def wait(self, seconds: float | None = None) -> None:
        """Poll the sockets, and skip to the next timer if none of them is ready."""
        due_at = self.sleep_until()
        if due_at is None:
            epolls.Hub.wait(self, seconds)
            return
        self._is_idle = True
        epolls.Hub.wait(self, 0)
        if self._is_idle:
            self.time = max(self.time, due_at)


def use_paused_clock() -> None:
    """Use a new paused hub in this thread."""
    hubs.use_hub(PausedHub)


def use_skipping_clock() -> None:
    """Use a hub that skips waits, for tests with real sockets in one process."""
    hubs.use_hub(SkippingHub)


def settle() -> None:
    """Run all green threads until each of them waits."""
    hub = hubs.get_hub()
    for _ in range(_MAX_SETTLE_ROUNDS):
        for _ in range(_YIELDS_PER_ROUND):
            eventlet.sleep(0)
        due = hub.timers and hub.timers[0][0] <= hub.time
        if not due and not hub.next_timers:
            return


def advance(seconds: float) -> None:
    """Advance the clock by some seconds and fire each timer at its time.

    Raises:
        AssertionError: If more timers fire than the limit of steps.
    """
    hub = hubs.get_hub()
    end = hub.time + seconds
    settle()
    for _ in range(_MAX_STEPS):
        due = [t for t, timer in hub.timers if not timer.called and t <= end]
        if not due:
            break
        hub.time = max(hub.time, min(due))
        settle()
    else:
        raise AssertionError("too many timer steps")
    hub.time = end
    settle()


def freeze(seconds: float) -> None:
    """Advance the clock without running green threads, like a paused process."""
    hubs.get_hub().time += seconds


def advance_until(condition: Callable[[], bool], *, limit: float, step: float) -> None:
    """Advance the clock step by step until a condition holds.

    Raises:
        AssertionError: If the condition does not hold within the limit.
    """
    passed = 0.0
    while not condition():
        if passed >= limit:
            raise AssertionError(f"condition did not hold within {limit} s")
        advance(step)
        passed += step


def use_running_clock() -> None:
    """Use an ordinary hub in this thread, for tests with other processes."""
    hubs.use_hub(epolls)
