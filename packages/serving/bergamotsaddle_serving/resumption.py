"""Lets streams go on only at the version of the software that began them."""

import random
from collections import deque
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from bergamotsaddle_contracts.errors import ErrorKind
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Service, Target
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.engine_choice import prefix_key
from bergamotsaddle_serving.entry_certainty import EntryCertainty
from bergamotsaddle_serving.origin_exchange import OriginExchange
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.stream_ages import MAX_STREAM_AGE_S, StreamAges
from bergamotsaddle_serving.stream_origins import (
    CONFLICTING_ORIGIN,
    KnownStream,
    StreamOrigin,
    stream_key,
)
from bergamotsaddle_serving.view import View

# A caller may try again for somewhat longer than it says.
_EXPIRY_MARGIN_S = 2.0
_RETURN_SPREAD_S = 0.5
_SOLE_VERSION = "history"
_KEY = "key"
# Streams that an instance begins in the longest time for which it may be cut off.
_MAX_BEGUN = 5_000


class _BegunStream(NamedTuple):
    """A stream that began lately.

    Attributes:
        begun_at: When its first event arrived, on the hub's clock.
        target: The target that it is said to come from.
        stream: The stream with its origin.
    """

    begun_at: float
    target: Target
    stream: KnownStream


class Resumptions:
    """Knows which software began a stream, and which targets may go on with it.

    What two versions of a service's software send does not fit together, and targets
    do not check it. A stream whose origin is unknown goes on only if no other version
    can have begun it.

    Args:
        exchange: Origins of streams, here and at other instances.
        history: Versions that served lately.
        view: Listed targets.
        logger: Gets a line for each stream that a caller takes up again.

    Attributes:
        certainty: Which targets run the software that their entries name.
        has_restarted: Called with a target and the id of a request; returns whether
            the target says that it has started again since its entry was written.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        history: SoftwareHistory,
        view: View,
        logger: Any,
    ) -> None:
        self._exchange = exchange
        self._history = history
        self._view = view
        self._logger = logger
        self._ages = StreamAges()
        self.certainty = EntryCertainty(view)
        self.has_restarted: Callable[[Target, str], bool] = lambda target, request: (
            False
        )
        self._begun_lately: deque[_BegunStream] = deque()
        view.subscribe(self._mark_replaced)

    def resume(self, context: Context) -> Context:
        """Return the context of a request with the origin of the stream it resumes.

        Args:
            context: The request.

        Raises:
            RequestError: If the origin is unknown, or the stream can't go on at the
                service of the request.
        """
        head = context.head
        if not head.is_resumption:
            self._ages.record(context.route, head.deadline)
            return context
        started_at = now()
        origin, known_by = self._find_origin(context)
        reason = self._find_obstacle(context, origin)
        log = self._logger.warning if reason else self._logger.info
        log(
            "resumption_refused" if reason else "stream_resumed",
            request=head.id,
            stream=head.resumed_request,
            last_event=head.last_event_id,
            service=origin.service if origin else context.service.name,
            software=origin.software if origin else "",
            known_by=known_by,
            age=round(self._ages.limit(context.route, head.deadline), 3),
            reason=reason,
            seconds=round(now() - started_at, 4),
        )
        if not reason:
            service = self._find_service(context, origin)
            return context._replace(origin=origin, service=service)
        is_known = origin is not None and origin != CONFLICTING_ORIGIN
        kind = ErrorKind.VERSION_GONE if is_known else ErrorKind.ORIGIN_UNKNOWN
        raise context.rejection_error(kind, reason, retry_after=self._return_time(kind))

    def _return_time(self, kind: ErrorKind) -> float | None:
        """Return the seconds after which a caller may return, None for the usual ones.

        Callers of streams that broke off together return one by one.
        """
        settling = self._history.settling_seconds()
        if kind is not ErrorKind.ORIGIN_UNKNOWN or not settling:
            return None
        return settling + random.uniform(0.0, _RETURN_SPREAD_S)

    def bind(self, context: Context, target: Target) -> Context:
        """Record that a target sends the first event of a request's response.

        Returns:
            The context with the origin of the stream.
        """
        origin = context.origin or StreamOrigin(target.service, target.software)
        if not context.route.is_resumable:
            return context._replace(origin=origin)
        expires_at = now() + min(MAX_STREAM_AGE_S, context.head.deadline)
        stream = KnownStream(_key(context), origin, expires_at + _EXPIRY_MARGIN_S)
        if self.certainty.is_certain(target):
            self._exchange.record(stream)
            self._remember(target, stream)
        else:
            self._record_uncertain(target, stream)
        return context._replace(origin=origin)

    def may_run(self, target: Target, origin: StreamOrigin | None) -> bool:
        """Return whether a target may go on with a stream, or begin it."""
        if origin is None:
            return True
        if (target.service, target.software) != origin:
            return False
        if not self.certainty.is_certain(target):
            return False
        # Two targets that name no version may run different ones.
        is_named = bool(origin.software)
        return is_named or self._history.sole_version(origin.service) == ""

    def confirm(self, context: Context, target: Target) -> bool:
        """Return whether a target that may go on with a stream is the one of its entry.

        The entry may be older than the process behind it, which may run other software.
        So the target is asked, but for a stream that has no origin yet.

        Args:
            context: The request.
            target: The target.
        """
        if context.origin is None or not self.has_restarted(target, context.head.id):
            return True
        self.certainty.record_end(target.incarnation, now())
        return False

    def is_replaced(self, target: Target) -> bool:
        """Return whether a target's entry names other software by now."""
        return self._view.is_replaced(target)

    def is_certain(self, context: Context) -> bool:
        """Return whether a stream's origin still holds."""
        known = self._exchange.find_here(_key(context))
        return known is None or known.origin == context.origin

    def has_target(self, origin: StreamOrigin, excluded: Collection[str] = ()) -> bool:
        """Return whether any usable target may go on with a stream.

        Args:
            origin: What began the stream.
            excluded: Ids of targets that do not count.
        """
        return any(
            self.may_run(known.target, origin)
            for known in self._view.usable(origin.service)
            if known.target.id not in excluded
        )

    def choose_version(self, context: Context) -> str | None:
        """Return the version at which a new stream begins, None if there is none."""
        return self._history.choose_version(context.service.name, _choice_key(context))

    def single_versions(self, service: str) -> set[str]:
        """Return the versions of a service that have a single target."""
        return self._history.single_versions(service)

    def _find_origin(self, context: Context) -> tuple[StreamOrigin | None, str]:
        """Return the origin of a stream, and what knew it."""
        asked_at = now()
        if context.head.resumed_request:
            found = self._exchange.find(_key(context))
            if found is not None:
                return found
        proven = self._proven_version(context)
        if proven is None or not self._history.await_changes(asked_at):
            return None, ""
        # Another version may have been listed meanwhile.
        if self._proven_version(context) != proven:
            return None, ""
        software, known_by = proven
        return StreamOrigin(context.service.name, software), known_by

    def _proven_version(self, context: Context) -> tuple[str, str] | None:
        """Return the version that must have begun a stream, and what proves it."""
        if len(context.route.shares) > 1:
            return None
        age = self._ages.limit(context.route, context.head.deadline)
        service = context.service.name
        software = self._history.sole_version(service, seconds=age)
        if software is not None:
            return software, _SOLE_VERSION
        if not context.head.resumed_request:
            return None
        software = self._history.find_version(
            service, _choice_key(context), seconds=age
        )
        return (software, _KEY) if software is not None else None

    def _find_obstacle(self, context: Context, origin: StreamOrigin | None) -> str:
        """Return why a stream can't go on, empty if it can."""
        if origin is None:
            return "which version began the stream is unknown"
        if origin == CONFLICTING_ORIGIN:
            return "several versions are said to have begun the stream"
        if self._find_service(context, origin) is None:
            return f"the stream began at service {origin.service}"
        if not self.has_target(origin):
            return f"version {origin.software} of {origin.service} has no target"
        return ""

    def _find_service(self, context: Context, origin: StreamOrigin) -> Service | None:
        """Return the service that began a stream, None if the route leaves it out."""
        if origin.service == context.service.name:
            return context.service
        configuration = self._view.configuration
        if all(share.service != origin.service for share in context.route.shares):
            return None
        return configuration.services_by_name.get(origin.service)

    def _remember(self, target: Target, stream: KnownStream) -> None:
        begun = self._begun_lately
        begun.append(_BegunStream(now(), target, stream))
        since = self.certainty.certain_at()
        while begun[0].begun_at < since or len(begun) > _MAX_BEGUN:
            begun.popleft()

    def _mark_replaced(self) -> None:
        """Mark streams whose target may have had other software when they began."""
        since = self.certainty.certain_at()
        replaced = [
            begun
            for begun in self._begun_lately
            if begun.begun_at >= since and self._view.is_replaced(begun.target)
        ]
        for begun in replaced:
            self._begun_lately.remove(begun)
            self._record_uncertain(begun.target, begun.stream)

    def _record_uncertain(self, target: Target, stream: KnownStream) -> None:
        """Record that a target may have begun a stream with other software."""
        self._exchange.record(stream._replace(origin=CONFLICTING_ORIGIN))
        self._logger.warning(
            "origin_uncertain",
            target=target.id,
            service=target.service,
            software=target.software,
        )


def _choice_key(context: Context) -> str:
    """Return what a stream and each attempt to take it up have in common."""
    head = context.head
    return prefix_key(head.prompt) or f"{_key(context):x}"


def _key(context: Context) -> int:
    team = context.team.name if context.team else ""
    return stream_key(team, context.head.resumed_request or context.head.id)
