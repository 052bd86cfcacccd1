"""The command ``bergamotsaddled``."""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argv_input import ArgvInput

from bergamotsaddle_contracts.errors import InvalidFileError
from bergamotsaddle_daemon.server import Server
from bergamotsaddle_daemon.settings import Settings, parse_settings

_EXIT_INVALID = 2


class _SettingsCommand(Command):
    """A command that reads a settings file."""

    arguments = [argument("settings", "INI file with the daemon's settings.")]

    def handle(self) -> int:
        """Read the settings; return 2 if they are invalid."""
        path = Path(self.argument("settings"))
        try:
            settings = parse_settings(path.read_text(), name=str(path))
        except (OSError, UnicodeDecodeError) as error:
            self.line_error(f"{path}: {error}")
            return _EXIT_INVALID
        except InvalidFileError as error:
            for fault in error.faults:
                self.line_error(str(fault))
            return _EXIT_INVALID
        return self.handle_settings(settings)

    def handle_settings(self, settings: Settings) -> int:
        """Run the command with valid settings and return its exit code."""
        raise NotImplementedError


class RunCommand(_SettingsCommand):
    """Runs the daemon."""

    name = "run"
    description = "Runs the daemon of an entry instance in the foreground."

    def handle_settings(self, settings: Settings) -> int:
        """Run until a signal stops the daemon; return 0 after a graceful stop."""
        Server(settings).run()
        return 0


class CheckCommand(_SettingsCommand):
    """Checks the settings."""

    name = "check"
    description = "Checks the settings and reports every fault at once."

    def handle_settings(self, settings: Settings) -> int:
        """Report that the settings are valid."""
        self.line(f"{self.argument('settings')}: valid, {settings.daemon.id}")
        return 0


def main() -> None:
    """Run a command, by default ``run``, or ``check`` if given as ``--check``."""
    application = Application("bergamotsaddled", "0.1.0")
    application.add(RunCommand())
    application.add(CheckCommand())
    arguments = sys.argv[1:]
    if "--check" in arguments:
        arguments.remove("--check")
        arguments.insert(0, "check")
    elif arguments and not application.has(arguments[0]) and arguments[0][0] != "-":
        arguments.insert(0, "run")
    application.run(ArgvInput(["bergamotsaddled", *arguments]))


if __name__ == "__main__":
    main()
