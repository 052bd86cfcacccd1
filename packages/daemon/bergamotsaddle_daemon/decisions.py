"""A log line for each routing or placement decision, and the last ones by request."""

import sys
from collections import OrderedDict
from typing import Any, NamedTuple

import msgspec
import structlog

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.settings import Settings


class Decision(NamedTuple):
    """One decision.

    Attributes:
        request: Id of the request, or an empty string.
        subject: What was decided on, such as ``route`` or ``permit``.
        choice: What was chosen, or an empty string for a refusal.
        reason: Why.
        candidates: How many there were to choose from.
        at: Seconds on the hub's clock.
    """

    request: str
    subject: str
    choice: str
    reason: str
    candidates: int
    at: float


def make_logger(settings: Settings) -> structlog.typing.FilteringBoundLogger:
    """Make the logger of this instance, one JSON object a line on standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(serializer=_encode_line),
        ],
        logger_factory=structlog.BytesLoggerFactory(sys.stdout.buffer),
    )
    return structlog.get_logger(instance=settings.daemon.id)


def _encode_line(event: dict[str, Any], **_: Any) -> bytes:
    """Encode without the options of the standard library's encoder."""
    return msgspec.json.encode(event)


class DecisionLog:
    """Writes decisions to the log and keeps those of the latest requests.

    Args:
        settings: The daemon's settings; bounds how many requests are kept.
        logger: Where the lines go.
    """

    def __init__(self, settings: Settings, logger: structlog.typing.WrappedLogger):
        self._limit = settings.limits.decisions
        self._logger = logger
        self._by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(
        self, request: str, subject: str, choice: str, reason: str, candidates: int = 0
    ) -> None:
        """Write one decision."""
        self._logger.info(
            subject,
            request=request,
            choice=choice,
            reason=reason,
            candidates=candidates,
        )
        if not request:
            return
        decision = Decision(request, subject, choice, reason, candidates, now())
        self._by_request.setdefault(request, []).append(decision)
        if len(self._by_request) > self._limit:
            self._by_request.popitem(last=False)

    def of_request(self, request: str) -> list[Decision]:
        """Decisions of one request, oldest first; empty if no longer kept."""
        return list(self._by_request.get(request, ()))
