"""Decides which pieces of stages a target works on next. No input or output here."""

import math
from collections.abc import Callable, Sequence
from itertools import accumulate
from typing import NamedTuple

from bergamotsaddle_serving.catalog import Batching
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_load import PLACES, place

# A call below this part of what it could carry waits for room.
_WORTH_CALLING = 0.6
# Among requests that have begun, a step of urgency counts as much as coming so much
# earlier: enough to go ahead in a burst, too little to be overtaken for ever.
_URGENCY_S = 0.5
# Requests that have begun go before every urgency of those that have not.
_BEGUN_FIRST = -1
# A queue of more calls than this is long.
_LONG_CALLS = 2
# How long a request that has not begun may wait in a long queue after it was due there.
_LATE_GRACE_S = 0.3
# A piece that would move so much between zones is left to its own one if time allows.
# Each piece of a stage fetches all inputs, so a request with 16 pieces after 8 results
# of 60 kB moves 8 MB.
_LARGE_BYTES = 100_000
# The part of its slack that a piece may lose by waiting for its zone; later stages of
# its request need the rest.
_HOME_PART = 0.5
# A result is small beside one that is so many times as large.
_SMALL_FACTOR = 20
# Targets that hold fewer results of a size than this spare no room beside them.
_FEW_RESULTS = 3
# Weight of the newest call in the mean number of pieces that a call carries under load.
_FILL_WEIGHT = 0.2


class PieceKey(NamedTuple):
    """What tells a piece from all others.

    Attributes:
        request: Id of the request.
        stage: Number of the stage.
        number: Number of the piece within the stage.
        round: Counts how often the sender had to begin the stage anew.
    """

    request: str
    stage: int
    number: int
    round: int = 0


class QueuedPiece(NamedTuple):
    """A piece that waits.

    Attributes:
        key: Which one.
        urgency: 0 first.
        has_begun: Whether earlier stages of its request have run.
        objective_at: When its result should be there.
        expires_at: When its result is of no use any more.
        result_bytes: Room that the result takes.
        input_key: What to work on, for stages without predecessors.
        inputs: Handles of the results to work on, else.
        input_bytes: Approximate size of all inputs together.
        tries: Calls that failed with it.
        zone: Where most of its inputs are or its result is needed.
        zone_bytes: How much of these is there.
        work: Fingerprint of its request.
    """

    key: PieceKey
    urgency: int
    has_started: bool
    objective_at: float
    expires_at: float
    result_bytes: int
    input_key: str
    inputs: tuple[str, ...]
    input_bytes: int = 0
    failed_calls: int = 0
    zone: str = ""
    zone_bytes: float = 0.0
    work: str = ""


class OtherTarget(NamedTuple):
    """A further target that works on the same queue.

    Attributes:
        zone: Its zone.
        free_in: Seconds until its call has ended.
        room_bytes: Room for results that it has left.
    """

    zone: str
    free_in: float
    room_bytes: float


def rank(piece: QueuedPiece, moment: float, expected: float, is_open: bool) -> tuple:
    """Order of pieces; the least one is next.

    Answers a burst in which pieces come in faster than they are done for some seconds.
    First the rest of a stage that has results already: they hold room until the last
    piece is there. Then requests whose earlier stages have run, the oldest first:
    their results hold room as well, and expire after some seconds, so one that is
    overtaken by every newcomer of a more urgent kind ends as work for nothing. Among
    requests that begin, urgent kinds come first, and among equals those that can still
    be on time, or one late request would make the next one late in turn.
    """
    is_late = piece.objective_at < moment + expected
    if piece.has_started:
        due = piece.objective_at + piece.urgency * _URGENCY_S
        return (not is_open, is_late, _BEGUN_FIRST, due, piece.key)
    return (not is_open, is_late, piece.urgency, piece.objective_at, piece.key)


def isolate_suspects(
    batch: Sequence[QueuedPiece], is_suspect: Callable[[str], bool]
) -> tuple[list[QueuedPiece], list[QueuedPiece]]:
    """Keep requests under which targets have ended out of the calls of others.

    Args:
        batch: Pieces of one call.
        is_suspect: Tells requests under which a target has ended.

    Returns:
        The pieces of the call, either those of no suspect or those of one, and the
        pieces that wait for another call.
    """
    works = {piece.work for piece in batch}
    suspects = {work for work in works if is_suspect(work)}
    if len(works) < 2 or not suspects:
        return list(batch), []
    chosen = works - suspects or {batch[0].work}
    call = [piece for piece in batch if piece.work in chosen]
    rest = [piece for piece in batch if piece.work not in chosen]
    return call, rest


def is_large(piece: QueuedPiece) -> bool:
    """Tell whether a piece should be done in its zone."""
    return piece.zone_bytes >= _LARGE_BYTES


def _has_time_at_home(
    piece: QueuedPiece, home_waits: dict[str, float], moment: float, call: float
) -> bool:
    """Tell whether a piece can wait for its zone.

    Args:
        piece: The piece.
        home_waits: Seconds until a piece is done in each zone.
        moment: Now, on the hub's clock.
        call: Seconds of a full call.
    """
    if not is_large(piece) or piece.zone not in home_waits:
        return False
    slack = piece.objective_at - moment - call
    extra = home_waits[piece.zone] - call
    return extra <= min(_HOME_PART * slack, call)


class StageQueue:
    """The pieces that wait for one stage service at one owner.

    A call costs as much as many pieces, and a target makes one call at a time, so
    pieces of all requests share calls: while one runs the next one fills up.

    Args:
        batching: How the service's targets work.
        policy: How pieces are chosen.
    """

    def __init__(self, batching: Batching, policy: Policy = FULL_POLICY) -> None:
        self._policy = policy
        self.batching = batching
        self.piece_by_key: dict[PieceKey, QueuedPiece] = {}
        self.open_sets: set[tuple[str, int]] = set()
        self.fill = float(batching.size)

    def __len__(self) -> int:
        return len(self.piece_by_key)

    def add(self, piece: QueuedPiece) -> None:
        """Add a piece."""
        self.piece_by_key[piece.key] = piece

    def cancel(self, request: str) -> None:
        """Drop the pieces of a request that has ended."""
        for key in [k for k in self.piece_by_key if k.request == request]:
            del self.piece_by_key[key]

    def pop_expired(self, moment: float, pace: float = 1.0) -> list[QueuedPiece]:
        """Take out pieces that wait for nothing.

        These are the ones that can't be done in time, and in a queue of more than two
        calls those of requests that are late before they have begun: newcomers that can
        be on time go ahead of them, so that they would wait until their callers give
        up. Refused now, the callers still have time to come back.
        """
        least = self.batching.seconds(1) * pace
        is_long = (
            self._policy.has(Mechanism.LATE_LEAVE)
            and len(self.piece_by_key) > _LONG_CALLS * self.batching.size
        )
        expired = [
            piece
            for piece in self.piece_by_key.values()
            if piece.expires_at < moment + least
            or (is_long and self._is_hopeless(piece, moment))
        ]
        for piece in expired:
            del self.piece_by_key[piece.key]
        return expired

    def _is_hopeless(self, piece: QueuedPiece, moment: float) -> bool:
        if piece.has_started or piece.key[:2] in self.open_sets:
            return False
        return moment > piece.objective_at + _LATE_GRACE_S

    def pop_batch(
        self,
        moment: float,
        room_bytes: float,
        pace: float = 1.0,
        *,
        may_wait: bool = False,
        zone: str = "",
        others: Sequence[OtherTarget] = (),
    ) -> list[QueuedPiece]:
        """Take the pieces of the next call.

        A stage is begun only if all its pieces fit into the room that all targets
        have left. Were single pieces taken as they fit, several requests would each
        hold a part of their results and wait for room that only the others could give
        up; calls then carry one piece each and nobody is done. A stage without room is
        passed over, and smaller ones behind it go ahead.

        A piece with large inputs or a large result is left to a target in its zone, if
        it costs no more than half of the piece's slack and a call; so is the rest of a
        stage of which a part was taken, since the next stage needs its results
        together.

        Args:
            moment: Now, on the hub's clock.
            room_bytes: Room for results that the target has left.
            pace: Actual time of calls against the declared one.
            may_wait: Whether to take nothing rather than a small part of what a call
                could carry. A call costs as much as several pieces, and the room that
                the rest lacks is given up in a moment.
            zone: Zone of the target.
            others: The other targets that work on this queue.
        """
        expected = self.batching.seconds(1) * pace
        pieces = sorted(
            self.piece_by_key.values(),
            key=lambda p: rank(p, moment, expected, p.key[:2] in self.open_sets),
        )
        self._close_sets()
        bytes_by_set = self._bytes_by_set()
        promised = sum(bytes_by_set[name] for name in self.open_sets)
        unpromised = room_bytes + sum(o.room_bytes for o in others) - promised
        home_waits = self._home_waits(others)
        call = self.batching.seconds(self.batching.size) * pace
        has_homes = self._policy.has(Mechanism.HOME_ZONES)
        begins_whole = self._policy.has(Mechanism.WHOLE_STAGES)
        small_bytes = self._small_bytes()
        batch: list[QueuedPiece] = []
        begun = set(self.open_sets)
        for piece in pieces:
            name = piece.key[:2]
            spared = small_bytes if self._is_bulky(piece, small_bytes) else 0
            if piece.result_bytes + spared > room_bytes:
                continue
            if (
                has_homes
                and piece.zone != zone
                and _has_time_at_home(piece, home_waits, moment, call)
            ):
                continue
            if begins_whole and name not in begun:
                if bytes_by_set[name] > unpromised:
                    continue
                unpromised -= bytes_by_set[name]
                begun.add(name)
            room_bytes -= piece.result_bytes
            batch.append(piece)
            if len(batch) == self.batching.size:
                break
        if (
            may_wait
            and self._policy.has(Mechanism.FULL_CALLS)
            and len(batch) < self.batching.size * _WORTH_CALLING
            and len(batch) < len(pieces) * _WORTH_CALLING
        ):
            return []
        for piece in batch:
            del self.piece_by_key[piece.key]
            self.open_sets.add(piece.key[:2])
        if zone:
            self._keep_together({piece.key[:2] for piece in batch}, zone)
        if len(self.piece_by_key) >= self.batching.size and batch:
            self.fill += _FILL_WEIGHT * (len(batch) - self.fill)
        elif batch:
            self.fill += _FILL_WEIGHT * (self.batching.size - self.fill)
        return batch

    def _keep_together(self, names: set[tuple[str, int]], zone: str) -> None:
        for key, piece in self.piece_by_key.items():
            if key[:2] in names and not is_large(piece):
                moved = piece._replace(zone=zone, zone_bytes=_LARGE_BYTES)
                self.piece_by_key[key] = moved

    def _home_waits(self, others: Sequence[OtherTarget]) -> dict[str, float]:
        """Seconds until a large piece is done at a target of its own zone."""
        large = [p.zone for p in self.piece_by_key.values() if is_large(p)]
        waits = {}
        for zone in {other.zone for other in others if other.room_bytes > 0}:
            free = [other.free_in for other in others if other.zone == zone]
            calls = math.ceil(large.count(zone) / (self.batching.size * len(free)))
            waits[zone] = min(free) + calls * self.batching.seconds(self.batching.size)
        return waits

    def _small_bytes(self) -> int:
        """Room for the small results that could share a call with large ones.

        The last large result that fits would else fill a target to the brim. Chains
        whose first result takes a thousandth of that room would wait for a whole call
        although their pieces cost a call little, and the call goes part-empty.
        """
        sizes = sorted(piece.result_bytes for piece in self.piece_by_key.values())
        if not sizes or not self._policy.has(Mechanism.SMALL_RESULTS):
            return 0
        small = [size for size in sizes if size * _SMALL_FACTOR <= sizes[-1]]
        return sum(small[: self.batching.size])

    def _is_bulky(self, piece: QueuedPiece, small_bytes: int) -> bool:
        """Tell whether a piece has to leave room for small results.

        One of a size that a target holds once or twice never has to: it might wait for
        ever behind small ones.
        """
        fits_often = piece.result_bytes * _FEW_RESULTS <= self.batching.memory_bytes
        return fits_often and piece.result_bytes > small_bytes

    def _bytes_by_set(self) -> dict[tuple[str, int], int]:
        sizes: dict[tuple[str, int], int] = {}
        for piece in self.piece_by_key.values():
            name = piece.key[:2]
            sizes[name] = sizes.get(name, 0) + piece.result_bytes
        return sizes

    def _close_sets(self) -> None:
        waiting = {key[:2] for key in self.piece_by_key}
        self.open_sets &= waiting

    def drains(self, targets: int, until_free: float, pace: float) -> list[float]:
        """Seconds until what waits now is done, for each place and those before it.

        Args:
            targets: Number of targets that work on this queue.
            until_free: Seconds until the first of them is free.
            pace: Actual time of calls against the declared one.
        """
        counts = [0] * PLACES
        for piece in self.piece_by_key.values():
            counts[place(piece.urgency, has_started=piece.has_started)] += 1
        rate = self.rate(targets, pace)
        return [until_free + ahead / rate for ahead in accumulate(counts)]

    def rate(self, targets: int, pace: float) -> float:
        """Pieces a second that so many targets do."""
        fill = max(1.0, self.fill)
        return targets * fill / (self.batching.seconds(fill) * pace)

    def call_seconds(self, pace: float) -> float:
        """Expected time of the next call."""
        waiting = len(self.piece_by_key) + 1
        return self.batching.seconds(min(waiting, max(1.0, self.fill))) * pace
