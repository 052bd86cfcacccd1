"""A response body that calls a function when the server closes it."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any


class CallOnce:
    """Calls a function the first time it is called, then does nothing."""

    def __init__(self, function: Callable[[], None]) -> None:
        self._function: Callable[[], None] | None = function

    def __call__(self) -> None:
        function, self._function = self._function, None
        if function is not None:
            function()


class ResponseBody:
    """A response body that calls a function when the server closes it.

    Args:
        body: The chunks of the body.
        on_close: Called when the body is closed.
    """

    def __init__(self, body: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._body = body
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body; the server calls this also after errors."""
        close: Any = getattr(self._body, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self._on_close()
