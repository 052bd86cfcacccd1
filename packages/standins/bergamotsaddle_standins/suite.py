"""Runs each module of the test suite in a process of its own, and sums them up.

A module then starts without sockets, timers and memory that others left. Modules on a
clock of their own run side by side. Those in real time run one after the other behind
them, so that nothing of the suite holds them up.
"""

import argparse
import os
import re
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

_TESTS = Path("tests")
_CONFIG = "unittest.cfg"
_REAL_TIME = re.compile(
    r"use_running_clock|\bsubprocess\b|original\(\"time\"\)|process_time"
)
# Modules that take longest begin first, so that none of them runs alone at the end.
_LONGEST = (
    "test_hidden_fatal_requests",
    "test_fatal_parts",
    "test_limited_targets",
    "test_fatal_requests",
    "test_paused_engines",
    "test_crashed_targets",
    "test_engine_speeds",
    "test_view_follower",
    "test_crash_storms",
    "test_gossip",
    "test_suspects",
    "test_peer_discovery",
)
_RAN = re.compile(r"^Ran ([0-9]+) tests? in ", re.MULTILINE)
_FAILURE = re.compile(r"^(?:FAIL|ERROR): .*$", re.MULTILINE)
_KNOWN_RED = re.compile(r"^known red: .*\n", re.MULTILINE)


class ModuleResult(NamedTuple):
    """How the tests of a module ended.

    Attributes:
        name: Name of the module.
        status: Exit status of its process.
        output: What the process printed.
        seconds: How long it ran.
    """

    name: str
    status: int
    output: str
    seconds: float

    @property
    def count(self) -> int:
        """Number of tests that ran."""
        found = _RAN.search(self.output)
        return int(found[1]) if found else 0

    @property
    def failures(self) -> list[str]:
        """The lines that name its failures; none of a module that has passed."""
        return [] if self.has_passed else _FAILURE.findall(self.output)

    @property
    def has_passed(self) -> bool:
        """Whether tests ran, and none failed that is not expected to."""
        return self.status == 0 and self.count > 0


def runs_in_real_time(source: str) -> bool:
    """Return whether the source of a module needs the time of the machine."""
    return _REAL_TIME.search(source) is not None


def find_modules(folder: Path) -> tuple[list[str], list[str]]:
    """Return names of the modules on clocks of their own, and of those in real time."""
    side_by_side, in_real_time = [], []
    rank = {name: number for number, name in enumerate(_LONGEST)}
    paths = sorted(folder.glob("test_*.py"))
    for path in sorted(paths, key=lambda path: rank.get(path.stem, len(rank))):
        is_real = runs_in_real_time(path.read_text())
        (in_real_time if is_real else side_by_side).append(f"{folder.name}.{path.stem}")
    return side_by_side, in_real_time


def run_module(name: str) -> ModuleResult:
    """Run the tests of a module in a process of its own."""
    started_at = time.monotonic()
    done = subprocess.run(
        [sys.executable, "-m", "nose2", "-c", _CONFIG, name],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        check=False,
    )
    seconds = time.monotonic() - started_at
    return ModuleResult(name, done.returncode, done.stdout, seconds)


def run_all(
    side_by_side: Sequence[str],
    in_real_time: Sequence[str],
    *,
    jobs: int,
    run: Callable[[str], ModuleResult] = run_module,
) -> list[ModuleResult]:
    """Run modules side by side, then the others one after the other.

    Args:
        side_by_side: Names of modules that run beside each other.
        in_real_time: Names of modules that run alone.
        jobs: Most modules at the same time.
        run: Runs a module.

    Returns:
        The result of each module.
    """
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(run, side_by_side))
    return results + [run(name) for name in in_real_time]


def run_and_print(name: str) -> ModuleResult:
    """Run the tests of a module and print a line on it."""
    result = run_module(name)
    verdict = "ok" if result.has_passed else "FAILED"
    line = f"{verdict:6} {result.count:4} tests {result.seconds:6.1f} s {name}"
    print("\n".join([line, *result.failures]), flush=True)
    return result


def summarize(results: Sequence[ModuleResult], seconds: float) -> tuple[str, int]:
    """Return the report on all modules, and the exit status.

    Args:
        results: The results of the modules.
        seconds: How long they took together.
    """
    failed = [result for result in results if not result.has_passed]
    lines = [_KNOWN_RED.sub("", result.output) for result in failed]
    total = sum(result.count for result in results)
    lines.append(f"Ran {total} tests of {len(results)} modules in {seconds:.0f} s")
    names = ", ".join(result.name for result in failed)
    lines.append(f"FAILED: {names}" if failed or not results else "OK")
    return "\n\n".join(lines), 1 if failed or not results else 0


def main() -> None:
    """Run the test suite."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--jobs", type=int, default=len(os.sched_getaffinity(0)))
    jobs = parser.parse_args().jobs
    known = Path("KNOWN-RED.txt")
    for line in known.read_text().splitlines() if known.exists() else ():
        if line.strip() and not line.startswith("#"):
            print(f"known red: {line}", flush=True)
    started_at = time.monotonic()
    results = run_all(*find_modules(_TESTS), jobs=jobs, run=run_and_print)
    report, status = summarize(results, time.monotonic() - started_at)
    print(report, flush=True)
    sys.exit(status)


if __name__ == "__main__":
    main()
