"""Facts that one instance observed and all of them need. No input or output here."""

from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.peer_messages import Fact

_HASH_BYTES = 8
# A fact is as old as it was when it was sent, and a little older when it arrives. A
# contradiction must be newer by more than that to count as later news.
_TRANSIT_S = 0.1

Watcher = Callable[[str, float | None], None]


class Topic(NamedTuple):
    """A kind of facts.

    Attributes:
        name: Its name.
        keep_seconds: Age at which a fact is forgotten.
        most: Facts that are kept at most.
    """

    name: str
    keep_seconds: float
    most: int


class _Held(NamedTuple):
    """A fact as this instance holds it."""

    value: float
    observed_at: float
    hash: int


class _Table:
    """The facts of one topic."""

    def __init__(
        self, topic: Topic, watcher: Watcher, worth: Callable[[str], float]
    ) -> None:
        self.topic = topic
        self.watcher = watcher
        self.worth = worth
        self.held_by_key: dict[str, _Held] = {}


class Gossip:
    """What all instances tell each other of targets and requests.

    A fact has a key and a value. The latest observation of a key wins, so that all
    instances come to hold the same, in whatever order and however often they hear.
    """

    def __init__(self) -> None:
        self._table_by_topic: dict[str, _Table] = {}
        self._digest = 0

    def subscribe(
        self,
        topic: Topic,
        watcher: Watcher,
        *,
        worth: Callable[[str], float] = lambda key: 0.0,
    ) -> None:
        """Take part in a topic; facts of topics that are not open are passed over.

        Args:
            topic: The topic.
            watcher: Called with the key and the value of each fact that is new or has
                changed, and with None once it is forgotten.
            worth: Tells which of too many facts are kept: those of the highest worth.
        """
        self._table_by_topic[topic.name] = _Table(topic, watcher, worth)

    def record(self, topic: Topic, key: str, value: float) -> Fact | None:
        """Note what this instance has just observed.

        Returns:
            The fact to tell the others, None if it is no news.
        """
        table = self._table_by_topic[topic.name]
        known = table.held_by_key.get(key)
        self._put(table, key, value, now())
        if known is not None and known.value == value:
            return None
        return Fact(topic.name, key, value, 0.0)

    def merge(self, facts: Sequence[Fact]) -> None:
        """Take in what another instance told."""
        moment = now()
        for fact in facts:
            table = self._table_by_topic.get(fact.topic)
            if table is None or fact.age > table.topic.keep_seconds:
                continue
            observed_at = moment - max(0.0, fact.age)
            if _is_news(table.held_by_key.get(fact.key), fact.value, observed_at):
                self._put(table, fact.key, fact.value, observed_at)

    def value(self, topic: Topic, key: str) -> float | None:
        """The value of a fact, None if it is unknown."""
        held = self._table_by_topic[topic.name].held_by_key.get(key)
        return None if held is None else held.value

    def drop_expired(self) -> None:
        """Forget facts that are past their time."""
        moment = now()
        for table in self._table_by_topic.values():
            since = moment - table.topic.keep_seconds
            held = table.held_by_key
            for key in [k for k, fact in held.items() if fact.observed_at < since]:
                self._drop(table, key)

    def forget(self, topic: Topic, key: str) -> None:
        """Forget a fact that is of no use any more."""
        table = self._table_by_topic[topic.name]
        if key in table.held_by_key:
            self._drop(table, key)

    @property
    def digest(self) -> int:
        """The same number at all instances that hold the same facts; 0 for none."""
        return self._digest

    def facts(self) -> list[Fact]:
        """All facts that are held, those of most worth first."""
        moment = now()
        by_worth = [
            (table.worth(key), Fact(name, key, held.value, moment - held.observed_at))
            for name, table in self._table_by_topic.items()
            for key, held in table.held_by_key.items()
        ]
        by_worth.sort(key=lambda pair: pair[0], reverse=True)
        return [fact for _, fact in by_worth]

    def _put(self, table: _Table, key: str, value: float, moment: float) -> None:
        known = table.held_by_key.get(key)
        if known is not None and known.value == value:
            table.held_by_key[key] = known._replace(observed_at=moment)
            return
        if known is not None:
            self._digest ^= known.hash
        hashed = _hash(table.topic.name, key, value)
        table.held_by_key[key] = _Held(value, moment, hashed)
        self._digest ^= hashed
        table.watcher(key, value)
        if len(table.held_by_key) > table.topic.most:
            self._drop(table, self._least(table))

    def _drop(self, table: _Table, key: str) -> None:
        self._digest ^= table.held_by_key.pop(key).hash
        table.watcher(key, None)

    def _least(self, table: _Table) -> str:
        held = table.held_by_key
        return min(held, key=lambda key: (table.worth(key), held[key].observed_at))


def _is_news(known: _Held | None, value: float, observed_at: float) -> bool:
    """Tell whether an observation replaces the one that is held.

    The same value again is taken only if it is clearly younger: each hop makes a fact
    look younger by its time on the way, and would keep it alive for ever.
    """
    if known is None:
        return True
    return observed_at > known.observed_at + _TRANSIT_S


def _hash(topic: str, key: str, value: float) -> int:
    text = f"{topic} {key} {value}".encode()
    return int.from_bytes(blake2b(text, digest_size=_HASH_BYTES).digest(), "big")
