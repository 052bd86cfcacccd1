"""Registries of interchangeable implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Named implementations of one interface.

    Args:
        subject: What the implementations are, for error messages.

    Attributes:
        subject: What the implementations are, for error messages.
        by_name: The implementations by name.
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.by_name: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers an implementation under a name."""

        def add(entry: Entry) -> Entry:
            self.by_name[name] = entry
            return entry

        return add

    def parse(self, text: str) -> str:
        """Check the name of an implementation from a settings file.

        Raises:
            ValueError: If no implementation has this name.
        """
        if text not in self.by_name:
            names = ", ".join(sorted(self.by_name))
            raise ValueError(f"unknown {self.subject}; expected one of: {names}")
        return text


LIMIT_POLICIES: Registry[type] = Registry("limit policy")
ROUTING_POLICIES: Registry[type] = Registry("routing policy")
ADMISSION_POLICIES: Registry[type] = Registry("admission policy")
