"""A caller: posts requests and checks whether their answers are whole."""

from typing import Any, NamedTuple

import eventlet
import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

_EVENT_END = b"\n\n"


class Reply(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        body: Parsed JSON, or the last event of a stream.
        text: The tokens of a stream, joined.
        tokens: Number of tokens received.
        whole: Whether the answer says that it is complete, and is.
    """

    status: int
    body: Any
    text: str = ""
    tokens: int = 0
    whole: bool = False


class Caller:
    """A caller of one team.

    Args:
        address: ``IP:port`` of an entry instance.
        key: The team's key.
        limit: Seconds after which to give up waiting.
    """

    def __init__(self, address: str, key: str, *, limit: float = 20.0) -> None:
        self._host, _, self._port = address.rpartition(":")
        self._key = key
        self._limit = limit

    def ask(
        self, path: str, body: Any = None, *, headers: dict[str, str] | None = None
    ) -> Reply:
        """Post JSON and read the whole answer."""
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
        return Reply(response.status, answer, whole=response.status == 200)


def _read_stream(status: int, data: bytes) -> Reply:
    texts: list[str] = []
    last: Any = {}
    ended = False
    for event in data.split(_EVENT_END):
        if event.startswith(b"event: "):
            name, _, payload = event.partition(b"\ndata: ")
            last = msgspec.json.decode(payload)
            ended = name == b"event: end"
        elif event.startswith(b"data: "):
            token = msgspec.json.decode(event[len(b"data: ") :])
            if token["index"] != len(texts):
                return Reply(status, {"kind": "gap"}, "".join(texts), len(texts))
            texts.append(token["text"])
    whole = ended and last.get("tokens") == len(texts)
    return Reply(status, last, "".join(texts), len(texts), whole)
