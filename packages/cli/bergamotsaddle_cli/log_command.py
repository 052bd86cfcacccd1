"""Base class of the commands that read daemons' logs."""

from collections.abc import Iterator
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from bergamotsaddle_cli.daemon_commands import EXIT_INVALID, JSON
from bergamotsaddle_cli.logs import read_lines

LOG = option(
    "log",
    None,
    "Log of a daemon; may be given more than once; - for standard input.",
    flag=False,
    multiple=True,
)


class LogsCommand(Command):
    """A command that reads the logs of any number of daemons."""

    options: ClassVar = [LOG, JSON]

    def handle(self) -> int:
        """Read the logs and show the result; return 2 if a log can't be read."""
        names = self.option("log")
        if not names:
            self.line_error("give --log PATH of each daemon, or --log -")
            return EXIT_INVALID
        try:
            return self.show(read_lines(names))
        except OSError as error:
            self.line_error(f"--log: {error}")
            return EXIT_INVALID

    def show(self, lines: Iterator[dict[str, Any]]) -> int:
        """Show the result for the lines.

        Args:
            lines: Decoded lines of all logs.

        Returns:
            The exit status.
        """
        raise NotImplementedError
