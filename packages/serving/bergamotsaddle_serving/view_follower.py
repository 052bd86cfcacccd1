"""Keeps the view at the store's state, through the zone's reader where there is one."""

from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.follower import MAX_WATCH_S, StoreFollower
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.store_readers import STORE, pick_reader
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_exchange import (
    LinkError,
    PeerLink,
    ViewExchange,
    ViewRequest,
)

# How long a reader holds a question. One that has frozen is noticed after it.
_WAIT_S = 1.0
# A reader whose view the store has not confirmed for so long hears nothing any more.
_MAX_AGE_S = MAX_WATCH_S + 0.7
# How long a reader is left that did not answer, or knew nothing new.
_AVOID_S = 5.0
# An instance that has just started waits so long for others to say that they read.
_SETTLE_S = 1.0
_SETTLE_STEP_S = 0.1
# An instance that the store refused tries again after this.
_OWN_AVOID_S = 1.0


class ViewFollower:
    """Follows the store, or the instance that reads it for this one's zone.

    Args:
        store: Reads the store itself.
        exchange: Takes what a reader tells into the view.
        view: What is known here.
        peers: Who may read.
        logger: Gets a line when the reader changes or is left.
        policy: Whether there are readers.
    """

    def __init__(
        self,
        store: StoreFollower,
        exchange: ViewExchange,
        view: View,
        peers: Peers,
        logger: Any,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._store = store
        self._exchange = exchange
        self._view = view
        self._peers = peers
        self._logger = logger
        self._began_at = now()
        self._has_readers = policy.has(Mechanism.STORE_READERS)
        self._avoided_until: dict[str, float] = {}
        self._link: PeerLink | None = None

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self.step()

    def step(self) -> None:
        """Learn of the next changes, or that there are none."""
        ranked = rank_owners(self._peers, STORE, self._peers.own.zone)
        reader = self._pick(ranked)
        if reader is None and self._is_settling():
            eventlet.sleep(_SETTLE_STEP_S)
        elif reader is None:
            self._close_link()
            self._read_store()
        else:
            self._follow(reader)

    def _is_settling(self) -> bool:
        """Tell whether readers may still turn up after a start."""
        is_new = now() - self._began_at < _SETTLE_S
        return is_new and self._has_readers and self._view.has_snapshot

    def _pick(self, ranked: list[str]) -> str | None:
        if not self._has_readers or not self._view.has_snapshot:
            return None
        moment = now()
        avoided = {name for name, end in self._avoided_until.items() if end > moment}
        return pick_reader(ranked, self._peers.own.id, avoided)

    def _read_store(self) -> None:
        self._store.step()
        if self._store.is_refused():
            self._avoid(self._peers.own.id, _OWN_AVOID_S)

    def _follow(self, reader: str) -> None:
        try:
            link = self._link_to(reader)
            answer = link.query(ViewRequest(self._view.revision, _WAIT_S))
        except LinkError as error:
            self._close_link()
            self._leave(reader, str(error))
            self._peers.verify(reader)
            return
        self._exchange.apply_response(answer, source=reader)
        if answer.is_store_lost:
            self._leave(reader, "store lost")
        elif answer.age > _MAX_AGE_S:
            self._leave(reader, "behind")

    def _leave(self, reader: str, reason: str) -> None:
        self._avoid(reader, _AVOID_S)
        self._logger.warning("reader_left", reader=reader, reason=reason)

    def _avoid(self, instance: str, seconds: float) -> None:
        self._avoided_until[instance] = now() + seconds

    def _link_to(self, reader: str) -> PeerLink:
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
