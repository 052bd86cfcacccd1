"""Makes the standard library green; to be imported before anything else."""

import os
import warnings

# eventlet warns at import that it is in bugfix mode upstream, which docs/DESIGN.md
# deals with; on every start of a command the warning would hide real messages.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

# gRPC tells on standard error of every connection that a stopping peer closes.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

import eventlet  # noqa: E402

# Threads stay native, since gRPC runs on some of its own.
eventlet.monkey_patch(thread=False)
