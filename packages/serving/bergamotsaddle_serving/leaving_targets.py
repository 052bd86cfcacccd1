"""Targets whose responses say that they are about to leave."""

from collections.abc import Callable, Sequence
from typing import Any

from bergamotsaddle_serving.catalog import Target, parse_fact_key
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.view import View

# Far longer than a target takes to leave.
_LEAVING = Topic("leaving", ttl_seconds=600.0, max_facts=5_000)
_IS_LEAVING = 1.0
_PRIORITY = 100.0


class LeavingTargets:
    """Marks targets that say in their responses that they leave.

    The list of targets may be late or unreachable, so each instance tells all others.
    Every path chooses targets by the view, which leaves marked ones out. A new
    incarnation of a target is not marked.

    Args:
        gossip: Carries the facts to all instances.
        publish: Sends new facts to the other instances.
        view: Leaves marked targets out.
        logger: Gets a line when this instance hears of a leave first.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        view: View,
        logger: Any,
    ) -> None:
        self._gossip = gossip
        self._publish = publish
        self._view = view
        self._logger = logger
        gossip.subscribe(_LEAVING, self._on_fact, priority=lambda key: _PRIORITY)

    def record(self, target: Target) -> None:
        """Record that a target said that it leaves."""
        fact = self._gossip.record(_LEAVING, target.key, _IS_LEAVING)
        if fact is None:
            return
        self._logger.info("target_leaving", target=target.id, service=target.service)
        self._publish([fact])

    def _on_fact(self, key: str, value: float | None) -> None:
        try:
            incarnation = parse_fact_key(key)
        except ValueError:
            self._logger.warning("fact_malformed", topic=_LEAVING.name, key=key)
            return
        self._view.mark_leaving(incarnation, is_leaving=value is not None)
