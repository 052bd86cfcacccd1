"""What a specification consists of and how its states are stepped."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

Steps = Iterator[tuple[str, Any]]


class Specification(NamedTuple):
    """One specification with the mistakes that it must be able to find.

    Attributes:
        name: Name for the table.
        bounds: What is bounded, in words.
        initial: The first state.
        steps: Yields a label and the next state, given a state and a mistake, which
            is an empty string for the protocol as built.
        invariants: What must hold in every state.
        mistakes: Each mistake with the invariant that it must break.
    """

    name: str
    bounds: str
    initial: Any
    steps: Callable[[Any, str], Steps]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]
    mistakes: dict[str, str]

    def protocol(self, mistake: str = "") -> Protocol:
        """Make what the checker takes."""
        return Protocol(
            name=self.name,
            candidate=False,
            fields=self.initial._fields,
            initial=self.initial,
            transitions=lambda state: list(self.steps(state, mistake)),
            invariants=self.invariants,
        )


def put(values: tuple, index: int, value: object) -> tuple:
    """A copy of a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
