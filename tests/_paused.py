"""Re-exports the paused hub and its clock for tests."""

from bergamotsaddle_standins.paused_hub import (
    PausedHub,
    advance,
    advance_until,
    freeze,
    settle,
    use_paused_clock,
    use_running_clock,
    use_skipping_clock,
)

__all__ = [
    "PausedHub",
    "advance",
    "advance_until",
    "freeze",
    "settle",
    "use_paused_clock",
    "use_running_clock",
    "use_skipping_clock",
]
