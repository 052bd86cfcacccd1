"""Serves streaming requests and chooses engines for them."""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.engine_choice import (
    EngineChoice,
    EngineView,
    choose_engine,
    isolate_engine,
    prefix_key,
    unshared_tokens,
)
from bergamotsaddle_serving.decisions.engine_speeds import (
    USUAL_SPEED,
    EngineSpeed,
    EngineSpeeds,
)
from bergamotsaddle_serving.decisions.fleet_start import FleetStart
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.stream_ends import (
    EndTrials,
    Outlook,
    StreamEnd,
    StreamLengths,
)
from bergamotsaddle_serving.decisions.urgency_distribution import UrgencyDistribution
from bergamotsaddle_serving.fetching import DEFAULT_FETCH_TIMES, FetchTimes
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.resumption import Resumptions
from bergamotsaddle_serving.room import Room
from bergamotsaddle_serving.selector import Candidate, Selector
from bergamotsaddle_serving.silence import KnownSilences
from bergamotsaddle_serving.stage_exchange import StageExchange
from bergamotsaddle_serving.stage_plan import StagePlan
from bergamotsaddle_serving.stage_waits import StageWaits
from bergamotsaddle_serving.stream_run import StreamRun
from bergamotsaddle_serving.target_crashes import TargetCrashes

# How long an engine is assumed to cache the shared prefix of a prompt that it read for
# this instance.
_CACHED_PREFIX_TTL_S = 20.0
_MAX_SILENCES_AGE_S = 0.2
_MAX_CACHED_PREFIXES = 20_000
# Time in which the facts of one crash arrive.
_ABORT_DELAY_S = 0.03


class StreamServer:
    """Serves requests to which engines respond with streams.

    Args:
        selector: Selects engines.
        waits: Expected times of stages.
        exchange: Sends pieces to the owners of stage queues.
        pool: Connections to engines.
        budget: Limits retries.
        dialect: Makes headers.
        logger: Logs decisions and failures.
        policy: Enabled mechanisms.
        fetch_times: Estimates when engines have fetched their inputs.
        crashes: Detects crashed engines and the requests that they were running.
        resumptions: Knows which engines may go on with a stream.
        metrics: Counts attempts that were given up, and streams that were cut.
        fleet_start: How long requests wait for owners of queues after a start.
        room: Decides who gets room that is short, None to leave it to each request.
        speeds: Learns how fast engines are; None if it isn't to be known.
        lengths: Learns how long streams are, likewise.

    Attributes:
        ongoing_runs: Requests that were sent to an engine.
        end_trials: Decides which hopeless streams run nonetheless.
    """

    def __init__(
        self,
        selector: Selector,
        waits: StageWaits,
        exchange: StageExchange,
        pool: ConnectionPool,
        budget: RetryBudget,
        dialect: Dialect,
        logger: Any,
        policy: Policy = FULL_POLICY,
        fetch_times: FetchTimes = DEFAULT_FETCH_TIMES,
        *,
        crashes: TargetCrashes,
        resumptions: Resumptions,
        metrics: Metrics | None = None,
        fleet_start: FleetStart | None = None,
        room: Room | None = None,
        speeds: EngineSpeeds | None = None,
        lengths: StreamLengths | None = None,
    ) -> None:
        self.room = room or Room(ReportingServices())
        self.speeds = speeds
        self.lengths = lengths
        self.end_trials = EndTrials()
        self.metrics = metrics or Metrics()
        self._fleet_start = fleet_start
        self.policy = policy
        self.resumptions = resumptions
        self.suspects = crashes.suspects
        self.crashes = crashes
        self.fetch_times = fetch_times
        self.selector = selector
        self.waits = waits
        self.exchange = exchange
        self.pool = pool
        self.budget = budget
        self.dialect = dialect
        self.logger = logger
        self.urgencies = UrgencyDistribution()
        self._cached_until: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.ongoing_runs: set[StreamRun] = set()
        self._is_aborting = False
        self._silences: dict[tuple[str, float], KnownSilences] = {}
        crashes.on_crash = self._abort_soon

    def abort_quarantined(self) -> None:
        """Abort requests that engines run and that have been quarantined.

        An engine drops a request whose connection is closed, if it does so in time.
        """
        for run in list(self.ongoing_runs):
            run.abort_if_quarantined()

    def _abort_soon(self) -> None:
        # The facts of one crash arrive together.
        if not self._is_aborting:
            self._is_aborting = True
            eventlet.spawn_after(_ABORT_DELAY_S, self._abort)

    def _abort(self) -> None:
        # Parts of prompts take long to compare; they are looked at more seldom.
        self._is_aborting = False
        for run in list(self.ongoing_runs):
            run.abort_if_quarantined(checks_parts=False)

    def serve(self, context: Context, caller: CallerConnection) -> None:
        """Serve a request until its response is complete.

        Args:
            context: The request.
            caller: Connection that receives the response.

        Raises:
            RequestError: If the request fails.
        """
        self.urgencies.record(context.urgency, now())
        self.room.record_arrival(context)
        context = self.resumptions.resume(context)
        self._record_tokens(context)
        run = StreamRun(self, context, caller)
        try:
            run.run()
        finally:
            run.release()

    def await_owners(self, context: Context) -> None:
        """Wait for owners of the stage queues while the instances start.

        Args:
            context: The request.
        """
        start = self._fleet_start
        if start is None:
            return
        since = now()
        due_at = context.started_at + context.route.objective
        has_waited = False
        while pause := start.pause(due_at):
            if not self.waits.lacks_owner(context.route, context.head.pieces):
                break
            has_waited = True
            eventlet.sleep(pause)
        if has_waited:
            self.logger.info(
                "owners_awaited",
                request=context.head.id,
                seconds=round(now() - since, 3),
            )

    def choose(self, context: Context, exclude: set[str]) -> EngineChoice | None:
        """Choose an engine for a request.

        Args:
            context: The request.
            exclude: Ids of engines not to choose.

        Returns:
            The choice, None if there is no engine.
        """
        service = context.service.name
        unfit = self._find_unfit(context)
        candidates = self.selector.candidates(service, exclude | unfit)
        if context.origin is None and context.route.is_resumable:
            return self._choose_version(candidates, context)
        return self._choose_among(candidates, context)

    def _choose_version(
        self, candidates: Sequence[Candidate], context: Context
    ) -> EngineChoice | None:
        """Choose an engine for a new stream, which goes on at its version only.

        Any engine may get it if none of its version may get a request now.
        """
        software = self.resumptions.choose_version(context)
        preferred = [c for c in candidates if c.target.software == software]
        if not preferred:
            return self._choose_among(candidates, context)
        single = self.resumptions.single_versions(context.service.name)
        others = [c for c in candidates if c.target.software in single]
        return self._prefer(preferred, others, context)

    def _prefer(
        self,
        preferred: Sequence[Candidate],
        others: Sequence[Candidate],
        context: Context,
    ) -> EngineChoice | None:
        """Choose among some candidates unless only another one serves in time."""
        choice = self._choose_among(preferred, context)
        is_late = choice is None or choice.seconds > context.route.objective
        if not others or (not is_late and _outlook(choice) is Outlook.FAIR):
            return choice
        among_all = self._choose_among([*preferred, *others], context)
        is_better = is_late or _outlook(among_all) > _outlook(choice)
        return among_all if is_better else choice

    def _choose_among(
        self, candidates: Sequence[Candidate], context: Context
    ) -> EngineChoice | None:
        head = context.head
        key = prefix_key(head.prompt)
        speeds = self.speeds
        if speeds is not None and not speeds.is_learnt(context.service.name):
            speeds = None
        views = [self._engine_view(c, key, speeds) for c in candidates]
        ending = None
        if self.suspects.is_suspect(context.fingerprint):
            # It may run at one engine only, so its end decides nothing.
            views = isolate_engine(views, context.fingerprint)
        elif speeds is not None:
            ending = self._ending(context)
        seconds_by_zone = {
            zone: self.stage_seconds(context, zone) for zone in {v.zone for v in views}
        }
        return choose_engine(
            views,
            head.prompt,
            head.prompt_tokens,
            objective=context.route.objective,
            stage_seconds=seconds_by_zone.__getitem__,
            policy=self.policy,
            ending=ending,
        )

    def known_silences(self, service: str, pause: float) -> KnownSilences:
        """Return which engines of a service have stopped sending.

        The answer may be a fraction of a second old: many streams ask at a time when
        all engines are silent, and each look takes as long as there are engines.

        Args:
            service: The service.
            pause: Seconds between two parts of a response that are not unusual.
        """
        known = self._silences.get((service, pause))
        if known is not None and now() - known.at < _MAX_SILENCES_AGE_S:
            return known
        candidates = self.selector.candidates(service, set())
        quiet = frozenset(c.target.id for c in candidates if c.state.is_quiet(pause))
        ids = frozenset(c.target.id for c in candidates)
        known = KnownSilences(now(), quiet, ids - quiet)
        self._silences[service, pause] = known
        return known

    def stage_seconds(self, context: Context, zone: str) -> float:
        """Return the expected duration of all stages of a request in a zone."""
        return self.plan(context, zone, 0.0).total_seconds()

    def plan(self, context: Context, zone: str, finish_seconds: float) -> StagePlan:
        """Plan the stages of a request.

        Args:
            context: The request.
            zone: Zone in which the stages are to run.
            finish_seconds: Expected seconds from the last stage to the first event.
        """
        return StagePlan(
            context.route,
            context.head.pieces,
            zone,
            self.waits.best_scope,
            urgency=context.urgency,
            started_at=context.started_at,
            finish_seconds=finish_seconds,
            policy=self.policy,
            by_urgency=self.room.applies(context, Mechanism.URGENT_ROOM),
        )

    def candidate(
        self, context: Context, engine: EngineView, exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate with an engine's id, None if there is none now.

        Args:
            context: The request.
            engine: The engine.
            exclude: Ids of engines that may not be used instead of it.
        """
        service = context.service.name
        candidate = self.selector.find(service, engine.id, exclude)
        if candidate is not None or context.origin is None:
            return candidate
        unfit = self._find_unfit(context).union(exclude)
        return self.selector.find(service, engine.id, unfit)

    def _find_unfit(self, context: Context) -> set[str]:
        """Return the ids of the engines that may not go on with a stream."""
        origin = context.origin
        if origin is None:
            return set()
        targets = self.selector.targets(context.service.name)
        may_run = self.resumptions.may_run
        return {target.id for target in targets if not may_run(target, origin)}

    def record_cached_prefix(self, target_id: str, context: Context) -> None:
        """Record that an engine has read the shared prefix of a prompt."""
        key = (target_id, prefix_key(context.head.prompt))
        self._cached_until[key] = now() + _CACHED_PREFIX_TTL_S
        self._cached_until.move_to_end(key)
        while len(self._cached_until) > _MAX_CACHED_PREFIXES:
            self._cached_until.popitem(last=False)

    def record_length(self, context: Context, events: int, *, is_cut: bool) -> None:
        """Record how many events a stream had from its start.

        Args:
            context: The request.
            events: Number of its events.
            is_cut: Whether more were to come.
        """
        if self.lengths is None or not self._learns_ends(context):
            return
        record = self.lengths.record_cut if is_cut else self.lengths.record
        record(context.route.name, context.head, events)

    def _record_tokens(self, context: Context) -> None:
        head = context.head
        service = context.service
        if self.lengths is None or not self._learns_ends(context):
            return
        if not service.engine_memory or head.is_resumption:
            return
        own = unshared_tokens(head.prompt, head.prompt_tokens) + head.output_tokens
        self.lengths.record_tokens(service, own)

    def _learns_ends(self, context: Context) -> bool:
        return (
            self.speeds is not None
            and self.policy.has(Mechanism.STREAM_ENDS)
            and self.speeds.is_learnt(context.service.name)
        )

    def _ending(self, context: Context) -> StreamEnd | None:
        """Return what the end of a stream depends on, None if that is unknown."""
        if self.lengths is None or not self._learns_ends(context):
            return None
        head = context.head
        service = context.service
        if head.is_resumption or context.origin is not None:
            # How much of it is left is unknown.
            return None
        length = self.lengths.forecast(context.route.name, head)
        event_seconds = self.speeds.event_seconds(service.name)
        if length is None or event_seconds is None:
            return None
        return StreamEnd(
            context.remaining,
            length,
            event_seconds,
            service.engine_memory,
            head.prompt_tokens + head.output_tokens,
            self.lengths.usual_tokens(service.name),
        )

    def _engine_view(
        self, candidate: Candidate, key: str, speeds: EngineSpeeds | None
    ) -> EngineView:
        target = candidate.target
        state = candidate.state
        return EngineView(
            target.id,
            target.zone,
            max(1, target.slots),
            state.in_flight + candidate.others,
            candidate.tokens_ahead,
            self._cached_until.get((target.id, key), 0.0) > now(),
            speed=USUAL_SPEED if speeds is None else _speed_of(candidate, speeds),
        )


def _outlook(choice: EngineChoice) -> Outlook:
    return Outlook.FAIR if choice.end is None else choice.end.outlook


def _speed_of(candidate: Candidate, speeds: EngineSpeeds) -> EngineSpeed:
    state = candidate.state
    if state.speed is None:
        state.speed = speeds.of(candidate.target)
    return state.speed
