"""Runs a request through the stages of its pipeline."""

from collections.abc import Iterator
from typing import Any

import msgspec

from bergamotsaddle_contracts.declaration import Pipeline
from bergamotsaddle_contracts.decoding import decode_json
from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_daemon.pools import Pools
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.stages import Stage, StageCaller
from bergamotsaddle_daemon.streams import GenerationParams, StreamRelay, TokenStream

_STAGE_PATH = "/v1/stages/"
_COMPLETIONS_PATH = "/v1/completions"
_GENERATE = "generate"
_PREFIX_CHARACTERS = 64
_MAX_TOKENS = 4096


class PipelineBody(msgspec.Struct):
    """The body of a caller's request to a pipeline.

    Attributes:
        input: The question or task.
        stream: Whether to send tokens as they arrive.
        max_tokens: Maximum number of generated tokens.
    """

    input: str
    stream: bool = False
    max_tokens: int = 64


class StageBody(msgspec.Struct):
    """The body of a request to a target: the input and the previous stage's output."""

    input: str
    previous: Any


class StageOutput(msgspec.Struct):
    """The body of a target's response."""

    output: Any


def parse_pipeline_body(body: bytes) -> PipelineBody:
    """Parse the body of a caller's request.

    Raises:
        RequestError: If it is malformed.
    """
    try:
        parsed = decode_json(body, PipelineBody)
    except ValueError as error:
        raise RequestError(ErrorKind.BAD_REQUEST, f"body: {error}") from error
    if not 1 <= parsed.max_tokens <= _MAX_TOKENS:
        detail = f"body: max_tokens must be from 1 to {_MAX_TOKENS}"
        raise RequestError(ErrorKind.BAD_REQUEST, detail)
    return parsed


class PipelineRun:
    """The run of one request through its pipeline.

    Args:
        request: The request.
        pipeline: The pipeline as declared when the request arrived.
        body: The parsed body of the request.
        stages: Calls stages.
        relay: Runs the generate stage.
    """

    def __init__(
        self,
        request: Request,
        pipeline: Pipeline,
        body: PipelineBody,
        *,
        stages: StageCaller,
        relay: StreamRelay,
    ) -> None:
        self.request = request
        self._pipeline = pipeline
        self._body = body
        self._stages = stages
        self._relay = relay
        self.tokens: list[str] = []
        self.output: Any = None

    def check_admission(self, pools: Pools) -> None:
        """Reject a request that is not expected to meet its deadline.

        Raises:
            RequestError: If it is rejected, with the time after which to retry.
        """
        for index in range(len(self._pipeline.stages)):
            stage = self._make_stage(index)
            requirements = self._stages.call_requirements(
                self.request, stage, frozenset()
            )
            pools.check_admission(requirements)

    def run(self) -> Iterator[bytes]:
        """Call the stages in order and yield the events of a generate stage.

        Raises:
            RequestError: If the response can't be completed.
        """
        previous: Any = None
        for index, kind in enumerate(self._pipeline.stages):
            stage = self._make_stage(index)
            if kind == _GENERATE:
                yield from self._generate(stage, previous)
                previous = "".join(self.tokens)
                continue
            body = msgspec.json.encode(StageBody(self._body.input, previous))
            reply = self._stages.call(self.request, stage._replace(body=body))
            previous = _parse_output(kind, reply, self.request)
        self.output = previous

    def _generate(self, stage: Stage, previous: Any) -> Iterator[bytes]:
        prompt = self._build_prompt(previous)
        generation = GenerationParams(stage.model, prompt, self._body.max_tokens)
        stream = TokenStream(self.request, generation)
        self.tokens = stream.tokens
        prefix = prompt[:_PREFIX_CHARACTERS]
        yield from self._relay.run(stream, stage._replace(prefix=prefix))

    def _build_prompt(self, previous: Any) -> str:
        if previous is None:
            return self._body.input
        context = msgspec.json.encode(previous).decode()
        return f"{self._body.input}\n{context}"

    def _make_stage(self, index: int) -> Stage:
        kind = self._pipeline.stages[index]
        later = self._pipeline.stages[index + 1 :]
        if kind == _GENERATE:
            model = self._pipeline.model
            return Stage(kind, model, _COMPLETIONS_PATH, b"", later_kinds=later)
        return Stage(kind, "", _STAGE_PATH + kind, b"", later_kinds=later)


def _parse_output(kind: str, reply: bytes, request: Request) -> Any:
    try:
        return decode_json(reply, StageOutput).output
    except ValueError as error:
        detail = f"{kind}: answer is malformed: {error}"
        raise RequestError(ErrorKind.TARGET_FAILED, detail, ran=request.ran) from error
