"""Chooses a target among those that may get a call."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_daemon.registry import ROUTING_POLICIES
from bergamotsaddle_daemon.targets import Target

_SAMPLE = 3
_AFFINITY_SLACK = 0.25
_PREFIXES_KEPT = 10_000
_LOCAL_FULL = 0.9


class Choice(NamedTuple):
    """A target and why it was chosen."""

    target: Target
    reason: str


class RoutingRequest(NamedTuple):
    """What a policy knows of the call.

    Attributes:
        zone: Zone of this instance.
        prefix: Start of the prompt, shared by calls whose cache can be reused.
    """

    zone: str
    prefix: str


Policy = Callable[[list[Target], RoutingRequest], Choice]


@ROUTING_POLICIES.register("round_robin")
class RoundRobin:
    """Each in turn; the baseline."""

    def __init__(self) -> None:
        self._turn = 0

    def __call__(self, candidates: list[Target], request: RoutingRequest) -> Choice:
        """Choose one of at least one candidate."""
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)], "its turn")


@ROUTING_POLICIES.register("least_of_few")
class LeastOfFew:
    """Own zone first, then the least loaded of a few, kept near a cached prefix."""

    def __init__(self) -> None:
        self._target_by_prefix: OrderedDict[str, str] = OrderedDict()

    def __call__(self, candidates: list[Target], request: RoutingRequest) -> Choice:
        """Choose one of at least one candidate."""
        local = [
            target
            for target in candidates
            if target.declared.zone == request.zone and target.load() < _LOCAL_FULL
        ]
        where, pool = ("own zone", local) if local else ("any zone", candidates)
        sample = pool if len(pool) <= _SAMPLE else random.sample(pool, _SAMPLE)
        least = min(sample, key=lambda target: (target.load(), random.random()))
        choice = self._follow_prefix(pool, least, request.prefix)
        if choice is None:
            choice = Choice(least, f"least loaded of {len(sample)} in {where}")
        if request.prefix:
            self._remember(request.prefix, choice.target.id)
        return choice

    def _follow_prefix(
        self, pool: list[Target], least: Target, prefix: str
    ) -> Choice | None:
        known = self._target_by_prefix.get(prefix) if prefix else None
        for target in pool:
            if target.id == known and target.load() <= least.load() + _AFFINITY_SLACK:
                return Choice(target, "holds the prompt's prefix")
        return None

    def _remember(self, prefix: str, target_id: str) -> None:
        self._target_by_prefix[prefix] = target_id
        self._target_by_prefix.move_to_end(prefix)
        if len(self._target_by_prefix) > _PREFIXES_KEPT:
            self._target_by_prefix.popitem(last=False)
