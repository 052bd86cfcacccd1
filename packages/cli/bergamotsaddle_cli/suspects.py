"""Finds requests and parts of prompts that crash targets, from daemons' logs."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from bergamotsaddle_cli.log_command import LogsCommand


class SuspectPart(msgspec.Struct):
    """A part of prompts under which targets crashed.

    Attributes:
        part: Id of the part.
        instances_by_target: Instances that saw each target crash under the part, by
            the target's id.
        state: ``suspected``, ``held back`` (quarantined) or ``cleared``.
        refused: Number of attempts that were refused because of it.
    """

    part: str
    instances_by_target: dict[str, list[str]] = {}
    state: str = "suspected"
    refused: int = 0


class Suspect(msgspec.Struct):
    """A request during which targets crashed.

    Attributes:
        work: Fingerprint of the request.
        route: Route of the request, empty if the logs hold no end of it.
        team: Team of the request, empty if unknown.
        targets: Targets that crashed during the request, in order of time.
        state: ``suspected``, ``held back`` (quarantined) or ``outlived``: other
            targets went on with it.
        refused: Number of attempts that were refused because it was quarantined.
    """

    work: str
    route: str = ""
    team: str = ""
    targets: list[str] = []
    state: str = "suspected"
    refused: int = 0


def find_suspects(lines: Iterable[dict[str, Any]]) -> list[Suspect]:
    """Find the requests during which targets crashed.

    Args:
        lines: Decoded lines of daemons' logs, in any order.

    Returns:
        The requests, ordered by the numbers of refused attempts and of crashed targets,
        highest first.
    """
    by_fingerprint: dict[str, Suspect] = {}
    lines_by_time = sorted(lines, key=lambda line: str(line.get("timestamp", "")))
    for line in lines_by_time:
        if line.get("event") == "target_ended":
            fingerprint = str(line.get("work"))
            _record_crash(
                by_fingerprint.setdefault(fingerprint, Suspect(fingerprint)), line
            )
    for line in lines_by_time:
        suspect = by_fingerprint.get(str(line.get("work")))
        if suspect is not None:
            _update_suspect(suspect, line)
    return sorted(
        by_fingerprint.values(), key=lambda s: (-s.refused, -len(s.targets), s.work)
    )


def find_suspect_parts(lines: Iterable[dict[str, Any]]) -> list[SuspectPart]:
    """Find the parts of prompts under which targets crashed.

    Args:
        lines: Decoded lines of daemons' logs, in any order.

    Returns:
        The parts, ordered by the numbers of refused attempts and of crashed targets,
        highest first.
    """
    by_part: dict[str, SuspectPart] = {}
    for line in sorted(lines, key=lambda line: str(line.get("timestamp", ""))):
        if line.get("event") == "prompt_ended":
            for name in line.get("parts", ()):
                part = by_part.setdefault(name, SuspectPart(name))
                _record_part_crash(part, line)
        part = by_part.get(str(line.get("part")))
        if part is not None:
            _update_part(part, line)
    return sorted(
        by_part.values(),
        key=lambda p: (-p.refused, -len(p.instances_by_target), p.part),
    )


def _record_part_crash(part: SuspectPart, line: dict[str, Any]) -> None:
    seen_by = part.instances_by_target.setdefault(str(line.get("target")), [])
    instance = str(line.get("instance"))
    if instance not in seen_by:
        seen_by.append(instance)


def _update_part(part: SuspectPart, line: dict[str, Any]) -> None:
    if line.get("event") == "part_cleared":
        part.state = "cleared"
    elif line.get("event") == "part_held_back":
        part.state = "held back"
        part.refused += 1


def _record_crash(suspect: Suspect, line: dict[str, Any]) -> None:
    target = str(line.get("target"))
    if target not in suspect.targets:
        suspect.targets.append(target)
    if line.get("is_held_back"):
        suspect.state = "held back"


def _update_suspect(suspect: Suspect, line: dict[str, Any]) -> None:
    if line.get("event") == "suspect_outlived" and suspect.state != "held back":
        suspect.state = "outlived"
    elif line.get("event") == "request":
        suspect.route = str(line.get("route", ""))
        suspect.team = str(line.get("team", ""))
        suspect.refused += line.get("outcome") == "held_back"


class SuspectsCommand(LogsCommand):
    """Lists requests and parts of prompts during which targets crashed."""

    name = "suspects"
    description = "List requests under which targets ended, from daemons' logs."

    def show(self, lines: Iterator[dict[str, Any]]) -> int:
        """List the requests, then the parts."""
        all_lines = list(lines)
        found = find_suspects(all_lines)
        parts = find_suspect_parts(all_lines)
        if self.option("json"):
            self.line(msgspec.json.encode([*found, *parts]).decode())
            return 0
        self.line("work              state      refused  ended  route  team")
        for suspect in found:
            self.line(
                f"{suspect.work:16}  {suspect.state:9}  {suspect.refused:7}"
                f"  {len(suspect.targets):5}  {suspect.route}  {suspect.team}"
            )
        if parts:
            self.line("part              state      refused  ended  seen by")
        for part in parts:
            seen_by = sorted(
                {i for ids in part.instances_by_target.values() for i in ids}
            )
            self.line(
                f"{part.part:16}  {part.state:9}  {part.refused:7}"
                f"  {len(part.instances_by_target):5}  {', '.join(seen_by)}"
            )
        return 0
