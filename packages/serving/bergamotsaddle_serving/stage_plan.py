"""Planned times of a request's stages.

This module does no input or output.
"""

from collections.abc import Callable

from bergamotsaddle_serving.catalog import Route
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_load import ScopeLoad, place

# A stage that would finish before the others starts this much earlier than necessary.
_HEAD_START_S = 0.08
# A queue whose targets all back off after failures is tried again after this time.
_AVOID_QUEUE_S = 0.5


class StagePlan:
    """The stages that a request needs and their expected times.

    Args:
        route: Route of the request.
        pieces: Number of pieces of each stage; missing ones count as zero.
        zone: Zone in which the stages should run.
        load: Returns the best queue of a stage service for a zone and a place in the
            queue, and the load there.
        urgency: Urgency of the request, 0 first.
        started_at: When the request arrived.
        finish_seconds: Expected seconds from the last stage to the first event.
        policy: Enabled mechanisms.
        by_urgency: Whether started requests are expected to wait for more urgent ones
            only.

    Attributes:
        by_urgency: As the argument.
        zone: Zone in which the stages should run.
        pieces: Number of pieces of each stage.
        needed: Stages that have pieces.
        seconds: Expected seconds of each needed stage.
        scope_by_stage: Zone or region whose queue each needed stage should use.
        sinks: Needed stages that no other stage follows.
    """

    def __init__(
        self,
        route: Route,
        pieces: tuple[int, ...],
        zone: str,
        load: Callable[[str, str, int], ScopeLoad],
        *,
        urgency: int,
        started_at: float,
        finish_seconds: float,
        policy: Policy = FULL_POLICY,
        by_urgency: bool = False,
    ) -> None:
        self._policy = policy
        self.by_urgency = by_urgency
        self._route = route
        self.zone = zone
        self._started_at = started_at
        self._last_stage_end_at = started_at
        self._finish_seconds = finish_seconds
        count = len(route.stages)
        self.pieces = (*pieces[:count], *[0] * (count - len(pieces)))
        self.needed = [n for n in range(count) if self.pieces[n] > 0]
        self.seconds: dict[int, float] = {}
        self.scope_by_stage: dict[int, str] = {}
        self._end_by_stage: dict[int, float] = {}
        self._idle_by_stage: dict[int, float] = {}
        for stage in self.needed:
            has_started = bool(self.predecessors(stage))
            expected = load(
                route.stages[stage].service,
                zone,
                place(urgency, has_started=has_started, by_urgency=by_urgency),
            )
            self._expect(stage, expected)
        followed = {n for stage in route.stages for n in stage.after}
        self.sinks = [n for n in self.needed if n not in followed]
        self._avoided_until: dict[tuple[str, str], float] = {}

    def _expect(self, stage: int, expected: ScopeLoad) -> None:
        """Set the expected times of a stage from those of its predecessors."""
        ends = [self._end_by_stage.get(n, 0.0) for n in self._route.stages[stage].after]
        start = max(ends, default=0.0)
        self.scope_by_stage[stage] = expected.scope
        self.seconds[stage] = expected.load.seconds(start)
        self._end_by_stage[stage] = start + self.seconds[stage]
        idle = [
            self._idle_by_stage.get(n, 0.0) for n in self._route.stages[stage].after
        ]
        self._idle_by_stage[stage] = max(idle, default=0.0) + expected.load.call

    def predecessors(self, stage: int) -> list[int]:
        """Return the stages whose results a stage needs."""
        return [n for n in self._route.stages[stage].after if self.pieces[n] > 0]

    def followers(self, stage: int) -> list[int]:
        """Return the stages that need the results of a stage."""
        return [n for n in self.needed if stage in self._route.stages[n].after]

    def path_seconds(self, stage: int) -> float:
        """Return the expected seconds from a stage's start to the last stage's end."""
        later = [self.path_seconds(n) for n in self.followers(stage)]
        return self.seconds[stage] + max(later, default=0.0)

    def after_seconds(self, stage: int) -> float:
        """Return the minimum expected seconds from a stage's end to the first event."""
        return self.path_seconds(stage) - self.seconds[stage]

    def total_seconds(self) -> float:
        """Return the expected seconds of all stages together."""
        return max(self._end_by_stage.values(), default=0.0)

    def idle_seconds(self) -> float:
        """Return the expected seconds of all stages if all queues were empty."""
        return max(self._idle_by_stage.values(), default=0.0)

    def objective_at(self, stage: int) -> float:
        """Return when a stage must be done for the request to be on time."""
        due = self._started_at + self._route.objective - self._finish_seconds
        return due - self.after_seconds(stage)

    def should_wait(self, stage: int, done: set[int], elapsed: float) -> bool:
        """Return whether a stage should start later.

        A target has memory for only a few large results. A result that is made at once,
        while a chain of other stages still needs another second, keeps that memory from
        requests that could use it. A stage off the longest path is therefore postponed
        until it would end together with that path.

        Args:
            stage: A stage that could start.
            done: Stages that have ended.
            elapsed: Seconds since the last stage ended, or since the request arrived.
        """
        if not self._policy.has(Mechanism.SIDE_STAGES_WAIT):
            return False
        remaining = self._longest_remaining(stage, done, elapsed)
        return remaining > self.path_seconds(stage) + _HEAD_START_S

    def _longest_remaining(self, stage: int, done: set[int], elapsed: float) -> float:
        """Return the longest remaining path of the other stages that can run."""
        # A stage that takes longer than expected does not shorten the stages after it.
        remaining_times = [
            max(0.0, self.seconds[n] - elapsed) + self.after_seconds(n)
            for n in self.needed
            if n != stage
            and n not in done
            and all(before in done for before in self.predecessors(n))
        ]
        return max(remaining_times, default=0.0)

    def slack(self, now: float) -> float:
        """Return the seconds that the request can lose and still be on time."""
        due = self._started_at + self._route.objective - self._finish_seconds
        remaining = max((self.path_seconds(n) for n in self.sinks), default=0.0)
        return due - now - remaining

    def elapsed(self, now: float) -> float:
        """Return the seconds since the last stage ended, or since the start."""
        return now - self._last_stage_end_at

    def record_stage_done(self, now: float) -> None:
        """Record the end of a stage."""
        self._last_stage_end_at = now

    def avoid(self, service: str, scope: str, now: float) -> None:
        """Record that a queue has no working target."""
        self._avoided_until[service, scope] = now + _AVOID_QUEUE_S

    def is_avoided(self, service: str, scope: str, now: float) -> bool:
        """Return whether a queue recently had no working target."""
        return now < self._avoided_until.get((service, scope), 0.0)
