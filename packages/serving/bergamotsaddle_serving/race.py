"""Runs functions in green threads and returns their results as they finish."""

import contextlib
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

import eventlet
from eventlet.greenthread import GreenThread
from eventlet.queue import Empty, Queue
from greenlet import GreenletExit

T = TypeVar("T")


class Finish(NamedTuple, Generic[T]):
    """The end of one function of a race.

    Attributes:
        name: Name under which it was started.
        value: What it returned, None if it raised an error.
        error: The error that it raised, None if it returned.
    """

    name: str
    value: T | None
    error: Exception | None = None

    def result(self) -> T:
        """Return what the function returned, or raise its error."""
        if self.error is not None:
            raise self.error
        return self.value


class Race(Generic[T]):
    """Functions that run at the same time, each in a green thread of its own.

    Use it as a context manager: leaving it ends the functions that still run.
    """

    def __init__(self) -> None:
        self._finishes: Queue = Queue()
        self._thread_by_name: dict[str, GreenThread] = {}

    def __enter__(self) -> "Race[T]":
        return self

    def __exit__(self, *_: object) -> None:
        # An error for the current green thread may arrive while one is ended.
        with contextlib.ExitStack() as stack:
            for thread in self._thread_by_name.values():
                stack.callback(thread.kill)
            self._thread_by_name.clear()

    def __contains__(self, name: str) -> bool:
        """Return whether a function was started and its end has not been returned."""
        return name in self._thread_by_name

    def __len__(self) -> int:
        """Return the number of functions whose end has not been returned."""
        return len(self._thread_by_name)

    def start(self, name: str, function: Callable[[], T]) -> None:
        """Start a function.

        Args:
            name: Name for its end; no other function that still runs has it.
            function: The function.
        """
        self._thread_by_name[name] = eventlet.spawn(self._run, name, function)

    def stop(self, name: str) -> None:
        """End a function, whose end is not returned any more; none may have it."""
        thread = self._thread_by_name.pop(name, None)
        if thread is not None:
            thread.kill()

    def wait(self, timeout: float | None = None) -> Finish[T] | None:
        """Return the next end of a function.

        Args:
            timeout: Seconds to wait at most, None to wait without limit.

        Returns:
            The end, None if there was none in time.
        """
        try:
            while True:
                thread, finish = self._finishes.get(timeout=timeout)
                if self._thread_by_name.get(finish.name) is thread:
                    del self._thread_by_name[finish.name]
                    return finish
        except Empty:
            return None

    def _run(self, name: str, function: Callable[[], T]) -> None:
        try:
            finish = Finish(name, function())
        except GreenletExit:
            return
        except Exception as error:
            finish = Finish(name, None, error)
        self._finishes.put((eventlet.getcurrent(), finish))
        # An error refers to this frame, and the frame would refer to it.
        del finish
