"""Exchanges the origins of streams with the other instances."""

from collections.abc import Sequence
from itertools import groupby
from math import ceil
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.backup_choice import choose_backups
from bergamotsaddle_serving.peer_messages import (
    Contact,
    OriginGroup,
    OriginQuery,
    OriginUpdate,
)
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.stream_origins import (
    KEY_BYTES,
    KnownStream,
    StreamOrigin,
    StreamOrigins,
)

# An instance sends its backups the streams of this time together. The first one after
# a pause is sent at once.
_BATCH_S = 0.1
# This many streams fit into one packet.
_STREAMS_PER_DATAGRAM = 150
# Questions that come faster than this for each live peer are asked together. It bounds
# what callers that name streams nobody knows can cost.
_ASK_INTERVAL_PER_PEER_S = 0.0001
# Pauses after which a question is asked once more, since datagrams get lost. After the
# last one nobody in reach knows the stream.
_ANSWER_PAUSES_S = (0.03, 0.05, 0.07)
_HERE = "here"
# A byte holds the time for which a stream is to be known.
_UNIT_S = 3.0
_MAX_UNITS = 255


class FoundOrigin(NamedTuple):
    """The origin of a stream and the instance that knew it.

    Attributes:
        origin: What began the stream.
        known_by: Id of the instance.
    """

    origin: StreamOrigin
    known_by: str


class OriginExchange:
    """Keeps the origins of streams where they outlive the instance that began them.

    The origin of a stream is told to a few fixed instances, the backups of this one,
    when its first event arrives, many streams in a datagram, so the cost does not grow
    with the fleet. An
    instance that needs the origin of a stream asks all others; only those that know it
    respond. That costs a datagram an instance, but only when a stream broke off.

    Args:
        origins: The origins that this instance knows.
        peers: The other instances.

    Attributes:
        peers: The other instances.
        backups: The instances that are told of streams that begin here.
    """

    def __init__(self, origins: StreamOrigins, peers: Peers) -> None:
        self._origins = origins
        self.peers = peers
        self._unsent: list[KnownStream] = []
        self._may_send_at = 0.0
        self.backups: list[Contact] = []
        self._incarnation_by_backup: dict[str, str] = {}
        self._waiting_by_key: dict[int, list[Event]] = {}
        self._unasked: set[int] = set()
        self._may_ask_at = 0.0
        peers.set_handler(OriginUpdate, self._handle_update)
        peers.set_handler(OriginQuery, self._handle_query)

    def record(self, stream: KnownStream) -> None:
        """Record the origin of a stream that this instance begins or resumes."""
        self._origins.add(stream)
        if not self._unsent:
            delay = self._may_send_at - now()
            if delay <= 0:
                self._unsent.append(stream)
                self._flush()
                return
            eventlet.spawn_after(delay, self._flush)
        self._unsent.append(stream)

    def find_here(self, key: int) -> KnownStream | None:
        """Return a stream that this instance knows."""
        return self._origins.find(key)

    def find(self, key: int) -> FoundOrigin | None:
        """Return the origin of a stream, from another instance if need be.

        Returns:
            The origin, None if no instance in reach knows it.
        """
        known = self._origins.find(key)
        if known is not None:
            return FoundOrigin(known.origin, _HERE)
        event = Event()
        waiting = self._waiting_by_key.setdefault(key, [])
        waiting.append(event)
        try:
            return self._ask(key, event)
        finally:
            waiting.remove(event)
            if not waiting:
                self._waiting_by_key.pop(key, None)

    def renew(self) -> None:
        """Tell new backups all that this instance knows, and drop old streams.

        What is known of a stream survives instances that are killed one after the
        other, as long as one of them was told before the last one ended.
        """
        self._origins.drop_expired()
        self._choose_backups()
        self._send_to_backups([])

    def hand_over(self) -> None:
        """Tell the backups all that this instance knows before it stops."""
        known = self._origins.streams()
        self._choose_backups()
        for backup in self.backups:
            self._send(backup.id, known)

    def _ask(self, key: int, event: Event) -> FoundOrigin | None:
        for pause in _ANSWER_PAUSES_S:
            self._schedule_question(key)
            with eventlet.Timeout(pause, False):
                return event.wait()
        return None

    def _schedule_question(self, key: int) -> None:
        is_scheduled = bool(self._unasked)
        self._unasked.add(key)
        if is_scheduled:
            return
        delay = self._may_ask_at - now()
        if delay > 0:
            eventlet.spawn_after(delay, self._ask_all)
        else:
            self._ask_all()

    def _ask_all(self) -> None:
        keys, self._unasked = sorted(self._unasked), set()
        self._may_ask_at = now() + _ASK_INTERVAL_PER_PEER_S * self.peers.size()
        for start in range(0, len(keys), _STREAMS_PER_DATAGRAM):
            batch = keys[start : start + _STREAMS_PER_DATAGRAM]
            self.peers.broadcast(OriginQuery(batch))

    def _choose_backups(self) -> None:
        at = now()
        alive = [p.contact for p in self.peers.alive() if not p.is_suspect_at(at)]
        self.backups = choose_backups(self.peers.own, alive)

    def _flush(self) -> None:
        streams, self._unsent = self._unsent, []
        self._may_send_at = now() + _BATCH_S
        is_alive = self.peers.is_alive
        if not self.backups or not all(is_alive(b.id) for b in self.backups):
            self._choose_backups()
        self._send_to_backups(streams)

    def _send_to_backups(self, streams: Sequence[KnownStream]) -> None:
        """Send streams to known backups, and all streams to new ones."""
        told = self._incarnation_by_backup
        by_id = self.peers.by_id
        incarnations = {b.id: by_id[b.id].incarnation for b in self.backups}
        self._incarnation_by_backup = incarnations
        for backup, incarnation in incarnations.items():
            is_new = told.get(backup) != incarnation
            self._send(backup, self._origins.streams() if is_new else streams)

    def _send(self, peer_id: str, streams: Sequence[KnownStream]) -> None:
        for update in _make_updates(streams):
            self.peers.send(peer_id, update)

    def _handle_query(self, query: OriginQuery, address: tuple[str, int]) -> None:
        found = [self._origins.find(key) for key in query.keys]
        for update in _make_updates([stream for stream in found if stream]):
            self.peers.send_to(address, update)

    def _handle_update(self, update: OriginUpdate, address: tuple[str, int]) -> None:
        at = now()
        for group in update.groups:
            origin = StreamOrigin(group.service, group.software)
            for key, seconds in zip(*decode_group(group), strict=True):
                self._origins.add(KnownStream(key, origin, at + seconds))
                self._wake(key, address[0])

    def _wake(self, key: int, host: str) -> None:
        for event in self._waiting_by_key.get(key, ()):
            known = self._origins.find(key)
            if known is not None and not event.ready():
                known_by = self.peers.id_of(host) or host
                event.send(FoundOrigin(known.origin, known_by))


def _make_updates(streams: Sequence[KnownStream]) -> list[OriginUpdate]:
    """Make datagrams in which the streams of one origin stand together."""
    updates = []
    by_origin = sorted(streams, key=lambda stream: stream.origin)
    for start in range(0, len(by_origin), _STREAMS_PER_DATAGRAM):
        batch = by_origin[start : start + _STREAMS_PER_DATAGRAM]
        groups = [
            encode_group(origin, list(members))
            for origin, members in groupby(batch, key=lambda stream: stream.origin)
        ]
        updates.append(OriginUpdate(groups))
    return updates


def encode_group(origin: StreamOrigin, streams: Sequence[KnownStream]) -> OriginGroup:
    """Encode streams of one origin."""
    at = now()
    units = [ceil((stream.expires_at - at) / _UNIT_S) for stream in streams]
    return OriginGroup(
        *origin,
        keys=b"".join(stream.key.to_bytes(KEY_BYTES, "big") for stream in streams),
        units=bytes(max(1, min(_MAX_UNITS, unit)) for unit in units),
    )


def decode_group(group: OriginGroup) -> tuple[list[int], list[float]]:
    """Return the keys of streams, and for how many seconds each is to be known."""
    keys = [
        int.from_bytes(group.keys[start : start + KEY_BYTES], "big")
        for start in range(0, len(group.keys), KEY_BYTES)
    ]
    return keys, [unit * _UNIT_S for unit in group.units]
