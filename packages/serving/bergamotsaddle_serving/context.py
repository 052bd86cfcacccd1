"""One caller's request while it is served."""

from typing import NamedTuple

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Route, Service, Team
from bergamotsaddle_serving.messages import RequestHead


class Progress:
    """How far a request has come.

    Attributes:
        is_sent: Whether any byte of it has left for a target that might run it.
    """

    def __init__(self) -> None:
        self.is_sent = False


class Context(NamedTuple):
    """What is known of a request before any work for it.

    Attributes:
        head: Its decoded head.
        body: Its whole body.
        route: Its route.
        service: The service that is to run it.
        team: Its team, None on public routes.
        began_at: When it came, on the hub's clock.
        ends_at: When its caller or its route gives it up.
        version: Version of the configuration that it is served by.
        urgency: Its place among all kinds of requests, 0 first.
        progress: How far it has come.
        work: Its fingerprint, the same each time that it is asked for.
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

    @property
    def first_event_by(self) -> float:
        """When the caller gives up for want of a first event, on the hub's clock."""
        return min(self.deadline_at, self.started_at + self.route.max_wait)

    @property
    def remaining(self) -> float:
        """Seconds that are left."""
        return self.deadline_at - now()

    def abort_error(self, kind: ErrorKind, detail: str) -> RequestError:
        """Make the error for a request that ends wherever it is.

        It says "not run" only if nothing of the request has left.

        Args:
            kind: What to answer if a target may have run it.
            detail: One sentence for the caller.
        """
        if self.progress.is_sent:
            return RequestError(kind, detail, ran=Ran.UNKNOWN)
        return self.rejection_error(ErrorKind.NOT_RUN, detail)

    def quarantine_error(self) -> RequestError:
        """Make the error for a request that ends its targets."""
        detail = "targets ended each time that they ran it"
        return self.rejection_error(ErrorKind.HELD_BACK, detail)

    def rejection_error(
        self, kind: ErrorKind, detail: str, *, retry_after: float | None = None
    ) -> RequestError:
        """Make the error for a request that has not run and never will."""
        return RequestError(kind, detail, ran=Ran.NO, retry_after=retry_after)
