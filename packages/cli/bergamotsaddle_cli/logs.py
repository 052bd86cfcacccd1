"""Collects the log lines about a request from the logs of any number of daemons."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

STDIN = "-"
# Fields that identify a line: its writer, its time and its subject. All other fields
# are its details.
_COMMON_FIELDS = frozenset(
    ("instance", "timestamp", "event", "level", "request", "requests")
)


class LogLine(NamedTuple):
    """One line of a daemon's log.

    Attributes:
        at: Time of writing, by the clock of the daemon's instance.
        instance: Id of the instance that wrote it.
        event: Name of the event.
        details: Inputs and outcome of the event.
    """

    at: str
    instance: str
    event: str
    details: dict[str, Any]


def read_request_lines(request: str, names: Iterable[str]) -> list[LogLine]:
    """Read all lines about a request, in order of time.

    Args:
        request: Id of the request.
        names: Paths of logs; ``-`` for standard input.

    Raises:
        OSError: If a file can't be read.
    """
    lines = [line for name in names for line in _read_log_of_request(request, name)]
    return sorted(lines, key=lambda line: line.at)


def read_lines(names: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield all decoded lines of logs.

    Args:
        names: Paths of logs; ``-`` for standard input.

    Raises:
        OSError: If a file can't be read.
    """
    for name in names:
        yield from _decode_log(name, "")


def _read_log_of_request(request: str, name: str) -> Iterator[LogLine]:
    for fields in _decode_log(name, request):
        if _is_about(request, fields):
            yield _make_line(fields)


def _decode_log(name: str, substring: str) -> Iterator[dict[str, Any]]:
    """Yield the decoded lines of a log that contain a substring."""
    if name == STDIN:
        yield from _decode_lines(substring, sys.stdin)
        return
    with Path(name).open(errors="replace") as file:
        yield from _decode_lines(substring, file)


def _decode_lines(substring: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        # Log collectors may put a time and a name before each line.
        start = line.find("{")
        if start < 0 or substring not in line:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            # Not written by a daemon's logger, such as a traceback with a request id.
            continue
        if isinstance(fields, dict):
            yield fields


def _is_about(request: str, fields: dict[str, Any]) -> bool:
    return fields.get("request") == request or request in (fields.get("requests") or ())


def _make_line(fields: dict[str, Any]) -> LogLine:
    details = {key: value for key, value in fields.items() if key not in _COMMON_FIELDS}
    return LogLine(
        str(fields.get("timestamp", "")),
        str(fields.get("instance", "")),
        str(fields.get("event", "")),
        details,
    )
