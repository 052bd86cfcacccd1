"""Runs the stages of one streaming request, then relays an engine's events."""

import contextlib
from collections.abc import Collection
from typing import TYPE_CHECKING

import eventlet
from greenlet import greenlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.attempt import (
    MAX_REFUSED_CONNECTIONS,
    NOT_RUN_STATUSES,
    NotRunError,
    OutcomeUnknownError,
    SilentError,
)
from bergamotsaddle_serving.budget import Repeat
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import SILENT
from bergamotsaddle_serving.context import MAX_LOGGED_NAMES, Context
from bergamotsaddle_serving.decisions.admission import add_jitter
from bergamotsaddle_serving.decisions.engine_choice import EngineChoice
from bergamotsaddle_serving.engine_run import EngineRun
from bergamotsaddle_serving.events import StreamEvent
from bergamotsaddle_serving.hedged_read import Progress, read_hedged
from bergamotsaddle_serving.messages import Dispatch
from bergamotsaddle_serving.silence import KnownSilences, Silence
from bergamotsaddle_serving.stream_admission import StreamAdmission
from bergamotsaddle_serving.stream_inputs import StreamInputs
from bergamotsaddle_serving.stream_output import StreamOutput
from bergamotsaddle_serving.suspect_parts import HeldPart

if TYPE_CHECKING:
    from bergamotsaddle_serving.streams import StreamServer

# An engine that sends nothing in the middle of a stream for the longer of this time and
# several times the longest pause that is on time counts as silent. Callers give
# up after 2 s.
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
_SERVER_ERROR = 500
_REPLACED = "replaced"
_QUARANTINED = "quarantined"
_OVERTAKEN = "overtaken"
# How long a stream that broke off waits for a repeat, which others may give back.
_MAX_REPEAT_WAIT_S = 1.0
_REPEAT_WAIT_FRACTION = 0.5
_REPEAT_PAUSE_S = 0.1
# How a silence ends.
_GOES_ON = "goes on"
_HEDGED = "hedged"
_FAILED = "failed"
_ABANDONED = "abandoned"


class StreamRun:
    """State of one streaming request while it is served.

    A run that falls silent stays open while another one, the hedge, is prepared beside
    it. The run whose next event arrives first goes on, and the other one is closed.

    Args:
        server: The server that the request came to.
        context: The request.
        caller: Connection that receives the response.

    Attributes:
        runs: Open runs, the oldest one first. All but the last one are silent.
    """

    def __init__(
        self, server: "StreamServer", context: Context, caller: CallerConnection
    ) -> None:
        self._server = server
        self._context = context
        self._inputs = StreamInputs(server, context)
        self._output = StreamOutput(
            caller, context.head.last_event_id, self._record_start
        )
        self._admission = StreamAdmission(server)
        self._exclude: set[str] = set()
        self.runs: list[EngineRun] = []
        # The current silence, or the last one.
        self._silence = Silence()
        # What waits for events of the open runs, None if nothing does.
        self._reader: greenlet | None = None
        # A run whose failure is forwarded unless another engine does better.
        self._failed_run: EngineRun | None = None
        # Id of an engine, and until when its permit is used.
        self._permit = ("", 0.0)
        # Whether an engine was reached, so that each further run is a repeat.
        self._was_offered = False
        # Closed runs that an engine may have begun.
        self._possible_runs = 0
        self._refusals = 0
        self._refused_connections = 0

    def run(self) -> None:
        """Run the stages, then try engines until one has completed the stream."""
        try:
            self._run()
        except RequestError as error:
            if self._output.has_started:
                route = self._context.route.name
                self._server.metrics.count_cut_stream(route, error.detail)
            elif self._failed_run is not None:
                self._output.respond(self._failed_run.response, self._failed_run.body)
                return
            raise
        except BergamotsaddleError:
            # The caller left or the deadline passed while engines worked on it.
            self._record_abandoned()
            raise
        finally:
            self._close_runs()

    def _run(self) -> None:
        self._check_quarantine()
        self._server.await_owners(self._context)
        choice = self._choose()
        self._admit(choice)
        while not self._reserve(choice, self._exclude):
            self._exclude.add(choice.engine.id)
            choice = self._choose()
            self._admit(choice)
        while True:
            self._check_quarantine()
            with contextlib.ExitStack() as stack:
                repeat = None
                if self._was_offered:
                    repeat = self._reserve_repeat()
                    stack.callback(repeat.cancel)
                if self._inputs.handles is None:
                    self._run_stages(choice)
                if self._try(choice, repeat):
                    return
            choice = self._choose()

    def release(self) -> None:
        """Release the results and pending pieces that the request still holds."""
        self._inputs.release()

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

    def _reserve(self, choice: EngineChoice, exclude: Collection[str]) -> bool:
        """Acquire a permit for an engine, if it needs one.

        This comes before the stages are run, so that no work is done for a request
        that no engine may receive.

        Args:
            choice: How the engine was chosen.
            exclude: Ids of engines that were left out of the choice.

        Returns:
            Whether the engine may be used. Otherwise another one is to be chosen.
        """
        context = self._context
        candidate = self._server.candidate(context, choice.engine, exclude)
        if candidate is None:
            return True
        selector = self._server.selector
        if selector.reserve(candidate, context.head.id, context.urgency):
            self._permit = (choice.engine.id, now() + _PERMIT_LIFETIME_S)
            return True
        return False

    def _reserve_repeat(self) -> Repeat:
        """Reserve a repeat of the budget, before any stage is run in vain for it.

        Raises:
            RequestError: If none is left for a while.
        """
        service = self._context.service.name
        patience = self._next_event_by() - now()
        until = now() + min(_MAX_REPEAT_WAIT_S, _REPEAT_WAIT_FRACTION * patience)
        repeat = self._server.budget.reserve(service)
        while repeat is None:
            if now() >= until:
                raise self._failure_error("no repeats are left")
            eventlet.sleep(_REPEAT_PAUSE_S)
            repeat = self._server.budget.reserve(service)
        return repeat

    def _use_permit(self, choice: EngineChoice, exclude: Collection[str]) -> bool:
        """Use the held permit, or acquire one if it is expired or for another engine.

        Args:
            choice: How the engine was chosen.
            exclude: Ids of engines that were left out of the choice.

        Returns:
            Whether the request may be sent to the engine.
        """
        engine, until = self._permit
        self._permit = ("", 0.0)
        if engine == choice.engine.id and now() < until:
            return True
        is_granted = self._reserve(choice, exclude)
        self._permit = ("", 0.0)
        return is_granted

    def _admit(self, choice: EngineChoice) -> None:
        self._admission.check(self._context, choice)

    def _record_start(self) -> None:
        self._admission.record_start(self._context, waited=self._inputs.waited())

    def _run_stages(self, choice: EngineChoice) -> None:
        try:
            self._inputs.run_stages(
                choice,
                deadline_at=self._next_event_by(),
                has_objective=not self._output.has_started,
            )
        except RequestError as error:
            if self._possible_runs:
                # The error says that the request has not run, but an earlier attempt
                # may have run it.
                raise self._failure_error(error.detail) from error
            if error.kind is ErrorKind.DEADLINE_INFEASIBLE:
                self._admission.record_missed(self._context)
                told = self._server.room.tell_return(
                    self._context, room_in=0.0, remaining=self._context.remaining
                )
                if told is not None:
                    error.retry_after = told.seconds
            raise

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

    def _try(self, choice: EngineChoice, repeat: Repeat | None) -> bool:
        """Send the request to an engine and relay its response.

        Args:
            choice: How the engine was chosen.
            repeat: Repeat that the run uses, None for a first attempt.

        Returns:
            Whether the response was relayed completely. Otherwise another engine may
            be tried.
        """
        run = self._make_run(choice, repeat, self._exclude)
        if run is None:
            self._exclude.add(choice.engine.id)
            return False
        if self._inputs.handles is None:
            # An earlier engine has fetched them while this one was asked.
            run.close()
            return False
        self._start(run)
        while self.runs:
            try:
                progress = self._read()
                if progress is not None and self._forward(progress):
                    return True
            except (NotRunError, OutcomeUnknownError) as error:
                for run in list(self.runs):
                    self.end_run(run, error)
        self._check_way_on()
        return False

    def _forward(self, progress: Progress) -> bool:
        """Forward what a run has read; return whether that ends the response."""
        run, events = progress
        if events:
            self._relay(run, events)
            return False
        if not run.response.is_success:
            return self._forward_failure(run)
        self._inputs.drop()
        self._output.finish(run.response, run.remainder)
        is_framed = run.response.head.is_framed
        self._server.crashes.record_success(run.target, [run.work], is_framed=is_framed)
        return True

    def _make_run(
        self, choice: EngineChoice, repeat: Repeat | None, exclude: Collection[str]
    ) -> EngineRun | None:
        """Return a run at an engine, None if the engine may not be used now.

        Args:
            choice: How the engine was chosen.
            repeat: Repeat that the run uses, None for a first attempt.
            exclude: Ids of engines that were left out of the choice.

        Raises:
            RequestError: If the request is quarantined.
        """
        candidate = self._server.candidate(self._context, choice.engine, exclude)
        if candidate is None:
            return None
        if not self._server.resumptions.confirm(self._context, candidate.target):
            return None
        if not self._server.selector.may_send(candidate):
            return None
        if not self._use_permit(choice, exclude):
            return None
        self._check_quarantine()
        # Other streams may have got the engine while this one waited.
        turn = self._server.selector.take_turn(
            candidate, self._context.service, is_repeat=repeat is not None
        )
        if turn is None:
            return None
        return EngineRun(
            self._server, self._context, candidate, choice, repeat=repeat, turn=turn
        )

    def _start(self, run: EngineRun) -> None:
        context = self._context
        dispatch = Dispatch(
            run.target,
            context.remaining,
            context.team,
            context.urgency,
            self._inputs.handles or (),
            self._output.last_id,
        )
        self._was_offered = True
        self.runs.append(run)
        run.start(dispatch, lambda size: self._inputs.release_when_fetched(run, size))

    def _read(self) -> Progress | None:
        """Wait for the next events, and prepare a hedge if the engine is silent.

        Returns:
            The progress of the run that goes on, None if no run is left.

        Raises:
            NotRunError: If the engine did not run the request.
            OutcomeUnknownError: If all open runs have to be closed.
        """
        (run,) = self.runs
        self._reader = eventlet.getcurrent()
        self._server.ongoing_runs.add(self)
        try:
            return Progress(run, run.read(limit=self.read_limit(run)))
        except SilentError:
            return self._read_silent(run)
        finally:
            self._reader = None
            self._server.ongoing_runs.discard(self)

    def _read_silent(self, silent: EngineRun) -> Progress | None:
        """Wait for the next events of a silent run or of a hedge.

        Returns:
            As ``_read``.
        """
        since = now()
        end = _ABANDONED
        self._record_silence(silent)
        try:
            progress = read_hedged(self)
            end = _FAILED
            if progress is not None:
                end = _GOES_ON if progress.run is silent else _HEDGED
                self._keep_only(progress.run)
            return progress
        finally:
            self._server.metrics.count_silence(self._context.route.name, end)
            self._server.logger.info(
                "silence_ended",
                request=self._context.head.id,
                target=silent.id,
                end=end,
                lack=", ".join(self._silence.lacks),
                seconds=round(now() - since, 3),
            )

    def _record_silence(self, run: EngineRun) -> None:
        self._silence = Silence()
        crashes = self._server.crashes
        crashes.record_failure(run.target, [run.work], SILENT)
        self._log_attempt("attempt_silent", run, SILENT, "unknown")

    def _keep_only(self, kept: EngineRun) -> None:
        """Close all runs but one, which goes on with the stream."""
        for run in list(self.runs):
            if run is kept:
                continue
            reason = SILENT if run.is_silent else _OVERTAKEN
            ran = "unknown" if run.is_sent else "no"
            self._log_attempt("attempt_failed", run, reason, ran)
            self._close(run)
            self._possible_runs += run.is_sent
            if run.is_silent:
                self._exclude.add(run.id)
            elif run.is_sent:
                # The engine may go on for a moment after it has lost its caller.
                self._server.crashes.record_abandoned(run.target, run.work)
        # A hedge may have begun to run its stages.
        self._inputs.drop()

    def may_hedge(self) -> bool:
        """Return whether all open runs are silent and another one may be added."""
        are_silent = self.runs and all(run.is_silent for run in self.runs)
        return bool(are_silent) and self._silence.may_hedge and self._may_run_again()

    def prepare_hedge(self) -> EngineRun | None:
        """Start another run, or return None after a pause if there can't be one."""
        try:
            run, lack = self._make_hedge()
        except RequestError as error:
            run, lack = None, error.detail
        if run is not None:
            self._log_attempt("hedge_started", run, "", "no")
            return run
        if self._silence.record_lack(lack):
            self._server.logger.info(
                "hedge_lacking", request=self._context.head.id, lack=lack
            )
        eventlet.sleep(self._silence.next_pause())
        return None

    def _make_hedge(self) -> tuple[EngineRun | None, str]:
        """Start another run with all that it needs.

        Returns:
            The run, or None and what it lacks.

        Raises:
            RequestError: If its stages can't be run, or the request is quarantined.
        """
        repeat = self._server.budget.reserve(self._context.service.name)
        if repeat is None:
            return None, "no repeat is left"
        with contextlib.ExitStack() as stack:
            stack.callback(repeat.cancel)
            choice = self._choose_hedge()
            if choice is None:
                return None, "no other engine responds"
            self._check_quarantine()
            if self._inputs.handles is None:
                self._run_stages(choice)
            if choice.engine.id in self._known_silences().quiet:
                return None, "the engine fell silent too"
            run = self._make_run(choice, repeat, self._excluded_from_hedge())
            if run is None:
                self._silence.skipped.add(choice.engine.id)
                return None, "the engine may not be used"
            if self._inputs.handles is None:
                run.close()
                return None, "the inputs were released"
            self._start(run)
            # The run cancels it unless it is sent.
            stack.pop_all()
            return run, ""

    def _choose_hedge(self) -> EngineChoice | None:
        """Choose an engine that is not silent itself, None if there is none."""
        server = self._server
        used = self._exclude | {run.id for run in self.runs}
        if self._known_silences().responsive <= used:
            return None
        skipped = self._silence.skipped
        choice = server.choose(self._context, self._excluded_from_hedge())
        if choice is None and skipped:
            skipped.clear()
            choice = server.choose(self._context, self._excluded_from_hedge())
        return choice

    def _excluded_from_hedge(self) -> set[str]:
        """Return the ids of the engines that are left out as a hedge is chosen."""
        used = self._exclude | {run.id for run in self.runs}
        return used | self._known_silences().quiet | self._silence.skipped

    def _known_silences(self) -> KnownSilences:
        service = self._context.service.name
        return self._server.known_silences(service, self._event_pause() / 2.0)

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
        """Abort the open runs if the request is quarantined.

        Quarantine of a part aborts no stream that has an event: the part crashes
        engines as they begin to write.
        """
        if self._reader is None or any(run.is_trial for run in self.runs):
            return
        suspects = self._server.crashes.suspects
        is_waiting = all(run.writing_since is None for run in self.runs)
        has_part = checks_parts and is_waiting and self._has_held_part()
        if not has_part and not suspects.is_quarantined(self._context.fingerprint):
            return
        self._record_abandoned()
        eventlet.kill(self._reader, OutcomeUnknownError(_QUARANTINED))

    def _has_held_part(self) -> bool:
        parts = self._server.crashes.parts
        return parts.find_held(self._context.head.shared_parts) is not None

    def _record_abandoned(self) -> None:
        for run in self.runs:
            self._server.crashes.record_abandoned(run.target, run.work)

    def _relay(self, run: EngineRun, events: list[StreamEvent]) -> None:
        """Send events to the caller.

        Raises:
            OutcomeUnknownError: If the engine may run other software by now.
        """
        if run.writing_since is None:
            self._record_first_event(run)
            self._bind(run.target)
        for event in events:
            self._output.send(run.response, event)

    def _record_first_event(self, run: EngineRun) -> None:
        run.record_first_event()
        self._server.logger.info(
            "first_event",
            request=self._context.head.id,
            target=run.id,
            seconds=round(now() - run.started_at, 3),
            expected=round(run.choice.finish_seconds, 3),
            software=run.target.software,
            tokens=run.prompt_tokens,
            since=round(now() - self._context.started_at, 3),
            reading=round(run.choice.engine.speed.reading, 2),
        )
        self._server.record_cached_prefix(run.id, self._context)
        self._inputs.drop()

    def _bind(self, target: Target) -> None:
        """Bind the stream to the software of the engine that sends its first event.

        Raises:
            OutcomeUnknownError: If the engine may run other software by now.
        """
        resumptions = self._server.resumptions
        if resumptions.is_replaced(target):
            raise OutcomeUnknownError(_REPLACED)
        self._context = resumptions.bind(self._context, target)

    def find_fault(self, progress: Progress) -> str:
        """Return why the progress of a run is not for the caller, empty if it is."""
        run, events = progress
        is_first = run.writing_since is None
        if events and is_first and not self._fits(run.target):
            return _REPLACED
        if events or run.response.is_success or self._is_lasting_failure(run):
            return ""
        return f"status {run.response.head.status}"

    def _fits(self, target: Target) -> bool:
        """Return whether an engine's events may follow what the caller has."""
        resumptions = self._server.resumptions
        if resumptions.is_replaced(target):
            return False
        return resumptions.may_run(target, self._context.origin)

    def _is_lasting_failure(self, run: EngineRun) -> bool:
        """Return whether any other engine would respond with a failure too."""
        status = run.response.head.status
        is_lasting = status < _SERVER_ERROR and status not in NOT_RUN_STATUSES
        return is_lasting and not self._output.has_started

    def _forward_failure(self, run: EngineRun) -> bool:
        """Forward a failure unless another engine may do better.

        Returns:
            Whether it was forwarded.
        """
        status = run.response.head.status
        may_forward = status not in NOT_RUN_STATUSES and not self._output.has_started
        if may_forward and (self._is_lasting_failure(run) or not self._may_run_again()):
            self._output.respond(run.response, run.body)
            return True
        self.end_run(run, OutcomeUnknownError(f"status {status}"))
        return False

    def end_run(self, run: EngineRun, error: NotRunError | OutcomeUnknownError) -> None:
        """Close a run that failed, and record what that says of its engine."""
        if isinstance(error, NotRunError):
            self._was_offered = run.is_repeat or not error.is_connection_refused
            self._log_attempt("attempt_failed", run, error.reason, "no", error.status)
            self._close(run)
            self._record_refusal(run, error)
            return
        self._log_attempt("attempt_failed", run, error.reason, "unknown")
        self._close(run)
        crashes = self._server.crashes
        crashes.record_failure(run.target, [run.work], error.reason)
        self._exclude.add(run.id)
        self._possible_runs += 1
        self._keep_failure(run)

    def _keep_failure(self, run: EngineRun) -> None:
        """Keep an engine's own failure, which tells the caller more than ours."""
        is_whole = run.body is not None
        if is_whole and run.response.head.status not in NOT_RUN_STATUSES:
            self._failed_run = run

    def _close(self, run: EngineRun) -> None:
        self.runs.remove(run)
        run.close()

    def _close_runs(self) -> None:
        for run in list(self.runs):
            self._close(run)

    def _record_refusal(self, run: EngineRun, error: NotRunError) -> None:
        if error.status == _CONFLICT:
            # A result was lost with its target before the engine had fetched it.
            self._inputs.forget()
        else:
            self._exclude.add(run.id)
        if self.runs:
            self._silence.refusals += not error.is_connection_refused
            return
        self._refusals += not error.is_connection_refused
        self._refused_connections += error.is_connection_refused

    def _may_run_again(self) -> bool:
        """Return whether another engine may get the request beside the open runs."""
        context = self._context
        return (
            context.route.may_repeat
            and not self._output.has_unnumbered_event
            and self._possible_runs + len(self.runs) < context.route.attempts
            and context.remaining > 0
            and self._has_certain_origin()
        )

    def _has_certain_origin(self) -> bool:
        context = self._context
        return not context.origin or self._server.resumptions.is_certain(context)

    def _check_way_on(self) -> None:
        """Raise an error if the request must not be sent to another engine."""
        if (
            self._refusals > _MAX_REFUSALS
            or self._refused_connections > MAX_REFUSED_CONNECTIONS
        ):
            raise self._failure_error("no engine took the request")
        if not self._possible_runs:
            return
        route = self._context.route
        can_resume = route.may_repeat and not self._output.has_unnumbered_event
        if not can_resume or self._possible_runs >= route.attempts:
            raise self._failure_error("the engine broke off")
        if not self._has_certain_origin():
            raise self._failure_error("which version began the stream is uncertain")

    def _failure_error(self, detail: str) -> RequestError:
        context = self._context
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

    def read_limit(self, run: EngineRun) -> float:
        """Return after how many seconds without an event a run is silent."""
        remaining = self._context.remaining
        if run.is_silent or not self._may_run_again():
            return remaining
        if run.writing_since is not None:
            return min(remaining, self._event_pause())
        limit = _FIRST_EVENT_TIMEOUT_FACTOR * run.choice.finish_seconds
        return min(remaining, max(_MIN_FIRST_EVENT_TIMEOUT_S, limit))

    def _event_pause(self) -> float:
        """Return after how many seconds without an event an engine is silent."""
        gap = _EVENT_TIMEOUT_GAPS * self._context.route.event_gap
        return max(_MIN_EVENT_TIMEOUT_S, gap)

    def _log_held_part(self, held: HeldPart) -> None:
        self._server.logger.warning(
            "part_held_back",
            request=self._context.head.id,
            part=held.part,
            companions=sorted(held.companions)[:MAX_LOGGED_NAMES],
            targets=held.targets[:MAX_LOGGED_NAMES],
        )

    def _log_attempt(
        self, event: str, run: EngineRun, reason: str, ran: str, status: int = 0
    ) -> None:
        context = self._context
        self._server.logger.warning(
            event,
            request=context.head.id,
            work=context.fingerprint,
            parts=context.logged_parts,
            target=run.id,
            reason=reason,
            status=status,
            **run.describe_response(),
            ran=ran,
            last_event=self._output.last_id,
            runs=self._possible_runs,
            repeats=self._server.budget.remaining(context.service.name),
            patience=round(self._next_event_by() - now(), 3),
        )
        if event == "attempt_failed":
            self._server.metrics.count_failed_attempt(context.route.name, reason)
