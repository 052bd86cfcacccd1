"""What all other instances have at each target together."""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol


class Told(Protocol):
    """What one instance told of the targets that it uses."""

    running: dict[str, int]
    prefill_tokens: dict[str, int]


class TargetTotals:
    """Sums over instances, by target id.

    Each candidate of each request asks for them, so they are summed once for all.

    Args:
        told: What each instance told.

    Attributes:
        running: Requests.
        reading: Prompt tokens still to be read.
    """

    def __init__(self, told: Iterable[Told] = ()) -> None:
        self.running: Counter[str] = Counter()
        self.prefill_tokens: Counter[str] = Counter()
        for instance in told:
            self.running.update(instance.running)
            self.prefill_tokens.update(instance.prefill_tokens)
