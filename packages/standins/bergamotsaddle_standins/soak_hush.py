"""Times in which targets of a soak hold back all bytes, and what that costs streams.

This module does no input or output.
"""

import random
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import NamedTuple

from bergamotsaddle_standins.soak_callers import Exchange
from bergamotsaddle_standins.soak_dialect import (
    ENGINE,
    LOOKUPS,
    RERANK,
    STREAM_PATIENCE_S,
    STREAM_PREFIXES,
    TALK_PREFIX,
)
from bergamotsaddle_standins.soak_targets import Run, RunningTarget

MIN_HUSH_S = 0.3
MAX_HUSH_S = 3.0
# Seconds between two hushes of the same targets, and until the next ones.
HUSH_GAP_S = 0.3
REST_S = 1.0
_SERVICES = ((ENGINE,), (ENGINE,), (ENGINE, RERANK), (RERANK,), (LOOKUPS,))
_TWICE = 0.3
# A stream that waits for longer than this has not left its engine. A few may lack what
# a second run needs.
_STAY_S = 2.0
_MIN_STAYS = 4


class Hush(NamedTuple):
    """A time in which targets hold back all bytes, then go on.

    Attributes:
        targets: Ids of the targets.
        has_other_engine: Whether an engine is not among them.
        started_at: When it began, on the hub's clock.
        ended_at: When it ended.
    """

    targets: Collection[str]
    has_other_engine: bool
    started_at: float
    ended_at: float = float("inf")


def pick_hushed(
    targets: Sequence[RunningTarget], rng: random.Random
) -> list[RunningTarget]:
    """Return one, half or all of the targets of some services."""
    services = rng.choice(_SERVICES)
    found = [target for target in targets if target.service in services]
    count = rng.choice([1, (len(found) + 1) // 2, len(found)])
    return rng.sample(found, min(count, len(found)))


def pick_hushes(rng: random.Random) -> list[float]:
    """Return the seconds of one hush, or of two that follow each other."""
    count = 2 if rng.random() < _TWICE else 1
    return [rng.uniform(MIN_HUSH_S, MAX_HUSH_S) for _ in range(count)]


def is_impatient(exchange: Exchange) -> bool:
    """Return whether the caller of a stream got nothing for as long as it waits."""
    is_stream = exchange.request.path.startswith(STREAM_PREFIXES)
    return is_stream and exchange.longest_pause >= STREAM_PATIENCE_S


def find_stays(
    exchanges: Sequence[Exchange],
    hushes: Sequence[Hush],
    runs_by_request: Mapping[str, Sequence[Run]],
) -> Iterator[str]:
    """Yield a line if streams wait for silent engines and none goes on elsewhere."""
    stays = leaves = 0
    for exchange in exchanges:
        runs = runs_by_request.get(exchange.request.id, ())
        is_talk = exchange.request.path.startswith(TALK_PREFIX)
        if not is_talk or not any(_meets(exchange, runs, hush) for hush in hushes):
            continue
        leaves += len(runs) > 1
        stays += len(runs) == 1 and exchange.longest_pause > _STAY_S
    if stays >= _MIN_STAYS and not leaves:
        yield f"stayed: {stays} streams waited for silent engines, none left one"


def _meets(exchange: Exchange, runs: Sequence[Run], hush: Hush) -> bool:
    """Return whether a stream ran at a silent engine while another one spoke."""
    is_meanwhile = (
        hush.started_at <= exchange.ended_at and exchange.sent_at <= hush.ended_at
    )
    if not is_meanwhile or not runs or not hush.has_other_engine:
        return False
    # A silent engine begins to run later than the one that a stream left it for.
    return min(runs, key=lambda run: run.at).target in hush.targets
