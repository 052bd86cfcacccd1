"""Reads INI files and reports all faults of a file at once."""

import configparser
import ipaddress
import re
from collections.abc import Callable, Collection
from typing import NamedTuple, TypeVar

from bergamotsaddle_contracts.errors import Fault, InvalidFileError

Value = TypeVar("Value")

_UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
# Longer ones overflow the timers of sockets.
_MAX_DURATION_S = 1e9
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65535
# Larger ones fit into no message.
_COUNT = re.compile(r"[0-9]{1,15}")


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_duration(text: str) -> float:
    """Parse a duration such as ``250ms``, ``4s``, ``2m`` or ``1h`` into seconds.

    Raises:
        ValueError: If the text lacks a number or a unit, or is too long to wait for.
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError("expected a duration such as 250ms, 4s, 2m or 1h")
    seconds = float(match.group(1)) * _UNIT_SECONDS[match.group(2)]
    if seconds > _MAX_DURATION_S:
        raise ValueError(f"expected a duration up to {_MAX_DURATION_S:.0f}s")
    return seconds


def parse_address(text: str) -> Address:
    """Parse an address such as ``127.0.0.1:8080``; host names are not resolved.

    Raises:
        ValueError: If the host isn't an IP address or the port is out of range.
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator:
        raise ValueError("expected an IP number and a port such as 10.0.0.7:8080")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("expected an IP number, names are not looked up") from None
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError(f"expected a port from 0 to {_MAX_PORT}")
    return Address(host, int(port))


def parse_yes_no(text: str) -> bool:
    """Parse ``yes`` or ``no`` into a boolean.

    Raises:
        ValueError: If the text is neither.
    """
    choices = {"yes": True, "no": False}
    if text.strip() not in choices:
        raise ValueError("expected yes or no")
    return choices[text.strip()]


def parse_words(text: str) -> tuple[str, ...]:
    """Split a comma-separated list and drop empty entries."""
    return tuple(word.strip() for word in text.split(",") if word.strip())


def parse_count(text: str) -> int:
    """Parse a whole number of at least 1.

    Raises:
        ValueError: If the text isn't a whole number of at least 1.
    """
    if not _COUNT.fullmatch(text.strip()) or int(text) < 1:
        raise ValueError("expected a whole number of at least 1")
    return int(text)


def parse_counts(text: str) -> tuple[int, ...]:
    """Parse a comma-separated list of whole numbers of at least 1."""
    return tuple(parse_count(word) for word in parse_words(text))


def one_of(choices: Collection[str]) -> Callable[[str], str]:
    """Return a parser that accepts only the given choices."""

    def parse(text: str) -> str:
        if text.strip() not in choices:
            raise ValueError(f"expected one of {', '.join(sorted(choices))}")
        return text.strip()

    return parse


class IniFile:
    """A parsed INI text that collects its faults while values are read.

    Args:
        text: The complete text.
        name: Name of the file for error messages.
    """

    def __init__(self, text: str, *, name: str) -> None:
        self.name = name
        self.faults: list[Fault] = []
        parser = self._parse(text)
        # Getting single values from the parser takes longer than parsing the text.
        self._sections = {name: dict(parser.items(name)) for name in parser.sections()}
        self._read_keys: dict[str, set[str]] = {}

    @property
    def sections(self) -> list[str]:
        """Names of the sections, in the order of the file."""
        return list(self._sections)

    def add_fault(self, section: str, key: str, value: str, reason: str) -> None:
        """Record a fault."""
        self.faults.append(Fault(self.name, section, key, value, reason))

    def get(
        self,
        section: str,
        key: str,
        parse: Callable[[str], Value],
        default: Value | None = None,
    ) -> Value | None:
        """Read a value; record a fault if it is missing or malformed.

        Args:
            section: Section of the key.
            key: The key.
            parse: Turns the text into a value or raises ValueError with the reason.
            default: Value of an absent key; None makes the key mandatory.

        Returns:
            The value, or the default if the value is absent or malformed.
        """
        self._read_keys.setdefault(section, set()).add(key)
        text = self._sections.get(section, {}).get(key)
        if text is None:
            if default is None:
                self.add_fault(section, key, "", "missing")
            return default
        try:
            return parse(text)
        except ValueError as error:
            self.add_fault(section, key, text, str(error))
            return default

    def raise_for_faults(self) -> None:
        """Record a fault for each key that was not read, then raise if there are any.

        Raises:
            InvalidFileError: If the file has faults; it holds all of them.
        """
        for section, keys in self._read_keys.items():
            for key, value in self._sections.get(section, {}).items():
                if key not in keys:
                    self.add_fault(section, key, value, "unknown key")
        if self.faults:
            raise InvalidFileError(self.faults)

    def _parse(self, text: str) -> configparser.ConfigParser:
        """Parse the text; record faults for lines that aren't INI and skip them."""
        strict = configparser.ConfigParser(interpolation=None)
        try:
            strict.read_string(text)
            return strict
        except configparser.MissingSectionHeaderError as error:
            self.add_fault(
                "", f"line {error.lineno}", error.line, "no section before it"
            )
            return self._parse(_blank_lines(text, [error.lineno]))
        except configparser.ParsingError as error:
            for line, content in error.errors:
                self.add_fault("", f"line {line}", content, "not an INI line")
            return self._parse(_blank_lines(text, [line for line, _ in error.errors]))
        except configparser.DuplicateSectionError as error:
            self.add_fault(error.section, "", "", f"line {error.lineno}: section twice")
        except configparser.DuplicateOptionError as error:
            reason = f"line {error.lineno}: key twice"
            self.add_fault(error.section, error.option, "", reason)
        lenient = configparser.ConfigParser(interpolation=None, strict=False)
        lenient.read_string(text)
        return lenient


def _blank_lines(text: str, numbers: list[int]) -> str:
    lines = text.splitlines()
    for number in numbers:
        lines[number - 1] = ""
    return "\n".join(lines)
