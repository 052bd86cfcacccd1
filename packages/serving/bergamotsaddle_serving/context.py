"""A caller's request while it is served."""

from collections.abc import Sequence
from typing import NamedTuple

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import UNLIMITED, MemoryShare
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Route, Service, Team
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.stream_origins import StreamOrigin

# Maximum number of names that a log line lists.
MAX_LOGGED_NAMES = 16


class Progress:
    """Progress of a request.

    Attributes:
        sent_at: When it was first sent to a target that might run it, on the hub's
            clock, None before.
        addresses: Addresses that it was sent to.
    """

    def __init__(self) -> None:
        self.sent_at: float | None = None
        self.addresses: set[Address] = set()

    @property
    def is_sent(self) -> bool:
        """Whether any byte of it was sent to a target that might run it."""
        return self.sent_at is not None

    @is_sent.setter
    def is_sent(self, value: bool) -> None:
        if value != self.is_sent:
            self.sent_at = now() if value else None


class Context(NamedTuple):
    """What is known about a request before any work is done for it.

    Attributes:
        head: Decoded head of the request.
        body: Complete body.
        route: Route of the request.
        service: Service that is to run it.
        team: Team of the caller, None on public routes.
        started_at: When its first byte was read, on the hub's clock.
        deadline_at: When the caller or the route gives up, on the hub's clock.
        version: Version of the configuration that serves it.
        urgency: Rank among all kinds of requests, 0 first.
        progress: Progress of the request.
        fingerprint: Digest of its content, the same for each repetition of a request.
        headers: Its headers as received, names in lower case.
        sender: Id of the instance that handed it over, empty if a caller sent it.
        origin: What sent the first event of the stream, None before it.
        earlier_runs: How often the request may have run at instances that have died.
        memory: What it holds of responses.
    """

    head: RequestHead
    body: bytes
    route: Route
    service: Service
    team: Team | None
    started_at: float
    deadline_at: float
    version: int
    urgency: int
    progress: Progress
    fingerprint: str = ""
    headers: Sequence[tuple[bytes, bytes]] = ()
    sender: str = ""
    origin: StreamOrigin | None = None
    earlier_runs: int = 0
    memory: MemoryShare = UNLIMITED

    @property
    def logged_parts(self) -> tuple[str, ...]:
        """Ids of the shared parts of the prompt, as many as a log line holds."""
        return self.head.shared_parts[:MAX_LOGGED_NAMES]

    @property
    def is_relayed(self) -> bool:
        """Whether another instance handed the request over."""
        return bool(self.sender)

    @property
    def first_event_by(self) -> float:
        """When the caller gives up waiting for a first event, on the hub's clock."""
        return min(self.deadline_at, self.started_at + self.route.max_wait)

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_at - now()

    def after_runs(self, runs: int) -> "Context":
        """Return the context of the request after runs at instances that have died."""
        attempts = max(1, self.route.attempts - runs)
        route = self.route._replace(attempts=attempts)
        return self._replace(route=route, earlier_runs=runs)

    def abort_error(self, kind: ErrorKind, detail: str) -> RequestError:
        """Make the error for a request that is aborted at any point.

        It says "not run" only if nothing of the request has been sent.

        Args:
            kind: Kind of the error if a target may have run the request.
            detail: One sentence for the caller.
        """
        if self.progress.is_sent:
            return RequestError(kind, detail, ran=Ran.UNKNOWN)
        return self.rejection_error(ErrorKind.NOT_RUN, detail)

    def quarantine_error(self, part: str | None = None) -> RequestError:
        """Make the error for a request that crashes its targets.

        Args:
            part: Part of its prompt that crashes them, None if it does so as a whole.
        """
        detail = "targets ended each time that they ran it"
        if part is not None:
            detail = f"targets ended each time that they ran part {part} of its prompt"
        return self.rejection_error(ErrorKind.HELD_BACK, detail)

    def rejection_error(
        self, kind: ErrorKind, detail: str, *, retry_after: float | None = None
    ) -> RequestError:
        """Make the error for a request that has not run and will not run.

        Args:
            kind: Kind of the error.
            detail: One sentence for the caller.
            retry_after: Seconds after which the caller may retry, None to leave it out.
        """
        return RequestError(kind, detail, ran=Ran.NO, retry_after=retry_after)
