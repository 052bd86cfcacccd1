"""Finds out whether the process behind a target's address is still the same."""

import contextlib
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import (
    CROSSED,
    SILENT,
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.messages import Dialect, ResponseHead
from bergamotsaddle_serving.target_notices import TargetNotices

_OK = 200
_MISDIRECTED = 421
_MAX_BODY_BYTES = 65_536
# A sound target may be silent for a second. A caller that waits for the end of a stream
# leaves after two.
_LIMIT_S = 1.5
# A target that does not say at once whether it has restarted is believed, and nothing
# is sent to it before that.
_RESTART_LIMIT_S = 0.3
# Signs that name no failure of a connection.
_RESPONDS = "responds"
_REPLACED = "replaced"
_UNSTATED = "unstated"
_MALFORMED = "malformed"
_FOREIGN = "foreign"

_Key = tuple[str, int]


class TargetLife:
    """Finds out whether the process behind a target's address is still the same.

    A response without a length or chunks ends with its connection, and the kernel
    closes the connections of a process that has crashed in the same way. That something
    accepts connections at the address of the target is no sign of life: a relay does,
    or the next incarnation. So the target is asked when it started, and has to respond.

    The next incarnation may have other software than the target's entry names, which
    may be older.

    Many responses may end at once. They share the next question that is sent, as a
    target resets connections beyond those that it accepts.

    Args:
        pool: Connections to targets.
        dialect: Makes and decodes the calls.
        notices: Reads what targets say about themselves.
        logger: Logger of this instance.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        notices: TargetNotices,
        logger: Any,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._notices = notices
        self._logger = logger
        # By incarnation: the question that waits to be sent, and the one before it.
        self._next_by_incarnation: dict[_Key, GreenThread] = {}
        self._sent_by_incarnation: dict[_Key, GreenThread] = {}

    def has_outlived(self, target: Target, request: str) -> bool:
        """Return whether a target has outlived its unframed response.

        A target whose entry does not say when it started is believed once it responds.

        Args:
            target: The target.
            request: Id of the request that it responded to.
        """
        started_at = now()
        sign = self._await_sign(target, _LIMIT_S)
        self._logger.info(
            "unframed_end",
            request=request,
            target=target.id,
            sign=sign,
            is_whole=sign == _RESPONDS,
            seconds=round(now() - started_at, 3),
        )
        return sign == _RESPONDS

    def has_restarted(self, target: Target, request: str) -> bool:
        """Return whether a target has started again since its entry was written.

        A target that can't tell is believed to be the one of its entry.

        Args:
            target: The target.
            request: Id of the request that it is to run.
        """
        started_at = now()
        sign = self._await_sign(target, _RESTART_LIMIT_S)
        self._logger.info(
            "start_asked",
            request=request,
            target=target.id,
            sign=sign,
            has_restarted=sign == _REPLACED,
            seconds=round(now() - started_at, 3),
        )
        return sign == _REPLACED

    def _await_sign(self, target: Target, limit: float) -> str:
        with eventlet.Timeout(limit, False):
            return self._share_question(target).wait()
        return SILENT

    def _share_question(self, target: Target) -> GreenThread:
        """Return the next question to a target; its result is the sign."""
        key = target.incarnation
        question = self._next_by_incarnation.get(key)
        if question is None:
            earlier = self._sent_by_incarnation.get(key)
            # In a green thread of its own: the caller that asks first may leave.
            question = eventlet.spawn(self._run_question, target, earlier)
            self._next_by_incarnation[key] = question
        return question

    def _run_question(self, target: Target, earlier: GreenThread | None) -> str:
        if earlier is not None:
            # An error is for those that share that question.
            with contextlib.suppress(Exception):
                earlier.wait()
        key = target.incarnation
        question = self._next_by_incarnation.pop(key)
        self._sent_by_incarnation[key] = question
        try:
            return self._find_sign(target, now() + _LIMIT_S)
        finally:
            if self._sent_by_incarnation[key] is question:
                del self._sent_by_incarnation[key]

    def _find_sign(self, target: Target, until: float) -> str:
        """Ask a target, on a new connection if the idle ones have ended meanwhile."""
        try:
            idle = self._pool.take_idle(target.address)
            if idle is not None:
                return self._ask(target, idle, until)
        except ConnectionLostError as error:
            if error.reason == SILENT:
                return SILENT
        try:
            connection = self._pool.open(target.address, limit=until - now())
            return self._ask(target, connection, until)
        except ConnectionLostError as error:
            return error.reason

    def _ask(self, target: Target, connection: Connection, until: float) -> str:
        """Ask a target when it started.

        Raises:
            ConnectionLostError: If it does not respond.
        """
        call = self._dialect.query_start(target)
        try:
            connection.send(call, limit=until - now())
            head = connection.read_head(limit=until - now())
            body = connection.read_body(limit=until - now(), max_bytes=_MAX_BODY_BYTES)
            response = self._dialect.read_response(head.headers)
            if response.request_id:
                raise ConnectionLostError(CROSSED)
        except BaseException:
            connection.close()
            raise
        self._notices.read(target, head.status, response)
        self._pool.release(connection, response.keep_alive_seconds)
        return self._read_sign(target, head.status, response, body)

    def _read_sign(
        self, target: Target, status: int, response: ResponseHead, body: bytes
    ) -> str:
        if status == _MISDIRECTED:
            return _REPLACED
        if status != _OK:
            # A target marks its rejections, a relay before it does not.
            return _RESPONDS if response.not_run else _FOREIGN
        try:
            started_ms = self._dialect.read_start(body)
        except ValueError:
            return _MALFORMED
        if started_ms == target.started_ms or not target.started_ms:
            return _RESPONDS
        return _REPLACED if started_ms else _UNSTATED
