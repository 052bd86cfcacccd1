"""What the caller of a stream has received."""

from collections.abc import Callable

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.attempt import Response
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.client import end_to_end_headers
from bergamotsaddle_serving.events import StreamEvent


class StreamOutput:
    """The response to a streaming request, from whichever engines its events come.

    Args:
        caller: Connection that receives the response.
        last_id: Id of the last event that the caller has from an earlier request.
        on_start: Called when the response starts.

    Attributes:
        last_id: Id of the last event that the caller has, None before the first one.
        last_event_at: When the last event was sent, on the hub's clock.
        has_started: Whether the response has started.
        has_unnumbered_event: Whether an event had no id, so that no other engine can go
            on behind it.
    """

    def __init__(
        self,
        caller: CallerConnection,
        last_id: str | None,
        on_start: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_start = on_start
        self._caller = caller
        self.last_id = last_id
        self.last_event_at = 0.0
        self.has_started = False
        self.has_unnumbered_event = False

    def start(self, response: Response) -> None:
        """Start the response unless it has started."""
        if self.has_started:
            return
        self.has_started = True
        self._on_start()
        self._caller.start(
            response.head.status, list(end_to_end_headers(response.head.headers))
        )

    def send(self, response: Response, event: StreamEvent) -> None:
        """Send an event, after the head of the response if it is the first one."""
        self.start(response)
        self._caller.send(event.data)
        self.last_event_at = now()
        self.has_unnumbered_event |= not event.allows_resume
        if event.id is not None:
            self.last_id = event.id

    def finish(self, response: Response, remainder: bytes) -> None:
        """End the response properly.

        Args:
            response: Head of the engine's response.
            remainder: Bytes behind its last complete event.
        """
        self.start(response)
        if remainder:
            self._caller.send(remainder)
        self._caller.finish()

    def respond(self, response: Response, body: bytes) -> None:
        """Send a complete response instead of a stream."""
        self._caller.respond(
            response.head.status,
            list(end_to_end_headers(response.head.headers)),
            body,
            size=response.head.body_bytes,
        )
