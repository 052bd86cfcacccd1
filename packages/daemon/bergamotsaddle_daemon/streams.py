"""Relays an engine's token stream, each token exactly once."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

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
_DATA = b"data: "
_COMMENT = b":"
_MAX_EVENT_BYTES = 65_536


class TokenEvent(msgspec.Struct):
    """One event of an engine's stream.

    Attributes:
        request: The request it belongs to.
        index: Number of the token, from 0; the number of tokens when done.
        text: The token.
        done: Whether the stream is complete.
    """

    request: str
    index: int
    text: str = ""
    done: bool = False


class GenerationParams(NamedTuple):
    """What to generate.

    Attributes:
        model: The model.
        prompt: The whole prompt.
        max_tokens: Bound on the number of tokens.
    """

    model: str
    prompt: str
    max_tokens: int


class EngineBody(msgspec.Struct):
    """What an engine is asked.

    Attributes:
        request: The request, named again in each event.
        model: The model.
        prompt: The whole prompt.
        max_tokens: Bound on the number of tokens.
        priority: 1 before 9.
        start: Index of the first token wanted.
        generated: The tokens before it, for an engine that doesn't hold the stream.
    """

    request: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    start: int
    generated: list[str]


_EVENT_DECODER = msgspec.json.Decoder(TokenEvent)


class TokenStream:
    """One request's token stream over however many engine streams it takes.

    Args:
        request: The request.
        generation: What to generate.
    """

    def __init__(self, request: Request, generation: GenerationParams) -> None:
        self.request = request
        self.generation = generation
        self.tokens: list[str] = []
        self.is_done = False

    def encode_request(self) -> bytes:
        """What to ask an engine, given the tokens there are."""
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
        """Take one event's data into account.

        A resumed stream may begin earlier than asked, and one that was crossed
        with another belongs to somebody else. The caller would see tokens doubled,
        missing or not its own; request and index in each event tell.

        Returns:
            Whether the event holds a new token.

        Raises:
            TargetError: If the event can't belong here.
        """
        try:
            event = _EVENT_DECODER.decode(payload)
        except msgspec.MsgspecError as error:
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
        stages: Gives places and decides on retries.
        connections: Connections to engines.
        times: Measured costs in time.
        costs: Counts calls and tokens.
    """

    def __init__(
        self,
        settings: Settings,
        stages: StageCaller,
        connections: Connections,
        times: StageLatencies,
        costs: Costs,
    ) -> None:
        self._silence = settings.timing.token_silence
        self._stages = stages
        self._connections = connections
        self._times = times
        self._costs = costs

    def run(self, stream: TokenStream, stage: Stage) -> Iterator[bytes]:
        """Yield the engine's events as they arrive, without gap or repetition.

        Raises:
            RequestError: If the stream can't be completed; what was yielded before
                is then only a part of the answer.
        """
        self._stages.count_first_call(stream.request, stage)
        what = FIRST
        failed: frozenset[str] = frozenset()
        while not stream.is_done:
            slot = self._stages.acquire(stream.request, stage, failed)
            try:
                yield from self._relay(stream, stage, slot, what)
            except (TargetError, PlaceLostError) as error:
                self._check_resumable(stream, slot, error)
                failed |= {slot.target.id}
                what = self._stages.decide_retry(stream.request, stage, error)
                if what == RETRY and stream.tokens:
                    what = RESUME

    def _relay(
        self, stream: TokenStream, stage: Stage, slot: Slot, what: str
    ) -> Iterator[bytes]:
        request = stream.request
        key = self._stages.cost_key(request, stage)
        before = len(stream.tokens)

        def guard() -> None:
            slot.check_before_send()
            request.mark_sent()
            self._costs.count_call(key, what)

        engine: ResponseStream | None = None
        try:
            fresh = stage._replace(body=stream.encode_request())
            call = self._stages.make_call(request, fresh, slot, request.remaining)
            address = slot.target.declared.address
            engine = self._connections.open_stream(address, call, guard)
            yield from self._events(stream, slot, engine, call.deadline)
        except TargetError as error:
            slot.fail(error)
            raise
        except BaseException:
            # Also when the caller has left: closing cancels the engine's work.
            slot.abandon()
            raise
        else:
            self._times.record(request.name, stage.kind, slot.elapsed())
            slot.finish()
        finally:
            if engine is not None:
                engine.close()
            self._costs.count_seconds(key, slot.elapsed())
            self._costs.count_tokens(key, len(stream.tokens) - before)

    def _events(
        self, stream: TokenStream, slot: Slot, engine: ResponseStream, deadline: float
    ) -> Iterator[bytes]:
        rest = b""
        # Before its first token a stream can begin anew elsewhere at no cost to the
        # caller, so a slow engine is given up sooner then.
        silence = min(self._silence, slot.first_byte_timeout())
        while not stream.is_done:
            data = engine.read_available(min(silence, deadline - now()))
            if not data:
                raise TargetError("stream ended early", sent=True)
            *events, rest = (rest + data).split(_EVENT_END)
            if len(rest) > _MAX_EVENT_BYTES:
                raise TargetError("event without an end", sent=True)
            fresh = [
                event + _EVENT_END
                for event in events
                if not event.startswith(_COMMENT)
                and stream.apply_event(event.removeprefix(_DATA))
            ]
            if fresh:
                slot.record_response_data()
                silence = self._silence
                yield b"".join(fresh)

    def _check_resumable(
        self, stream: TokenStream, slot: Slot, error: Exception
    ) -> None:
        if not stream.tokens or slot.target.declared.resumes:
            return
        detail = f"stream cut after {len(stream.tokens)} tokens: {error}"
        raise RequestError(ErrorKind.TARGET_FAILED, detail, ran=stream.request.ran)
