"""Decides which waiting pieces a slow stage target leaves to faster ones.

This module does no input or output.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bergamotsaddle_daemon.registry import Registry

# A target is slow if a call takes this many times as long as at another one.
_SLOW_FACTOR = 1.5


class CallingTarget(NamedTuple):
    """A target of a queue as far as the time of its next calls is concerned.

    Attributes:
        free_in: Seconds until its current call ends.
        slowdown: Actual time of its calls relative to the declared one.
        capacity: Number of results that its free memory can hold.
    """

    free_in: float
    slowdown: float
    capacity: int


# Returns how many pieces, counted from the first one, a target leaves to other ones.
# Arguments: the target's slowdown, the others, pieces per call, declared call seconds.
SlowCallRule = Callable[[float, Sequence[CallingTarget], int, float], int]
SLOW_CALLS: Registry[SlowCallRule] = Registry("slow_calls")


@SLOW_CALLS.register("greedy")
def leave_nothing(*_: object) -> int:
    """Return 0: a free target takes the next pieces, however slow it is.

    This suits queues that are never empty, where each target is needed.
    """
    return 0


@SLOW_CALLS.register("patient")
def leave_to_faster(
    slowdown: float,
    others: Sequence[CallingTarget],
    pieces_per_call: int,
    call_seconds: float,
) -> int:
    """Return the number of pieces that faster targets finish earlier.

    This suits moderate load while some targets are slow. A slow target that takes the
    most urgent pieces as soon as it is free makes their requests late, although a
    faster one would be free a fraction of a call later. It takes only pieces that would
    wait at the faster targets for longer than its own call.

    Args:
        slowdown: Actual time of the target's calls relative to the declared one.
        others: The other targets of the queue.
        pieces_per_call: Number of pieces of a call.
        call_seconds: Declared duration of such a call.
    """
    own_seconds = slowdown * call_seconds
    pieces = 0
    for other in others:
        if slowdown < _SLOW_FACTOR * other.slowdown:
            continue
        left = own_seconds - other.free_in
        calls = max(0, int(left / (other.slowdown * call_seconds)))
        pieces += min(calls * pieces_per_call, other.capacity)
    return pieces
