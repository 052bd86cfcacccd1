"""Runs one daemon of the soak: ``python -m bergamotsaddle_standins.soak_daemon``."""

import os
import signal

# The settings are read once the daemon has loaded. Until then, the signal to read them
# again would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
os.environ["EVENTLET_NO_GREENDNS"] = "yes"

import bergamotsaddle_daemon._green  # noqa: E402, F401

# isort: split
import sys  # noqa: E402

from bergamotsaddle_serving.server import ServingServer  # noqa: E402
from bergamotsaddle_standins.soak_dialect import SoakDialect  # noqa: E402


def main() -> None:
    """Run a daemon with the settings file and the id from the arguments."""
    path, instance = sys.argv[1:]
    ServingServer(path, SoakDialect(instance)).run()


if __name__ == "__main__":
    main()
