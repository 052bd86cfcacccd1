"""Assignment of a home, one of the entry instances, to each target."""

from collections import Counter

from bergamotsaddle_contracts.declaration import DeclaredTarget
from bergamotsaddle_contracts.instances import LIVE
from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.views import Views

_MIN_TARGETS_PER_SERVICE = 2


class Homes:
    """Assigns each target to a home, an entry instance in the target's own zone.

    A home in another zone could be cut off from the target's zone, and the target could
    then have two homes.

    Args:
        settings: The daemon's settings.
        views: The instance list and the declared targets.

    Attributes:
        by_target: Id of each target's home.
        home_since: When this instance became home, by id of its targets.
        followed: Ids of the homes whose reports this instance receives.
    """

    def __init__(self, settings: Settings, views: Views) -> None:
        self._settings = settings
        self._own_id = settings.daemon.id
        self._views = views
        self._last_entries_by_zone: dict[str, list[str]] = {}
        self.by_target: dict[str, str] = {}
        self.home_since: dict[str, float] = {}
        self.followed: frozenset[str] = frozenset()
        views.subscribe(self.refresh)

    def refresh(self) -> None:
        """Update the homes after a change of the instance list or the targets."""
        entries_by_zone = self._entries_by_zone()
        changed = {
            zone
            for zone, entries in entries_by_zone.items()
            if entries != self._last_entries_by_zone.get(zone)
        }
        self._last_entries_by_zone = entries_by_zone
        homes: dict[str, str] = {}
        for target in self._views.declaration.targets.values():
            entries = entries_by_zone.get(target.zone, [])
            current = self.by_target.get(target.id)
            # Most changes leave a zone's entry instances as they are; choosing the home
            # of every target again would take a third of a second in a large fleet.
            if current in entries and target.zone not in changed:
                homes[target.id] = current
            elif entries:
                homes[target.id] = max(
                    entries, key=lambda e: rendezvous_weight(e, target.id)
                )
        own = {target for target, home in homes.items() if home == self._own_id}
        self.home_since = {target: self.home_since.get(target, now()) for target in own}
        self.by_target = homes
        self.followed = self._choose_followed()

    def next_home(self, target_id: str) -> str | None:
        """Return the home that a target gets once this instance has left.

        Returns:
            Its id, or None if the zone has no other entry instance.
        """
        target = self._views.declaration.targets[target_id]
        entries = self._entries_by_zone().get(target.zone, [])
        others = [entry for entry in entries if entry != self._own_id]
        return max(others, key=lambda e: rendezvous_weight(e, target_id), default=None)

    def _choose_followed(self) -> frozenset[str]:
        """Choose the homes whose reports this instance receives.

        Sending the reports of every target to every instance would cause traffic that
        grows with the fleet. In a large fleet an instance therefore uses only the
        targets of some homes: a few in its own zone, a few in others, and more until
        each kind and model has more than one target.
        """
        own_zone = self._settings.daemon.zone
        entries = [e for e in self._views.instances.entries() if e.id != self._own_id]
        if len(entries) <= self._settings.limits.neighbours:
            return frozenset([self._own_id, *(entry.id for entry in entries)])
        entries.sort(key=lambda entry: rendezvous_weight(self._own_id, entry.id))
        near = [entry.id for entry in entries if entry.zone == own_zone]
        far = [entry.id for entry in entries if entry.zone != own_zone]
        half = self._settings.limits.followed_homes // 2
        chosen = [self._own_id, *near[:half], *far[:half]]
        targets_by_home = self._targets_by_home()
        count_by_service: Counter[tuple[str, str]] = Counter()
        for home in chosen:
            count_by_service.update(_served_models(targets_by_home.get(home, [])))
        for home in near[half:] + far[half:]:
            services = _served_models(targets_by_home.get(home, []))
            if any(
                count_by_service[service] < _MIN_TARGETS_PER_SERVICE
                for service in services
            ):
                chosen.append(home)
                count_by_service.update(services)
        return frozenset(chosen)

    def _targets_by_home(self) -> dict[str, list[DeclaredTarget]]:
        by_home: dict[str, list[DeclaredTarget]] = {}
        for target_id, home in self.by_target.items():
            declared = self._views.declaration.targets[target_id]
            by_home.setdefault(home, []).append(declared)
        return by_home

    def _entries_by_zone(self) -> dict[str, list[str]]:
        by_zone: dict[str, list[str]] = {}
        for entry in self._views.instances.entries():
            if entry.state == LIVE:
                by_zone.setdefault(entry.zone, []).append(entry.id)
        return by_zone

    def is_own(self, target_id: str) -> bool:
        """Return whether this instance is the target's home."""
        return target_id in self.home_since


def _served_models(targets: list[DeclaredTarget]) -> list[tuple[str, str]]:
    """Return the kinds and models that targets serve, repeated for each target."""
    return [(t.kind, model) for t in targets for model in t.models or ("",)]
