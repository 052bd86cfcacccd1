"""Runs one request for a plain service at one target or at several."""

import contextlib
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

import eventlet

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
    Attempt,
    NotRunError,
    OutcomeUnknownError,
    Response,
    SilentError,
)
from bergamotsaddle_serving.budget import ColdTurn
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.client import (
    SILENT,
    UNFINISHED,
    end_to_end_headers,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.admission import add_jitter
from bergamotsaddle_serving.decisions.hedge_timer import hedge_delay, usual_or_assumed
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.messages import Dispatch, RawHeaders
from bergamotsaddle_serving.placement_exchange import (
    GrantedPlace,
    PlacementRefusedError,
)
from bergamotsaddle_serving.race import Finish, Race
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.suspect_parts import Work

if TYPE_CHECKING:
    from bergamotsaddle_serving.plain import PlainServer

_MAX_RESPONSE_BYTES = 64_000_000
_SERVER_ERROR = 500
# A target that takes this many times its usual time has lost the request, or is so slow
# that another one is expected to respond earlier.
_SLOW_FACTOR = 5.0
_MIN_TIMEOUT_S = 0.3
# Refusals after which no further target is tried.
_MAX_REFUSALS = 3
# Pause of a request whose run broke off if no other one can follow; it doubles up to
# the maximum.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.4
# The target that broke off is not tried again for this long.
_BROKEN_PAUSE_S = 0.5
# The response of a target that failed is forwarded so long before the deadline.
_FORWARD_S = 0.02
# A hedge leaves a repeat to requests that fail: a lost response is worse than a slow
# one.
_MIN_HEDGE_REPEATS = 2
_OVERTAKEN = "overtaken"
# How a hedge ends.
_WON = "won"
_LOST = "lost"
_NO_TARGET = "no target"
_LIMITED = "limited"


class CompleteResponse(NamedTuple):
    """A target's complete response, ready to be forwarded.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body.
        size: Size of the body as stated, None if it is not.
    """

    status: int
    headers: RawHeaders
    body: bytes
    size: int | None = None

    def send_to(self, caller: CallerConnection) -> None:
        """Send it to a caller."""
        caller.respond(self.status, self.headers, self.body, size=self.size)


class LongResponse:
    """A response whose body is too large to be held, but states its length.

    It is relayed as it arrives. Only one with a length is: it ends, and it is complete
    if it has that length. So no target gets the request behind it, and if it breaks
    off, the caller gets a part that does not look complete.

    Args:
        run: The run that reads it.
        response: Its head.
        size: Size of its body.

    Attributes:
        run: The run that reads it.
        status: HTTP status.
    """

    def __init__(self, run: "_TargetRun", response: Response, size: int) -> None:
        self.run = run
        self.status = response.head.status
        self._head = response.head
        self._size = size

    def send_to(self, caller: CallerConnection) -> None:
        """Relay it to a caller.

        Raises:
            RequestError: If it breaks off.
        """
        headers = list(end_to_end_headers(self._head.headers))
        length = (b"content-length", b"%d" % self._size)
        try:
            caller.start(self.status, [*headers, length])
            for data in self.run.read_parts():
                caller.send(data)
            caller.finish()
        except OutcomeUnknownError as error:
            self.run.record_break(error.reason)
            raise RequestError(
                ErrorKind.TARGET_FAILED, "the target broke off", ran=Ran.UNKNOWN
            ) from error
        finally:
            self.run.close()


class _TargetRun:
    """One run of a request at one target.

    Args:
        server: The server that the request came to.
        context: The request.
        candidate: The target.
        turn: The run's turn at the target, which may be cold.

    Attributes:
        target: The target.
        state: State of the target as this instance observes it.
        limit: Seconds after which the target is slow.
        is_slow: Whether it has been slow.
        place: Place that the owner of the service's queue granted, None without one.
    """

    def __init__(
        self,
        server: "PlainServer",
        context: Context,
        candidate: Candidate,
        turn: ColdTurn,
    ) -> None:
        self._server = server
        self._context = context
        self._candidate = candidate
        self._turn = turn
        self.target = candidate.target
        self.state = candidate.state
        self.limit = max(_MIN_TIMEOUT_S, _SLOW_FACTOR * self.state.latency)
        self._closing = contextlib.ExitStack()
        attempt = Attempt(context, self.state, server.pool, server.dialect)
        self._attempt = self._closing.enter_context(attempt)
        self.is_slow = False
        self.place: GrantedPlace | None = None
        self._seconds: float | None = None
        self._is_sent = False
        self._response: Response | None = None
        self._head_seconds = 0.0
        # Size of a body that is relayed as it arrives, None if it is held.
        self._long_size: int | None = None

    def read(self) -> CompleteResponse | LongResponse:
        """Send the request, unless it has been sent, and read its response.

        The body of a long response is still to be read then.

        Raises:
            NotRunError: If the target did not run the request.
            SilentError: If it is slow. Reading may go on after that.
            OutcomeUnknownError: If it may have run the request.
        """
        limit = min(self.limit, self._context.remaining)
        try:
            if self._response is None:
                self._response = self._read_response(limit)
                self._head_seconds = now() - self._attempt.started_at
                self._long_size = self._find_long_size(self._response)
            if self._long_size is not None:
                return LongResponse(self, self._response, self._long_size)
            body = self._attempt.read_body(limit=limit, max_bytes=_MAX_RESPONSE_BYTES)
        except SilentError:
            self.is_slow = True
            raise
        response = self._response
        if response.head.status in NOT_RUN_STATUSES:
            raise OutcomeUnknownError(f"status {response.head.status}")
        if not response.head.is_framed and self._context.head.method != b"HEAD":
            self._check_unframed()
        seconds = now() - self._attempt.started_at
        self.state.record_success(seconds)
        if response.is_success:
            # A target that fails at once must not look fast to the owner.
            self._seconds = seconds
            self._server.crashes.record_success(
                self.target, [self.work()], is_framed=response.head.is_framed
            )
        headers = list(end_to_end_headers(response.head.headers))
        size = response.head.body_bytes
        return CompleteResponse(response.head.status, headers, body, size)

    def read_parts(self) -> Iterator[bytes]:
        """Yield the parts of the body of a long response as they arrive.

        Raises:
            OutcomeUnknownError: If it breaks off.
        """
        attempt = self._attempt
        while True:
            data = attempt.read_some(limit=self._context.remaining)
            if data is None:
                break
            yield data
        attempt.finish_stream(is_whole=True)
        # The body arrives at the pace of its caller.
        self.state.record_success(self._head_seconds)
        if self._response.is_success:
            self._server.crashes.record_success(
                self.target, [self.work()], is_framed=True
            )

    def record_break(self, reason: str) -> None:
        """Record that a long response broke off."""
        self.log_failure(reason, "unknown", others=())
        self._server.crashes.record_failure(self.target, [self.work()], reason)

    def log_failure(
        self, reason: str, ran: str, *, others: Sequence[str], status: int = 0
    ) -> None:
        """Log that the run has failed.

        Args:
            reason: One word for logs.
            ran: Whether the target ran the request.
            others: Ids of targets that still run it.
            status: Status with which the target rejected it, 0 if it did not.
        """
        context = self._context
        self._server.logger.warning(
            "attempt_failed",
            request=context.head.id,
            work=context.fingerprint,
            target=self.target.id,
            reason=reason,
            status=status,
            **self._attempt.describe_response(),
            ran=ran,
            in_flight=self.state.in_flight,
            open=others,
        )

    def _find_long_size(self, response: Response) -> int | None:
        """Return the size of a body that can't be held, None if it can or has none.

        Raises:
            OutcomeUnknownError: If it is larger than any response may be, or belongs to
                a failure, which is forwarded only if no other target responds.
        """
        head = response.head
        size = head.body_bytes
        is_short = size is None or self._context.memory.may_take(size)
        if is_short or self._context.head.method == b"HEAD":
            return None
        if size > _MAX_RESPONSE_BYTES:
            self._attempt.refuse_body(size)
        if head.status >= _SERVER_ERROR or head.status in NOT_RUN_STATUSES:
            raise OutcomeUnknownError(f"status {head.status}")
        return size

    def read_to_end(self) -> CompleteResponse | LongResponse:
        """Do the same for as long as the caller waits, however slow the target is."""
        while True:
            try:
                return self.read()
            except SilentError:
                if self._context.remaining <= 0:
                    raise

    def work(self) -> Work:
        """Return what the target runs."""
        head = self._context.head
        return Work(
            self._context.fingerprint,
            started_at=self._attempt.started_at,
            request=head.id,
        )

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        self._turn.cancel()
        self._closing.close()
        if self.place is not None:
            self.place.end(self._seconds, since=self._attempt.started_at)

    def _read_response(self, limit: float) -> Response:
        if self._is_sent:
            return self._attempt.read_response(limit=limit)
        self._is_sent = True
        dispatch = Dispatch(self.target, self._context.remaining, self._context.team)
        return self._attempt.send(
            dispatch,
            limit=limit,
            may_send=self._may_send,
        )

    def _may_send(self) -> bool:
        """Return whether the target may get the request, and count it if it may."""
        may_send = self._server.selector.may_send(self._candidate)
        if may_send:
            self._turn.use()
        return may_send

    def _check_unframed(self) -> None:
        """Raise an error if an unframed response ended as its target crashed."""
        request = self._context.head.id
        if self._server.crashes.has_ended_with_target(self.target, request):
            self.state.record_failure(is_certain=False)
            raise OutcomeUnknownError(UNFINISHED)


class PlainRun:
    """State of one request for a plain service while it is served.

    A target that is slow keeps the request while another one gets it as well: the first
    complete response counts, and nothing is given up for a target that may refuse it.

    Args:
        server: The server that the request came to.
        context: The request.
    """

    def __init__(self, server: "PlainServer", context: Context) -> None:
        self._server = server
        self._context = context
        self._race: Race[CompleteResponse | LongResponse] = Race()
        self._open_by_id: dict[str, _TargetRun] = {}
        self._tried: set[str] = set()
        self._broken_at_by_id: dict[str, float] = {}
        self._place_by_id: dict[str, GrantedPlace] = {}
        self._turn_by_id: dict[str, ColdTurn] = {}
        self._failure: CompleteResponse | None = None
        # Runs that have ended and may have run the request.
        self._ended = 0
        self._refusals = 0
        self._refused_connections = 0
        self._pause_seconds = _FIRST_PAUSE_S
        # Seconds after which the last target that was tried is slow.
        self._limit = _MIN_TIMEOUT_S
        # Target of the hedge, empty if there is none.
        self._hedge = ""
        # Target whose response ends the request.
        self._winner = ""

    def run(self) -> CompleteResponse | LongResponse:
        """Return the response to the request; a long one is to be sent at once.

        Raises:
            RequestError: If there is none; it says whether the request may have run.
        """
        try:
            with self._race:
                response = self._advance()
                while response is None:
                    response = self._advance()
            if isinstance(response, LongResponse):
                self._winner = response.run.target.id
                del self._open_by_id[self._winner]
            for run in self._open_by_id.values():
                self._record_slower(run)
            return response
        except RequestError:
            raise
        except BergamotsaddleError:
            # The caller left or the deadline passed while targets worked on it.
            for run in self._open_by_id.values():
                self._server.crashes.record_abandoned(run.target, run.work())
            raise
        finally:
            for run in self._open_by_id.values():
                run.close()
            if self._hedge:
                self._record_hedge(_WON if self._winner == self._hedge else _LOST)

    def _advance(self) -> CompleteResponse | LongResponse | None:
        """Start another run or wait for one; return the response if that ends it."""
        if self._failure is not None and self._context.remaining <= _FORWARD_S:
            return self._failure
        candidate = self._choose()
        if candidate is not None:
            finish = self._start(candidate)
        elif self._open_by_id:
            finish = self._wait()
        elif self._may_follow():
            self._pause()
            return None
        else:
            return self._finish_failed()
        return self._handle(finish) if finish is not None else None

    def _choose(self) -> Candidate | None:
        """Return another target for the request, None if none may get it now.

        A permit and a repeat are held for it then.
        """
        if not self._may_add():
            return None
        repeat = None
        if self._open_by_id or self._ended or self._refusals:
            repeat = self._server.budget.reserve(self._context.service.name)
            if repeat is None:
                return None
        try:
            candidate = self._reserve_target()
            if candidate is not None and repeat is not None:
                repeat.use()
            return candidate
        finally:
            # The caller may leave while the request waits for a place.
            if repeat is not None:
                repeat.cancel()

    def _may_add(self) -> bool:
        """Return whether another target may get the request."""
        if (
            self._context.remaining <= 0
            or self._refusals >= _MAX_REFUSALS
            or self._refused_connections > MAX_REFUSED_CONNECTIONS
        ):
            return False
        return not (self._open_by_id or self._ended) or self._may_repeat()

    def _may_repeat(self) -> bool:
        """Return whether the request may run once more."""
        route = self._context.route
        runs = self._ended + len(self._open_by_id)
        return (
            route.may_repeat
            and runs < route.attempts
            and not self._server.suspects.is_quarantined(self._context.fingerprint)
        )

    def _reserve_target(self) -> Candidate | None:
        context = self._context
        selector = self._server.selector
        denied: set[str] = set()
        try:
            candidate = self._place()
        except PlacementRefusedError as error:
            if self._ended:
                return None
            raise context.rejection_error(
                ErrorKind.DEADLINE_INFEASIBLE,
                "the service has too many requests to respond in time",
                retry_after=error.retry_after,
            ) from error
        # The request may have waited for a place.
        if candidate is not None or context.remaining <= 0:
            return candidate
        while True:
            candidate = self._pick(self._tried | denied)
            if candidate is None or not selector.may_send(candidate):
                return None
            has_permit = selector.reserve(candidate, context.head.id, context.urgency)
            # Others may have got the target while the permit was on its way.
            if has_permit and self._take_turn(candidate):
                return candidate
            denied.add(candidate.target.id)

    def _take_turn(self, candidate: Candidate) -> bool:
        """Take the turn of the request at a target; return whether it may be sent."""
        is_repeat = bool(self._open_by_id or self._ended or self._refusals)
        turn = self._server.selector.take_turn(
            candidate, self._context.service, is_repeat=is_repeat
        )
        if turn is None:
            return False
        self._turn_by_id[candidate.target.id] = turn
        return True

    def _place(self) -> Candidate | None:
        """Return the target that the owner of the service's queue grants, if any.

        A further run beside an open one is not placed: it would keep the request from
        the response of the open run.

        Raises:
            PlacementRefusedError: If the request would be late.
        """
        context = self._context
        placement = self._server.placement
        if placement is None or self._open_by_id:
            return None
        if self._server.suspects.is_suspect(context.fingerprint):
            return None
        exclude = self._tried | self._broken_at_by_id.keys()
        place = placement.place(context, exclude)
        if place is None:
            return None
        candidate = None
        try:
            candidate = self._confirm(place.candidate, exclude)
        finally:
            if candidate is None:
                place.end()
        if candidate is not None:
            self._place_by_id[candidate.target.id] = place
        return candidate

    def _confirm(self, granted: Candidate, exclude: set[str]) -> Candidate | None:
        """Return a granted target as it is now, None if it may not get the request.

        While the request waited for its place, the target may have turned silent or
        used up what it takes while it is cold, and the request may have become one
        under which targets end.

        Args:
            granted: The target as it was granted.
            exclude: Ids of targets that were not to be granted.

        Raises:
            RequestError: If the request is quarantined, and has not run.
        """
        context = self._context
        suspects = self._server.suspects
        if not self._ended and suspects.is_quarantined(context.fingerprint):
            raise context.quarantine_error()
        if suspects.is_suspect(context.fingerprint) or context.remaining <= 0:
            return None
        selector = self._server.selector
        service = context.service.name
        name = granted.target.id
        candidate = selector.find(service, name, exclude)
        if candidate is None or candidate.state.silent:
            return None
        if not selector.may_send(candidate):
            return None
        if not selector.reserve(candidate, context.head.id, context.urgency):
            return None
        # The permit may have taken a while as well.
        candidate = selector.find(service, name, exclude)
        if candidate is None or not self._take_turn(candidate):
            return None
        return candidate

    def _pick(self, exclude: set[str]) -> Candidate | None:
        """Return a target that is not silent, or any if the request waits at none.

        One that broke off comes last.
        """
        others = exclude | self._broken_at_by_id.keys()
        candidate = self._pick_responsive(others)
        if candidate is not None or self._open_by_id:
            return candidate
        since = now() - _BROKEN_PAUSE_S
        recent = {name for name, at in self._broken_at_by_id.items() if at > since}
        return self._pick_except(others) or self._pick_except(exclude | recent)

    def _pick_responsive(self, exclude: set[str]) -> Candidate | None:
        while True:
            candidate = self._pick_except(exclude)
            if candidate is None or not _is_silent(candidate.state):
                return candidate
            exclude = exclude | {candidate.target.id}

    def _pick_except(self, exclude: set[str]) -> Candidate | None:
        context = self._context
        selector = self._server.selector
        if self._server.suspects.is_suspect(context.fingerprint):
            return selector.pick_least_loaded(
                context.service.name, exclude, context.fingerprint
            )
        return selector.pick(context.service.name, exclude)

    def _start(
        self, candidate: Candidate
    ) -> Finish[CompleteResponse | LongResponse] | None:
        """Send the request to a target.

        Returns:
            The end of a run, None if all targets are slow.
        """
        name = candidate.target.id
        self._tried.add(name)
        turn = self._turn_by_id.pop(name)
        run = _TargetRun(self._server, self._context, candidate, turn)
        run.place = self._place_by_id.pop(name, None)
        self._limit = run.limit
        is_alone = not self._open_by_id
        self._open_by_id[name] = run
        if is_alone and not candidate.is_cold and self._may_hedge():
            return self._read_hedged(run)
        if is_alone:
            try:
                return Finish(name, run.read())
            except SilentError:
                self._race.start(name, run.read_to_end)
                return None
            except (NotRunError, OutcomeUnknownError) as error:
                return Finish(name, None, error)
        self._race.start(name, run.read_to_end)
        return self._wait()

    def _may_hedge(self) -> bool:
        """Return whether a second target may get the request before the first is slow.

        A request under which targets have ended runs at one target at a time.
        """
        fingerprint = self._context.fingerprint
        return (
            self._server.hedges is not None
            and self._may_repeat()
            and not self._server.suspects.is_suspect(fingerprint)
        )

    def _read_hedged(
        self, run: _TargetRun
    ) -> Finish[CompleteResponse | LongResponse] | None:
        """Read a response, and send the request to a second target if it is late.

        Returns:
            The end of a run, None if all targets are slow.
        """
        context = self._context
        objective = context.route.objective
        observed = self._server.selector.usual_seconds(context.service.name)
        usual = usual_or_assumed(observed, objective)
        due = context.started_at + objective - now()
        delay = hedge_delay(usual, due)
        self._race.start(run.target.id, run.read_to_end)
        if delay >= run.limit:
            return self._wait()
        finish = self._race.wait(timeout=min(delay, context.remaining))
        if finish is not None:
            return finish
        if not self._may_send_hedge():
            left = min(run.limit - delay, context.remaining)
            return self._race.wait(timeout=max(0.0, left))
        finish = self._race.wait(timeout=0)
        if finish is not None:
            return finish
        self._start_hedge(run, delay)
        return self._wait()

    def _may_send_hedge(self) -> bool:
        """Return whether another target is free, and repeats and a hedge are left.

        The hedge is requested last, since that uses it up.
        """
        found = self._pick_responsive(self._tried | self._broken_at_by_id.keys())
        service = self._context.service.name
        repeats = self._server.budget.remaining(service)
        if found is None or not found.has_free_slot or repeats < _MIN_HEDGE_REPEATS:
            self._record_hedge(_NO_TARGET)
            return False
        if not self._server.hedges.request(service):
            self._record_hedge(_LIMITED)
            return False
        return True

    def _start_hedge(self, first: _TargetRun, delay: float) -> None:
        """Send the request to a second target, if a repeat is left."""
        candidate = self._choose()
        if candidate is None:
            self._record_hedge(_NO_TARGET)
            return
        name = candidate.target.id
        self._hedge = name
        self._tried.add(name)
        turn = self._turn_by_id.pop(name)
        run = _TargetRun(self._server, self._context, candidate, turn)
        self._open_by_id[name] = run
        self._limit = run.limit
        self._race.start(name, run.read_to_end)
        self._server.logger.info(
            "request_hedged",
            request=self._context.head.id,
            target=first.target.id,
            hedge=name,
            seconds=round(delay, 3),
        )

    def _record_hedge(self, end: str) -> None:
        context = self._context
        self._server.metrics.count_hedge(context.route.name, end)
        self._server.logger.info(
            "hedge_ended", request=context.head.id, target=self._hedge, end=end
        )

    def _wait(self) -> Finish[CompleteResponse | LongResponse] | None:
        """Return the end of a run, None if all targets are slow."""
        left = self._context.remaining
        if self._failure is not None:
            left -= _FORWARD_S
        return self._race.wait(timeout=max(0.0, min(self._limit, left)))

    def _handle(
        self, finish: Finish[CompleteResponse | LongResponse]
    ) -> CompleteResponse | LongResponse | None:
        """Handle the end of a run; return the response that ends the request."""
        if isinstance(finish.value, LongResponse):
            # Its run is open until the response has been sent.
            return finish.value
        run = self._open_by_id.pop(finish.name)
        run.close()
        try:
            response = finish.result()
        except NotRunError as error:
            self._log_failed_attempt(run, error.reason, "no", error.status)
            self._refusals += not error.is_connection_refused
            self._refused_connections += error.is_connection_refused
            return None
        except OutcomeUnknownError as error:
            self._log_failed_attempt(run, error.reason, "unknown")
            self._ended += 1
            self._broken_at_by_id[run.target.id] = now()
            crashes = self._server.crashes
            crashes.record_failure(run.target, [run.work()], error.reason)
            return None
        self._ended += 1
        if response.status < _SERVER_ERROR:
            self._winner = finish.name
            return response
        self._failure = response
        return None

    def _may_follow(self) -> bool:
        """Return whether another run may follow the one that broke off, a bit later."""
        left = self._context.remaining
        is_unknown = self._ended > 0 and self._failure is None
        return is_unknown and left > 0 and self._may_repeat()

    def _pause(self) -> None:
        """Wait a bit for a target, a permit or a repeat, and try all targets again."""
        eventlet.sleep(min(self._pause_seconds, self._context.remaining))
        self._pause_seconds = min(_MAX_PAUSE_S, 2.0 * self._pause_seconds)
        self._tried.clear()
        # One more target may reject it, so that it does not use up the repeats.
        self._refusals = min(self._refusals, _MAX_REFUSALS - 1)
        self._refused_connections = 0

    def _finish_failed(self) -> CompleteResponse:
        """Return the response of a target that failed, if there is one.

        Raises:
            RequestError: If there is none.
        """
        if self._failure is not None:
            return self._failure
        context = self._context
        if not self._ended:
            wait = self._server.selector.permit_wait(context.service.name)
            raise context.rejection_error(
                ErrorKind.NO_TARGET,
                "no target took the request",
                retry_after=add_jitter(wait),
            )
        raise RequestError(
            ErrorKind.TARGET_FAILED, "the target broke off", ran=Ran.UNKNOWN
        )

    def _record_slower(self, run: _TargetRun) -> None:
        """Record a run that another one has overtaken."""
        crashes = self._server.crashes
        if run.is_slow:
            self._log_failed_attempt(run, SILENT, "unknown")
            crashes.record_failure(run.target, [run.work()], SILENT)
        else:
            self._log_failed_attempt(run, _OVERTAKEN, "unknown")
            crashes.record_abandoned(run.target, run.work())

    def _log_failed_attempt(
        self, run: _TargetRun, reason: str, ran: str, status: int = 0
    ) -> None:
        run.log_failure(reason, ran, others=list(self._open_by_id), status=status)


def _is_silent(state: TargetState) -> bool:
    """Return whether requests wait at a target that responds to none."""
    return state.silent > 0 and now() - state.last_seen_at > _MIN_TIMEOUT_S
