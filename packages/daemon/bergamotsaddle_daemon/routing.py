"""Policies that choose a target among those that may get a call."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_daemon.registry import ROUTING_POLICIES
from bergamotsaddle_daemon.targets import Target

_SAMPLE_SIZE = 3
_AFFINITY_SLACK = 0.25
_MAX_PREFIXES = 10_000
_LOCAL_FULL_LOAD = 0.9


class Choice(NamedTuple):
    """The chosen target and the reason for the choice."""

    target: Target
    reason: str


class RoutingRequest(NamedTuple):
    """What a routing policy knows about a call.

    Attributes:
        zone: Zone of this instance.
        prefix: Start of the prompt; calls with the same one can reuse a cached prefix.
    """

    zone: str
    prefix: str


Policy = Callable[[list[Target], RoutingRequest], Choice]


@ROUTING_POLICIES.register("round_robin")
class RoundRobin:
    """Chooses the candidates in turn; the baseline policy."""

    def __init__(self) -> None:
        self._turn = 0

    def __call__(self, candidates: list[Target], request: RoutingRequest) -> Choice:
        """Choose one of at least one candidate."""
        self._turn += 1
        return Choice(candidates[self._turn % len(candidates)], "its turn")


@ROUTING_POLICIES.register("least_of_few")
class LeastOfFew:
    """Chooses the least loaded of a few random candidates.

    Candidates in the instance's own zone are preferred until they are nearly full. A
    target that was chosen for the same prompt prefix before, and may still have it
    cached, is chosen again unless it is much more loaded.
    """

    def __init__(self) -> None:
        self._target_by_prefix: OrderedDict[str, str] = OrderedDict()

    def __call__(self, candidates: list[Target], request: RoutingRequest) -> Choice:
        """Choose one of at least one candidate."""
        local = [
            target
            for target in candidates
            if target.declared.zone == request.zone and target.load() < _LOCAL_FULL_LOAD
        ]
        where, pool = ("own zone", local) if local else ("any zone", candidates)
        sample = (
            pool if len(pool) <= _SAMPLE_SIZE else random.sample(pool, _SAMPLE_SIZE)
        )
        least_loaded = min(sample, key=lambda target: (target.load(), random.random()))
        choice = self._follow_prefix(pool, least_loaded, request.prefix)
        if choice is None:
            choice = Choice(least_loaded, f"least loaded of {len(sample)} in {where}")
        if request.prefix:
            self._remember(request.prefix, choice.target.id)
        return choice

    def _follow_prefix(
        self, pool: list[Target], least_loaded: Target, prefix: str
    ) -> Choice | None:
        known = self._target_by_prefix.get(prefix) if prefix else None
        for target in pool:
            if (
                target.id == known
                and target.load() <= least_loaded.load() + _AFFINITY_SLACK
            ):
                return Choice(target, "holds the prompt's prefix")
        return None

    def _remember(self, prefix: str, target_id: str) -> None:
        self._target_by_prefix[prefix] = target_id
        self._target_by_prefix.move_to_end(prefix)
        if len(self._target_by_prefix) > _MAX_PREFIXES:
            self._target_by_prefix.popitem(last=False)
