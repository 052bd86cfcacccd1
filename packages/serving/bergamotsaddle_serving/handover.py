"""Hands requests over to other instances while targets can't be reached from here."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import eventlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    Ran,
    RequestError,
)
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import MemoryShortError, Remainder
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._parts import Parts
from bergamotsaddle_serving.attempt import NOT_RUN_STATUSES
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import Kind
from bergamotsaddle_serving.client import (
    NO_MEMORY,
    SILENT,
    TOO_LONG,
    UNFINISHED,
    Connection,
    ConnectionLostError,
    RawResponseHead,
    end_to_end_headers,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.admission import add_jitter
from bergamotsaddle_serving.events import EventSplitter, StreamEvent
from bergamotsaddle_serving.helper_choice import Helper, choose_helper
from bergamotsaddle_serving.messages import HttpCall
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.relay_headers import (
    RelayedRequest,
    decode_error,
    encode_request,
)
from bergamotsaddle_serving.service_reach import ServiceReach

T = TypeVar("T")

_MAX_HELPERS = 3
_CONNECT_LIMIT_S = 0.25
# A killed process is cleaned up within this time.
_DYING_S = 0.1
# How often to check that a helper that has sent nothing yet is still alive.
_ALIVE_CHECK_S = 0.2
# Pause of a request whose helper has died while no other instance takes it; it doubles
# up to the maximum.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.4
# A helper counts a request's time from this much earlier, so that its response at the
# deadline arrives before this instance gives up.
_TRANSIT_S = 0.02
_MAX_RESPONSE_BYTES = 64_000_000
# Reasons for which another helper may serve a request that this one has not run.
_OTHER_HELPER_KINDS = frozenset(
    (
        ErrorKind.NO_TARGET,
        ErrorKind.NOT_READY,
        ErrorKind.OVERLOADED,
        ErrorKind.VERSION_GONE,
        ErrorKind.ORIGIN_UNKNOWN,
    )
)


class _HelperRefusedError(BergamotsaddleError):
    """A helper did not run the request, and another one may.

    Args:
        reason: One word for logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def _broken_error() -> RequestError:
    return RequestError(
        ErrorKind.TARGET_FAILED,
        "the instance that served the request broke off",
        ran=Ran.UNKNOWN,
    )


class _Delivery:
    """What the caller of a request that is handed over has received.

    Args:
        context: The request.
        caller: Connection that receives the response.

    Attributes:
        runs: How often helpers that broke off may have run it.
        last_event: Id of the last event that it has, None if it has none.
        is_empty: Whether it has nothing.
    """

    def __init__(self, context: Context, caller: CallerConnection) -> None:
        self._route = context.route
        self._caller = caller
        self.is_empty = True
        self._has_unnumbered_event = False
        self.runs = 0
        self.last_event: int | None = None

    def may_follow(self) -> bool:
        """Return whether another helper may run the request, or the rest of it."""
        return self._may_run(self.runs + 1)

    def may_leave(self) -> bool:
        """Return the same for the time after the helper that runs it now."""
        return self._may_run(self.runs + 2)

    def _may_run(self, runs: int) -> bool:
        may_repeat = self._route.may_repeat and not self._has_unnumbered_event
        return may_repeat and runs <= self._route.attempts

    def start(self, head: RawResponseHead) -> None:
        """Start the response unless it has started."""
        if self.is_empty:
            self.is_empty = False
            headers = list(end_to_end_headers(head.headers))
            self._caller.start(head.status, headers)

    def send(self, head: RawResponseHead, event: StreamEvent) -> None:
        """Send an event, after the head of the response if it is the first one.

        Raises:
            ConnectionLostError: If a helper begins anew instead of going on.
        """
        has_part = self.runs > 0 and self.last_event is not None
        if has_part and event.id is not None and event.id <= self.last_event:
            raise ConnectionLostError("begun_anew")
        self.start(head)
        self._caller.send(event.data)
        self._has_unnumbered_event |= not event.allows_resume
        if event.id is not None:
            self.last_event = event.id

    def finish(self, head: RawResponseHead, remainder: bytes) -> None:
        """End the response properly.

        Args:
            head: Head of the helper's response.
            remainder: Bytes behind its last complete event.
        """
        self.start(head)
        if remainder:
            self._caller.send(remainder)
        self._caller.finish()

    def relay(self, head: RawResponseHead, size: int, chunks: Iterator[bytes]) -> None:
        """Send a complete response of a known size as it arrives.

        Raises:
            ConnectionLostError: If it breaks off, or a part of another one was sent.
        """
        if not self.is_empty:
            raise ConnectionLostError("failed")
        self.is_empty = False
        # No other helper can go on with it.
        self._has_unnumbered_event = True
        headers = list(end_to_end_headers(head.headers))
        self._caller.start(head.status, [*headers, (b"content-length", b"%d" % size)])
        for chunk in chunks:
            self._caller.send(chunk)
        self._caller.finish()

    def respond(self, head: RawResponseHead, body: bytes) -> None:
        """Send a complete response.

        Raises:
            ConnectionLostError: If a part of another one was sent.
        """
        if not self.is_empty:
            raise ConnectionLostError("failed")
        headers = list(end_to_end_headers(head.headers))
        self._caller.respond(head.status, headers, body, size=head.body_bytes)


class Handover:
    """Hands over requests for services that this instance does not reach.

    Only the links between an instance and its targets may be cut, while its callers
    still send it requests: the load balancer removes it after seconds, and open
    connections stay. Other instances reach the targets. Each request goes to one of
    them at most once: a helper never hands it over again, and a request that a helper
    may have run goes to another one only if that helper has died, the request may be
    repeated and its route allows another run.

    Args:
        reach: Services that this instance does not reach.
        peers: The other instances and the services that they reach.
        port: TCP port at which all instances accept such requests.
        logger: Gets a line for each request that is handed over.
        budget: Limits repeats of requests whose helper has died.
        connect: Opens connections to other instances.
    """

    def __init__(
        self,
        reach: ServiceReach,
        peers: Peers,
        port: int,
        logger: Any,
        *,
        budget: RetryBudget,
        connect: Callable[..., Connection] = Connection,
    ) -> None:
        self._connect = connect
        self._budget = budget
        self._reach = reach
        self._peers = peers
        self._port = port
        self._logger = logger
        self._in_flight_by_id: Counter[str] = Counter()

    def is_needed(self, context: Context) -> bool:
        """Return whether a request can be served by another instance only."""
        return not context.is_relayed and self._reach.is_lost(context.service.name)

    def may_follow(self, error: RequestError, context: Context) -> bool:
        """Return whether a request that failed here may be handed over."""
        return error.ran is Ran.NO and self.is_needed(context)

    def serve(
        self,
        context: Context,
        caller: CallerConnection,
        *,
        serve_here: Callable[[Context], None],
    ) -> None:
        """Have another instance serve a request, and forward its response.

        Args:
            context: The request.
            caller: Connection that receives the response.
            serve_here: Serves the request at this instance. It is called behind a
                helper that died if this instance reaches the service again.

        Raises:
            RequestError: If no instance served it.
        """
        delivery = _Delivery(context, caller)
        tried: set[str] = set()
        refusals = 0
        pause = _FIRST_PAUSE_S
        while context.remaining > 0:
            helper = None
            if refusals < _MAX_HELPERS:
                helper = self._choose(context.service.name, tried)
            if helper is None:
                if not delivery.runs:
                    break
                if self._take_back(context, delivery, serve_here):
                    return
                eventlet.sleep(min(pause, context.remaining))
                pause = min(_MAX_PAUSE_S, 2.0 * pause)
                tried.clear()
                # One more helper may refuse it.
                refusals = min(refusals, _MAX_HELPERS - 1)
                continue
            tried.add(helper.id)
            incarnation = self._peers.incarnation_of(helper.id)
            try:
                self._serve_by(helper, context, delivery)
            except _HelperRefusedError as error:
                self._log(context, helper, error.reason)
                refusals += 1
            except ConnectionLostError as error:
                self._log(context, helper, error.reason)
                delivery.runs += 1
                if not delivery.may_follow() or not self._has_died(helper, incarnation):
                    break
            else:
                self._log(context, helper, "whole")
                return
        if delivery.runs:
            raise _broken_error()
        wait = self._reach.seconds_to_probe(context.service.name)
        raise context.rejection_error(
            ErrorKind.NO_TARGET,
            "no instance that reaches the service took the request",
            retry_after=add_jitter(wait),
        )

    def _take_back(
        self,
        context: Context,
        delivery: _Delivery,
        serve_here: Callable[[Context], None],
    ) -> bool:
        """Serve a request here if that is possible now; return whether it was.

        Raises:
            RequestError: If it failed.
        """
        service = context.service.name
        if not delivery.is_empty or self._reach.is_lost(service):
            return False
        repeat = self._budget.reserve(service)
        if repeat is None:
            return False
        try:
            serve_here(context.after_runs(delivery.runs))
        except RequestError as error:
            if error.ran is not Ran.NO:
                raise
            repeat.cancel()
            if error.kind not in _OTHER_HELPER_KINDS:
                raise _broken_error() from error
            return False
        return True

    def _has_died(self, helper: Helper, incarnation: str | None) -> bool:
        """Return whether a helper that broke off is gone, so that it runs nothing.

        The kernel may accept a connection while a killed process is being cleaned up,
        but resets it then.
        """
        if self._peers.incarnation_of(helper.id) != incarnation:
            return True
        address = Address(helper.host, self._port)
        try:
            connection = self._connect(address, limit=_CONNECT_LIMIT_S)
            with contextlib.closing(connection):
                connection.read_head(limit=_DYING_S)
        except ConnectionLostError as error:
            if error.reason == SILENT:
                return False
            self._peers.verify(helper.id)
            return True
        return False

    def _choose(self, service: str, tried: set[str]) -> Helper | None:
        helpers = [
            Helper(
                peer.contact.id,
                peer.contact.zone,
                peer.contact.host,
                peer.cores,
                self._in_flight_by_id[peer.contact.id],
            )
            for peer in self._peers.reaching(service)
            if peer.contact.id not in tried
        ]
        return choose_helper(helpers, self._peers.own.zone, self._peers.region)

    def _serve_by(self, helper: Helper, context: Context, delivery: _Delivery) -> None:
        """Have a helper serve a request.

        Raises:
            _HelperRefusedError: If the helper did not run it, and another one may.
            ConnectionLostError: If the helper broke off.
            RequestError: If it failed.
        """
        try:
            address = Address(helper.host, self._port)
            limit = min(_CONNECT_LIMIT_S, context.remaining)
            connection = self._connect(address, limit=limit)
        except ConnectionLostError as error:
            self._peers.verify(helper.id)
            raise _HelperRefusedError(error.reason) from error
        self._in_flight_by_id[helper.id] += 1
        try:
            self._exchange(helper, connection, context, delivery)
        finally:
            self._in_flight_by_id[helper.id] -= 1
            connection.close()

    def _exchange(
        self,
        helper: Helper,
        connection: Connection,
        context: Context,
        delivery: _Delivery,
    ) -> None:
        context.progress.is_sent = True
        connection.send(self._make_call(context, delivery), limit=context.remaining)

        def read(part: Callable[..., T]) -> T:
            return self._read_while_alive(helper, context, delivery, part)

        head = read(connection.read_head)
        error = decode_error(head.headers)
        if error is not None:
            self._handle_error(error, context, delivery)
        if head.status in NOT_RUN_STATUSES:
            # An instance marks its own promises and forwards none of a target.
            raise ConnectionLostError("unmarked")
        if not head.is_framed:
            # An instance always states it, so this is not the whole response.
            raise ConnectionLostError("cut")
        chunks = iter(lambda: read(connection.read_some), None)
        if context.route.kind is Kind.STREAM and head.is_success:
            has_part = context.head.last_event_id is not None
            self._forward_stream(
                head,
                delivery,
                chunks,
                connection,
                Remainder(context.memory),
                is_resumed=has_part or delivery.last_event is not None,
            )
            return
        self._forward_response(head, delivery, chunks, connection, context)

    def _forward_response(
        self,
        head: RawResponseHead,
        delivery: _Delivery,
        chunks: Iterator[bytes],
        connection: Connection,
        context: Context,
    ) -> None:
        """Forward a complete response, as it arrives if it is too large to be held.

        Raises:
            ConnectionLostError: If it breaks off or is too large.
        """
        memory = context.memory
        size = head.body_bytes if context.head.method != b"HEAD" else None
        if size is not None and size > _MAX_RESPONSE_BYTES:
            connection.refuse(TOO_LONG, "body", size)
        if size is not None and not memory.may_take(size):
            delivery.relay(head, size, chunks)
            return
        held = Remainder(memory)
        parts = Parts()
        try:
            held.resize(size or 0)
            for chunk in chunks:
                parts.append(chunk)
                held.resize(max(parts.size, size or 0))
        except MemoryShortError as error:
            connection.refuse(NO_MEMORY, "body", error.size)
        except ConnectionLostError:
            # Another helper may serve the request.
            held.resize(0)
            raise
        delivery.respond(head, parts.join())

    def _forward_stream(
        self,
        head: RawResponseHead,
        delivery: _Delivery,
        chunks: Iterator[bytes],
        connection: Connection,
        remainder: Remainder,
        *,
        is_resumed: bool,
    ) -> None:
        """Forward complete events until the stream ends.

        A resumed stream may have no event left.

        Raises:
            ConnectionLostError: If the stream broke off.
        """
        splitter = EventSplitter()
        for data in chunks:
            for event in splitter.feed(data):
                delivery.send(head, event)
            try:
                remainder.resize(splitter.remainder_size)
            except MemoryShortError as error:
                connection.refuse(NO_MEMORY, "event", error.size)
        is_nothing_left = is_resumed and splitter.is_empty
        if not (is_nothing_left or splitter.may_end()):
            raise ConnectionLostError(UNFINISHED)
        delivery.finish(head, splitter.remainder)

    def _make_call(self, context: Context, delivery: _Delivery) -> HttpCall:
        relayed = RelayedRequest(
            self._peers.own.id,
            max(0.0, now() - context.started_at) + _TRANSIT_S,
            context.version,
            delivery.runs,
            delivery.last_event,
            context.route.max_runs,
        )
        head = context.head
        headers = encode_request(context.headers, relayed, len(context.body))
        return HttpCall(head.method, head.path, headers, context.body)

    def _read_while_alive(
        self,
        helper: Helper,
        context: Context,
        delivery: _Delivery,
        part: Callable[..., T],
    ) -> T:
        """Read a part of a response for as long as the helper is alive.

        One that is not heard may be paused. A request that another instance could serve
        leaves it only once there is one.

        Raises:
            ConnectionLostError: If the helper broke off or is left.
        """
        incarnation = self._peers.incarnation_of(helper.id)
        while True:
            try:
                return part(limit=min(_ALIVE_CHECK_S, max(0.0, context.remaining)))
            except ConnectionLostError as error:
                is_alive = self._peers.incarnation_of(helper.id) == incarnation
                if error.reason != SILENT or context.remaining <= 0:
                    raise
                has_way = self._has_way(helper, context, delivery)
                stays = delivery.may_leave() and not has_way
                if not (is_alive or stays):
                    raise

    def _has_way(self, helper: Helper, context: Context, delivery: _Delivery) -> bool:
        """Return whether another instance, or this one, can go on with a request."""
        service = context.service.name
        if delivery.is_empty and not self._reach.is_lost(service):
            return True
        return self._choose(service, {helper.id}) is not None

    def _handle_error(
        self, error: RequestError, context: Context, delivery: _Delivery
    ) -> None:
        """Raise the error of a helper.

        Raises:
            _HelperRefusedError: If another helper may serve the request, or if one may
                have run it, whose outcome the caller is then told.
            RequestError: If not.
        """
        if error.ran is not Ran.NO:
            raise error
        if delivery.runs:
            raise _HelperRefusedError(error.kind)
        # Only the helper could have sent it to a target, and it did not.
        context.progress.is_sent = False
        if error.kind in _OTHER_HELPER_KINDS:
            raise _HelperRefusedError(error.kind)
        raise error

    def _log(self, context: Context, helper: Helper, outcome: str) -> None:
        self._logger.info(
            "handed_over",
            request=context.head.id,
            service=context.service.name,
            helper=helper.id,
            zone=helper.zone,
            outcome=outcome,
            left=round(context.remaining, 3),
        )
