"""Decodes bodies that are sent in chunks, in steps of bounded work."""

import re

from bergamotsaddle_contracts.errors import BergamotsaddleError

# Bytes that are looked at in a step. Work on large chunks grows with their number, work
# on small ones with their bytes.
_BYTES_A_STEP = 65_536
_SMALL_BYTES_A_STEP = 2_048
_CHUNKS_A_STEP = 128
# Bytes of lines and extensions of chunks, beside the content of a body. The content
# allows for more of them, as chunks may be as small as a byte.
_MAX_FRAMING_BYTES = 131_072
_MAX_FRAMING_FACTOR = 16
_LINE_END = b"\r\n"
_TRAILERS_END = b"\r\n\r\n"
# Chunks of less than 16 bytes without extensions, which are decoded many at a time.
_SMALL = b"|".join(b"0{0,7}%x\r\n.{%d}\r\n" % (size, size) for size in range(1, 16))
_SMALL_CHUNK = re.compile(_SMALL, re.DOTALL | re.IGNORECASE)
_SMALL_CHUNKS = re.compile(b"(?:%b)++" % _SMALL, re.DOTALL | re.IGNORECASE)
_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")


class ChunkError(BergamotsaddleError):
    """The bytes of a body are no chunks, or have too much beside the content."""


class ChunkDecoder:
    """Decodes the chunks of one body.

    The time for a body grows with its bytes, and hardly with the number of its chunks:
    a caller may send each byte as a chunk of its own.

    Args:
        max_line: Maximum size of the line of a chunk, and of all trailers together.

    Attributes:
        size: Bytes of content that have been decoded.
        decoded: Bytes that have been decoded, with lines and extensions.
        is_complete: Whether the end of the body has been decoded.
        trailers: Lines of the trailers, with their ends.
    """

    def __init__(self, max_line: int) -> None:
        self._max_line = max_line
        self.decoded = 0
        self.size = 0
        # Bytes that are missing of the current chunk, without the end of its line.
        self._missing = 0
        self._is_in_chunk = False
        self._is_in_trailers = False
        self.is_complete = False
        self.trailers = b""

    def decode(self, received: bytearray) -> bytes:
        """Decode a number of chunks.

        Args:
            received: Bytes that have arrived; those that are decoded are removed.

        Returns:
            Content; nothing if more bytes are needed, or the body is complete.

        Raises:
            ChunkError: If the bytes are no chunks.
        """
        data = bytes(received[:_BYTES_A_STEP])
        content: list[bytes] = []
        at = 0
        while len(content) < _CHUNKS_A_STEP and not self.is_complete:
            before = at
            at = self._decode_next(data, at, content)
            if at == before:
                break
        del received[:at]
        decoded = b"".join(content)
        self.size += len(decoded)
        self.decoded += at
        framing = self.decoded - self.size
        if framing > _MAX_FRAMING_BYTES + _MAX_FRAMING_FACTOR * self.size:
            raise ChunkError("the chunks have too long extensions")
        return decoded

    def _decode_next(self, data: bytes, at: int, content: list[bytes]) -> int:
        """Decode what begins at a position; return the position behind it."""
        if self._is_in_trailers:
            return self._decode_trailers(data, at)
        if self._is_in_chunk:
            return self._decode_rest(data, at, content)
        small = _SMALL_CHUNKS.match(data, at, at + _SMALL_BYTES_A_STEP)
        if small is not None:
            chunks = _SMALL_CHUNK.findall(data, at, small.end())
            content += [chunk[chunk.index(b"\n") + 1 : -2] for chunk in chunks]
            return small.end()
        line = _LINE.match(data, at)
        if line is None:
            self._check_unfinished_line(data, at)
            return at
        size = int(line[1], 16)
        start, end = line.end(), line.end() + size
        if not size:
            self._is_in_trailers = True
            return start
        if len(data) < end + len(_LINE_END):
            self._is_in_chunk = True
            self._missing = size
            return start
        _check_line_end(data, end)
        content.append(data[start:end])
        return end + len(_LINE_END)

    def _decode_rest(self, data: bytes, at: int, content: list[bytes]) -> int:
        """Decode bytes of a chunk whose line has been decoded."""
        part = data[at : at + self._missing]
        if part:
            content.append(part)
            self._missing -= len(part)
            return at + len(part)
        if self._missing or len(data) < at + len(_LINE_END):
            return at
        _check_line_end(data, at)
        self._is_in_chunk = False
        return at + len(_LINE_END)

    def _decode_trailers(self, data: bytes, at: int) -> int:
        """Decode the trailers once all of them have arrived."""
        if data.startswith(_LINE_END, at):
            self.is_complete = True
            return at + len(_LINE_END)
        end = data.find(_TRAILERS_END, at)
        size = (end if end >= 0 else len(data)) - at
        if size > self._max_line:
            raise ChunkError("the trailers are too long")
        if end < 0:
            return at
        self.trailers = data[at : end + len(_LINE_END)]
        self.is_complete = True
        return end + len(_TRAILERS_END)

    def _check_unfinished_line(self, data: bytes, at: int) -> None:
        """Raise an error unless a line may become one of a chunk."""
        if data.find(_LINE_END, at) >= 0:
            raise ChunkError("the size of a chunk is malformed")
        if len(data) - at > self._max_line:
            raise ChunkError("the line of a chunk is too long")


def _check_line_end(data: bytes, at: int) -> None:
    if not data.startswith(_LINE_END, at):
        raise ChunkError("a chunk is longer than it says")
