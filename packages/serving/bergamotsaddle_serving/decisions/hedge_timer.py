"""When a repeatable request is sent to a second target.

This module does no input or output.
"""

# A response that takes this many times as long as usual is rare at a sound target.
_RARE_FACTOR = 4.0
# Before this many times the usual time the first target is likely to respond soon.
_EARLY_FACTOR = 2.0
# The second target is given this many times the usual time before the objective.
_SECOND_RUN_FACTOR = 1.5
# The usual time before the first response, as a fraction of the objective: callers ask
# for some times what a response usually takes.
_UNKNOWN_FRACTION = 0.25


def usual_or_assumed(usual: float, objective: float) -> float:
    """Return the usual seconds of a response, or what its objective lets expect.

    In a large fleet an instance gets so few requests for a service that many of these
    are its first one.

    Args:
        usual: Usual seconds as this instance observed them, 0 if it observed none.
        objective: Seconds in which callers want the response.
    """
    return usual or _UNKNOWN_FRACTION * objective


def hedge_delay(usual: float, objective: float) -> float:
    """Return the seconds after which a request is sent to a second target.

    This serves targets that slow down for a moment, while others of their service do
    not: the few requests that are at them take several times as long as the others.
    The second target gets the request while it can still respond in time, or once the
    response is so late that the first target has most likely slowed down. It never gets
    it earlier than that, also if the objective is short: the extra work would then be
    spent on requests whose responses are about to arrive.

    Args:
        usual: Seconds that a response of the service usually takes.
        objective: Seconds until the response is due.
    """
    latest = objective - _SECOND_RUN_FACTOR * usual
    return max(_EARLY_FACTOR * usual, min(latest, _RARE_FACTOR * usual))
