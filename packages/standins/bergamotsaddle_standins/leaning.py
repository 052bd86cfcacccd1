"""Replays a balancer that sends most new connections to one instance.

Three daemons serve requests, each on a connection of its own: first spread over all of
them, then several times as many at one of them. Run it with ``make leaning``.
"""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import argparse
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from itertools import count
from pathlib import Path
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.soak import Soak
from bergamotsaddle_standins.soak_callers import CallerSocket, SentRequest
from bergamotsaddle_standins.soak_dialect import LOOKUP_PREFIX, TALK_PREFIX

_INSTANCES = 3
_BASE_PER_S = 40.0
_CALM_S = 4.0
_LEANING_S = 8.0
_EVENTS = 3
_RETRIES = 2
_RETRY_PAUSE_S = 0.05
_OK = 200
_SETTLED_S = 3.0


class FirstTry(NamedTuple):
    """The first attempt of a caller.

    Attributes:
        at: When it was made, on the hub's clock.
        was_read: Whether an instance has read it, or no later attempt was read.
        is_served: Whether it was served.
        status: Its status, 0 without a response.
    """

    at: float
    was_read: bool
    is_served: bool
    status: int


class LeaningBalancer(Soak):
    """A deployment whose new connections lean to one instance.

    Args:
        seed: Part of the addresses of the instances.
        folder: Folder for settings and logs.
        prefix: Prefix of the requests' paths, which selects their route.

    Attributes:
        tries: First attempts of all callers.
    """

    def __init__(self, seed: int, folder: Path, prefix: str) -> None:
        super().__init__(seed, _INSTANCES, folder)
        self._prefix = prefix
        self.tries: list[FirstTry] = []
        self._numbers = count()

    def replay(self, factor: float, *, is_spread: bool) -> tuple[float, float]:
        """Replay it.

        Args:
            factor: New connections at one instance, as a multiple of those before.
            is_spread: Whether they go to all instances instead, for comparison.

        Returns:
            The fraction of first attempts that are served, before and while it leans.
        """
        probing = eventlet.spawn(self._probe)
        try:
            self._wait_ready()
            started_at = now()
            hosts = [instance.host for instance in self._instances]
            self._load(hosts, _BASE_PER_S, _CALM_S)
            leans_at = now()
            chosen = hosts if is_spread else hosts[:1]
            self._load(chosen, factor * _BASE_PER_S, _LEANING_S)
            eventlet.sleep(_SETTLED_S)
        finally:
            probing.kill()
            for instance in self._instances:
                instance.kill()
            self._guard.close()
        return (
            self._served(started_at, leans_at),
            self._served(leans_at + _SETTLED_S, leans_at + _LEANING_S),
        )

    def statuses(self) -> Counter[int]:
        """Count first attempts that were read by status."""
        return Counter(one.status for one in self.tries if one.was_read)

    def _load(self, hosts: Sequence[str], per_second: float, seconds: float) -> None:
        until = now() + seconds
        due_at = now()
        while due_at < until:
            eventlet.spawn_n(self._call, random.choice(hosts))
            due_at += random.expovariate(per_second)
            eventlet.sleep(max(0.0, due_at - now()))

    def _call(self, host: str) -> None:
        at = now()
        status, is_served = self._attempt(host)
        is_read_later = False
        others = [i.host for i in self._instances if i.host != host]
        for _ in range(_RETRIES):
            if status or is_read_later:
                break
            eventlet.sleep(_RETRY_PAUSE_S)
            is_read_later = bool(self._attempt(random.choice(others))[0])
        was_read = bool(status) or not is_read_later
        self.tries.append(FirstTry(at, was_read, is_served, status))

    def _attempt(self, host: str) -> tuple[int, bool]:
        """Send a request on a new connection; return its status and if it is whole."""
        number = f"l{next(self._numbers)}"
        self._ledger.events_by_request[number] = _EVENTS
        request = SentRequest(
            number,
            self._prefix + number,
            "key-0",
            b"",
            parts=("system", "topic", number),
        )
        try:
            connection = CallerSocket((host, 8000))
            connection.send(request.encode())
        except OSError:
            return 0, False
        response = connection.read(request.id, request.deadline)
        connection.close()
        is_served = response.status == _OK and response.is_complete
        return response.status, is_served

    def _served(self, since: float, until: float) -> float:
        read = [t for t in self.tries if t.was_read and since <= t.at < until]
        return sum(t.is_served for t in read) / max(1, len(read))


def main() -> int:
    """Replay factors of new connections and print the fractions that are served."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("factors", nargs="*", type=float, default=[4.0, 8.0])
    parser.add_argument("--seed", type=int, default=60)
    parser.add_argument("--spread", action="store_true", help="lean to no instance")
    parser.add_argument("--streams", action="store_true", help="streams, not lookups")
    arguments = parser.parse_args()
    # Streams need a stage, whose targets may be what is overloaded.
    prefix = TALK_PREFIX if arguments.streams else LOOKUP_PREFIX
    for number, factor in enumerate(arguments.factors):
        with tempfile.TemporaryDirectory() as folder:
            balancer = LeaningBalancer(arguments.seed + number, Path(folder), prefix)
            before, leaning = balancer.replay(factor, is_spread=arguments.spread)
        statuses = dict(balancer.statuses())
        print(f"{factor:g} times: {before:.2f} before, {leaning:.2f} after; {statuses}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
