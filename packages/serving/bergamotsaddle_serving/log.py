"""Structured log lines on standard output, bounded and never blocking."""

import os
from typing import Any

import msgspec
import structlog
from eventlet import patcher

from bergamotsaddle_daemon.clock import now

# Green os functions would wait on the hub for a reader that may never come.
_os = patcher.original("os")

# Lines a second that a daemon writes at most, in total; a day of ordinary load takes a
# tenth of it, and a core spends 2 % on it (20 us a line).
LINES_PER_S = 1000.0
# The last part of each second's lines is kept for those that explain a refusal or a
# failure, which is what somebody will look for afterwards.
_RESERVED_FOR_FAILURES = 300.0
_DROP_REPORT_S = 5.0


class BoundedOutput:
    """Writes whole lines to a descriptor, or drops and counts them.

    A reader that stops reading would block a process that writes to its pipe, and every
    caller with it. Here a line that doesn't fit at once is dropped.

    Args:
        descriptor: Where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unsent = b""
        self._remaining_lines = LINES_PER_S
        self._filled_at = now()
        self._reported_at = now()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes, *, is_failure: bool) -> None:
        """Write a line without its end, or drop it."""
        if not self._try_spend_line(is_failure) or not self._write_all(line + b"\n"):
            self.dropped += 1
            return
        if self.dropped and now() - self._reported_at > _DROP_REPORT_S:
            self._report()

    def _try_spend_line(self, is_failure: bool) -> bool:
        at = now()
        refill = (at - self._filled_at) * LINES_PER_S
        self._remaining_lines = min(LINES_PER_S, self._remaining_lines + refill)
        self._filled_at = at
        if self._remaining_lines < (1.0 if is_failure else _RESERVED_FOR_FAILURES):
            return False
        self._remaining_lines -= 1.0
        return True

    def _write_all(self, data: bytes) -> bool:
        # What is left of a line that was written in part goes out first, since the
        # lines after it could not be read otherwise.
        if self._unsent:
            self._unsent = self._unsent[self._write(self._unsent) :]
            if self._unsent:
                return False
        written = self._write(data)
        if not written:
            return False
        self._unsent = data[written:]
        return True

    def _write(self, data: bytes) -> int:
        try:
            return _os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody reads standard output any more; there is nowhere to say so.
            return 0

    def _report(self) -> None:
        line = msgspec.json.encode({"event": "log_dropped", "lines": self.dropped})
        if self._write_all(line + b"\n"):
            self.dropped = 0
            self._reported_at = now()


class _LineLogger:
    """What structlog hands its rendered lines to."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def info(self, line: bytes) -> None:
        self._output.write(line, is_failure=False)

    def warning(self, line: bytes) -> None:
        self._output.write(line, is_failure=True)

    error = warning
    exception = warning


def make_logger(
    instance: str, output: BoundedOutput
) -> structlog.typing.FilteringBoundLogger:
    """Make the logger of an instance, one JSON object a line.

    Args:
        instance: Named in each line.
        output: Where the lines go.
    """
    return structlog.wrap_logger(
        _LineLogger(output),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        cache_logger_on_first_use=True,
    ).bind(instance=instance)


def _encode(event: dict[str, Any], **_: Any) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
