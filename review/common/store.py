"""A stand-in for the platform's metadata store: lists, items and watches."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from common.http import Message, read_message, response_bytes

# The store takes 4 ms an answer.
_ANSWER_S = 0.004
_PAGE_ITEMS = 500
_POLL_S = 0.05


class Store:
    """The store, with one revision counter and the history of all writes.

    Attributes:
        is_silent: Whether it answers nobody and takes no writes of replicas.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self._revision = 100
        self._item_by_key: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def write(self, key: str, value: bytes) -> int:
        """Write an item and return its revision, which confirms it."""
        self._revision += 1
        known = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "createdAt": known["createdAt"] if known else self._revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._tell(item)
        return self._revision

    def write_json(self, key: str, value: object) -> int:
        """Write an item whose value is JSON."""
        return self.write(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._item_by_key.pop(key, None) is not None:
            self._revision += 1
            gone = {"key": key, "revision": self._revision, "isDeleted": True}
            self._tell(gone)

    def _tell(self, event: dict) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                await asyncio.sleep(_ANSWER_S)
                if self.is_silent:
                    await self._wait_until_heard()
                    return
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                data = json.dumps(body).encode()
                writer.write(response_bytes(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _wait_until_heard(self) -> None:
        """Wait for the end of a silence; what was asked in it is never answered."""
        while self.is_silent:
            await asyncio.sleep(_POLL_S)

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-key":
            item = self._item_by_key.get(query.get("key", ""))
            return (404, {}) if item is None else (200, item | {"at": self._revision})
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = [k for k in sorted(self._item_by_key) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            items = [self._item_by_key[k] for k in keys[:_PAGE_ITEMS]]
            has_more = len(keys) > _PAGE_ITEMS
            return 200, {"items": items, "hasMore": has_more, "at": self._revision}
        if url.path == "/v1/kv-watch":
            after = int(query.get("after", "0"))
            wait = min(30.0, int(query.get("waitMs", "0")) / 1000.0)
            return 200, await self._watch(prefix, after, wait)
        return 404, {}

    async def _watch(self, prefix: str, after: int, wait: float) -> dict:
        def found() -> list[dict]:
            newer = (e for e in self._events if e["revision"] > after)
            return [e for e in newer if e["key"].startswith(prefix)]

        try:
            async with asyncio.timeout(wait):
                while not found():
                    await self._changed.wait()
        except TimeoutError:
            pass
        # What is written until the answer leaves is in it.
        await asyncio.sleep(_ANSWER_S)
        return {"events": found(), "at": self._revision}
