"""Load of all other instances together at each target."""

from collections import Counter
from collections.abc import Iterable, Mapping
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

    They are kept from one use to the next, since each candidate of each request needs
    them, and a report adds only what differs from the one that it replaces.

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
            add_counts(self.running, instance.running)
            add_counts(self.prefill_tokens, instance.prefill_tokens)

    def replace(
        self,
        running: tuple[Mapping[str, int], Mapping[str, int]],
        prefill_tokens: tuple[Mapping[str, int], Mapping[str, int]],
    ) -> None:
        """Replace the report of an instance.

        Args:
            running: Running requests of the earlier report and of the new one.
            prefill_tokens: Prompt tokens of the earlier report and of the new one.
        """
        for sums, (earlier, latest) in (
            (self.running, running),
            (self.prefill_tokens, prefill_tokens),
        ):
            if earlier != latest:
                subtract_counts(sums, earlier)
                add_counts(sums, latest)


def add_counts(sums: dict, counts: Mapping) -> None:
    """Add counts to sums."""
    get = sums.get
    for key, count in counts.items():
        sums[key] = get(key, 0) + count


def subtract_counts(sums: dict, counts: Mapping) -> None:
    """Subtract counts that were added to sums, and drop sums that are 0."""
    for key, count in counts.items():
        rest = sums[key] - count
        if rest:
            sums[key] = rest
        else:
            del sums[key]
