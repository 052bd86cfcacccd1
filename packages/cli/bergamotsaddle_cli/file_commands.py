"""Commands that work on files alone: check, diff and digest."""

import sys
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bergamotsaddle_contracts.declaration import Declaration, digest_key
from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.diff import diff_declarations
from bergamotsaddle_contracts.errors import Fault, InvalidFileError

EXIT_DIFFERENT = 1
EXIT_INVALID = 2
_JSON = option("json", None, "Print JSON for programs.", flag=True)


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


class CheckCommand(Command):
    """Validates a declaration."""

    name = "check"
    description = "Checks a declaration and reports every fault at once."
    arguments = [argument("file", "The declaration.")]
    options = [_JSON]

    def handle(self) -> int:
        """Validate the file; return 0 if it is valid, else 2."""
        path = Path(self.argument("file"))
        try:
            declaration = read_declaration(path)
        except InvalidFileError as error:
            return self._print_faults(error.faults)
        counts = {
            part: len(getattr(declaration, part))
            for part in ("zones", "teams", "targets", "pipelines")
        }
        if self.option("json"):
            summary = {"valid": True, "revision": declaration.revision, **counts}
            self.line(msgspec.json.encode(summary).decode())
            return 0
        summary_text = ", ".join(f"{count} {part}" for part, count in counts.items())
        self.line(f"{path}: valid, revision {declaration.revision}, {summary_text}")
        return 0

    def _print_faults(self, faults: list[Fault]) -> int:
        if self.option("json"):
            rows = [fault._asdict() for fault in faults]
            result = {"valid": False, "faults": rows}
            self.line(msgspec.json.encode(result).decode())
            return EXIT_INVALID
        for fault in faults:
            self.line_error(str(fault))
        return EXIT_INVALID


class DiffCommand(Command):
    """Shows the differences between two declarations."""

    name = "diff"
    description = "Tells what changes from one declaration to another, and for whom."
    arguments = [argument("old", "The one in force."), argument("new", "The other.")]
    options = [_JSON]

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
            self.line_error(
                f"revision {new.revision} is not above {old.revision}:"
                " this would never come into force"
            )
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
