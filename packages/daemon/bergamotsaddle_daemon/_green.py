"""Makes the standard library green; to be imported before anything else."""

import os
import warnings

from bergamotsaddle_daemon._deferred import defer

# eventlet warns at import that it is in bugfix mode upstream, which docs/DESIGN.md
# deals with; on every start of a command the warning would hide real messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# gRPC tells on standard error of every connection that a stopping peer closes.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

# Only eventlet's hub on top of asyncio needs it.
defer("asyncio")

import eventlet  # noqa: E402

# Threads stay native, since gRPC runs on some of its own. Daemons start no processes.
eventlet.monkey_patch(os=True, select=True, socket=True, time=True)
