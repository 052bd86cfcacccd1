"""The mechanisms of the policy, each of which a setting can switch off."""

from enum import StrEnum
from typing import NamedTuple

from bergamotsaddle_contracts.ini import parse_words


class Mechanism(StrEnum):
    """A mechanism of the policy that can be switched off.

    The remaining mechanisms keep working, so that a deployment can find out what one of
    them contributes under its own load. Guarantees to callers and targets are not
    mechanisms: they hold whatever is switched off.
    """

    ADMISSION = "admission"
    """Reject requests that are expected to be late before any stage runs."""
    COMING_PIECES = "coming_pieces"
    """Count pieces of admitted requests at the stages that they will reach."""
    EARLY_RELEASE = "early_release"
    """Release inputs once they have been fetched, before the call ends."""
    ENGINE_HOMES = "engine_homes"
    """Send prompts with the same shared parts to the same preferred engine."""
    ENGINE_SPEEDS = "engine_speeds"
    """Learn how fast engines that share machines are, and weigh their homes by it."""
    FATAL_REQUESTS = "fatal_requests"
    """Quarantine requests and parts of prompts that crash targets."""
    FULL_CALLS = "full_calls"
    """Let a call wait briefly for memory rather than run nearly empty."""
    HOME_ZONES = "home_zones"
    """Leave pieces to the zone that holds most of their inputs."""
    JOINT_PLACEMENT = "joint_placement"
    """Let one instance place all requests for a plain service before few targets."""
    LATE_LEAVE = "late_leave"
    """Remove late requests that have not started from long queues."""
    OVERTAKING = "overtaking"
    """Expect less urgent requests to be overtaken while they wait."""
    REGION_QUEUES = "region_queues"
    """Let the targets of a region share one queue while there are few of them."""
    RETURN_TIMES = "return_times"
    """Tell rejected callers when there is room, and admit those that come then."""
    ROUTE_RANKS = "route_ranks"
    """Rank requests of teams with equal priority by their routes."""
    SIDE_STAGES_WAIT = "side_stages_wait"
    """Delay a stage off the longest path so that it ends with that path."""
    SHARED_READING = "shared_reading"
    """Report the prompt tokens that wait for prefill at engines to all instances."""
    SMALL_RESULTS = "small_results"
    """Let large results leave memory for small ones that wait with them."""
    TEAM_SHARES = "team_shares"
    """Let teams that sent more than their share come after the others."""
    URGENT_ROOM = "urgent_room"
    """Admit less urgent requests only as far as more urgent ones are served."""
    STREAM_ENDS = "stream_ends"
    """Send a stream to an engine that can end it in time, or reject it at once."""
    WAIT_ERRORS = "wait_errors"
    """Correct the forecasts of queue owners by their recent errors."""
    STORE_READERS = "store_readers"
    """Let one instance per zone read the store and send changes to the other ones."""
    STRONG_OWNERS = "strong_owners"
    """Let only machines with many cores own stage queues."""
    WHOLE_STAGES = "whole_stages"
    """Start a stage only if there is memory for all of its results."""


class Policy(NamedTuple):
    """The enabled mechanisms.

    Attributes:
        off: Mechanisms that are switched off.
    """

    off: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.off


FULL_POLICY = Policy()


def parse_policy(text: str) -> Policy:
    """Parse a comma-separated list of mechanisms that are switched off.

    Raises:
        ValueError: If a name is unknown or repeated.
    """
    words = parse_words(text)
    for word in words:
        if word not in list(Mechanism):
            known = ", ".join(Mechanism)
            raise ValueError(f"no mechanism is named {word!r}; use one of {known}")
        if words.count(word) > 1:
            raise ValueError(f"mechanism {word!r} is listed twice")
    return Policy(frozenset(Mechanism(word) for word in words))
