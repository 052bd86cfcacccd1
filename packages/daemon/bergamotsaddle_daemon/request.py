"""A caller's request while it is being served."""

import uuid

from bergamotsaddle_contracts.declaration import Team
from bergamotsaddle_contracts.errors import Ran
from bergamotsaddle_daemon.clock import now

_LOWEST_PRIORITY = 9


class Request:
    """One request of a caller.

    Args:
        team: The caller's team.
        name: Name of the pipeline, or kind of the service.
        seconds: Time until the deadline.
        priority: Priority of the pipeline.
    """

    def __init__(self, team: Team, name: str, seconds: float, priority: int) -> None:
        self.id = uuid.uuid4().hex
        self.team = team
        self.name = name
        self.started_at = now()
        self.deadline = self.started_at + seconds
        self.priority = min(_LOWEST_PRIORITY, (team.priority + priority) // 2)
        self.ran = Ran.NO

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - now()

    def mark_sent(self) -> None:
        """Note that a byte is about to leave for a target."""
        self.ran = Ran.YES
