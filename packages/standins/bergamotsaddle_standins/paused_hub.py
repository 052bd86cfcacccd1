"""A hub whose clock stands still until a test or an experiment advances it."""

from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.hubs import epolls

_STEPS = 10_000
_SETTLE_ROUNDS = 100
_ROUNDS_AT_ONCE = 2
_START = 1_000.0


class PausedHub(epolls.Hub):
    """Polls sockets without sleeping and goes by its own clock."""

    def __init__(self) -> None:
        self.time = _START
        super().__init__(clock=lambda: self.time)

    def wait(self, seconds: float | None = None) -> None:
        """Look at the sockets once."""
        super().wait(0)


def use_paused_clock() -> None:
    """Make the hub of this thread a paused one."""
    hubs.use_hub(PausedHub)


def settle() -> None:
    """Let every green thread run until it waits."""
    hub = hubs.get_hub()
    for _ in range(_SETTLE_ROUNDS):
        for _ in range(_ROUNDS_AT_ONCE):
            eventlet.sleep(0)
        due = hub.timers and hub.timers[0][0] <= hub.time
        if not due and not hub.next_timers:
            return


def advance(seconds: float) -> None:
    """Let time pass, stopping at each timer on the way."""
    hub = hubs.get_hub()
    end = hub.time + seconds
    settle()
    for _ in range(_STEPS):
        due = [t for t, timer in hub.timers if not timer.called and t <= end]
        if not due:
            break
        hub.time = max(hub.time, min(due))
        settle()
    else:
        raise AssertionError("more timers than steps")
    hub.time = end
    settle()


def freeze(seconds: float) -> None:
    """Let time pass while no green thread runs, as when a process is paused."""
    hubs.get_hub().time += seconds


def advance_until(condition: Callable[[], bool], *, limit: float, step: float) -> None:
    """Let time pass until a condition holds.

    Raises:
        AssertionError: If it does not hold within the limit.
    """
    passed = 0.0
    while not condition():
        if passed >= limit:
            raise AssertionError(f"did not happen within {limit} s")
        advance(step)
        passed += step


def use_running_clock() -> None:
    """Make the hub of this thread an ordinary one, for tests of real sockets."""
    hubs.use_hub(epolls)
