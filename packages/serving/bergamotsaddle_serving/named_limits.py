"""The limits that targets name in their answers."""

from collections.abc import Callable, Sequence
from typing import Any

from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact

_LIMITS = Topic("limit", keep_seconds=3_600.0, most=5_000)
_NONE = -1.0
# A limit is in force now, while most ends of targets have no consequence.
_WORTH = 100.0


class NamedLimits:
    """Requests a second that targets in need take from all instances together.

    An answer tells one instance; the others are told by it. The latest answer of a
    target counts, and one that names no limit ends it. A new life of a target has
    named nothing.

    Args:
        gossip: Carries the limits to all instances.
        tell: Tells the others what is new.
        logger: Gets a line when this instance sees a limit begin, change or end.
    """

    def __init__(
        self,
        gossip: Gossip,
        tell: Callable[[Sequence[Fact | None]], None],
        logger: Any,
    ) -> None:
        self._gossip = gossip
        self._tell = tell
        self._logger = logger
        self._limit_by_key: dict[str, float] = {}
        gossip.subscribe(_LIMITS, self._hear, worth=lambda key: _WORTH)

    def record(self, target: Target, limit: float | None) -> None:
        """Note what an answer of a target says.

        Args:
            target: The target.
            limit: Requests a second, None if it names none.
        """
        key = _key(target)
        if limit is None and key not in self._limit_by_key:
            return
        fact = self._gossip.record(_LIMITS, key, _NONE if limit is None else limit)
        if fact is None:
            return
        self._logger.warning("limit_named", target=target.id, limit=limit)
        self._tell([fact])

    def of(self, target: Target) -> float | None:
        """The limit that a target names, None if it names none."""
        if not self._limit_by_key:
            return None
        return self._limit_by_key.get(_key(target))

    def keep_only(self, lives: set[tuple[str, int]]) -> None:
        """Forget the limits of targets that are gone."""
        kept = {_name(*life) for life in lives}
        for key in [key for key in self._limit_by_key if key not in kept]:
            self._gossip.forget(_LIMITS, key)

    def __len__(self) -> int:
        """Number of targets that name a limit."""
        return len(self._limit_by_key)

    def _hear(self, key: str, value: float | None) -> None:
        if value is None or value == _NONE:
            self._limit_by_key.pop(key, None)
        else:
            self._limit_by_key[key] = value


def _key(target: Target) -> str:
    return _name(*target.incarnation)


def _name(target_id: str, started_ms: int) -> str:
    return f"{target_id} {started_ms}"
