"""Limits that targets name in their responses."""

from collections.abc import Callable, Sequence
from typing import Any

from bergamotsaddle_serving.catalog import Target, fact_key
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact

RATES = Topic("limit", ttl_seconds=3_600.0, max_facts=5_000)
BRITTLENESS = Topic("brittle", ttl_seconds=3_600.0, max_facts=5_000)
_NO_LIMIT = -1.0
# Higher than that of crashes: a limit is in force now, while most crashes of targets
# have no consequence.
_PRIORITY = 100.0


class NamedLimits:
    """Limits that targets name for all instances together.

    These are the requests per second that overloaded targets accept, or the rejections
    per second that brittle targets survive.

    A response reaches one instance, which sends the limit to all other instances. The
    latest response of a target counts, and one without a limit ends it. A new
    incarnation of a target starts without a limit.

    Args:
        gossip: Carries the limits to all instances.
        publish: Sends new facts to the other instances.
        logger: Gets a line when this instance sees a limit start, change or end.
        topic: Topic of the limits.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        logger: Any,
        topic: Topic = RATES,
    ) -> None:
        self._topic = topic
        self._gossip = gossip
        self._publish = publish
        self._logger = logger
        self._limit_by_key: dict[str, float] = {}
        gossip.subscribe(self._topic, self._on_fact, priority=lambda key: _PRIORITY)

    def record(self, target: Target, limit: float | None) -> None:
        """Record the limit in a response of a target.

        Args:
            target: The target.
            limit: The limit, None if the response names no limit.
        """
        key = target.key
        if limit is None and key not in self._limit_by_key:
            return
        fact = self._gossip.record(
            self._topic, key, _NO_LIMIT if limit is None else limit
        )
        if fact is None:
            return
        self._logger.warning(
            "limit_named", topic=self._topic.name, target=target.id, limit=limit
        )
        self._publish([fact])

    def of(self, target: Target) -> float | None:
        """Return the current limit of a target, None if there is none."""
        if not self._limit_by_key:
            return None
        return self._limit_by_key.get(target.key)

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget the limits of all other target incarnations."""
        if not self._limit_by_key:
            return
        kept = {fact_key(incarnation) for incarnation in incarnations}
        for key in [key for key in self._limit_by_key if key not in kept]:
            self._gossip.forget(self._topic, key)

    def __len__(self) -> int:
        """Number of targets that have a limit."""
        return len(self._limit_by_key)

    def _on_fact(self, key: str, value: float | None) -> None:
        if value is None or value == _NO_LIMIT:
            self._limit_by_key.pop(key, None)
        else:
            self._limit_by_key[key] = value
