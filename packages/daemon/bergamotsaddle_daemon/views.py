"""The local views of what the platform has published."""

from collections.abc import Callable

from eventlet.event import Event

from bergamotsaddle_contracts.declaration import EMPTY_DECLARATION
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.errors import Fault, InvalidFileError
from bergamotsaddle_contracts.instances import EMPTY_LIST, InstanceList
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.settings import Settings

_NEVER = float("-inf")


class Views:
    """The declaration and the instance list in force; versions never decrease.

    Args:
        settings: The daemon's settings.
        decisions: Records each declaration that is applied or rejected.

    Attributes:
        declaration: The declaration in force.
        instances: The instance list in force.
        applied_at: When the declaration in force was applied.
        rejected_faults: Faults of an invalid declaration offered since then.
        revision_conflict: Describes a revision that was published with two contents;
            empty after a newer one.
        service_revision: Revision last read from the configuration service.
        list_read_at: When the platform's instance list was last read.
        confirmed_at: Time as of which the views are confirmed.
        platform_queried_at: When the platform was last asked for the declaration.
    """

    def __init__(self, settings: Settings, decisions: DecisionLog) -> None:
        self._settings = settings
        self._decisions = decisions
        self.declaration = EMPTY_DECLARATION
        self.instances: InstanceList = EMPTY_LIST
        self.applied_at = _NEVER
        self.rejected_faults: list[Fault] = []
        self.revision_conflict: str = ""
        self.service_revision = 0
        self.list_read_at = _NEVER
        self.confirmed_at = _NEVER
        self.platform_queried_at = _NEVER
        self._wait_timed_out_at = _NEVER
        self._listeners: list[Callable[[], None]] = []
        self._confirmed = Event()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to be called after each change of either view."""
        self._listeners.append(callback)

    def offer_declaration(self, text: str, *, source: str) -> bool:
        """Apply a declaration if it is valid and newer than the one in force.

        A service that restarted from an old copy, or a peer that was paused, may
        offer an old declaration. With it a zone that operators took out would get
        work again. So it is compared with the one in force, whatever its source.

        Args:
            text: The declaration's text.
            source: Where it came from, for the log.

        Returns:
            Whether it is now in force.
        """
        try:
            current = self.declaration
            offered = parse_declaration(text, name=source, previous=current)
        except InvalidFileError as error:
            self._record_rejection(error.faults, source)
            return False
        if source == "service":
            self.service_revision = offered.revision
        if offered.version == current.version:
            return True
        if offered.revision == current.revision:
            self.revision_conflict = (
                f"revision {offered.revision} was published with two contents"
            )
        if offered.version < current.version:
            reason = f"older than revision {current.revision} from {source}"
            self._decisions.record("", "declaration", "", reason)
            return False
        self.declaration = offered
        if offered.revision > current.revision:
            self.revision_conflict = ""
        self.rejected_faults = []
        self.applied_at = now()
        choice = f"{offered.revision} {offered.digest[:8]}"
        self._decisions.record("", "declaration", choice, f"newest, from {source}")
        self._notify_listeners()
        return True

    def offer_instances(self, offered: InstanceList, *, source: str) -> bool:
        """Apply an instance list if it is newer; return whether it is in force."""
        if offered.version <= self.instances.version:
            return offered.version == self.instances.version
        self.instances = offered
        self._decisions.record("", "instances", str(offered.version), source)
        self._notify_listeners()
        return True

    def confirm(self, at: float) -> None:
        """Record that a source queried at a given time had no newer version."""
        if at <= self.confirmed_at:
            return
        self.confirmed_at = at
        if not self.is_stale():
            event, self._confirmed = self._confirmed, Event()
            event.send()

    def is_stale(self) -> bool:
        """Return whether the views have been unconfirmed for too long.

        A process that resumes from a pause still has its old views. Work routed by
        them could reach a zone that was taken out in the meantime. The age counts
        from before the confirming query was sent, so that a response that waited in
        a socket during the pause does not make old views look fresh.
        """
        return now() - self.confirmed_at > self._settings.timing.view_limit

    def wait_until_fresh(self, timeout: float) -> bool:
        """Wait until the views are confirmed, for at most ``timeout`` seconds.

        An instance that is cut off from all sources would otherwise wait in each call
        of each request. So after a wait that timed out it goes on with stale views,
        without waiting again, for ``view_limit`` seconds.

        Returns:
            Whether the views are fresh.
        """
        if not self.is_stale():
            return True
        if now() - self._wait_timed_out_at < self._settings.timing.view_limit:
            return False
        self._confirmed.wait(timeout=timeout)
        if self.is_stale():
            self._wait_timed_out_at = now()
        return not self.is_stale()

    def list_age(self) -> float:
        """Return the seconds since the platform's own list was last read."""
        return now() - self.list_read_at

    def _record_rejection(self, faults: list[Fault], source: str) -> None:
        self.rejected_faults = faults
        reason = f"{len(faults)} faults, first: {faults[0]}"
        self._decisions.record("", "declaration", "", f"from {source}: {reason}")

    def _notify_listeners(self) -> None:
        for callback in self._listeners:
            callback()
