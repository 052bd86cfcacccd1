"""What the platform has published, as far as this instance knows."""

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
    """The declaration and the instance list in force; neither ever goes back.

    Args:
        settings: The daemon's settings.
        decisions: Gets a line for each declaration taken or refused.
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
        self._waited_in_vain_at = _NEVER
        self._watchers: list[Callable[[], None]] = []
        self._confirmed = Event()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a function called after each change of either view."""
        self._watchers.append(callback)

    def offer_declaration(self, text: str, *, source: str) -> bool:
        """Take a declaration if it is valid and newer than the one in force.

        A service that restarted from an old copy, or a peer that slept, may offer an
        old one; operators would see a zone they took out get work again. Comparing
        with what is in force keeps it out whatever its source.

        Args:
            text: The declaration's text.
            source: Where it came from, for the log.

        Returns:
            Whether it is in force now.
        """
        try:
            current = self.declaration
            offered = parse_declaration(text, name=source, previous=current)
        except InvalidFileError as error:
            self._refuse(error.faults, source)
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
        self._tell()
        return True

    def offer_instances(self, offered: InstanceList, *, source: str) -> bool:
        """Take an instance list if it is newer than the one in force."""
        if offered.version <= self.instances.version:
            return offered.version == self.instances.version
        self.instances = offered
        self._decisions.record("", "instances", str(offered.version), source)
        self._tell()
        return True

    def confirm(self, at: float) -> None:
        """Note that some source was asked at a time and knew nothing newer."""
        if at <= self.confirmed_at:
            return
        self.confirmed_at = at
        if not self.is_stale():
            event, self._confirmed = self._confirmed, Event()
            event.send()

    def is_stale(self) -> bool:
        """Tell whether no source has confirmed the views for too long.

        A process that was paused wakes up with the views it had. Work sent by them
        could reach a zone that was taken out meanwhile. The age is counted from
        before the confirming question was sent, so an answer that waited in a
        socket during the pause does not make an old view look fresh.
        """
        return now() - self.confirmed_at > self._settings.timing.view_limit

    def wait_until_fresh(self, limit: float) -> bool:
        """Wait until the views are confirmed, or for a limit in seconds.

        An instance that is cut off from everybody would otherwise wait in each call
        of each request, for nothing; so after one wait in vain it goes on with what
        it knows for a while.
        """
        if not self.is_stale():
            return True
        if now() - self._waited_in_vain_at < self._settings.timing.view_limit:
            return False
        self._confirmed.wait(timeout=limit)
        if self.is_stale():
            self._waited_in_vain_at = now()
        return not self.is_stale()

    def list_age(self) -> float:
        """Seconds since the platform's own list was last asked for."""
        return now() - self.list_read_at

    def _refuse(self, faults: list[Fault], source: str) -> None:
        self.rejected_faults = faults
        reason = f"{len(faults)} faults, first: {faults[0]}"
        self._decisions.record("", "declaration", "", f"from {source}: {reason}")

    def _tell(self) -> None:
        for callback in self._watchers:
            callback()
