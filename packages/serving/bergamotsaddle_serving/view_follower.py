"""Keeps the view up to date from the store, or from the instance that reads it."""

from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.follower import StoreFollower
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.store_readers import STORE, pick_reader
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_exchange import (
    LinkError,
    PeerLink,
    ViewExchange,
)
from bergamotsaddle_serving.view_freshness import ViewFreshness

# How long a reader is avoided after it did not respond, lost the store or fell behind.
_AVOID_READER_S = 5.0
# How long an instance that has just started waits to learn of readers.
_SETTLE_S = 1.0
# Pause of an instance that has neither a reader nor the store.
_IDLE_INTERVAL_S = 0.1


class ViewFollower:
    """Follows the store, or the instance that reads the store for this one's zone.

    Args:
        store: Reads the store itself.
        exchange: Connects to readers and applies their responses to the view.
        view: View of this instance.
        peers: The other instances, among them the possible readers.
        logger: Logs when another reader is followed or a reader is abandoned.
        bound: Seconds until a change in the store must be in force.
        policy: Decides whether there are readers.
    """

    def __init__(
        self,
        store: StoreFollower,
        exchange: ViewExchange,
        view: View,
        peers: Peers,
        logger: Any,
        bound: float,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._freshness = ViewFreshness(bound)
        self._store = store
        self._exchange = exchange
        self._view = view
        self._peers = peers
        self._logger = logger
        self._started_at = now()
        self._has_readers = policy.has(Mechanism.STORE_READERS)
        self._avoided_until: dict[str, float] = {}
        self._link: PeerLink | None = None
        # The heartbeats name the revision, which the others lack after an outage.
        store.on_regained = peers.announce

    def run(self) -> None:
        """Follow forever."""
        while True:
            self.step()

    def step(self) -> None:
        """Wait for the next changes, or for the confirmation that there are none."""
        ranked = rank_owners(self._peers, STORE, self._peers.own.zone)
        reader = self._pick_reader(ranked)
        if reader is None and (self._is_settling() or self._is_refused()):
            eventlet.sleep(_IDLE_INTERVAL_S)
        elif reader is None:
            self._close_link()
            self._read_store()
        else:
            self._follow_reader(reader)

    def _is_settling(self) -> bool:
        """Return whether readers may still become known after the start."""
        is_new = now() - self._started_at < _SETTLE_S
        return is_new and self._has_readers and self._view.has_snapshot

    def _is_refused(self) -> bool:
        """Return whether the store has just refused this instance, which has a view.

        During an outage of the store all instances are in this state. If each of them
        kept trying, the store would get most of its calls while it serves none.
        """
        refused_until = self._avoided_until.get(self._peers.own.id, float("-inf"))
        return self._view.has_snapshot and refused_until > now()

    def _pick_reader(self, ranked: list[str]) -> str | None:
        if not self._has_readers or not self._view.has_snapshot:
            return None
        at = now()
        avoided = {name for name, until in self._avoided_until.items() if until > at}
        is_overdue = self._freshness.is_overdue(self._view.age())
        return pick_reader(ranked, self._peers.own.id, avoided, is_overdue=is_overdue)

    def _read_store(self) -> None:
        self._store.step()
        if self._store.is_refused():
            self._avoid(self._peers.own.id, self._store.retry_pause())

    def _follow_reader(self, reader: str) -> None:
        try:
            link = self._connect_to(reader)
            age = self._view.age()
            asked_at = now()
            request = self._exchange.make_request(self._freshness.reader_wait(age))
            response = link.query(request, limit=self._freshness.reader_timeout(age))
        except LinkError as error:
            self._close_link()
            self._abandon_reader(reader, str(error))
            self._peers.verify(reader)
            return
        self._exchange.apply_response(response, asked_at=asked_at, source=reader)
        if response.is_store_lost:
            self._abandon_reader(reader, "store lost")
        elif self._freshness.is_overdue(response.age):
            self._abandon_reader(reader, "behind")

    def _abandon_reader(self, reader: str, reason: str) -> None:
        self._avoid(reader, _AVOID_READER_S)
        self._logger.warning("reader_left", reader=reader, reason=reason)

    def _avoid(self, instance: str, seconds: float) -> None:
        self._avoided_until[instance] = now() + seconds

    def _connect_to(self, reader: str) -> PeerLink:
        contact = self._peers.by_id[reader].contact
        if self._link is None or self._link.contact != contact:
            self._close_link()
            self._link = self._exchange.connect(contact)
            self._logger.info("reader_followed", reader=reader)
        return self._link

    def _close_link(self) -> None:
        if self._link is not None:
            self._link.close()
            self._link = None
