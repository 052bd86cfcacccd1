"""Commands that ask daemons: status, zones, targets, teams, costs, config, explain."""

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
# Of a request's story, so that it fits a terminal.
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
    """A command that asks one or more daemons."""

    options = [AT, JSON]

    def handle(self) -> int:
        """Ask; returns 0, 2 without a valid address, 3 if a daemon is silent."""
        addresses = list(self.option("at"))
        if not addresses:
            words = os.environ.get(ADDRESSES_VARIABLE, "").split(",")
            addresses = [word.strip() for word in words if word.strip()]
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
        """Do the command's own part."""
        raise NotImplementedError

    def print_json(self, content: Any) -> None:
        """Print JSON on one line."""
        self.line(msgspec.json.encode(content).decode())

    def print_failures(self, failures: list[str]) -> int:
        """Print who can't be reached; returns the exit status."""
        for failure in failures:
            self.line_error(failure)
        return EXIT_UNREACHABLE if failures else 0


class _RowsCommand(DaemonCommand):
    """Shows a page of rows, each daemon's after the other's."""

    page = ""

    def query(self, pages: Pages) -> int:
        """Read and show."""
        read, failures = pages.read_all(self.page)
        if self.option("json"):
            self.print_json({page.address: page.content for page in read})
        else:
            self._show(read)
        return self.print_failures(failures)

    def _show(self, read: list[Page]) -> None:
        for page in read:
            if len(read) > 1:
                self.line(page.address)
            if not page.content:
                self.line("none")
                continue
            headers = list(page.content[0])
            rows = [[str(row[key]) for key in headers] for row in page.content]
            self.render_table(headers, rows)


class ZonesCommand(_RowsCommand):
    """Shows availability zones."""

    name = "zones"
    description = "Shows each availability zone, its state and its work."
    page = "zones"


class TargetsCommand(_RowsCommand):
    """Shows targets."""

    name = "targets"
    description = "Shows each target as the daemon sees it: warm, cold, resting or out."
    page = "targets"


class TeamsCommand(_RowsCommand):
    """Shows teams."""

    name = "teams"
    description = "Shows each team with its share and priority."
    page = "teams"


class CostsCommand(_RowsCommand):
    """Shows costs."""

    name = "costs"
    description = "Shows calls, extra calls, tokens and seconds by team and stage."
    page = "costs"


class StatusCommand(DaemonCommand):
    """Shows daemons."""

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
        """Read and show."""
        read, failures = pages.read_all("status")
        if self.option("json"):
            self.print_json({page.address: page.content for page in read})
            return self.print_failures(failures)
        rows = [[str(page.content[key]) for key in self._HEADERS] for page in read]
        self.render_table(list(self._HEADERS), rows)
        for page in read:
            self._show_troubles(page.content)
        return self.print_failures(failures)

    def _show_troubles(self, status: dict[str, Any]) -> None:
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
        """Read and print."""
        read, failures = pages.read_all("config")
        if not read:
            return self.print_failures(failures)
        content = read[0].content
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
        """Read the logs if any are named, else ask the daemons."""
        if not self.option("log"):
            return super().handle()
        try:
            story = read_request_lines(self.argument("request"), self.option("log"))
        except OSError as error:
            self.line_error(str(error))
            return EXIT_INVALID
        if self.option("json"):
            self.print_json([line._asdict() for line in story])
        elif story:
            self._show_story(story)
        if story:
            return 0
        self.line_error("no line of these logs is about this request")
        return EXIT_NOT_FOUND

    def _show_story(self, story: list[LogLine]) -> None:
        width = max(len(line.instance) for line in story)
        for line in story:
            head = f"{line.at[11:23]}  {line.instance:{width}}  {line.event}"
            self.line(f"<options=bold>{head}</>")
            text = Formatter.escape(_show(line.details))
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
        self.line(describe_cause(story))

    def query(self, pages: Pages) -> int:
        """Find the daemons that know the request and show what they decided."""
        read, failures = pages.read_all(f"explain/{self.argument('request')}")
        known = [page for page in read if page.content]
        if self.option("json"):
            self.print_json({page.address: page.content for page in known})
        for page in [] if self.option("json") else known:
            self.line(page.address)
            began = page.content[0]["at"]
            rows = [
                [
                    f"{(row['at'] - began) * 1000:.1f} ms",
                    row["subject"],
                    row["choice"],
                    row["reason"],
                    str(row["candidates"]),
                ]
                for row in page.content
            ]
            headers = ["after", "decision", "choice", "reason", "candidates"]
            self.render_table(headers, rows)
        if known:
            return 0
        if failures:
            return self.print_failures(failures)
        self.line_error("no daemon asked remembers this request")
        return EXIT_NOT_FOUND


def _show(details: dict[str, Any]) -> str:
    """Show a line's details as words, a value each."""
    return " ".join(
        f"{key}={_count(value) if isinstance(value, list) else value}"
        for key, value in details.items()
        if value != ""
    )


def _count(values: list[Any]) -> str:
    """Show a list, each run of the same value once with its length."""
    runs = [(value, len(list(group))) for value, group in groupby(values)]
    shown = [f"{value} x{count}" if count > 1 else str(value) for value, count in runs]
    return f"[{', '.join(shown)}]"
