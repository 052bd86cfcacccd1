"""The complete list of error kinds and the exceptions that carry them."""

from enum import StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether any part of a request reached a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every reason for which a request can fail."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    HEAD_TOO_LARGE = "head_too_large"
    TOO_SLOW = "too_slow"
    TICKET_REQUIRED = "ticket_required"
    TICKET_INVALID = "ticket_invalid"
    TICKET_REUSED = "ticket_reused"
    TICKET_EXPIRED = "ticket_expired"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE_INFEASIBLE = "deadline_infeasible"
    DEADLINE_PASSED = "deadline_passed"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    NOT_READY = "not_ready"
    HELD_BACK = "held_back"
    VERSION_GONE = "version_gone"
    ORIGIN_UNKNOWN = "origin_unknown"
    INTERNAL = "internal"


class ErrorSpec(NamedTuple):
    """The response that a caller gets for one error kind.

    Attributes:
        status: HTTP status.
        ran: Whether the request ran; ``RequestError`` may override it.
        retry_after: Seconds after which a retry makes sense, or None for never.
    """

    status: int
    ran: Ran
    retry_after: float | None


ERROR_SPECS: dict[ErrorKind, ErrorSpec] = {
    ErrorKind.BAD_REQUEST: ErrorSpec(400, Ran.NO, None),
    ErrorKind.UNAUTHENTICATED: ErrorSpec(401, Ran.NO, None),
    ErrorKind.NOT_FOUND: ErrorSpec(404, Ran.NO, None),
    ErrorKind.TOO_LARGE: ErrorSpec(413, Ran.NO, None),
    ErrorKind.HEAD_TOO_LARGE: ErrorSpec(431, Ran.NO, None),
    ErrorKind.TOO_SLOW: ErrorSpec(408, Ran.NO, None),
    ErrorKind.TICKET_REQUIRED: ErrorSpec(428, Ran.NO, None),
    ErrorKind.TICKET_INVALID: ErrorSpec(400, Ran.NO, None),
    ErrorKind.TICKET_REUSED: ErrorSpec(422, Ran.UNKNOWN, None),
    ErrorKind.TICKET_EXPIRED: ErrorSpec(410, Ran.NO, 0.0),
    ErrorKind.NOT_RUN: ErrorSpec(503, Ran.NO, 0.5),
    ErrorKind.OUTCOME_UNKNOWN: ErrorSpec(502, Ran.UNKNOWN, 5.0),
    ErrorKind.OVERLOADED: ErrorSpec(429, Ran.NO, 1.0),
    ErrorKind.DEADLINE_INFEASIBLE: ErrorSpec(503, Ran.NO, 1.0),
    ErrorKind.DEADLINE_PASSED: ErrorSpec(504, Ran.YES, 1.0),
    ErrorKind.NO_TARGET: ErrorSpec(503, Ran.NO, 1.0),
    ErrorKind.TARGET_FAILED: ErrorSpec(502, Ran.YES, 1.0),
    ErrorKind.NOT_READY: ErrorSpec(503, Ran.NO, 0.1),
    ErrorKind.HELD_BACK: ErrorSpec(503, Ran.NO, None),
    ErrorKind.VERSION_GONE: ErrorSpec(503, Ran.NO, 1.0),
    ErrorKind.ORIGIN_UNKNOWN: ErrorSpec(503, Ran.NO, 0.5),
    ErrorKind.INTERNAL: ErrorSpec(500, Ran.UNKNOWN, 1.0),
}


class BergamotsaddleError(Exception):
    """Base class of every error that this system raises."""


class RequestError(BergamotsaddleError):
    """A request that failed.

    Args:
        kind: The error kind, which decides the HTTP status.
        detail: One sentence for the caller.
        ran: Overrides the value that ``ERROR_SPECS`` has for the kind.
        retry_after: Overrides the seconds that ``ERROR_SPECS`` has for the kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        ran: Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        spec = ERROR_SPECS[kind]
        self.kind = kind
        self.detail = detail
        self.status = spec.status
        self.ran = spec.ran if ran is None else ran
        self.retry_after = spec.retry_after if retry_after is None else retry_after


class TargetError(BergamotsaddleError):
    """A call to a target that returned no usable response.

    Args:
        detail: What went wrong.
        sent: Whether a byte of the call may have reached the target.
        timed_out: Whether the call timed out, rather than failing with an error.
    """

    def __init__(self, detail: str, *, sent: bool, timed_out: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.timed_out = timed_out


class PlaceLostError(BergamotsaddleError):
    """A slot at a target that became invalid before the call was sent."""


class PeerUnreachableError(BergamotsaddleError):
    """A call to another instance that got no response."""


class PlatformUnreachableError(BergamotsaddleError):
    """A read from the platform that got no usable response."""


class Fault(NamedTuple):
    """One fault in an operator's file.

    Attributes:
        file: Name of the file as the operator gave it.
        section: Section of the file, or an empty string.
        key: Key of the section, or an empty string.
        value: The value in the file.
        reason: Why the value is invalid and what is expected.
    """

    file: str
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        location = f"{self.file}: [{self.section}]"
        if self.key:
            location += f" {self.key} = {self.value}"
        return f"{location}: {self.reason}"


class InvalidFileError(BergamotsaddleError):
    """A declaration or settings file with at least one fault.

    Args:
        faults: Every fault found, in the order of the file.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults
