"""The parts of the policy, each of which can be switched off by a setting."""

from enum import StrEnum
from typing import NamedTuple

from bergamotsaddle_contracts.ini import parse_words


class Mechanism(StrEnum):
    """A part of the policy that can be switched off.

    What is left of the policy goes on by itself, so that a deployment can learn what
    a part is worth under its own load. Promises to callers and targets are none of
    these: they hold whatever is switched off.
    """

    ADMISSION = "admission"
    """Requests that are expected to be late are refused before any stage runs."""
    COMING_PIECES = "coming_pieces"
    """Pieces of admitted requests count at the stages that they will come to."""
    EARLY_RELEASE = "early_release"
    """Inputs are given up once they have been fetched, before the call ends."""
    ENGINE_HOMES = "engine_homes"
    """Prompts with the same shared parts go to the same engine."""
    FATAL_REQUESTS = "fatal_requests"
    """Requests under which three targets have ended are held back."""
    FULL_CALLS = "full_calls"
    """A call waits a moment for room rather than go nearly empty."""
    HOME_ZONES = "home_zones"
    """Pieces are left to the zone in which most of their inputs are."""
    LATE_LEAVE = "late_leave"
    """Newcomers that are late leave long queues."""
    OVERTAKING = "overtaking"
    """Less urgent requests are expected to be overtaken while they wait."""
    REGION_QUEUES = "region_queues"
    """The targets of a region share one queue while they are few."""
    ROUTE_RANKS = "route_ranks"
    """Routes tell requests apart among teams of equal priority."""
    SIDE_STAGES_WAIT = "side_stages_wait"
    """A stage off the longest path waits until it would end with it."""
    SHARED_READING = "shared_reading"
    """Instances tell each other how many prompt tokens engines have still to read."""
    SMALL_RESULTS = "small_results"
    """Large results leave room for small ones that wait beside them."""
    WAIT_ERRORS = "wait_errors"
    """Owners of stage queues learn how far off their forecasts are."""
    STORE_READERS = "store_readers"
    """An instance of each zone reads the store, and the others learn from it."""
    STRONG_OWNERS = "strong_owners"
    """Only strong machines own stage queues."""
    WHOLE_STAGES = "whole_stages"
    """A stage is begun only if there is room for all of its results."""


class Policy(NamedTuple):
    """Which mechanisms are in force.

    Attributes:
        off: Those that are switched off.
    """

    off: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is in force."""
        return mechanism not in self.off


FULL_POLICY = Policy()


def parse_policy(text: str) -> Policy:
    """Read a comma-separated list of mechanisms that are switched off.

    Raises:
        ValueError: If a name is unknown or stands twice.
    """
    words = parse_words(text)
    for word in words:
        if word not in list(Mechanism):
            known = ", ".join(Mechanism)
            raise ValueError(f"no mechanism {word!r}; there are {known}")
        if words.count(word) > 1:
            raise ValueError(f"{word!r} stands twice")
    return Policy(frozenset(Mechanism(word) for word in words))
