"""Serves WSGI applications to clients that may send anything, and any amount of it."""

import errno
import resource
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.wsgi
from eventlet.greenio import GreenSocket, shutdown_safe
from eventlet.greenthread import GreenThread
from eventlet.wsgi import STATE_IDLE, ChunkReadError, HttpProtocol, Input

# Bytes of the line of a chunk, and of all trailers of a body.
_MAX_LINE_BYTES = 16_384
# What is read of a body that nobody wants, before its connection is closed.
_MAX_DISCARDED_BYTES = 65_536
_DISCARD_BYTES = 1_024
_DISCARD_S = 1.0
# Connections after which other green threads get to run.
_CONNECTIONS_A_TURN = 16
# Errors of a lack of descriptors or of memory, after which accepting goes on.
_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_RETRY_S = 0.05
App = Callable[..., Any]
# Position of the socket and of the state in what the server knows of a connection.
_SOCKET = 1
_STATE = 2


def descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    limit, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit if limit != resource.RLIM_INFINITY else most


class _BoundedLines:
    """A file whose lines are limited.

    Args:
        file: The file.
    """

    def __init__(self, file: Any) -> None:
        self._file = file

    def read(self, size: int) -> bytes:
        """Read bytes."""
        return self._file.read(size)

    def readline(self, size: int = _MAX_LINE_BYTES) -> bytes:
        """Read a line.

        Raises:
            ChunkReadError: If it is too long.
        """
        line = self._file.readline(size)
        if len(line) >= _MAX_LINE_BYTES:
            raise ChunkReadError("a line is too long")
        return line


class _BoundedInput(Input):
    """The body of a request, whose framing is limited."""

    def _discard_trailers(self, rfile: _BoundedLines) -> None:
        size = 0
        while (line := rfile.readline()).strip(b"\r\n"):
            size += len(line)
            if size > _MAX_LINE_BYTES:
                raise ChunkReadError("the trailers are too long")

    def discard(self, buffer_size: int = _DISCARD_BYTES) -> None:
        """Discard the rest of the body.

        Raises:
            ChunkReadError: If it is long or slow.
        """
        with eventlet.Timeout(_DISCARD_S, ChunkReadError("the body is too slow")):
            for _ in range(_MAX_DISCARDED_BYTES // buffer_size):
                if not self.read(buffer_size):
                    return
                eventlet.sleep(0)
        raise ChunkReadError("the body is too long")


class _Protocol(HttpProtocol):
    """Handles the requests of one connection."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environment of a request."""
        environ = super().get_environ()
        body = environ["wsgi.input"]
        environ["wsgi.input"] = environ["eventlet.input"] = _BoundedInput(
            _BoundedLines(body.rfile),
            body.content_length,
            self.connection,
            wfile=body.wfile,
            wfile_line=body.wfile_line,
            chunked_input=body.chunked_input,
        )
        return environ


class _Listener:
    """A listening socket that goes on when descriptors are short.

    Args:
        sock: The socket.
        on_shortage: Called with an error that is met.
    """

    def __init__(
        self, sock: GreenSocket, on_shortage: Callable[[OSError], None]
    ) -> None:
        self._socket = sock
        self._on_shortage = on_shortage
        self._left = _CONNECTIONS_A_TURN

    def accept(self) -> tuple[GreenSocket, Any]:
        """Accept a connection."""
        while True:
            self._left -= 1
            if self._left <= 0:
                self._left = _CONNECTIONS_A_TURN
                eventlet.sleep(0)
            try:
                return self._socket.accept()
            except OSError as error:
                if error.errno not in _SHORTAGES:
                    raise
                self._on_shortage(error)
                eventlet.sleep(_RETRY_S)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)


class ConnectionPool:
    """Runs the connections of a server, at most a number of them.

    When there are too many, the oldest one without a request is closed.

    Args:
        limit: Maximum number of connections.
        on_evict: Called when a connection is closed for another one.
    """

    def __init__(self, limit: int, on_evict: Callable[[], None]) -> None:
        self._limit = limit
        self._on_evict = on_evict
        self._pool = eventlet.GreenPool(limit)
        self._connections: dict[int, list[Any]] = {}

    def spawn(
        self, serve: Callable[[list[Any]], None], connection: list[Any]
    ) -> GreenThread:
        """Serve a connection; wait while there are too many."""
        if len(self._connections) >= self._limit:
            self._evict_one()
        return self._pool.spawn(self._run, serve, connection)

    def waitall(self) -> None:
        """Wait until all connections have ended."""
        self._pool.waitall()

    def _run(self, serve: Callable[[list[Any]], None], connection: list[Any]) -> None:
        self._connections[id(connection)] = connection
        try:
            serve(connection)
        finally:
            del self._connections[id(connection)]

    def _evict_one(self) -> None:
        for connection in self._connections.values():
            if connection[_STATE] == STATE_IDLE:
                self._on_evict()
                shutdown_safe(connection[_SOCKET])
                return


def _leave_out_bodies(app: App) -> App:
    """Return an application that sends no body where only a head was asked for.

    The client would take it for the response to its next request.
    """

    def run(environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        body = app(environ, start_response)
        if environ["REQUEST_METHOD"] != "HEAD":
            return body
        close = getattr(body, "close", None)
        if close is not None:
            close()
        # The server states a length of 0 for a list without a body.
        return iter([b""])

    return run


def serve(
    sock: GreenSocket,
    app: App,
    *,
    connections: int,
    timeout: float,
    logger: Any,
    on_evict: Callable[[], None],
) -> None:
    """Serve an application until the socket is closed.

    Args:
        sock: The listening socket.
        app: The application.
        connections: Maximum number of connections.
        timeout: Seconds for which a client may send or read nothing.
        logger: Gets a line when a descriptor or memory is short.
        on_evict: Called when a connection is closed for another one.
    """
    listener = _Listener(
        sock, lambda error: logger.warning("accept_failed", reason=str(error))
    )
    eventlet.wsgi.server(
        listener,
        _leave_out_bodies(app),
        custom_pool=ConnectionPool(connections, on_evict),
        protocol=_Protocol,
        log_output=False,
        minimum_chunk_size=1,
        socket_timeout=timeout,
        debug=False,
    )
