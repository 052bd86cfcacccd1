"""Calls between entry instances over gRPC."""

from collections.abc import Callable
from concurrent import futures
from typing import Any, Protocol

import eventlet
import grpc
from eventlet.event import Event

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import RESPONSE_BY_QUERY, sign, verify_signed
from bergamotsaddle_daemon.hub_bridge import HubBridge
from bergamotsaddle_daemon.settings import Settings

_SERVICE = "bergamotsaddle.Peer"
_MAX_SERVE_SECONDS = 70.0
_TIMEOUT_MARGIN = 0.2
_MAX_MESSAGE_BYTES = 2_000_000
_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)

Handler = Callable[[Any], Any]


class Link(Protocol):
    """Calls one peer."""

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for the response.

        Args:
            message: One of the queries of ``messages.RESPONSE_BY_QUERY``.
            timeout: Seconds.

        Raises:
            PeerUnreachableError: If no response arrives in time.
        """

    def close(self) -> None:
        """Close the connection."""


class GrpcLink:
    """Calls one peer over one gRPC channel.

    Args:
        address: The peer's address.
        key: Shared by all instances.
        bridge: Passes completions to the hub's thread.
    """

    def __init__(self, address: str, key: bytes, bridge: HubBridge) -> None:
        self._address = address
        self._key = key
        self._bridge = bridge
        self._channel = self._open_channel()

    def call(self, message: Any, timeout: float) -> Any:
        """Send a message and wait for the response."""
        response_type = RESPONSE_BY_QUERY[type(message)]
        method = self._channel.unary_unary(f"/{_SERVICE}/{type(message).__name__}")
        done = Event()
        call = method.future(sign(message, self._key), timeout=timeout)
        call.add_done_callback(lambda _: self._bridge.post(done.send))
        with eventlet.Timeout(timeout + _TIMEOUT_MARGIN, False):
            done.wait()
        if not done.ready() or call.code() is not grpc.StatusCode.OK:
            reason = call.code().name if call.done() else "silent"
            call.cancel()
            self._reopen_channel(reason)
            raise PeerUnreachableError(reason)
        return verify_signed(call.result(), response_type, self._key)

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def _open_channel(self) -> grpc.Channel:
        # By default gRPC shares one connection among channels with equal options. The
        # new channel of _reopen_channel would then get the silent connection again.
        options = (*_OPTIONS, ("grpc.use_local_subchannel_pool", 1))
        return grpc.insecure_channel(self._address, options=options)

    def _reopen_channel(self, reason: str) -> None:
        """Replace a channel on which a call timed out.

        A router or firewall may have dropped the state of its connection. Every later
        call to this peer would then time out although a new connection would work.
        """
        if reason not in ("DEADLINE_EXCEEDED", "silent"):
            return
        old, self._channel = self._channel, self._open_channel()
        old.close()


class PeerServer(grpc.GenericRpcHandler):
    """Serves the calls of peers.

    Args:
        settings: The daemon's settings.
        bridge: Runs the handlers on the hub's thread.
    """

    def __init__(self, settings: Settings, bridge: HubBridge) -> None:
        self._key = settings.daemon.peer_key
        self._bridge = bridge
        self._handlers_by_name: dict[str, tuple[type, Handler]] = {}
        workers = futures.ThreadPoolExecutor(settings.limits.peer_workers)
        self._server = grpc.server(workers, options=_OPTIONS)
        self._server.add_generic_rpc_handlers((self,))
        configured_address = settings.daemon.peer_address
        port = self._server.add_insecure_port(str(configured_address))
        self.address = Address(configured_address.host, port)

    def start(self, handlers: dict[type, Handler]) -> None:
        """Start serving.

        Args:
            handlers: Handler by type of message.
        """
        self._handlers_by_name = {
            f"/{_SERVICE}/{message_type.__name__}": (message_type, handler)
            for message_type, handler in handlers.items()
        }
        self._server.start()

    def stop(self) -> None:
        """Stop serving and cancel running calls."""
        self._server.stop(None)

    def service(
        self, handler_call_details: grpc.HandlerCallDetails
    ) -> grpc.RpcMethodHandler | None:
        """Return the handler of a method; called by gRPC."""
        found = self._handlers_by_name.get(handler_call_details.method)
        if found is None:
            return None
        message_type, handler = found

        def serve(payload: bytes, context: grpc.ServicerContext) -> bytes:
            try:
                message = verify_signed(payload, message_type, self._key)
            except ValueError as error:
                context.abort(grpc.StatusCode.PERMISSION_DENIED, str(error))
            timeout = min(
                _MAX_SERVE_SECONDS, context.time_remaining() or _MAX_SERVE_SECONDS
            )
            response = self._bridge.call(lambda: handler(message), timeout)
            return sign(response, self._key)

        return grpc.unary_unary_rpc_method_handler(serve)
