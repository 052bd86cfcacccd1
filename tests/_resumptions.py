"""A fleet of instances that know which software began a stream."""

from unittest import mock

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.gossip_exchange import GossipExchange
from bergamotsaddle_serving.messages import StoreEntry, StorePosition
from bergamotsaddle_serving.origin_exchange import OriginExchange
from bergamotsaddle_serving.resumption import Resumptions
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.stream_origins import StreamOrigins
from bergamotsaddle_serving.view import View
from bergamotsaddle_standins.peer_fleet import PeerFleet

ADDRESS = Address("127.0.0.1", 9)
MAX_VIEW_AGE_S = 2.0


def make_target(target_id, software, *, service="s", address=ADDRESS):
    """Return a target."""
    return Target(target_id, service, address, "a", 4, software=software)


class OriginInstance:
    """What one instance knows of streams.

    Args:
        peers: Its peers.
        is_first_start: Whether no stream can have begun before.

    Attributes:
        view: Its listed targets; those of ``targets`` after ``list_targets``.
        exchange: Its exchange of origins.
        history: Its history of versions.
        resumptions: Its resumptions.
        logger: Gets its lines.
    """

    def __init__(self, peers, *, is_first_start=True):
        self.peers = peers
        self._target_by_key = {}
        self._revision = 0
        dialect = mock.Mock(
            decode=lambda entry: (
                self._target_by_key[entry.key] if entry.value else None
            ),
            target_id=lambda key: key,
        )
        self.logger = mock.Mock()
        self.view = View(dialect, mock.Mock())
        self.view.has_snapshot = True
        gossip = Gossip()
        self.drop_expired = gossip.drop_expired
        gossip_exchange = GossipExchange(gossip, peers)
        self.history = SoftwareHistory(
            gossip,
            self.view,
            peers,
            mock.Mock(),
            is_first_start=is_first_start,
            max_view_age=MAX_VIEW_AGE_S,
        )
        gossip_exchange.on_agreement = self.history.learn_from
        self.exchange = OriginExchange(StreamOrigins(), peers)
        self.resumptions = Resumptions(
            self.exchange, self.history, self.view, self.logger
        )

    def list_targets(self, *targets):
        """Have the store list these targets, and no other ones."""
        self._revision += 1
        self._target_by_key = {target.id: target for target in targets}
        position = StorePosition(0, self._revision)
        entries = [StoreEntry(t.id, self._revision, repr(t).encode()) for t in targets]
        self.view.replace(entries, position, source="list")
        self.confirm()

    def confirm(self):
        """Have the store confirm the view."""
        self.view.confirm(now())
        self.history.refresh()


def make_lone_instance(*targets):
    """Return an instance without peers, which knows targets."""
    instance = OriginInstance(next(iter(PeerFleet(1))))
    instance.list_targets(*targets)
    instance.view.confirmed_at = float("inf")
    return instance


def make_lone_resumptions(*targets):
    """Return the resumptions of an instance without peers."""
    return make_lone_instance(*targets).resumptions
