"""The operators' configuration (routes, services, teams) and the listed targets."""

from enum import StrEnum
from typing import NamedTuple

from bergamotsaddle_contracts.ini import Address

# According to the platform, callers abandon a stream after a silence as long as the
# longest of this time, this multiple of its objective, and this multiple of its longest
# pause.
_MAX_WAIT_FLOOR_S = 2.0
_MAX_WAIT_OBJECTIVES = 4.0
_MAX_WAIT_GAPS = 8.0


class Kind(StrEnum):
    """How a route's requests may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(NamedTuple):
    """A stage that runs before the request itself.

    Attributes:
        service: Name of the service whose targets run the stage.
        after: Indexes of the stages whose results it needs.
        result_bytes: Approximate size of one piece's result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int


class Share(NamedTuple):
    """The share of a service in a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight of the service relative to the route's other shares.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Maps requests of a host and path prefix to services, with their time limits.

    Attributes:
        name: Name of the route, unique in a configuration.
        host: Host name of the requests.
        prefix: Start of the path, with a slash at both ends.
        kind: How its requests may be repeated.
        timeout: Seconds that a caller may be kept waiting.
        objective: Seconds within which a response (or its first event) is on time.
        attempts: Maximum number of targets that one request may run on.
        priority: Rank of its requests, 0 first.
        shares: Services that serve the route.
        stages: Stages that run first, in order of their indexes.
        is_public: Whether no key is needed.
        is_resumable: Whether another target may resume a stream.
        event_gap: Longest pause between events that is on time, in seconds.
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
        """Seconds without an event after which a caller abandons a stream."""
        return max(
            _MAX_WAIT_FLOOR_S,
            _MAX_WAIT_OBJECTIVES * self.objective,
            _MAX_WAIT_GAPS * self.event_gap,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run a second time."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    @property
    def max_runs(self) -> int:
        """Maximum number of targets that may run a request."""
        return self.attempts if self.may_repeat else 1


class Batching(NamedTuple):
    """How one target of a stage service runs pieces.

    Attributes:
        slots: Number of concurrent calls.
        size: Maximum number of pieces in a call.
        call_seconds: Duration of a call without its pieces.
        piece_seconds: Approximate duration of a piece.
        memory_bytes: Memory for results.
        ttl_seconds: How long a result is kept.
    """

    slots: int
    size: int
    call_seconds: float
    piece_seconds: float
    memory_bytes: float
    ttl_seconds: float

    def seconds(self, pieces: int) -> float:
        """Return the expected duration of a call with this number of pieces."""
        return self.call_seconds + pieces * self.piece_seconds


class Service(NamedTuple):
    """The properties that all targets of one service share.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target accepts from all callers together.
        cold_seconds: How long a target is cold after its start.
        cold_rate: Requests per second that a cold target can serve; 0 for no limit.
        batching: How targets run pieces, None unless it is a stage service.
        engine_slots: Number of requests that an engine runs at once; 0 unless the
            targets are engines.
        engine_memory: Tokens that an engine holds at once; 0 if unknown.
    """

    name: str
    max_connections: int
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    batching: Batching | None = None
    engine_slots: int = 0
    engine_memory: int = 0


class CallerLimits(NamedTuple):
    """Limits on the size and duration of what a caller sends.

    Attributes:
        head_bytes: Maximum size of the head of a request.
        body_bytes: Maximum size of its body.
        head_seconds: Maximum time in which the head has to arrive.
        idle_seconds: How long an idle connection is kept open.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Team(NamedTuple):
    """A customer.

    Attributes:
        name: Name of the team, which targets receive.
        priority: Rank that takes precedence over the route's, None if there is none.
        share: Share of the room that is short, relative to the other teams.
    """

    name: str
    priority: int | None = None
    share: float = 1.0


def _priority_key(route: Route, team: Team | None) -> tuple[int, int]:
    """Return the sort key of requests: the team's priority, then the route's.

    A team's priority takes precedence over the route's, but does not order the requests
    of one team. If it replaced the route's, all routes would be equal wherever all
    teams have the same priority, and long pipelines of low value would delay the
    requests that operators ranked first.
    """
    if team is None or team.priority is None:
        return route.priority, route.priority
    return team.priority, route.priority


def _rank_priorities(
    routes: list[Route], teams: list[tuple[Team, tuple[str, ...]]]
) -> dict[tuple[int, int], int]:
    """Return the rank of each sort key that requests can have, 0 first."""
    callers: list[Team | None] = [team for team, _ in teams]
    priorities = {
        _priority_key(route, caller)
        for route in routes
        for caller in ([None, *callers] if route.is_public or not teams else callers)
    }
    return {priority: rank for rank, priority in enumerate(sorted(priorities))}


class Configuration:
    """One version of the operators' configuration.

    Args:
        version: Version number; a higher version replaces a lower one.
        routes: All routes.
        services: All services.
        teams: Each team with its API keys.
        limits: Limits on callers.
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
        self.share_by_team = {team.name: team.share for team, _ in teams}
        self._urgency_by_priority = _rank_priorities(routes, teams)
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
            self.routes_by_host.setdefault(route.host, []).append(route)

    def urgency(self, route: Route, team: Team | None) -> int:
        """Return the urgency of a request, 0 first.

        Args:
            route: Route of the request.
            team: Team of the request, None on public routes.
        """
        return self._urgency_by_priority[_priority_key(route, team)]

    def batching_by_service(self) -> dict[str, Batching]:
        """Return how the targets of each stage service run pieces."""
        return {
            service.name: service.batching
            for service in self.services_by_name.values()
            if service.batching is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that the path has."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def fact_key(incarnation: tuple[str, int]) -> str:
    """Return the key of gossip facts about an incarnation of a target."""
    target_id, started_ms = incarnation
    return f"{target_id} {started_ms}"


def parse_fact_key(key: str) -> tuple[str, int]:
    """Return the incarnation of a target from a key of gossip facts."""
    target_id, _, started_ms = key.rpartition(" ")
    return target_id, int(started_ms)


class Target(NamedTuple):
    """One incarnation of a back end, as it registered itself.

    Attributes:
        id: Id of the target in the list.
        service: Name of the service that it belongs to.
        address: Address at which it listens.
        zone: Its availability zone.
        slots: Number of requests that it runs at once.
        is_draining: Whether it is about to leave and must get no new requests.
        cold_seconds: How long it stays cold after its entry was read.
        started_ms: Start time of this incarnation by its own clock, 0 if unknown.
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
        """Id and start time, which identify this incarnation of the target."""
        return self.id, self.started_ms

    @property
    def key(self) -> str:
        """The incarnation as the key of gossip facts."""
        return fact_key(self.incarnation)
