"""Admits one stream, or rejects it with the time at which its caller may return."""

from typing import Any, NamedTuple, Protocol

from bergamotsaddle_contracts.errors import ErrorKind
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.admission import (
    Forecast,
    admits,
    retry_after,
    seconds_until_room,
)
from bergamotsaddle_serving.decisions.engine_choice import EngineChoice
from bergamotsaddle_serving.decisions.return_times import ReturnTime, has_time
from bergamotsaddle_serving.decisions.stream_ends import (
    EndForecast,
    EndTrials,
    Outlook,
)
from bergamotsaddle_serving.decisions.urgency_distribution import UrgencyDistribution
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.policy import Policy
from bergamotsaddle_serving.room import Patience, Room
from bergamotsaddle_serving.stage_plan import StagePlan


class AdmittingServer(Protocol):
    """What the admission of streams needs to know of their server.

    Attributes:
        room: Decides who gets room that is short.
        urgencies: How urgent recent requests were.
        end_trials: Decides which hopeless streams run nonetheless.
        policy: Enabled mechanisms.
        metrics: Counts callers that came when told, and hopeless streams.
        logger: Logs decisions.
    """

    room: Room
    urgencies: UrgencyDistribution
    end_trials: EndTrials
    policy: Policy
    metrics: Metrics
    logger: Any

    def plan(self, context: Context, zone: str, finish_seconds: float) -> StagePlan:
        """Return the plan of a request's stages."""


class _Assessment(NamedTuple):
    """What one admission is decided by.

    Attributes:
        choice: The engine that would run the stream.
        forecast: How long it is expected to take.
        more_urgent: Fraction of the requests that are more urgent.
        patience: What the room that is short leaves to it.
    """

    choice: EngineChoice
    forecast: Forecast
    more_urgent: float
    patience: Patience


class StreamAdmission:
    """Admission of one stream, at each engine that is chosen for it.

    Args:
        server: Server of the stream.
    """

    def __init__(self, server: AdmittingServer) -> None:
        self._server = server
        self._is_missed = False
        # Whether the caller came when told. Its place holds for each engine that is
        # chosen, though its keeper names it once.
        self._has_place = False

    def check(self, context: Context, choice: EngineChoice) -> None:
        """Reject a request that would not be done in time, before any stage runs.

        This sheds the load of bursts that exceed the capacity of the stages. Work for
        a request that ends without a response is lost to other requests, so a request
        is not rejected any more once its stages have started.

        Args:
            context: The request.
            choice: The engine that would run it.

        Raises:
            RequestError: If the request is rejected.
        """
        assessment = self._assess(context, choice)
        is_expected_in_time = admits(
            assessment.forecast,
            assessment.more_urgent,
            self._server.policy,
            patience=assessment.patience.fraction,
        )
        came_when_told = not is_expected_in_time and self._came_when_told(
            context, assessment.forecast
        )
        if not is_expected_in_time and not came_when_told:
            self._reject(context, assessment)
        self._log(context, assessment, is_admitted=True, came_when_told=came_when_told)
        self.check_end(context, choice)

    def _assess(self, context: Context, choice: EngineChoice) -> _Assessment:
        server = self._server
        plan = server.plan(context, choice.engine.zone, choice.finish_seconds)
        forecast = Forecast(
            seconds=choice.seconds,
            idle_seconds=plan.idle_seconds() + choice.idle_seconds,
            objective=context.started_at + context.route.objective - now(),
            remaining=context.first_event_by - now(),
        )
        if context.origin is not None or context.earlier_runs:
            # The caller has a part of the stream, or has waited for an instance that
            # died, and ending it would waste that. It is due only before the caller
            # gives up.
            forecast = forecast._replace(objective=forecast.remaining)
        return _Assessment(
            choice,
            forecast,
            server.urgencies.more_urgent_fraction(context.urgency),
            server.room.patience(context),
        )

    def _came_when_told(self, context: Context, forecast: Forecast) -> bool:
        """Return whether the caller came when told and can be served."""
        if self._has_place:
            return has_time(forecast.seconds, forecast.remaining)
        self._has_place = self._server.room.came_when_told(
            context, seconds=forecast.seconds, remaining=forecast.remaining
        )
        if self._has_place:
            self._server.metrics.count_return(context.route.name)
        return self._has_place

    def _reject(self, context: Context, assessment: _Assessment) -> None:
        """Reject a request that is expected to be late.

        Raises:
            RequestError: Always, with the time to return.
        """
        forecast = assessment.forecast
        self.record_missed(context)
        told = self._server.room.tell_return(
            context,
            room_in=seconds_until_room(
                forecast,
                assessment.more_urgent,
                self._server.policy,
                patience=assessment.patience.fraction,
            ),
            remaining=forecast.remaining,
        )
        self._log(context, assessment, is_admitted=False, told=told)
        raise context.rejection_error(
            ErrorKind.DEADLINE_INFEASIBLE,
            f"expected to take {assessment.choice.seconds:.2f} s",
            retry_after=told.seconds if told is not None else retry_after(forecast),
        )

    def record_start(self, context: Context, *, waited: float) -> None:
        """Record whether the first event is late because the stages had to wait.

        Other requests can't leave room for one that is late at its engine.

        Args:
            context: The request.
            waited: Seconds for which its pieces waited in stage queues.
        """
        seconds = now() - context.started_at
        if seconds > context.route.objective >= seconds - waited:
            self.record_missed(context)

    def record_missed(self, context: Context) -> None:
        """Count a request that more room would have helped, once."""
        if self._is_missed or context.origin is not None:
            return
        self._is_missed = True
        self._server.room.record_missed(context)

    def check_end(self, context: Context, choice: EngineChoice) -> None:
        """Reject a stream that no engine can end before its caller gives up.

        A few run nonetheless, as they may show that the forecast is wrong.

        Args:
            context: The request.
            choice: The engine that would run it.

        Raises:
            RequestError: If it would end too late even if it were short.
        """
        end = choice.end
        is_kept = context.origin is not None or context.earlier_runs > 0
        if end is None or end.outlook is not Outlook.NONE or is_kept:
            return
        route = context.route.name
        if self._server.end_trials.take(route):
            self._server.metrics.count_hopeless_stream(route, "tried")
            return
        self._server.metrics.count_hopeless_stream(route, "rejected")
        self._log_end(context, choice, end)
        wait = retry_after(
            Forecast(end.seconds, choice.idle_seconds, end.remaining, end.remaining)
        )
        raise context.rejection_error(
            ErrorKind.DEADLINE_INFEASIBLE,
            f"expected to end after {end.seconds:.2f} s",
            retry_after=wait,
        )

    def _log(
        self,
        context: Context,
        assessment: _Assessment,
        *,
        is_admitted: bool,
        came_when_told: bool = False,
        told: ReturnTime | None = None,
    ) -> None:
        choice, forecast, more_urgent, patience = assessment
        self._server.logger.info(
            "admit" if is_admitted else "turn_away",
            request=context.head.id,
            engine=choice.engine.id,
            reason=choice.reason,
            expected=round(forecast.seconds, 3),
            idle=round(forecast.idle_seconds, 3),
            left=round(forecast.remaining, 3),
            objective=context.route.objective,
            urgency=context.urgency,
            more_urgent=round(more_urgent, 2),
            version=context.version,
            pressure=round(patience.pressure, 2),
            team=context.team.name if context.team is not None else "",
            over_share=patience.is_over_share,
            came_when_told=came_when_told,
            told=round(told.seconds, 3) if told is not None else None,
            has_place=told is not None and told.has_place,
            **_end_fields(choice),
        )

    def _log_end(
        self, context: Context, choice: EngineChoice, end: EndForecast
    ) -> None:
        self._server.logger.info(
            "stream_end_forecast",
            request=context.head.id,
            engine=choice.engine.id,
            seconds=round(end.seconds, 2),
            chance=round(end.chance, 2),
            prospect=round(end.prospect, 2),
            left=round(end.remaining, 2),
            hint=context.head.length_hint,
            most=context.head.output_tokens,
            running=choice.engine.running,
            writing=round(choice.engine.speed.writing, 2),
        )


def _end_fields(choice: EngineChoice) -> dict[str, float]:
    """Return what a log line says of the end of a stream, nothing if it is unknown."""
    end = choice.end
    if end is None:
        return {}
    writing = round(choice.engine.speed.writing, 2)
    return {
        "end": round(end.seconds, 2),
        "chance": round(end.chance, 2),
        "writing": writing,
    }
