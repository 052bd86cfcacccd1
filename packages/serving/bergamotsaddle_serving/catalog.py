"""What operators publish: routes, services, teams, and the list of live targets."""

from enum import StrEnum
from typing import NamedTuple

from bergamotsaddle_contracts.ini import Address

# Callers give up a stream that shows nothing for the longest of this, so many times its
# objective, and so many times its longest pause; as the platform tells.
_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_GAPS = 8.0


class Kind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(NamedTuple):
    """Work that is done before a request itself can run.

    Attributes:
        service: Name of the service whose targets do it.
        after: Numbers of the stages whose results it needs.
        result_bytes: Approximate size of one piece's result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Share(NamedTuple):
    """A service's part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Which requests go where, and within what time.

    Attributes:
        name: Its name, unique in a configuration.
        host: Host that requests name.
        prefix: Start of the path, with a slash at both ends.
        kind: What may be repeated.
        timeout: Seconds that a caller may be kept waiting.
        objective: Seconds within which an answer (its first event) is on time.
        attempts: Number of targets that one request may run on at most.
        priority: Urgency, 0 first.
        shares: The services that serve it.
        stages: Work to do first, by number.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may go on at another target.
        event_gap: Longest pause between events in seconds that is on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    objective: float
    attempts: int
    priority: int
    shares: tuple[Share, ...]
    stages: tuple[Stage, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    event_gap: float = 0.4

    @property
    def max_wait(self) -> float:
        """Seconds without an event after which a caller gives up a stream."""
        return max(
            _PATIENCE_S,
            _PATIENCE_OBJECTIVES * self.objective,
            _PATIENCE_GAPS * self.event_gap,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run a second time."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


class Batching(NamedTuple):
    """How one target of a stage service works.

    Attributes:
        slots: Calls in progress at the same time.
        size: Pieces in a call at most.
        call_seconds: Time of a call besides its pieces.
        piece_seconds: Approximate time of a piece.
        room_bytes: Memory for results.
        keep_seconds: How long a result is kept.
    """

    slots: int
    size: int
    call_seconds: float
    piece_seconds: float
    memory_bytes: float
    ttl_seconds: float

    def seconds(self, pieces: int) -> float:
        """Expected time of a call with so many pieces."""
        return self.call_seconds + pieces * self.piece_seconds


class Service(NamedTuple):
    """What all targets of one service have in common.

    Attributes:
        name: Its name.
        max_connections: Connections that a target takes from all callers together.
        cold_seconds: How long a target is cold after its start.
        cold_rate: Requests a second that a cold target bears; 0 for no limit.
        batching: How it works on pieces, None unless it is a stage service.
        engine_slots: Requests an engine runs at once; 0 unless it is an engine.
    """

    name: str
    max_connections: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    batching: Batching | None = None
    engine_slots: int = 0


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send, in bytes and seconds."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Team(NamedTuple):
    """A customer.

    Attributes:
        name: Its name, which targets are told.
        priority: Goes before the route's priority, if there is one.
    """

    name: str
    priority: int | None = None


def _priority(route: Route, team: Team | None) -> tuple[int, int]:
    """What requests are ordered by: the team first, then the route.

    A team's priority goes before the route's, but says nothing among the requests of
    one team. Were it taken in the route's place, all kinds of requests would be equal
    wherever all teams have the same priority, and long chains of little use would take
    the places of those that operators ranked first.
    """
    if team is None or team.priority is None:
        return route.priority, route.priority
    return team.priority, route.priority


def _rank_priorities(
    routes: list[Route], teams: list[tuple[Team, tuple[str, ...]]]
) -> dict[tuple[int, int], int]:
    """Places of all priorities that requests can have, 0 first."""
    callers: list[Team | None] = [team for team, _ in teams]
    priorities = {
        _priority(route, caller)
        for route in routes
        for caller in ([None, *callers] if route.is_public or not teams else callers)
    }
    return {priority: place for place, priority in enumerate(sorted(priorities))}


class Configuration:
    """One version of what operators want.

    Args:
        version: Its number; a higher one replaces a lower one.
        routes: All routes.
        services: All services.
        teams: Each team with its keys.
        limits: Bounds on callers.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        teams: list[tuple[Team, tuple[str, ...]]],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.has_teams = bool(teams)
        self.services_by_name = {service.name: service for service in services}
        self.team_by_key = {key: team for team, keys in teams for key in keys}
        self._urgency_by_priority = _rank_priorities(routes, teams)
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self.routes_by_host.setdefault(route.host, []).append(route)

    def urgency(self, route: Route, team: Team | None) -> int:
        """Place of a request among all that may come, 0 first.

        Args:
            route: Its route.
            team: Its team, None on public routes.
        """
        return self._urgency_by_priority[_priority(route, team)]

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Target(NamedTuple):
    """One life of a back end, as it registered itself.

    Attributes:
        id: Its name in the list.
        service: What it serves.
        address: Where it listens.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        is_draining: Whether it leaves soon and must get nothing new.
        cold_seconds: How long it stays cold from when the entry was read.
        started_ms: When this life began, by its own clock; 0 if unknown.
        software: Version of its software, empty if unknown.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool = False
    cold_seconds: float = 0.0
    started_ms: int = 0
    software: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this life of the target from any other one."""
        return self.id, self.started_ms
