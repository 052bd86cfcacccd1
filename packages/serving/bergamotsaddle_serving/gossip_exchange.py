"""Carries facts between the instances."""

from collections.abc import Sequence
from itertools import islice

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.peer_messages import Fact, Hello, News
from bergamotsaddle_serving.peers import Peers

# They fit into one packet.
_FACTS_A_DATAGRAM = 16
# Whoever holds other facts is told all of one's own, so often at most.
_REPEAT_S = 1.0
_MOST_TOLD = 512


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
        self._told_at_by_peer: dict[str, float] = {}
        peers.on(News, lambda message, _: gossip.hear(message.facts))
        peers.own_digest = lambda: gossip.digest
        peers.on_hello = self._compare

    def tell(self, facts: Sequence[Fact | None]) -> None:
        """Tell all that live what is new.

        Args:
            facts: What ``Gossip.note`` gave; None is passed over.
        """
        news = [fact for fact in facts if fact is not None]
        if not news:
            return
        for peer in self._peers.alive():
            self._send(peer.contact.id, news)

    def _compare(self, hello: Hello) -> None:
        if hello.digest == self._gossip.digest:
            return
        peer_id = hello.sender.id
        moment = now()
        if moment - self._told_at_by_peer.get(peer_id, float("-inf")) < _REPEAT_S:
            return
        self._told_at_by_peer[peer_id] = moment
        self._send(peer_id, list(islice(self._gossip.facts(), _MOST_TOLD)))

    def _send(self, peer_id: str, facts: Sequence[Fact]) -> None:
        for begin in range(0, len(facts), _FACTS_A_DATAGRAM):
            part = list(facts[begin : begin + _FACTS_A_DATAGRAM])
            self._peers.send(peer_id, News(part))
