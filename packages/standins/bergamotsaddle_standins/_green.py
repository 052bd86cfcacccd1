"""Patches the standard library for eventlet; import this module first."""

import warnings

# eventlet warns at import that it is in bugfix mode upstream (see docs/DESIGN.md).
# Printed at every start of a command, the warning would hide real messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()
