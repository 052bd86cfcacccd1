"""Reads a silent run of a stream and a hedge beside it, whichever goes on first."""

from functools import partial
from typing import NamedTuple, Protocol

from bergamotsaddle_serving.attempt import (
    NotRunError,
    OutcomeUnknownError,
    SilentError,
)
from bergamotsaddle_serving.engine_run import EngineRun
from bergamotsaddle_serving.events import StreamEvent
from bergamotsaddle_serving.race import Race

# Name of the preparation of a hedge; no engine has it.
_PREPARATION = ""


class Progress(NamedTuple):
    """What a run has read.

    Attributes:
        run: The run.
        events: Its next events, none if it has ended.
    """

    run: EngineRun
    events: list[StreamEvent]


class HedgedStream(Protocol):
    """A stream with a silent run.

    Attributes:
        runs: Its open runs.
    """

    runs: list[EngineRun]

    def may_hedge(self) -> bool:
        """Return whether a hedge may be prepared now."""

    def prepare_hedge(self) -> EngineRun | None:
        """Start another run, or return None after a pause if there can't be one."""

    def read_limit(self, run: EngineRun) -> float:
        """Return after how many seconds without an event a run is silent."""

    def find_fault(self, progress: Progress) -> str:
        """Return why the progress of a run is not for the caller, empty if it is."""

    def end_run(self, run: EngineRun, error: NotRunError | OutcomeUnknownError) -> None:
        """Close a run that failed."""


def read_hedged(stream: HedgedStream) -> Progress | None:
    """Wait until a silent run goes on, or a hedge has its first event.

    No run is closed because it is silent: while a hedge lacks something, and until its
    first event arrives, the silent run may still go on.

    Args:
        stream: The stream.

    Returns:
        The first progress of any run, None if all of them have failed.
    """
    with Race() as race:
        for run in stream.runs:
            _start_reading(race, stream, run)
        while True:
            if _PREPARATION not in race and stream.may_hedge():
                race.start(_PREPARATION, stream.prepare_hedge)
            if not race:
                return None
            finish = race.wait()
            if finish.name == _PREPARATION:
                hedge = finish.result()
                if hedge is not None:
                    _start_reading(race, stream, hedge)
                continue
            run = next(run for run in stream.runs if run.id == finish.name)
            try:
                events = finish.result()
            except SilentError:
                _start_reading(race, stream, run)
            except (NotRunError, OutcomeUnknownError) as error:
                stream.end_run(run, error)
            else:
                progress = Progress(run, events)
                fault = stream.find_fault(progress)
                if not fault:
                    return progress
                stream.end_run(run, OutcomeUnknownError(fault))


def _start_reading(race: Race, stream: HedgedStream, run: EngineRun) -> None:
    race.start(run.id, partial(run.read, limit=stream.read_limit(run)))
