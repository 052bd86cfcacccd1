"""Serves requests for plain services: complete responses, retried where allowed."""

from typing import Any

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.admission import add_jitter
from bergamotsaddle_serving.attempt import (
    MAX_REFUSED_CONNECTIONS,
    NOT_RUN_STATUSES,
    Attempt,
    NotRunError,
    OutcomeUnknownError,
)
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.client import (
    UNFINISHED,
    ConnectionPool,
    end_to_end_headers,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.messages import Dialect, Dispatch, RawHeaders
from bergamotsaddle_serving.selector import Candidate, Selector
from bergamotsaddle_serving.suspect_parts import Work
from bergamotsaddle_serving.target_crashes import TargetCrashes

_MAX_RESPONSE_BYTES = 64_000_000
_SERVER_ERROR = 500
# A target that takes this many times its usual time has lost the request, or is so slow
# that another one is expected to respond earlier.
_SLOW_FACTOR = 5.0
_MIN_TIMEOUT_S = 0.3
# Refusals after which a request that no target ran is rejected.
_MAX_REFUSALS = 3


class CompleteResponse:
    """A target's complete response, ready to be forwarded.

    Args:
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete body.
    """

    def __init__(self, status: int, headers: RawHeaders, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class PlainServer:
    """Serves requests that have a single, complete response.

    Args:
        selector: Selects targets.
        pool: Connections to targets.
        budget: Limits retries.
        dialect: Makes headers.
        logger: Logs failed attempts.
        crashes: Detects crashed targets and the requests that they were running.
    """

    def __init__(
        self,
        selector: Selector,
        pool: ConnectionPool,
        budget: RetryBudget,
        dialect: Dialect,
        logger: Any,
        *,
        crashes: TargetCrashes,
    ) -> None:
        self._suspects = crashes.suspects
        self._crashes = crashes
        self._selector = selector
        self._pool = pool
        self._budget = budget
        self._dialect = dialect
        self._logger = logger

    def serve(self, context: Context) -> CompleteResponse:
        """Return the response to a request.

        Raises:
            RequestError: If there is none; it says whether the request may have run.
        """
        tried: set[str] = set()
        denied: set[str] = set()
        failure: CompleteResponse | None = None
        runs = 0
        refusals = 0
        refused_connections = 0
        while True:
            is_repeat = runs + refusals > 0
            candidate = self._next_candidate(
                context, tried, denied, is_repeat=is_repeat
            )
            if candidate is None:
                return self._finish_failed(context, failure, runs)
            tried.add(candidate.target.id)
            can_repeat = context.route.may_repeat and runs + 1 < context.route.attempts
            sent_at = now()
            try:
                response = self._try(
                    context, candidate, tried | denied, can_repeat=can_repeat
                )
            except NotRunError as error:
                self._log_failed_attempt(context, candidate, error.reason, "no")
                refusals += not error.is_connection_refused
                refused_connections += error.is_connection_refused
                if (
                    refusals >= _MAX_REFUSALS
                    or refused_connections > MAX_REFUSED_CONNECTIONS
                ):
                    return self._finish_failed(context, failure, runs)
                continue
            except OutcomeUnknownError as error:
                self._log_failed_attempt(context, candidate, error.reason, "unknown")
                runs += 1
                work = _work(context, sent_at)
                self._crashes.record_failure(candidate.target, [work], error.reason)
                if not can_repeat or self._suspects.is_quarantined(context.fingerprint):
                    return self._finish_failed(context, failure, runs)
                continue
            except BergamotsaddleError:
                # The caller left or the deadline passed while the target worked on it.
                work = _work(context, sent_at)
                self._crashes.record_abandoned(candidate.target, work)
                raise
            runs += 1
            if response.status < _SERVER_ERROR or not can_repeat:
                return response
            failure = response

    def _next_candidate(
        self,
        context: Context,
        tried: set[str],
        denied: set[str],
        *,
        is_repeat: bool,
    ) -> Candidate | None:
        """Return the target to try next, None if there is none.

        Args:
            context: The request.
            tried: Ids of targets that were tried.
            denied: Ids of targets that had no permit left; further ones are added.
            is_repeat: Whether an earlier attempt counts as one, since a target was
                reached or did not respond.
        """
        if context.remaining <= 0:
            return None
        while True:
            candidate = self._pick(context, tried | denied)
            if candidate is None or not self._selector.may_send(candidate):
                return None
            if self._selector.reserve(candidate, context.head.id, context.urgency):
                break
            denied.add(candidate.target.id)
        if is_repeat and not self._budget.try_acquire(context.service.name):
            return None
        return candidate

    def _pick(self, context: Context, exclude: set[str]) -> Candidate | None:
        service = context.service.name
        if self._suspects.is_suspect(context.fingerprint):
            return self._selector.pick_least_loaded(
                service, exclude, context.fingerprint
            )
        return self._selector.pick(service, exclude)

    def _try(
        self,
        context: Context,
        candidate: Candidate,
        excluded: set[str],
        *,
        can_repeat: bool,
    ) -> CompleteResponse:
        state = candidate.state
        limit = context.remaining

        def is_only_target() -> bool:
            return self._pick(context, excluded) is None

        if can_repeat and self._budget.remaining(context.service.name) >= 1:
            limit = min(limit, max(_MIN_TIMEOUT_S, _SLOW_FACTOR * state.latency))
        self._selector.record_sent(candidate, context.service)
        with Attempt(context, state, self._pool, self._dialect) as attempt:
            dispatch = Dispatch(candidate.target, context.remaining, context.team)
            response = attempt.send(
                dispatch,
                limit=limit,
                max_wait=context.remaining,
                keeps_waiting=is_only_target,
                may_send=lambda: self._selector.may_send(candidate),
            )
            if limit < context.remaining and is_only_target():
                limit = context.remaining
            body = attempt.read_body(limit=limit, max_bytes=_MAX_RESPONSE_BYTES)
            if response.head.status in NOT_RUN_STATUSES:
                raise OutcomeUnknownError(f"status {response.head.status}")
            if not response.head.is_framed:
                self._check_unframed(candidate)
            state.record_success(now() - attempt.started_at)
        if response.is_success:
            self._crashes.record_success(
                candidate.target,
                [_work(context, attempt.started_at)],
                is_framed=response.head.is_framed,
            )
        headers = list(end_to_end_headers(response.head.headers))
        return CompleteResponse(response.head.status, headers, body)

    def _check_unframed(self, candidate: Candidate) -> None:
        """Raise an error if an unframed response ended as its target crashed."""
        if self._crashes.has_ended_with_target(candidate.target):
            candidate.state.record_failure(is_certain=False)
            raise OutcomeUnknownError(UNFINISHED)

    def _finish_failed(
        self, context: Context, failure: CompleteResponse | None, runs: int
    ) -> CompleteResponse:
        if failure is not None:
            return failure
        if not runs:
            wait = self._selector.permit_wait(context.service.name)
            raise context.rejection_error(
                ErrorKind.NO_TARGET,
                "no target took the request",
                retry_after=add_jitter(wait),
            )
        raise RequestError(
            ErrorKind.TARGET_FAILED, "the target broke off", ran=Ran.UNKNOWN
        )

    def _log_failed_attempt(
        self, context: Context, candidate: Candidate, reason: str, ran: str
    ) -> None:
        self._logger.warning(
            "attempt_failed",
            request=context.head.id,
            work=context.fingerprint,
            target=candidate.target.id,
            reason=reason,
            framed=context.progress.is_framed,
            ran=ran,
            in_flight=candidate.state.in_flight,
        )


def _work(context: Context, started_at: float) -> Work:
    """Return what a target runs for a request."""
    return Work(context.fingerprint, started_at=started_at, request=context.head.id)
