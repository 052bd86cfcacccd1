"""Runs the stages of one streaming request, then relays an engine's events."""

from typing import TYPE_CHECKING

import eventlet
from eventlet.greenthread import GreenThread
from greenlet import greenlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.admission import (
    Forecast,
    add_jitter,
    admits,
    retry_after,
)
from bergamotsaddle_serving.attempt import (
    MAX_REFUSED_CONNECTIONS,
    NOT_RUN_STATUSES,
    Attempt,
    NotRunError,
    OutcomeUnknownError,
    Response,
)
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.context import MAX_LOGGED_NAMES, Context
from bergamotsaddle_serving.engine_choice import (
    EngineChoice,
    unshared_tokens,
)
from bergamotsaddle_serving.events import EventSplitter
from bergamotsaddle_serving.messages import Dispatch
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.stage_load import place
from bergamotsaddle_serving.stage_run import StageRun
from bergamotsaddle_serving.stream_output import StreamOutput
from bergamotsaddle_serving.suspect_parts import HeldPart, Work

if TYPE_CHECKING:
    from bergamotsaddle_serving.streams import StreamServer

_MAX_RESPONSE_BYTES = 1_000_000
# An engine that sends nothing in the middle of a stream for the longer of this time and
# several times the longest pause that is on time counts as lost. Callers give up after
# 2 s.
_MIN_EVENT_TIMEOUT_S = 1.0
_EVENT_TIMEOUT_GAPS = 3.0
# The same before the first event. It is longer because an engine sends nothing while it
# reads a long prompt, which takes up to a second; a dead engine is noticed earlier by
# the kernel.
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
_FIRST_EVENT_TIMEOUT_FACTOR = 6.0
_MAX_REFUSALS = 3
# How long a permit may be used after it was granted. If permits could be collected for
# longer, the requests that use them would arrive at the engine together.
_PERMIT_LIFETIME_S = 1.5
_CONFLICT = 409
_REPLACED = "replaced"
_QUARANTINED = "quarantined"


class StreamRun:
    """State of one streaming request while it is served.

    Args:
        server: The server that the request came to.
        context: The request.
        caller: Connection that receives the response.
    """

    def __init__(
        self, server: "StreamServer", context: Context, caller: CallerConnection
    ) -> None:
        self._server = server
        self._context = context
        self._stages: StageRun | None = None
        self._last_stages: StageRun | None = None
        self._inputs: tuple[str, ...] | None = None
        self._release_timer: GreenThread | None = None
        self._output = StreamOutput(caller, context.head.last_event_id)
        self._exclude: set[str] = set()
        # Whether another engine than the one in use may go on with the stream.
        self._has_another_engine = True
        # What runs the current attempt, None if nothing does.
        self._runner: greenlet | None = None
        self._target: Target | None = None
        self._is_trial = False
        # When the engine of the current attempt got the request.
        self._sent_at: float | None = None
        # When it sent its first event.
        self._writing_since: float | None = None
        # Id of an engine, and until when its permit is used.
        self._permit = ("", 0.0)
        self._was_offered = False
        self._possible_runs = 0
        self._refusals = 0
        self._refused_connections = 0

    def run(self) -> None:
        """Run the stages, then try engines until one has completed the stream."""
        self._check_quarantine()
        choice = self._choose()
        self._admit(choice)
        while not self._reserve(choice):
            choice = self._choose()
            self._admit(choice)
        while True:
            self._check_quarantine()
            if self._inputs is None:
                self._run_stages(choice)
            if self._try(choice):
                return
            choice = self._choose()

    def release(self) -> None:
        """Release the results and pending pieces that the request still holds."""
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None
        if self._stages is not None:
            self._stages.release()
            self._stages = None

    def _choose(self) -> EngineChoice:
        choice = self._server.choose(self._context, self._exclude)
        if choice is None:
            raise self._failure_error(self._describe_lack())
        return choice

    def _describe_lack(self) -> str:
        origin = self._context.origin
        if origin is None:
            return "no engine can take the request"
        return f"no engine of version {origin.software} can take the request"

    def _reserve(self, choice: EngineChoice) -> bool:
        """Acquire a permit for an engine, if it needs one.

        This comes before the stages are run, so that no work is done for a request
        that no engine may receive.

        Returns:
            Whether the engine may be used. Otherwise it is excluded, and another one
            is to be chosen.
        """
        context = self._context
        candidate = self._server.candidate(context, choice.engine)
        if candidate is None:
            return True
        selector = self._server.selector
        if selector.reserve(candidate, context.head.id, context.urgency):
            self._permit = (choice.engine.id, now() + _PERMIT_LIFETIME_S)
            return True
        self._exclude.add(choice.engine.id)
        return False

    def _use_permit(self, choice: EngineChoice) -> bool:
        """Use the held permit, or acquire one if it is expired or for another engine.

        Returns:
            Whether the request may be sent to the engine.
        """
        engine, until = self._permit
        self._permit = ("", 0.0)
        if engine == choice.engine.id and now() < until:
            return True
        is_granted = self._reserve(choice)
        self._permit = ("", 0.0)
        return is_granted

    def _admit(self, choice: EngineChoice) -> None:
        """Reject a request that would not be done in time, before any stage runs.

        This sheds the load of bursts that exceed the capacity of the stages. Work for
        a request that ends without a response is lost to other requests, so a request
        is not rejected any more once its stages have started.

        Raises:
            RequestError: If the request is rejected.
        """
        context = self._context
        plan = self._server.plan(context, choice.engine.zone, choice.finish_seconds)
        forecast = Forecast(
            seconds=choice.seconds,
            idle_seconds=plan.idle_seconds() + choice.idle_seconds,
            objective=context.started_at + context.route.objective - now(),
            remaining=context.first_event_by - now(),
        )
        if context.origin is not None:
            # The caller has a part of the stream, and ending it would waste that work.
            # It is due only before the caller gives up.
            forecast = forecast._replace(objective=forecast.remaining)
        more_urgent = self._server.urgencies.more_urgent_fraction(context.urgency)
        is_admitted = admits(forecast, more_urgent, self._server.policy)
        self._server.logger.info(
            "admit" if is_admitted else "turn_away",
            request=context.head.id,
            engine=choice.engine.id,
            reason=choice.reason,
            expected=round(forecast.seconds, 3),
            idle=round(forecast.idle_seconds, 3),
            left=round(forecast.remaining, 3),
            objective=context.route.objective,
            urgency=context.urgency,
            more_urgent=round(more_urgent, 2),
            version=context.version,
        )
        if is_admitted:
            return
        raise context.rejection_error(
            ErrorKind.DEADLINE_INFEASIBLE,
            f"expected to take {choice.seconds:.2f} s",
            retry_after=retry_after(forecast),
        )

    def _run_stages(self, choice: EngineChoice) -> None:
        context = self._context
        plan = self._server.plan(context, choice.engine.zone, choice.finish_seconds)
        if not plan.needed:
            self._inputs = ()
            return
        self.release()
        first_round = self._last_stages.next_round if self._last_stages else 0
        self._stages = self._last_stages = StageRun(
            context.head,
            context.route,
            plan,
            self._server.exchange,
            self._server.logger,
            urgency=context.urgency,
            deadline_at=self._next_event_by(),
            choose_queues=lambda service, stage, count: (
                self._server.waits.choose_queues(
                    service,
                    context.route.stages[stage],
                    count,
                    place(context.urgency, has_started=bool(plan.predecessors(stage))),
                    plan,
                )
            ),
            pending=self._server.waits.pending,
            ttl_seconds=self._server.waits.ttl_seconds,
            first_round=first_round,
            fingerprint=context.fingerprint,
            has_objective=not self._output.has_started,
        )
        try:
            outcome = self._stages.run()
        except RequestError as error:
            if self._possible_runs:
                # The error says that the request has not run, but an earlier attempt
                # may have run it.
                raise self._failure_error(error.detail) from error
            raise
        self._inputs = outcome.handles
        self._server.logger.info(
            "stages_done",
            request=context.head.id,
            zone=choice.engine.zone,
            seconds=round(outcome.seconds, 3),
            expected=round(plan.total_seconds(), 3),
            stages=outcome.stages,
        )

    def _next_event_by(self) -> float:
        """Return when the caller gives up waiting for the next event.

        Behind the first event its patience counts from the last one.
        """
        context = self._context
        if not self._output.has_started:
            return context.first_event_by
        return min(
            context.deadline_at, self._output.last_event_at + context.route.max_wait
        )

    def _try(self, choice: EngineChoice) -> bool:
        """Send the request to an engine and relay its response.

        Returns:
            Whether a response was relayed. Otherwise another engine is to be tried.
        """
        context = self._context
        candidate = self._server.candidate(context, choice.engine)
        if candidate is None or not self._server.selector.may_send(candidate):
            self._exclude.add(choice.engine.id)
            return False
        if not self._use_permit(choice):
            return False
        is_repeat = self._was_offered
        if is_repeat and not self._server.budget.try_acquire(context.service.name):
            raise self._failure_error("no repeats are left")
        self._check_quarantine()
        parts = self._server.crashes.parts
        self._is_trial = parts.record_sent(context.head.shared_parts)
        self._server.selector.record_sent(candidate, context.service)
        self._was_offered = True
        self._writing_since = None
        self._sent_at = now()
        target = candidate.target
        try:
            with self._server.crashes.watch(target, candidate.state, self._work()):
                response = self._send(candidate, choice)
        except NotRunError as error:
            self._was_offered = is_repeat or not error.is_connection_refused
            self._log_failed_attempt(candidate, error.reason, "no", error.status)
            self._handle_refusal(candidate, error)
            return False
        except OutcomeUnknownError as error:
            self._log_failed_attempt(candidate, error.reason, "unknown")
            self._server.crashes.record_failure(target, [self._work()], error.reason)
            self._exclude.add(target.id)
            self._possible_runs += 1
            self._check_resumable()
            return False
        except RequestError:
            raise
        except BergamotsaddleError:
            # The caller left or the deadline passed while the engine worked on it.
            self._server.crashes.record_abandoned(target, self._work())
            raise
        if response.is_success:
            self._server.crashes.record_success(
                target, [self._work()], is_framed=response.head.is_framed
            )
        return True

    def _check_quarantine(self) -> None:
        """Raise an error if the request has been quarantined in the meantime."""
        context = self._context
        held = self._server.crashes.parts.find_held(context.head.shared_parts)
        if held is None and not self._server.suspects.is_quarantined(
            context.fingerprint
        ):
            return
        if held is not None:
            self._log_held_part(held)
        if self._possible_runs:
            raise self._failure_error("targets ended while they ran it")
        raise context.quarantine_error(held.part if held is not None else None)

    def abort_if_quarantined(self, *, checks_parts: bool = True) -> None:
        """Abort the current attempt if the request is quarantined.

        Quarantine of a part aborts no attempt that has an event: the part crashes
        engines as they begin to write.
        """
        if self._runner is None or self._is_trial:
            return
        suspects = self._server.crashes.suspects
        is_waiting = checks_parts and self._writing_since is None
        has_part = is_waiting and self._has_held_part()
        if not has_part and not suspects.is_quarantined(self._context.fingerprint):
            return
        self._server.crashes.record_abandoned(self._target, self._work())
        eventlet.kill(self._runner, OutcomeUnknownError(_QUARANTINED))

    def _has_held_part(self) -> bool:
        parts = self._server.crashes.parts
        return parts.find_held(self._context.head.shared_parts) is not None

    def _work(self) -> Work:
        """Return what the engine runs in the current attempt."""
        context = self._context
        return Work(
            context.fingerprint,
            context.head.shared_parts,
            self._writing_since,
            self._sent_at,
            context.head.id,
        )

    def _send(self, candidate: Candidate, choice: EngineChoice) -> Response:
        """Send the request to an engine and relay its response.

        Returns:
            The head of the response, which was relayed completely.

        Raises:
            NotRunError: If the engine did not run the request.
            OutcomeUnknownError: If the response is incomplete.
        """
        context = self._context
        state = candidate.state
        tokens = self._prefill_tokens(choice)
        state.prompt_tokens_ahead += tokens
        is_prefilling = True
        server = self._server
        try:
            with Attempt(context, state, server.pool, server.dialect) as attempt:
                dispatch = Dispatch(
                    candidate.target,
                    context.remaining,
                    context.team,
                    context.urgency,
                    self._inputs or (),
                    self._output.last_id,
                )
                limit = self._first_event_timeout(choice)
                self._start_running(candidate.target)
                response = attempt.send(
                    dispatch,
                    limit=limit,
                    max_wait=context.remaining,
                    on_sent=self._release_when_fetched,
                    may_send=lambda: server.selector.may_send(candidate),
                )
                if not response.is_success:
                    self._forward_failure(attempt, response)
                    return response
                splitter = EventSplitter()
                data = attempt.read_some(limit=limit)
                if data is None and not self._is_behind_last_event(response, splitter):
                    attempt.finish_stream(is_whole=False)
                state.prompt_tokens_ahead -= tokens
                is_prefilling = False
                seconds = now() - attempt.started_at
                state.record_success(seconds)
                server.logger.info(
                    "first_event",
                    request=context.head.id,
                    target=candidate.target.id,
                    seconds=round(seconds, 3),
                    expected=round(choice.finish_seconds, 3),
                    software=candidate.target.software,
                    tokens=tokens,
                    since=round(now() - context.started_at, 3),
                )
                server.record_cached_prefix(candidate.target.id, context)
                self._release_inputs()
                self._relay(attempt, response, splitter, data, candidate.target)
                return response
        finally:
            self._stop_running()
            if is_prefilling:
                state.prompt_tokens_ahead -= tokens

    def _start_running(self, target: Target) -> None:
        self._target = target
        self._runner = eventlet.getcurrent()
        self._server.ongoing_runs.add(self)

    def _stop_running(self) -> None:
        self._runner = None
        self._server.ongoing_runs.discard(self)

    def _prefill_tokens(self, choice: EngineChoice) -> int:
        """Return how many prompt tokens the engine has to read."""
        head = self._context.head
        if choice.reason == "free":
            return head.prompt_tokens
        return unshared_tokens(head.prompt, head.prompt_tokens)

    def _relay(
        self,
        attempt: Attempt,
        response: Response,
        splitter: EventSplitter,
        data: bytes | None,
        target: Target,
    ) -> None:
        """Relay complete events until the stream ends, the first bytes included.

        Raises:
            OutcomeUnknownError: If the stream broke off.
        """
        is_bound = False
        while data is not None:
            for event in splitter.feed(data):
                if self._writing_since is None:
                    self._writing_since = now()
                if not is_bound:
                    self._bind(target)
                    is_bound = True
                self._output.send(response, event)
            data = attempt.read_some(limit=self._event_timeout())
        is_nothing_left = self._is_behind_last_event(response, splitter)
        is_whole = is_nothing_left or splitter.may_end()
        if not response.head.is_framed:
            is_whole &= not self._server.crashes.has_ended_with_target(target)
        attempt.finish_stream(is_whole=is_whole)
        self._output.finish(response, splitter.remainder)

    def _bind(self, target: Target) -> None:
        """Bind the stream to the software of the engine that sends its first event.

        Raises:
            OutcomeUnknownError: If the engine may run other software by now.
        """
        resumptions = self._server.resumptions
        if resumptions.is_replaced(target):
            raise OutcomeUnknownError(_REPLACED)
        self._context = resumptions.bind(self._context, target)
        # If there is none, waiting for a silent engine costs nothing.
        self._has_another_engine = resumptions.has_target(
            self._context.origin, {*self._exclude, target.id}
        )

    def _is_behind_last_event(
        self, response: Response, splitter: EventSplitter
    ) -> bool:
        """Return whether a response that ends here says that no event is left.

        A stream may break off behind its last event. The engine that goes on then has
        nothing to send, and only the framing of its response shows that it is whole.
        """
        is_resumed = self._output.last_id is not None
        return is_resumed and splitter.is_empty and response.head.is_framed

    def _release_when_fetched(self, sent_bytes: int) -> None:
        """Release the inputs once the engine has certainly fetched them.

        An engine fetches its inputs as soon as it receives the request, but sends its
        first event only after it has read the prompt, up to half a second later. Stage
        targets with memory for a handful of results would be idle until then.
        """
        if not self._inputs:
            return
        sizes = self._context.route.stages
        max_bytes = max(stage.result_bytes for stage in sizes) * len(self._inputs)
        delay = self._server.fetch_times.seconds(max_bytes, sent_bytes)
        self._release_timer = eventlet.spawn_after(delay, self._release_inputs)

    def _release_inputs(self) -> None:
        # If the stream breaks off later, which is rare, the stages are run again.
        if self._inputs:
            self._inputs = None
        self.release()

    def _forward_failure(self, attempt: Attempt, response: Response) -> None:
        status = response.head.status
        body = attempt.read_body(
            limit=self._event_timeout(), max_bytes=_MAX_RESPONSE_BYTES
        )
        if status in NOT_RUN_STATUSES or self._output.has_started:
            raise OutcomeUnknownError(f"status {status}")
        if status >= 500 and self._may_run_again():
            raise OutcomeUnknownError(f"status {status}")
        self._output.respond(response, body)

    def _handle_refusal(self, candidate: Candidate, error: NotRunError) -> None:
        if error.status == _CONFLICT:
            # A result was lost with its target before the engine had fetched it.
            self.release()
            self._inputs = None
        else:
            self._exclude.add(candidate.target.id)
        self._refusals += not error.is_connection_refused
        self._refused_connections += error.is_connection_refused
        if (
            self._refusals > _MAX_REFUSALS
            or self._refused_connections > MAX_REFUSED_CONNECTIONS
        ):
            raise self._failure_error("no engine took the request")

    def _may_run_again(self) -> bool:
        context = self._context
        return (
            context.route.may_repeat
            and not self._output.has_unnumbered_event
            and self._possible_runs + 1 < context.route.attempts
            and context.remaining > 0
            and self._has_another_engine
        )

    def _check_resumable(self) -> None:
        """Raise an error if the request must not be sent to another engine."""
        context = self._context
        can_resume = context.route.may_repeat and not self._output.has_unnumbered_event
        if not can_resume or self._possible_runs >= context.route.attempts:
            raise self._failure_error("the engine broke off")
        if context.origin and not self._server.resumptions.is_certain(context):
            raise self._failure_error("which version began the stream is uncertain")

    def _failure_error(self, detail: str) -> RequestError:
        context = self._context
        if self._output.has_started:
            self._server.metrics.count_cut_stream(context.route.name, detail)
        if self._possible_runs:
            return RequestError(ErrorKind.TARGET_FAILED, detail, ran=Ran.UNKNOWN)
        server = self._server
        origin = context.origin
        if origin is not None and not server.resumptions.has_target(origin):
            detail = f"version {origin.software} of {origin.service} has no target"
            return context.rejection_error(ErrorKind.VERSION_GONE, detail)
        wait = server.selector.permit_wait(
            context.service.name,
            may_run=lambda target: server.resumptions.may_run(target, origin),
        )
        return context.rejection_error(
            ErrorKind.NO_TARGET, detail, retry_after=add_jitter(wait)
        )

    def _first_event_timeout(self, choice: EngineChoice) -> float:
        """Return after how many seconds without a first event an engine is lost."""
        context = self._context
        if not self._may_run_again():
            return context.remaining
        limit = max(
            _MIN_FIRST_EVENT_TIMEOUT_S,
            _FIRST_EVENT_TIMEOUT_FACTOR * choice.finish_seconds,
        )
        return min(context.remaining, limit)

    def _event_timeout(self) -> float:
        """Return after how many seconds without an event an engine is lost."""
        context = self._context
        if not self._may_run_again():
            return context.remaining
        gap = max(_MIN_EVENT_TIMEOUT_S, _EVENT_TIMEOUT_GAPS * context.route.event_gap)
        return min(context.remaining, gap)

    def _log_held_part(self, held: HeldPart) -> None:
        self._server.logger.warning(
            "part_held_back",
            request=self._context.head.id,
            part=held.part,
            companions=sorted(held.companions)[:MAX_LOGGED_NAMES],
            targets=held.targets[:MAX_LOGGED_NAMES],
        )

    def _log_failed_attempt(
        self, candidate: Candidate, reason: str, ran: str, status: int = 0
    ) -> None:
        context = self._context
        self._server.metrics.count_failed_attempt(context.route.name, reason)
        self._server.logger.warning(
            "attempt_failed",
            request=context.head.id,
            work=context.fingerprint,
            parts=context.logged_parts,
            target=candidate.target.id,
            reason=reason,
            status=status,
            framed=context.progress.is_framed,
            ran=ran,
            last_event=self._output.last_id,
            runs=self._possible_runs,
            repeats=self._server.budget.remaining(context.service.name),
            patience=round(self._next_event_by() - now(), 3),
        )
