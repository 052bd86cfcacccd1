"""Queue of the stage pieces that wait for a target, and the choice of each call.

This module does no input or output.
"""

import math
from collections import Counter
from collections.abc import Callable, Sequence
from functools import cache
from itertools import accumulate
from typing import NamedTuple

from bergamotsaddle_serving.catalog import Batching
from bergamotsaddle_serving.peer_messages import ALL_ROUNDS
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_load import ORDERED_PLACES, URGENCIES, level, place

# A call that would carry less than this fraction of its capacity waits for memory.
_MIN_CALL_FRACTION = 0.6
# Among started requests, one step of urgency counts as much as being due this much
# earlier. That is enough to go ahead in a burst, but too little for a request to be
# overtaken forever.
_URGENCY_S = 0.5
# Sorts started requests before every urgency of requests that have not started.
_STARTED_FIRST = -1
# A queue that holds more than this many calls is long.
_LONG_QUEUE_CALLS = 2
# How long past its objective a request that has not started may wait in a long queue.
_LATE_GRACE_S = 0.3
# A piece that would move this many bytes between zones is left to its own zone if time
# allows. Each piece of a stage fetches all inputs, so a request with 16 pieces after 8
# results of 60 kB moves 8 MB.
_LARGE_BYTES = 100_000
# The fraction of its slack that a piece may spend on waiting for its zone. The later
# stages of its request need the remainder.
_MAX_ZONE_WAIT_FRACTION = 0.5
# A result is small next to one that is at least this many times as large.
_SMALL_FACTOR = 20
# Results of which a target holds fewer than this need not leave memory for small ones.
_MIN_RESULTS_PER_TARGET = 3
# Weight of the newest call in the mean number of pieces per call under load.
_CALL_SIZE_WEIGHT = 0.2


class PieceKey(NamedTuple):
    """Unique key of a piece.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        number: Number of the piece within the stage.
        round: Round in which it was submitted, see ``StageRun``.
    """

    request: str
    stage: int
    number: int
    round: int = 0


class QueuedPiece(NamedTuple):
    """A piece that waits in the queue.

    Attributes:
        key: Key of the piece.
        urgency: Rank of the request, 0 first.
        has_started: Whether earlier stages of the request have run.
        objective_at: When the result is due.
        expires_at: When the result becomes useless.
        result_bytes: Memory that the result takes.
        input_key: Input of a stage without predecessors.
        inputs: Handles of the input results of any other stage.
        input_bytes: Approximate size of all inputs together.
        failed_calls: Number of failed calls that carried the piece.
        zone: Zone that holds most of the inputs or needs the result.
        zone_bytes: Number of bytes that are in that zone.
        fingerprint: Fingerprint of the request.
        lag: Seconds by which it comes after pieces of teams that sent less.
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
    fingerprint: str = ""
    lag: float = 0.0


class OtherTarget(NamedTuple):
    """Another target that works on the same queue.

    Attributes:
        zone: Availability zone of the target.
        free_in: Seconds until its current call ends.
        free_bytes: Free memory for results.
    """

    zone: str
    free_in: float
    free_bytes: float


def rank(piece: QueuedPiece, now: float, expected: float, is_open: bool) -> tuple:
    """Return the sort key of a piece; the smallest key is next.

    The order serves bursts in which pieces arrive faster than they are done for some
    seconds. Pieces of a stage that already has results come first, because those
    results hold memory until the last piece is done. Next come requests whose earlier
    stages have run, the oldest first: their results hold memory too and expire after
    some seconds, so a request that every later, more urgent one overtakes would end as
    wasted work. Among requests that have not started, urgent ones come first, and
    within an urgency those that can still be on time; otherwise one late request
    would make the next one late in turn. Within an urgency, a team that sent more than
    its share comes after the others.

    Args:
        piece: The piece.
        now: Current time on the hub's clock.
        expected: Expected seconds of a call.
        is_open: Whether its stage already has results or running pieces.
    """
    is_late = piece.objective_at < now + expected
    if piece.has_started:
        due = piece.objective_at + piece.urgency * _URGENCY_S
        return (not is_open, is_late, _STARTED_FIRST, due, piece.key)
    due = piece.objective_at + piece.lag
    return (not is_open, is_late, piece.urgency, due, piece.key)


def is_large(piece: QueuedPiece) -> bool:
    """Return whether a piece should run in its own zone."""
    return piece.zone_bytes >= _LARGE_BYTES


def _can_wait_for_zone(
    piece: QueuedPiece, zone_waits: dict[str, float], now: float, call: float
) -> bool:
    """Return whether a piece has the time to wait for its own zone.

    Args:
        piece: The piece.
        zone_waits: Seconds until a large piece is done, by zone.
        now: Current time on the hub's clock.
        call: Seconds of a full call.
    """
    if not is_large(piece) or piece.zone not in zone_waits:
        return False
    slack = piece.objective_at - now - call
    extra = zone_waits[piece.zone] - call
    return extra <= min(_MAX_ZONE_WAIT_FRACTION * slack, call)


class _Isolation:
    """Keeps suspect requests apart from the other requests of a call.

    Args:
        is_suspect: Returns whether a target has crashed under a fingerprint.
    """

    def __init__(self, is_suspect: Callable[[str], bool]) -> None:
        self._is_suspect = cache(is_suspect)
        self._first: QueuedPiece | None = None

    def admits(self, piece: QueuedPiece) -> bool:
        """Return whether a piece may join the call."""
        first = self._first
        if first is None or piece.fingerprint == first.fingerprint:
            return True
        fingerprints = (first.fingerprint, piece.fingerprint)
        return not any(self._is_suspect(fingerprint) for fingerprint in fingerprints)

    def record(self, piece: QueuedPiece) -> None:
        """Record a piece of the call."""
        self._first = self._first or piece


class StageQueue:
    """The pieces that wait for one stage service at one owner.

    A call costs as much as many pieces, and a target makes one call at a time.
    Therefore pieces of all requests share calls: the next call fills up while the
    current one runs.

    Args:
        batching: How the targets of the service work.
        policy: Enabled mechanisms.

    Attributes:
        batching: How the targets of the service work.
        piece_by_key: The waiting pieces.
        started_stages: Request and stage of which some pieces were already taken.
        mean_call_size: Mean number of pieces per call under load.
    """

    def __init__(self, batching: Batching, policy: Policy = FULL_POLICY) -> None:
        self._policy = policy
        self.batching = batching
        self.piece_by_key: dict[PieceKey, QueuedPiece] = {}
        self.started_stages: set[tuple[str, int]] = set()
        self.mean_call_size = float(batching.size)

    def __len__(self) -> int:
        return len(self.piece_by_key)

    def add(self, piece: QueuedPiece) -> None:
        """Add a piece."""
        self.piece_by_key[piece.key] = piece

    def cancel(self, request: str, before_round: int = ALL_ROUNDS) -> None:
        """Remove the pieces of a request that are of an earlier round."""
        for key in [
            key
            for key in self.piece_by_key
            if key.request == request and key.round < before_round
        ]:
            del self.piece_by_key[key]

    def pop_expired(self, now: float, slowdown: float = 1.0) -> list[QueuedPiece]:
        """Remove and return the pieces that are not worth waiting for.

        These are the pieces that cannot be done before they expire. A queue of more
        than two calls also drops requests that are late and have not started:
        later ones that can be on time go ahead of them, so they would wait until their
        callers time out. Rejected now, the callers still have time to retry.

        Args:
            now: Current time on the hub's clock.
            slowdown: Actual time of calls relative to the declared one.
        """
        min_seconds = self.batching.seconds(1) * slowdown
        is_long = (
            self._policy.has(Mechanism.LATE_LEAVE)
            and len(self.piece_by_key) > _LONG_QUEUE_CALLS * self.batching.size
        )
        expired = [
            piece
            for piece in self.piece_by_key.values()
            if piece.expires_at < now + min_seconds
            or (is_long and self._is_too_late(piece, now))
        ]
        for piece in expired:
            del self.piece_by_key[piece.key]
        return expired

    def _is_too_late(self, piece: QueuedPiece, now: float) -> bool:
        if piece.has_started or piece.key[:2] in self.started_stages:
            return False
        return now > piece.objective_at + _LATE_GRACE_S

    def pop_batch(
        self,
        now: float,
        free_bytes: float,
        slowdown: float = 1.0,
        *,
        may_wait: bool = False,
        zone: str = "",
        others: Sequence[OtherTarget] = (),
        is_suspect: Callable[[str], bool] = lambda fingerprint: False,
    ) -> list[QueuedPiece]:
        """Remove and return the pieces of the next call.

        A stage is started only if all its pieces fit into the free memory of all
        targets together. If single pieces were taken as they fit, several requests
        could each hold some of their results and wait for memory that only the
        other requests could release; calls would carry one piece each and no request
        would finish. A stage that does not fit is skipped, and smaller ones behind it
        go ahead.

        A piece with large inputs or a large result is left to a target in its zone if
        that costs at most half of the piece's slack and at most one call. The same
        holds for the remaining pieces of a partly taken stage, since the next stage
        needs its results in one place.

        The pieces of a suspect request don't share a call with other requests. The
        first piece decides: either the call carries only its request, or it carries no
        suspect and is filled from the pieces behind them. So suspects neither wait
        forever nor take up room in the calls of others.

        Args:
            now: Current time on the hub's clock.
            free_bytes: Free memory for results at the target.
            slowdown: Actual time of calls relative to the declared one.
            may_wait: Whether to return nothing rather than a small fraction of what a
                call could carry. A call costs as much as several pieces, and the
                memory that the other pieces need is released soon.
            zone: Zone of the target.
            others: The other targets that work on this queue.
            is_suspect: Returns whether a target has crashed under a fingerprint.
        """
        if all(p.result_bytes > free_bytes for p in self.piece_by_key.values()):
            # Workers also look when there is nothing that they could take.
            self._drop_finished_stages()
            return []
        expected = self.batching.seconds(1) * slowdown
        pieces = sorted(
            self.piece_by_key.values(),
            key=lambda p: rank(p, now, expected, p.key[:2] in self.started_stages),
        )
        self._drop_finished_stages()
        bytes_by_stage = self._bytes_by_stage()
        reserved = sum(bytes_by_stage[stage] for stage in self.started_stages)
        unreserved = free_bytes + sum(o.free_bytes for o in others) - reserved
        zone_waits = self._zone_waits(others)
        call = self.batching.seconds(self.batching.size) * slowdown
        prefers_own_zone = self._policy.has(Mechanism.HOME_ZONES)
        needs_whole_stage = self._policy.has(Mechanism.WHOLE_STAGES)
        small_bytes = self._small_bytes()
        batch: list[QueuedPiece] = []
        started = set(self.started_stages)
        isolation = _Isolation(is_suspect)
        for piece in pieces:
            stage = piece.key[:2]
            if not isolation.admits(piece):
                continue
            kept_free = (
                small_bytes if self._must_leave_memory(piece, small_bytes) else 0
            )
            if piece.result_bytes + kept_free > free_bytes:
                continue
            if (
                prefers_own_zone
                and piece.zone != zone
                and _can_wait_for_zone(piece, zone_waits, now, call)
            ):
                continue
            if needs_whole_stage and stage not in started:
                if bytes_by_stage[stage] > unreserved:
                    continue
                unreserved -= bytes_by_stage[stage]
                started.add(stage)
            free_bytes -= piece.result_bytes
            batch.append(piece)
            isolation.record(piece)
            if len(batch) == self.batching.size:
                break
        if (
            may_wait
            and self._policy.has(Mechanism.FULL_CALLS)
            and len(batch) < self.batching.size * _MIN_CALL_FRACTION
            and len(batch) < len(pieces) * _MIN_CALL_FRACTION
        ):
            return []
        for piece in batch:
            del self.piece_by_key[piece.key]
            self.started_stages.add(piece.key[:2])
        if zone:
            self._keep_together({piece.key[:2] for piece in batch}, zone)
        if len(self.piece_by_key) >= self.batching.size and batch:
            self.mean_call_size += _CALL_SIZE_WEIGHT * (
                len(batch) - self.mean_call_size
            )
        elif batch:
            self.mean_call_size += _CALL_SIZE_WEIGHT * (
                self.batching.size - self.mean_call_size
            )
        return batch

    def _keep_together(self, stages: set[tuple[str, int]], zone: str) -> None:
        """Assign the remaining pieces of partly taken stages to a zone."""
        for key, piece in self.piece_by_key.items():
            if key[:2] in stages and not is_large(piece):
                moved = piece._replace(zone=zone, zone_bytes=_LARGE_BYTES)
                self.piece_by_key[key] = moved

    def _zone_waits(self, others: Sequence[OtherTarget]) -> dict[str, float]:
        """Return the seconds until a large piece is done, by zone of other targets."""
        large = [p.zone for p in self.piece_by_key.values() if is_large(p)]
        waits = {}
        for zone in {other.zone for other in others if other.free_bytes > 0}:
            free = [other.free_in for other in others if other.zone == zone]
            calls = math.ceil(large.count(zone) / (self.batching.size * len(free)))
            waits[zone] = min(free) + calls * self.batching.seconds(self.batching.size)
        return waits

    def _small_bytes(self) -> int:
        """Return the memory for small results that could share a call with large ones.

        Without it, the last large result that fits would fill the target completely.
        Requests whose first result takes a thousandth of that memory would wait for a
        whole call although their pieces add little to one, and the call would go
        partly empty.
        """
        sizes = sorted(piece.result_bytes for piece in self.piece_by_key.values())
        if not sizes or not self._policy.has(Mechanism.SMALL_RESULTS):
            return 0
        small = [size for size in sizes if size * _SMALL_FACTOR <= sizes[-1]]
        return sum(small[: self.batching.size])

    def _must_leave_memory(self, piece: QueuedPiece, small_bytes: int) -> bool:
        """Return whether a piece has to leave memory for small results.

        A result so large that a target holds only one or two of them never has to:
        its piece might wait behind small ones forever.
        """
        fits_often = (
            piece.result_bytes * _MIN_RESULTS_PER_TARGET <= self.batching.memory_bytes
        )
        return fits_often and piece.result_bytes > small_bytes

    def _bytes_by_stage(self) -> dict[tuple[str, int], int]:
        """Return the result bytes of all waiting pieces by stage."""
        sizes: dict[tuple[str, int], int] = {}
        for piece in self.piece_by_key.values():
            stage = piece.key[:2]
            sizes[stage] = sizes.get(stage, 0) + piece.result_bytes
        return sizes

    def _drop_finished_stages(self) -> None:
        """Forget started stages of which no piece waits any more."""
        waiting = {key[:2] for key in self.piece_by_key}
        self.started_stages &= waiting

    def drains(self, targets: int, until_free: float, slowdown: float) -> list[float]:
        """Return the seconds until the waiting pieces are done, by place.

        The entry of a place counts its pieces and those of all places before it. The
        places within the first one count more urgent requests that have started only.

        Args:
            targets: Number of targets that work on this queue.
            until_free: Seconds until the first of them is free.
            slowdown: Actual time of calls relative to the declared one.
        """
        kinds = Counter(
            [(p.urgency, p.has_started) for p in self.piece_by_key.values()]
        )
        counts = [0] * ORDERED_PLACES
        started = [0] * URGENCIES
        for (urgency, has_started), count in kinds.items():
            counts[place(urgency, has_started=has_started)] += count
            if has_started:
                started[level(urgency)] += count
        rate = self.rate(targets, slowdown)
        ahead = [*accumulate(counts), *accumulate(started[:-1])]
        return [until_free + pieces / rate for pieces in ahead]

    def rate(self, targets: int, slowdown: float) -> float:
        """Return the pieces per second that a number of targets can do."""
        mean_call_size = max(1.0, self.mean_call_size)
        return (
            targets
            * mean_call_size
            / (self.batching.seconds(mean_call_size) * slowdown)
        )

    def call_seconds(self, slowdown: float) -> float:
        """Return the expected seconds of the next call."""
        waiting = len(self.piece_by_key) + 1
        return (
            self.batching.seconds(min(waiting, max(1.0, self.mean_call_size)))
            * slowdown
        )
