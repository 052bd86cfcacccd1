"""Calls between entry instances over gRPC."""

from collections.abc import Callable
from concurrent import futures
from typing import Any, Protocol

import eventlet
import grpc
from eventlet.event import Event

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import ANSWER_BY_QUERY, open_sealed, seal
from bergamotsaddle_daemon.hub_bridge import HubBridge
from bergamotsaddle_daemon.settings import Settings

_SERVICE = "bergamotsaddle.Peer"
_SERVE_LIMIT = 70.0
_MARGIN = 0.2
_MESSAGE_BYTES = 2_000_000
_OPTIONS = (
    ("grpc.max_receive_message_length", _MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MESSAGE_BYTES),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

Handler = Callable[[Any], Any]


class Link(Protocol):
    """A way to call one peer."""

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for its answer.

        Args:
            message: One of the queries of ``messages.ANSWER_BY_QUERY``.
            timeout: Seconds.

        Raises:
            PeerUnreachableError: If there is no answer in time.
        """

    def close(self) -> None:
        """Close the connection."""


class GrpcLink:
    """Calls one peer over one gRPC channel.

    Args:
        address: The peer's address.
        key: Shared by all instances.
        bridge: Carries completions to the hub.
    """

    def __init__(self, address: str, key: bytes, bridge: HubBridge) -> None:
        self._address = address
        self._key = key
        self._bridge = bridge
        self._channel = self._open()

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for its answer."""
        answer_kind = ANSWER_BY_QUERY[type(message)]
        method = self._channel.unary_unary(f"/{_SERVICE}/{type(message).__name__}")
        done = Event()
        call = method.future(seal(message, self._key), timeout=timeout)
        call.add_done_callback(lambda _: self._bridge.post(done.send))
        with eventlet.Timeout(timeout + _MARGIN, False):
            done.wait()
        if not done.ready() or call.code() is not grpc.StatusCode.OK:
            reason = call.code().name if call.done() else "silent"
            call.cancel()
            self._renew(reason)
            raise PeerUnreachableError(reason)
        return open_sealed(call.result(), answer_kind, self._key)

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def _open(self) -> grpc.Channel:
        # gRPC shares one connection among channels with equal options unless told
        # not to; the new channel of _renew would then get the silent one again.
        options = (*_OPTIONS, ("grpc.use_local_subchannel_pool", 1))
        return grpc.insecure_channel(self._address, options=options)

    def _renew(self, reason: str) -> None:
        """Replace a channel that gave no answer in time.

        Its connection may have been forgotten by something in between; every later
        call to this peer would then time out although a new connection would work.
        """
        if reason not in ("DEADLINE_EXCEEDED", "silent"):
            return
        old, self._channel = self._channel, self._open()
        old.close()


class PeerServer(grpc.GenericRpcHandler):
    """Serves the calls of peers.

    Args:
        settings: The daemon's settings.
        bridge: Carries calls to the hub.
    """

    def __init__(self, settings: Settings, bridge: HubBridge) -> None:
        self._key = settings.daemon.peer_key
        self._bridge = bridge
        self._handlers_by_name: dict[str, tuple[type, Handler]] = {}
        workers = futures.ThreadPoolExecutor(settings.limits.peer_workers)
        self._server = grpc.server(workers, options=_OPTIONS)
        self._server.add_generic_rpc_handlers((self,))
        wanted = settings.daemon.peer_address
        port = self._server.add_insecure_port(str(wanted))
        self.address = Address(wanted.host, port)

    def start(self, handlers: dict[type, Handler]) -> None:
        """Begin to serve.

        Args:
            handlers: What to do by type of message.
        """
        self._handlers_by_name = {
            f"/{_SERVICE}/{kind.__name__}": (kind, handler)
            for kind, handler in handlers.items()
        }
        self._server.start()

    def stop(self) -> None:
        """Stop serving; running calls are cancelled."""
        self._server.stop(None)

    def service(
        self, handler_call_details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler | None:
        """Find the handler of a method, as gRPC asks for it."""
        found = self._handlers_by_name.get(handler_call_details.method)
        if found is None:
            return None
        kind, handler = found

        def serve(payload: bytes, context: grpc.ServicerContext) -> bytes:
            try:
                message = open_sealed(payload, kind, self._key)
            except ValueError as error:
                context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
            limit = min(_SERVE_LIMIT, context.time_remaining() or _SERVE_LIMIT)
            answer = self._bridge.call(lambda: handler(message), limit)
            return seal(answer, self._key)

        return grpc.unary_unary_rpc_method_handler(serve)
