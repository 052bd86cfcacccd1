"""Tests of all packages; the clock is paused and moves only as a test advances it."""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
from tests._paused import use_paused_clock

use_paused_clock()
