"""Relays an engine's token stream, each token exactly once."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from bergamotsaddle_contracts.decoding import decode_json
from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_daemon.calls import Connections, ResponseStream
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.costs import FIRST, RESUME, RETRY, Costs
from bergamotsaddle_daemon.pools import Slot
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.stage_latencies import StageLatencies
from bergamotsaddle_daemon.stages import Stage, StageCaller

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_COMMENT_PREFIX = b":"
_MAX_EVENT_BYTES = 65_536


class TokenEvent(msgspec.Struct):
    """One event of an engine's stream.

    Attributes:
        request: The request it belongs to.
        index: Index of the token, from 0; the number of tokens when done.
        text: The token.
        done: Whether the stream is complete.
    """

    request: str
    index: int
    text: str = ""
    done: bool = False


class GenerationParams(NamedTuple):
    """Parameters of one generation.

    Attributes:
        model: The model.
        prompt: The complete prompt.
        max_tokens: Maximum number of tokens.
    """

    model: str
    prompt: str
    max_tokens: int


class EngineBody(msgspec.Struct):
    """The body of a request to an engine.

    Attributes:
        request: Id of the request, repeated in each event.
        model: The model.
        prompt: The complete prompt.
        max_tokens: Maximum number of tokens.
        priority: From 1, the most urgent, to 9.
        start: Index of the first token to send.
        generated: The tokens before it, for an engine that has not kept the stream.
    """

    request: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    start: int
    generated: list[str]


class TokenStream:
    """One request's token stream, assembled from one or more engine streams.

    Args:
        request: The request.
        generation: Parameters of the generation.
    """

    def __init__(self, request: Request, generation: GenerationParams) -> None:
        self.request = request
        self.generation = generation
        self.tokens: list[str] = []
        self.is_done = False

    def encode_request(self) -> bytes:
        """Encode a request to an engine for the tokens that are missing."""
        return msgspec.json.encode(
            EngineBody(
                self.request.id,
                self.generation.model,
                self.generation.prompt,
                self.generation.max_tokens,
                self.request.priority,
                len(self.tokens),
                self.tokens,
            )
        )

    def apply_event(self, payload: bytes) -> bool:
        """Apply the data of one event.

        A resumed stream may start earlier than requested, and a target may send the
        stream of another request. The caller would then see repeated, missing or
        foreign tokens, so the request and the index in each event are checked.

        Returns:
            Whether the event holds a new token.

        Raises:
            TargetError: If the event does not belong to this stream.
        """
        try:
            event = decode_json(payload, TokenEvent)
        except ValueError as error:
            raise TargetError(f"stream: {error}", sent=True) from error
        if event.request != self.request.id:
            raise TargetError(f"stream of request {event.request}", sent=True)
        if event.index > len(self.tokens):
            raise TargetError(f"token {len(self.tokens)} is missing", sent=True)
        if event.done:
            self.is_done = event.index == len(self.tokens)
            return False
        if event.index < len(self.tokens):
            return False
        self.tokens.append(event.text)
        return True


class StreamRelay:
    """Runs the generate stage.

    Args:
        settings: The daemon's settings.
        stages: Acquires slots at targets and decides on retries.
        connections: Connections to engines.
        stage_latencies: Measured latencies of stages.
        costs: Counts calls and tokens.
    """

    def __init__(
        self,
        settings: Settings,
        stages: StageCaller,
        connections: Connections,
        stage_latencies: StageLatencies,
        costs: Costs,
    ) -> None:
        self._max_token_gap = settings.timing.token_silence
        self._stages = stages
        self._connections = connections
        self._stage_latencies = stage_latencies
        self._costs = costs

    def run(self, stream: TokenStream, stage: Stage) -> Iterator[bytes]:
        """Yield the engine's events as they arrive, without gaps or repetition.

        Raises:
            RequestError: If the stream can't be completed; the events yielded before
                are then only the start of the response.
        """
        self._stages.count_first_call(stream.request, stage)
        attempt_type = FIRST
        failed: frozenset[str] = frozenset()
        while not stream.is_done:
            slot = self._stages.acquire(stream.request, stage, failed)
            try:
                yield from self._relay_attempt(stream, stage, slot, attempt_type)
            except (TargetError, PlaceLostError) as error:
                self._check_resumable(stream, slot, error)
                failed |= {slot.target.id}
                attempt_type = self._stages.decide_retry(stream.request, stage, error)
                if attempt_type == RETRY and stream.tokens:
                    attempt_type = RESUME

    def _relay_attempt(
        self, stream: TokenStream, stage: Stage, slot: Slot, attempt_type: str
    ) -> Iterator[bytes]:
        request = stream.request
        key = self._stages.cost_key(request, stage)
        before = len(stream.tokens)

        def guard() -> None:
            slot.check_before_send()
            request.mark_sent()
            self._costs.count_call(key, attempt_type)

        engine: ResponseStream | None = None
        try:
            current = stage._replace(body=stream.encode_request())
            call = self._stages.make_call(request, current, slot, request.remaining)
            address = slot.target.declared.address
            engine = self._connections.open_stream(address, call, guard)
            yield from self._relay_events(stream, slot, engine, call.deadline)
        except TargetError as error:
            slot.fail(error)
            raise
        except BaseException:
            # Also if the caller has disconnected: closing cancels the engine's work.
            slot.abandon()
            raise
        else:
            self._stage_latencies.record(request.name, stage.kind, slot.elapsed())
            slot.finish()
        finally:
            if engine is not None:
                engine.close()
            self._costs.count_seconds(key, slot.elapsed())
            self._costs.count_tokens(key, len(stream.tokens) - before)

    def _relay_events(
        self, stream: TokenStream, slot: Slot, engine: ResponseStream, deadline: float
    ) -> Iterator[bytes]:
        remainder = b""
        # Before its first token a stream can restart at another engine at no cost to
        # the caller, so the limit for a slow engine is shorter until then.
        max_gap = min(self._max_token_gap, slot.first_byte_timeout())
        while not stream.is_done:
            data = engine.read_available(min(max_gap, deadline - now()))
            if not data:
                raise TargetError("stream ended early", sent=True)
            *events, remainder = (remainder + data).split(_EVENT_END)
            if len(remainder) > _MAX_EVENT_BYTES:
                raise TargetError("event without an end", sent=True)
            new_events = [
                event + _EVENT_END
                for event in events
                if not event.startswith(_COMMENT_PREFIX)
                and stream.apply_event(event.removeprefix(_DATA_PREFIX))
            ]
            if new_events:
                slot.record_response_data()
                max_gap = self._max_token_gap
                yield b"".join(new_events)

    def _check_resumable(
        self, stream: TokenStream, slot: Slot, error: Exception
    ) -> None:
        if not stream.tokens or slot.target.declared.resumes:
            return
        detail = f"stream cut after {len(stream.tokens)} tokens: {error}"
        raise RequestError(ErrorKind.TARGET_FAILED, detail, ran=stream.request.ran)
