"""The command that waits until a revision is in force."""

import time

from cleo.helpers import argument, option

from bergamotsaddle_cli.daemon_commands import (
    EXIT_INVALID,
    EXIT_NOT_FOUND,
    DaemonCommand,
)
from bergamotsaddle_cli.pages import Pages
from bergamotsaddle_contracts.ini import parse_duration

_STEP = 0.2


class WaitCommand(DaemonCommand):
    """Waits until a revision is in force at every daemon asked."""

    name = "wait"
    description = (
        "Waits until a revision, or a later one, is in force everywhere asked."
    )
    arguments = [argument("revision", "The revision.")]
    options = [
        *DaemonCommand.options,
        option("limit", None, "Longest wait.", flag=False, default="30s"),
    ]

    def query(self, pages: Pages) -> int:
        """Wait; returns 0 once in force, 1 after the limit."""
        try:
            revision = int(self.argument("revision"))
            limit = parse_duration(self.option("limit"))
        except ValueError as error:
            self.line_error(str(error))
            return EXIT_INVALID
        began = time.monotonic()
        shown: list[str] = []
        while True:
            missing = self._missing(pages, revision)
            passed = time.monotonic() - began
            if not missing:
                self._say_done(revision, len(pages.addresses), passed)
                return 0
            if missing != shown and not self.option("json"):
                self.line(f"{passed:5.1f} s  not yet: {', '.join(missing)}")
            shown = missing
            if passed >= limit:
                self.line_error(f"revision {revision} is not in force everywhere")
                return EXIT_NOT_FOUND
            time.sleep(_STEP)

    def _missing(self, pages: Pages, revision: int) -> list[str]:
        read, failures = pages.read_all("status")
        behind = [
            f"{page.content['instance']} (has {page.content['revision']})"
            for page in read
            if page.content["revision"] < revision
        ]
        return behind + failures

    def _say_done(self, revision: int, count: int, passed: float) -> None:
        if self.option("json"):
            self.print_json({"revision": revision, "seconds": round(passed, 2)})
            return
        self.line(f"revision {revision} is in force at {count} daemons")
