"""The other instances: their state from heartbeats, and datagrams to them."""

import ipaddress
import random
from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_contracts.ini import parse_address
from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.datagrams import DatagramSocket
from bergamotsaddle_serving.failure_detector import FailureDetector
from bergamotsaddle_serving.heartbeat_schedule import (
    MAX_HEARTBEATS_PER_ROUND,
    HeartbeatSchedule,
    fan_out,
)
from bergamotsaddle_serving.messages import NO_POSITION, StorePosition
from bergamotsaddle_serving.peer_messages import (
    Contact,
    Datagram,
    Demand,
    Heartbeat,
    HeartbeatRequest,
    Message,
    decode,
    encode,
)
from bergamotsaddle_serving.policy import Mechanism
from bergamotsaddle_serving.roster import Roster
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.target_totals import TargetTotals

HEARTBEAT_INTERVAL_S = 0.2
# Heartbeats may get lost or be late; a peer counts as dead after this many missing ones
# in a row.
_MAX_MISSED_HEARTBEATS = 4
# Dead peers still get heartbeats, one round in this many, so that both sides of a
# healed network partition find each other again without a seed.
_SILENT_PEER_ROUNDS = 5
_FORGET_AFTER_S = 600.0
_MAX_CONTACTS = 8
# Contacts sent to an instance that knows few peers; they fit into one packet.
_MAX_CONTACTS_NEWCOMER = 32
# Maximum number of peers that are known only from contacts, and so get a heartbeat in
# the next round.
_MAX_UNCONTACTED = 64
# A peer that left a message unacknowledged gets no work for at least this time, and
# after it until its next heartbeat arrives.
_MIN_SUSPECT_S = 1.0
# How long heartbeats list a peer that did not respond, and how many they list at most.
_REPORT_UNRESPONSIVE_S = 5.0
_MAX_UNRESPONSIVE = 16
# An instance may own queues if it has at least this fraction of the cores of the
# instance that has most.
_MIN_CORES_FRACTION = 0.5
# How long a roster is reused; the heartbeats that it is built from can be ten times as
# old.
_ROSTER_TTL_S = 0.02

_NEVER = float("-inf")

Handler = Callable[[Any, tuple[str, int]], None]


class Peer:
    """The state of another instance as of its last heartbeat.

    Args:
        contact: Identity and address of the instance.

    Attributes:
        incarnation: Random id of its process, empty before its first heartbeat.
        was_contacted: Whether it got a heartbeat since it became known, or since this
            instance last started or stopped accepting work.
        last_seen_at: When its last heartbeat arrived.
        added_at: When it became known.
        suspected_at: When it last left a message unacknowledged.
        unreachable: Names of services whose targets it cannot reach.
        demand: Its requests of the last seconds, by service.
    """

    def __init__(self, contact: Contact) -> None:
        self.contact = contact
        self.incarnation = ""
        self.accepts_work = False
        self.position = NO_POSITION
        self.loads: dict[str, list[float]] = {}
        self.pending: list[tuple[str, str, list[int]]] = []
        self.running: dict[str, int] = {}
        self.prefill_tokens: dict[str, int] = {}
        self.cores = 0.0
        self.unreachable: frozenset[str] = frozenset()
        self.demand: list[Demand] = []
        self.was_contacted = False
        self.last_seen_at = float("-inf")
        self.added_at = now()
        self.suspected_at = _NEVER

    def is_suspect(self) -> bool:
        """Return whether it left a message unacknowledged and sent nothing since."""
        return self.is_suspect_at(now())

    def is_suspect_at(self, at: float) -> bool:
        """Return whether it is a suspect at a time, see ``is_suspect``."""
        is_recent = at - self.suspected_at < _MIN_SUSPECT_S
        return is_recent or self.last_seen_at < self.suspected_at


class Peers:
    """All known other instances, and this instance's exchange of heartbeats with them.

    Args:
        settings: Identity of this instance, and its seeds.
        incarnation: Random id of this process.
        logger: Logs returning and forgotten peers, and faulty datagrams.

    Attributes:
        own: Contact of this instance.
        incarnation: Random id of this process.
        by_id: State of each known peer, by instance id.
        own_loads: Returns the loads for this instance's heartbeats. The other
            attributes ``own_*`` return further fields of ``Heartbeat``.
        on_heartbeat: Called with each heartbeat of a peer.
        is_zone_unreachable: Returns whether a zone is cut off from this instance. Its
            instances then own no queues.
        received: Number of datagrams received so far.
        sent: Number of datagrams sent so far.
    """

    def __init__(
        self, settings: ServingSettings, incarnation: str, logger: Any
    ) -> None:
        instance = settings.instance
        self.own = Contact(instance.id, instance.zone, instance.host)
        self.incarnation = incarnation
        self._accepts_work = False
        self._region_by_zone = settings.zones.region_by_zone
        self.by_id: dict[str, Peer] = {}
        self.own_loads: Callable[[], dict[str, list[float]]] = dict
        self.own_pending: Callable[[], list[tuple[str, str, list[int]]]] = list
        self.own_running: Callable[[], dict[str, int]] = dict
        self.own_prefill_tokens: Callable[[], dict[str, int]] = dict
        self.own_position: Callable[[], StorePosition] = lambda: NO_POSITION
        self.own_digest: Callable[[], int] = lambda: 0
        self.own_has_history: Callable[[], bool] = lambda: False
        self.own_unreachable: Callable[[], list[str]] = list
        self.own_demand: Callable[[], list[Demand]] = list
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
        self.is_zone_unreachable: Callable[[str], bool] = lambda zone: False
        self._handlers: dict[type, Handler] = {
            Heartbeat: self._handle_heartbeat,
            HeartbeatRequest: self._handle_heartbeat_request,
        }
        self._logger = logger
        self._cores = settings.capacity.cores
        requires_cores = settings.policy.has(Mechanism.STRONG_OWNERS)
        self._min_cores_fraction = _MIN_CORES_FRACTION if requires_cores else 0.0
        self._port = settings.listen.peer_port
        self._seeds = [parse_address(seed).host for seed in settings.peers.seeds]
        self._roster: Roster | None = None
        self._roster_at = float("-inf")
        self._last_roster: Roster | None = None
        self._last_seen_at_by_zone: dict[str, float] = {}
        self._round_number = 0
        self._schedule = HeartbeatSchedule()
        self._detector = FailureDetector(
            lambda peer_id: self.send(peer_id, HeartbeatRequest()),
            self._last_seen_at,
            self.suspect,
        )
        self.received = 0
        self.sent = 0
        self._socket = DatagramSocket(instance.host, self._port)

    def set_handler(self, kind: type, handler: Handler) -> None:
        """Set the function that handles datagrams of a type."""
        self._handlers[kind] = handler

    @property
    def accepts_work(self) -> bool:
        """Whether this instance accepts work from other instances."""
        return self._accepts_work

    @accepts_work.setter
    def accepts_work(self, value: bool) -> None:
        if value == self._accepts_work:
            return
        self._accepts_work = value
        self.invalidate_roster()
        if self._is_owner_candidate():
            # A peer that received the change a round later would use another owner
            # until then.
            self.announce()

    def announce(self) -> None:
        """Send each known peer a heartbeat in the next round."""
        for peer in self.by_id.values():
            peer.was_contacted = False

    def roster(self) -> Roster:
        """Return the roster of live instances, at most ``_ROSTER_TTL_S`` old."""
        at = now()
        if self._roster is None or at - self._roster_at > _ROSTER_TTL_S:
            self._roster = self._make_roster()
            self._roster_at = at
        return self._roster

    def invalidate_roster(self) -> None:
        """Make the next call of ``roster`` build a new roster."""
        self._roster = None

    def alive(self) -> list[Peer]:
        """Return the peers whose heartbeats arrived recently."""
        since = self._alive_since()
        return [p for p in self.by_id.values() if p.last_seen_at > since]

    def id_of(self, host: str) -> str | None:
        """Return the id of the instance at an IP address, None if unknown."""
        for peer in self.by_id.values():
            if peer.contact.host == host:
                return peer.contact.id
        return None

    def reaches(self, instance_id: str, service: str) -> bool:
        """Return whether an instance reaches targets of a service, as far as known."""
        if instance_id == self.own.id:
            return service not in self.own_unreachable()
        peer = self.by_id.get(instance_id)
        return peer is None or service not in peer.unreachable

    def reaching(self, service: str) -> list[Peer]:
        """Return the live peers that accept work and reach targets of a service."""
        at = now()
        return [
            peer
            for peer in self.alive()
            if peer.accepts_work
            and not peer.is_suspect_at(at)
            and service not in peer.unreachable
            and not self.is_zone_unreachable(peer.contact.zone)
        ]

    def is_alive(self, peer_id: str) -> bool:
        """Return whether a peer's heartbeats arrive and it acknowledges messages."""
        peer = self.by_id.get(peer_id)
        if peer is None or peer.is_suspect():
            return False
        return self._is_reachable(peer)

    def region(self, zone: str) -> str:
        """Return the region of a zone; a zone without one is its own region."""
        return self._region_by_zone.get(zone, zone)

    def totals(self) -> TargetTotals:
        """Return the sums of what all other instances have at each target."""
        return self.roster().totals

    def active_zones(self) -> set[str]:
        """Return the zones in which an instance accepts work, and the own zone."""
        return self.roster().active_zones | {self.own.zone}

    def zone_last_seen_at(self, zone: str) -> float:
        """Return when the last heartbeat of any instance of a zone arrived."""
        return self._last_seen_at_by_zone.get(zone, float("-inf"))

    def record_load(self, peer_id: str, service: str, load: list[float]) -> None:
        """Record the load of a peer's queue that arrived outside its heartbeats."""
        self.by_id[peer_id].loads[service] = load

    def request_heartbeat(self, zone: str) -> None:
        """Request an immediate heartbeat from a random instance of a zone."""
        in_zone = [p for p in self.by_id.values() if p.contact.zone == zone]
        if in_zone:
            self.send(random.choice(in_zone).contact.id, HeartbeatRequest())

    def incarnation_of(self, peer_id: str) -> str | None:
        """Return an instance's incarnation, None if it is not reachable."""
        if peer_id == self.own.id:
            return self.incarnation
        peer = self.by_id.get(peer_id)
        if peer is None or not self._is_reachable(peer):
            return None
        return peer.incarnation

    def owners(self, scope: str) -> list[str]:
        """Return the ids of instances that can own a queue of a zone or region."""
        return self.roster().owners(scope)

    def suspect(self, peer_id: str) -> None:
        """Record that a peer did not acknowledge a message."""
        peer = self.by_id.get(peer_id)
        if peer is not None:
            peer.suspected_at = now()
            self.invalidate_roster()

    def verify(self, peer_id: str) -> None:
        """Check in the background whether a peer that did not respond is alive."""
        self._detector.verify(peer_id)

    def size(self) -> int:
        """Return the number of known instances, this one and dead ones included."""
        return len(self.by_id) + 1

    def rank(self, key: str) -> int:
        """Return the place of this instance, from 0, in a key's order of all known."""
        own = rendezvous_weight(self.own.id, key)
        return sum(rendezvous_weight(peer, key) > own for peer in self.by_id)

    def reachable_fraction(self) -> float:
        """Return the fraction of known instances that are alive, this one included."""
        return (len(self.alive()) + 1) / self.size()

    def send(self, peer_id: str, message: Message) -> None:
        """Send a datagram to a peer, without a guarantee that it arrives."""
        peer = self.by_id.get(peer_id)
        if peer is not None:
            self.send_to((peer.contact.host, self._port), message)

    def broadcast(self, message: Message) -> None:
        """Send a datagram to all live peers, without a guarantee that it arrives."""
        data = encode(message)
        for peer in self.alive():
            self._send_bytes((peer.contact.host, self._port), data)

    def send_to(self, address: tuple[str, int], message: Message) -> None:
        """Send a datagram to an address, without a guarantee that it arrives."""
        self._send_bytes(address, encode(message))

    def _send_bytes(self, address: tuple[str, int], data: bytes) -> None:
        self.sent += 1
        try:
            self._socket.send(data, address)
        except OSError as error:
            # The error tells at once that the datagram is lost. Every sender handles a
            # lost datagram by sending it again.
            self._logger.info("datagram_unsent", to=address[0], reason=str(error))

    def run(self) -> None:
        """Send heartbeats forever."""
        while True:
            self.send_heartbeats()
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send one round of heartbeats."""
        self._round_number += 1
        self._forget_silent()
        heartbeat = self._make_heartbeat()
        data = encode(heartbeat)
        for host in self._next_hosts(owns_queues=bool(heartbeat.loads)):
            self._send_bytes((host, self._port), data)

    def receive(self) -> None:
        """Receive and handle datagrams forever."""
        self._socket.open()
        while True:
            try:
                for data, address in self._socket.read():
                    self._handle_datagram(data, address)
            except OSError as error:
                self._logger.info("datagram_error", reason=str(error))

    def _handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        self.received += 1
        try:
            message = decode(data)
        except ValueError as error:
            self._logger.warning("datagram_malformed", reason=str(error))
            return
        try:
            self._dispatch(message, address)
        except Exception:
            # What one instance sends must not keep this one from hearing the others.
            kind = type(message).__name__
            self._logger.exception("datagram_failed", kind=kind, sender=address[0])

    def _dispatch(self, message: Datagram, address: tuple[str, int]) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)

    def _make_heartbeat(self, max_contacts: int = _MAX_CONTACTS) -> Heartbeat:
        alive = self.alive()
        sampled = random.sample(alive, min(max_contacts, len(alive)))
        return Heartbeat(
            sender=self.own,
            incarnation=self.incarnation,
            accepts_work=self.accepts_work,
            position=self.own_position(),
            loads=self.own_loads(),
            pending=self.own_pending(),
            running=self.own_running(),
            prefill_tokens=self.own_prefill_tokens(),
            cores=self._cores,
            contacts=[peer.contact for peer in sampled],
            unresponsive=self._unresponsive_ids(),
            digest=self.own_digest(),
            unreachable=self.own_unreachable(),
            has_history=self.own_has_history(),
            demand=self.own_demand(),
        )

    def _next_hosts(self, *, owns_queues: bool) -> list[str]:
        alive = {peer.contact.host for peer in self.alive()}
        hosts = sorted(alive)
        if self._round_number % _SILENT_PEER_ROUNDS == 1 or len(alive) < 1:
            known = {peer.contact.host for peer in self.by_id.values()}
            silent = (known | set(self._seeds)) - alive - {self.own.host}
            chosen = sorted(silent)
            random.shuffle(chosen)
            extra = chosen[:MAX_HEARTBEATS_PER_ROUND]
        else:
            extra = []
        picked = self._schedule.pick(hosts, owns_queues=owns_queues)
        return [*picked, *extra, *self._pop_uncontacted_hosts()]

    def _pop_uncontacted_hosts(self) -> list[str]:
        """Return hosts that get a heartbeat outside the schedule.

        They are known only from contacts, or have yet to receive that this instance
        started or stopped accepting work. Contacted ten at a time, the instances of a
        restarted fleet would know different subsets of it for seconds and choose
        different owners for the same queue.
        """
        uncontacted = [peer for peer in self.by_id.values() if not peer.was_contacted]
        chosen = uncontacted[:_MAX_UNCONTACTED]
        for peer in chosen:
            peer.was_contacted = True
        return [peer.contact.host for peer in chosen]

    def _is_owner_candidate(self) -> bool:
        """Return whether this instance has enough cores to own queues of its zone."""
        zone = self.own.zone
        zone_cores = [p.cores for p in self.alive() if p.contact.zone == zone]
        return self._cores >= self._min_cores_fraction * max(zone_cores, default=0.0)

    def _last_seen_at(self, peer_id: str) -> float:
        peer = self.by_id.get(peer_id)
        return peer.last_seen_at if peer is not None else float("-inf")

    def _unresponsive_ids(self) -> list[str]:
        """Return ids of peers that recently did not respond and sent nothing since."""
        since = now() - _REPORT_UNRESPONSIVE_S
        unresponsive = [
            peer.contact.id
            for peer in self.by_id.values()
            if peer.suspected_at > since and peer.last_seen_at < peer.suspected_at
        ]
        return unresponsive[:_MAX_UNRESPONSIVE]

    def _make_roster(self) -> Roster:
        """Build the roster of instances that are alive, and of candidate owners.

        Instances of an unreachable zone are no candidates. In a large fleet they still
        count as alive for seconds, and every message to them would have to be sent
        again.
        """
        at = now()
        alive = [
            peer
            for peer in self.alive()
            # Nearly all peers have never been suspected.
            if peer.suspected_at == _NEVER or not peer.is_suspect_at(at)
        ]
        zones = {peer.contact.zone for peer in alive}
        reachable = {zone for zone in zones if not self.is_zone_unreachable(zone)}
        candidates = [
            (peer.contact, peer.cores)
            for peer in alive
            if peer.accepts_work and peer.contact.zone in reachable
        ]
        if self.accepts_work:
            candidates.append((self.own, self._cores))
        roster = Roster(
            alive,
            candidates,
            min_cores_fraction=self._min_cores_fraction,
            region=self.region,
            earlier=self._last_roster,
        )
        self._last_roster = roster
        return roster

    def _is_reachable(self, peer: Peer) -> bool:
        return peer.last_seen_at > self._alive_since()

    def _alive_since(self) -> float:
        """Return the time after which the last heartbeat of a live peer arrived."""
        peers = len(self.by_id)
        rounds = 1 + peers // fan_out(peers)
        return now() - HEARTBEAT_INTERVAL_S * rounds * _MAX_MISSED_HEARTBEATS

    def _handle_heartbeat(self, heartbeat: Heartbeat, _: tuple[str, int]) -> None:
        if heartbeat.sender.id == self.own.id:
            return
        peer = self.by_id.get(heartbeat.sender.id)
        if peer is None or peer.contact != heartbeat.sender:
            if not _is_host(heartbeat.sender.host):
                self._logger.warning("datagram_malformed", reason="no IP address")
                return
            peer = self.by_id[heartbeat.sender.id] = Peer(heartbeat.sender)
        was_alive = self._is_reachable(peer)
        was_known = bool(peer.incarnation)
        if not was_alive or peer.accepts_work != heartbeat.accepts_work:
            self.invalidate_roster()
        if not was_alive or peer.incarnation != heartbeat.incarnation:
            if was_known:
                self._logger.info(
                    "peer_back", peer=heartbeat.sender.id, life=heartbeat.incarnation
                )
            # Respond at once, so that two starting instances need not wait a round.
            is_newcomer = len(heartbeat.contacts) < _MAX_CONTACTS
            max_contacts = _MAX_CONTACTS_NEWCOMER if is_newcomer else _MAX_CONTACTS
            self.send_to(
                (heartbeat.sender.host, self._port), self._make_heartbeat(max_contacts)
            )
            peer.was_contacted = True
        peer.incarnation = heartbeat.incarnation
        peer.accepts_work = heartbeat.accepts_work
        peer.position = heartbeat.position
        peer.loads = heartbeat.loads
        peer.pending = heartbeat.pending
        peer.running = heartbeat.running
        peer.prefill_tokens = heartbeat.prefill_tokens
        peer.cores = heartbeat.cores
        peer.unreachable = frozenset(heartbeat.unreachable)
        peer.demand = heartbeat.demand
        peer.last_seen_at = self._last_seen_at_by_zone[heartbeat.sender.zone] = now()
        self.on_heartbeat(heartbeat)
        own_id = self.own.id
        for contact in heartbeat.contacts:
            is_known = contact.id in self.by_id or contact.id == own_id
            if not is_known and _is_host(contact.host):
                self.by_id[contact.id] = Peer(contact)
        for peer_id in heartbeat.unresponsive:
            if self.is_alive(peer_id):
                self.verify(peer_id)

    def _handle_heartbeat_request(
        self, _: HeartbeatRequest, address: tuple[str, int]
    ) -> None:
        self.send_to((address[0], self._port), self._make_heartbeat())

    def _forget_silent(self) -> None:
        since = now() - _FORGET_AFTER_S
        silent = [
            peer_id
            for peer_id, peer in self.by_id.items()
            if peer.last_seen_at < since and peer.added_at < since
        ]
        for peer_id in silent:
            del self.by_id[peer_id]
            self._logger.info("peer_forgotten", peer=peer_id)


def _is_host(host: str) -> bool:
    """Return whether a text is an address; names are not looked up."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
