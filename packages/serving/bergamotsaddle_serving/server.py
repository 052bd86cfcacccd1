"""The process of a serving daemon: its components, sockets, signals and shutdown."""

import gc
import secrets
import signal
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.errors import InvalidFileError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import BodyMemory
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._turn import SharedTurn
from bergamotsaddle_serving.acceptor import Acceptor, Open
from bergamotsaddle_serving.budget import ColdRateLimiter, RetryBudget
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.connection_table import ConnectionTable
from bergamotsaddle_serving.decisions.engine_speeds import EngineSpeeds
from bergamotsaddle_serving.decisions.fleet_start import FleetStart
from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.stream_ends import StreamLengths
from bergamotsaddle_serving.endless import EndlessResponses
from bergamotsaddle_serving.fetching import FetchTimes
from bergamotsaddle_serving.follower import StoreFollower
from bergamotsaddle_serving.full_targets import FullTargets
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.gossip_exchange import GossipExchange
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.handover import Handover
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.hedge_exchange import HedgeExchange
from bergamotsaddle_serving.leaving_targets import LeavingTargets
from bergamotsaddle_serving.log import BoundedOutput, make_logger
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.named_limits import BRITTLENESS, NamedLimits
from bergamotsaddle_serving.origin_exchange import OriginExchange
from bergamotsaddle_serving.past_software import PastSoftware
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.placement_exchange import PlacementExchange
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.policy import Mechanism
from bergamotsaddle_serving.probe import Page, PageConnection
from bergamotsaddle_serving.rate_exchange import RateExchange
from bergamotsaddle_serving.resumption import Resumptions
from bergamotsaddle_serving.return_exchange import ReturnExchange
from bergamotsaddle_serving.room import Room
from bergamotsaddle_serving.selector import Selector
from bergamotsaddle_serving.service_reach import ServiceReach
from bergamotsaddle_serving.settings import parse_settings
from bergamotsaddle_serving.shared_rate import RateOwner
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.stage_exchange import StageExchange
from bergamotsaddle_serving.stage_owner import StageOwner
from bergamotsaddle_serving.stage_waits import StageWaits
from bergamotsaddle_serving.stop_schedule import StopSchedule
from bergamotsaddle_serving.stream_origins import StreamOrigins
from bergamotsaddle_serving.streams import StreamServer
from bergamotsaddle_serving.suspect_parts import SuspectParts
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.target_crashes import TargetCrashes
from bergamotsaddle_serving.target_life import TargetLife
from bergamotsaddle_serving.target_notices import TargetNotices
from bergamotsaddle_serving.target_rates import TargetRates
from bergamotsaddle_serving.target_rests import TargetRests
from bergamotsaddle_serving.unreadable_loads import UnreadableLoads
from bergamotsaddle_serving.usage import UsageMeter
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_exchange import ViewExchange
from bergamotsaddle_serving.view_follower import ViewFollower
from bergamotsaddle_serving.zone_reach import ZoneReach

_STDOUT = 1
_BACKLOG = 512
_OK = 200
_UNAVAILABLE = 503
# The load balancer probes once a second and removes an instance after two failures.
# Until then it still sends callers here, so the listener has to stay open.
_STOP_NOTICE_S = 2.6
_STOP_POLL_S = 0.02
# The process exits this long before it would be killed.
_STOP_MARGIN_S = 0.8
# Time for the last responses to be sent.
_FLUSH_S = 0.1
_TICK_INTERVAL_S = 0.5
# Room for the headers that instances add to requests that they hand over.
_RELAY_HEAD_BYTES = 1_024
# Two rounds of heartbeats and the responses to them: the response of a seed contains
# the contacts of the other instances.
SETTLE_S = 0.5
_RESTART_PAUSE_S = 0.5


def _ignore_signals() -> None:
    """Ignore further signals to stop or to reload, since the process is about to exit.

    While the interpreter exits it removes handlers, and the signals would kill it. It
    keeps them ignored.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


class ServingServer:
    """One serving daemon.

    Args:
        path: Path of the settings file.
        dialect: Names, formats and calls of the platform.

    Raises:
        InvalidFileError: If the settings are invalid.
    """

    def __init__(self, path: str, dialect: Dialect) -> None:
        self._path = path
        self.settings = parse_settings(Path(path).read_text(), name=path)
        self._output = BoundedOutput(_STDOUT)
        self.logger = make_logger(self.settings.instance.id, self._output)
        self._dialect = dialect
        self._stop_requested = Event()
        self._reload_requested = False
        self._is_stopping = False
        self._started_at = now()
        self._build()

    def _build(self) -> None:
        settings = self.settings
        policy = settings.policy
        logger = self.logger
        dialect = self._dialect
        self.view = View(dialect, logger, entry_ttl=settings.store.entry_ttl)
        self.peers = Peers(settings, secrets.token_hex(4), logger)
        self.metrics = Metrics()
        self.memory = BodyMemory()
        capacity = settings.capacity
        self.request_memory = BodyMemory(
            capacity.request_bytes, max_used=capacity.max_request_bytes
        )
        self._turns = SharedTurn()
        endless = EndlessResponses(self.view, self.metrics, logger)
        self.pool = ConnectionPool(memory=self.memory, on_endless=endless.record)
        self.store = StoreFollower(
            settings, dialect, self.view, self.peers.size, logger
        )
        self.store.on_endless = endless.record
        self.exchange = ViewExchange(
            settings,
            self.view,
            self.peers,
            logger,
            self.store.is_refused,
            metrics=self.metrics,
        )
        self.follower = ViewFollower(
            self.store,
            self.exchange,
            self.view,
            self.peers,
            logger,
            settings.bounds.change,
            policy,
        )
        self.store.on_refused = self.exchange.wake_requests
        self.gossip = Gossip()
        self.gossip_exchange = GossipExchange(self.gossip, self.peers)
        publish = self.gossip_exchange.publish
        self.limits = NamedLimits(self.gossip, publish, logger)
        self.brittleness = NamedLimits(self.gossip, publish, logger, BRITTLENESS)
        full = FullTargets(self.gossip, publish, self.brittleness, logger)
        self.rests = TargetRests(logger)
        leaving = LeavingTargets(self.gossip, publish, self.view, logger)
        self.unreadable_loads = UnreadableLoads(logger)
        self.notices = TargetNotices(
            self.brittleness,
            full,
            leaving,
            self.rests,
            unreadable=self.unreadable_loads,
        )
        reporting = ReportingServices(includes_all=settings.targets.share_machines)
        self.health = Health(self.limits.record, self.notices.read, reporting)
        self.reach = ZoneReach(
            self.view, self.peers, self.pool, dialect, logger, notices=self.notices
        )
        self.peers.is_zone_unreachable = self.reach.is_lost
        self.reach.subscribe(self.peers.invalidate_roster)
        self.service_reach = ServiceReach(
            self.view, settings.instance.zone, self.pool, logger
        )
        self.peers.own_unreachable = self.service_reach.lost_services
        self.service_reach.subscribe(self._on_reach_change)
        budget = RetryBudget(settings.bounds, self.peers.size)
        handover = Handover(
            self.service_reach,
            self.peers,
            settings.listen.relay_port,
            logger,
            budget=budget,
            connect=self.pool.connect,
        )
        history = SoftwareHistory(
            self.gossip,
            self.view,
            self.peers,
            logger,
            is_first_start=settings.instance.is_first_start,
            max_view_age=settings.bounds.change,
        )
        self.software_history = history
        self.gossip_exchange.on_agreement = history.learn_from
        self.store.past = PastSoftware(history, dialect, logger)
        self.origins = StreamOrigins()
        self.origin_exchange = OriginExchange(self.origins, self.peers)
        resumptions = Resumptions(self.origin_exchange, history, self.view, logger)
        self.rate_owner = RateOwner(self.peers.reachable_fraction)
        rate_exchange = RateExchange(self.peers, self.rate_owner)
        self.suspect_parts = SuspectParts(
            self.gossip,
            self.gossip_exchange.publish,
            self.view.software_versions,
            logger,
            policy,
            allowed=settings.suspects.allowed_parts,
        )
        self.suspects = Suspects(
            self.gossip,
            self.gossip_exchange.publish,
            self.view.software_versions,
            logger,
            policy,
            own_id=settings.instance.id,
            allowed=settings.suspects.allowed_requests,
            explains_crash=self.suspect_parts.explains_crash,
            request_trial=rate_exchange.request_trial,
        )
        life = TargetLife(self.pool, dialect, self.notices, logger)
        resumptions.has_restarted = life.has_restarted
        self.crashes = crashes = TargetCrashes(
            self.pool,
            self.view,
            self.suspects,
            self.suspect_parts,
            life,
            reaches_another=self.service_reach.reaches_another,
        )
        self._certainty = resumptions.certainty
        self.pool.on_refused = self._record_refused_connection
        self.suspects.on_end = self._certainty.record_end
        self.rates = TargetRates(self.limits, rate_exchange, logger)
        fetch_times = FetchTimes(settings.capacity.link_mbps)
        calls = StageCalls(
            self.view,
            self.pool,
            dialect,
            self.limits,
            self.rates,
            notices=self.notices,
        )
        self.owner = StageOwner(
            self.view,
            self.peers,
            calls,
            dialect,
            self.reach,
            logger,
            policy,
            fetch_times,
            crashes=crashes,
        )
        self.speeds = EngineSpeeds(
            self.gossip,
            publish,
            logger,
            reporting=self.health.reporting,
            instances=self.peers.size,
            policy=policy,
        )
        lengths = StreamLengths(self.gossip, publish, self.peers.size)
        cold = ColdRateLimiter(self.peers.size, self.peers.rank)
        selector = Selector(
            self.view,
            self.health,
            self.peers,
            cold,
            self.reach,
            self.rates,
            notices=self.notices,
        )
        self.stage_exchange = StageExchange(self.peers, self.owner)
        waits = StageWaits(self.view, self.peers, self.owner, policy)
        self.placement = PlacementExchange(
            self.peers, selector, self.health.reporting, logger, policy
        )
        plain = PlainServer(
            selector,
            self.pool,
            budget,
            dialect,
            logger,
            crashes=crashes,
            hedges=HedgeExchange(self.peers, HedgePool(settings.hedging.max_share)),
            metrics=self.metrics,
            placement=self.placement,
        )
        self.returns = ReturnExchange(self.peers)
        self.room = Room(
            self.health.reporting,
            lambda: self.peers.roster().members,
            self._team_shares,
            self.returns,
            policy,
        )
        self.peers.own_demand = self.room.report
        self.streams = streams = StreamServer(
            selector,
            waits,
            self.stage_exchange,
            self.pool,
            budget,
            dialect,
            logger,
            policy,
            fetch_times,
            crashes=crashes,
            resumptions=resumptions,
            metrics=self.metrics,
            fleet_start=FleetStart(now),
            room=self.room,
            speeds=self.speeds,
            lengths=lengths,
        )
        self.handler = Handler(
            self.view,
            plain,
            streams,
            budget,
            dialect,
            self.metrics,
            logger,
            policy,
            suspects=self.suspects,
            handover=handover,
            memory=self.memory,
        )
        self.peers.own_loads = self.owner.loads
        self.peers.own_pending = waits.pending.report
        self.peers.own_running = self.health.running
        if policy.has(Mechanism.SHARED_READING):
            self.peers.own_prefill_tokens = self.health.prefill_tokens
        self.peers.own_position = lambda: self.view.position
        self.view.subscribe(self._update_accepts_work)
        self.view.subscribe(self.owner.open_queues)
        self.view.subscribe(self._forget_unlisted_targets)
        self._add_gauges()
        self.usage = UsageMeter(
            {
                "datagrams_in": lambda: self.peers.received,
                "datagrams_out": lambda: self.peers.sent,
                "requests": lambda: self.handler.served,
                "store_calls": lambda: self.store.calls,
            }
        )

    def run(self) -> None:
        """Serve until a signal requests a stop, then stop gracefully."""
        signal.signal(signal.SIGTERM, self._handle_term_signal)
        signal.signal(signal.SIGINT, self._handle_term_signal)
        signal.signal(signal.SIGHUP, self._handle_hup_signal)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        listen = self.settings.listen
        host = self.settings.instance.host
        capacity = self.settings.capacity
        callers = self._make_acceptor(
            "callers",
            listen.callers,
            capacity.caller_connections,
            lambda sock, table: self._open_caller(sock, table, self.handler.limits),
        )
        relayed = self._make_acceptor(
            "relay",
            (host, listen.relay_port),
            capacity.relay_connections,
            lambda sock, table: self._open_caller(
                sock, table, self._relay_limits, is_peer=True
            ),
        )
        ready = self._make_page_acceptor("ready", listen.ready, self._ready_page)
        metrics = self._make_page_acceptor(
            "metrics",
            (host, listen.metrics_port),
            lambda: (_OK, self.metrics.page()),
        )
        for loop in (
            self.peers.receive,
            self.peers.run,
            self.follower.run,
            self.exchange.run,
            self.exchange.run_refresh,
            self.reach.run,
            self.service_reach.run,
            self._tick,
        ):
            eventlet.spawn_n(self._run_supervised, loop)
        for acceptor in (ready, metrics, callers, relayed):
            eventlet.spawn_n(acceptor.run)
        # Objects loaded so far live as long as the process, so the garbage collector
        # need not visit them.
        gc.freeze()
        gc.enable()
        self.logger.info(
            "started",
            life=self.peers.incarnation,
            callers=str(listen.callers),
            is_first_start=self.settings.instance.is_first_start,
        )
        self._stop_requested.wait()
        self._stop(callers, relayed)
        _ignore_signals()

    def _record_refused_connection(self, address: Address) -> None:
        """Record the end of the target that has refused a connection.

        Links that are cut may refuse the connections to all targets.
        """
        target = self.view.target_by_address.get(address)
        if target is not None and not self.service_reach.is_lost(target.service):
            self._certainty.record_end(target.incarnation, now())

    def _team_shares(self) -> dict[str, float]:
        configuration = self.view.configuration
        return configuration.share_by_team if configuration is not None else {}

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self.view.is_complete() and not self._is_stopping

    def _ready_page(self) -> tuple[int, bytes]:
        return (_OK if self.is_ready() else _UNAVAILABLE), b""

    def _make_acceptor(
        self,
        name: str,
        address: Sequence[Any],
        limit: int,
        open_caller: Open[CallerConnection],
    ) -> Acceptor[CallerConnection]:
        """Listen for requests at an address."""
        return Acceptor(
            name,
            eventlet.listen(tuple(address), backlog=_BACKLOG),
            limit,
            open_caller,
            self.handler.run,
            metrics=self.metrics,
            logger=self.logger,
        )

    def _make_page_acceptor(
        self, name: str, address: Sequence[Any], page: Page
    ) -> Acceptor[PageConnection]:
        """Listen for requests for a page at an address."""
        return Acceptor(
            name,
            eventlet.listen(tuple(address)),
            self.settings.capacity.page_connections,
            lambda sock, _: PageConnection(sock, page),
            PageConnection.run,
            metrics=self.metrics,
            logger=self.logger,
        )

    def _open_caller(
        self,
        sock: socket.socket,
        table: ConnectionTable[CallerConnection],
        limits: Callable[[], CallerLimits],
        *,
        is_peer: bool = False,
    ) -> CallerConnection:
        return CallerConnection(
            sock,
            limits,
            lambda: self._is_stopping,
            is_peer=is_peer,
            memory=self.request_memory,
            turns=self._turns,
            on_phase=table.enter,
        )

    def _relay_limits(self) -> CallerLimits:
        """Return the limits on handed-over requests, whose heads are longer."""
        limits = self.handler.limits()
        return limits._replace(head_bytes=limits.head_bytes + _RELAY_HEAD_BYTES)

    def _stop(self, *acceptors: Acceptor[CallerConnection]) -> None:
        limit = max(0.0, self.settings.bounds.grace - _STOP_MARGIN_S)
        schedule = StopSchedule(now(), min(_STOP_NOTICE_S, limit), limit)
        self._is_stopping = True
        self.handler.stop_schedule = schedule
        self._announce_stop()
        self.logger.info("stopping", active=self.handler.active)
        while (left := schedule.started_at + schedule.notice - now()) > 0:
            self.handler.reject_waiting()
            eventlet.sleep(min(_STOP_POLL_S, left))
        for acceptor in acceptors:
            acceptor.close()
        while now() < schedule.aborts_at and self._is_busy():
            self._close_idle()
            self.handler.reject_waiting()
            eventlet.sleep(_STOP_POLL_S)
        self.handler.is_closed = True
        self._hand_over_origins()
        self.handler.abort_all()
        self._close_idle()
        eventlet.sleep(_FLUSH_S)
        self.logger.info(
            "stopped",
            active=self.handler.active,
            connections=len(self.handler.connections),
            rejected=self.handler.rejected_while_stopping,
            seconds=round(now() - schedule.started_at, 2),
        )

    def _announce_stop(self) -> None:
        """Have the other instances take over the work that this one does for them."""
        try:
            self.peers.accepts_work = False
            self.peers.send_heartbeats()
            self.owner.hand_over(is_final=True)
        except Exception:
            # The other instances notice the stop later. An error here must not end the
            # process before its callers have their responses.
            self.logger.exception("stop_announcement_failed")

    def _hand_over_origins(self) -> None:
        """Tell other instances the origins of streams that their callers resume."""
        try:
            self.origin_exchange.hand_over()
        except Exception:
            # As in the announcement, callers come first.
            self.logger.exception("origins_not_handed_over")

    def _is_busy(self) -> bool:
        # A request whose last bytes are still to come is read to its end as well.
        has_requests = self.handler.active > 0 or self.handler.is_reading()
        return has_requests or self.owner.is_busy()

    def _close_idle(self) -> None:
        for caller in list(self.handler.connections):
            if caller.is_idle:
                caller.close_idle()

    def _tick(self) -> None:
        while True:
            due_at = now() + _TICK_INTERVAL_S
            eventlet.sleep(_TICK_INTERVAL_S)
            self.handler.timer_delay = now() - due_at
            self.usage.record_delay(self.handler.timer_delay)
            self._report_usage()
            self._update_accepts_work()
            self.pool.prune()
            self.view.drop_lapsed()
            self.gossip.drop_expired()
            self.crashes.check_successes()
            self.streams.abort_quarantined()
            self.software_history.refresh()
            self.origin_exchange.renew()
            self.rate_owner.forget_idle()
            self.owner.hand_over()
            self.owner.drop_orphans()
            self.stage_exchange.resend_releases()
            if self._reload_requested:
                self._reload_requested = False
                self._reload()

    def _report_usage(self) -> None:
        usage = self.usage.collect()
        if usage is not None:
            self.logger.info(
                "usage",
                cpu=usage.cpu,
                delay=usage.delay,
                peers=len(self.peers.alive()),
                **usage.counts,
            )

    def _reload(self) -> None:
        try:
            settings = parse_settings(Path(self._path).read_text(), name=self._path)
        except (OSError, InvalidFileError) as error:
            self.logger.warning("reload_failed", reason=str(error))
            return
        self.suspect_parts.allowed = settings.suspects.allowed_parts
        self.suspects.allowed = settings.suspects.allowed_requests
        # The other settings are only validated here. Addresses can't change while the
        # process runs, and the rest takes effect at the next start.
        self.logger.info("reloaded", is_changed=settings != self.settings)

    def _update_accepts_work(self) -> None:
        # An instance that has just started has no targets in its view yet; as an owner
        # it would reject every piece. It has received no heartbeats either: after a
        # restart of the whole fleet, each instance would see itself as the owner of all
        # queues.
        is_settled = now() - self._started_at >= SETTLE_S
        self.peers.accepts_work = (
            is_settled and self.is_ready() and not self.service_reach.is_isolated()
        )

    def _on_reach_change(self) -> None:
        self.peers.announce()
        self._update_accepts_work()
        self.owner.hand_over(is_final=True)

    def _forget_unlisted_targets(self) -> None:
        incarnations = {
            known.target.incarnation
            for group in self.view.targets_by_service.values()
            for known in group
        }
        self.health.keep_only(incarnations)
        self.limits.keep_only(incarnations)
        self.brittleness.keep_only(incarnations)
        self.rates.keep_only(incarnations)
        self.rests.keep_only(incarnations)
        self.speeds.keep_only(incarnations)
        self.placement.keep_only(incarnations)
        self.unreadable_loads.keep_only(incarnations)

    def _run_supervised(self, loop: Any) -> None:
        # An unexpected error would end the green thread, and this instance would go on
        # serving without its updates. The error is logged and the loop restarted.
        while True:
            try:
                loop()
            except Exception:
                self.logger.exception("restarting", work=loop.__qualname__)
            eventlet.sleep(_RESTART_PAUSE_S)

    def _handle_term_signal(self, *_: object) -> None:
        # A signal handler may run between any two lines of a green thread, so it only
        # schedules the request at the hub.
        eventlet.spawn_n(self._request_stop)

    def _request_stop(self) -> None:
        if not self._stop_requested.ready():
            self._stop_requested.send()

    def _handle_hup_signal(self, *_: object) -> None:
        self._reload_requested = True

    def _add_gauges(self) -> None:
        gauge = self.metrics.add_gauge
        gauge("requests_active", "Requests here.", lambda: self.handler.active)
        gauge(
            "requests_relayed",
            "Requests here that other instances handed over.",
            lambda: self.handler.relayed,
        )
        gauge(
            "services_lost",
            "Services whose targets can't be reached from here.",
            lambda: len(self.service_reach.lost_services()),
        )
        gauge("peers_alive", "Peers heard lately.", lambda: len(self.peers.alive()))
        gauge(
            "view_age_seconds",
            "Time since the store confirmed the view.",
            self.view.age,
        )
        gauge("store_era", "Era of the store.", lambda: self.view.position.era)
        gauge(
            "entries_retained",
            "Entries that the store has lost or outdated since it came back.",
            lambda: len(self.view.list_retained()),
        )
        gauge("store_calls", "Calls to the store.", lambda: self.store.calls)
        gauge(
            "stage_calls",
            "Calls to stage targets.",
            lambda: self.owner.dispatcher.calls_made,
        )
        gauge(
            "stage_pieces",
            "Pieces in these calls.",
            lambda: self.owner.dispatcher.pieces_sent,
        )
        gauge("connections_opened", "New connections.", lambda: self.pool.opened)
        gauge(
            "requests_suspected",
            "Requests under which a target ended.",
            lambda: len(self.suspects),
        )
        gauge(
            "requests_held_back",
            "Requests that end their targets.",
            lambda: len(self.suspects.quarantined()),
        )
        gauge(
            "parts_suspected",
            "Parts of prompts under which a target ended.",
            lambda: len(self.suspect_parts),
        )
        gauge(
            "parts_held_back",
            "Parts of prompts that end their targets.",
            lambda: len(self.suspect_parts.held()),
        )
        gauge(
            "stream_origins",
            "Streams whose version is known here.",
            lambda: len(self.origins),
        )
        gauge(
            "placements_waiting",
            "Requests that wait here for a place at a target.",
            lambda: self.placement.waiting,
        )
        gauge(
            "placements_running",
            "Requests that run at targets that this instance placed them at.",
            lambda: self.placement.running,
        )
        gauge(
            "placements",
            "Requests that this instance placed as an owner.",
            lambda: self.placement.placed,
        )
        gauge(
            "placements_refused",
            "Requests that this instance refused a place as an owner.",
            lambda: self.placement.refused,
        )
        gauge(
            "placements_unanswered",
            "Requests for a place that no owner responded to.",
            lambda: self.placement.unanswered,
        )
        gauge(
            "loads_unreadable",
            "Responses of targets whose load can't be read.",
            lambda: self.unreadable_loads.count,
        )
        gauge(
            "response_bytes",
            "Bytes of responses that are held here.",
            lambda: self.memory.used,
        )
        gauge(
            "request_bytes",
            "Bytes of requests that are held here.",
            lambda: self.request_memory.used,
        )
        gauge(
            "caller_connections",
            "Open connections of callers and of instances that hand requests over.",
            lambda: len(self.handler.connections),
        )
        gauge("targets_limited", "Targets that name a limit.", lambda: len(self.limits))
        gauge(
            "room_pressure",
            "How far less urgent requests make room for others, 0 to 1.",
            self.room.max_pressure,
        )
        gauge(
            "callers_told",
            "Rejected callers whose time to come back is kept here.",
            lambda: len(self.returns.callers),
        )
        gauge(
            "engines_measured",
            "Engines of which it is known how fast they write.",
            self.speeds.count_known,
        )
        gauge("engines_slow", "Engines that count as slow.", self.speeds.count_slow)
        gauge("log_dropped", "Dropped log lines.", lambda: self._output.dropped)
