"""Measures how fast a restarted fleet knows itself (``make meeting``).

All instances start within 0.3 s and know three seeds. They are objects of one process
on a virtual clock, joined by trips of 2 ms; which peers are greeted is drawn from a
seed. Datagrams of one moment arrive in any order, so sizes vary a little between calls.
"""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
import random
import sys
from typing import NamedTuple

from bergamotsaddle_standins.paused_hub import advance, use_paused_clock
from bergamotsaddle_standins.peer_fleet import PeerFleet

_SIZES = (7, 66, 195)
_SEED = 1
_START_S = 0.3
_STEP_S = 0.1
_LIMIT_S = 10.0
_SERVICES = ("encode", "retrieve", "rerank")


class Meeting(NamedTuple):
    """How a fleet met.

    Attributes:
        agreed: Seconds from the last start until all agree on all owners.
        known: Seconds until all know all others.
        datagrams: Datagrams that an instance sent until then, on average.
        kilobytes: Their size.
    """

    agreed: float
    known: float
    datagrams: float
    kilobytes: float


def meet(size: int) -> Meeting:
    """Start a fleet and wait until all its instances know each other.

    Raises:
        RuntimeError: If they do not within the limit.
    """
    use_paused_clock()
    random.seed(_SEED)
    fleet = PeerFleet(size)
    fleet.start(within=_START_S)
    advance(_START_S)
    passed = 0.0
    agreed = None
    while fleet.min_known_peers() < size - 1:
        if passed >= _LIMIT_S:
            raise RuntimeError(f"{size} instances have not met within {_LIMIT_S:.0f} s")
        advance(_STEP_S)
        passed += _STEP_S
        is_agreed = all(len(fleet.owners(service)) == 1 for service in _SERVICES)
        if not is_agreed:
            agreed = None
        elif agreed is None:
            agreed = passed
    datagrams = sum(peers.sent for peers in fleet) / size
    kilobytes = sum(peers.bytes_sent for peers in fleet) / size / 1_000
    return Meeting(passed if agreed is None else agreed, passed, datagrams, kilobytes)


def _parse_size(word: str) -> int:
    """Turn a word into a number of instances.

    Raises:
        ValueError: If it is none.
    """
    if not word.isdigit() or not int(word):
        raise ValueError(f"expected a number of instances from 1 on, not {word!r}")
    return int(word)


def main() -> int:
    """Print a row for each size; the sizes are the arguments."""
    try:
        sizes = [_parse_size(word) for word in sys.argv[1:]] or list(_SIZES)
    except ValueError as error:
        sys.stderr.write(f"meeting: {error}\n")
        return 2
    sys.stdout.write("instances  agreed s  known s  datagrams  KB an instance\n")
    for size in sizes:
        row = meet(size)
        sys.stdout.write(
            f"{size:9}  {row.agreed:8.1f}  {row.known:7.1f}  {row.datagrams:9.0f}"
            f"  {row.kilobytes:14.1f}\n"
        )
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
