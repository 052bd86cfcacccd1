"""Commands that work on files alone: check, diff and digest."""

import sys
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument

from bergamotsaddle_cli.file_check import (
    AGAINST,
    EXIT_DIFFERENT,
    EXIT_INVALID,
    JSON,
    CheckResult,
    FileCheckCommand,
    explain_outdated,
)
from bergamotsaddle_contracts.change_effects import DECLARATION_EFFECTS
from bergamotsaddle_contracts.declaration import Declaration, digest_key
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.declaration_rules import RULES
from bergamotsaddle_contracts.diff import diff_declarations
from bergamotsaddle_contracts.errors import Fault, InvalidFileError


def read_declaration(path: Path) -> Declaration:
    """Read and validate a declaration.

    Raises:
        InvalidFileError: If it can't be read or has faults.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(str(path), "", "", "", f"can't be read: {error}")
        raise InvalidFileError([fault]) from error
    return parse_declaration(text, name=str(path))


class CheckCommand(FileCheckCommand):
    """Checks a declaration before it is published."""

    description = "Checks a declaration and reports every fault at once."
    arguments = [argument("file", "The declaration.")]
    options = [JSON, AGAINST]

    def read(self, path: Path) -> Declaration:
        """Read a declaration."""
        return read_declaration(path)

    def summarise(self, subject: Declaration) -> tuple[dict[str, Any], str]:
        """Return the revision and the number of entries."""
        counts = {
            part: len(getattr(subject, part))
            for part in ("zones", "teams", "targets", "pipelines")
        }
        text = ", ".join(f"{count} {part}" for part, count in counts.items())
        summary = {"revision": subject.revision, **counts}
        return summary, f"valid, revision {subject.revision}, {text}"

    def find(self, subject: Declaration, in_force: Declaration | None) -> CheckResult:
        """Check a declaration, and compare it if one is in force."""
        findings = RULES.check(subject)
        changes = diff_declarations(in_force, subject) if in_force else []
        is_outdated = changes and subject.version <= in_force.version
        outdated = (
            explain_outdated(subject.revision, in_force.revision) if is_outdated else ""
        )
        return CheckResult(findings, DECLARATION_EFFECTS.explain(changes), outdated)


class DiffCommand(Command):
    """Shows the differences between two declarations."""

    name = "diff"
    description = "Tells what changes from one declaration to another, and for whom."
    arguments = [argument("old", "The one in force."), argument("new", "The other.")]
    options = [JSON]

    def handle(self) -> int:
        """Compare the files.

        Returns:
            0 if they are equal, 1 if they differ, 2 if one is invalid or the new
            revision isn't above the old one.
        """
        try:
            old = read_declaration(Path(self.argument("old")))
            new = read_declaration(Path(self.argument("new")))
        except InvalidFileError as error:
            for fault in error.faults:
                self.line_error(str(fault))
            return EXIT_INVALID
        changes = diff_declarations(old, new)
        if self.option("json"):
            rows = [change._asdict() for change in changes]
            self.line(msgspec.json.encode(rows).decode())
        elif changes:
            rows = [list(change) for change in changes]
            self.render_table(["part", "name", "change"], rows)
        if changes and new.version <= old.version:
            self.line_error(explain_outdated(new.revision, old.revision))
            return EXIT_INVALID
        return EXIT_DIFFERENT if changes else 0


class DigestCommand(Command):
    """Prints the digest of a team's key."""

    name = "digest"
    description = "Digests a team's key, read from standard input, for key_digests."

    def handle(self) -> int:
        """Print the digest of the first line of standard input."""
        key = sys.stdin.readline().rstrip("\n")
        if not key:
            self.line_error("expected the key on standard input")
            return EXIT_INVALID
        self.line(digest_key(key))
        return 0
