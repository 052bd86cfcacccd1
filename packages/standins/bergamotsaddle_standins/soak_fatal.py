"""Requests of a soak that crash engines, and the check of how many reach them."""

import random
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from bergamotsaddle_standins.soak_dialect import STREAM_PREFIXES, TALK_PREFIX

FATAL_PREFIX = TALK_PREFIX + "fatal"
_BAD_PART = "bad"
# Seconds after which all instances know the crashes.
_SPREAD_S = 3.0
_ALLOWED_LATE = 3
# From this time after the crashes on, sound streams begin at least half as often as
# before; there have to be enough of them on both sides.
_SETTLED_S = 6.0
_MIN_BEGUN = 0.5
_MIN_STREAMS = 20
_MAX_EVENTS = 2
_BEHIND_FRACTION = 0.2
_SILENT_FRACTION = 0.2
_LEAVING_S = (0.02, 1.2)
_MAX_CRASH_DELAY_S = 0.3


class CauseKind(StrEnum):
    """What fatal requests have in common."""

    REQUEST = "request"
    """They are the same request, sent again and again."""
    PART = "part"
    """They share a part of their prompts, and no two are alike."""


class Manner(StrEnum):
    """Which runs of a fatal request crash their engines."""

    EACH = "each"
    """All of them."""
    LATER = "later"
    """All but the first few, which are whole."""
    MOST = "most"
    """Two of three."""

    def is_whole(self, number: int) -> bool:
        """Return whether a run is whole, given how many preceded it."""
        if self is Manner.LATER:
            return number < _WHOLE_RUNS
        return self is Manner.MOST and number % _WHOLE_EVERY == 0


_WHOLE_RUNS = 6
_WHOLE_EVERY = 3
_CRASHES_BY_KIND = {CauseKind.REQUEST: 3, CauseKind.PART: 5}


class FatalCause(NamedTuple):
    """Fatal requests that belong together.

    Attributes:
        kind: What they have in common.
        number: Number of the cause.
        manner: Which runs of a request crash their engines; those with a part all do.
    """

    kind: CauseKind
    number: int
    manner: Manner = Manner.EACH

    @property
    def name(self) -> str:
        """The path or part that they share."""
        if self.kind is CauseKind.PART:
            return f"{_BAD_PART}{self.number}"
        return f"{FATAL_PREFIX}-{self.manner}-{self.number}"

    def path(self, attempt: int) -> str:
        """Return the path of an attempt."""
        if self.kind is CauseKind.PART:
            return f"{FATAL_PREFIX}-{self.number}-{attempt}"
        return self.name

    def parts(self, attempt: int) -> tuple[str, ...]:
        """Return the parts of the prompt of an attempt."""
        if self.kind is CauseKind.PART:
            return ("system", self.name, f"topic{attempt % 3}", f"own{attempt}")
        return ("system", f"topic{self.number % 3}", f"own{self.number}")


class CrashEnding(NamedTuple):
    """How an engine that crashes ends its connections.

    Attributes:
        delay: Seconds from the last event of the fatal request to the crash.
        events: Events that the fatal request gets.
        is_open: Whether its response states neither a length nor chunks.
        is_inside_event: Whether it gets a part of another event.
        is_reset: Whether connections are reset rather than closed.
        is_behind_response: Whether it gets its whole response before the crash.
        is_silent: Whether connections carry nothing more rather than being closed.
    """

    delay: float
    events: int
    is_open: bool
    is_inside_event: bool
    is_reset: bool
    is_behind_response: bool = False
    is_silent: bool = False


class Pace(NamedTuple):
    """How often callers send fatal requests.

    Attributes:
        pause: Seconds between two times.
        at_once: Number of requests at each of them.
    """

    pause: float
    at_once: int


PACES = (Pace(0.35, 1), Pace(2.0, 6))


class FatalRun(NamedTuple):
    """A fatal request that reached an engine, or the crash that it caused.

    Attributes:
        at: When, on the hub's clock.
        cause: Path or part that the fatal requests share.
    """

    at: float
    cause: str


class BegunStream(NamedTuple):
    """A sound stream.

    Attributes:
        at: When its caller sent it, on the hub's clock.
        has_begun: Whether its first attempt got an event.
    """

    at: float
    has_begun: bool


def find_cause(path: str, parts: str) -> str | None:
    """Return the path or part for which a request crashes engines, if it does."""
    shared = parts.split(",")[:-1]
    bad = [part for part in shared if part.startswith(_BAD_PART)]
    if bad:
        return bad[0]
    return path if path.startswith(FATAL_PREFIX) else None


def find_manner(cause: str) -> Manner:
    """Return which runs of a fatal request crash their engines."""
    found = [m for m in Manner if cause.startswith(f"{FATAL_PREFIX}-{m}-")]
    return found[0] if found else Manner.EACH


def pick_ending(rng: random.Random, *, is_request: bool) -> CrashEnding:
    """Pick how an engine crashes, under a request or under a part of its prompt."""
    hidden = rng.random() if is_request else 1.0
    return CrashEnding(
        rng.uniform(0.0, _MAX_CRASH_DELAY_S),
        rng.randint(0, _MAX_EVENTS),
        rng.random() < 0.5,
        rng.random() < 0.5,
        rng.random() < 0.5,
        is_behind_response=hidden < _BEHIND_FRACTION,
        is_silent=_BEHIND_FRACTION <= hidden < _BEHIND_FRACTION + _SILENT_FRACTION,
    )


def pick_leaving(rng: random.Random) -> float | None:
    """Pick after how many seconds a fatal request's caller leaves, if it does."""
    return rng.choice([None, None, None, *_LEAVING_S])


def is_sound_stream(path: str) -> bool:
    """Return whether a path is that of a stream which crashes nothing."""
    return path.startswith(STREAM_PREFIXES) and not path.startswith(FATAL_PREFIX)


def find_fatal_breaches(
    causes: list[FatalCause],
    arrivals: list[FatalRun],
    crashes: list[FatalRun],
    streams: list[BegunStream],
) -> Iterator[str]:
    """Yield a line for each cause that reached engines for too long.

    Args:
        causes: The fatal requests that were sent.
        arrivals: Fatal requests that reached engines.
        crashes: The crashes that they caused.
        streams: The sound streams.
    """
    for cause in causes:
        times = sorted(crash.at for crash in crashes if crash.cause == cause.name)
        needed = _CRASHES_BY_KIND[cause.kind]
        if len(times) < needed:
            continue
        known_at = times[needed - 1] + _SPREAD_S
        late = [a for a in arrivals if a.cause == cause.name and a.at > known_at]
        if len(late) > _ALLOWED_LATE:
            yield f"fatal: {cause.name} reached engines {len(late)} times too late"
        before = [s.has_begun for s in streams if s.at < times[0]]
        settled_at = times[needed - 1] + _SETTLED_S
        until = min((c.at for c in crashes if c.at > times[-1]), default=float("inf"))
        after = [s.has_begun for s in streams if settled_at <= s.at < until]
        if min(len(before), len(after)) < _MIN_STREAMS:
            continue
        begun, was = sum(after) / len(after), sum(before) / len(before)
        if begun < _MIN_BEGUN * was:
            yield f"fatal: {begun:.2f} of sound streams begin, {was:.2f} before"
