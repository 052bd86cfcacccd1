"""Lists the differences between two configurations and what they do.

This module does no input or output.
"""

from typing import NamedTuple

from bergamotsaddle_contracts.change_effects import Effects
from bergamotsaddle_contracts.diff import ADDED, REMOVED, Change, diff_entry
from bergamotsaddle_serving.catalog import Configuration
from bergamotsaddle_serving.configuration_rules import routes

EFFECTS = Effects()


class _Team(NamedTuple):
    """What a configuration says about a team; keys are counted and not shown."""

    share: float
    priority: int | None
    keys: int


def diff_configurations(old: Configuration, new: Configuration) -> list[Change]:
    """List every difference between two configurations, ordered by part and name."""
    changes: list[Change] = []
    entries_by_part = zip(_entries(old).items(), _entries(new).values(), strict=True)
    for (part, before), after in entries_by_part:
        for name in sorted(before.keys() | after.keys()):
            changes += diff_entry(part, name, before.get(name), after.get(name))
    return changes + _diff_keys(old, new)


def _entries(configuration: Configuration) -> dict[str, dict[str, tuple]]:
    return {
        "route": {route.name: route for route in routes(configuration)},
        "service": configuration.services_by_name,
        "team": _teams(configuration),
        "limits": {"": configuration.limits},
    }


def _teams(configuration: Configuration) -> dict[str, _Team]:
    teams = {}
    for name, share in configuration.share_by_team.items():
        own = [t for t in configuration.team_by_key.values() if t.name == name]
        teams[name] = _Team(share, own[0].priority if own else None, len(own))
    return teams


def _diff_keys(old: Configuration, new: Configuration) -> list[Change]:
    """List the teams that exchange keys without having more or fewer of them."""
    changes = []
    for name in sorted(old.share_by_team.keys() & new.share_by_team.keys()):
        before, after = _keys(old, name), _keys(new, name)
        if before != after and len(before) == len(after):
            what = f"keys: {len(before - after)} of {len(before)} exchanged"
            changes.append(Change("team", name, what))
    return changes


def _keys(configuration: Configuration, name: str) -> set[str]:
    by_key = configuration.team_by_key
    return {key for key, team in by_key.items() if team.name == name}


@EFFECTS.register("route", REMOVED, "host", "prefix")
def _remove_route(change: Change) -> str:
    return "requests under way go on; streams can't be taken up by later requests"


@EFFECTS.register("route", "attempts", "timeout", "objective", "shares", "stages")
def _change_route(change: Change) -> str:
    return "requests under way keep the earlier value, unless they are handed over"


@EFFECTS.register("service", REMOVED)
def _remove_service(change: Change) -> str:
    return "requests under way go on, but fail if it is a stage that is still to run"


@EFFECTS.register("service", "batching")
def _change_batching(change: Change) -> str:
    return "running calls end as they began; pieces that wait follow the new value"


@EFFECTS.register("team", REMOVED, "keys")
def _revoke_keys(change: Change) -> str:
    return "requests under way go on; later ones need a key that is left"


@EFFECTS.register("team", ADDED, "priority")
def _rank_team(change: Change) -> str:
    return "requests under way keep their rank; later ones may go ahead of them"


@EFFECTS.register("team", "share")
def _share_room(change: Change) -> str:
    return "the order of what waits stays; later pieces follow the new share"
