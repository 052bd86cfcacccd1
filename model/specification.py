"""The parts of a specification and its conversion for the model checker."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

Steps = Iterator[tuple[str, Any]]


class Specification(NamedTuple):
    """A specification and the deliberate mistakes that its invariants must catch.

    Attributes:
        name: Name in the table of verdicts.
        bounds: Description of the bounds of the search.
        initial: Initial state.
        steps: Yields pairs of a label and a next state, given a state and a mistake.
            The mistake is an empty string for the protocol as implemented.
        invariants: Conditions that must hold in every state, by name.
        mistakes: The invariant that each mistake must break.
    """

    name: str
    bounds: str
    initial: Any
    steps: Callable[[Any, str], Steps]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]
    mistakes: dict[str, str]

    def protocol(self, mistake: str = "") -> Protocol:
        """Return the protocol for the model checker, with a mistake if one is given."""
        return Protocol(
            name=self.name,
            candidate=False,
            fields=self.initial._fields,
            initial=self.initial,
            transitions=lambda state: list(self.steps(state, mistake)),
            invariants=self.invariants,
        )


def put(values: tuple, index: int, value: object) -> tuple:
    """Return a copy of a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])


def tell(state: Any, sender: int) -> Steps:
    """Tell the other one of two instances one fact that it does not know."""
    receiver = 1 - sender
    for fact in sorted(state.facts[sender] - state.facts[receiver]):
        known = state.facts[receiver] | {fact}
        facts = put(state.facts, receiver, known)
        yield f"tell {receiver} {fact}", state._replace(facts=facts)
