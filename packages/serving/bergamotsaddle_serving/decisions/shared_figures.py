"""Figures that all instances estimate together from what each of them measures.

This module does no input or output.
"""

import math
from collections.abc import Callable, Sequence

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact

# What a new measurement counts against the earlier ones.
MEASUREMENT_WEIGHT = 0.3
# Difference from the shared figure that is worth a message, as a power of two.
NOTABLE_OCTAVES = 0.3
_DECIMALS = 2
# An instance sends what has changed together, at most once in this time.
_MIN_PAUSE_S = 2.0
_MAX_BATCH = 8
# All instances together send this many messages a second in the long run, however
# many targets and instances there are. So many may come at once, such as after a
# restart of all, but each instance may always send one.
_MESSAGES_PER_S = 1.0
_SAVED_MESSAGES = 200.0
_MAX_OWN_SAVED_MESSAGES = 3.0
# As that of limits that targets name.
_PRIORITY = 50.0


class FigureSender:
    """Sends changed figures, few at a time, whatever the size of the fleet.

    Args:
        publish: Sends new facts to the other instances.
        instances: Returns the number of instances.
    """

    def __init__(
        self,
        publish: Callable[[Sequence[Fact | None]], None],
        instances: Callable[[], int],
    ) -> None:
        self._publish = publish
        self._instances = instances
        self._take_by_key: dict[tuple[str, str], Callable[[], Fact | None]] = {}
        self._saved = _MAX_OWN_SAVED_MESSAGES
        self._saved_at = now()
        self._sent_at = -math.inf

    def offer(self, topic: Topic, key: str, take: Callable[[], Fact | None]) -> None:
        """Offer a figure that has changed.

        Args:
            topic: Topic of the figure.
            key: Its key.
            take: Returns the fact once it is to be sent, None if it is not needed.
        """
        self._take_by_key[topic.name, key] = take
        if not self._may_send():
            return
        keys = list(self._take_by_key)[:_MAX_BATCH]
        facts = [self._take_by_key.pop(key)() for key in keys]
        if any(fact is not None for fact in facts):
            self._saved -= 1.0
            self._sent_at = now()
            self._publish(facts)

    def drop(self, topic: Topic, key: str) -> None:
        """Drop an offer."""
        self._take_by_key.pop((topic.name, key), None)

    def _may_send(self) -> bool:
        at = now()
        instances = max(1, self._instances())
        earned = (at - self._saved_at) * _MESSAGES_PER_S / instances
        most = min(_MAX_OWN_SAVED_MESSAGES, max(1.0, _SAVED_MESSAGES / instances))
        self._saved = min(most, self._saved + earned)
        self._saved_at = at
        return self._saved >= 1.0 and at - self._sent_at >= _MIN_PAUSE_S


class SharedFigures:
    """Positive figures by key, as powers of two, each of which has a usual range.

    A measurement reaches one instance. It moves that instance's estimate, which starts
    from the last one that any instance told; an estimate that differs notably from
    that one is told to all, and the latest one wins.

    Args:
        gossip: Carries the figures to all instances.
        sender: Sends them.
        topic: Topic of the figures.
        lowest: Lowest figure; lower ones count as this one.
        highest: Highest figure; higher ones count as this one.
        notable: Difference from the shared figure that is told, as a power of two.
        on_change: Called with the key of a figure that has changed or was dropped.
    """

    def __init__(
        self,
        gossip: Gossip,
        sender: FigureSender,
        topic: Topic,
        *,
        lowest: float,
        highest: float,
        notable: float = NOTABLE_OCTAVES,
        on_change: Callable[[str], None] = lambda key: None,
    ) -> None:
        self.topic = topic
        self._gossip = gossip
        self._sender = sender
        self._lowest = math.log2(lowest)
        self._highest = math.log2(highest)
        self._notable = notable
        self._on_change = on_change
        self._octaves_by_key: dict[str, float] = {}
        self._shared_by_key: dict[str, float] = {}
        gossip.subscribe(topic, self._on_fact, priority=lambda key: _PRIORITY)

    def record(self, key: str, value: float) -> None:
        """Record a measurement of this instance."""
        if not value > 0.0 or math.isinf(value):
            return
        measured = self._clamp(math.log2(value))
        known = self._octaves_by_key.get(key)
        octaves = measured
        if known is not None:
            octaves = known + MEASUREMENT_WEIGHT * (measured - known)
        self._octaves_by_key[key] = octaves
        shared = self._shared_by_key.get(key)
        if shared is None or abs(octaves - shared) >= self._notable:
            self._sender.offer(self.topic, key, lambda: self._take(key))
        self._on_change(key)

    def get(self, key: str) -> float | None:
        """Return a figure as this instance estimates it, None if it is unknown."""
        octaves = self._octaves_by_key.get(key)
        return None if octaves is None else 2.0**octaves

    def has_shared(self, key: str) -> bool:
        """Return whether an instance has told a figure to all."""
        return key in self._shared_by_key

    def keep_only(self, keys: set[str]) -> None:
        """Forget the figures of all other keys."""
        for key in [key for key in self._octaves_by_key if key not in keys]:
            self._sender.drop(self.topic, key)
            self._gossip.forget(self.topic, key)
            if self._octaves_by_key.pop(key, None) is not None:
                self._on_change(key)

    def __len__(self) -> int:
        """Number of known figures."""
        return len(self._octaves_by_key)

    def _take(self, key: str) -> Fact | None:
        octaves = self._octaves_by_key.get(key)
        if octaves is None:
            return None
        return self._gossip.record(self.topic, key, round(octaves, _DECIMALS))

    def _on_fact(self, key: str, value: float | None) -> None:
        if value is None:
            self._octaves_by_key.pop(key, None)
            self._shared_by_key.pop(key, None)
        elif math.isfinite(value):
            octaves = self._clamp(value)
            self._octaves_by_key[key] = self._shared_by_key[key] = octaves
        self._on_change(key)

    def _clamp(self, octaves: float) -> float:
        return min(self._highest, max(self._lowest, octaves))
