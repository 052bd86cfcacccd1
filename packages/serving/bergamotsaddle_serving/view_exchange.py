"""Takes from peers what the store does not tell this instance."""

import socket
from typing import Any

import eventlet
import msgspec

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.follower import batch_pause
from bergamotsaddle_serving.messages import Entry
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.view import View

_CHECK_S = 0.15
# A peer that is ahead for this long knows what the store has not told us.
_BEHIND_S = 0.4
# What a watch takes besides the pause before it.
_READ_S = 0.2
_EXCHANGE_LIMIT_S = 1.0
_MAX_BYTES = 16_000_000
_LENGTH_BYTES = 4


class Question(msgspec.Struct, array_like=True):
    """Asks for what a peer's view has got since a revision."""

    revision: int


class Answer(msgspec.Struct, array_like=True):
    """The peer's entries, and up to which revision it knows everything."""

    entries: list[Entry]
    revision: int
    has_listed: bool


class ViewExchange:
    """Asks peers that know more, and answers those that know less.

    The store may refuse one instance and serve the others, or the link to it may be
    cut. What it published then comes from peers, in the store's own order.

    Args:
        settings: Where peers listen.
        view: What is known here.
        peers: Who knows more.
        logger: Gets a line for each exchange.
    """

    def __init__(
        self, settings: ServingSettings, view: View, peers: Peers, logger: Any
    ) -> None:
        self._view = view
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
            eventlet.sleep(_CHECK_S)
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
                self._view.has_listed
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

    def _catch_up(self, contact: Contact) -> None:
        since = self._view.revision if self._view.has_listed else 0
        try:
            answer = self._ask(contact, Question(since))
        except (OSError, msgspec.DecodeError) as error:
            self._logger.info("peer_silent", peer=contact.id, reason=str(error))
            return
        self._view.apply(answer.entries, answer.revision, source=contact.id)
        self._view.has_listed = self._view.has_listed or answer.has_listed
        self._logger.info(
            "caught_up",
            peer=contact.id,
            revision=answer.revision,
            entries=len(answer.entries),
        )

    def _ask(self, contact: Contact, question: Question) -> Answer:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.settimeout(_EXCHANGE_LIMIT_S)
            sock.connect((contact.host, self._port))
            _send_frame(sock, question)
            return msgspec.msgpack.decode(_read_frame(sock), type=Answer)

    def _serve(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(_EXCHANGE_LIMIT_S)
        try:
            question = msgspec.msgpack.decode(_read_frame(sock), type=Question)
            entries = self._view.entries_since(question.revision)
            _send_frame(
                sock, Answer(entries, self._view.revision, self._view.has_listed)
            )
        except (OSError, msgspec.DecodeError) as error:
            self._logger.info("peer_question_failed", reason=str(error))
        finally:
            sock.close()


def _send_frame(sock: socket.socket, message: Any) -> None:
    data = msgspec.msgpack.encode(message)
    sock.sendall(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


def _read_frame(sock: socket.socket) -> bytes:
    length = int.from_bytes(_read_exactly(sock, _LENGTH_BYTES), "big")
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
