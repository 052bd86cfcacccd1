"""Carries facts between the instances."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.peer_messages import Fact, GossipUpdate, Heartbeat
from bergamotsaddle_serving.peers import Peers

# They fit into one packet.
_FACTS_A_DATAGRAM = 16
# A target that ends breaks off many requests; what they come to is told together.
_GATHER_S = 0.02
# Whoever holds other facts is told some of one's own after this time, and after twice
# as long each time that they still differ.
_FIRST_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 60.0
# Facts that are told then: those of most worth, and others by chance.
_MOST_WORTH = 64
_BY_CHANCE = 64


class _Differing(NamedTuple):
    """A peer that holds other facts.

    Attributes:
        life: Of its process; a new one knows nothing.
        tell_at: When to tell it some.
        pause: Seconds until the time after that.
    """

    incarnation: str
    tell_at: float
    pause: float


class GossipExchange:
    """Tells the other instances what this one has observed, and learns from them.

    A new fact is told to all that live at once. Heartbeats carry a digest of all facts:
    whoever was cut off, missed a datagram or has just started is told them when its
    digest is seen to differ.

    Args:
        gossip: The facts.
        peers: The other instances.
    """

    def __init__(self, gossip: Gossip, peers: Peers) -> None:
        self._gossip = gossip
        self._peers = peers
        self._fresh: list[Fact] = []
        self._differing_by_peer: dict[str, _Differing] = {}
        peers.set_handler(GossipUpdate, lambda message, _: gossip.merge(message.facts))
        peers.own_digest = lambda: gossip.digest
        peers.on_heartbeat = self._compare

    def publish(self, facts: Sequence[Fact | None]) -> None:
        """Tell all that live what is new.

        Args:
            facts: What ``Gossip.record`` gave; None is passed over.
        """
        news = [fact for fact in facts if fact is not None]
        if news and not self._fresh:
            eventlet.spawn_after(_GATHER_S, self._flush)
        self._fresh += news

    def _flush(self) -> None:
        facts, self._fresh = self._fresh, []
        for peer in self._peers.alive():
            self._send(peer.contact.id, facts)

    def _compare(self, hello: Heartbeat) -> None:
        peer_id = hello.sender.id
        if hello.digest == self._gossip.digest:
            self._differing_by_peer.pop(peer_id, None)
            return
        moment = now()
        known = self._differing_by_peer.get(peer_id)
        if known is None or known.incarnation != hello.incarnation:
            known = _Differing(hello.incarnation, moment, _FIRST_PAUSE_S)
        if known.tell_at > moment:
            return
        longer = min(_LONGEST_PAUSE_S, 2.0 * known.pause)
        self._differing_by_peer[peer_id] = known._replace(
            tell_at=moment + known.pause, pause=longer
        )
        self._send(peer_id, self._choose())

    def _choose(self) -> list[Fact]:
        facts = self._gossip.facts()
        rest = facts[_MOST_WORTH:]
        return facts[:_MOST_WORTH] + random.sample(rest, min(_BY_CHANCE, len(rest)))

    def _send(self, peer_id: str, facts: Sequence[Fact]) -> None:
        for begin in range(0, len(facts), _FACTS_A_DATAGRAM):
            part = list(facts[begin : begin + _FACTS_A_DATAGRAM])
            self._peers.send(peer_id, GossipUpdate(part))
