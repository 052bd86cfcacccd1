"""Brittle targets, which fail if they have to reject many requests."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.named_limits import NamedLimits
from bergamotsaddle_serving.peer_messages import Fact

_FULL = Topic("full", ttl_seconds=5.0, max_facts=2_000)
_PRIORITY = 100.0
# Rejections are counted in spans of a second. Each instance leaves a full target alone
# for at least this long, and returns at a time of its own.
_MIN_PAUSE_S = 1.0
_MAX_PAUSE_S = 1.5


class FullTargets:
    """Keeps the rejections of brittle targets rare, for all instances together.

    A brittle target says in its responses how many requests it can reject in a second;
    one more makes it fail. How many requests the other instances have sent it is known
    only with a delay. So an instance sends to a brittle target only while it knows of
    a free slot there, without use of the target's queue, and the first rejection makes
    all instances leave the target alone for a while.

    Args:
        gossip: Carries rejections to all instances.
        publish: Sends new facts to the other instances.
        brittleness: Rejections that each brittle target can bear in a second.
        logger: Gets a line when a brittle target rejects a request.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        brittleness: NamedLimits,
        logger: Any,
    ) -> None:
        self._gossip = gossip
        self._publish = publish
        self._brittleness = brittleness
        self._logger = logger
        self._free_at_by_key: dict[str, float] = {}
        self._rejections = 0
        gossip.subscribe(_FULL, self._on_fact, priority=lambda key: _PRIORITY)

    def record_rejection(self, target: Target) -> None:
        """Record that a target had no room for a request."""
        if self._brittleness.of(target) is None:
            return
        self._rejections += 1
        # Only a new value is passed on, and the instances' counts differ.
        value = self._rejections + random.random()
        self._publish([self._gossip.record(_FULL, target.key, value)])
        self._logger.warning("brittle_full", target=target.id)

    def has_room(self, target: Target, requests: int) -> bool:
        """Return whether a target may get a request besides those that it has.

        Args:
            target: The target.
            requests: Requests of all instances at the target, as far as known.
        """
        if self._brittleness.of(target) is None:
            return True
        return not self.wait(target) and requests < max(1, target.slots)

    def wait(self, target: Target) -> float:
        """Return for how many seconds to leave a target alone, 0 if not at all."""
        if not self._free_at_by_key:
            return 0.0
        return max(0.0, self._free_at_by_key.get(target.key, 0.0) - now())

    def _on_fact(self, key: str, value: float | None) -> None:
        if value is None:
            self._free_at_by_key.pop(key, None)
            return
        pause = random.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
        self._free_at_by_key[key] = now() + pause
