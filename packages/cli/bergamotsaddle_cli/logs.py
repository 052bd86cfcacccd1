"""Joins the log lines of any number of daemons into the story of one request."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

STDIN = "-"
# Told apart from what explains a line: who wrote it, when, and what it is about.
_FRAME = frozenset(("instance", "timestamp", "event", "level", "request", "requests"))


class LogLine(NamedTuple):
    """One line of a daemon's log.

    Attributes:
        at: When it was written, by the clock of the daemon's instance.
        instance: Who wrote it.
        event: What happened.
        details: The inputs and the outcome.
    """

    at: str
    instance: str
    event: str
    details: dict[str, Any]


def read_request_lines(request: str, names: Iterable[str]) -> list[LogLine]:
    """Read all lines about a request, in order of time.

    Args:
        request: Its id.
        names: Paths of logs; ``-`` for standard input.

    Raises:
        OSError: If a file can't be read.
    """
    lines = [line for name in names for line in _lines(request, name)]
    return sorted(lines, key=lambda line: line.at)


def read_lines(names: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield all decoded lines of logs.

    Args:
        names: Paths of logs; ``-`` for standard input.

    Raises:
        OSError: If a file can't be read.
    """
    for name in names:
        yield from _decoded(name, "")


def _lines(request: str, name: str) -> Iterator[LogLine]:
    for fields in _decoded(name, request):
        if _is_about(request, fields):
            yield _line(fields)


def _decoded(name: str, word: str) -> Iterator[dict[str, Any]]:
    """Yield the lines of a log that hold a word, decoded."""
    if name == STDIN:
        yield from _matching(word, sys.stdin)
        return
    with Path(name).open(errors="replace") as file:
        yield from _matching(word, file)


def _matching(word: str, texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in texts:
        # Whoever collects the logs may have put a time and a name before each line.
        begin = text.find("{")
        if begin < 0 or word not in text:
            continue
        try:
            fields = msgspec.json.decode(text[begin:])
        except msgspec.DecodeError:
            # Not one of ours, such as a traceback that quotes an id.
            continue
        if isinstance(fields, dict):
            yield fields


def _is_about(request: str, fields: dict[str, Any]) -> bool:
    return fields.get("request") == request or request in (fields.get("requests") or ())


def _line(fields: dict[str, Any]) -> LogLine:
    details = {key: value for key, value in fields.items() if key not in _FRAME}
    return LogLine(
        str(fields.get("timestamp", "")),
        str(fields.get("instance", "")),
        str(fields.get("event", "")),
        details,
    )
