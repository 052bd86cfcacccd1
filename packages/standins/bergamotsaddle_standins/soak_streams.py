"""Checks at which software versions the streams of a soak went on, and how often.

This module does no input or output.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bergamotsaddle_standins.soak_callers import Exchange
from bergamotsaddle_standins.soak_dialect import STREAM_PREFIXES, TALK_PREFIX
from bergamotsaddle_standins.soak_record import MIN_ENGINES, SoakRecord

_OK = 200
# If this many streams are taken up again, at least this fraction of the share of new
# ones that begin goes on, but for a few.
_MIN_STREAMS = 12
_MIN_GOING_ON = 0.9
_ALLOWED_ENDED_STREAMS = 3


class StreamCounts(NamedTuple):
    """Number of streams, and of those taken up while two targets could serve them.

    Attributes:
        tried: Requests for new streams.
        began: Those of them that brought an event.
        taken_up: Streams that were taken up again.
        went_on: Those of them whose first try brought an event, or the stream's end.
    """

    tried: int
    began: int
    taken_up: int
    went_on: int


def find_stream_breaches(record: SoakRecord) -> Iterator[str]:
    """Yield a line for each stream of two versions, and if too few streams go on."""
    yield from _check_versions(record)
    yield from _check_take_ups(record)


def _software_by_stream(exchanges: Iterable[Exchange]) -> dict[str, list[bytes]]:
    """Return the software versions of the events of each stream, in order."""
    versions: defaultdict[str, list[bytes]] = defaultdict(list)
    for exchange in sorted(exchanges, key=lambda e: e.started_at):
        if exchange.request.path.startswith(STREAM_PREFIXES):
            names = [data for _, data in exchange.events]
            versions[exchange.request.stream] += names
    return versions


def _check_versions(record: SoakRecord) -> Iterator[str]:
    for stream, names in _software_by_stream(record.exchanges).items():
        if len(set(names)) > 1:
            found = b", ".join(dict.fromkeys(names)).decode()
            yield f"mixed: {stream} has events of {found}"


def count_streams(record: SoakRecord) -> StreamCounts:
    """Count streams that began and that went on while two targets could serve them.

    Callers try again at once, so only the first try of each stream counts.
    """
    software = _software_by_stream(record.exchanges)
    began: list[bool] = []
    went_on: dict[str, bool] = {}
    for exchange in record.exchanges:
        request = exchange.request
        if not request.path.startswith(TALK_PREFIX) or record.is_disturbed(exchange):
            continue
        if not request.resumes:
            began.append(_is_served(exchange))
            continue
        began_at = software[request.resumes][:1]
        if any(
            record.count_serving(name, exchange) >= MIN_ENGINES for name in began_at
        ):
            went_on.setdefault(request.resumes, _is_served(exchange))
    return StreamCounts(len(began), sum(began), len(went_on), sum(went_on.values()))


def _is_served(exchange: Exchange) -> bool:
    """Return whether a request brought an event, or the end of its stream."""
    return exchange.status == _OK and (exchange.is_complete or bool(exchange.events))


def _check_take_ups(record: SoakRecord) -> Iterator[str]:
    counts = count_streams(record)
    if not counts.tried or counts.taken_up < _MIN_STREAMS:
        return
    expected = _MIN_GOING_ON * counts.began / counts.tried * counts.taken_up
    if counts.went_on < expected - _ALLOWED_ENDED_STREAMS:
        yield (
            f"ended: {counts.went_on} of {counts.taken_up} streams went on, "
            f"{counts.began} of {counts.tried} began"
        )
