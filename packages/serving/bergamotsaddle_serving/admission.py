"""Decides whether a request is begun, before any work for it. No input or output."""

import random

# The part of the time that is left which a prediction may use; the rest absorbs what
# varies between requests.
_CAREFUL = 0.9
# While newcomers keep coming, those that can be on time go ahead of late ones, which
# wait for about twice the time that the queue before them takes.
_LATE_FACTOR = 2.0
# Callers are told to come back after at least this time, and spread over as much again,
# so that those of a burst do not return as another burst.
_LEAST_RETRY_S = 0.1
# Callers come back after a third of the time that they have left at most.
_MOST_RETRY_PART = 1 / 3


def admits(expected: float, objective: float, left: float) -> bool:
    """Tell whether a request should be begun.

    Answers bursts beyond what the stages can do. Work for a request that ends without
    an answer is taken from others, so it is refused at once when it would not be done
    in time, and a late one already when the queue could not spare a second turn. Once
    its stages have begun it is finished.

    Args:
        expected: Seconds until the first event.
        objective: Seconds from now until it is due.
        left: Seconds from now until the caller gives up.
    """
    if expected <= objective:
        return expected <= left
    return _LATE_FACTOR * expected <= _CAREFUL * left


def retry_after(expected: float, objective: float, left: float) -> float:
    """Seconds after which a refused caller should come back.

    Args:
        expected: Seconds until the first event.
        objective: Seconds from now until it is due.
        left: Seconds from now until the caller gives up.
    """
    excess = max(_LEAST_RETRY_S, expected - objective)
    return min(left * _MOST_RETRY_PART, excess * random.uniform(1.0, 2.0))
