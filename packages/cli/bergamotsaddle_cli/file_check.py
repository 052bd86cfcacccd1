"""Checks a file before it is sent, and prints what was found."""

from abc import abstractmethod
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from bergamotsaddle_contracts.change_effects import EffectiveChange
from bergamotsaddle_contracts.errors import Fault, InvalidFileError
from bergamotsaddle_contracts.findings import Finding, is_serious

EXIT_CLEAN = 0
EXIT_DIFFERENT = 1
EXIT_INVALID = 2


JSON = option("json", None, "Print JSON for programs.", flag=True)
AGAINST = option("against", None, "The file in force.", flag=False)


class CheckResult(NamedTuple):
    """What the check of a valid file has found.

    Attributes:
        findings: Rules that don't hold.
        changes: Differences from the file in force.
        outdated: Why the file would never come into force, or an empty string.
    """

    findings: Sequence[Finding]
    changes: Sequence[EffectiveChange] = ()
    outdated: str = ""

    @property
    def status(self) -> int:
        """Exit status of the command."""
        if self.outdated or is_serious(self.findings):
            return EXIT_INVALID
        return EXIT_DIFFERENT if self.findings or self.changes else EXIT_CLEAN


class FileCheckCommand(Command):
    """Checks a file and compares it with the one in force."""

    name = "check"

    @abstractmethod
    def read(self, path: Path) -> Any:
        """Read a file.

        Raises:
            InvalidFileError: If it can't be read or has faults; it holds all of them.
        """

    @abstractmethod
    def summarise(self, subject: Any) -> tuple[dict[str, Any], str]:
        """Return what a file holds, for programs and for people."""

    @abstractmethod
    def find(self, subject: Any, in_force: Any | None) -> CheckResult:
        """Check a file.

        Args:
            subject: What was read of the file.
            in_force: What was read of the one in force, None to compare with none.
        """

    def handle(self) -> int:
        """Check the file.

        Returns:
            0 if it is clean, 1 if it differs from the one in force or something in it
            has no effect, 2 if it has faults or would never come into force.
        """
        path = Path(self.argument("file"))
        against = self.option("against")
        try:
            subject = self.read(path)
            in_force = self.read(Path(against)) if against else None
        except InvalidFileError as error:
            return self._print_faults(error.faults)
        result = self.find(subject, in_force)
        summary, text = self.summarise(subject)
        if self.option("json"):
            self._print_json(summary, result)
        else:
            self._print_text(str(path), text, result)
        return result.status

    def _print_faults(self, faults: Sequence[Fault]) -> int:
        if self.option("json"):
            rows = [fault._asdict() for fault in faults]
            payload = {"valid": False, "faults": rows}
            self.line(msgspec.json.encode(payload).decode())
            return EXIT_INVALID
        for fault in faults:
            self.line_error(str(fault))
        return EXIT_INVALID

    def _print_json(self, summary: dict[str, Any], result: CheckResult) -> None:
        # A valid file is one that can be read; findings say what it lacks.
        payload = {
            "valid": True,
            **summary,
            "findings": [finding._asdict() for finding in result.findings],
            "changes": [change._asdict() for change in result.changes],
            "outdated": result.outdated,
        }
        self.line(msgspec.json.encode(payload).decode())

    def _print_text(self, file: str, text: str, result: CheckResult) -> None:
        self.line(f"{file}: {text}")
        for finding in result.findings:
            self.line_error(f"{file}: {finding}")
        if result.changes:
            headers = ["part", "name", "change", "requests under way"]
            self.render_table(headers, [list(change) for change in result.changes])
        if result.outdated:
            self.line_error(result.outdated)


def explain_outdated(new: int, old: int) -> str:
    """Return why a version would never come into force behind another one."""
    return f"revision {new} is not above {old}: this would never come into force"
