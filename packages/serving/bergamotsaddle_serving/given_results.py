"""Tells results that were given for one piece from those given for another.

This module does no input or output.
"""

from collections import OrderedDict
from collections.abc import Sequence

from bergamotsaddle_serving.messages import Piece, PieceResult

# Results are kept for some seconds by their targets; an instance gets hundreds of them
# a second.
_MAX_RESULTS = 4_000


class GivenResults:
    """The pieces for which targets gave their last results.

    A handle names one result, so one that was given for another piece before belongs
    to a response that came twice.
    """

    def __init__(self) -> None:
        self._piece_by_handle: OrderedDict[str, tuple[str, int, int]] = OrderedDict()

    def add(self, pieces: Sequence[Piece], results: Sequence[PieceResult]) -> bool:
        """Add the results of a call.

        Args:
            pieces: Its pieces.
            results: A result for each of them.

        Returns:
            Whether none of them was given for another piece before. Otherwise none is
            added.
        """
        piece_by_handle = {
            result.handle: (piece.request, piece.stage, piece.number)
            for piece, result in zip(pieces, results, strict=True)
            if result.handle
        }
        known = self._piece_by_handle
        if any(known.get(h, piece) != piece for h, piece in piece_by_handle.items()):
            return False
        known.update(piece_by_handle)
        while len(known) > _MAX_RESULTS:
            known.popitem(last=False)
        return True
