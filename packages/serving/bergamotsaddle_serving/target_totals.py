"""Load of all other instances together at each target."""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol


class TargetUsage(Protocol):
    """What one instance reports about the targets that it uses.

    Attributes:
        running: Running requests by target id.
        prefill_tokens: Prompt tokens that wait for prefill by target id.
    """

    running: dict[str, int]
    prefill_tokens: dict[str, int]


class TargetTotals:
    """Sums over instances by target id.

    They are computed once, since each candidate of each request needs them.

    Args:
        reports: The reports of all instances.

    Attributes:
        running: Running requests.
        prefill_tokens: Prompt tokens that wait for prefill.
    """

    def __init__(self, reports: Iterable[TargetUsage] = ()) -> None:
        self.running: Counter[str] = Counter()
        self.prefill_tokens: Counter[str] = Counter()
        for instance in reports:
            self.running.update(instance.running)
            self.prefill_tokens.update(instance.prefill_tokens)
