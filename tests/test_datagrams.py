"""Datagrams from many peers to one instance."""

import unittest
from unittest import mock

import eventlet
from eventlet import hubs

from bergamotsaddle_serving.datagrams import DatagramSocket
from tests._paused import settle, use_paused_clock

HOST = "127.0.0.1"
COUNT = 200


class DatagramSocketTest(unittest.TestCase):
    """One receiving and one sending socket."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.reader = DatagramSocket(HOST, 0)
        self.address = self.reader._socket.getsockname()
        self.sender = DatagramSocket(HOST, 0)
        self.received = []
        self.thread = eventlet.spawn(self._read)

    def tearDown(self):
        self.thread.kill()
        hub = hubs.get_hub()
        hub.remove_descriptor(self.reader._socket.fileno())
        self.reader.close()
        self.sender.close()

    def _read(self):
        self.reader.open()
        for data, _ in self.reader.read():
            self.received.append(data)

    def test_datagrams_are_read_with_one_registration(self):
        """Guards against two extra system calls for each datagram received."""
        settle()
        hub = hubs.get_hub()
        with mock.patch.object(hub, "add", wraps=hub.add) as add:
            for number in range(COUNT):
                self.sender.send(b"%d" % number, self.address)
                if number % 10 == 0:
                    settle()
            settle()
        self.assertEqual(self.received, [b"%d" % number for number in range(COUNT)])
        add.assert_not_called()
