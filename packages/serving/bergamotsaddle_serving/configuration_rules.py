"""Rules for configurations that are readable but can't mean what they say.

This module does no input or output.
"""

from collections.abc import Iterator

from bergamotsaddle_contracts.findings import Place, RuleBook, Severity
from bergamotsaddle_serving.catalog import Batching, Configuration, Kind, Route, Stage

RULES: RuleBook[Configuration] = RuleBook()

# Sums of fractions are rounded.
_ROUNDING = 1e-6


@RULES.register(Severity.ERROR)
def unknown_service(configuration: Configuration) -> Iterator[Place]:
    """Find routes to services that aren't declared."""
    for route in routes(configuration):
        for share in route.shares:
            if share.service not in configuration.services_by_name:
                reason = f"service {share.service} isn't declared"
                yield Place(f"route {route.name}", "shares", reason)


@RULES.register(Severity.ERROR)
def unknown_stage_service(configuration: Configuration) -> Iterator[Place]:
    """Find stages whose service isn't declared as one that runs pieces."""
    for route in routes(configuration):
        for number, stage in enumerate(route.stages):
            if _batching(configuration, stage) is None:
                reason = f"stage {number}: service {stage.service} runs no pieces"
                yield Place(f"route {route.name}", "stages", reason)


@RULES.register(Severity.ERROR)
def unreachable_stage(configuration: Configuration) -> Iterator[Place]:
    """Find stages that wait for themselves, for a later stage, or for none at all."""
    for route in routes(configuration):
        for number, stage in enumerate(route.stages):
            for before in stage.after:
                if not 0 <= before < number:
                    reason = f"stage {number} waits for stage {before}, not before it"
                    yield Place(f"route {route.name}", "stages", reason)


@RULES.register(Severity.ERROR)
def result_over_memory(configuration: Configuration) -> Iterator[Place]:
    """Find results larger than the memory for results of a target."""
    for route in routes(configuration):
        for number, stage in enumerate(route.stages):
            batching = _batching(configuration, stage)
            if batching and stage.result_bytes > batching.memory_bytes:
                reason = f"stage {number}: a result fits no {stage.service} target"
                yield Place(f"route {route.name}", "stages", reason)


@RULES.register(Severity.ERROR)
def stages_over_timeout(configuration: Configuration) -> Iterator[Place]:
    """Find routes whose stages take longer than callers wait, on idle targets."""
    for route in routes(configuration):
        seconds = _chain_seconds(configuration, route)
        if seconds > route.timeout:
            reason = f"idle stages take {seconds:g} s of {route.timeout:g} s"
            yield Place(f"route {route.name}", "timeout", reason)


@RULES.register(Severity.ERROR)
def impossible_shares(configuration: Configuration) -> Iterator[Place]:
    """Find shares below zero, and shares that are all zero."""
    for route in routes(configuration):
        weights = [share.weight for share in route.shares]
        if min(weights, default=0.0) < 0 or not any(weights):
            reason = "shares must not be negative, and not all zero"
            yield Place(f"route {route.name}", "shares", reason)


@RULES.register(Severity.WARNING)
def shadowed_route(configuration: Configuration) -> Iterator[Place]:
    """Find routes whose requests another route always gets."""
    for route in routes(configuration):
        winner = configuration.find_route(route.host, route.prefix)
        if winner is not None and winner is not route:
            reason = f"route {winner.name} gets all requests of {route.prefix}"
            yield Place(f"route {route.name}", "prefix", reason)


@RULES.register(Severity.WARNING)
def team_without_key(configuration: Configuration) -> Iterator[Place]:
    """Find teams that no key leads to."""
    reached = {team.name for team in configuration.team_by_key.values()}
    for name in configuration.share_by_team:
        if name not in reached:
            yield Place(f"team {name}", "keys", "no key leads to it")


@RULES.register(Severity.WARNING)
def unused_service(configuration: Configuration) -> Iterator[Place]:
    """Find services that no route names."""
    used = {
        part.service
        for route in routes(configuration)
        for part in (*route.shares, *route.stages)
    }
    for name in configuration.services_by_name:
        if name not in used:
            yield Place(f"service {name}", "", "no route names it")


@RULES.register(Severity.WARNING)
def objective_over_timeout(configuration: Configuration) -> Iterator[Place]:
    """Find objectives above the time that callers wait."""
    for route in routes(configuration):
        if route.objective > route.timeout:
            reason = f"{route.objective:g} s, above the timeout of {route.timeout:g} s"
            yield Place(f"route {route.name}", "objective", reason)


@RULES.register(Severity.WARNING)
def stages_over_objective(configuration: Configuration) -> Iterator[Place]:
    """Find routes whose requests are late on idle targets."""
    for route in routes(configuration):
        seconds = _chain_seconds(configuration, route)
        if min(route.objective, route.timeout) < seconds <= route.timeout:
            reason = f"idle stages take {seconds:g} s of {route.objective:g} s"
            yield Place(f"route {route.name}", "objective", reason)


@RULES.register(Severity.WARNING)
def pause_over_timeout(configuration: Configuration) -> Iterator[Place]:
    """Find pauses between events above the time that a whole stream may take."""
    for route in routes(configuration):
        if route.kind is Kind.STREAM and route.event_gap > route.timeout:
            reason = f"{route.event_gap:g} s, above the timeout of {route.timeout:g} s"
            yield Place(f"route {route.name}", "event_gap", reason)


@RULES.register(Severity.WARNING)
def useless_attempts(configuration: Configuration) -> Iterator[Place]:
    """Find several attempts where requests may run only once."""
    for route in routes(configuration):
        if route.attempts > 1 and not route.may_repeat:
            reason = f"{route.attempts}, but nothing may run a second time"
            yield Place(f"route {route.name}", "attempts", reason)


@RULES.register(Severity.WARNING)
def shares_over_whole(configuration: Configuration) -> Iterator[Place]:
    """Find fractions of the whole that add up to more."""
    for route in routes(configuration):
        weights = [share.weight for share in route.shares]
        if all(0 < weight < 1 for weight in weights) and sum(weights) > 1 + _ROUNDING:
            reason = f"fractions that add up to {sum(weights):g}"
            yield Place(f"route {route.name}", "shares", reason)


@RULES.register(Severity.WARNING)
def call_over_memory(configuration: Configuration) -> Iterator[Place]:
    """Find calls that can't be full, as their results exceed a target's memory."""
    for route in routes(configuration):
        for number, stage in enumerate(route.stages):
            batching = _batching(configuration, stage)
            if batching is None or stage.result_bytes > batching.memory_bytes:
                continue
            if stage.result_bytes * batching.size > batching.memory_bytes:
                fitting = int(batching.memory_bytes / stage.result_bytes)
                reason = f"stage {number}: a target holds {fitting} results of a call"
                yield Place(f"route {route.name}", "stages", reason)


@RULES.register(Severity.WARNING)
def results_expire_early(configuration: Configuration) -> Iterator[Place]:
    """Find services that keep results for less than a call takes."""
    for service in configuration.services_by_name.values():
        batching = service.batching
        if batching and batching.ttl_seconds < batching.seconds(1):
            reason = (
                f"results are kept for {batching.ttl_seconds:g} s, less than a call"
            )
            yield Place(f"service {service.name}", "ttl_seconds", reason)


@RULES.register(Severity.WARNING)
def idle_below_head(configuration: Configuration) -> Iterator[Place]:
    """Find idle connections that are closed before a head may arrive."""
    limits = configuration.limits
    if limits.idle_seconds < limits.head_seconds:
        reason = f"below head_seconds of {limits.head_seconds:g} s"
        yield Place("limits", "idle_seconds", reason)


def routes(configuration: Configuration) -> Iterator[Route]:
    """Return all routes of a configuration."""
    for group in configuration.routes_by_host.values():
        yield from group


def _batching(configuration: Configuration, stage: Stage) -> Batching | None:
    service = configuration.services_by_name.get(stage.service)
    return service.batching if service is not None else None


def _chain_seconds(configuration: Configuration, route: Route) -> float:
    """Return the seconds of the longest chain of stages, a piece each."""
    ends: list[float] = []
    for stage in route.stages:
        batching = _batching(configuration, stage)
        started = max((ends[n] for n in stage.after if 0 <= n < len(ends)), default=0.0)
        ends.append(started + (batching.seconds(1) if batching else 0.0))
    return max(ends, default=0.0)
