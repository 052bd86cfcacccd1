"""Runs with parts of prompts that crashes of targets interrupted.

This module does no input or output.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any, NamedTuple

from bergamotsaddle_serving.incarnations import Incarnation

# A target that has written for this long was not crashed by the start of the response.
WRITING_S = 1.0
# Answers about runs that are kept, at some hundred bytes each.
_MAX_ANSWERS = 20_000


class CrashedRun(NamedTuple):
    """A run that a crash interrupted.

    Attributes:
        parts: Ids of the shared parts of its prompt.
        seconds: For how long its target had been writing the response.
    """

    parts: frozenset[str]
    seconds: float


class CrashedRuns:
    """Interrupted runs by the crash that interrupted them.

    Parts are compared with each other at each of their crashes, again and again while
    crashes go on. The answers of a crash are kept until another run of it is known.
    """

    def __init__(self) -> None:
        # The inner keys are fingerprints.
        self._runs_by_crash: dict[Incarnation, dict[str, CrashedRun]] = {}
        # The inner keys are questions.
        self._answers_by_crash: dict[Incarnation, dict[tuple[Any, ...], Any]] = {}
        self._answers = 0

    def add(
        self,
        crash: Incarnation,
        fingerprint: str,
        parts: frozenset[str],
        seconds: float,
    ) -> None:
        """Add a run, or further parts of its prompt."""
        runs = self._runs_by_crash.setdefault(crash, {})
        known = runs.get(fingerprint, CrashedRun(frozenset(), seconds))
        runs[fingerprint] = CrashedRun(known.parts | parts, seconds)
        self._forget_answers(crash)

    def remove(self, crash: Incarnation, fingerprint: str) -> frozenset[str]:
        """Remove a run.

        Returns:
            The parts that no other run at this crash has.
        """
        runs = self._runs_by_crash.get(crash, {})
        run = runs.pop(fingerprint, None)
        if run is None:
            return frozenset()
        self._forget_answers(crash)
        if not runs:
            del self._runs_by_crash[crash]
        return run.parts.difference(*(other.parts for other in runs.values()))

    def __contains__(self, crash: Incarnation) -> bool:
        return crash in self._runs_by_crash

    def longest_writing(
        self, part: str, crash: Incarnation, without: str | None
    ) -> float | None:
        """Return for how long a target had been writing on a part at most.

        Args:
            part: The part.
            crash: Crash of the target.
            without: Part of other runs, which are left out.
        """

        def find() -> float | None:
            runs = self._runs(part, crash)
            seconds = [run.seconds for run in runs if without not in run.parts]
            return max(seconds, default=None)

        return self._answer(crash, ("longest", part, without), find)

    def is_nested(
        self, cause: str, part: str, crashes: Collection[Incarnation]
    ) -> bool:
        """Return whether each run with one part at some crashes has another one too."""

        def find(crash: Incarnation) -> bool:
            return all(part in run.parts for run in self._runs(cause, crash))

        return all(
            self._answer(
                crash, ("nested", cause, part), lambda crash=crash: find(crash)
            )
            for crash in crashes
        )

    def parts_beside(self, part: str, crash: Incarnation) -> frozenset[str]:
        """Return the parts that were in a prompt with a part at a crash.

        Runs that had just begun to write are likelier causes than the others.
        """

        def find() -> frozenset[str]:
            runs = list(self._runs(part, crash))
            causes = [run for run in runs if run.seconds < WRITING_S] or runs
            return frozenset().union(*(run.parts for run in causes))

        return self._answer(crash, ("beside", part), find)

    def _runs(self, part: str, crash: Incarnation) -> Iterator[CrashedRun]:
        """Yield the runs with a part that a crash interrupted."""
        runs: Iterable[CrashedRun] = self._runs_by_crash[crash].values()
        return (run for run in runs if part in run.parts)

    def _answer(
        self, crash: Incarnation, question: tuple[Any, ...], find: Callable[[], Any]
    ) -> Any:
        if self._answers >= _MAX_ANSWERS:
            self._answers_by_crash.clear()
            self._answers = 0
        answers = self._answers_by_crash.setdefault(crash, {})
        if question not in answers:
            answers[question] = find()
            self._answers += 1
        return answers[question]

    def _forget_answers(self, crash: Incarnation) -> None:
        self._answers -= len(self._answers_by_crash.pop(crash, ()))
