"""Since when each target has been listed.

This module does no input or output.
"""

from collections import deque
from collections.abc import Collection, Iterable
from math import inf
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.stream_ages import MAX_STREAM_AGE_S
from bergamotsaddle_serving.version_choice import VersionedTarget, find_version

# Views of instances may be this late, and targets serve on behind their removal.
MAX_VIEW_LAG_S = 6.0
_MAX_ENDED = 20_000


class _Listing(NamedTuple):
    """A time in which a target was listed.

    Attributes:
        target: The target.
        since: When it was listed and warm, on the hub's clock.
        until: When it left the list, infinite if it is listed.
    """

    target: VersionedTarget
    since: float
    until: float = inf


class TargetListings:
    """Knows which targets of a service were listed all the time, and which were not."""

    def __init__(self) -> None:
        self._listing_by_id: dict[tuple[str, str], _Listing] = {}
        self._ended: deque[tuple[str, _Listing]] = deque()
        self._known_since = inf
        self._started_at = inf

    def age(self) -> float:
        """Return the seconds since the first list was read, negative before it."""
        return now() - self._started_at

    def update(self, listed: Iterable[tuple[str, VersionedTarget, float]]) -> None:
        """Record which targets are listed now.

        Args:
            listed: Service, target, and when it is warm, on the hub's clock.
        """
        at = now()
        self._started_at = min(self._started_at, at)
        self._known_since = min(self._known_since, at)
        known = self._listing_by_id
        current: dict[tuple[str, str], _Listing] = {}
        for service, target, warm_at in listed:
            key = service, target.id
            listing = known.get(key)
            if listing is None or listing.target != target or warm_at > at:
                since = at if listing is None else max(at, listing.since)
                listing = _Listing(target, max(since, warm_at))
            current[key] = listing
        for (service, name), listing in known.items():
            replacing = current.get((service, name))
            if replacing is None or replacing.target != listing.target:
                self._ended.append((service, listing._replace(until=at)))
        self._listing_by_id = current
        self._drop_old(at)

    def add_passing(self, targets: Iterable[tuple[str, VersionedTarget]]) -> None:
        """Record services and targets that may have been listed for a moment only."""
        at = now()
        for service, target in targets:
            listing = self._listing_by_id.get((service, target.id))
            if listing is None or listing.target != target:
                self._ended.append((service, _Listing(target, at, at)))

    def learn_past(
        self,
        steady: Iterable[tuple[str, VersionedTarget]],
        left: Iterable[tuple[str, VersionedTarget]],
        *,
        listed_at: float,
        seconds: float,
    ) -> None:
        """Learn which targets were listed before this instance started.

        Args:
            steady: Services and targets that were listed all the time.
            left: Those that were listed for a part of the time.
            listed_at: When this instance read the list, on the hub's clock.
            seconds: Time before that for which these are all targets.
        """
        for service, target in steady:
            listing = self._listing_by_id.get((service, target.id))
            if listing is not None and listing.since <= now():
                since = listing._replace(since=-inf)
                self._listing_by_id[service, target.id] = since
        for service, target in left:
            self._ended.append((service, _Listing(target, -inf, listed_at)))
        self._known_since = min(self._known_since, listed_at - seconds)

    def forget_past(self) -> None:
        """Record that targets may have come and gone unseen until now."""
        at = now()
        self._known_since = at
        for key, listing in self._listing_by_id.items():
            self._listing_by_id[key] = listing._replace(since=max(at, listing.since))

    def find_version(
        self, service: str, key: str, *, seconds: float, versions: Collection[str]
    ) -> str | None:
        """Return the version that began a stream, None if that is not certain.

        Args:
            service: Service of the stream.
            key: Key of the stream, see ``choose_version``.
            seconds: The longest time for which it may have been running.
            versions: Versions of the service that any instance has listed lately.
        """
        begun_at = now() - seconds - MAX_VIEW_LAG_S
        if self._known_since > begun_at:
            return None
        listings = [
            listing
            for (name, _), listing in self._listing_by_id.items()
            if name == service
        ]
        steady = {one.target for one in listings if one.since <= begun_at}
        others = {one.target for one in listings} - steady
        others |= {
            one.target
            for name, one in self._ended
            if name == service and one.until >= begun_at
        }
        if any(not target.software for target in steady | others):
            # Targets that name no version may run different ones.
            return None
        if not {target.software for target in steady | others}.issuperset(versions):
            return None
        return find_version(steady, others - steady, key)

    def _drop_old(self, at: float) -> None:
        earliest = at - MAX_STREAM_AGE_S - MAX_VIEW_LAG_S
        while self._ended and self._ended[0][1].until < earliest:
            self._ended.popleft()
        while len(self._ended) > _MAX_ENDED:
            _, dropped = self._ended.popleft()
            self._known_since = max(self._known_since, dropped.until)
