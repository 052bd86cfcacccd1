"""Exchanges gossip facts with the other instances."""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.peer_messages import (
    Fact,
    GossipQuery,
    GossipUpdate,
    Heartbeat,
)
from bergamotsaddle_serving.peers import Peers

# Size of the facts that fit into one packet, and what a fact takes beside its key.
_DATAGRAM_BYTES = 1_200
_FACT_BYTES = 32
# The crash of a target interrupts many requests; the facts that follow from them are
# sent together after this delay.
_BATCH_DELAY_S = 0.02
# An instance asks one peer at a time for what it lacks. If all peers that differ sent
# what they hold, a few facts on the way would fill the links of a large fleet.
_MIN_QUERY_PAUSE_S = 0.3
# Pause after which a peer whose facts still differ is asked again. It doubles each
# time, up to the maximum.
_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 60.0
# The facts that a query gets at most: those of highest retention priority, and whole
# groups of the rest. A group that arrived whole doesn't differ any more.
_MAX_FACTS = 256
_TOP_FACTS = 64


class _DivergentPeer(NamedTuple):
    """A peer whose facts differ from those of this instance.

    Attributes:
        incarnation: Incarnation of the peer; a new one holds no facts.
        ask_at: Earliest time at which to ask it for facts.
        pause: Seconds to wait after that until it is asked again.
    """

    incarnation: str
    ask_at: float
    pause: float


class GossipExchange:
    """Sends this instance's facts to the other instances and merges theirs.

    A new fact is sent to all live instances at once. Heartbeats carry a digest of all
    facts. An instance that was unreachable, missed a datagram or has just started has a
    different digest than its peers, and asks one of them for what it lacks. It says
    what it holds by digests of groups of facts, so only groups that differ are sent.

    Args:
        gossip: The facts that this instance holds.
        peers: The other instances.

    Attributes:
        on_agreement: Called with the heartbeat of an instance that holds the same
            facts.
    """

    def __init__(self, gossip: Gossip, peers: Peers) -> None:
        self.on_agreement: Callable[[Heartbeat], None] = lambda heartbeat: None
        self._gossip = gossip
        self._peers = peers
        self._unsent: list[Fact] = []
        self._divergent_by_host: dict[str, _DivergentPeer] = {}
        self._asked_at = float("-inf")
        peers.set_handler(GossipUpdate, self._handle_update)
        peers.set_handler(GossipQuery, self._handle_query)
        peers.own_digest = lambda: gossip.digest
        peers.on_heartbeat = self._compare_digest

    def publish(self, facts: Sequence[Fact | None]) -> None:
        """Send new facts to all live instances.

        Args:
            facts: Results of ``Gossip.record``; each None is skipped.
        """
        new_facts = [fact for fact in facts if fact is not None]
        if new_facts and not self._unsent:
            eventlet.spawn_after(_BATCH_DELAY_S, self._flush)
        self._unsent += new_facts

    def _flush(self) -> None:
        facts, self._unsent = self._unsent, []
        for peer in self._peers.alive():
            self._send(peer.contact.id, facts)

    def _compare_digest(self, heartbeat: Heartbeat) -> None:
        host = heartbeat.sender.host
        if heartbeat.digest == self._gossip.digest:
            self._divergent_by_host.pop(host, None)
            self.on_agreement(heartbeat)
            return
        at = now()
        known = self._divergent_by_host.get(host)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = _DivergentPeer(heartbeat.incarnation, at, _INITIAL_PAUSE_S)
        if known.ask_at > at or self._asked_at + _MIN_QUERY_PAUSE_S > at:
            return
        self._asked_at = at
        next_pause = min(_MAX_PAUSE_S, 2.0 * known.pause)
        self._divergent_by_host[host] = known._replace(
            ask_at=at + known.pause, pause=next_pause
        )
        query = GossipQuery(self._gossip.group_digests)
        self._peers.send(heartbeat.sender.id, query)

    def _handle_query(self, query: GossipQuery, address: tuple[str, int]) -> None:
        """Send a peer the facts that it lacks, as far as its groups tell."""
        peer_id = self._peers.id_of(address[0])
        if peer_id is not None:
            facts = self._gossip.differing_facts(query.group_digests)
            self._send(peer_id, _choose(facts))

    def _handle_update(self, update: GossipUpdate, address: tuple[str, int]) -> None:
        """Merge facts, and ask a peer that sent new ones for more."""
        digest = self._gossip.digest
        self._gossip.merge(update.facts)
        divergent = self._divergent_by_host.get(address[0])
        if divergent is not None and self._gossip.digest != digest:
            self._divergent_by_host[address[0]] = divergent._replace(
                ask_at=now(), pause=_INITIAL_PAUSE_S
            )

    def _send(self, peer_id: str, facts: Sequence[Fact]) -> None:
        for batch in _split(facts):
            self._peers.send(peer_id, GossipUpdate(batch))


def _choose(facts: Sequence[tuple[int, Fact]]) -> list[Fact]:
    """Return the facts of a response.

    Args:
        facts: The group of each fact and the fact, the most important ones first.
    """
    chosen = [fact for _, fact in facts[:_TOP_FACTS]]
    facts_by_group = defaultdict(list)
    for group, fact in facts[_TOP_FACTS:]:
        facts_by_group[group].append(fact)
    groups = list(facts_by_group.values())
    random.shuffle(groups)
    for group in groups:
        if len(chosen) >= _MAX_FACTS:
            break
        chosen += group
    return chosen


def _split(facts: Iterable[Fact]) -> Iterator[list[Fact]]:
    """Yield lists of facts that each fit into one packet, if any fact does."""
    batch: list[Fact] = []
    size = 0
    for fact in facts:
        fact_size = len(fact.key) + _FACT_BYTES
        if batch and size + fact_size > _DATAGRAM_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(fact)
        size += fact_size
    if batch:
        yield batch
