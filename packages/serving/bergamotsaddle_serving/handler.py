"""Serves callers' requests: routes, authenticates, runs and logs each of them."""

import random
from typing import Any

import eventlet
import msgspec
from greenlet import greenlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_daemon.body_memory import BodyMemory
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.caller import (
    CallerConnection,
    CallerLeftError,
    EvictedError,
    RawRequest,
)
from bergamotsaddle_serving.catalog import (
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Service,
    Team,
)
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.fingerprint import fingerprint
from bergamotsaddle_serving.handover import Handover
from bergamotsaddle_serving.helper_choice import may_relay
from bergamotsaddle_serving.messages import Dialect, RequestHead
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.relay_headers import (
    RelayedRequest,
    decode_request,
    encode_error,
)
from bergamotsaddle_serving.request_times import RequestTimes
from bergamotsaddle_serving.stop_schedule import StopSchedule
from bergamotsaddle_serving.streams import StreamServer
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.view import View

_CLOSING_KINDS = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.TOO_LARGE,
        ErrorKind.HEAD_TOO_LARGE,
        ErrorKind.TOO_SLOW,
    )
)
# Maximum fraction of the remaining time that callers are asked to wait before a retry.
_MAX_RETRY_AFTER_FRACTION = 1 / 3
_COMPLETE = "whole"
# How long a handed-over request waits for the configuration of its sender.
_MAX_VERSION_WAIT_S = 1.0
_VERSION_CHECK_S = 0.02
_NOT_RELAYED = RelayedRequest(sender="", elapsed=0.0, version=0)
_CALLER_LEFT = "caller_left"


class _OutOfTimeError(BergamotsaddleError):
    """The deadline of the request has passed."""


class _StoppingError(BergamotsaddleError):
    """This instance is about to stop."""


class ErrorResponse(msgspec.Struct):
    """Body of the response to a request that failed."""

    kind: str
    ran: str
    detail: str


class Handler:
    """Serves the requests of callers' connections, one after the other on each.

    Args:
        view: Current configuration and targets.
        plain: Serves requests with a single response.
        streams: Serves streaming requests.
        budget: Limits retries; counts requests for that.
        dialect: Decodes heads.
        metrics: Counts outcomes.
        logger: Logs each request.
        policy: Enabled mechanisms.
        suspects: Requests that are suspected of crashing their targets.
        handover: Hands requests over to other instances, None to serve all of them
            here.
        memory: Memory for the responses of targets and of other instances.

    Attributes:
        connections: Open connections of callers.
        active: Number of requests that are being served.
        relayed: Number of these that other instances handed over.
        timer_delay: Seconds by which timers of this process last fired late.
        is_closed: Whether further requests are rejected, because the process exits
            before it could respond to them.
        stop_schedule: Times of the graceful stop, None until it is requested.
        rejected_while_stopping: Number of requests that were rejected for the stop.
        served: Number of requests so far.
        times: How long requests take here.
    """

    def __init__(
        self,
        view: View,
        plain: PlainServer,
        streams: StreamServer,
        budget: RetryBudget,
        dialect: Dialect,
        metrics: Metrics,
        logger: Any,
        policy: Policy = FULL_POLICY,
        *,
        suspects: Suspects,
        handover: Handover | None = None,
        memory: BodyMemory | None = None,
    ) -> None:
        self._memory = memory or BodyMemory()
        self._handover = handover
        self._policy = policy
        self._suspects = suspects
        self._view = view
        self._plain = plain
        self._streams = streams
        self._budget = budget
        self._dialect = dialect
        self._metrics = metrics
        self._logger = logger
        self.connections: set[CallerConnection] = set()
        self.active = 0
        self.relayed = 0
        self.timer_delay = 0.0
        self.is_closed = False
        self.stop_schedule: StopSchedule | None = None
        self.rejected_while_stopping = 0
        self.served = 0
        self.times = RequestTimes()
        self._context_by_worker: dict[greenlet, Context] = {}

    def is_reading(self) -> bool:
        """Return whether a caller has sent a part of a request."""
        return any(not caller.is_idle for caller in self.connections)

    def abort_all(self) -> None:
        """Abort all running requests; the responses say whether they may have run.

        The process is about to be killed. A caller whose connection is merely closed
        does not know whether its request has run, and can't go on if it must not
        repeat it.
        """
        for worker, context in list(self._context_by_worker.items()):
            self._abort(worker, context)

    def reject_waiting(self) -> None:
        """Reject requests that wait for a target and can't end before the exit."""
        if self.stop_schedule is None:
            return
        for worker, context in list(self._context_by_worker.items()):
            may_wait = context.progress.is_sent or self.stop_schedule.may_wait(
                context.deadline_at,
                at=now(),
                shortest=self.times.shortest_run(context.route),
            )
            if not may_wait and self._abort(worker, context):
                self.rejected_while_stopping += 1

    def _abort(self, worker: greenlet, context: Context) -> bool:
        """Abort a request; return False if it has ended or was aborted.

        While others are aborted, it may end, and its green thread reads the next one.
        """
        if self._context_by_worker.get(worker) is not context:
            return False
        del self._context_by_worker[worker]
        eventlet.kill(worker, _StoppingError("stopping"))
        return True

    def limits(self) -> CallerLimits:
        """Return the current limits on callers."""
        configuration = self._view.configuration
        return configuration.limits if configuration else CallerLimits()

    def run(self, caller: CallerConnection) -> None:
        """Serve a connection until it is closed."""
        self.connections.add(caller)
        try:
            while self._serve_next(caller):
                continue
        except (CallerLeftError, EvictedError):
            # The connection ended while a request was being sent, which has not run.
            caller.must_close = True
        finally:
            self.connections.discard(caller)
            caller.close()

    def _serve_next(self, caller: CallerConnection) -> bool:
        raw, error = self._read(caller)
        if error is not None:
            self._refuse_unread(caller, error)
            return False
        if raw is None:
            return False
        self.active += 1
        self.relayed += raw.is_from_peer
        self.served += 1
        try:
            self._serve(caller, raw)
        finally:
            self.active -= 1
            self.relayed -= raw.is_from_peer
            caller.release_request()
        return caller.prepare_next()

    def _read(
        self, caller: CallerConnection
    ) -> tuple[RawRequest | None, RequestError | None]:
        """Return the next request, or why it is refused; neither at the end."""
        try:
            return caller.read(), None
        except RequestError as error:
            # The frames of its traceback refer to what has been read. A copy has none.
            return None, RequestError(
                error.kind, error.detail, ran=error.ran, retry_after=error.retry_after
            )

    def _refuse_unread(self, caller: CallerConnection, error: RequestError) -> None:
        """Respond to a request that has not been read to its end."""
        caller.drop_request()
        self._logger.warning("request_unread", kind=error.kind, reason=error.detail)
        self._metrics.count_unread(error.kind)
        caller.must_close = True
        self._send_error(caller, "", error)
        caller.discard()

    def _serve(self, caller: CallerConnection, raw: RawRequest) -> None:
        started_at = raw.started_at
        read_at = now()
        request_id = ""
        outcome: str = _COMPLETE
        reason = ""
        context = None
        try:
            head = self._dialect.read_head(raw.method, raw.path, raw.headers)
            request_id = head.id
            if raw.is_from_peer:
                self._wait_for_version(raw, head)
            context = self._make_context(head, raw)
            self._check_stop(raw.started_at, context)
            self._check_quarantine(context)
            self._run(caller, context)
        except RequestError as error:
            outcome, reason = error.kind, error.detail
            self._handle_error(caller, request_id, error, context)
        except CallerLeftError:
            outcome = _CALLER_LEFT
            caller.reset()
        except Exception:
            # An unexpected error must not leave the caller without a response.
            outcome = ErrorKind.INTERNAL
            self._logger.exception("request_error", request=request_id)
            reason = "internal error"
            unexpected = RequestError(ErrorKind.INTERNAL, reason)
            self._handle_error(caller, request_id, unexpected, context)
        finally:
            if context is not None:
                context.memory.close()
                self._record_time(context, outcome, now() - read_at)
        seconds = now() - started_at
        self._record_outcome(request_id, context, outcome, seconds, reason=reason)

    def _record_time(self, context: Context, outcome: str, seconds: float) -> None:
        """Record how long a request took, at least."""
        if outcome == _COMPLETE:
            sent_at = context.progress.sent_at
            run = now() - sent_at if sent_at is not None else None
            self.times.record(context.route, seconds, run)
        elif outcome == ErrorKind.DEADLINE_PASSED:
            self.times.record(context.route, seconds, None)

    def _check_stop(self, arrived_at: float, context: Context) -> None:
        """Raise an error if the process may exit before a request has ended."""
        schedule = self.stop_schedule
        may_serve = schedule is None or schedule.may_serve(
            arrived_at,
            context.deadline_at,
            at=now(),
            usual=self.times.usual(context.route),
        )
        if may_serve and not self.is_closed:
            return
        self.rejected_while_stopping += 1
        raise RequestError(ErrorKind.NOT_READY, "stopping")

    def _check_quarantine(self, context: Context) -> None:
        """Raise an error if a request must not reach targets.

        The instance that handed a request over has the permit for its trial.
        """
        suspects = self._suspects
        if context.is_relayed:
            may_enter = not suspects.is_quarantined(context.fingerprint)
        else:
            may_enter = suspects.may_enter(context.fingerprint)
        if not may_enter:
            raise context.quarantine_error()

    def _run(self, caller: CallerConnection, context: Context) -> None:
        worker = eventlet.getcurrent()

        def dispatch() -> None:
            limit = max(0.001, context.remaining)
            try:
                with eventlet.Timeout(limit, _OutOfTimeError("")):
                    self._dispatch(caller, context)
            finally:
                # An abort would reset the connection behind a complete response.
                self._context_by_worker.pop(worker, None)

        self._context_by_worker[worker] = context
        try:
            caller.run_while_connected(dispatch)
        except _OutOfTimeError as error:
            raise context.abort_error(
                ErrorKind.DEADLINE_PASSED, "out of time"
            ) from error
        except _StoppingError as error:
            raise context.abort_error(ErrorKind.TARGET_FAILED, "stopping") from error
        finally:
            self._context_by_worker.pop(worker, None)

    def _dispatch(self, caller: CallerConnection, context: Context) -> None:
        handover = self._handover
        if handover is None:
            self._serve_here(caller, context)
            return
        if handover.is_needed(context):
            self._hand_over(caller, context)
            return
        try:
            self._serve_here(caller, context)
        except RequestError as error:
            # The targets may have become unreachable while the request waited.
            if caller.has_started or not handover.may_follow(error, context):
                raise
            self._hand_over(caller, context)

    def _hand_over(self, caller: CallerConnection, context: Context) -> None:
        self._handover.serve(
            context, caller, serve_here=lambda rest: self._run_here(caller, rest)
        )

    def _serve_here(self, caller: CallerConnection, context: Context) -> None:
        service = context.service.name
        if not context.earlier_runs:
            self._budget.count_request(service)
            self._run_here(caller, context)
            return
        repeat = self._budget.reserve(service)
        if repeat is None:
            raise context.rejection_error(ErrorKind.OVERLOADED, "no repeats are left")
        try:
            self._run_here(caller, context)
        except RequestError as error:
            if error.ran is Ran.NO and not context.progress.is_sent:
                repeat.cancel()
            raise

    def _run_here(self, caller: CallerConnection, context: Context) -> None:
        if context.route.kind is Kind.STREAM:
            self._streams.serve(context, caller)
            return
        self._plain.serve(context).send_to(caller)

    def _make_context(self, head: RequestHead, raw: RawRequest) -> Context:
        configuration = self._view.configuration
        if configuration is None or not self._view.is_complete():
            raise RequestError(ErrorKind.NOT_READY, "no configuration is known yet")
        relayed = self._check_relayed(configuration, raw)
        started_at = raw.started_at - relayed.elapsed
        path = head.path.partition(b"?")[0].decode("latin-1")
        route = configuration.find_route(head.host, path)
        if route is None:
            raise RequestError(ErrorKind.NOT_FOUND, "no route leads there")
        team = self._authenticate(configuration, route, head)
        service = self._pick_service(configuration, route)
        context = Context(
            head=_at_last_event(head, relayed),
            body=raw.body,
            route=route,
            service=service,
            team=team,
            started_at=started_at,
            deadline_at=started_at + min(head.deadline, route.timeout),
            version=configuration.version,
            urgency=self._urgency(configuration, route, team),
            progress=Progress(),
            fingerprint=fingerprint(head, team, raw.body),
            headers=raw.headers,
            sender=relayed.sender,
            memory=self._memory.open(),
        )
        return _within_runs(context, relayed) if relayed.sender else context

    def _wait_for_version(self, raw: RawRequest, head: RequestHead) -> None:
        """Wait until this instance has the configuration of a request's sender.

        A change reaches instances at different times, and all helpers may still lack
        it. It arrives within the bound on changes.
        """
        version = decode_request(raw.headers).version
        until = now() + min(_MAX_VERSION_WAIT_S, head.deadline / 3.0)
        while self._known_version() < version and now() < until:
            if self.is_closed:
                return
            eventlet.sleep(_VERSION_CHECK_S)

    def _known_version(self) -> int:
        configuration = self._view.configuration
        return configuration.version if configuration is not None else 0

    def _check_relayed(
        self, configuration: Configuration, raw: RawRequest
    ) -> RelayedRequest:
        """Return what a handed-over request says, or the values of a caller's own.

        Raises:
            RequestError: If this instance can't serve it for the sender.
        """
        if not raw.is_from_peer:
            return _NOT_RELAYED
        relayed = decode_request(raw.headers)
        if configuration.version < relayed.version:
            # The sender accepted it by a newer configuration, which no later response
            # may contradict.
            raise RequestError(ErrorKind.NOT_READY, "the configuration is too old")
        local = self.active - self.relayed
        if not may_relay(relayed=self.relayed - 1, local=local, delay=self.timer_delay):
            raise RequestError(ErrorKind.OVERLOADED, "too many handed-over requests")
        return relayed

    def _urgency(
        self, configuration: Configuration, route: Route, team: Team | None
    ) -> int:
        if self._policy.has(Mechanism.ROUTE_RANKS):
            return configuration.urgency(route, team)
        if team is not None and team.priority is not None:
            return team.priority
        return route.priority

    def _authenticate(
        self, configuration: Configuration, route: Route, head: RequestHead
    ) -> Team | None:
        team = configuration.team_by_key.get(head.key) if head.key else None
        if route.is_public or not configuration.has_teams:
            return team
        if team is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "expected a team's key")
        return team

    def _pick_service(self, configuration: Configuration, route: Route) -> Service:
        shares = route.shares
        name = shares[0].service
        if len(shares) > 1:
            weights = [share.weight for share in shares]
            name = random.choices(shares, weights)[0].service
        service = configuration.services_by_name.get(name)
        if service is None:
            raise RequestError(ErrorKind.NO_TARGET, f"service {name} isn't declared")
        return service

    def _handle_error(
        self,
        caller: CallerConnection,
        request_id: str,
        error: RequestError,
        context: Context | None,
    ) -> None:
        if caller.has_started:
            # The head that was sent says success. Only a reset connection tells the
            # caller that the response is incomplete.
            caller.reset()
            return
        if error.retry_after is not None and context is not None:
            max_retry_after = max(0.0, context.remaining * _MAX_RETRY_AFTER_FRACTION)
            error.retry_after = min(error.retry_after, max_retry_after)
        self._send_error(caller, request_id, error)

    def _send_error(
        self, caller: CallerConnection, request_id: str, error: RequestError
    ) -> None:
        headers = [(b"content-type", b"application/json")]
        if caller.is_peer:
            headers += encode_error(error)
        if request_id:
            headers.append((b"x-request-id", request_id.encode("latin-1")))
        if error.retry_after is not None and error.ran is Ran.NO:
            seconds = max(0.0, error.retry_after)
            headers.append((b"retry-after", b"%.3f" % seconds))
        if error.kind in _CLOSING_KINDS:
            caller.must_close = True
        body = msgspec.json.encode(ErrorResponse(error.kind, error.ran, error.detail))
        try:
            caller.respond(error.status, headers, body)
        except CallerLeftError:
            # The caller is gone. The outcome of the request is logged all the same.
            caller.reset()

    def _record_outcome(
        self,
        request_id: str,
        context: Context | None,
        outcome: str,
        seconds: float,
        *,
        reason: str,
    ) -> None:
        route = context.route.name if context else ""
        self._metrics.count_request(route, outcome, seconds)
        log = self._logger.info if outcome == _COMPLETE else self._logger.warning
        log(
            "request",
            request=request_id,
            route=route,
            team=context.team.name if context and context.team else "",
            work=context.fingerprint if context else "",
            parts=context.logged_parts if context else (),
            outcome=str(outcome),
            reason=reason,
            seconds=round(seconds, 4),
            left=round(context.remaining, 3) if context else 0.0,
            version=context.version if context else 0,
            sender=context.sender if context else "",
        )


def _at_last_event(head: RequestHead, relayed: RelayedRequest) -> RequestHead:
    """Return the head of a request for the rest of a stream that broke off."""
    if relayed.last_event is None:
        return head
    return head._replace(
        last_event_id=relayed.last_event,
        resumed_request=head.resumed_request or head.id,
    )


def _within_runs(context: Context, relayed: RelayedRequest) -> Context:
    """Return a handed-over request that runs no more often than its sender allows.

    The configuration may have changed since the sender accepted it, in which case the
    lower number of runs counts.

    Args:
        context: The request by the configuration of this instance.
        relayed: What its sender says.

    Raises:
        RequestError: If it may have run as often as it may.
    """
    runs = context.route.max_runs
    if relayed.max_runs is not None:
        runs = min(runs, relayed.max_runs)
    if relayed.runs and relayed.runs >= runs:
        raise context.rejection_error(ErrorKind.NO_TARGET, "it may not run again")
    context = context._replace(route=context.route._replace(attempts=runs))
    return context.after_runs(relayed.runs) if relayed.runs else context
