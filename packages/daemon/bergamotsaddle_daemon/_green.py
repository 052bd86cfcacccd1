"""Patches the standard library for eventlet; import it before any other module."""

import os
import warnings

from bergamotsaddle_daemon._deferred import defer

# eventlet warns at import that it is in bugfix mode upstream, which docs/DESIGN.md
# discusses. On every start of a command the warning would hide real messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# gRPC logs every connection that a stopping peer closes to standard error.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

# Only eventlet's asyncio hub needs this module.
defer("asyncio")

import eventlet  # noqa: E402

# Threads stay native because gRPC starts its own. Daemons start no processes.
eventlet.monkey_patch(os=True, select=True, socket=True, time=True)
