"""Admission control: decides whether a request starts before any work is done for it.

This module does no input or output.
"""

import random
from typing import NamedTuple

from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# The fraction of its objective that a request may be expected to use.
_MAX_OBJECTIVE_FRACTION = 0.9
# That fraction is lowered by this if all other recent requests are more urgent, and in
# proportion if some are; the difference is left to them.
_URGENT_RESERVE_FRACTION = 0.2
# A request that takes longer than its objective even on idle targets, such as one with
# a very long prompt, may still wait for this fraction of it: large requests must be
# served as well as small ones.
_LARGE_REQUEST_WAIT_FRACTION = 0.25
# Expected waits are multiplied by this, because targets fail and bursts continue.
_WAIT_FACTOR = 1.3
# Added to that factor if all other recent requests are more urgent, and in proportion
# if some are: more urgent requests that arrive in the meantime go ahead, but in a burst
# they are rejected like all other requests.
_OVERTAKING_FACTOR = 0.5
# Callers are asked to retry after at least this time plus a random time of the same
# length, so that the callers of a burst do not return as another burst.
_MIN_RETRY_S = 0.1
# Callers retry after at most a third of the time that they have left.
_MAX_RETRY_FRACTION = 1 / 3


class Forecast(NamedTuple):
    """Expected times of a request.

    Attributes:
        seconds: Seconds until the first event.
        idle_seconds: The same if there were no other requests.
        objective: Seconds from now until the first event is due.
        remaining: Seconds from now until the caller times out.
    """

    seconds: float
    idle_seconds: float
    objective: float
    remaining: float


def admits(
    forecast: Forecast,
    more_urgent: float,
    policy: Policy = FULL_POLICY,
    *,
    patience: float = 1.0,
) -> bool:
    """Return whether a request should start.

    This sheds bursts beyond the capacity of the stages. If every request started, the
    queues would grow until all requests are late, including those that arrive after
    the burst, and requests that end without a response would take work from others.
    A request that would wait until it is late is therefore rejected at once. A request
    that has started is finished before later ones of any urgency; less urgent requests
    are therefore rejected a little earlier, since a sustained burst of them would
    otherwise keep urgent ones out.

    Args:
        forecast: Expected times of the request.
        more_urgent: Fraction of recent requests that are more urgent.
        policy: Enabled mechanisms.
        patience: Fraction of its usual wait that it may be expected to wait.
    """
    if forecast.seconds > forecast.remaining:
        return False
    if not policy.has(Mechanism.ADMISSION):
        return True
    return seconds_until_room(forecast, more_urgent, policy, patience=patience) <= 0


def seconds_until_room(
    forecast: Forecast,
    more_urgent: float,
    policy: Policy = FULL_POLICY,
    *,
    patience: float = 1.0,
) -> float:
    """Return the seconds until a request would be admitted if nothing else came.

    Args:
        forecast: Expected times of the request.
        more_urgent: Fraction of recent requests that are more urgent.
        policy: Enabled mechanisms.
        patience: Fraction of its usual wait that it may be expected to wait.
    """
    fraction = _MAX_OBJECTIVE_FRACTION - _URGENT_RESERVE_FRACTION * more_urgent
    slack = fraction * forecast.objective - forecast.idle_seconds
    factor = _WAIT_FACTOR
    if policy.has(Mechanism.OVERTAKING):
        factor += _OVERTAKING_FACTOR * more_urgent
    waiting = factor * (forecast.seconds - forecast.idle_seconds)
    limit = max(slack, _LARGE_REQUEST_WAIT_FRACTION * forecast.objective)
    return (waiting - patience * limit) / factor


def retry_after(forecast: Forecast) -> float:
    """Return the seconds after which a rejected caller should retry."""
    upper = forecast.remaining * _MAX_RETRY_FRACTION
    lower = min(upper, max(_MIN_RETRY_S, forecast.seconds - forecast.objective))
    return random.uniform(lower, upper)


def add_jitter(wait: float | None) -> float | None:
    """Return a random time between a wait and twice the wait.

    Args:
        wait: Seconds until there is capacity, None if that is unknown.

    Returns:
        Seconds after which to retry, spread so that callers that were rejected
        together return one by one; None if the wait is unknown.
    """
    if wait is None:
        return None
    lower = max(_MIN_RETRY_S, wait)
    return random.uniform(lower, 2.0 * lower)
