"""Membership and liveness of the other entry instances, and calls to them."""

from collections.abc import Callable
from typing import Any, Protocol

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.instances import Instance, parse_instances
from bergamotsaddle_contracts.messages import (
    DeclarationQuery,
    Heartbeat,
    InstancesQuery,
    TargetReport,
)
from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.links import Link
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Targets
from bergamotsaddle_daemon.views import Views

_FETCH_TIMEOUT = 2.0

LinkFactory = Callable[[str], Link]


class HeartbeatSocket(Protocol):
    """Sends heartbeats."""

    def send(self, heartbeat: Heartbeat, address: str) -> None:
        """Send one datagram without a guarantee of delivery."""


class Peer:
    """Another entry instance.

    Args:
        instance: Its entry in the platform's instance list.
        link: Link for calls to it.
    """

    def __init__(self, instance: Instance, link: Link) -> None:
        self.instance = instance
        self.link = link
        self.last_seen_at = float("-inf")
        self.incarnation = ""
        self.clock = 0.0
        self.revision = 0
        self.list_version = 0
        self.stopping = False
        self.follows = False

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the state of this peer from a heartbeat."""
        self.last_seen_at = now()
        self.incarnation = heartbeat.incarnation
        self.clock = heartbeat.clock
        self.revision = heartbeat.revision
        self.list_version = heartbeat.list_version
        self.stopping = heartbeat.stopping
        self.follows = heartbeat.follows


class Peers:
    """All other entry instances.

    Args:
        settings: The daemon's settings.
        incarnation: Random name of this process.
        views: Updated with newer versions that peers have.
        homes: The homes whose reports this instance needs.
        targets: Receive the reports that peers send.
        decisions: The decision log.
        link_factory: Creates a link to an address.
        socket: Sends heartbeats.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        views: Views,
        homes: Homes,
        targets: Targets,
        decisions: DecisionLog,
        *,
        link_factory: LinkFactory,
        socket: HeartbeatSocket,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._views = views
        self._homes = homes
        self._targets = targets
        self._decisions = decisions
        self._link_factory = link_factory
        self._socket = socket
        self._changed = Event()
        self._is_fetching = False
        self._started_at = now()
        self.by_id: dict[str, Peer] = {}
        self.neighbours: dict[str, Peer] = {}
        self.followers: dict[str, Peer] = {}
        self.stopping = False
        self.own_reports: Callable[[], tuple[TargetReport, ...]] = tuple
        views.subscribe(self.refresh)

    def refresh(self) -> None:
        """Apply the current instance list, then notify the neighbours."""
        entries = {
            entry.id: entry
            for entry in self._views.instances.entries()
            if entry.id != self._settings.daemon.id and entry.peer_address
        }
        for peer_id in list(self.by_id):
            peer = self.by_id[peer_id]
            if entries.get(peer_id) != peer.instance:
                del self.by_id[peer_id]
                peer.link.close()
        for entry in entries.values():
            if entry.id not in self.by_id:
                link = self._link_factory(entry.peer_address)
                self.by_id[entry.id] = Peer(entry, link)
        self._choose_neighbours()
        self.notify_neighbours()

    def notify_neighbours(self) -> None:
        """Send heartbeats immediately instead of after the usual interval."""
        changed, self._changed = self._changed, Event()
        changed.send()

    def is_alive(self, peer_id: str) -> bool:
        """Return whether a heartbeat of a peer arrived within ``peer_silence``."""
        peer = self.by_id.get(peer_id)
        if peer is None:
            return False
        return now() - peer.last_seen_at <= self._settings.timing.peer_silence

    def is_caught_up(self) -> bool:
        """Return whether this instance has learned from its peers what is in force.

        A replacement instance may start while the configuration service returns an
        old declaration. Serving requests by it would undo what is in force at every
        other instance. So the instance waits for a heartbeat of each neighbour, but
        no longer than ``peer_silence``, as some may be unreachable. While a peer has
        a newer revision it waits up to twice as long. Model: ``ready``.
        """
        waited = now() - self._started_at
        silence = self._settings.timing.peer_silence
        if self._is_fetching or not self._views.instances.version:
            return False
        if self._is_newer_revision_known() and waited <= 2 * silence:
            return False
        incarnations = (peer.incarnation for peer in self.neighbours.values())
        return waited > silence or all(incarnations)

    def _is_newer_revision_known(self) -> bool:
        own = self._views.declaration.revision
        return any(peer.revision > own for peer in self.by_id.values())

    def call(self, peer_id: str, message: Any, timeout: float) -> Any:
        """Call a peer.

        Raises:
            PeerUnreachableError: If it is not in the list or does not respond.
        """
        peer = self.by_id.get(peer_id)
        if peer is None:
            raise PeerUnreachableError(f"{peer_id} is not in the instance list")
        return peer.link.call(message, timeout)

    def pick_witness(self, nonce: str) -> Peer | None:
        """Choose a live peer as a ticket's witness, in another zone if possible."""
        alive = [
            peer
            for peer in self.by_id.values()
            if self.is_alive(peer.instance.id) and not peer.stopping
        ]
        own = self._settings.daemon.zone
        remote = [peer for peer in alive if peer.instance.zone != own]
        candidates = remote or alive
        if not candidates:
            return None
        return max(
            candidates, key=lambda peer: rendezvous_weight(peer.instance.id, nonce)
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a peer's heartbeat and fetch newer versions from the peer."""
        peer = self.by_id.get(heartbeat.sender)
        if peer is None:
            return
        peer.apply_heartbeat(heartbeat)
        self._add_follower(peer)
        if heartbeat.echo_incarnation == self._incarnation:
            self._handle_echo(heartbeat)
        if self._is_behind(heartbeat) and not self._is_fetching:
            self._is_fetching = True
            eventlet.spawn_n(self._fetch, peer)

    def _add_follower(self, peer: Peer) -> None:
        """Send heartbeats to a peer that sends some here but is no neighbour.

        Such a peer uses targets whose home is this instance. Without heartbeats in
        return it would get no reports and would treat those targets as cold.
        """
        peer_id = peer.instance.id
        if peer_id in self.neighbours or peer_id in self.followers:
            return
        if len(self.followers) >= self._settings.limits.followers:
            return
        self.followers[peer_id] = peer
        eventlet.spawn_n(self._send_to_follower, peer)

    def _send_to_follower(self, peer: Peer) -> None:
        peer_id = peer.instance.id
        while self.is_alive(peer_id) and peer_id not in self.neighbours:
            self._socket.send(self._make_heartbeat(peer), peer.instance.peer_address)
            self._changed.wait(timeout=self._settings.timing.heartbeat)
        del self.followers[peer_id]

    def _handle_echo(self, heartbeat: Heartbeat) -> None:
        # Datagrams queue in the socket while this process is paused, so the time of
        # reading one does not bound its age. The peer sent it after receiving the
        # clock value that it echoes, and this does bound its age. The peer itself may
        # have just resumed from a pause, so it confirms the views only as of the time
        # when it last queried the platform, with or without success.
        if not self._is_behind(heartbeat):
            self._views.confirm(heartbeat.echo - heartbeat.platform_query_age)
        for report in heartbeat.reports:
            target = self._targets.by_id.get(report.target_id)
            if target is not None:
                target.apply_report(report, sent_at=heartbeat.echo)

    def _is_behind(self, heartbeat: Heartbeat) -> bool:
        offered = (heartbeat.revision, heartbeat.digest)
        if offered > self._views.declaration.version:
            return True
        return heartbeat.list_version > self._views.instances.version

    def _fetch(self, peer: Peer) -> None:
        name = peer.instance.id
        try:
            own = self._views.declaration.revision
            text = peer.link.call(DeclarationQuery(own), _FETCH_TIMEOUT).text
            if text:
                self._views.offer_declaration(text, source=f"peer {name}")
            version = self._views.instances.version
            payload = peer.link.call(InstancesQuery(version), _FETCH_TIMEOUT).payload
            if payload:
                offered = parse_instances(payload)
                self._views.offer_instances(offered, source=f"peer {name}")
        except (PeerUnreachableError, ValueError) as error:
            self._decisions.record("", "fetch", "", f"from peer {name}: {error}")
        finally:
            self._is_fetching = False

    def _choose_neighbours(self) -> None:
        """Choose a bounded number of peers for heartbeats, symmetrically.

        In a full mesh the traffic of each daemon would grow with the fleet. Instead
        the instances form a ring sorted by zone and id, and each one exchanges
        heartbeats with those at fixed distances in both directions.
        """
        ring = sorted([*self.by_id, self._settings.daemon.id], key=self._ring_key)
        bound = self._settings.limits.neighbours
        if len(ring) - 1 <= bound:
            chosen = [peer_id for peer_id in ring if peer_id in self.by_id]
        else:
            position = ring.index(self._settings.daemon.id)
            offsets = _ring_offsets(len(ring), bound)
            chosen = [ring[(position + offset) % len(ring)] for offset in offsets]
        followed = [home for home in self._homes.followed if home in self.by_id]
        neighbours = {peer_id: self.by_id[peer_id] for peer_id in [*chosen, *followed]}
        added = [p for i, p in neighbours.items() if self.neighbours.get(i) is not p]
        self.neighbours = neighbours
        for peer in added:
            eventlet.spawn_n(self._send_heartbeats, peer)

    def _ring_key(self, peer_id: str) -> tuple[str, str]:
        peer = self.by_id.get(peer_id)
        zone = peer.instance.zone if peer else self._settings.daemon.zone
        return (zone, peer_id)

    def _send_heartbeats(self, peer: Peer) -> None:
        peer_id = peer.instance.id
        while self.neighbours.get(peer_id) is peer:
            self._socket.send(self._make_heartbeat(peer), peer.instance.peer_address)
            self._changed.wait(timeout=self._settings.timing.heartbeat)

    def _make_heartbeat(self, peer: Peer) -> Heartbeat:
        declaration = self._views.declaration
        return Heartbeat(
            sender=self._settings.daemon.id,
            incarnation=self._incarnation,
            clock=now(),
            echo=peer.clock,
            echo_incarnation=peer.incarnation,
            platform_query_age=now() - self._views.platform_queried_at,
            revision=declaration.revision,
            digest=declaration.digest,
            list_version=self._views.instances.version,
            stopping=self.stopping,
            follows=peer.instance.id in self._homes.followed,
            reports=self.own_reports() if peer.follows else (),
        )


def _ring_offsets(size: int, bound: int) -> list[int]:
    """Return distances around a ring in both directions, growing by a constant factor.

    As with the digits of a number, any position can be reached in few hops.
    """
    half = max(1, bound // 2)
    offsets = {max(1, round(size ** (power / half))) for power in range(half)}
    return sorted(offsets | {size - offset for offset in offsets})
