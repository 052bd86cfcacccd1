"""Registries of exchangeable behaviour, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Named variants of one behaviour.

    Args:
        subject: What the variants are, for messages.
    """

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.by_name: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Make a decorator that adds a variant under a name."""

        def add(entry: Entry) -> Entry:
            self.by_name[name] = entry
            return entry

        return add

    def parse(self, text: str) -> str:
        """Check a name from a settings file.

        Raises:
            ValueError: If no variant has this name.
        """
        if text not in self.by_name:
            names = ", ".join(sorted(self.by_name))
            raise ValueError(f"expected a {self.subject}: {names}")
        return text


LIMIT_POLICIES: Registry[type] = Registry("limit policy")
ROUTING_POLICIES: Registry[type] = Registry("routing policy")
ADMISSION_POLICIES: Registry[type] = Registry("admission policy")
