"""Targets that leave, or whose zone is evacuated, while a connection to them opens."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_serving.attempt import Attempt, NotRunError
from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.decisions.stage_queue import PieceKey
from bergamotsaddle_serving.messages import Dispatch
from bergamotsaddle_serving.stage_calls import StageCalls
from tests._paused import advance
from tests.test_serving_view import TARGET, at, entry, make_view

CONNECT_S = 0.3
CHANGES = [
    ("draining", entry("servers/t", 5, TARGET, state="draining")),
    ("removed", entry("servers/t", 5)),
    ("restarted", entry("servers/t", 5, TARGET, born=6)),
    ("evacuated", entry("op/evacuate/a", 5, {})),
]


class SlowPool:
    """A connection pool whose connections take time to open.

    Attributes:
        connection: The only connection.
    """

    def __init__(self):
        self.connection = mock.Mock()

    def acquire(self, address, *, limit=1.0):
        """Open the connection."""
        eventlet.sleep(CONNECT_S)
        return self.connection


class LeavingTest(unittest.TestCase):
    """A target whose leave becomes known while a connection to it opens."""

    def setUp(self):
        self.view = make_view()
        self.view.apply([entry("servers/t", 4, TARGET)], at(4), source="test")
        self.target = self.view.usable("s")[0].target
        self.pool = SlowPool()

    def run_beside(self, work, change):
        """Apply a change while some work waits for its connection.

        Returns:
            The error that the work raised.
        """
        errors = []

        def run():
            try:
                work()
            except (NotRunError, ConnectionLostError) as error:
                errors.append(error)

        eventlet.spawn_n(run)
        advance(CONNECT_S / 2)
        self.view.apply([change], change.position, source="test")
        advance(CONNECT_S)
        self.assertEqual(len(errors), 1)
        return errors[0]

    @parameterized.expand(CHANGES)
    def test_a_request_is_not_sent(self, _, change):
        """Guards against requests that reach a target after the bound on its leave."""
        context = mock.MagicMock()
        context.progress.is_sent = False
        attempt = Attempt(context, mock.MagicMock(), self.pool, mock.MagicMock())

        def send():
            with attempt:
                attempt.send(
                    Dispatch(self.target, 1.0),
                    limit=1.0,
                    may_send=lambda: self.view.may_get_work(self.target),
                )

        error = self.run_beside(send, change)
        self.assertIsInstance(error, NotRunError)
        self.assertFalse(context.progress.is_sent)
        self.pool.connection.send.assert_not_called()

    @parameterized.expand(CHANGES)
    def test_pieces_are_not_sent(self, _, change):
        """Guards against stage calls that reach a target after the bound."""
        rates = mock.Mock(reserve=lambda target, request, urgency: True)
        calls = StageCalls(
            self.view,
            self.pool,
            mock.MagicMock(),
            mock.Mock(),
            rates,
            notices=mock.Mock(),
        )
        piece = mock.Mock(urgency=0, expires_at=0.0, key=PieceKey("r", 0, 0, 0))
        error = self.run_beside(lambda: calls.run(self.target, [piece], 1.0), change)
        self.assertTrue(error.is_unsent)
        self.pool.connection.exchange.assert_not_called()
