"""When the stages of a request should run. No input or output here."""

from collections.abc import Callable

from bergamotsaddle_serving.catalog import Route
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_load import ScopeLoad, place

# A stage that would be done before others is begun so much earlier than needed.
_HEAD_START_S = 0.08
# A queue whose targets all rest after failures is asked again after this.
_AVOID_S = 0.5


class StagePlan:
    """The stages that a request needs and the times that each should take.

    Args:
        route: The request's route.
        pieces: Number of pieces of each stage; absent ones count as none.
        zone: The zone in which its stages are to run.
        load: At which queue a stage of the zone is best done as pieces of a place
            meet it, and the load there.
        urgency: Urgency of the request, 0 first.
        began_at: When the request came.
        finish_seconds: Expected seconds from the last stage to the first event.
        policy: Which mechanisms are in force.
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
    ) -> None:
        self._policy = policy
        self._route = route
        self.zone = zone
        self._began_at = started_at
        self._last_end = started_at
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
                place(urgency, has_started=has_started),
            )
            self._expect(stage, expected)
        followed = {n for stage in route.stages for n in stage.after}
        self.sinks = [n for n in self.needed if n not in followed]
        self._avoided_until: dict[tuple[str, str], float] = {}

    def _expect(self, stage: int, expected: ScopeLoad) -> None:
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
        """Stages whose results it needs."""
        return [n for n in self._route.stages[stage].after if self.pieces[n] > 0]

    def followers(self, stage: int) -> list[int]:
        """Stages that need its results."""
        return [n for n in self.needed if stage in self._route.stages[n].after]

    def path_seconds(self, stage: int) -> float:
        """Expected seconds from the begin of a stage to the end of the last one."""
        later = [self.path_seconds(n) for n in self.followers(stage)]
        return self.seconds[stage] + max(later, default=0.0)

    def after_seconds(self, stage: int) -> float:
        """Least expected seconds from the end of a stage to the first event."""
        return self.path_seconds(stage) - self.seconds[stage]

    def total_seconds(self) -> float:
        """Expected seconds of all stages together."""
        return max(self._end_by_stage.values(), default=0.0)

    def idle_seconds(self) -> float:
        """The same if nothing waited anywhere."""
        return max(self._idle_by_stage.values(), default=0.0)

    def objective_at(self, stage: int) -> float:
        """When the stage should be done for the request to be on time."""
        due = self._began_at + self._route.objective - self._finish_seconds
        return due - self.after_seconds(stage)

    def should_wait(self, stage: int, done: set[int], elapsed: float) -> bool:
        """Tell whether a stage should be begun later.

        A target has room for a few large results only. One that is made at once, while
        a chain of other stages still has a second to go, keeps that room from requests
        that could use it; so a stage that is not on the longest path is put off until
        it would end together with it.

        Args:
            stage: A stage that could begin.
            done: Stages that have ended.
            elapsed: Seconds since the last stage ended, or since the begin.
        """
        if not self._policy.has(Mechanism.SIDE_STAGES_WAIT):
            return False
        rest = self._longest_rest(stage, done, elapsed)
        return rest > self.path_seconds(stage) + _HEAD_START_S

    def _longest_rest(self, stage: int, done: set[int], elapsed: float) -> float:
        # A stage that takes longer than expected shortens none of those after it.
        rests = [
            max(0.0, self.seconds[n] - elapsed) + self.after_seconds(n)
            for n in self.needed
            if n != stage
            and n not in done
            and all(before in done for before in self.predecessors(n))
        ]
        return max(rests, default=0.0)

    def slack(self, moment: float) -> float:
        """Seconds that the request can lose and still be on time."""
        due = self._began_at + self._route.objective - self._finish_seconds
        rest = max((self.path_seconds(n) for n in self.sinks), default=0.0)
        return due - moment - rest

    def elapsed(self, moment: float) -> float:
        """Seconds since the last stage ended, or since the begin."""
        return moment - self._last_end

    def record_stage_done(self, moment: float) -> None:
        """Note the end of a stage."""
        self._last_end = moment

    def avoid(self, service: str, scope: str, moment: float) -> None:
        """Note that a queue has no target that works."""
        self._avoided_until[service, scope] = moment + _AVOID_S

    def is_avoided(self, service: str, scope: str, moment: float) -> bool:
        """Tell whether a queue was found without a working target lately."""
        return moment < self._avoided_until.get((service, scope), 0.0)
