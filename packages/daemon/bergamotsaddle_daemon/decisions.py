"""Logs routing and placement decisions and keeps the latest ones by request."""

import sys
from collections import OrderedDict
from typing import Any, NamedTuple

import msgspec
import structlog

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.settings import Settings


class Decision(NamedTuple):
    """One routing or placement decision.

    Attributes:
        request: Id of the request, or an empty string.
        subject: Subject of the decision, such as ``route`` or ``permit``.
        choice: The choice, or an empty string if nothing was chosen.
        reason: Reason for the choice.
        candidates: Number of candidates.
        at: Time of the decision in seconds on the hub's clock.
    """

    request: str
    subject: str
    choice: str
    reason: str
    candidates: int
    at: float


def make_logger(settings: Settings) -> structlog.typing.FilteringBoundLogger:
    """Create this instance's logger, which writes JSON lines to standard output."""
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
    """Encode a line, ignoring options meant for the standard library's encoder."""
    return msgspec.json.encode(event)


class DecisionLog:
    """Writes decisions to the log and keeps those of the latest requests.

    Args:
        settings: The daemon's settings, which bound the number of requests kept.
        logger: Receives the log lines.
    """

    def __init__(self, settings: Settings, logger: structlog.typing.WrappedLogger):
        self._max_requests = settings.limits.decisions
        self._logger = logger
        self._by_request: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(
        self, request: str, subject: str, choice: str, reason: str, candidates: int = 0
    ) -> None:
        """Log one decision, and keep it if it belongs to a request."""
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
        if len(self._by_request) > self._max_requests:
            self._by_request.popitem(last=False)

    def of_request(self, request: str) -> list[Decision]:
        """Return the decisions of one request, oldest first; empty if not kept."""
        return list(self._by_request.get(request, ()))
