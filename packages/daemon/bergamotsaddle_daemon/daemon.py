"""Builds the components of a daemon, starts them and stops them gracefully."""

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

_STOP_POLL_INTERVAL = 0.05
_RESTART_DELAY = 1.0


class Interfaces(NamedTuple):
    """The external dependencies of a daemon, which tests replace by fakes.

    Attributes:
        config: Reads the declaration.
        instances: Reads the instance list.
        link_factory: Creates links to peers.
        heartbeats: Sends heartbeats.
        read_load: Reads the load of a target.
        connections: Connections to targets.
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
        settings: The daemon's settings.
        interfaces: The daemon's external dependencies.
        logger: Receives the log lines.

    Attributes:
        connections_evicted: Connections of clients that were closed for others.
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
        self.connections_evicted = 0
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
        self._has_been_ready = False
        self.threads: list[GreenThread] = []
        self.callers.is_ready = self.is_ready

    def _build_callers(self, connections: Connections) -> None:
        settings = self.settings
        stage_latencies = StageLatencies()
        stages = StageCaller(
            settings,
            self.pools,
            connections,
            stage_latencies,
            self.costs,
            self.decisions,
        )
        relay = StreamRelay(settings, stages, connections, stage_latencies, self.costs)
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
        """Return the handler of each type of message that peers send."""
        return {
            StartRecord: self.witness.record_start,
            OutcomeRecord: self.witness.record_outcome,
            OutcomeQuery: self.tickets.handle_outcome_query,
            RunTicket: self.tickets.handle_run_ticket,
            TicketHandover: self.witness.apply_handover,
            PermitQuery: self.home.grant,
            PermitReturn: self._handle_permit_return,
            PermitHandover: self._handle_permit_handover,
            DeclarationQuery: self._handle_declaration_query,
            InstancesQuery: self._handle_instances_query,
        }

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this instance."""
        if self.peers.stopping or not self.views.declaration.revision:
            return False
        self._has_been_ready = self._has_been_ready or self.peers.is_caught_up()
        return self._has_been_ready

    def spawn(self) -> None:
        """Start the green threads that run until the process exits."""
        for function in (
            self.platform.watch_declaration,
            self.platform.watch_instances,
            self.reports.run,
            self.placement.run,
            self.pools.dispatch_forever,
        ):
            self.threads.append(eventlet.spawn(self._run_with_restarts, function))

    def _run_with_restarts(self, function: Callable[[], None]) -> None:
        # An unexpected error would end the green thread, and this instance would go
        # on serving without receiving any changes. So the error is logged and the
        # function is restarted.
        while True:
            try:
                function()
            except Exception:
                self.logger.exception("restarting", work=function.__qualname__)
            eventlet.sleep(_RESTART_DELAY)

    def stop(self, close_listener: Callable[[], None]) -> None:
        """Stop gracefully, without rejecting requests.

        Permits are handed over at once. Unstarted tickets are handed over when all
        requests have ended, or after ``stop_limit``.

        The load balancer needs time to notice that the ready probe fails. Closing the
        listener earlier would cut off callers that it still sends here.

        Args:
            close_listener: Called when no new callers are expected.
        """
        timing = self.settings.timing
        self.peers.stopping = True
        self.callers.stopping = True
        self.peers.notify_neighbours()
        self._hand_over_permits()
        eventlet.sleep(timing.stop_notice)
        close_listener()
        stop_by = now() + timing.stop_limit
        while self._is_busy() and now() < stop_by:
            eventlet.sleep(_STOP_POLL_INTERVAL)
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
                # The next home then waits until the permits of this one have expired.
                continue

    def _handle_permit_return(self, message: PermitReturn) -> Done:
        self.home.release(message)
        return Done()

    def _handle_permit_handover(self, message: PermitHandover) -> Done:
        self.home.apply_handover(message)
        return Done()

    def _handle_declaration_query(self, message: DeclarationQuery) -> DeclarationText:
        declaration = self.views.declaration
        if declaration.revision < message.revision:
            return DeclarationText("")
        return DeclarationText(declaration.text)

    def _handle_instances_query(self, message: InstancesQuery) -> InstancesPayload:
        instances = self.views.instances
        if instances.version <= message.version:
            return InstancesPayload(b"")
        return InstancesPayload(encode_instances(instances))
