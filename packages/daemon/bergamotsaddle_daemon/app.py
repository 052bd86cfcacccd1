"""The command ``bergamotsaddled``."""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput

from bergamotsaddle_contracts.errors import InvalidFileError
from bergamotsaddle_daemon.server import Server
from bergamotsaddle_daemon.settings import parse_settings

_EXIT_INVALID = 2


class RunCommand(Command):
    """Runs the daemon in the foreground."""

    name = "run"
    description = "Runs the daemon of an entry instance in the foreground."
    arguments = [argument("settings", "INI file with the daemon's settings.")]
    options = [option("check", None, "Only check the settings.", flag=True)]

    def handle(self) -> int:
        """Run until told to stop.

        Returns:
            0 after a graceful stop, 2 if the settings are invalid.
        """
        path = Path(self.argument("settings"))
        try:
            settings = parse_settings(path.read_text(), name=str(path))
        except OSError as error:
            self.line_error(f"{path}: {error.strerror}")
            return _EXIT_INVALID
        except InvalidFileError as error:
            for fault in error.faults:
                self.line_error(str(fault))
            return _EXIT_INVALID
        if self.option("check"):
            self.line(f"{path}: valid")
            return 0
        Server(settings).run()
        return 0


def main() -> None:
    """Run the command."""
    application = Application("bergamotsaddled", "0.1.0")
    application.add(RunCommand())
    arguments = sys.argv[1:]
    if arguments and not arguments[0].startswith("-"):
        arguments = ["run", *arguments]
    application.run(ArgvInput(["bergamotsaddled", *arguments]))


if __name__ == "__main__":
    main()
