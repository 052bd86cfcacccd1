"""Findings about a valid file, and the rules that make them.

This module does no input or output.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Generic, NamedTuple, TypeVar

Subject = TypeVar("Subject")


class Severity(StrEnum):
    """How much a finding matters."""

    WARNING = "warning"
    """Something that has no effect, or not the one that it seems to have."""
    ERROR = "error"
    """Something that makes requests fail."""


class Place(NamedTuple):
    """Where a rule doesn't hold.

    Attributes:
        section: Kind and name of the entry.
        key: Its key, or an empty string.
        reason: What doesn't hold.
    """

    section: str
    key: str
    reason: str


class Finding(NamedTuple):
    """A place at which a rule doesn't hold.

    Attributes:
        rule: Name of the rule.
        severity: How much it matters.
        section: Kind and name of the entry.
        key: Its key, or an empty string.
        reason: What doesn't hold.
    """

    rule: str
    severity: Severity
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        key = f" {self.key}" if self.key else ""
        return f"[{self.section}]{key}: {self.severity}: {self.reason}"


Rule = Callable[[Subject], Iterable[Place]]


class _RegisteredRule(NamedTuple, Generic[Subject]):
    """A rule and how much it matters."""

    name: str
    severity: Severity
    find: Rule


class RuleBook(Generic[Subject]):
    """The rules for one kind of file, in the order in which they are registered."""

    def __init__(self) -> None:
        self.rule_by_name: dict[str, _RegisteredRule[Subject]] = {}

    def register(self, severity: Severity) -> Callable[[Rule], Rule]:
        """Return a decorator that registers a rule under its name.

        Args:
            severity: How much the rule matters.
        """

        def add(find: Rule) -> Rule:
            name = find.__name__
            self.rule_by_name[name] = _RegisteredRule(name, severity, find)
            return find

        return add

    def check(self, subject: Subject) -> list[Finding]:
        """Return all places at which a rule doesn't hold."""
        return [
            Finding(rule.name, rule.severity, *place)
            for rule in self.rule_by_name.values()
            for place in rule.find(subject)
        ]


def is_serious(findings: Sequence[Finding]) -> bool:
    """Return whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
