"""Chooses the instance that serves a request for an instance without targets.

This module does no input or output.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

_SAMPLED = 2
_MIN_CORES = 0.01
# Requests of other instances that an instance serves at the same time even if it serves
# none of its own callers.
_MIN_RELAYED = 16
# Timers that are this late show that the processor is busy.
_MAX_DELAY_S = 0.03


class Helper(NamedTuple):
    """An instance that reaches the targets of a service.

    Attributes:
        id: Id of the instance.
        zone: Its availability zone.
        host: Its IP address.
        cores: Cores that it can spend on work for others.
        in_flight: Requests that this instance has handed over to it and that run.
    """

    id: str
    zone: str
    host: str
    cores: float
    in_flight: int

    @property
    def load(self) -> float:
        """Requests in flight per core."""
        return self.in_flight / max(_MIN_CORES, self.cores)


def choose_helper(
    helpers: Sequence[Helper], own_zone: str, region: Callable[[str], str]
) -> Helper | None:
    """Choose a helper: in the own zone, else in the own region, else anywhere.

    Many instances of a zone may be cut off at the same time. Each of them chooses the
    less loaded of two random helpers, so that they do not all choose the same one.

    Args:
        helpers: The possible helpers.
        own_zone: Availability zone of the instance that hands over.
        region: Returns the region of a zone.

    Returns:
        The helper, None if there is none.
    """
    near = [helper for helper in helpers if helper.zone == own_zone]
    if not near:
        own_region = region(own_zone)
        near = [helper for helper in helpers if region(helper.zone) == own_region]
    candidates = near or helpers
    sampled = random.sample(candidates, min(_SAMPLED, len(candidates)))
    return min(sampled, key=lambda helper: helper.load, default=None)


def may_relay(*, relayed: int, local: int, delay: float) -> bool:
    """Return whether a helper may serve another relayed request.

    A helper that has processor time to spare serves all of them. On a busy one, they
    get at most as many places as the requests of its own callers, which would
    otherwise be crowded out.

    Args:
        relayed: Relayed requests that run at the helper.
        local: Requests of its own callers that run there.
        delay: Seconds by which its timers fire late.
    """
    return delay < _MAX_DELAY_S or relayed < max(_MIN_RELAYED, local)
