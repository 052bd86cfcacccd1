"""Takes from peers what the store does not tell this instance."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.follower import batch_pause
from bergamotsaddle_serving.messages import StoreEntry
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.view import View

_CHECK_S = 0.3
# The same before this instance knows what it needs to serve.
_FIRST_CHECK_S = 0.1
# A peer that is ahead for this long knows what the store has not told us.
_BEHIND_S = 0.4
# What a watch takes besides the pause before it.
_READ_S = 0.2
_EXCHANGE_LIMIT_S = 0.6
# A peer that follows this one asks again as soon as it has taken the answer.
_IDLE_LIMIT_S = 5.0
# How long a question is held at most.
_MOST_WAIT_S = 2.0
# Asks for all entries.
_NOTHING = -1
_MAX_BYTES = 16_000_000
_LENGTH_BYTES = 4


class LinkError(BergamotsaddleError):
    """A peer did not answer a question about its view."""


class ViewRequest(msgspec.Struct, array_like=True):
    """Asks for what a peer's view has got since a revision.

    Attributes:
        revision: Up to which the asker knows everything.
        wait: Seconds that the peer may wait for something newer.
    """

    revision: int
    wait: float = 0.0


class ViewResponse(msgspec.Struct, array_like=True):
    """What a peer's view has got.

    Attributes:
        entries: Its entries.
        revision: Up to which it knows everything.
        has_listed: Whether it knows all entries of the store.
        is_whole: Whether these are all entries, so that missing ones were deleted.
        age: Seconds since the store confirmed the view.
        back_age: Seconds since the store came back after an outage.
        is_store_lost: Whether the peer fails to read the store.
    """

    entries: list[StoreEntry]
    revision: int
    has_snapshot: bool
    is_snapshot: bool
    age: float
    regained_age: float
    is_store_lost: bool


class PeerLink:
    """A connection to a peer, for one question after the other.

    Args:
        contact: The peer.
        port: Where it listens.

    Raises:
        LinkError: If it takes no connection in time.
    """

    def __init__(self, contact: Contact, port: int) -> None:
        self.contact = contact
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.settimeout(_EXCHANGE_LIMIT_S)
        try:
            self._socket.connect((contact.host, port))
        except OSError as error:
            self.close()
            raise LinkError(str(error)) from error

    def query(self, question: ViewRequest) -> ViewResponse:
        """Ask a question.

        Raises:
            LinkError: If no proper answer comes in time.
        """
        self._socket.settimeout(question.wait + _EXCHANGE_LIMIT_S)
        try:
            _send_frame(self._socket, question)
            frame = _read_frame(self._socket)
            if frame is None:
                raise LinkError("closed")
            return msgspec.msgpack.decode(frame, type=ViewResponse)
        except (OSError, msgspec.DecodeError) as error:
            raise LinkError(str(error)) from error

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


class ViewExchange:
    """Asks peers that know more, and answers those that know less.

    The store may refuse one instance and serve the others, or the link to it may be
    cut. What it published then comes from peers, in the store's own order.

    Args:
        settings: Where peers listen.
        view: What is known here.
        peers: Who knows more.
        logger: Gets a line for each exchange.
        is_store_lost: Tells whether this instance fails to read the store.
    """

    def __init__(
        self,
        settings: ServingSettings,
        view: View,
        peers: Peers,
        logger: Any,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._view = view
        self._is_store_lost = is_store_lost
        self._news = Event()
        view.subscribe(self._note_news)
        self._peers = peers
        self._logger = logger
        self._port = settings.listen.peer_port
        self._listener = eventlet.listen(
            (settings.instance.host, self._port), backlog=64
        )
        self._behind_since: float | None = None
        self._stood_at = 0
        eventlet.spawn_n(self._serve)

    def run(self) -> None:
        """Catch up with peers for ever."""
        while True:
            eventlet.sleep(_CHECK_S if self._view.has_snapshot else _FIRST_CHECK_S)
            ahead = self._ahead()
            if ahead is None:
                self._behind_since = None
                continue
            if self._behind_since is None or self._view.revision != self._stood_at:
                # While entries change one by one somebody is always ahead; what
                # tells a refused instance is that it gets no further itself.
                self._behind_since = now()
                self._stood_at = self._view.revision
            if now() - self._behind_since >= self._patience() or not (
                self._view.has_snapshot
            ):
                self._catch_up(ahead)

    def _patience(self) -> float:
        """Seconds that this instance may be behind before it asks a peer.

        In a large fleet the store is read less often, and nearly everybody is behind
        somebody for a moment.
        """
        return max(_BEHIND_S, batch_pause(self._peers.size()) + _READ_S)

    def _ahead(self) -> Contact | None:
        own = self._view.revision
        ahead = [p for p in self._peers.alive() if p.revision > own]
        ahead.sort(key=lambda p: p.contact.zone != self._peers.own.zone)
        return ahead[0].contact if ahead else None

    def connect(self, contact: Contact) -> PeerLink:
        """Connect to a peer.

        Raises:
            LinkError: If it takes no connection in time.
        """
        return PeerLink(contact, self._port)

    def apply_response(self, answer: ViewResponse, *, source: str) -> None:
        """Take what a peer told into the view."""
        moment = now()
        view = self._view
        # Before the entries: some may have lapsed while the store was away.
        view.store_regained_at = max(
            view.store_regained_at, moment - answer.regained_age
        )
        if answer.is_snapshot and answer.has_snapshot:
            view.replace(answer.entries, answer.revision, source=source)
        else:
            view.apply(answer.entries, answer.revision, source=source)
        view.confirmed_at = max(view.confirmed_at, moment - answer.age)

    def _catch_up(self, contact: Contact) -> None:
        since = self._view.revision if self._view.has_snapshot else _NOTHING
        try:
            link = self.connect(contact)
            try:
                answer = link.query(ViewRequest(since))
            finally:
                link.close()
        except LinkError as error:
            self._logger.info("peer_silent", peer=contact.id, reason=str(error))
            return
        self.apply_response(answer, source=contact.id)
        self._logger.info(
            "caught_up",
            peer=contact.id,
            revision=answer.revision,
            entries=len(answer.entries),
        )

    def _serve(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(_IDLE_LIMIT_S)
        try:
            while (frame := _read_frame(sock)) is not None:
                question = msgspec.msgpack.decode(frame, type=ViewRequest)
                self._await_news(question)
                _send_frame(sock, self._tell(question))
        except (OSError, msgspec.DecodeError) as error:
            self._logger.info("peer_question_failed", reason=str(error))
        finally:
            sock.close()

    def _await_news(self, question: ViewRequest) -> None:
        ends_at = now() + min(question.wait, _MOST_WAIT_S)
        while self._view.revision <= question.revision and now() < ends_at:
            with eventlet.Timeout(ends_at - now(), False):
                self._news.wait()

    def _tell(self, question: ViewRequest) -> ViewResponse:
        view = self._view
        changes = view.changes_since(question.revision)
        moment = now()
        return ViewResponse(
            entries=changes.entries,
            revision=view.revision,
            has_snapshot=view.has_snapshot,
            is_snapshot=changes.is_snapshot,
            age=moment - view.confirmed_at,
            regained_age=moment - view.store_regained_at,
            is_store_lost=self._is_store_lost(),
        )

    def _note_news(self) -> None:
        news, self._news = self._news, Event()
        news.send()


def _send_frame(sock: socket.socket, message: Any) -> None:
    data = msgspec.msgpack.encode(message)
    sock.sendall(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


def _read_frame(sock: socket.socket) -> bytes | None:
    """Read a frame; None if the connection was closed before one began."""
    head = sock.recv(_LENGTH_BYTES)
    if not head:
        return None
    head += _read_exactly(sock, _LENGTH_BYTES - len(head))
    length = int.from_bytes(head, "big")
    if length > _MAX_BYTES:
        raise OSError(f"a frame of {length} bytes")
    return _read_exactly(sock, length)


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise OSError("closed in the middle of a frame")
        data += part
    return data
