"""Exchanges messages between requests and the owners of stage queues."""

from collections import deque
from typing import NamedTuple

from eventlet.queue import LightQueue

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    Accepted,
    Cancel,
    Message,
    Release,
    Results,
    Started,
    Submit,
)
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.stage_owner import StageOwner

# How long sent releases are kept, to be sent again to another owner if theirs has died.
# A dead owner is noticed within a second.
_RESEND_RELEASES_S = 1.5


class _SentRelease(NamedTuple):
    """A release that is lost if its owner died before it arrived.

    Attributes:
        sent_at: When it was sent, on the hub's clock.
        owner: Owner that it was sent to.
        scope: Zone or region of the queue.
        message: The release.
    """

    sent_at: float
    owner: str
    scope: str
    message: Release


class StageExchange:
    """Exchanges messages between the requests of this instance and queue owners.

    Args:
        peers: The other instances.
        owner: The queues that this instance itself owns.

    Attributes:
        peers: The other instances.
    """

    def __init__(self, peers: Peers, owner: StageOwner) -> None:
        self.peers = peers
        self._owner = owner
        self._inbox_by_request: dict[str, LightQueue] = {}
        self._sent_releases: deque[_SentRelease] = deque()
        owner.results.deliver_locally = self.deliver
        peers.set_handler(Submit, self._handle_submit)
        peers.set_handler(Accepted, self._handle_acknowledgement)
        peers.set_handler(Started, lambda message, _: self.deliver(message))
        peers.set_handler(Results, lambda message, _: self.deliver(message))
        peers.set_handler(Cancel, lambda message, _: owner.cancel(message))
        peers.set_handler(Release, lambda message, _: owner.release(message))

    def open_inbox(self, request: str) -> LightQueue:
        """Open the inbox of a request."""
        return self._inbox_by_request.setdefault(request, LightQueue())

    def close_inbox(self, request: str) -> None:
        """Close the inbox of a request."""
        self._inbox_by_request.pop(request, None)

    def deliver(self, message: Accepted | Started | Results) -> None:
        """Put a message into the inbox of its request.

        Messages for a request that has ended are dropped. Its results are released by
        its cancellation, which reaches the owner after it has sent them.
        """
        inbox = self._inbox_by_request.get(message.request)
        if inbox is not None:
            inbox.put(message)

    def current_owner(self, owner: str, service: str, scope: str) -> str:
        """Return the owner itself while it is alive, else its replacement."""
        if owner == self.peers.own.id or self.peers.is_alive(owner):
            return owner
        return next(iter(rank_owners(self.peers, service, scope)), owner)

    def send(self, owner: str, message: Message) -> None:
        """Send a message to an owner, which may be this instance itself."""
        if owner != self.peers.own.id:
            self.peers.send(owner, message)
        elif isinstance(message, Submit):
            self.deliver(self._owner.submit(message, owner))
        elif isinstance(message, Cancel):
            self._owner.cancel(message)
        elif isinstance(message, Release):
            self._owner.release(message)

    def release(self, owner: str, scope: str, message: Release) -> None:
        """Release results through the owner of their queue, or its replacement.

        Args:
            owner: Owner that reported the results.
            scope: Zone or region of the queue.
            message: The results to release.
        """
        owner = self.current_owner(owner, message.service, scope)
        self.send(owner, message)
        if owner != self.peers.own.id:
            self._sent_releases.append(_SentRelease(now(), owner, scope, message))

    def resend_releases(self) -> None:
        """Resend releases whose owner died shortly after they were sent.

        Messages to a dead owner are lost until its death is noticed, and the results
        would hold memory for seconds until they expire. After the owner of a full
        queue died, two calls in three found full targets for four seconds.
        """
        sent_releases, self._sent_releases = self._sent_releases, deque()
        for sent in sent_releases:
            if not self.peers.is_alive(sent.owner):
                self.release(sent.owner, sent.scope, sent.message)
            elif now() - sent.sent_at < _RESEND_RELEASES_S:
                self._sent_releases.append(sent)

    def _handle_acknowledgement(
        self, message: Accepted, address: tuple[str, int]
    ) -> None:
        """Record the load; in a large fleet heartbeats report it seconds late."""
        owner = self.peers.id_of(address[0])
        if owner is not None:
            self.peers.record_load(owner, message.service, message.load)
        self.deliver(message)

    def _handle_submit(self, message: Submit, address: tuple[str, int]) -> None:
        sender = self.peers.id_of(address[0])
        if sender is None:
            return
        self.peers.send_to(address, self._owner.submit(message, sender))
