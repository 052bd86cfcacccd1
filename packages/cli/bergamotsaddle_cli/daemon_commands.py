"""Commands that query daemons, such as status, targets, config and explain."""

import os
import sys
import textwrap
from itertools import groupby
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option

from bergamotsaddle_cli.cause import describe_cause
from bergamotsaddle_cli.logs import LogLine, read_request_lines
from bergamotsaddle_cli.pages import Page, Pages

EXIT_NOT_FOUND = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
ADDRESSES_VARIABLE = "BERGAMOTSADDLE_AT"
# Width of the lines that describe a request, so that they fit a terminal.
_LINE_WIDTH = 100
_DETAILS_INDENT = 14
AT = option(
    "at",
    None,
    "Operators' address (IP:port) of a daemon; may be given more than once."
    f" Default: {ADDRESSES_VARIABLE}, comma-separated.",
    flag=False,
    multiple=True,
)
JSON = option("json", None, "Print JSON for programs.", flag=True)


class DaemonCommand(Command):
    """A command that queries one or more daemons."""

    options = [AT, JSON]

    def handle(self) -> int:
        """Query the daemons.

        Returns:
            The exit status: 2 without valid addresses, else that of ``query``.
        """
        addresses = list(self.option("at"))
        if not addresses:
            items = os.environ.get(ADDRESSES_VARIABLE, "").split(",")
            addresses = [item.strip() for item in items if item.strip()]
        if not addresses:
            self.line_error(f"give --at IP:port or set {ADDRESSES_VARIABLE}")
            return EXIT_INVALID
        try:
            pages = Pages(addresses)
        except ValueError as error:
            self.line_error(f"--at: {error}")
            return EXIT_INVALID
        return self.query(pages)

    def query(self, pages: Pages) -> int:
        """Run the command on the daemons' pages and return the exit status."""
        raise NotImplementedError

    def print_json(self, content: Any) -> None:
        """Print a value as JSON on one line."""
        self.line(msgspec.json.encode(content).decode())

    def print_failures(self, failures: list[str]) -> int:
        """Print the daemons that can't be reached and return the exit status."""
        for failure in failures:
            self.line_error(failure)
        return EXIT_UNREACHABLE if failures else 0


class _TableCommand(DaemonCommand):
    """Shows a page of rows as one table for each daemon."""

    page = ""

    def query(self, pages: Pages) -> int:
        """Read the pages and show them."""
        read_pages, failures = pages.read_all(self.page)
        if self.option("json"):
            self.print_json({page.address: page.content for page in read_pages})
        else:
            self._print_tables(read_pages)
        return self.print_failures(failures)

    def _print_tables(self, read_pages: list[Page]) -> None:
        for page in read_pages:
            if len(read_pages) > 1:
                self.line(page.address)
            if not page.content:
                self.line("none")
                continue
            headers = list(page.content[0])
            rows = [[str(row[key]) for key in headers] for row in page.content]
            self.render_table(headers, rows)


class ZonesCommand(_TableCommand):
    """Shows the availability zones."""

    name = "zones"
    description = "Shows each availability zone, its state and its work."
    page = "zones"


class TargetsCommand(_TableCommand):
    """Shows the targets."""

    name = "targets"
    description = "Shows each target as the daemon sees it: warm, cold, resting or out."
    page = "targets"


class TeamsCommand(_TableCommand):
    """Shows the teams."""

    name = "teams"
    description = "Shows each team with its share and priority."
    page = "teams"


class CostsCommand(_TableCommand):
    """Shows the costs by team and stage."""

    name = "costs"
    description = "Shows calls, extra calls, tokens and seconds by team and stage."
    page = "costs"


class StatusCommand(DaemonCommand):
    """Shows the status of each daemon."""

    name = "status"
    description = (
        "Shows what each daemon has in force, whom it hears and what is wrong."
    )

    _HEADERS = (
        "instance",
        "zone",
        "ready",
        "revision",
        "in_force_for",
        "confirmed_age",
        "list_version",
        "requests",
        "waiting",
    )

    def query(self, pages: Pages) -> int:
        """Read the pages and show them."""
        read_pages, failures = pages.read_all("status")
        if self.option("json"):
            self.print_json({page.address: page.content for page in read_pages})
            return self.print_failures(failures)
        rows = [
            [str(page.content[key]) for key in self._HEADERS] for page in read_pages
        ]
        self.render_table(list(self._HEADERS), rows)
        for page in read_pages:
            self._print_problems(page.content)
        return self.print_failures(failures)

    def _print_problems(self, status: dict[str, Any]) -> None:
        name = status["instance"]
        for fault in status["refused"]:
            self.line(f"{name}: refused declaration: {fault}")
        if status["race"]:
            self.line(
                f"{name}: {status['race']}; revision {status['revision']} has won"
            )
        if status["service_revision"] < status["revision"]:
            self.line(
                f"{name}: the configuration service shows revision"
                f" {status['service_revision']}, {status['revision']} stays in force"
            )
        for key in ("service_error", "list_error"):
            if status[key]:
                self.line(f"{name}: {key.replace('_', ' ')}: {status[key]}")
        silent = [peer["id"] for peer in status["peers"] if not peer["alive"]]
        if silent:
            self.line(f"{name}: does not hear {', '.join(silent)}")
        if status["stale"]:
            self.line(f"{name}: its views are stale")


class ConfigCommand(DaemonCommand):
    """Prints the declaration in force."""

    name = "config"
    description = "Prints the declaration in force at the first daemon that answers."

    def query(self, pages: Pages) -> int:
        """Read the declaration and print it."""
        read_pages, failures = pages.read_all("config")
        if not read_pages:
            return self.print_failures(failures)
        content = read_pages[0].content
        if self.option("json"):
            self.print_json(content)
        else:
            sys.stdout.write(content["text"])
        return 0


class ExplainCommand(DaemonCommand):
    """Shows the decisions made for a request."""

    name = "explain"
    description = "Shows every decision made for a request, by its X-Request-Id."
    arguments = [argument("request", "Id of the request.")]
    options = [
        *DaemonCommand.options,
        option(
            "log",
            None,
            "Log of a daemon to read instead of asking; - for standard input.",
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self) -> int:
        """Read the logs if any are given, else query the daemons."""
        if not self.option("log"):
            return super().handle()
        try:
            lines = read_request_lines(self.argument("request"), self.option("log"))
        except OSError as error:
            self.line_error(str(error))
            return EXIT_INVALID
        if self.option("json"):
            self.print_json([line._asdict() for line in lines])
        elif lines:
            self._print_request_lines(lines)
        if lines:
            return 0
        self.line_error("no line of these logs is about this request")
        return EXIT_NOT_FOUND

    def _print_request_lines(self, lines: list[LogLine]) -> None:
        width = max(len(line.instance) for line in lines)
        for line in lines:
            head = f"{line.at[11:23]}  {line.instance:{width}}  {line.event}"
            self.line(f"<options=bold>{head}</>")
            text = Formatter.escape(_format_details(line.details))
            indent = " " * _DETAILS_INDENT
            self.line(
                textwrap.fill(
                    text,
                    _LINE_WIDTH,
                    break_on_hyphens=False,
                    initial_indent=indent,
                    subsequent_indent=indent,
                )
            )
        self.line("")
        self.line(describe_cause(lines))

    def query(self, pages: Pages) -> int:
        """Show the decisions of each daemon that remembers the request."""
        read_pages, failures = pages.read_all(f"explain/{self.argument('request')}")
        matching = [page for page in read_pages if page.content]
        if self.option("json"):
            self.print_json({page.address: page.content for page in matching})
        for page in [] if self.option("json") else matching:
            self.line(page.address)
            started_at = page.content[0]["at"]
            rows = [
                [
                    f"{(row['at'] - started_at) * 1000:.1f} ms",
                    row["subject"],
                    row["choice"],
                    row["reason"],
                    str(row["candidates"]),
                ]
                for row in page.content
            ]
            headers = ["after", "decision", "choice", "reason", "candidates"]
            self.render_table(headers, rows)
        if matching:
            return 0
        if failures:
            return self.print_failures(failures)
        self.line_error("no daemon asked remembers this request")
        return EXIT_NOT_FOUND


def _format_details(details: dict[str, Any]) -> str:
    """Format the details of a line as ``key=value`` words."""
    return " ".join(
        f"{key}={_format_runs(value) if isinstance(value, list) else value}"
        for key, value in details.items()
        if value != ""
    )


def _format_runs(values: list[Any]) -> str:
    """Format a list; a run of equal values is shown once, with its length."""
    runs = [(value, len(list(group))) for value, group in groupby(values)]
    shown = [f"{value} x{count}" if count > 1 else str(value) for value, count in runs]
    return f"[{', '.join(shown)}]"
