"""The command ``bergamotsaddle``."""

from cleo.application import Application

from bergamotsaddle_cli.daemon_commands import (
    ConfigCommand,
    CostsCommand,
    ExplainCommand,
    StatusCommand,
    TargetsCommand,
    TeamsCommand,
    ZonesCommand,
)
from bergamotsaddle_cli.file_commands import CheckCommand, DiffCommand, DigestCommand
from bergamotsaddle_cli.review_command import ReviewCommand
from bergamotsaddle_cli.send_command import SendCommand
from bergamotsaddle_cli.suspects import SuspectsCommand
from bergamotsaddle_cli.wait_command import WaitCommand

COMMANDS = (
    CheckCommand,
    ConfigCommand,
    CostsCommand,
    DiffCommand,
    DigestCommand,
    ExplainCommand,
    ReviewCommand,
    SendCommand,
    StatusCommand,
    SuspectsCommand,
    TargetsCommand,
    TeamsCommand,
    WaitCommand,
    ZonesCommand,
)


def make_application() -> Application:
    """Make the application with every command."""
    application = Application("bergamotsaddle", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command line."""
    make_application().run()


if __name__ == "__main__":
    main()
