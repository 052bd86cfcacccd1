"""Runs a stream at one engine and reads its events."""

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.attempt import Attempt, Response, SilentError
from bergamotsaddle_serving.budget import ColdTurn, Repeat
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.engine_choice import EngineChoice, unshared_tokens
from bergamotsaddle_serving.decisions.engine_speeds import EventMeter
from bergamotsaddle_serving.events import EventSplitter, StreamEvent
from bergamotsaddle_serving.messages import Dispatch
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.suspect_parts import Work

if TYPE_CHECKING:
    from bergamotsaddle_serving.streams import StreamServer

# Size of the body of a failure.
_MAX_RESPONSE_BYTES = 1_000_000


class EngineRun:
    """One run of a stream at one engine, from sending the request to its last event.

    Args:
        server: Server of the stream.
        context: The request.
        candidate: The engine.
        choice: How the engine was chosen.
        repeat: Repeat of the budget that the run uses, None for a first attempt.
        turn: The run's turn at the engine, which may be cold.

    Attributes:
        target: The engine.
        choice: How it was chosen.
        is_silent: Whether nothing has arrived within the limit of the last read.
        is_trial: Whether it is the trial of a part of its prompt that is held back.
        response: Head of the response, None before it has arrived.
        body: Body of a response that is a failure, None before all of it has arrived.
        started_at: When the request was sent, None before that.
        writing_since: When the first event arrived, None before it.
        meter: Measures how fast the engine writes events.
        is_whole: Whether the response has ended and is whole.
    """

    def __init__(
        self,
        server: "StreamServer",
        context: Context,
        candidate: Candidate,
        choice: EngineChoice,
        *,
        repeat: Repeat | None,
        turn: ColdTurn,
    ) -> None:
        self.target: Target = candidate.target
        self.choice = choice
        self.is_silent = False
        self.is_trial = False
        self.response: Response | None = None
        self.body: bytes | None = None
        self.started_at: float | None = None
        self.writing_since: float | None = None
        self.meter = EventMeter()
        self.is_whole = False
        self._server = server
        self._context = context
        self._candidate = candidate
        self._repeat = repeat
        self._turn = turn
        self._resources = contextlib.ExitStack()
        self._attempt: Attempt | None = None
        self._dispatch: Dispatch | None = None
        self._on_sent: Callable[[int], None] = lambda size: None
        self._splitter = EventSplitter()
        self._tokens_ahead = 0

    @property
    def id(self) -> str:
        """Id of the engine; a stream has at most one run at a time there."""
        return self.target.id

    @property
    def is_sent(self) -> bool:
        """Whether the engine may have got the request."""
        return self._attempt is not None and self._attempt.is_sent

    @property
    def is_repeat(self) -> bool:
        """Whether it uses a repeat of the budget."""
        return self._repeat is not None

    @property
    def remainder(self) -> bytes:
        """Bytes behind the last complete event."""
        return self._splitter.remainder

    @property
    def is_engine_quiet(self) -> bool:
        """Whether the engine writes responses, but has sent nothing since the start."""
        state = self._candidate.state
        return state.writing > 0 and state.last_seen_at <= self.started_at

    @property
    def prompt_tokens(self) -> int:
        """Prompt tokens that the engine has to read."""
        head = self._context.head
        if self.choice.reason == "free":
            return head.prompt_tokens
        return unshared_tokens(head.prompt, head.prompt_tokens)

    @property
    def work(self) -> Work:
        """What the engine runs."""
        head = self._context.head
        return Work(
            self._context.fingerprint,
            head.shared_parts,
            self.writing_since,
            self.started_at,
            head.id,
        )

    def start(self, dispatch: Dispatch, on_sent: Callable[[int], None]) -> None:
        """Prepare to send the request, which the first read does.

        Args:
            dispatch: Parameters of the request for the engine.
            on_sent: Called with the size of the request once it has been handed to a
                connection.
        """
        server = self._server
        context = self._context
        self.is_trial = server.crashes.parts.record_sent(context.head.shared_parts)
        self.started_at = now()
        self._dispatch = dispatch
        self._on_sent = on_sent
        state = self._candidate.state
        watch = server.crashes.watch(self.target, state, self.work)
        self._resources.enter_context(watch)
        attempt = Attempt(context, state, server.pool, server.dialect)
        self._attempt = self._resources.enter_context(attempt)
        self._tokens_ahead = self.prompt_tokens
        state.prompt_tokens_ahead += self._tokens_ahead

    def read(self, *, limit: float) -> list[StreamEvent]:
        """Wait for the next events; the first call sends the request.

        Args:
            limit: Seconds after which the engine counts as silent. It may be read from
                again then.

        Returns:
            One event or more; none at the end of a whole response, or of a failure,
            whose body is complete then.

        Raises:
            NotRunError: If the engine did not run the request.
            SilentError: If nothing arrived within the limit.
            OutcomeUnknownError: If the response broke off.
        """
        try:
            events = self._read(limit)
        except SilentError:
            self.is_silent = True
            raise
        self.is_silent = False
        return events

    def describe_response(self) -> dict[str, bool | str | None]:
        """Return, for logs, what shows whose response was read."""
        return self._attempt.describe_response() if self._attempt is not None else {}

    def record_first_event(self) -> None:
        """Record that the engine has read the prompt and begun to write."""
        self.writing_since = now()
        self._end_prefill()
        self._candidate.state.record_success(now() - self._attempt.started_at)
        self._record_reading()

    def close(self) -> None:
        """Close the connection, so that the engine drops a run that is not whole."""
        if self._repeat is not None:
            self._repeat.cancel()
        self._turn.cancel()
        self._end_prefill()
        self._resources.close()
        self._record_speed()
        # What refers to the run may last for longer.
        self._splitter.clear()

    def _read(self, limit: float) -> list[StreamEvent]:
        if self.response is None:
            self.response = self._read_response(limit)
        if not self.response.is_success:
            self.body = self._read_failure()
            return []
        until = now() + limit
        while (data := self._attempt.read_some(limit=limit)) is not None:
            events = self._splitter.feed(data)
            if events:
                self.meter.add(len(events))
                self._attempt.hold(0)
                return events
            self._attempt.hold(self._splitter.remainder_size)
            limit = until - now()
        self._attempt.finish_stream(is_whole=self._is_whole())
        self.is_whole = True
        return []

    def _read_failure(self) -> bytes:
        body = self._attempt.read_body(
            limit=self._context.remaining, max_bytes=_MAX_RESPONSE_BYTES
        )
        if not self.response.head.is_framed and self._has_ended_with_engine():
            self._attempt.finish_stream(is_whole=False)
        return body

    def _read_response(self, limit: float) -> Response:
        remaining = self._context.remaining
        if self._attempt.is_sent:
            return self._attempt.read_response(limit=limit, max_wait=remaining)
        return self._attempt.send(
            self._dispatch,
            limit=limit,
            max_wait=remaining,
            on_sent=self._on_sent,
            may_send=self._may_send,
        )

    def _may_send(self) -> bool:
        """Return whether the engine may get the request, and count it if it may."""
        if not self._server.selector.may_send(self._candidate):
            return False
        if self._repeat is not None:
            self._repeat.use()
        self._turn.use()
        return True

    def _is_whole(self) -> bool:
        """Return whether a response that ends here may be complete.

        A stream may break off behind its last event. The engine that goes on then has
        nothing to send, and only the framing of its response shows that it is whole.
        A response to a request for the head alone has no events.
        """
        if self._context.head.method == b"HEAD":
            return True
        is_framed = self.response.head.is_framed
        is_resumed = self._dispatch.last_event_id is not None
        if is_resumed and is_framed and self._splitter.is_empty:
            return True
        if not self._splitter.may_end():
            return False
        return is_framed or not self._has_ended_with_engine()

    def _has_ended_with_engine(self) -> bool:
        """Return whether an unframed response may have ended with its engine."""
        request = self._context.head.id
        return self._server.crashes.has_ended_with_target(self.target, request)

    def _record_reading(self) -> None:
        """Record how long the engine took to the first event.

        That tells its speed only if it is known how much of the prompt it had to read.
        """
        choice = self.choice
        speeds = self._server.speeds
        is_known = choice.engine.has_cached_prefix or choice.reason == "free"
        if speeds is not None and is_known:
            seconds = now() - self.started_at
            speeds.record_reading(self.target, seconds, choice.finish_seconds)

    def _record_speed(self) -> None:
        """Record how fast the engine has written events, and how many."""
        server = self._server
        if server.speeds is None or not self.meter.events:
            return
        running = self.choice.engine.running + 1
        server.speeds.record_writing(self.target, self.meter.times(), running=running)
        if self._dispatch.last_event_id is None:
            server.record_length(
                self._context, self.meter.events, is_cut=not self.is_whole
            )

    def _end_prefill(self) -> None:
        self._candidate.state.prompt_tokens_ahead -= self._tokens_ahead
        self._tokens_ahead = 0
