"""The command that sends one request as a caller does."""

import os

import urllib3
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bergamotsaddle_contracts.ini import parse_address
from bergamotsaddle_contracts.whole_responses import make_pool_manager

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
KEY_VARIABLE = "BERGAMOTSADDLE_KEY"
_TIMEOUT_S = 60.0


class SendCommand(Command):
    """Sends one request."""

    name = "send"
    description = f"Sends one request as a caller; the team's key is in {KEY_VARIABLE}."
    arguments = [
        argument("path", "Such as /v1/pipelines/feeding-plan."),
        argument("body", "JSON body.", optional=True, default="{}"),
    ]
    options = [
        option("to", None, "Callers' address (IP:port) of a daemon.", flag=False),
        option("ticket", None, "Ticket of an unrepeatable request.", flag=False),
        option("deadline", None, "Such as 2s.", flag=False),
    ]

    def handle(self) -> int:
        """Send the request and print the response.

        Returns:
            0 for a successful response, 1 for an error response, 2 for an invalid
            address, 3 if there is no response.
        """
        try:
            address = parse_address(self.option("to") or "")
        except ValueError as error:
            self.line_error(f"--to: {error}")
            return EXIT_INVALID
        key = os.environ.get(KEY_VARIABLE, "")
        headers = {"Authorization": f"Bearer {key}"}
        if self.option("ticket"):
            headers["X-Ticket"] = self.option("ticket")
        if self.option("deadline"):
            headers["X-Deadline"] = self.option("deadline")
        url = f"http://{address}{self.argument('path')}"
        body = self.argument("body").encode()
        http = make_pool_manager()
        try:
            response = http.request(
                "POST", url, body=body, headers=headers, timeout=_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as error:
            self.line_error(str(error))
            return EXIT_UNREACHABLE
        self.line(response.data.decode(errors="replace"))
        return 0 if response.status < 400 else EXIT_REFUSED
