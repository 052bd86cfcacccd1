"""The HTTP interface for callers."""

from collections.abc import Callable, Iterable, Iterator

import msgspec
import structlog

from bergamotsaddle_contracts.declaration import Team, digest_key
from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_contracts.ini import parse_duration
from bergamotsaddle_contracts.messages import FINISHED, Outcome, ServiceRequest
from bergamotsaddle_daemon._response_body import CallOnce, ResponseBody
from bergamotsaddle_daemon.body_memory import BodyMemory, MemoryShare
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.costs import Costs
from bergamotsaddle_daemon.http import (
    Environ,
    StartResponse,
    json_response,
    read_body,
    send_response_head,
)
from bergamotsaddle_daemon.pipelines import PipelineRun, parse_pipeline_body
from bergamotsaddle_daemon.pools import Pools
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.services import ServiceCaller, is_finished, outcome_error
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.stages import StageCaller
from bergamotsaddle_daemon.streams import StreamRelay
from bergamotsaddle_daemon.tickets import TicketRunner
from bergamotsaddle_daemon.views import Views

TICKET_ENVIRON_KEY = "HTTP_X_TICKET"
DEADLINE_ENVIRON_KEY = "HTTP_X_DEADLINE"
_DEFAULT_SERVICE_SECONDS = 4.0
_MAX_DEADLINE_SECONDS = 600.0
_BEARER_PREFIX = "Bearer "
_COMPLETE = "whole"


class ErrorBody(msgspec.Struct):
    """The body of an error response.

    Attributes:
        request: Id of the request.
        kind: The error kind.
        ran: Whether any part of the request reached a target: no, yes or unknown.
        detail: One sentence that describes the error.
        retry_after: Seconds after which to retry; null for never.
    """

    request: str
    kind: str
    ran: str
    detail: str
    retry_after: float | None


class CallerApp:
    """The WSGI application that serves callers.

    Args:
        settings: The daemon's settings.
        views: The declaration in force.
        pools: Checks admission.
        stages: Calls stages.
        relay: Runs generate stages.
        services: Calls plain services.
        tickets: Runs unrepeatable requests.
        costs: Counts requests.
        logger: Receives a line for each request.
    """

    def __init__(
        self,
        settings: Settings,
        views: Views,
        pools: Pools,
        stages: StageCaller,
        relay: StreamRelay,
        services: ServiceCaller,
        tickets: TicketRunner,
        costs: Costs,
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._settings = settings
        self._views = views
        self._pools = pools
        self._stages = stages
        self._relay = relay
        self._services = services
        self._tickets = tickets
        self._costs = costs
        self._logger = logger
        limit = settings.limits.request_bytes
        self._memory = BodyMemory(limit, max_used=limit)
        self._teams_version: tuple[int, str] | None = None
        self._team_by_digest: dict[str, Team] = {}
        self.active = 0
        self.stopping = False
        self.is_ready: Callable[[], bool] = lambda: False

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable:
        """Serve one HTTP request."""
        self.active += 1
        share = self._memory.open()
        finish_once = CallOnce(lambda: self._finish_request(share))
        try:
            body = self._serve(environ, start_response, share)
        except RequestError as error:
            finish_once()
            return self._error_response(start_response, "", error)
        except BaseException:
            finish_once()
            raise
        return ResponseBody(body, finish_once)

    def _finish_request(self, share: MemoryShare) -> None:
        self.active -= 1
        share.close()

    def _serve(
        self, environ: Environ, start_response: StartResponse, share: MemoryShare
    ) -> Iterable:
        path = environ["PATH_INFO"].strip("/").split("/")
        if path == ["ready"]:
            return self._serve_ready(start_response)
        if not self.stopping and not self.is_ready():
            raise RequestError(ErrorKind.NOT_READY, "this instance is still starting")
        if self.active > self._settings.limits.connections:
            raise RequestError(ErrorKind.OVERLOADED, "too many requests at once here")
        team = self._authenticate(environ)
        match (environ["REQUEST_METHOD"], path):
            case ("POST", ["v1", "pipelines", name]):
                return self._serve_pipeline(environ, start_response, team, name, share)
            case ("POST", ["v1", "services", kind, *subpath]):
                return self._serve_service(
                    environ, start_response, team, kind, subpath, share
                )
            case ("POST", ["v1", "tickets", kind]):
                return self._issue_ticket(start_response, team, kind)
            case ("GET", ["v1", "tickets", kind, ticket]):
                return self._query_ticket(start_response, team, kind, ticket)
        raise RequestError(ErrorKind.NOT_FOUND, "no such path or method")

    def _serve_ready(self, start_response: StartResponse) -> Iterable:
        is_ready = self.is_ready()
        return json_response(
            start_response, 200 if is_ready else 503, {"ready": is_ready}, close=True
        )

    def _authenticate(self, environ: Environ) -> Team:
        declaration = self._views.declaration
        if self._teams_version != declaration.version:
            self._team_by_digest = {
                digest: team
                for team in declaration.teams.values()
                for digest in team.key_digests
            }
            self._teams_version = declaration.version
        header = environ.get("HTTP_AUTHORIZATION", "")
        key = (
            header.removeprefix(_BEARER_PREFIX)
            if header.startswith(_BEARER_PREFIX)
            else ""
        )
        team = self._team_by_digest.get(digest_key(key)) if key else None
        if team is None:
            detail = "expected 'Authorization: Bearer KEY' with a declared team's key"
            raise RequestError(ErrorKind.UNAUTHENTICATED, detail)
        return team

    def _serve_pipeline(
        self,
        environ: Environ,
        start_response: StartResponse,
        team: Team,
        name: str,
        share: MemoryShare,
    ) -> Iterable:
        pipeline = self._views.declaration.pipelines.get(name)
        if pipeline is None:
            raise RequestError(ErrorKind.NOT_FOUND, f"no pipeline {name} is declared")
        seconds = _read_deadline(environ, pipeline.deadline)
        request = Request(team, name, seconds, pipeline.priority)
        body = parse_pipeline_body(read_body(environ, self._settings, share))
        run = PipelineRun(
            request, pipeline, body, stages=self._stages, relay=self._relay
        )
        try:
            run.check_admission(self._pools)
            events = run.run()
            if body.stream:
                return self._stream_response(start_response, request, run, events)
            for _ in events:
                continue
        except RequestError as error:
            self._record_end(request, error.kind)
            return self._error_response(start_response, request.id, error)
        self._record_end(request, _COMPLETE)
        return self._complete_response(start_response, request, run)

    def _complete_response(
        self, start_response: StartResponse, request: Request, run: PipelineRun
    ) -> Iterable:
        payload = {
            "request": request.id,
            "output": run.output,
            "tokens": len(run.tokens),
        }
        return json_response(start_response, 200, payload, close=self.stopping)

    def _stream_response(
        self,
        start_response: StartResponse,
        request: Request,
        run: PipelineRun,
        events: Iterator[bytes],
    ) -> Iterable:
        # The status is sent with the first token, so an error before it still gets a
        # regular error response.
        first = next(events, b"")
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Request-Id", request.id),
            ("Cache-Control", "no-store"),
        ]
        send_response_head(start_response, 200, headers, close=self.stopping)
        return self._stream_events(request, run, first, events)

    def _stream_events(
        self, request: Request, run: PipelineRun, first: bytes, events: Iterator[bytes]
    ) -> Iterator[bytes]:
        outcome: str = "caller_left"
        try:
            if first:
                yield first
            yield from events
            outcome = _COMPLETE
            payload = {"request": request.id, "tokens": len(run.tokens)}
            if not run.tokens:
                payload["output"] = run.output
            yield b"event: end\ndata: " + msgspec.json.encode(payload) + b"\n\n"
        except RequestError as error:
            # The status has already been sent. The event tells the caller that the
            # response is incomplete, which the end of the body alone would not.
            outcome = error.kind
            body = msgspec.json.encode(_error_body(request.id, error))
            yield b"event: error\ndata: " + body + b"\n\n"
        finally:
            events.close()
            self._record_end(request, outcome)

    def _serve_service(
        self,
        environ: Environ,
        start_response: StartResponse,
        team: Team,
        kind: str,
        subpath: list[str],
        share: MemoryShare,
    ) -> Iterable:
        self._services.check_declared(kind)
        seconds = _read_deadline(environ, _DEFAULT_SERVICE_SECONDS)
        request = Request(team, kind, seconds, team.priority)
        body = read_body(environ, self._settings, share)
        path = "/".join(subpath)
        try:
            if self._views.declaration.is_repeatable(kind):
                reply = self._services.call_repeatable(request, path, body)
                outcome = Outcome(FINISHED, 200, reply)
            else:
                outcome = self._run_ticket(environ, request, path, body)
        except RequestError as error:
            self._record_end(request, error.kind)
            return self._error_response(start_response, request.id, error)
        self._record_end(request, _COMPLETE)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(outcome.body))),
            ("X-Request-Id", request.id),
        ]
        send_response_head(start_response, outcome.status, headers, close=self.stopping)
        return [outcome.body]

    def _run_ticket(
        self, environ: Environ, request: Request, path: str, body: bytes
    ) -> Outcome:
        text = environ.get(TICKET_ENVIRON_KEY, "")
        if not text:
            detail = f"get a ticket by POST /v1/tickets/{request.name} first"
            raise RequestError(ErrorKind.TICKET_REQUIRED, detail)
        ticket = self._tickets.verify(text, request.team.name, request.name)
        message = ServiceRequest(
            request.id, request.team.name, request.name, path, body, request.remaining
        )
        outcome = self._tickets.run(ticket, message)
        if not is_finished(outcome):
            raise outcome_error(outcome)
        return outcome

    def _issue_ticket(
        self, start_response: StartResponse, team: Team, kind: str
    ) -> Iterable:
        self._services.check_declared(kind)
        if self._views.declaration.is_repeatable(kind):
            detail = f"calls to {kind} may be repeated and need no ticket"
            raise RequestError(ErrorKind.BAD_REQUEST, detail)
        text, ticket = self._tickets.issue(team.name, kind)
        payload = {
            "ticket": text,
            "start_within": self._settings.timing.ticket_lifetime,
            "has_witness": bool(ticket.witness),
        }
        return json_response(start_response, 200, payload, close=self.stopping)

    def _query_ticket(
        self, start_response: StartResponse, team: Team, kind: str, text: str
    ) -> Iterable:
        ticket = self._tickets.verify(text, team.name, kind)
        outcome = self._tickets.query_outcome(ticket)
        payload = {"state": outcome.state, "detail": outcome.detail}
        if is_finished(outcome):
            payload["status"] = str(outcome.status)
            payload["body"] = outcome.body.decode(errors="replace")
        return json_response(start_response, 200, payload, close=self.stopping)

    def _error_response(
        self, start_response: StartResponse, request_id: str, error: RequestError
    ) -> Iterable:
        headers = []
        if error.retry_after is not None:
            headers.append(("Retry-After", str(max(1, round(error.retry_after)))))
        body = _error_body(request_id, error)
        close = self.stopping or error.kind in (ErrorKind.TOO_LARGE, ErrorKind.TOO_SLOW)
        return json_response(
            start_response, error.status, body, headers=headers, close=close
        )

    def _record_end(self, request: Request, outcome: str) -> None:
        seconds = now() - request.started_at
        self._costs.count_request(request.team.name, request.name, outcome, seconds)
        self._logger.info(
            "request",
            request=request.id,
            team=request.team.name,
            name=request.name,
            outcome=str(outcome),
            ran=str(request.ran),
            seconds=round(seconds, 4),
        )


def _read_deadline(environ: Environ, default: float) -> float:
    text = environ.get(DEADLINE_ENVIRON_KEY, "")
    if not text:
        return default
    try:
        seconds = parse_duration(text)
    except ValueError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"X-Deadline: {error}") from error
    return min(seconds, _MAX_DEADLINE_SECONDS)


def _error_body(request_id: str, error: RequestError) -> ErrorBody:
    return ErrorBody(request_id, error.kind, error.ran, error.detail, error.retry_after)
