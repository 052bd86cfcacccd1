"""Runs functions from native threads, such as those of gRPC, on the hub's thread."""

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.patcher import original

# The green versions of read, write and events wait on the hub of their thread. A native
# thread would start one of its own, which no other thread can wake.
os = original("os")
threading = original("threading")

_READ_BYTES = 4096


class HubBridge:
    """Runs functions from native threads on the hub's thread.

    The hub's objects may only be used from its own thread; a green thread woken from
    another native thread would run on that thread and corrupt the state of both. So
    native threads append to a queue and write to a pipe, and a green thread reads the
    pipe.
    """

    def __init__(self) -> None:
        self._queue: deque[Callable[[], None]] = deque()
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        os.set_blocking(self._write_end, False)
        eventlet.spawn_n(self._run)

    def post(self, function: Callable[[], None]) -> None:
        """Run a function in a green thread; may be called from any thread."""
        self._queue.append(function)
        try:
            os.write(self._write_end, b"\0")
        except BlockingIOError:
            # The pipe is already full of wake-ups, and one of them is enough.
            return

    def call(self, function: Callable[[], Any], timeout: float) -> Any:
        """Run a function in a green thread and wait for it in a native thread.

        Raises:
            TimeoutError: If there is no result in time.
            Exception: Any exception that the function raises.
        """
        done = threading.Event()
        results: list[Any] = []
        errors: list[Exception] = []

        def run() -> None:
            try:
                results.append(function())
            except Exception as error:
                errors.append(error)
            done.set()

        self.post(run)
        if not done.wait(timeout):
            raise TimeoutError("the hub did not answer in time")
        if errors:
            raise errors[0]
        return results[0]

    def _run(self) -> None:
        while True:
            hubs.trampoline(self._read_end, read=True)
            # An earlier read may have consumed the wake-up already.
            with contextlib.suppress(BlockingIOError):
                os.read(self._read_end, _READ_BYTES)
            while self._queue:
                # Each function gets a green thread of its own, so that one that fails
                # or waits neither ends the bridge nor delays the other functions.
                eventlet.spawn_n(self._queue.popleft())
