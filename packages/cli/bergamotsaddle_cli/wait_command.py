"""The command that waits for a revision to take effect."""

import time

from cleo.helpers import argument, option

from bergamotsaddle_cli.daemon_commands import (
    EXIT_INVALID,
    EXIT_NOT_FOUND,
    DaemonCommand,
)
from bergamotsaddle_cli.pages import Pages
from bergamotsaddle_contracts.ini import parse_duration

_POLL_INTERVAL_S = 0.2


class WaitCommand(DaemonCommand):
    """Waits until a revision is in force at every queried daemon."""

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
        """Wait; return 0 once the revision is in force, 1 after the limit."""
        try:
            revision = int(self.argument("revision"))
            limit = parse_duration(self.option("limit"))
        except ValueError as error:
            self.line_error(str(error))
            return EXIT_INVALID
        started_at = time.monotonic()
        last_missing: list[str] = []
        while True:
            missing = self._list_missing(pages, revision)
            elapsed = time.monotonic() - started_at
            if not missing:
                self._print_done(revision, len(pages.addresses), elapsed)
                return 0
            if missing != last_missing and not self.option("json"):
                self.line(f"{elapsed:5.1f} s  not yet: {', '.join(missing)}")
            last_missing = missing
            if elapsed >= limit:
                self.line_error(f"revision {revision} is not in force everywhere")
                return EXIT_NOT_FOUND
            time.sleep(_POLL_INTERVAL_S)

    def _list_missing(self, pages: Pages, revision: int) -> list[str]:
        read_pages, failures = pages.read_all("status")
        behind = [
            f"{page.content['instance']} (has {page.content['revision']})"
            for page in read_pages
            if page.content["revision"] < revision
        ]
        return behind + failures

    def _print_done(self, revision: int, count: int, elapsed: float) -> None:
        if self.option("json"):
            self.print_json({"revision": revision, "seconds": round(elapsed, 2)})
            return
        self.line(f"revision {revision} is in force at {count} daemons")
