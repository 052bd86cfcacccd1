"""Plain HTTP/1.1 messages over asyncio streams, as the stand-ins speak it."""

import asyncio
from typing import NamedTuple

_MAX_HEAD_BYTES = 262_144


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        start: Words of the first line.
        headers: Headers, names in lower case.
        body: The whole body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whole; return None if the channel ends before it begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    first, second, third = (lines[0].split(" ", 2) + ["", ""])[:3]
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await _read_body(reader, headers)
    return Message((first, second, third), headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b"", reason: str = "X"
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request with a length if it has a body."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Consumer:
    """A consumer with one kept channel to a machine.

    Args:
        address: Host and port of the machine.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit: float = 10.0,
    ) -> Message | None:
        """Send a request; return the whole answer, None if the channel ends."""
        data = request_bytes(method, path, headers, body)
        try:
            async with asyncio.timeout(limit):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address, limit=_MAX_HEAD_BYTES
                    )
                await self._send(data)
                answer = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
