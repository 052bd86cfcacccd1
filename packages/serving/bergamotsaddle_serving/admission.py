"""Decides whether a request is begun, before any work for it. No input or output."""

import random
from typing import NamedTuple

from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# The part of the objective that a request may be expected to use.
_MOST_PART = 0.9
# What it leaves of that to more urgent ones if all others are.
_URGENT_PART = 0.2
# A request that takes longer than its objective even on idle targets, as those with the
# longest prompts do, may still wait for this part of it: large requests must be served
# as well as small ones.
_LARGE_PART = 0.25
# How much longer than expected waits are taken to be: targets fail, and bursts go on.
_WAIT_FACTOR = 1.3
# What is added to that if all other requests are more urgent: newcomers go ahead in the
# meantime, but are refused in a burst like everybody else.
_OVERTAKING = 0.5
# Callers are told to come back after at least this time, and spread over as much again,
# so that those of a burst do not return as another burst.
_LEAST_RETRY_S = 0.1
# Callers come back after a third of the time that they have left at most.
_MOST_RETRY_PART = 1 / 3


class Forecast(NamedTuple):
    """What is expected of a request.

    Attributes:
        seconds: Until the first event.
        idle_seconds: The same if nothing else were to be done.
        objective: Seconds from now until it is due.
        left: Seconds from now until the caller gives up.
    """

    seconds: float
    idle_seconds: float
    objective: float
    left: float


def admits(
    forecast: Forecast, more_urgent: float, policy: Policy = FULL_POLICY
) -> bool:
    """Tell whether a request should be begun.

    Answers bursts beyond what the stages can do. If all were begun, the queues would
    grow until every request is late, those that come after the burst as well; work for
    requests that end without an answer would be taken from others. So a request is
    refused at once when it would wait until it is late. Once begun it is finished,
    before newcomers of any kind; less urgent kinds are therefore refused a little
    earlier, or a sustained burst of them would keep urgent ones out.

    Args:
        forecast: What is expected.
        more_urgent: Part of the requests of late that are more urgent.
        policy: Which mechanisms are in force.
    """
    if forecast.seconds > forecast.left:
        return False
    if not policy.has(Mechanism.ADMISSION):
        return True
    part = _MOST_PART - _URGENT_PART * more_urgent
    slack = part * forecast.objective - forecast.idle_seconds
    factor = _WAIT_FACTOR
    if policy.has(Mechanism.OVERTAKING):
        factor += _OVERTAKING * more_urgent
    waiting = factor * (forecast.seconds - forecast.idle_seconds)
    return waiting <= max(slack, _LARGE_PART * forecast.objective)


def retry_after(forecast: Forecast) -> float:
    """Seconds after which a refused caller should come back."""
    most = forecast.left * _MOST_RETRY_PART
    least = min(most, max(_LEAST_RETRY_S, forecast.seconds - forecast.objective))
    return random.uniform(least, most)


def add_jitter(wait: float | None) -> float | None:
    """When a caller should come back for whom there is room after a wait.

    Args:
        wait: Seconds until there is room, None if that is unknown.

    Returns:
        Seconds, spread so that those who were refused together return one by one;
        None if unknown.
    """
    if wait is None:
        return None
    least = max(_LEAST_RETRY_S, wait)
    return random.uniform(least, 2.0 * least)
