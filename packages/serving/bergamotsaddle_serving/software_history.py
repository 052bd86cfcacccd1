"""Which versions of each service's software have served lately."""

from collections import Counter
from math import inf
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Heartbeat
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.software_evidence import SoftwareEvidence
from bergamotsaddle_serving.stream_ages import MAX_STREAM_AGE_S
from bergamotsaddle_serving.target_listings import MAX_VIEW_LAG_S, TargetListings
from bergamotsaddle_serving.version_choice import (
    MIN_TARGETS,
    VersionedTarget,
    choose_version,
)
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_freshness import ViewFreshness

_VERSIONS = Topic("software", ttl_seconds=MAX_STREAM_AGE_S, max_facts=5_000)
_SERVED = 1.0
_PRIORITY = 50.0
_SEPARATOR = "\x1f"
# An instance whose view was out of date learns within this time from the others which
# versions came and went meanwhile.
_SETTLE_S = 3.0
# An instance that has started has heard within this time from all that are left, also
# from those that stood still for some seconds.
_MEETING_S = 4.0
_CONFIRMATION_POLL_S = 0.05


class SoftwareHistory:
    """Knows of services whose streams all began at one version of the software.

    A stream whose origin is unknown may go on only at such a service. Each instance
    records the versions that its view lists. A version that has left the list is known
    from the instances that have seen it; one that has just started has all of them
    once it agrees with an instance that has. If none is left, the store may prove
    which versions served before.

    Args:
        gossip: Carries the versions to instances that have not seen them.
        view: Listed targets.
        peers: Tells the other instances whether this one's history is complete.
        logger: Gets a line when the history is complete.
        is_first_start: Whether the whole system starts for the first time, so that no
            stream began before.
        max_view_age: Seconds after which an unconfirmed view may lack a version.
    """

    def __init__(
        self,
        gossip: Gossip,
        view: View,
        peers: Peers,
        logger: Any,
        *,
        is_first_start: bool,
        max_view_age: float,
    ) -> None:
        self._gossip = gossip
        self._view = view
        self._logger = logger
        self._max_view_age = max_view_age
        self._freshness = ViewFreshness(max_view_age)
        self._versions_by_service: dict[str, set[str]] = {}
        self._listings = TargetListings()
        # Dropped with each change of the view.
        self._listed_by_service: dict[str, list[VersionedTarget]] = {}
        # Time since which all versions that instances listed are known.
        self._known_since = -inf if is_first_start else inf
        self._outdated_at = -inf
        gossip.subscribe(_VERSIONS, self._on_fact, priority=lambda key: _PRIORITY)
        view.subscribe(self._record_listings)
        view.subscribe(self.refresh)
        view.on_gap = self._forget_past
        peers.own_has_history = lambda: self.is_complete() and self._is_current()

    def is_complete(self) -> bool:
        """Return whether all versions of the last ten minutes are known."""
        return self._known_since <= now() - MAX_STREAM_AGE_S

    def refresh(self) -> None:
        """Record that the listed versions serve, or that the view is out of date."""
        if self._view.has_snapshot:
            self._known_since = min(self._known_since, now())
        if self._view.age() > self._max_view_age:
            self._outdated_at = now()
        applied = self._view.take_applied()
        versions = {(target.service, target.software) for target in applied}
        for service, software in self._view.software_versions() | versions:
            self._gossip.record(_VERSIONS, _key(service, software), _SERVED)
        self._listings.add_passing((t.service, _versioned(t)) for t in applied)

    def learn_from(self, heartbeat: Heartbeat) -> None:
        """Learn from the heartbeat of an instance that holds the same facts."""
        if heartbeat.has_history and not self.is_complete():
            self._known_since = -inf
            self._logger.info("software_history_complete", source=heartbeat.sender.id)

    def learn_from_store(self, evidence: SoftwareEvidence, listed_at: float) -> None:
        """Learn what the store proves about the time before this instance started.

        Args:
            evidence: What it proves.
            listed_at: When the store was asked, on the hub's clock.
        """
        for service, software in evidence.versions:
            self._gossip.record(_VERSIONS, _key(service, software), _SERVED)
        self._known_since = min(self._known_since, listed_at - evidence.seconds)
        self._listings.learn_past(
            [(target.service, _versioned(target)) for target in evidence.steady],
            [(target.service, _versioned(target)) for target in evidence.left],
            listed_at=listed_at,
            seconds=evidence.seconds,
        )

    def sole_version(
        self, service: str, *, seconds: float = MAX_STREAM_AGE_S
    ) -> str | None:
        """Return the only version that may have begun streams of a service.

        Args:
            service: Name of the service.
            seconds: Age of the oldest stream that counts.

        Returns:
            The version, None if there were several or it is not certain.
        """
        self.refresh()
        if not self._is_known_for(seconds) or not self._is_current():
            return None
        versions = self._versions_by_service.get(service, ())
        return next(iter(versions)) if len(versions) == 1 else None

    def choose_version(self, service: str, key: str) -> str | None:
        """Return the version at which the streams of a key begin.

        Args:
            service: Name of the service.
            key: Key of the stream, see ``choose_version`` of ``version_choice``.

        Returns:
            The version, None if each version has a single target.
        """
        return choose_version(self._listed_targets(service), key)

    def single_versions(self, service: str) -> set[str]:
        """Return the versions of a service that have a single target."""
        listed = Counter(target.software for target in self._listed_targets(service))
        return {version for version, count in listed.items() if count < MIN_TARGETS}

    def find_version(self, service: str, key: str, *, seconds: float) -> str | None:
        """Return the version at which a stream has begun by its key.

        A stream begins elsewhere if no target of its version can take it. The instance
        that began it knows; so this is for instances that started again behind it, once
        those that are left have told them of it.

        Args:
            service: Name of the service.
            key: Key of the stream.
            seconds: The longest time for which it may have been running.

        Returns:
            The version, None if another one may have begun it.
        """
        self.refresh()
        if not self._is_known_for(seconds) or not self._is_current():
            return None
        if self.settling_seconds() > 0 or self._listings.age() > seconds:
            return None
        versions = self._versions_by_service.get(service, set())
        return self._listings.find_version(
            service, key, seconds=seconds, versions=versions
        )

    def settling_seconds(self) -> float:
        """Return for how long others may not have told this instance what they know."""
        return max(0.0, _MEETING_S - max(0.0, self._listings.age()))

    def await_changes(self, before: float) -> bool:
        """Wait until this instance knows all versions that served before a time.

        Other instances send streams to a version as soon as they list it, which may be
        earlier than it is listed here.

        Args:
            before: The time, on the hub's clock.

        Returns:
            Whether it knows them. It gives up once the view is overdue.
        """
        while self._view.confirmed_at < before:
            if self._freshness.is_overdue(self._view.age()):
                return False
            eventlet.sleep(_CONFIRMATION_POLL_S)
        return True

    def _forget_past(self) -> None:
        """Record that versions may have come and gone that this instance never saw."""
        self._listings.forget_past()
        if not self._is_current():
            self._known_since = now()

    def _record_listings(self) -> None:
        """Record which targets are listed, and which versions new streams begin at."""
        self._listed_by_service.clear()
        if self._view.has_snapshot:
            self._listings.update(
                (service, _versioned(known.target), self._view.warm_at(known))
                for service in self._view.targets_by_service
                for known in self._view.assigned(service)
            )

    def _listed_targets(self, service: str) -> list[VersionedTarget]:
        listed = self._listed_by_service.get(service)
        if listed is None:
            targets = [known.target for known in self._view.assigned(service)]
            listed = self._listed_by_service[service] = [*map(_versioned, targets)]
        return listed

    def _is_known_for(self, seconds: float) -> bool:
        """Return whether all versions are known that streams may have begun at."""
        if self.is_complete():
            return True
        return self._known_since <= now() - seconds - MAX_VIEW_LAG_S

    def _is_current(self) -> bool:
        """Return whether no version can have come and gone behind an outdated view."""
        return now() - self._outdated_at >= _SETTLE_S

    def _on_fact(self, key: str, value: float | None) -> None:
        service, _, software = key.partition(_SEPARATOR)
        versions = self._versions_by_service.setdefault(service, set())
        if value is None:
            versions.discard(software)
        else:
            versions.add(software)


def _versioned(target: Target) -> VersionedTarget:
    return VersionedTarget(target.id, target.software)


def _key(service: str, software: str) -> str:
    return f"{service}{_SEPARATOR}{software}"
