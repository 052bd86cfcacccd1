"""Runs a daemon of the soak that takes for whole what is none, by one mistake.

A soak starts it as a module of this folder; the package of tests pauses the clock. The
environment names the mistake.
"""

from bergamotsaddle_standins import soak_daemon

# isort: split
import os

from bergamotsaddle_serving import client
from bergamotsaddle_serving.target_life import TargetLife

MISTAKE = "MISTAKE"


def believe_ends() -> None:
    """Believe that each target has outlived its unframed responses."""
    TargetLife.has_outlived = lambda life, target, request: True


def overlook_resets() -> None:
    """Forget that sending a request has failed."""
    client.Connection._has_send_failed = property(
        lambda connection: False, lambda connection, has_failed: None
    )


def believe_heads() -> None:
    """Believe each head that the parser accepts."""
    client._is_malformed = lambda response: False


MISTAKES = {
    make.__name__: make for make in (believe_ends, overlook_resets, believe_heads)
}


def main() -> None:
    """Run the daemon."""
    MISTAKES[os.environ[MISTAKE]]()
    soak_daemon.main()


if __name__ == "__main__":
    main()
