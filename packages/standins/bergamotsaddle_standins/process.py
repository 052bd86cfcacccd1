"""Starts one stand-in process: ``python -m bergamotsaddle_standins.process``."""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import sys

import msgspec

from bergamotsaddle_standins import platform, relay, targets
from bergamotsaddle_standins.relay import RelaySpec
from bergamotsaddle_standins.targets import TargetSpec


class Work(msgspec.Struct):
    """What the process is to be; exactly one of these.

    Attributes:
        list_lag: Lag in seconds of an instance list, beside a configuration service.
        targets: Targets to serve.
        relays: Relays to run.
    """

    list_lag: float | None = None
    targets: list[TargetSpec] = []
    relays: list[RelaySpec] = []


def main() -> None:
    """Read the work from the only argument and do it."""
    work = msgspec.json.decode(sys.argv[1], type=Work)
    if work.targets:
        targets.main(work.targets)
    if work.relays:
        relay.main(work.relays)
    platform.main(work.list_lag or 0.0)


if __name__ == "__main__":
    main()
