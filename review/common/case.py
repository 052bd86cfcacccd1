"""Runs a case: builds a small deployment, plays it and reports the result."""

import asyncio
import contextlib
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.machines import ROOT, Machine, find_hosts, find_port, make_machines
from common.machines import wait_ready as _wait_ready
from common.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played."""


class Case:
    """A small deployment and the record of what is sent, answered and run.

    Args:
        folder: Folder of the case, which gets the record.
        work: Temporary folder for settings and logs.

    Attributes:
        has_trouble: Whether the disturbance is played.
        store: The platform's store.
        machines: The machines of the system.
        breaks: Sentences, one for each break of the rule.
    """

    def __init__(self, folder: Path, work: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.machines: list[Machine] = []
        self.breaks: list[str] = []
        self._work = work
        self._record = (folder / "record.txt").open("w", buffering=1)
        self._started_at = time.monotonic()

    @property
    def seconds(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def is_disturbed(self, seconds: float, pause: float) -> bool:
        """Return whether a disturbance that comes again and again lasts now.

        Args:
            seconds: How long it lasts each time.
            pause: Seconds between two times.
        """
        return self.has_trouble and self.seconds % (seconds + pause) < seconds

    def write(self, text: str) -> None:
        """Write a line into the record."""
        self._record.write(f"{self.seconds:8.3f} {text}\n")

    def record_break(self, text: str) -> None:
        """Record that the rule was broken."""
        self.breaks.append(text)
        self.write(f"BROKEN {text}")

    async def start_store(self) -> None:
        """Start the store."""
        (host,) = find_hosts(1)
        port = find_port(host)
        await self.store.start(host, port)
        self._store_address = f"{host}:{port}"

    async def start_machines(self, count: int) -> None:
        """Start the machines and wait until they are ready.

        Raises:
            CannotRunError: If they are not.
        """
        self.machines = make_machines(count, self._store_address, self._work)
        for machine in self.machines:
            machine.start()
        if not await asyncio.to_thread(_wait_ready, self.machines):
            for machine in self.machines:
                self.write(f"log of {machine.name}: {machine.log()[-2000:]}")
            raise CannotRunError("the machines did not get ready")
        self.write(f"{count} machines are ready, trouble: {self.has_trouble}")

    def close(self) -> None:
        """End all processes and close the record."""
        for machine in self.machines:
            with contextlib.suppress(OSError):
                machine.end()
        self.store.close()
        self._record.close()


async def _end(case: Case) -> None:
    """End the machines, then all that still waits for them."""
    for machine in case.machines:
        machine.end()
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _play(case: Case, play: Callable[[Case], Awaitable[None]]) -> int:
    # What is cut off at the end is no news.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        await case.start_store()
        async with asyncio.timeout(110.0):
            await play(case)
    except (CannotRunError, TimeoutError, OSError) as error:
        case.write(f"the case could not run: {error!r}")
        return NOT_RUN
    except Exception:
        case.write(traceback.format_exc())
        return NOT_RUN
    for machine in case.machines:
        if machine.has_ended():
            case.write(f"{machine.name} has ended by itself")
            case.write(machine.log()[-2000:])
    await _end(case)
    verdict = "broken" if case.breaks else "held"
    case.write(f"RESULT {verdict}, {len(case.breaks)} breaks")
    return BROKEN if case.breaks else HELD


def main(folder: Path, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit with its result."""
    if not (ROOT / "target" / "lib").is_dir():
        print("the build of the deploy file is missing", file=sys.stderr)
        sys.exit(NOT_RUN)
    with tempfile.TemporaryDirectory() as work:
        case = Case(folder, Path(work))
        try:
            result = asyncio.run(_play(case, play))
            if keep := os.environ.get("KEEP_LOGS"):
                for machine in case.machines:
                    (Path(keep) / f"{machine.name}.log").write_text(machine.log())
        finally:
            case.close()
    sys.exit(result)
