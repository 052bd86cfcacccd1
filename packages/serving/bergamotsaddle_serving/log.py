"""Structured log lines on standard output, limited in rate and never blocking."""

import os
from typing import Any

import msgspec
import structlog
from eventlet import patcher

from bergamotsaddle_daemon.clock import now

# The green versions of os functions would wait on the hub, without end if the reader of
# the log has stopped.
_os = patcher.original("os")

# Maximum number of lines per second. Ordinary load needs a tenth of it. At the maximum,
# logging takes 2 % of a core (20 us per line).
LINES_PER_S = 1000.0
# The last lines of each second's budget are reserved for rejections and failures, which
# operators search for afterwards.
_RESERVED_FOR_FAILURES = 300.0
_DROP_REPORT_S = 5.0


class BoundedOutput:
    """Writes complete lines to a file descriptor, or drops and counts them.

    If the reader of a pipe stops reading, the writing process blocks, and with it all
    its callers. This class drops a line that can't be written at once instead.

    Args:
        descriptor: Descriptor to write to; it is made non-blocking.

    Attributes:
        dropped: Number of dropped lines that have not been reported yet.
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
        """Write or drop a line.

        Args:
            line: The line without its line end.
            is_failure: Whether it may use the lines reserved for failures.
        """
        if not self._try_spend_line(is_failure) or not self._write_buffered(
            line + b"\n"
        ):
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

    def _write_buffered(self, data: bytes) -> bool:
        # The rest of a partly written line goes first, because the lines after it would
        # be unreadable otherwise.
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
            # Standard output has no reader any more, so the error can't be reported.
            return 0

    def _report(self) -> None:
        line = msgspec.json.encode({"event": "log_dropped", "lines": self.dropped})
        if self._write_buffered(line + b"\n"):
            self.dropped = 0
            self._reported_at = now()


class _LineLogger:
    """The logger that receives structlog's rendered lines."""

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
    """Make the logger of an instance, which writes one JSON object per line.

    Args:
        instance: Id of the instance, added to each line.
        output: Output that the lines are written to.
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
