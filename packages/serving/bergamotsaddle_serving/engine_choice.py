"""Decides which engine a request goes to. No input or output here."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Prompt tokens that an engine reads in a second, before anything was measured.
FIRST_TOKENS_PER_S = 50_000.0
# From the last stage's result to the first event, besides reading the prompt.
_BASE_S = 0.03
# What each running request adds to the time of the others' tokens.
_PER_RUNNING_S = 0.0015
# An engine that isn't the prompt's home must be this much faster to be worth reading
# the shared parts again.
_MOVE_GAIN_S = 0.15
# The part of the objective that a prediction may use; the rest absorbs what varies.
_CAREFUL = 0.8


class EngineView(NamedTuple):
    """An engine as a candidate.

    Attributes:
        id: Its name.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        running: Requests that all instances have there, as far as known.
        tokens_ahead: Prompt tokens of all instances' requests still to be read.
        knows: Whether it has read the shared parts lately, by this instance's record.
        delay: Further seconds to count, as for a target that failed lately.
    """

    id: str
    zone: str
    slots: int
    running: int
    tokens_ahead: int
    has_cached_prefix: bool
    delay: float = 0.0


class EngineChoice(NamedTuple):
    """The decision.

    Attributes:
        engine: The engine.
        seconds: Expected seconds until the first event, stages among them.
        finish_seconds: The part of them after the last stage.
        idle_seconds: The same part if the engine had nothing else to do.
        reason: Why this one.
    """

    engine: EngineView
    seconds: float
    finish_seconds: float
    idle_seconds: float
    reason: str


def prefix_key(prompt: Sequence[PromptPart]) -> str:
    """Name of the parts that a prompt shares with others: all but its own last one."""
    shared = prompt[:-1] or prompt
    return "/".join(part.id for part in shared)


def unshared_tokens(prompt: Sequence[PromptPart], prompt_tokens: int) -> int:
    """Tokens that are read even where the shared parts are known."""
    shared = sum(part.tokens for part in prompt[:-1])
    return max(0, prompt_tokens - shared)


def isolate_engine(engines: Sequence[EngineView], work: str) -> list[EngineView]:
    """The engine for a request under which another one has ended.

    What runs beside it may be lost, so it goes where little runs; and two such requests
    go to different engines, or the harmless one would be at the next end as well.

    Args:
        engines: The candidates.
        work: Fingerprint of the request.

    Returns:
        One engine, none if there is none.
    """
    by_load = sorted(engines, key=lambda engine: (engine.running, engine.id))
    quiet = by_load[: (len(by_load) + 1) // 2]
    return sorted(quiet, key=lambda engine: rendezvous_weight(engine.id, work))[-1:]


def choose_engine(
    engines: Sequence[EngineView],
    prompt: Sequence[PromptPart],
    prompt_tokens: int,
    *,
    objective: float,
    stage_seconds: Callable[[str], float],
    tokens_per_s: float = FIRST_TOKENS_PER_S,
    policy: Policy = FULL_POLICY,
) -> EngineChoice | None:
    """Choose an engine for a request.

    Answers bursts about few subjects and fleets in which each instance sees a part of
    the traffic only. The home of a prompt's shared parts is the same for all instances
    without a word between them, so the parts are read once and not once an engine. It
    is left only if it would be too late and another engine is faster by more than the
    reading costs.

    Args:
        engines: The candidates.
        prompt: Parts of the prompt.
        prompt_tokens: All of its tokens.
        objective: Seconds until the first event is due.
        stage_seconds: Expected seconds of the stages for an engine in a zone.
        tokens_per_s: Prompt tokens that an engine reads in a second.
        policy: Which mechanisms are in force.

    Returns:
        The choice, None if there is no engine.
    """
    if not engines:
        return None
    key = prefix_key(prompt)
    by_weight = sorted(
        engines, key=lambda e: rendezvous_weight(e.id, key), reverse=True
    )
    own_tokens = unshared_tokens(prompt, prompt_tokens)
    choices = []
    for place, engine in enumerate(by_weight):
        is_home = place == 0
        tokens = own_tokens if is_home or engine.has_cached_prefix else prompt_tokens
        finish = _finish_seconds(engine, tokens, tokens_per_s)
        total = stage_seconds(engine.zone) + finish
        reason = "home" if is_home else "known" if engine.has_cached_prefix else "free"
        idle = _BASE_S + tokens / tokens_per_s
        choices.append(EngineChoice(engine, total, finish, idle, reason))
    home = choices[0]
    if not policy.has(Mechanism.ENGINE_HOMES):
        return min(choices, key=lambda choice: choice.seconds)
    if home.seconds <= _CAREFUL * objective:
        return home
    best = min(choices, key=lambda choice: choice.seconds)
    return best if best.seconds < home.seconds - _MOVE_GAIN_S else home


def _finish_seconds(engine: EngineView, tokens: int, tokens_per_s: float) -> float:
    reading = (engine.tokens_ahead + tokens) / tokens_per_s
    full = max(0, engine.running - engine.slots + 1)
    queueing = full / max(1, engine.slots)
    return _BASE_S + reading + engine.running * _PER_RUNNING_S + queueing + engine.delay
