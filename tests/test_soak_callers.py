"""What a soak's caller takes for the response to a request."""

import unittest

import eventlet
from parameterized import parameterized

from bergamotsaddle_standins.soak_callers import CallerSocket, ReceivedResponse
from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

SHORT_S = 0.05
LONG_S = 5.0


def make_response(name, body, *, header="Id", end=None):
    """Return a response to a request.

    Args:
        name: Id of the request, empty to name none.
        body: Its body.
        header: Header that names the request.
        end: Number of bytes of the body after which it breaks off.
    """
    named = f"{header}: {name}\r\n" if name else ""
    head = f"HTTP/1.1 200 OK\r\n{named}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body[:end]


class LateResponseTest(unittest.TestCase):
    """Two requests on one connection, the first of which is given up."""

    def setUp(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.caller = CallerSocket(listener.getsockname())
        self.instance, _ = listener.accept()
        listener.close()
        self.addCleanup(self.caller.close)
        self.addCleanup(self.instance.close)

    def read_second(self, data):
        """Give up the first request, then read what an instance sends."""
        first = self.caller.read("r-0", SHORT_S)
        self.assertEqual((first.status, first.is_complete), (0, False))
        self.instance.sendall(data)
        self.instance.close()
        return self.caller.read("r-1", LONG_S)._replace(longest_pause=0.0)

    @parameterized.expand([("target", "Id"), ("instance", "X-Request-Id")])
    def test_a_late_response_belongs_to_the_first_request(self, _, header):
        """Guards against a late response that is read as the next one."""
        late = make_response("r-0", b"late", header=header)
        own = make_response("r-1", b"own", header=header)
        expected = ReceivedResponse(200, True, b"own", answered="r-1")
        self.assertEqual(self.read_second(late + own), expected)

    @parameterized.expand([("whole", None), ("part", 2)])
    def test_a_late_response_alone_answers_nothing(self, _, end):
        late = make_response("r-0", b"late", end=end)
        expected = ReceivedResponse(0, False, b"")
        self.assertEqual(self.read_second(late), expected)

    def test_a_late_response_comes_once(self):
        """Guards against an instance that may send a response twice unseen."""
        late = make_response("r-0", b"late")
        own = make_response("r-1", b"own")
        expected = ReceivedResponse(200, True, b"late", answered="r-0")
        self.assertEqual(self.read_second(late + late + own), expected)

    @parameterized.expand([("none", ""), ("unknown", "x")])
    def test_other_responses_are_kept_for_the_audit(self, _, name):
        expected = ReceivedResponse(200, True, b"own", answered=name)
        self.assertEqual(self.read_second(make_response(name, b"own")), expected)


if __name__ == "__main__":
    unittest.main()
