"""Results of the stages of one stream, from running them to releasing them."""

from typing import TYPE_CHECKING

import eventlet
from eventlet.greenthread import GreenThread

from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.engine_choice import EngineChoice
from bergamotsaddle_serving.engine_run import EngineRun
from bergamotsaddle_serving.stage_load import place
from bergamotsaddle_serving.stage_plan import StagePlan
from bergamotsaddle_serving.stage_run import StageRun

if TYPE_CHECKING:
    from bergamotsaddle_serving.streams import StreamServer

# Pause between checks whether an engine that was quiet has fetched its inputs.
_FETCH_CHECK_S = 0.05


class StreamInputs:
    """Inputs of the engines of one stream.

    Args:
        server: Server of the stream.
        context: The request.

    Attributes:
        handles: Handles of the results; None before the stages have run, and once an
            engine has fetched them.
    """

    def __init__(self, server: "StreamServer", context: Context) -> None:
        self.handles: tuple[str, ...] | None = None
        # The last plan, and how long its stages took.
        self._done: tuple[StagePlan, float] | None = None
        self._server = server
        self._context = context
        self._stages: StageRun | None = None
        self._last_stages: StageRun | None = None
        self._release_timer: GreenThread | None = None

    def run_stages(
        self, choice: EngineChoice, *, deadline_at: float, has_objective: bool
    ) -> None:
        """Run the stages.

        The objective of the route counts for the first run only. It has mostly passed
        when an engine fails, and the caller waits for longer.

        Args:
            choice: The engine that needs the results.
            deadline_at: When they are useless, on the hub's clock.
            has_objective: Whether the first event is still due by the objective.

        Raises:
            RequestError: If the stages can't be run in time.
        """
        context = self._context
        plan = self._server.plan(context, choice.engine.zone, choice.finish_seconds)
        if not plan.needed:
            self.handles = ()
            return
        self.release()
        is_first = self._last_stages is None
        self._stages = self._make_stages(
            plan, deadline_at=deadline_at, has_objective=has_objective and is_first
        )
        self._last_stages = self._stages
        outcome = self._stages.run()
        self.handles = outcome.handles
        self._done = (plan, outcome.seconds)
        self._server.logger.info(
            "stages_done",
            request=context.head.id,
            zone=choice.engine.zone,
            seconds=round(outcome.seconds, 3),
            expected=round(plan.total_seconds(), 3),
            stages=outcome.stages,
        )

    def waited(self) -> float:
        """Return by how many seconds the stages took longer than on idle targets."""
        if self._done is None:
            return 0.0
        plan, seconds = self._done
        return max(0.0, seconds - plan.idle_seconds())

    def release_when_fetched(self, run: EngineRun, sent_bytes: int) -> None:
        """Release the results once the engine has certainly fetched them.

        An engine fetches its inputs as soon as it receives the request, but sends its
        first event only after it has read the prompt, up to half a second later. Stage
        targets with memory for a handful of results would be idle until then.

        Args:
            run: The run that was sent to the engine.
            sent_bytes: Size of its request.
        """
        if not self.handles:
            return
        sizes = self._context.route.stages
        max_bytes = max(stage.result_bytes for stage in sizes) * len(self.handles)
        delay = self._server.fetch_times.seconds(max_bytes, sent_bytes)
        self._check_fetched_after(delay, run)

    def drop(self) -> None:
        """Release the results, which the current engine needs no more.

        If the stream breaks off later, which is rare, the stages are run again.
        """
        if self.handles:
            self.handles = None
        self.release()

    def forget(self) -> None:
        """Release the results, of which one was lost.

        Stages that run at this moment make new ones.
        """
        if self.handles is not None:
            self.release()
            self.handles = None

    def release(self) -> None:
        """Release the results and pending pieces that the request still holds."""
        self._cancel_timer()
        if self._stages is not None:
            self._stages.release()
            self._stages = None

    def _make_stages(
        self, plan: StagePlan, *, deadline_at: float, has_objective: bool
    ) -> StageRun:
        context = self._context
        server = self._server
        last = self._last_stages
        return StageRun(
            context.head,
            context.route,
            plan,
            server.exchange,
            server.logger,
            urgency=context.urgency,
            deadline_at=deadline_at,
            choose_queues=lambda service, stage, count: server.waits.choose_queues(
                service,
                context.route.stages[stage],
                count,
                place(
                    context.urgency,
                    has_started=bool(plan.predecessors(stage)),
                    by_urgency=plan.by_urgency,
                ),
                plan,
            ),
            pending=server.waits.pending,
            ttl_seconds=server.waits.ttl_seconds,
            first_round=last.next_round if last is not None else 0,
            fingerprint=context.fingerprint,
            has_objective=has_objective,
            team=server.room.sharing_team(context),
        )

    def _check_fetched_after(self, delay: float, run: EngineRun) -> None:
        self._cancel_timer()
        self._release_timer = eventlet.spawn_after(delay, self._check_fetched, run)

    def _check_fetched(self, run: EngineRun) -> None:
        self._release_timer = None
        if run.is_engine_quiet:
            self._check_fetched_after(_FETCH_CHECK_S, run)
        else:
            self.drop()

    def _cancel_timer(self) -> None:
        if self._release_timer is not None:
            self._release_timer.cancel()
            self._release_timer = None
