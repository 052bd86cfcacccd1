"""The other instances: who lives, what they say, and datagrams to them."""

import random
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec

from bergamotsaddle_contracts.ini import parse_address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.datagrams import DatagramSocket
from bergamotsaddle_serving.failure_detector import FailureDetector
from bergamotsaddle_serving.heartbeat_schedule import (
    MAX_HEARTBEATS_PER_ROUND,
    HeartbeatSchedule,
    fan_out,
)
from bergamotsaddle_serving.peer_messages import (
    Contact,
    Datagram,
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
# Heartbeats may get lost or be late; after this many missing ones in a row the peer
# counts as gone.
_MISSED_HELLOS = 4
# Silent peers are still told of this instance, so that both sides of a healed cut find
# each other again without a seed; one every this many intervals.
_SILENT_EVERY = 5
_FORGET_S = 600.0
_CONTACTS_TOLD = 8
# Contacts named to an instance that knows few others; they fit into one packet.
_CONTACTS_TOLD_NEWCOMERS = 32
# Instances that were named by others and never greeted get a heartbeat in the next
# round, so many of them at most.
_MOST_UNMET = 64
# What one owner has not acknowledged is taken elsewhere for so long at least, and then
# until it is heard again.
_SUSPECT_S = 1.0
# How long others are told of a peer that did not answer, and of how many at most.
_TELL_MISSED_S = 5.0
_MOST_MISSED = 16
# Machines with this part of the strongest one's strength may own queues.
_STRONG_PART = 0.5
# How long a roster is used again; heartbeats are ten times as old.
_ROSTER_S = 0.02

Handler = Callable[[Any, tuple[str, int]], None]


class Peer:
    """Another instance as last heard.

    Args:
        contact: Where it is reached.
    """

    def __init__(self, contact: Contact) -> None:
        self.contact = contact
        self.incarnation = ""
        self.accepts_work = False
        self.revision = 0
        self.loads: dict[str, list[float]] = {}
        self.pending: list[tuple[str, str, list[int]]] = []
        self.running: dict[str, int] = {}
        self.prefill_tokens: dict[str, int] = {}
        self.cores = 0.0
        self.was_contacted = False
        self.last_seen_at = float("-inf")
        self.added_at = now()
        self.suspected_at = float("-inf")

    def is_suspect(self) -> bool:
        """Tell whether it left something unacknowledged and was not heard since."""
        is_fresh = now() - self.suspected_at < _SUSPECT_S
        return is_fresh or self.last_seen_at < self.suspected_at


class Peers:
    """All other instances that are known.

    Args:
        settings: Who this instance is and its seeds.
        life: Random name of this process's life.
        logger: Gets a line when a peer is lost or found.
    """

    def __init__(
        self, settings: ServingSettings, incarnation: str, logger: Any
    ) -> None:
        instance = settings.instance
        self.own = Contact(instance.id, instance.zone, instance.host)
        self.incarnation = incarnation
        self._takes_work = False
        self._region_by_zone = settings.zones.region_by_zone
        self.by_id: dict[str, Peer] = {}
        self.own_loads: Callable[[], dict[str, list[float]]] = dict
        self.own_pending: Callable[[], list[tuple[str, str, list[int]]]] = list
        self.own_running: Callable[[], dict[str, int]] = dict
        self.own_prefill_tokens: Callable[[], dict[str, int]] = dict
        self.own_revision: Callable[[], int] = lambda: 0
        self.own_digest: Callable[[], int] = lambda: 0
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda hello: None
        self.is_zone_unreachable: Callable[[str], bool] = lambda zone: False
        self._handlers: dict[type, Handler] = {
            Heartbeat: self._handle_heartbeat,
            HeartbeatRequest: self._answer_inquiry,
        }
        self._logger = logger
        self._strength = settings.capacity.cores
        is_picked = settings.policy.has(Mechanism.STRONG_OWNERS)
        self._least_part = _STRONG_PART if is_picked else 0.0
        self._port = settings.listen.peer_port
        self._seeds = [parse_address(seed).host for seed in settings.peers.seeds]
        self._roster: Roster | None = None
        self._roster_at = float("-inf")
        self._heard_at_by_zone: dict[str, float] = {}
        self._turn = 0
        self._greetings = HeartbeatSchedule()
        self._detector = FailureDetector(
            lambda peer_id: self.send(peer_id, HeartbeatRequest()),
            self._heard_at,
            self.suspect,
        )
        self.received = 0
        self.sent = 0
        self._socket = DatagramSocket(instance.host, self._port)

    def set_handler(self, kind: type, handler: Handler) -> None:
        """Have a function called for each datagram of a kind."""
        self._handlers[kind] = handler

    @property
    def accepts_work(self) -> bool:
        """Whether this instance takes work for others."""
        return self._takes_work

    @accepts_work.setter
    def accepts_work(self, value: bool) -> None:
        if value == self._takes_work:
            return
        self._takes_work = value
        self.invalidate_roster()
        if self._may_own():
            # Whoever learnt of it a round later would ask another owner.
            for peer in self.by_id.values():
                peer.was_contacted = False

    def roster(self) -> Roster:
        """The instances that live now, or did a moment ago."""
        moment = now()
        if self._roster is None or moment - self._roster_at > _ROSTER_S:
            self._roster = self._make_roster()
            self._roster_at = moment
        return self._roster

    def invalidate_roster(self) -> None:
        """Have the next question answered by what is known then."""
        self._roster = None

    def alive(self) -> list[Peer]:
        """Peers that were heard lately."""
        since = self._heard_since()
        return [p for p in self.by_id.values() if p.last_seen_at > since]

    def id_of(self, host: str) -> str | None:
        """Id of the instance at an IP number."""
        for peer in self.by_id.values():
            if peer.contact.host == host:
                return peer.contact.id
        return None

    def is_alive(self, peer_id: str) -> bool:
        """Tell whether a peer was heard lately and acknowledges what it gets."""
        peer = self.by_id.get(peer_id)
        if peer is None or peer.is_suspect():
            return False
        return self._is_heard(peer)

    def region(self, zone: str) -> str:
        """Region of a zone; a zone of no known region is one by itself."""
        return self._region_by_zone.get(zone, zone)

    def totals(self) -> TargetTotals:
        """What all other instances have at each target, as they told lately."""
        return self.roster().totals

    def active_zones(self) -> set[str]:
        """Zones in which an instance takes work, this one's own zone among them."""
        return self.roster().active_zones | {self.own.zone}

    def zone_last_seen_at(self, zone: str) -> float:
        """When any instance of a zone was heard last."""
        return self._heard_at_by_zone.get(zone, float("-inf"))

    def record_load(self, peer_id: str, service: str, load: list[float]) -> None:
        """Note what a peer tells of a queue of its besides its heartbeats."""
        self.by_id[peer_id].loads[service] = load

    def request_heartbeat(self, zone: str) -> None:
        """Ask an instance of a zone for a heartbeat at once."""
        inside = [p for p in self.by_id.values() if p.contact.zone == zone]
        if inside:
            self.send(random.choice(inside).contact.id, HeartbeatRequest())

    def incarnation_of(self, peer_id: str) -> str | None:
        """The life of an instance's process, None if it was not heard lately."""
        if peer_id == self.own.id:
            return self.incarnation
        peer = self.by_id.get(peer_id)
        if peer is None or not self._is_heard(peer):
            return None
        return peer.incarnation

    def owners(self, scope: str) -> list[str]:
        """Instances that can own a queue of a zone or region."""
        return self.roster().owners(scope)

    def suspect(self, peer_id: str) -> None:
        """Note that a peer did not acknowledge what it was sent."""
        peer = self.by_id.get(peer_id)
        if peer is not None:
            peer.suspected_at = now()
            self.invalidate_roster()

    def verify(self, peer_id: str) -> None:
        """Find out in the background whether a peer lives that should have answered."""
        self._detector.verify(peer_id)

    def size(self) -> int:
        """Instances known of late, this one among them, dead ones too."""
        return len(self.by_id) + 1

    def reachable_fraction(self) -> float:
        """Which part of all instances that are known lives, this one among them."""
        return (len(self.alive()) + 1) / self.size()

    def send(self, peer_id: str, message: Message) -> None:
        """Send a datagram to a peer; it may get lost."""
        peer = self.by_id.get(peer_id)
        if peer is not None:
            self.send_to((peer.contact.host, self._port), message)

    def send_to(self, address: tuple[str, int], message: Message) -> None:
        """Send a datagram to an address; it may get lost."""
        self._send_bytes(address, encode(message))

    def _send_bytes(self, address: tuple[str, int], data: bytes) -> None:
        self.sent += 1
        try:
            self._socket.send(data, address)
        except OSError as error:
            # Sending fails at once where the network would lose the datagram; every
            # sender copes with a lost one by sending again.
            self._logger.info("datagram_unsent", to=address[0], reason=str(error))

    def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.send_heartbeats()
            eventlet.sleep(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send one round of heartbeats."""
        self._turn += 1
        self._forget_silent()
        hello = self._hello()
        data = encode(hello)
        for host in self._round(owns_queues=bool(hello.loads)):
            self._send_bytes((host, self._port), data)

    def receive(self) -> None:
        """Handle datagrams for ever."""
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
        except msgspec.DecodeError as error:
            self._logger.warning("datagram_malformed", reason=str(error))
            return
        self._dispatch(message, address)

    def _dispatch(self, message: Datagram, address: tuple[str, int]) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, address)

    def _hello(self, most_contacts: int = _CONTACTS_TOLD) -> Heartbeat:
        alive = self.alive()
        told = random.sample(alive, min(most_contacts, len(alive)))
        return Heartbeat(
            sender=self.own,
            incarnation=self.incarnation,
            accepts_work=self.accepts_work,
            revision=self.own_revision(),
            loads=self.own_loads(),
            pending=self.own_pending(),
            running=self.own_running(),
            prefill_tokens=self.own_prefill_tokens(),
            cores=self._strength,
            contacts=[peer.contact for peer in told],
            unresponsive=self._missed(),
            digest=self.own_digest(),
        )

    def _round(self, *, owns_queues: bool) -> list[str]:
        alive = {peer.contact.host for peer in self.alive()}
        hosts = sorted(alive)
        known = {peer.contact.host for peer in self.by_id.values()}
        if self._turn % _SILENT_EVERY == 1 or len(alive) < 1:
            silent = (known | set(self._seeds)) - alive - {self.own.host}
            chosen = sorted(silent)
            random.shuffle(chosen)
            extra = chosen[:MAX_HEARTBEATS_PER_ROUND]
        else:
            extra = []
        picked = self._greetings.pick(hosts, owns_queues=owns_queues)
        return [*picked, *extra, *self._take_unmet()]

    def _take_unmet(self) -> list[str]:
        """Hosts that are to be greeted out of turn.

        Others named them, or they have yet to learn that this instance began or ceased
        to take work. Met ten at a time, the instances of a restarted fleet would know
        different parts of it for seconds, and take different ones for the owner of a
        queue.
        """
        unmet = [peer for peer in self.by_id.values() if not peer.was_contacted]
        chosen = unmet[:_MOST_UNMET]
        for peer in chosen:
            peer.was_contacted = True
        return [peer.contact.host for peer in chosen]

    def _may_own(self) -> bool:
        """Tell whether this instance is strong enough to own queues of its zone."""
        zone = self.own.zone
        strengths = [p.cores for p in self.alive() if p.contact.zone == zone]
        return self._strength >= self._least_part * max(strengths, default=0.0)

    def _heard_at(self, peer_id: str) -> float:
        peer = self.by_id.get(peer_id)
        return peer.last_seen_at if peer is not None else float("-inf")

    def _missed(self) -> list[str]:
        """Peers that have not answered lately and were not heard since."""
        since = now() - _TELL_MISSED_S
        unresponsive = [
            peer.contact.id
            for peer in self.by_id.values()
            if peer.suspected_at > since and peer.last_seen_at < peer.suspected_at
        ]
        return unresponsive[:_MOST_MISSED]

    def _make_roster(self) -> Roster:
        """Work out who lives, and who of them may own queues.

        Instances of a zone that is cut off count as heard for seconds in a large
        fleet; whatever they were sent would have to be sent again.
        """
        alive = [peer for peer in self.alive() if not peer.is_suspect()]
        candidates = [
            (peer.contact, peer.cores)
            for peer in alive
            if peer.accepts_work and not self.is_zone_unreachable(peer.contact.zone)
        ]
        if self.accepts_work:
            candidates.append((self.own, self._strength))
        return Roster(
            alive, candidates, min_cores_fraction=self._least_part, region=self.region
        )

    def _is_heard(self, peer: Peer) -> bool:
        return peer.last_seen_at > self._heard_since()

    def _heard_since(self) -> float:
        """Since when a peer that lives must have been heard."""
        peers = len(self.by_id)
        rounds = 1 + peers // fan_out(peers)
        return now() - HEARTBEAT_INTERVAL_S * rounds * _MISSED_HELLOS

    def _handle_heartbeat(self, hello: Heartbeat, _: tuple[str, int]) -> None:
        if hello.sender.id == self.own.id:
            return
        peer = self.by_id.get(hello.sender.id)
        if peer is None or peer.contact != hello.sender:
            peer = self.by_id[hello.sender.id] = Peer(hello.sender)
        was_alive = self._is_heard(peer)
        is_known = bool(peer.incarnation)
        if not was_alive or peer.accepts_work != hello.accepts_work:
            self.invalidate_roster()
        if not was_alive or peer.incarnation != hello.incarnation:
            if is_known:
                self._logger.info(
                    "peer_back", peer=hello.sender.id, life=hello.incarnation
                )
            # Tell it at once, so that two starting instances need not wait a round.
            is_newcomer = len(hello.contacts) < _CONTACTS_TOLD
            most = _CONTACTS_TOLD_NEWCOMERS if is_newcomer else _CONTACTS_TOLD
            self.send_to((hello.sender.host, self._port), self._hello(most))
            peer.was_contacted = True
        peer.incarnation = hello.incarnation
        peer.accepts_work = hello.accepts_work
        peer.revision = hello.revision
        peer.loads = hello.loads
        peer.pending = hello.pending
        peer.running = hello.running
        peer.prefill_tokens = hello.prefill_tokens
        peer.cores = hello.cores
        peer.last_seen_at = self._heard_at_by_zone[hello.sender.zone] = now()
        self.on_heartbeat(hello)
        for contact in hello.contacts:
            if contact.id != self.own.id and contact.id not in self.by_id:
                self.by_id[contact.id] = Peer(contact)
        for peer_id in hello.unresponsive:
            if self.is_alive(peer_id):
                self.verify(peer_id)

    def _answer_inquiry(self, _: HeartbeatRequest, address: tuple[str, int]) -> None:
        self.send_to((address[0], self._port), self._hello())

    def _forget_silent(self) -> None:
        moment = now()
        for peer_id, peer in list(self.by_id.items()):
            if moment - max(peer.last_seen_at, peer.added_at) > _FORGET_S:
                del self.by_id[peer_id]
                self._logger.info("peer_forgotten", peer=peer_id)
