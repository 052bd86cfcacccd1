"""Chooses the engine for a request.

This module does no input or output.
"""

import math
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import NamedTuple

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.decisions.engine_speeds import USUAL_SPEED, EngineSpeed
from bergamotsaddle_serving.decisions.stream_ends import EndForecast, StreamEnd
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Prompt tokens that an engine prefills per second unless the caller passes a rate.
DEFAULT_PREFILL_TOKENS_PER_S = 50_000.0
# From the last stage's result to the first event, not counting the prefill.
_BASE_S = 0.03
# Time that each running request adds to the tokens of the other requests.
_PER_RUNNING_S = 0.0015
# An engine other than the preferred one must be this much faster to justify another
# prefill of the shared parts.
_MOVE_GAIN_S = 0.15
# The fraction of the objective that a forecast may use; the remainder absorbs variance.
_MAX_OBJECTIVE_FRACTION = 0.8
# Another engine than the preferred one must raise a stream's chance to end in time by
# this much, and by as much of 1 as the tokens that it has to read again are of these,
# unless the stream is hopeless at the preferred one.
_MIN_CHANCE_GAIN = 0.05
_TOKENS_PER_CHANCE = 60_000.0
_MAX_CACHED_DISTANCES = 16_384
_MAX_HASH = 1 << 64


class EngineView(NamedTuple):
    """An engine as a candidate.

    Attributes:
        id: Id of the engine.
        zone: Its availability zone.
        slots: Number of requests that it runs at once.
        running: Requests of all instances at the engine, as last reported.
        tokens_ahead: Prompt tokens of all instances' requests that wait for prefill.
        has_cached_prefix: Whether this instance recently had the engine prefill the
            shared parts.
        delay: Extra seconds to count, such as after a recent failure.
        speed: Its speed.
    """

    id: str
    zone: str
    slots: int
    running: int
    tokens_ahead: int
    has_cached_prefix: bool
    delay: float = 0.0
    speed: EngineSpeed = USUAL_SPEED


class EngineChoice(NamedTuple):
    """The chosen engine and its expected times.

    Attributes:
        engine: The engine.
        seconds: Expected seconds until the first event, including all stages.
        finish_seconds: Seconds of these after the last stage.
        idle_seconds: Seconds after the last stage if the engine were idle.
        reason: Why the engine was chosen.
        end: When the stream is going to end, None if that is unknown.
    """

    engine: EngineView
    seconds: float
    finish_seconds: float
    idle_seconds: float
    reason: str
    end: EndForecast | None = None


def prefix_key(prompt: Sequence[PromptPart]) -> str:
    """Return the key of the shared prefix: all parts of a prompt but its last one."""
    shared = prompt[:-1] or prompt
    return "/".join(part.id for part in shared)


def unshared_tokens(prompt: Sequence[PromptPart], prompt_tokens: int) -> int:
    """Return the tokens that need prefill even with a cached prefix."""
    shared = sum(part.tokens for part in prompt[:-1])
    return max(0, prompt_tokens - shared)


def isolate_engine(engines: Sequence[EngineView], fingerprint: str) -> list[EngineView]:
    """Return the engine for a suspect request.

    Requests that run beside a suspect may be lost with the engine, so the suspect goes
    to one of the less loaded engines. Two suspects go to different engines; otherwise
    a harmless one would be present at the next crash as well.

    Args:
        engines: The candidates.
        fingerprint: Fingerprint of the request.

    Returns:
        A list of one engine, empty if there are no candidates.
    """
    by_load = sorted(engines, key=lambda engine: (engine.running, engine.id))
    quiet = by_load[: (len(by_load) + 1) // 2]
    return sorted(quiet, key=lambda engine: rendezvous_weight(engine.id, fingerprint))[
        -1:
    ]


def choose_engine(
    engines: Sequence[EngineView],
    prompt: Sequence[PromptPart],
    prompt_tokens: int,
    *,
    objective: float,
    stage_seconds: Callable[[str], float],
    tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
    policy: Policy = FULL_POLICY,
    ending: StreamEnd | None = None,
) -> EngineChoice | None:
    """Choose an engine for a request.

    This serves bursts about few subjects, and fleets in which each instance sees only a
    fraction of the traffic. Rendezvous hashing of the shared parts gives all instances
    the same preferred engine without communication, so the parts are prefilled once
    rather than once per engine. Another engine is chosen only if the preferred one
    would be late and the other one is faster by more than the extra prefill costs, or
    if the preferred one may not end the stream in time and the other one can.

    Engines are weighted by their pace. If one pace changes, only parts that go to or
    leave that engine move.

    Args:
        engines: The candidates.
        prompt: Parts of the prompt.
        prompt_tokens: Total number of tokens of the prompt.
        objective: Seconds until the first event is due.
        stage_seconds: Returns the expected seconds of the stages for an engine in a
            zone.
        tokens_per_s: Prompt tokens that an engine prefills per second.
        policy: Enabled mechanisms.
        ending: What the end of the stream depends on, None to leave it out.

    Returns:
        The choice, None if there are no candidates.
    """
    if not engines:
        return None
    key = prefix_key(prompt)
    nearness = _nearness(engines, key)
    own_tokens = unshared_tokens(prompt, prompt_tokens)

    def forecast(engine: EngineView, *, is_preferred: bool) -> EngineChoice:
        has_prefix = is_preferred or engine.has_cached_prefix
        tokens = own_tokens if has_prefix else prompt_tokens
        finish = _finish_seconds(engine, tokens, tokens_per_s)
        total = stage_seconds(engine.zone) + finish
        reason = "home" if is_preferred else "known" if has_prefix else "free"
        idle = _BASE_S + tokens / tokens_per_s
        return EngineChoice(engine, total, finish, idle, reason)

    preferred = forecast(max(engines, key=nearness), is_preferred=True)
    on_time = _MAX_OBJECTIVE_FRACTION * objective
    if policy.has(Mechanism.ENGINE_HOMES) and preferred.seconds <= on_time:
        # Most requests stay there, and the other engines need not be looked at.
        if ending is None:
            return preferred
        end = _forecast_end(preferred, ending)
        if end.is_certain:
            return preferred._replace(end=end)
    by_nearness = sorted(engines, key=nearness, reverse=True)
    others = [forecast(engine, is_preferred=False) for engine in by_nearness[1:]]
    choices = [preferred, *others]
    choice = _choose_by_first_event(choices, objective, policy)
    if ending is None:
        return choice
    return _choose_by_end(
        choices,
        choice,
        ending,
        objective=objective,
        shared_tokens=prompt_tokens - own_tokens,
    )


def _nearness(
    engines: Sequence[EngineView], key: str
) -> Callable[[EngineView], bytes | float]:
    """Return the function by which the preferred engine of a key is the greatest."""
    if all(engine.speed.weight == 1.0 for engine in engines):
        return lambda engine: rendezvous_weight(engine.id, key)
    return lambda engine: -_distance(engine.id, key) / engine.speed.weight


def _choose_by_first_event(
    choices: Sequence[EngineChoice], objective: float, policy: Policy
) -> EngineChoice:
    """Choose the preferred engine unless its first event would be late."""
    preferred = choices[0]
    if not policy.has(Mechanism.ENGINE_HOMES):
        return min(choices, key=lambda choice: choice.seconds)
    # The speed does not decide whether parts leave their preferred engine: a slow one
    # would then have its parts read again at other ones with each request.
    if preferred.seconds <= _MAX_OBJECTIVE_FRACTION * objective:
        return preferred
    best = min(choices, key=_seconds_at_speed)
    gain = _seconds_at_speed(preferred) - _seconds_at_speed(best)
    return best if gain > _MOVE_GAIN_S else preferred


def _choose_by_end(
    choices: Sequence[EngineChoice],
    choice: EngineChoice,
    ending: StreamEnd,
    *,
    objective: float,
    shared_tokens: int,
) -> EngineChoice:
    """Keep a choice unless another engine ends the stream in time and it may not.

    The next engine in the order of preference that can is chosen, so that all instances
    send long streams about the same parts to the same one. A stream without a prospect
    goes to an engine that gives it one, whatever that engine has to read again.
    """
    end = _forecast_end(choice, ending)
    if end.is_certain:
        return choice._replace(end=end)
    others = [other._replace(end=_forecast_end(other, ending)) for other in choices]
    worthwhile = [
        other for other in others if _is_worthwhile(other, end, shared_tokens)
    ]
    for other in worthwhile:
        is_late = other.seconds > max(choice.seconds, objective)
        if other.end.is_certain and not is_late:
            return other
    best = max(
        worthwhile,
        key=lambda other: (other.end.outlook, other.end.chance),
        default=None,
    )
    return choice._replace(end=end) if best is None else best


def _is_worthwhile(choice: EngineChoice, end: EndForecast, shared_tokens: int) -> bool:
    """Return whether a choice is worth leaving an engine with another end."""
    if choice.end.outlook > end.outlook:
        return True
    read_again = shared_tokens if choice.reason == "free" else 0
    gain = max(_MIN_CHANCE_GAIN, read_again / _TOKENS_PER_CHANCE)
    return choice.end.chance - end.chance >= gain


def _forecast_end(choice: EngineChoice, ending: StreamEnd) -> EndForecast:
    engine = choice.engine
    return ending.forecast(
        engine.speed, engine.running, engine.slots, _seconds_at_speed(choice)
    )


def _seconds_at_speed(choice: EngineChoice) -> float:
    """Return the seconds until the first event at the speed of the engine."""
    reading = choice.engine.speed.reading
    return choice.seconds + (reading - 1.0) * choice.finish_seconds


@lru_cache(maxsize=_MAX_CACHED_DISTANCES)
def _distance(candidate: str, key: str) -> float:
    """Return the distance of a candidate from a key; the nearest one is preferred.

    Divided by weights, distances give each candidate its share of the keys. If all
    weights are equal, the order is that of the rendezvous weights.
    """
    weight = int.from_bytes(rendezvous_weight(candidate, key), "big")
    return -math.log((weight + 1) / _MAX_HASH)


def _finish_seconds(engine: EngineView, tokens: int, tokens_per_s: float) -> float:
    """Return the expected seconds from the last stage to the first event."""
    prefill = (engine.tokens_ahead + tokens) / tokens_per_s
    full = max(0, engine.running - engine.slots + 1)
    queueing = full / max(1, engine.slots)
    return _BASE_S + prefill + engine.running * _PER_RUNNING_S + queueing + engine.delay
