"""Exchanges view changes with peers, for instances that the store does not serve."""

import random
import socket
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event
from greenlet import GreenletExit, greenlet

from bergamotsaddle_contracts.decoding import decode_msgpack
from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._turn import Turn
from bergamotsaddle_serving.acceptor import Acceptor
from bergamotsaddle_serving.follower import batch_pause
from bergamotsaddle_serving.messages import NO_POSITION, StoreEntry, StorePosition
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.peers import Peer, Peers
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_freshness import ViewFreshness

_CHECK_INTERVAL_S = 0.3
# The same while the view has no snapshot yet or may be older than the bound.
_URGENT_INTERVAL_S = 0.1
# If a peer has been ahead for this long, it has changes that the store does not deliver
# to this instance.
_MIN_LAG_S = 0.4
# Duration of a watch, without the pause before it.
_WATCH_S = 0.2
_EXCHANGE_TIMEOUT_S = 0.6
# A peer that follows this instance sends its next request as soon as it has applied the
# response.
_IDLE_TIMEOUT_S = 5.0
# Maximum time for which a request waits for a change.
_MAX_WAIT_S = 2.0
# Peers that an instance asks at a time while its view is overdue, and the pauses
# between these times. They grow while no peer has a newer view, as in an outage of the
# store, when all instances are overdue.
_ASKED_PEERS = 2
_MIN_ASK_INTERVAL_S = 0.1
_MAX_ASK_INTERVAL_S = 1.0
_ASK_INTERVAL_FACTOR = 2.0
# Place before the first one: requests all entries.
_BEFORE_ALL = StorePosition(0, -1)
_MAX_RESPONSE_BYTES = 16_000_000
_MAX_REQUEST_BYTES = 1_024
_CHUNK_BYTES = 65_536
# Seconds for the rest of a frame that has begun.
_FRAME_TIMEOUT_S = 5.0
# Parts of a frame after which other green threads get to run.
_PARTS_A_TURN = 8
_LENGTH_BYTES = 4


class LinkError(BergamotsaddleError):
    """A peer could not be reached or did not respond to a ``ViewRequest``."""


class ViewRequest(msgspec.Struct, array_like=True):
    """Asks a peer for the changes of its view after a place in the store's history.

    Attributes:
        position: Place up to which the sender's view is complete.
        wait: Seconds that the peer may wait for a newer change.
        retained: Digest of the entries of earlier eras that the sender retains.
    """

    position: StorePosition
    wait: float = 0.0
    retained: int = 0


class ViewResponse(msgspec.Struct, array_like=True):
    """The changes of a peer's view, and its state.

    Attributes:
        entries: The changed entries.
        position: Place in the store's history up to which the peer's view is complete.
        has_snapshot: Whether the peer's view has had a snapshot of the store.
        is_snapshot: Whether these are all entries, so that missing ones were deleted.
        age: Seconds since the store confirmed the peer's view.
        regained_age: Seconds since the store returned after an outage.
        is_store_lost: Whether the peer fails to read the store.
        held: Seconds for which the peer held the request.
        retained: Entries of earlier eras that the peer retains, none if the sender of
            the request retains the same.
    """

    entries: list[StoreEntry]
    position: StorePosition
    has_snapshot: bool
    is_snapshot: bool
    age: float
    regained_age: float
    is_store_lost: bool
    held: float = 0.0
    retained: list[StoreEntry] = []


class PeerLink:
    """A connection to a peer that carries one request after the other.

    Args:
        contact: Contact of the peer.
        port: Port at which the peer listens.

    Raises:
        LinkError: If the peer does not accept the connection in time.
    """

    def __init__(self, contact: Contact, port: int) -> None:
        self.contact = contact
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.settimeout(_EXCHANGE_TIMEOUT_S)
        try:
            self._socket.connect((contact.host, port))
        except OSError as error:
            self.close()
            raise LinkError(str(error)) from error

    def query(
        self, request: ViewRequest, *, limit: float | None = None
    ) -> ViewResponse:
        """Send a request and read its response.

        Args:
            request: The request.
            limit: Seconds until the response; by default what the request may wait
                and the time of an exchange.

        Raises:
            LinkError: If no valid response arrives in time.
        """
        default = request.wait + _EXCHANGE_TIMEOUT_S
        self._socket.settimeout(default if limit is None else limit)
        try:
            _send_frame(self._socket, request)
            frame = _read_frame(self._socket, _MAX_RESPONSE_BYTES)
            if frame is None:
                raise LinkError("closed")
            return decode_msgpack(frame, ViewResponse)
        except (OSError, ValueError) as error:
            raise LinkError(str(error)) from error

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


class _PeerConnection:
    """A connection at which peers ask for changes.

    Args:
        sock: The accepted socket.

    Attributes:
        socket: The socket.
        thread: The green thread that serves it, None before it has started.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self.thread: greenlet | None = None

    def evict(self) -> None:
        """Close the connection."""
        if self.thread is not None:
            eventlet.kill(self.thread)


class ViewExchange:
    """Requests view changes from peers that are ahead, and serves those to peers.

    The store may refuse one instance and serve the others, or the link to it may be
    down. The instance then gets the published changes from peers, in the store's order.

    Args:
        settings: Address and port of this instance for peers.
        view: View of this instance.
        peers: The other instances.
        logger: Logs each exchange.
        is_store_lost: Returns whether this instance fails to read the store.
        metrics: Counts connections of peers that are evicted for others.
    """

    def __init__(
        self,
        settings: ServingSettings,
        view: View,
        peers: Peers,
        logger: Any,
        is_store_lost: Callable[[], bool] = lambda: False,
        *,
        metrics: Metrics | None = None,
    ) -> None:
        self._view = view
        self._is_store_lost = is_store_lost
        self._freshness = ViewFreshness(settings.bounds.change)
        self._changed = Event()
        view.subscribe(self.wake_requests)
        view.on_confirm = self.wake_requests
        self._peers = peers
        self._logger = logger
        self._port = settings.listen.peer_port
        self._door = Acceptor(
            "view",
            eventlet.listen((settings.instance.host, self._port), backlog=64),
            settings.capacity.page_connections,
            lambda sock, _: _PeerConnection(sock),
            self._serve,
            metrics=metrics or Metrics(),
            logger=logger,
        )
        self._behind_since: float | None = None
        self._last_position = NO_POSITION
        self._introduced_era: int | None = None
        eventlet.spawn_n(self._door.run)

    def run(self) -> None:
        """Catch up with peers that are ahead, forever."""
        while True:
            is_urgent = self._is_urgent()
            eventlet.sleep(_URGENT_INTERVAL_S if is_urgent else _CHECK_INTERVAL_S)
            self._introduce()
            ahead = self._find_peer_ahead()
            if ahead is None:
                self._behind_since = None
                continue
            if self._behind_since is None or self._view.position != self._last_position:
                # While entries change one by one, some peer is always ahead. An
                # instance that the store refuses differs in that its own position
                # does not advance.
                self._behind_since = now()
                self._last_position = self._view.position
            is_era_ahead = ahead.position.era > self._view.position.era
            is_late = now() - self._behind_since >= self._max_lag()
            if is_late or is_era_ahead or self._is_urgent():
                self._catch_up(ahead.contact)

    def _introduce(self) -> None:
        """Ask a peer once in each era for what it retains from earlier ones.

        An instance that has just started, or was cut off before the store came back,
        does not know all that the store has lost.
        """
        era = self._view.position.era
        if not self._view.has_snapshot or self._introduced_era == era:
            return
        peers = [p for p in self._peers.alive() if p.position.era == era]
        if peers and self._catch_up(random.choice(peers).contact):
            self._introduced_era = era

    def _is_urgent(self) -> bool:
        """Return whether the view lacks a snapshot or may be older than the bound."""
        is_overdue = self._freshness.is_overdue(self._view.age())
        return is_overdue or not self._view.has_snapshot

    def run_refresh(self) -> None:
        """Ask peers for changes while the view is overdue, forever."""
        interval = _MIN_ASK_INTERVAL_S
        while True:
            eventlet.sleep(interval)
            is_overdue = self._freshness.is_overdue(self._view.age())
            if not is_overdue or not self._view.has_snapshot:
                interval = _MIN_ASK_INTERVAL_S
                continue
            self._ask_peers()
            interval = min(_MAX_ASK_INTERVAL_S, interval * _ASK_INTERVAL_FACTOR)

    def _ask_peers(self) -> None:
        """Ask random peers, in other zones if possible, which have other readers."""
        alive = self._peers.alive()
        elsewhere = [p for p in alive if p.contact.zone != self._peers.own.zone]
        candidates = elsewhere if len(elsewhere) >= _ASKED_PEERS else alive
        for peer in random.sample(candidates, min(_ASKED_PEERS, len(candidates))):
            eventlet.spawn_n(self._catch_up, peer.contact)

    def _max_lag(self) -> float:
        """Return for how many seconds this instance may be behind a peer.

        In a large fleet each instance reads the store less often, so that nearly all of
        them are briefly behind some peer.
        """
        return max(_MIN_LAG_S, batch_pause(self._peers.size()) + _WATCH_S)

    def _find_peer_ahead(self) -> Peer | None:
        own = self._view.position
        ahead = [p for p in self._peers.alive() if p.position > own]
        ahead.sort(key=lambda p: p.contact.zone != self._peers.own.zone)
        return ahead[0] if ahead else None

    def make_request(self, wait: float = 0.0) -> ViewRequest:
        """Make a request for what this instance lacks.

        Args:
            wait: Seconds that the peer may wait for a change.
        """
        view = self._view
        position = view.position if view.has_snapshot else _BEFORE_ALL
        return ViewRequest(position, wait, view.digest_retained())

    def connect(self, contact: Contact) -> PeerLink:
        """Connect to a peer.

        Raises:
            LinkError: If the peer does not accept the connection in time.
        """
        return PeerLink(contact, self._port)

    def apply_response(
        self, response: ViewResponse, *, asked_at: float, source: str
    ) -> None:
        """Apply a peer's response to the view.

        The time on the way does not make the peer's view newer. A response may wait
        for a slow link, and changes of that time are not in it.

        Args:
            response: The response.
            asked_at: When the request was sent, on the hub's clock.
            source: Id of the peer.
        """
        at = now()
        view = self._view
        # Set before the entries are applied, because some may have lapsed during an
        # outage of the store.
        view.store_regained_at = max(view.store_regained_at, at - response.regained_age)
        is_current = response.position.era >= view.position.era
        if response.is_snapshot and response.has_snapshot:
            view.replace(response.entries, response.position, source=source)
        else:
            view.apply(response.entries, response.position, source=source)
        if response.retained:
            view.apply(response.retained, response.position, source=source)
        if is_current:
            view.confirm(asked_at + response.held - response.age)

    def _catch_up(self, contact: Contact) -> bool:
        """Get the changes of a peer; return whether it responded."""
        try:
            link = self.connect(contact)
            try:
                asked_at = now()
                response = link.query(self.make_request())
            finally:
                link.close()
        except LinkError as error:
            self._logger.info("peer_silent", peer=contact.id, reason=str(error))
            return False
        self.apply_response(response, asked_at=asked_at, source=contact.id)
        self._logger.info(
            "caught_up",
            peer=contact.id,
            entries=len(response.entries),
            retained=len(response.retained),
            **response.position._asdict(),
        )
        return True

    def _serve(self, connection: "_PeerConnection") -> None:
        sock = connection.socket
        sock.settimeout(_IDLE_TIMEOUT_S)
        connection.thread = eventlet.getcurrent()
        try:
            while (frame := _read_frame(sock, _MAX_REQUEST_BYTES)) is not None:
                request = decode_msgpack(frame, ViewRequest)
                held = self._wait_for_news(request)
                _send_frame(sock, self._make_response(request, held=held))
        except (OSError, ValueError, GreenletExit) as error:
            self._logger.info("peer_question_failed", reason=str(error))
        finally:
            sock.close()

    def _wait_for_news(self, request: ViewRequest) -> float:
        """Wait until the view changes or is confirmed, at most as long as requested.

        An instance that is itself without a source responds at once, so that the
        sender loses no time.

        Returns:
            Seconds for which it waited.
        """
        started_at = now()
        until = started_at + min(request.wait, _MAX_WAIT_S)
        confirmed_at = self._view.confirmed_at
        while not self._has_news(request, confirmed_at) and now() < until:
            with eventlet.Timeout(until - now(), False):
                self._changed.wait()
        return now() - started_at

    def _has_news(self, request: ViewRequest, confirmed_at: float) -> bool:
        view = self._view
        if view.position > request.position or view.confirmed_at > confirmed_at:
            return True
        return self._is_store_lost() or self._freshness.is_overdue(view.age())

    def _make_response(
        self, request: ViewRequest, *, held: float = 0.0
    ) -> ViewResponse:
        view = self._view
        changes = view.changes_since(request.position)
        knows_retained = request.retained == view.digest_retained()
        at = now()
        return ViewResponse(
            entries=changes.entries,
            position=view.position,
            has_snapshot=view.has_snapshot,
            is_snapshot=changes.is_snapshot,
            age=view.age(),
            regained_age=at - view.store_regained_at,
            is_store_lost=self._is_store_lost(),
            held=held,
            retained=[] if knows_retained else view.list_retained(),
        )

    def wake_requests(self) -> None:
        """Let requests that wait check whether they can be answered."""
        changed, self._changed = self._changed, Event()
        changed.send()


def _send_frame(sock: socket.socket, message: Any) -> None:
    data = msgspec.msgpack.encode(message)
    sock.sendall(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


def _read_frame(sock: socket.socket, max_bytes: int) -> bytes | None:
    """Read a frame; return None if the connection was closed before it started.

    Raises:
        OSError: If it is larger than it may be, or too slow.
    """
    head = sock.recv(_LENGTH_BYTES)
    if not head:
        return None
    head += _read_exactly(sock, _LENGTH_BYTES - len(head))
    length = int.from_bytes(head, "big")
    if length > max_bytes:
        raise OSError(f"frame of {length} bytes is too large")
    return _read_exactly(sock, length)


def _read_exactly(sock: socket.socket, count: int) -> bytes:
    """Read some bytes.

    Raises:
        OSError: If they don't arrive in time.
    """
    data = bytearray()
    turn = Turn(_PARTS_A_TURN)
    with eventlet.Timeout(_FRAME_TIMEOUT_S, TimeoutError("frame is too slow")):
        while len(data) < count:
            turn.step()
            chunk = sock.recv(min(_CHUNK_BYTES, count - len(data)))
            if not chunk:
                raise OSError("connection closed in the middle of a frame")
            data += chunk
    return bytes(data)
