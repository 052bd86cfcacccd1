"""Many instances that share engines, in one process on a virtual clock."""

import math
import random
from collections.abc import Callable, Sequence
from itertools import count
from types import SimpleNamespace
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import ColdRateLimiter, RetryBudget
from bergamotsaddle_serving.caller import RawRequest
from bergamotsaddle_serving.catalog import (
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Service,
    Share,
    Target,
)
from bergamotsaddle_serving.full_targets import FullTargets
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.gossip_exchange import GossipExchange
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.leaving_targets import LeavingTargets
from bergamotsaddle_serving.messages import RawHeaders, StoreEntry, StorePosition
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.named_limits import BRITTLENESS, NamedLimits
from bergamotsaddle_serving.origin_exchange import OriginExchange
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.rate_exchange import RateExchange
from bergamotsaddle_serving.resumption import Resumptions
from bergamotsaddle_serving.selector import Selector
from bergamotsaddle_serving.settings import BoundSettings
from bergamotsaddle_serving.shared_rate import RateOwner
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.stream_origins import StreamOrigins
from bergamotsaddle_serving.streams import StreamServer
from bergamotsaddle_serving.suspect_parts import SuspectParts
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.target_crashes import TargetCrashes
from bergamotsaddle_serving.target_notices import TargetNotices
from bergamotsaddle_serving.target_rates import TargetRates
from bergamotsaddle_serving.target_rests import TargetRests
from bergamotsaddle_serving.view import View
from bergamotsaddle_standins.peer_fleet import (
    SILENT_LOGGER,
    ZONES,
    PeerFleet,
    WiredPeers,
)
from bergamotsaddle_standins.virtual_targets import (
    HOST,
    SERVICE,
    VirtualDialect,
    VirtualPool,
    VirtualTargets,
)

BOUNDS = BoundSettings(8.0, 0.2, 10.0, 58.0)
_TICK_S = 0.5
_CONFIGURATION = "configuration"
ROUTE = Route(
    name="ask",
    host=HOST,
    prefix="/",
    kind=Kind.STREAM,
    timeout=8.0,
    objective=2.4,
    attempts=2,
    priority=0,
    shares=(Share(SERVICE, 1.0),),
    is_public=True,
    is_resumable=True,
)


class VirtualCaller:
    """A caller's connection with one request.

    Args:
        request: The request.

    Attributes:
        status: Status of the response, or 0 before it.
        headers: Headers of the response.
        body: Body of the response.
        sent_at: When the request was sent, on the hub's clock.
        received_at: When each part of the body was received.
        ended_at: When the response ended, properly or not; infinite before.
        is_complete: Whether the response was received to its end.
        is_peer: Whether another instance hands over requests on it, which none does.
    """

    def __init__(self, request: RawRequest) -> None:
        self._requests = [request]
        self.status = 0
        self.headers: RawHeaders = []
        self.body = b""
        self.sent_at = request.started_at
        self.received_at: list[float] = []
        self.ended_at = math.inf
        self.is_complete = False
        self.must_close = False
        self.has_started = False
        self.is_peer = False

    def read(self) -> RawRequest | None:
        """Return the request, then None."""
        return self._requests.pop() if self._requests else None

    def run_while_connected(self, work: Callable[[], None]) -> None:
        """Run a function on a connection that is never lost."""
        work()

    def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Receive a complete response."""
        self.start(status, headers)
        self.send(body)
        self.finish()

    def start(self, status: int, headers: RawHeaders) -> None:
        """Receive the head of a response."""
        self.has_started = True
        self.status = status
        self.headers = headers

    def send(self, data: bytes) -> None:
        """Receive a part of the response body."""
        self.body += data
        self.received_at.append(now())

    def finish(self) -> None:
        """Receive the end of the response."""
        self.is_complete = True
        self.ended_at = now()

    def prepare_next(self) -> bool:
        """Return False, as there is no further request."""
        return False

    def reset(self) -> None:
        """Accept a reset of the connection."""
        self.ended_at = min(self.ended_at, now())

    def close(self) -> None:
        """Accept the end of the connection."""


class VirtualInstance:
    """The serving core of one instance.

    Args:
        peers: Peers of this instance.
        targets: All engines.
        dialect: Encodes and decodes the messages of the engines.
        bounds: Limits for all instances together.
    """

    def __init__(
        self,
        peers: WiredPeers,
        targets: VirtualTargets,
        dialect: VirtualDialect,
        bounds: BoundSettings,
    ) -> None:
        self.peers = peers
        self.view = View(dialect, SILENT_LOGGER)
        self.view.has_snapshot = True
        gossip = Gossip()
        gossip_exchange = GossipExchange(gossip, peers)
        publish = gossip_exchange.publish
        self.limits = NamedLimits(gossip, publish, SILENT_LOGGER)
        brittleness = NamedLimits(gossip, publish, SILENT_LOGGER, BRITTLENESS)
        full = FullTargets(gossip, publish, brittleness, SILENT_LOGGER)
        leaving = LeavingTargets(gossip, publish, self.view, SILENT_LOGGER)
        notices = TargetNotices(brittleness, full, leaving, TargetRests(SILENT_LOGGER))
        self.health = Health(self.limits.record, notices.read)
        peers.own_running = self.health.running
        self._pool = pool = VirtualPool(targets, peers.own.id)
        budget = RetryBudget(bounds, peers.size)
        reach = SimpleNamespace(is_lost=lambda zone: False)
        owner = RateOwner(peers.reachable_fraction)
        rate_exchange = RateExchange(peers, owner)
        rates = TargetRates(self.limits, rate_exchange, SILENT_LOGGER)
        cold = ColdRateLimiter(peers.size, peers.rank)
        selector = Selector(
            self.view, self.health, peers, cold, reach, rates, notices=notices
        )
        self.parts = SuspectParts(
            gossip, publish, self.view.software_versions, SILENT_LOGGER
        )
        self.suspects = Suspects(
            gossip,
            publish,
            self.view.software_versions,
            SILENT_LOGGER,
            own_id=peers.own.id,
            explains_crash=self.parts.explains_crash,
            request_trial=rate_exchange.request_trial,
        )
        life = SimpleNamespace(
            has_outlived=lambda target, _: not pool.is_refused(target.address)
        )
        self.crashes = TargetCrashes(pool, self.view, self.suspects, self.parts, life)
        crashes = self.crashes
        plain = PlainServer(
            selector, pool, budget, dialect, SILENT_LOGGER, crashes=crashes
        )
        history = SoftwareHistory(
            gossip,
            self.view,
            peers,
            SILENT_LOGGER,
            is_first_start=True,
            max_view_age=bounds.change,
        )
        gossip_exchange.on_agreement = history.learn_from
        origin_exchange = OriginExchange(StreamOrigins(), peers)
        resumptions = Resumptions(origin_exchange, history, self.view, SILENT_LOGGER)
        # The only route has no stages.
        waits = SimpleNamespace(best_scope=None)
        self.streams = streams = StreamServer(
            selector,
            waits,
            None,
            pool,
            budget,
            dialect,
            SILENT_LOGGER,
            crashes=crashes,
            resumptions=resumptions,
        )
        self.handler = Handler(
            self.view,
            plain,
            streams,
            budget,
            dialect,
            Metrics(),
            SILENT_LOGGER,
            suspects=self.suspects,
        )

    def tick(self) -> None:
        """Do what an instance does regularly, without end."""
        while not self._pool.is_closed:
            self.crashes.check_successes()
            self.streams.abort_quarantined()
            eventlet.sleep(_TICK_S)

    def kill(self) -> None:
        """Send nothing more, as a process that was killed."""
        self._pool.is_closed = True


class VirtualFleet:
    """A fleet of instances and its engines.

    Args:
        size: Number of instances.
        targets: Number of engines.
        restart_after: Seconds from the crash of an engine until it is up again.
        route: The only route.
        bounds: Limits for all instances together.
        software: Version of the software of all engines.
    """

    def __init__(
        self,
        size: int,
        *,
        targets: int,
        restart_after: float = 3.0,
        route: Route = ROUTE,
        bounds: BoundSettings = BOUNDS,
        software: str = "",
    ) -> None:
        self._bounds = bounds
        self._dialect = VirtualDialect()
        self._revisions = count(1)
        self._entries: list[StoreEntry] = []
        self._ids = count(1)
        self.instances: list[VirtualInstance] = []
        self.targets = VirtualTargets(
            targets,
            ZONES,
            restart_after=restart_after,
            publish=self._publish,
            software=software,
        )
        service = Service(SERVICE, 1_000, engine_slots=64)
        configuration = Configuration(1, [route], [service], [], CallerLimits())
        self._publish(_CONFIGURATION, configuration)
        self.peers = PeerFleet(size)
        self.instances = [
            VirtualInstance(peers, self.targets, self._dialect, bounds)
            for peers in self.peers
        ]
        for instance in self.instances:
            position = StorePosition(0, len(self._entries))
            instance.view.apply(self._entries, position, source="list")

    def start(self) -> None:
        """Start all instances."""
        self.peers.start(within=0.3)
        for instance in self.instances:
            eventlet.spawn_after(random.uniform(0.0, _TICK_S), instance.tick)

    def restart(self, number: int, *, after: float = 0.5) -> None:
        """Kill an instance and start it again without what it knew.

        Args:
            number: Number of the instance.
            after: Seconds until the new process runs.
        """
        self.instances[number].kill()
        peers = self.peers.restart(number)
        instance = VirtualInstance(peers, self.targets, self._dialect, self._bounds)
        self.instances[number] = instance
        eventlet.spawn_after(after, self._start_again, instance)

    def _start_again(self, instance: VirtualInstance) -> None:
        position = StorePosition(0, len(self._entries))
        instance.view.apply(self._entries, position, source="list")
        self.peers.run(instance.peers)
        eventlet.spawn_n(instance.tick)

    def send_request(
        self, number: int, path: bytes, body: bytes = b"", prompt: Sequence[str] = ()
    ) -> VirtualCaller:
        """Send a request to an instance.

        Args:
            number: Number of the instance.
            path: Path of the request.
            body: Its body.
            prompt: Ids of the parts of its prompt.

        Returns:
            The caller, which gets its response later.
        """
        headers = [
            (b"id", f"r{next(self._ids)}".encode()),
            (b"prompt", ",".join(prompt).encode()),
        ]
        caller = VirtualCaller(RawRequest(b"POST", path, headers, body, now()))
        instance = self.instances[number % len(self.instances)]
        eventlet.spawn_n(instance.handler.run, caller)
        return caller

    def _publish(self, key: str, value: Target | Any | None) -> None:
        if value is not None:
            self._dialect.objects_by_key[key] = value
        held = None if value is None else b"held"
        entry = StoreEntry(key, next(self._revisions), held)
        self._entries.append(entry)
        for instance in self.instances:
            instance.view.apply([entry], entry.position, source="list")
