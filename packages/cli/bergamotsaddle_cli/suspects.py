"""The requests under which targets ended, from daemons' logs."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from bergamotsaddle_cli.log_command import LogsCommand


class Suspect(msgspec.Struct):
    """A request under which targets ended.

    Attributes:
        work: Its fingerprint.
        route: Its route, empty if no request's end was logged.
        team: Its team, empty if unknown.
        targets: Targets that ended under it, in order of time.
        state: ``suspected``, ``held back`` or ``cleared``.
        refused: Tries that were refused because it was held back.
    """

    work: str
    route: str = ""
    team: str = ""
    targets: list[str] = []
    state: str = "suspected"
    refused: int = 0


def find_suspects(lines: Iterable[dict[str, Any]]) -> list[Suspect]:
    """Find the requests under which targets ended.

    Args:
        lines: Decoded lines of daemons' logs, in any order.

    Returns:
        The requests, those that were refused most often first.
    """
    by_work: dict[str, Suspect] = {}
    ordered = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    for line in ordered:
        if line.get("event") == "target_ended":
            work = str(line.get("work"))
            _note_end(by_work.setdefault(work, Suspect(work)), line)
    for line in ordered:
        suspect = by_work.get(str(line.get("work")))
        if suspect is not None:
            _note_line(suspect, line)
    return sorted(by_work.values(), key=lambda s: (-s.refused, -len(s.targets), s.work))


def _note_end(suspect: Suspect, line: dict[str, Any]) -> None:
    target = str(line.get("target"))
    if target not in suspect.targets:
        suspect.targets.append(target)
    if line.get("is_held_back"):
        suspect.state = "held back"


def _note_line(suspect: Suspect, line: dict[str, Any]) -> None:
    if line.get("event") == "suspect_cleared":
        suspect.state = "cleared"
    elif line.get("event") == "request":
        suspect.route = str(line.get("route", ""))
        suspect.team = str(line.get("team", ""))
        suspect.refused += line.get("outcome") == "held_back"


class SuspectsCommand(LogsCommand):
    """Lists what is held back and why."""

    name = "suspects"
    description = "List requests under which targets ended, from daemons' logs."

    def show(self, lines: Iterator[dict[str, Any]]) -> int:
        """List the requests."""
        found = find_suspects(lines)
        if self.option("json"):
            self.line(msgspec.json.encode(found).decode())
            return 0
        self.line("work              state      refused  ended  route  team")
        for suspect in found:
            self.line(
                f"{suspect.work:16}  {suspect.state:9}  {suspect.refused:7}"
                f"  {len(suspect.targets):5}  {suspect.route}  {suspect.team}"
            )
        return 0
