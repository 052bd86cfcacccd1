"""Exchanges gossip facts with the other instances."""

import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.peer_messages import Fact, GossipUpdate, Heartbeat
from bergamotsaddle_serving.peers import Peers

# Size of the facts that fit into one packet, and what a fact takes beside its key.
_DATAGRAM_BYTES = 1_200
_FACT_BYTES = 32
# The crash of a target interrupts many requests; the facts that follow from them are
# sent together after this delay.
_BATCH_DELAY_S = 0.02
# Pause after which a peer whose facts still differ gets facts again. It doubles each
# time, up to the maximum.
_INITIAL_PAUSE_S = 1.0
_MAX_PAUSE_S = 60.0
# The facts that such a peer gets: the ones of highest retention priority, and a random
# sample of the rest.
_TOP_FACTS = 64
_RANDOM_FACTS = 64


class _DivergentPeer(NamedTuple):
    """A peer whose facts differ from those of this instance.

    Attributes:
        incarnation: Incarnation of the peer; a new one holds no facts.
        send_at: Earliest time at which to send it facts.
        pause: Seconds to wait after that until facts are sent again.
    """

    incarnation: str
    send_at: float
    pause: float


class GossipExchange:
    """Sends this instance's facts to the other instances and merges theirs.

    A new fact is sent to all live instances at once. Heartbeats carry a digest of all
    facts. An instance that was unreachable, missed a datagram or has just started has a
    different digest, and gets facts when its heartbeat arrives.

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
        self._divergent_by_peer: dict[str, _DivergentPeer] = {}
        peers.set_handler(GossipUpdate, lambda message, _: gossip.merge(message.facts))
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
        peer_id = heartbeat.sender.id
        if heartbeat.digest == self._gossip.digest:
            self._divergent_by_peer.pop(peer_id, None)
            self.on_agreement(heartbeat)
            return
        at = now()
        known = self._divergent_by_peer.get(peer_id)
        if known is None or known.incarnation != heartbeat.incarnation:
            known = _DivergentPeer(heartbeat.incarnation, at, _INITIAL_PAUSE_S)
        if known.send_at > at:
            return
        next_pause = min(_MAX_PAUSE_S, 2.0 * known.pause)
        self._divergent_by_peer[peer_id] = known._replace(
            send_at=at + known.pause, pause=next_pause
        )
        self._send(peer_id, self._choose_facts())

    def _choose_facts(self) -> list[Fact]:
        facts = self._gossip.facts()
        remainder = facts[_TOP_FACTS:]
        return facts[:_TOP_FACTS] + random.sample(
            remainder, min(_RANDOM_FACTS, len(remainder))
        )

    def _send(self, peer_id: str, facts: Sequence[Fact]) -> None:
        for batch in _split(facts):
            self._peers.send(peer_id, GossipUpdate(batch))


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
