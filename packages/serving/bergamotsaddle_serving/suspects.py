"""Tells a request that ends its targets from those that ran beside it.

No input or output here.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Targets that end under a request before it is held back.
MAX_CRASHES = 3
_DAY_S = 86_400.0
_ENDS = Topic("end", keep_seconds=_DAY_S, most=2_000)
_ENDED_UNDER_IT = 1.0
_CLEARED = 0.0
_SEPARATOR = "\t"
_KEY_PARTS = 4
# Requests that are remembered for having run whole.
_MOST_PROVEN = 4_096


class _Life(NamedTuple):
    """A life of a target, as keys of facts name it.

    Attributes:
        release: Its service and the version of its software.
        name: Its id and when it began.
    """

    release: tuple[str, str]
    name: str


class Suspects:
    """Requests under which targets have ended.

    Answers a request that ends every target which runs it and comes again and again,
    at any instance: each try looks like an ordinary request that met a crash. A target
    takes with it all that it runs, so one end proves nothing. Counted are different
    lives of targets that ended under the same work, at all instances together.

    An end is laid to the request that was there at most ends: those beside it have
    been at fewer. A request that runs whole on some target is cleared, however many
    ends it was at; so one that many callers send is not taken for the cause of a
    crash. Nobody is held back for fewer than three ends.

    A request is released once no target runs the software any more that ended under
    it; after one more end with the next version it is held back again. Else it is
    released after a day.

    Args:
        gossip: Carries the ends to all instances.
        tell: Tells the others what is new.
        releases: Service and software version of each target that is there.
        logger: Gets a line when a request becomes held back or is cleared.
        policy: Which mechanisms are in force.
    """

    def __init__(
        self,
        gossip: Gossip,
        tell: Callable[[Sequence[Fact | None]], None],
        releases: Callable[[], set[tuple[str, str]]],
        logger: Any,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._gossip = gossip
        self._tell = tell
        self._releases = releases
        self._logger = logger
        self._is_on = policy.has(Mechanism.FATAL_REQUESTS)
        self._lives_by_work: dict[str, set[_Life]] = {}
        self._works_by_life: dict[_Life, set[str]] = {}
        self._proven: OrderedDict[tuple[str, tuple[str, str]], None] = OrderedDict()
        gossip.subscribe(_ENDS, self._note, worth=self._worth)

    def record_crash(self, target: Target, works: Iterable[str]) -> None:
        """Note that a target has ended while it ran some requests."""
        life = _life(target)
        unproven = [w for w in works if (w, life.release) not in self._proven]
        self._tell(
            [
                self._gossip.record(_ENDS, _key(w, life), _ENDED_UNDER_IT)
                for w in unproven
            ]
        )
        for work in unproven:
            self._log(work, target)

    def record_success(self, target: Target, work: str) -> None:
        """Note that a request ran to its end without ending its target."""
        release = _life(target).release
        self._proven[work, release] = None
        self._proven.move_to_end((work, release))
        if len(self._proven) > _MOST_PROVEN:
            self._proven.popitem(last=False)
        lives = [
            life
            for life in self._lives_by_work.get(work, ())
            if life.release == release
        ]
        if not lives:
            return
        self._logger.info("suspect_cleared", work=work, target=target.id)
        self._tell(
            [self._gossip.record(_ENDS, _key(work, life), _CLEARED) for life in lives]
        )

    def is_suspect(self, work: str) -> bool:
        """Tell whether a target has ended under a request."""
        return self._is_on and bool(self._guilty_lives(work))

    def is_quarantined(self, work: str) -> bool:
        """Tell whether a request must reach no target."""
        if not self._is_on:
            return False
        lives = self._guilty_lives(work)
        if len(lives) < MAX_CRASHES:
            return False
        releases = self._releases()
        services = {service for service, _ in releases}
        # A service without any target may come back as it was.
        return any(
            life.release in releases or life.release[0] not in services
            for life in lives
        )

    def quarantined(self) -> list[str]:
        """All requests that are held back."""
        return [work for work in self._lives_by_work if self.is_quarantined(work)]

    def __len__(self) -> int:
        """Number of requests under which a target has ended."""
        return len(self._lives_by_work)

    def _guilty_lives(self, work: str) -> list[_Life]:
        """Lives that ended under a request, and under none that was at more ends."""
        lives = self._lives_by_work.get(work, ())
        return [
            life
            for life in lives
            if (work, life.release) not in self._proven
            and len(lives) >= self._most_ends(life)
        ]

    def _most_ends(self, life: _Life) -> int:
        return max(len(self._lives_by_work[w]) for w in self._works_by_life[life])

    def _worth(self, key: str) -> float:
        work = key.partition(_SEPARATOR)[0]
        return float(len(self._lives_by_work.get(work, ())))

    def _note(self, key: str, value: float | None) -> None:
        parsed = _parse_key(key)
        if parsed is None:
            return
        work, life = parsed
        if value == _ENDED_UNDER_IT:
            self._lives_by_work.setdefault(work, set()).add(life)
            self._works_by_life.setdefault(life, set()).add(work)
            return
        _discard(self._lives_by_work, work, life)
        _discard(self._works_by_life, life, work)

    def _log(self, work: str, target: Target) -> None:
        self._logger.warning(
            "target_ended",
            target=target.id,
            work=work,
            ends=len(self._guilty_lives(work)),
            is_held_back=self.is_quarantined(work),
        )


def _discard(index: dict[Any, set[Any]], key: Any, value: Any) -> None:
    """Take a value out of a set, and the set out of its index once it is empty."""
    values = index.get(key, set())
    values.discard(value)
    if not values:
        index.pop(key, None)


def _life(target: Target) -> _Life:
    name = f"{target.id}:{target.started_ms}"
    return _Life((target.service, target.software), name)


def _key(work: str, life: _Life) -> str:
    return _SEPARATOR.join((work, *life.release, life.name))


def _parse_key(key: str) -> tuple[str, _Life] | None:
    """Take a key apart; None if a name in it holds the separator."""
    parts = key.split(_SEPARATOR)
    if len(parts) != _KEY_PARTS:
        return None
    work, service, software, name = parts
    return work, _Life((service, software), name)
