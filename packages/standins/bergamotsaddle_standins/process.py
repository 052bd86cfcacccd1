"""Runs one stand-in process: ``python -m bergamotsaddle_standins.process``."""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import sys

import msgspec

from bergamotsaddle_standins import platform, relay, targets
from bergamotsaddle_standins.relay import RelaySpec
from bergamotsaddle_standins.targets import TargetSpec


class ProcessSpec(msgspec.Struct):
    """What the process runs; exactly one of the fields is given.

    Attributes:
        list_lag: Lag of the instance list in seconds, for a process that runs the
            platform services.
        targets: Targets to serve.
        relays: Relays to run.
    """

    list_lag: float | None = None
    targets: list[TargetSpec] = []
    relays: list[RelaySpec] = []


def main() -> None:
    """Decode the specification from the only argument and run it."""
    spec = msgspec.json.decode(sys.argv[1], type=ProcessSpec)
    if spec.targets:
        targets.main(spec.targets)
    if spec.relays:
        relay.main(spec.relays)
    platform.main(spec.list_lag or 0.0)


if __name__ == "__main__":
    main()
