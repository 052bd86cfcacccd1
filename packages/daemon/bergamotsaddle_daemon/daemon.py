"""Puts the parts of a daemon together, starts them and stops them gracefully."""

from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
import prometheus_client as prometheus
from eventlet.greenthread import GreenThread

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.instances import encode_instances
from bergamotsaddle_contracts.messages import (
    DeclarationQuery,
    DeclarationText,
    Done,
    InstancesPayload,
    InstancesQuery,
    OutcomeQuery,
    OutcomeRecord,
    PermitHandover,
    PermitQuery,
    PermitReturn,
    RunTicket,
    StartRecord,
    TicketHandover,
)
from bergamotsaddle_contracts.ticket import make_nonce
from bergamotsaddle_daemon.callers import CallerApp
from bergamotsaddle_daemon.calls import Connections
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.costs import Costs
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.links import Handler
from bergamotsaddle_daemon.operators import OperatorApp
from bergamotsaddle_daemon.peers import HeartbeatSocket, LinkFactory, Peers
from bergamotsaddle_daemon.permits import PermitClient, PermitIssuer
from bergamotsaddle_daemon.placement import Placement
from bergamotsaddle_daemon.platform import PlatformReader, PlatformWatch
from bergamotsaddle_daemon.pools import Pools
from bergamotsaddle_daemon.reports import ReadLoad, ReportPoll
from bergamotsaddle_daemon.services import ServiceCaller
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.stage_latencies import StageLatencies
from bergamotsaddle_daemon.stages import StageCaller
from bergamotsaddle_daemon.streams import StreamRelay
from bergamotsaddle_daemon.targets import Targets
from bergamotsaddle_daemon.tickets import TicketRunner
from bergamotsaddle_daemon.views import Views
from bergamotsaddle_daemon.witness import Witness

_STOP_STEP = 0.05
_RESTART_PAUSE = 1.0


class Interfaces(NamedTuple):
    """What a daemon meets outside itself; tests put small fakes here.

    Attributes:
        config: Reads the declaration.
        instances: Reads the instance list.
        link_factory: Makes links to peers.
        heartbeats: Sends heartbeats.
        read_load: Asks a target for its load.
        connections: Calls targets.
    """

    config: PlatformReader
    instances: PlatformReader
    link_factory: LinkFactory
    heartbeats: HeartbeatSocket
    read_load: ReadLoad
    connections: Connections


class Daemon:
    """One entry instance.

    Args:
        settings: Its settings.
        interfaces: What it meets outside itself.
        logger: Where log lines go.
    """

    def __init__(self, settings: Settings, interfaces: Interfaces, logger: Any) -> None:
        self.settings = settings
        self.logger = logger
        self.incarnation = make_nonce()
        self.metrics = prometheus.CollectorRegistry()
        self.decisions = DecisionLog(settings, logger)
        self.views = Views(settings, self.decisions)
        self.targets = Targets(settings, self.views)
        self.homes = Homes(settings, self.views)
        self.peers = Peers(
            settings,
            self.incarnation,
            self.views,
            self.homes,
            self.targets,
            self.decisions,
            link_factory=interfaces.link_factory,
            socket=interfaces.heartbeats,
        )
        self.home = PermitIssuer(settings, self.views, self.homes, self.targets)
        self.permits = PermitClient(settings, self.homes, self.home, self.peers)
        self.pools = Pools(
            settings, self.views, self.targets, self.permits, self.decisions
        )
        self.costs = Costs(self.metrics)
        self.connections = interfaces.connections
        self._build_callers(interfaces.connections)
        self.platform = PlatformWatch(
            settings,
            self.views,
            config=interfaces.config,
            instances=interfaces.instances,
        )
        self.reports = ReportPoll(
            settings, self.homes, self.home, self.targets, interfaces.read_load
        )
        self.placement = Placement(
            settings,
            self.views,
            self.homes,
            self.home,
            self.targets,
            self.decisions,
            interfaces.connections,
        )
        self.peers.own_reports = self.reports.heartbeat_reports
        self.operators = OperatorApp(self)
        self._was_ready = False
        self.threads: list[GreenThread] = []
        self.callers.is_ready = self.is_ready

    def _build_callers(self, connections: Connections) -> None:
        settings = self.settings
        times = StageLatencies()
        stages = StageCaller(
            settings, self.pools, connections, times, self.costs, self.decisions
        )
        relay = StreamRelay(settings, stages, connections, times, self.costs)
        services = ServiceCaller(
            self.views, stages, connections, self.costs, self.decisions
        )
        self.witness = Witness(settings, self.incarnation)
        self.tickets = TicketRunner(
            settings,
            self.incarnation,
            self.peers,
            self.witness,
            self.decisions,
            services.send_once,
        )
        self.callers = CallerApp(
            settings,
            self.views,
            self.pools,
            stages,
            relay,
            services,
            self.tickets,
            self.costs,
            self.logger,
        )

    def handlers(self) -> dict[type, Handler]:
        """What to do with each message of a peer."""
        return {
            StartRecord: self.witness.record_start,
            OutcomeRecord: self.witness.record_outcome,
            OutcomeQuery: self.tickets.handle_outcome_query,
            RunTicket: self.tickets.handle_run_ticket,
            TicketHandover: self.witness.apply_handover,
            PermitQuery: self.home.grant,
            PermitReturn: self._take_permit,
            PermitHandover: self._take_permits,
            DeclarationQuery: self._tell_declaration,
            InstancesQuery: self._tell_instances,
        }

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        if self.peers.stopping or not self.views.declaration.revision:
            return False
        self._was_ready = self._was_ready or self.peers.is_caught_up()
        return self._was_ready

    def spawn(self) -> None:
        """Start the green threads that run for ever."""
        for work in (
            self.platform.watch_declaration,
            self.platform.watch_instances,
            self.reports.run,
            self.placement.run,
            self.pools.dispatch_forever,
        ):
            self.threads.append(eventlet.spawn(self._keep_running, work))

    def _keep_running(self, work: Callable[[], None]) -> None:
        # An error nobody thought of would end the green thread, and this instance
        # would serve on without hearing of any change; the log line tells of it.
        while True:
            try:
                work()
            except Exception:
                self.logger.exception("restarting", work=work.__qualname__)
            eventlet.sleep(_RESTART_PAUSE)

    def stop(self, close_listener: Callable[[], None]) -> None:
        """Stop gracefully: refuse nothing, finish everything, hand over the rest.

        The balancer needs time to notice the ready probe; closing the listener
        before would cut off callers that it still sends here.

        Args:
            close_listener: Called when no new caller is expected any more.
        """
        timing = self.settings.timing
        self.peers.stopping = True
        self.callers.stopping = True
        self.peers.notify_neighbours()
        self._hand_over_permits()
        eventlet.sleep(timing.stop_notice)
        close_listener()
        limit = now() + timing.stop_limit
        while self._is_busy() and now() < limit:
            eventlet.sleep(_STOP_STEP)
        self.tickets.hand_over()
        self.logger.info("stopped", requests=self.callers.active)

    def _is_busy(self) -> bool:
        return self.callers.active > 0 or self.tickets.count_unsettled() > 0

    def _hand_over_permits(self) -> None:
        for message in self.home.hand_over():
            next_home = self.homes.next_home(message.target_id)
            if next_home is None:
                continue
            try:
                self.peers.call(next_home, message, self.settings.timing.peer_call)
            except PeerUnreachableError:
                # The next home then waits out what this one has granted.
                continue

    def _take_permit(self, message: PermitReturn) -> Done:
        self.home.release(message)
        return Done()

    def _take_permits(self, message: PermitHandover) -> Done:
        self.home.apply_handover(message)
        return Done()

    def _tell_declaration(self, message: DeclarationQuery) -> DeclarationText:
        declaration = self.views.declaration
        if declaration.revision < message.revision:
            return DeclarationText("")
        return DeclarationText(declaration.text)

    def _tell_instances(self, message: InstancesQuery) -> InstancesPayload:
        instances = self.views.instances
        if instances.version <= message.version:
            return InstancesPayload(b"")
        return InstancesPayload(encode_instances(instances))
