"""Headers of requests that one instance hands over to another, and of the responses."""

import re
from collections.abc import Sequence
from typing import NamedTuple

from bergamotsaddle_contracts.errors import (
    ERROR_SPECS,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_serving.client import HOP_BY_HOP_HEADERS, INSTANCE_PREFIX
from bergamotsaddle_serving.messages import RawHeaders

_ELAPSED_MS = INSTANCE_PREFIX + b"elapsed-ms"
_VERSION = INSTANCE_PREFIX + b"version"
_RUNS = INSTANCE_PREFIX + b"runs"
_MAX_RUNS = INSTANCE_PREFIX + b"max-runs"
_LAST_EVENT = INSTANCE_PREFIX + b"last-event"
_SENDER = INSTANCE_PREFIX + b"sender"
_KIND = INSTANCE_PREFIX + b"kind"
_RAN = INSTANCE_PREFIX + b"ran"
_RETRY_AFTER = b"retry-after"
_EXPECT = b"expect"
_MS_PER_S = 1_000.0
_DIGITS = re.compile(rb"[0-9]{1,18}")
_SECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class RelayedRequest(NamedTuple):
    """What a handed-over request says besides the caller's own request.

    Attributes:
        sender: Id of the instance that hands it over.
        elapsed: Seconds since the caller sent it.
        version: Version of the configuration by which the sender accepted it.
        runs: How often it may have run at helpers that have died.
        last_event: Last event that the caller has from one of them, None if it has
            none.
        max_runs: How often it may run by the sender's configuration, None if the sender
            does not say.
    """

    sender: str
    elapsed: float
    version: int
    runs: int = 0
    last_event: int | None = None
    max_runs: int | None = None


def encode_request(
    headers: Sequence[tuple[bytes, bytes]], relayed: RelayedRequest, size: int
) -> RawHeaders:
    """Return the headers with which a request is handed over.

    Args:
        headers: Headers as received from the caller, names in lower case.
        relayed: What the receiver has to know besides.
        size: Size of the body in bytes.
    """
    dropped = HOP_BY_HOP_HEADERS | _named_by_connection(headers) | {_EXPECT}
    kept = [
        (name, value)
        for name, value in headers
        if name not in dropped and not name.startswith(INSTANCE_PREFIX)
    ]
    encoded = [
        *kept,
        (b"content-length", b"%d" % size),
        (_SENDER, relayed.sender.encode("latin-1")),
        (_ELAPSED_MS, b"%d" % (relayed.elapsed * _MS_PER_S)),
        (_VERSION, b"%d" % relayed.version),
    ]
    if relayed.runs:
        encoded.append((_RUNS, b"%d" % relayed.runs))
    if relayed.last_event is not None:
        encoded.append((_LAST_EVENT, b"%d" % relayed.last_event))
    if relayed.max_runs is not None:
        encoded.append((_MAX_RUNS, b"%d" % relayed.max_runs))
    return encoded


def decode_request(headers: Sequence[tuple[bytes, bytes]]) -> RelayedRequest:
    """Decode the headers of a handed-over request.

    Raises:
        RequestError: If one of them is missing or malformed.
    """
    by_name = dict(headers)
    try:
        return RelayedRequest(
            by_name[_SENDER].decode("latin-1"),
            _parse_number(by_name[_ELAPSED_MS]) / _MS_PER_S,
            _parse_number(by_name[_VERSION]),
            _parse_number(by_name.get(_RUNS, b"0")),
            _parse_optional_number(by_name.get(_LAST_EVENT)),
            _parse_optional_number(by_name.get(_MAX_RUNS)),
        )
    except (KeyError, ValueError) as error:
        detail = "expected the headers of a handed-over request"
        raise RequestError(ErrorKind.BAD_REQUEST, detail) from error


def encode_error(error: RequestError) -> RawHeaders:
    """Return the headers that tell an instance why its request failed here."""
    return [(_KIND, error.kind.encode()), (_RAN, error.ran.encode())]


def decode_error(headers: Sequence[tuple[bytes, bytes]]) -> RequestError | None:
    """Return the error of the instance that a request was handed over to.

    Returns:
        The error, None if the response is a target's.
    """
    by_name = dict(headers)
    if _KIND not in by_name:
        return None
    try:
        kind = ErrorKind(by_name[_KIND].decode("latin-1"))
        ran = Ran(by_name.get(_RAN, b"").decode("latin-1"))
        retry_after = _parse_seconds(by_name.get(_RETRY_AFTER))
    except ValueError:
        # A kind or an outcome that this version does not know promises nothing.
        return RequestError(ErrorKind.TARGET_FAILED, "unknown outcome", ran=Ran.UNKNOWN)
    if ran is not Ran.NO and ERROR_SPECS[kind].ran is Ran.NO:
        # The status of this kind would promise that nothing has run.
        kind = ErrorKind.TARGET_FAILED
    return RequestError(kind, "the helper failed", ran=ran, retry_after=retry_after)


def _parse_number(value: bytes) -> int:
    if not _DIGITS.fullmatch(value):
        raise ValueError("expected a number")
    return int(value)


def _parse_optional_number(value: bytes | None) -> int | None:
    return None if value is None else _parse_number(value)


def _parse_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not _SECONDS.fullmatch(value):
        raise ValueError("expected seconds")
    return float(value)


def _named_by_connection(headers: Sequence[tuple[bytes, bytes]]) -> frozenset[bytes]:
    listed = [value for name, value in headers if name == b"connection"]
    names = b",".join(listed).lower().split(b",")
    return frozenset(name.strip() for name in names)
