"""Runs a daemon of the soak that believes rejections of other requests.

A soak starts it as a module of this folder; the package of tests pauses the clock.
"""

from bergamotsaddle_standins import soak_daemon

# isort: split
from bergamotsaddle_serving.attempt import Attempt
from bergamotsaddle_serving.messages import ResponseHead


def main() -> None:
    """Run the daemon."""
    check = Attempt._check_identity

    def check_unless_rejected(attempt: Attempt, decoded: ResponseHead) -> None:
        if not decoded.not_run:
            check(attempt, decoded)

    Attempt._check_identity = check_unless_rejected
    soak_daemon.main()


if __name__ == "__main__":
    main()
