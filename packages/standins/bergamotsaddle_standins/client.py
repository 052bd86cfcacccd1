"""An HTTP client that posts requests and checks that responses are complete."""

from typing import Any, NamedTuple

import eventlet
import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

_EVENT_END = b"\n\n"


class Reply(NamedTuple):
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        body: Parsed JSON, or the last event of a stream.
        text: The concatenated tokens of a stream.
        tokens: Number of tokens received.
        is_complete: Whether the response is marked as complete and nothing is missing.
    """

    status: int
    body: Any
    text: str = ""
    tokens: int = 0
    is_complete: bool = False


class Caller:
    """A caller that belongs to one team.

    Args:
        address: ``IP:port`` of an entry instance.
        key: The team's key.
        limit: Seconds to wait for a response.
    """

    def __init__(self, address: str, key: str, *, limit: float = 20.0) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._key = key
        self._limit = limit

    def post(
        self, path: str, body: Any = None, *, headers: dict[str, str] | None = None
    ) -> Reply:
        """Post JSON and read the response to its end.

        A failed connection or a timeout gives a reply with status 0.
        """
        connection = HTTPConnection(self._host, int(self._port))
        try:
            with eventlet.Timeout(self._limit):
                return self._exchange(connection, path, body, headers or {})
        except (HTTPError, OSError, msgspec.DecodeError, eventlet.Timeout) as error:
            return Reply(0, repr(error))
        finally:
            connection.close()

    def _exchange(
        self, connection: HTTPConnection, path: str, body: Any, headers: dict[str, str]
    ) -> Reply:
        sent = {"Authorization": f"Bearer {self._key}", **headers}
        payload = msgspec.json.encode(body or {})
        connection.request("POST", path, body=payload, headers=sent)
        response = connection.getresponse()
        if response.headers.get("Content-Type") == "text/event-stream":
            return _read_stream(response.status, response.data)
        answer = msgspec.json.decode(response.data)
        return Reply(response.status, answer, is_complete=response.status == 200)


def _read_stream(status: int, data: bytes) -> Reply:
    texts: list[str] = []
    last: Any = {}
    has_ended = False
    for event in data.split(_EVENT_END):
        if event.startswith(b"event: "):
            name, _, payload = event.partition(b"\ndata: ")
            last = msgspec.json.decode(payload)
            has_ended = name == b"event: end"
        elif event.startswith(b"data: "):
            token = msgspec.json.decode(event[len(b"data: ") :])
            if token["index"] != len(texts):
                return Reply(status, {"kind": "gap"}, "".join(texts), len(texts))
            texts.append(token["text"])
    is_complete = has_ended and last.get("tokens") == len(texts)
    return Reply(status, last, "".join(texts), len(texts), is_complete)
