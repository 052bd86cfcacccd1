"""Facts that one instance observed and that all instances need.

This module does no input or output.
"""

from collections.abc import Callable, Container, Sequence
from hashlib import blake2b
from operator import itemgetter
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.peer_messages import Fact

_HASH_BYTES = 8
# Facts are compared by groups, so that a few that differ are found among thousands. The
# digests of all groups fit into one packet.
_GROUPS = 128
_GROUP_DIGEST_BYTES = 4
_GROUP_DIGEST_MASK = (1 << 8 * _GROUP_DIGEST_BYTES) - 1
# A fact carries its age at the time it was sent, so it is slightly older on arrival. An
# observation must be newer by more than this to replace the stored one.
_TRANSIT_S = 0.1

Listener = Callable[[str, float | None], None]


class Topic(NamedTuple):
    """A kind of fact.

    Attributes:
        name: Name of the topic.
        ttl_seconds: Age at which a fact is dropped.
        max_facts: Maximum number of facts that are kept.
    """

    name: str
    ttl_seconds: float
    max_facts: int


class _StoredFact(NamedTuple):
    """A fact as this instance stores it."""

    value: float
    observed_at: float
    hash: int


class _Table:
    """The facts of one topic."""

    def __init__(
        self, topic: Topic, listener: Listener, priority: Callable[[str], float]
    ) -> None:
        self.topic = topic
        self.listener = listener
        self.priority = priority
        self.stored_by_key: dict[str, _StoredFact] = {}


class Gossip:
    """Facts about targets and requests that all instances share.

    A fact has a key and a value. The latest observation of a key wins, so all instances
    converge to the same facts, in whatever order and however often they receive them.
    """

    def __init__(self) -> None:
        self._table_by_topic: dict[str, _Table] = {}
        self._digests = [0] * _GROUPS
        self._digest = 0

    def subscribe(
        self,
        topic: Topic,
        listener: Listener,
        *,
        priority: Callable[[str], float] = lambda key: 0.0,
    ) -> None:
        """Subscribe to a topic; facts of all other topics are ignored.

        Args:
            topic: The topic.
            listener: Called with the key and the value of each fact that is new or has
                changed, and with the key and None once a fact is dropped.
            priority: Returns the retention priority of a key. If there are too many
                facts, those of the highest priority are kept.
        """
        self._table_by_topic[topic.name] = _Table(topic, listener, priority)

    def record(self, topic: Topic, key: str, value: float) -> Fact | None:
        """Record an observation of this instance.

        Returns:
            The fact to send to the other instances, None if its value is not new.
        """
        table = self._table_by_topic[topic.name]
        known = table.stored_by_key.get(key)
        self._put(table, key, value, now())
        if known is not None and known.value == value:
            return None
        return Fact(topic.name, key, value, 0.0)

    def merge(self, facts: Sequence[Fact]) -> None:
        """Merge facts that another instance sent."""
        received_at = now()
        for fact in facts:
            table = self._table_by_topic.get(fact.topic)
            if table is None or fact.age > table.topic.ttl_seconds:
                continue
            observed_at = received_at - max(0.0, fact.age)
            if _is_newer(table.stored_by_key.get(fact.key), fact.value, observed_at):
                self._put(table, fact.key, fact.value, observed_at)

    def value(self, topic: Topic, key: str) -> float | None:
        """Return the value of a fact, None if it is unknown."""
        stored = self._table_by_topic[topic.name].stored_by_key.get(key)
        return None if stored is None else stored.value

    def observed_at(self, topic: Topic, key: str) -> float:
        """Return when a stored fact was observed, on the hub's clock."""
        return self._table_by_topic[topic.name].stored_by_key[key].observed_at

    def drop_expired(self) -> None:
        """Drop facts that are older than the limit of their topic."""
        current_time = now()
        for table in self._table_by_topic.values():
            since = current_time - table.topic.ttl_seconds
            stored = table.stored_by_key
            for key in [k for k, fact in stored.items() if fact.observed_at < since]:
                self._drop(table, key)

    def forget(self, topic: Topic, key: str) -> None:
        """Drop a fact that is not needed any more."""
        table = self._table_by_topic[topic.name]
        if key in table.stored_by_key:
            self._drop(table, key)

    @property
    def digest(self) -> int:
        """Digest that is equal at all instances with the same facts; 0 for none."""
        return self._digest

    @property
    def group_digests(self) -> bytes:
        """Digests of all groups of facts, one after the other."""
        return b"".join(map(_encode_group_digest, self._digests))

    def facts(self) -> list[Fact]:
        """Return all stored facts, those of the highest retention priority first."""
        return [fact for _, fact in self._facts_by_group(range(_GROUPS))]

    def differing_facts(self, group_digests: bytes) -> list[tuple[int, Fact]]:
        """Return the facts of the groups that differ from those of another instance.

        Args:
            group_digests: Its ``group_digests``.

        Returns:
            The group of each fact and the fact, those of the highest retention
            priority first.
        """
        size = _GROUP_DIGEST_BYTES
        own = self.group_digests
        differing = {
            group
            for group in range(_GROUPS)
            if own[group * size : (group + 1) * size]
            != group_digests[group * size : (group + 1) * size]
        }
        return self._facts_by_group(differing)

    def _facts_by_group(self, groups: Container[int]) -> list[tuple[int, Fact]]:
        """Return the facts of some groups, the highest retention priority first."""
        current_time = now()
        found = [
            (
                table.priority(key),
                stored.hash % _GROUPS,
                Fact(name, key, stored.value, current_time - stored.observed_at),
            )
            for name, table in self._table_by_topic.items()
            for key, stored in table.stored_by_key.items()
            if stored.hash % _GROUPS in groups
        ]
        found.sort(key=itemgetter(0), reverse=True)
        return [(group, fact) for _, group, fact in found]

    def _put(self, table: _Table, key: str, value: float, observed_at: float) -> None:
        known = table.stored_by_key.get(key)
        if known is not None and known.value == value:
            table.stored_by_key[key] = known._replace(observed_at=observed_at)
            return
        if known is not None:
            self._toggle(known.hash)
        hashed = _hash(table.topic.name, key, value)
        table.stored_by_key[key] = _StoredFact(value, observed_at, hashed)
        self._toggle(hashed)
        table.listener(key, value)
        if len(table.stored_by_key) > table.topic.max_facts:
            self._drop(table, self._lowest_priority(table))

    def _drop(self, table: _Table, key: str) -> None:
        self._toggle(table.stored_by_key.pop(key).hash)
        table.listener(key, None)

    def _toggle(self, hashed: int) -> None:
        """Add the hash of a fact to the digests, or remove it from them."""
        self._digests[hashed % _GROUPS] ^= hashed
        self._digest ^= hashed

    def _lowest_priority(self, table: _Table) -> str:
        """Return the key of the fact to drop first."""
        stored = table.stored_by_key
        return min(
            stored, key=lambda key: (table.priority(key), stored[key].observed_at)
        )


def _is_newer(known: _StoredFact | None, value: float, observed_at: float) -> bool:
    """Return whether an observation replaces the stored one.

    It does only if it is clearly newer. Each hop makes a fact look younger by its
    transit time, so a repeated fact would otherwise stay alive forever.
    """
    if known is None:
        return True
    return observed_at > known.observed_at + _TRANSIT_S


def _encode_group_digest(digest: int) -> bytes:
    # The lowest bits name the group, so all of its facts share them.
    return (digest >> 8 * _GROUP_DIGEST_BYTES & _GROUP_DIGEST_MASK).to_bytes(
        _GROUP_DIGEST_BYTES, "big"
    )


def _hash(topic: str, key: str, value: float) -> int:
    text = f"{topic} {key} {value}".encode()
    return int.from_bytes(blake2b(text, digest_size=_HASH_BYTES).digest(), "big")
