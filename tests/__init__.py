"""Tests of all packages; the clock is paused and moves only as a test advances it."""

# The stand-ins patch more than the daemon, and a module of tests alone is to run as
# beside one that imports them.
import bergamotsaddle_daemon._green  # noqa: F401
import bergamotsaddle_standins._green  # noqa: F401

# isort: split
from tests._paused import use_paused_clock

use_paused_clock()
