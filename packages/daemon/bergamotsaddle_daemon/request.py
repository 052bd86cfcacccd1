"""A caller's request while the instance serves it."""

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
        seconds: Seconds until the deadline.
        priority: Priority of the pipeline; 1 is the highest.

    Attributes:
        id: Random id of the request.
        team: The caller's team.
        name: Name of the pipeline, or kind of the service.
        started_at: When the request arrived.
        deadline: When the request must be answered.
        priority: Average of the team's and the pipeline's priority.
        ran: Whether any part of the request has reached a target.
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
        """Seconds left until the deadline."""
        return self.deadline - now()

    def mark_sent(self) -> None:
        """Record that the first byte is about to be sent to a target."""
        self.ran = Ran.YES
