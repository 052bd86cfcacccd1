"""A response body that tells when the server is done with it."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any


class CallOnce:
    """Calls a function the first time only."""

    def __init__(self, function: Callable[[], None]) -> None:
        self._function: Callable[[], None] | None = function

    def __call__(self) -> None:
        function, self._function = self._function, None
        if function is not None:
            function()


class ResponseBody:
    """A response body that tells when the server is done with it."""

    def __init__(self, body: Iterable[bytes], ended: Callable[[], None]) -> None:
        self._body = body
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """End the request; the server calls this whatever happened."""
        close: Any = getattr(self._body, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self._ended()
