"""When a stream is going to end, and whether an engine can end it in time.

This module does no input or output.
"""

import math
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Service
from bergamotsaddle_serving.decisions.engine_speeds import EngineSpeed, load_factor
from bergamotsaddle_serving.decisions.shared_figures import FigureSender, SharedFigures
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.peer_messages import Fact

LENGTHS = Topic("stream_length", ttl_seconds=3_600.0, max_facts=2_000)
# Range of the events that a stream has for a token of its hint or its maximum.
_EVENTS_PER_TOKEN = (0.0001, 20.0)
# How far hints are off before any stream has ended, as the standard deviation of a
# natural logarithm, and the number of streams that this counts for.
_INITIAL_SPREAD = 0.7
_INITIAL_STREAMS = 4.0
_MIN_SPREAD = 0.1
# Deviation, as a natural logarithm, beyond which a stream says nothing of the length of
# others, and number of such streams in a row from which on it does: what was expected
# is wrong then.
_MAX_DEVIATION = math.log(8.0)
_STRANGE_STREAMS = 20
# Change of what is expected, as a natural logarithm, that no usual stream makes.
_MIN_JUMP = math.log(2.0)
# Chance of an end in time from which on a stream may stay, and below which it is
# hopeless. Only a stream whose prospect is below it too is rejected.
_CERTAIN = 0.9
_HOPELESS = 0.1
# How far speeds are off at least, as the standard deviation of a natural logarithm.
_SPEED_SPREAD = 0.3
# A hopeless stream of a route is let through this often: only streams that run show
# that a forecast is wrong.
_TRIAL_PAUSE_S = 10.0
# Streams after which what was learnt gives way to newer ones.
_MAX_STREAMS = 200.0
# An engine without memory for all its requests takes at most this much longer.
_MAX_MEMORY_FACTOR = 2.0
_TOKENS_WEIGHT = 0.05


class StreamLength(NamedTuple):
    """Events that a stream may have.

    Attributes:
        usual: Half of such streams are shorter.
        spread: Standard deviation of the natural logarithm of the length.
    """

    usual: float
    spread: float


class _Spread:
    """How far the lengths of streams are off what was expected."""

    def __init__(self) -> None:
        self.streams = _INITIAL_STREAMS
        self._squares = _INITIAL_STREAMS * _INITIAL_SPREAD**2
        self._strange_streams = 0

    def add(self, deviation: float) -> bool:
        """Add the deviation of one stream, as a natural logarithm.

        Returns:
            Whether the stream says something of the length of others.
        """
        is_strange = abs(deviation) > _MAX_DEVIATION
        self._strange_streams = self._strange_streams + 1 if is_strange else 0
        self._add(min(_MAX_DEVIATION, abs(deviation)))
        return not is_strange or self._strange_streams >= _STRANGE_STREAMS

    def add_jump(self, deviation: float) -> None:
        """Add a jump of what is expected; earlier streams say little of it."""
        if self.streams > _INITIAL_STREAMS:
            self._squares *= _INITIAL_STREAMS / self.streams
            self.streams = _INITIAL_STREAMS
        self._add(deviation)

    def _add(self, deviation: float) -> None:
        if self.streams >= _MAX_STREAMS:
            self.streams /= 2.0
            self._squares /= 2.0
        self.streams += 1.0
        self._squares += deviation**2

    @property
    def value(self) -> float:
        """Standard deviation."""
        return max(_MIN_SPREAD, math.sqrt(self._squares / self.streams))


class StreamLengths:
    """How many events streams have for what their callers say of their lengths.

    A caller names a maximum, and perhaps a hint. All instances learn together how many
    events a kind of request has for a token of either; how far single streams are off,
    each instance learns by itself.

    Args:
        gossip: Carries what is learnt to all instances.
        publish: Sends new facts to the other instances.
        instances: Returns the number of instances.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        instances: Callable[[], int],
    ) -> None:
        sender = FigureSender(publish, instances)
        lowest, highest = _EVENTS_PER_TOKEN
        self._ratios = SharedFigures(
            gossip,
            sender,
            LENGTHS,
            lowest=lowest,
            highest=highest,
            on_change=self._on_ratio,
        )
        self._ratio_by_key: dict[str, float] = {}
        self._spread_by_key: dict[str, _Spread] = {}
        self._tokens_by_service: dict[str, float] = {}

    def record(self, route: str, head: RequestHead, events: int) -> None:
        """Record the number of events of a stream that has ended."""
        if not events:
            return
        for key, tokens in _bases(route, head):
            ratio = events / tokens
            usual = self._ratios.get(key)
            if usual is None or self._spread(key).add(math.log(ratio / usual)):
                self._ratios.record(key, ratio)

    def record_cut(self, route: str, head: RequestHead, events: int) -> None:
        """Record a stream that had more events to come as it was cut.

        Only one that is longer than usual already says something of its length.
        """
        length = self.forecast(route, head)
        if length is not None and events > length.usual:
            self.record(route, head, events)

    def forecast(self, route: str, head: RequestHead) -> StreamLength | None:
        """Return the length of a stream, None if nothing is known of its kind."""
        best = None
        best_spread = math.inf
        for key, tokens in _bases(route, head):
            ratio = self._ratios.get(key)
            if ratio is None:
                continue
            known = self._spread_by_key.get(key)
            spread = known.value if known else _INITIAL_SPREAD
            if spread < best_spread:
                best, best_spread = ratio * tokens, spread
        if best is None:
            return None
        return StreamLength(best, best_spread)

    def _spread(self, key: str) -> _Spread:
        return self._spread_by_key.setdefault(key, _Spread())

    def _on_ratio(self, key: str) -> None:
        """Trust a figure less that has just jumped, such as by another instance."""
        ratio = self._ratios.get(key)
        earlier = self._ratio_by_key.pop(key, None)
        if ratio is None:
            return
        self._ratio_by_key[key] = ratio
        jump = 0.0 if earlier is None else math.log(ratio / earlier)
        if abs(jump) >= _MIN_JUMP:
            self._spread(key).add_jump(jump)

    def record_tokens(self, service: Service, tokens: int) -> None:
        """Record the tokens that a request of a service holds alone.

        No request holds more than an engine.
        """
        held = float(min(tokens, service.engine_memory))
        usual = self._tokens_by_service.get(service.name, held)
        usual += _TOKENS_WEIGHT * (held - usual)
        self._tokens_by_service[service.name] = usual

    def usual_tokens(self, service: str) -> float:
        """Return the tokens that a request of a service usually holds alone."""
        return self._tokens_by_service.get(service, 0.0)


class Outlook(IntEnum):
    """Whether a stream has a chance worth trying to end in time."""

    # Not even if the engine is faster than it seems and has memory for it.
    NONE = 0
    # Only if it is.
    POOR = 1
    FAIR = 2


class EndForecast(NamedTuple):
    """When a stream is going to end at an engine.

    Attributes:
        seconds: Seconds from now until its end, if its length is usual.
        remaining: Seconds from now until its caller gives up.
        chance: Chance that it ends before that.
        prospect: The same if the engine has memory enough and speeds may be off.
    """

    seconds: float
    remaining: float
    chance: float
    prospect: float

    @property
    def is_certain(self) -> bool:
        """Whether the stream almost certainly ends in time."""
        return self.chance >= _CERTAIN

    @property
    def is_hopeless(self) -> bool:
        """Whether the stream almost certainly ends too late."""
        return self.chance < _HOPELESS

    @property
    def outlook(self) -> Outlook:
        """Whether the stream has a chance worth trying."""
        if not self.is_hopeless:
            return Outlook.FAIR
        return Outlook.NONE if self.prospect < _HOPELESS else Outlook.POOR


class EndTrials:
    """Decides which hopeless streams run nonetheless, few of each route."""

    def __init__(self) -> None:
        self._last_at_by_route: dict[str, float] = {}

    def take(self, route: str) -> bool:
        """Return whether a hopeless stream of a route runs as a trial.

        The first one of a route does not.
        """
        last_at = self._last_at_by_route.setdefault(route, now())
        if now() - last_at < _TRIAL_PAUSE_S:
            return False
        self._last_at_by_route[route] = now()
        return True


class StreamEnd(NamedTuple):
    """What the end of one stream depends on, beside the engine.

    Attributes:
        remaining: Seconds from now until the caller gives up.
        length: Its length.
        event_seconds: Usual seconds of an event at an idle engine of the service.
        memory: Tokens that an engine holds at once, 0 if unknown.
        tokens: Tokens that the request holds.
        other_tokens: Tokens that another request of the service usually holds alone.
    """

    remaining: float
    length: StreamLength
    event_seconds: float
    memory: int = 0
    tokens: int = 0
    other_tokens: float = 0.0

    def forecast(
        self, speed: EngineSpeed, running: int, slots: int, first_event: float
    ) -> EndForecast:
        """Return when the stream ends at an engine.

        This answers bursts of long streams at engines of unequal speed: a slow or
        crowded engine would write them until their callers have left, while another
        one could end them.

        Args:
            speed: Speed of the engine.
            running: Requests of all instances there, as last reported.
            slots: Requests that it runs at once.
            first_event: Expected seconds until the first event.
        """
        seconds = self.event_seconds * speed.writing * load_factor(running + 1, slots)
        quick = self.length.usual * seconds
        usual = quick * self._memory_factor(running, slots)
        available = self.remaining - first_event
        spread = self.length.spread
        chance = _chance(available, usual, spread)
        # Measured seconds of an event contain the slowdown by short memory already.
        prospect = _chance(available, quick, math.hypot(spread, _SPEED_SPREAD))
        return EndForecast(first_event + usual, self.remaining, chance, prospect)

    def _memory_factor(self, running: int, slots: int) -> float:
        """Return how much longer an event takes if memory is short."""
        if not self.memory:
            return 1.0
        needed = self.tokens + min(running, slots) * self.other_tokens
        return min(_MAX_MEMORY_FACTOR, max(1.0, needed / self.memory))


def _chance(available: float, usual: float, spread: float) -> float:
    """Return the chance that writing takes no longer than what is available.

    Args:
        available: Seconds for it.
        usual: Seconds that it takes in half of the cases.
        spread: Standard deviation of their natural logarithm.
    """
    if available <= 0.0:
        return 0.0
    deviation = math.log(available / usual) / spread
    return 0.5 * (1.0 + math.erf(deviation / math.sqrt(2.0)))


def _bases(route: str, head: RequestHead) -> list[tuple[str, int]]:
    """Return what a caller says of a length: keys of figures and tokens."""
    bases = []
    if head.length_hint > 0:
        bases.append((f"{route} hint", head.length_hint))
    if head.output_tokens > 0:
        bases.append((f"{route} max", head.output_tokens))
    return bases
