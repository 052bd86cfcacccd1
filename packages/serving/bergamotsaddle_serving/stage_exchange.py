"""Carries pieces and results between requests and the owners of stage queues."""

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

# An owner that dies is noticed within a second; what it was sent before that is kept.
_RELEASE_MEMORY_S = 1.5


class _SentRelease(NamedTuple):
    """A release whose owner may have died before it arrived."""

    sent_at: float
    owner: str
    scope: str
    message: Release


class StageExchange:
    """Carries messages between the requests of this instance and the owners.

    Args:
        peers: The other instances.
        owner: The queues of this instance itself.
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
        """Close it."""
        self._inbox_by_request.pop(request, None)

    def deliver(self, message: Accepted | Started | Results) -> None:
        """Hand a message to the request that waits for it.

        Results for a request that has ended are given up by its cancellation, which
        the owner gets after them.
        """
        inbox = self._inbox_by_request.get(message.request)
        if inbox is not None:
            inbox.put(message)

    def current_owner(self, owner: str, service: str, scope: str) -> str:
        """The owner itself while it lives, else the one in its place."""
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
        """Give results up through the owner of their queue, or its successor.

        Args:
            owner: The owner that had them made.
            scope: Zone or region of the queue.
            message: The results.
        """
        owner = self.current_owner(owner, message.service, scope)
        self.send(owner, message)
        if owner != self.peers.own.id:
            self._sent_releases.append(_SentRelease(now(), owner, scope, message))

    def resend_releases(self) -> None:
        """Send releases again whose owner fell silent just after they were sent.

        Until an owner's death is noticed, what it is sent is lost; the results would
        hold their room for seconds until they expire. After the death of an owner of a
        full queue two calls in three met full targets for four seconds.
        """
        sent_releases, self._sent_releases = self._sent_releases, deque()
        for sent in sent_releases:
            if not self.peers.is_alive(sent.owner):
                self.release(sent.owner, sent.scope, sent.message)
            elif now() - sent.sent_at < _RELEASE_MEMORY_S:
                self._sent_releases.append(sent)

    def _handle_acknowledgement(
        self, message: Accepted, address: tuple[str, int]
    ) -> None:
        """Note the load, which heartbeats of a large fleet tell seconds late."""
        owner = self.peers.id_of(address[0])
        if owner is not None:
            self.peers.record_load(owner, message.service, message.load)
        self.deliver(message)

    def _handle_submit(self, message: Submit, address: tuple[str, int]) -> None:
        sender = self.peers.id_of(address[0])
        if sender is None:
            return
        self.peers.send_to(address, self._owner.submit(message, sender))
