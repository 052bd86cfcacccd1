"""Tells what targets have outlived, and takes it back if they crash soon after."""

from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.suspects import Suspects


class _Proof(NamedTuple):
    """A survival that was told, and until when a crash would disprove it.

    Attributes:
        until: On the hub's clock.
        key: Key of the survival.
        is_whole: Whether the run was whole. Otherwise it went on.
    """

    until: float
    key: str
    is_whole: bool


class SurvivalProofs:
    """Survivals that this instance has told and a crash may still disprove.

    Args:
        suspects: Gets them.
        max_age: Seconds after which the crash of a target is known.
    """

    def __init__(self, suspects: Suspects, *, max_age: float) -> None:
        self._suspects = suspects
        self._max_age = max_age
        # The keys are fingerprints and incarnations.
        self._proofs_by_run: dict[tuple[str, tuple[str, int]], list[_Proof]] = {}

    def tell(
        self, target: Target, fingerprint: str, *, until: float, is_whole: bool
    ) -> None:
        """Tell that a target has outlived a run, if that is of interest.

        Args:
            target: The target.
            fingerprint: Fingerprint of the request.
            until: Until when a crash would disprove it, on the hub's clock.
            is_whole: Whether the run was whole. Otherwise it goes on.
        """
        key = self._suspects.record_success(target, fingerprint)
        if key is not None:
            run = (fingerprint, target.incarnation)
            proof = _Proof(until, key, is_whole)
            self._proofs_by_run.setdefault(run, []).append(proof)

    def disprove(
        self, target: Target, fingerprint: str, *, crashed_at: float, is_whole: bool
    ) -> None:
        """Take back what was told too early of a target that has crashed.

        Whole runs before one that the crash interrupted were outlived.

        Args:
            target: The target.
            fingerprint: Fingerprint of the request.
            crashed_at: When the target crashed, on the hub's clock.
            is_whole: Whether the last run of the request there was whole.
        """
        run = (fingerprint, target.incarnation)
        for proof in self._proofs_by_run.pop(run, ()):
            if proof.is_whole == is_whole and crashed_at <= proof.until:
                self._suspects.disprove(proof.key)

    def drop_old(self) -> None:
        """Forget proofs that no crash can disprove any more."""
        since = now() - self._max_age
        for run, proofs in list(self._proofs_by_run.items()):
            if proofs[-1].until < since:
                del self._proofs_by_run[run]
