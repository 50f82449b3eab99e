"""Client of the platform's key-value service.

The protocol is plain HTTP: read, compare-and-swap by revision, and watch by long poll.
For another service, implement `KeyValueStore`.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx
import msgspec

from ..core.events import KvConflict, KvUnknown, KvValue, KvWritten
from ..decoding import DECODE_ERRORS
from ..http1.fetch import DEFAULT_HEADERS, Fetched, FetchError, fetch

# Seconds within which a configuration must be in force in all processes.
CHANGE_DEADLINE_S: Final = 8.0
CALL_TIMEOUT_S: Final = 2.0
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
# A watch sent while the service is unresponsive never gets a response.  Its timeout,
# the time for its response, the pause after it and the time for a change to reach all
# other processes must add up to at most `CHANGE_DEADLINE_S`.
WATCH_TIMEOUT_S: Final = 4.0


class WatchedItem(msgspec.Struct):
    """A changed key in the response to a watch."""

    key: str
    revision: int
    value: bytes


class KeyValueStore(ABC):
    """Interface to the key-value service."""

    @abstractmethod
    async def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key; a missing key has revision 0."""

    @abstractmethod
    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        """Write a key if it is still at the given revision.

        Without a response the outcome is unknown: the write may still take effect.
        """

    @abstractmethod
    async def watch(self, after: int) -> list[KvValue] | None:
        """Wait for changes after a revision; None without a response."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class _ReadResponse(msgspec.Struct):
    revision: int
    value: bytes


class _WriteResponse(msgspec.Struct):
    revision: int


_ITEMS_DECODER: Final = msgspec.json.Decoder(list[WatchedItem])


class HttpKeyValueStore(KeyValueStore):
    """Client of the key-value service over HTTP."""

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(base_url=url, headers=DEFAULT_HEADERS)

    async def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key."""
        response = await self._fetch("GET", f"/v1/kv/{key}")
        if isinstance(response, FetchError):
            return KvUnknown(key, False)
        if response.status == httpx.codes.NOT_FOUND:
            return KvValue(key, 0, b"")
        if response.status != httpx.codes.OK:
            return KvUnknown(key, False)
        try:
            body = msgspec.json.decode(response.body, type=_ReadResponse)
        except DECODE_ERRORS:
            return KvUnknown(key, False)
        return KvValue(key, body.revision, body.value)

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        """Write a key by compare-and-swap."""
        response = await self._fetch(
            "PUT", f"/v1/kv/{key}", params={"revision": revision}, content=value
        )
        if isinstance(response, FetchError):
            return KvUnknown(key, True)
        if response.status == httpx.codes.CONFLICT:
            return KvConflict(key)
        if response.status != httpx.codes.OK:
            return KvUnknown(key, True)
        try:
            body = msgspec.json.decode(response.body, type=_WriteResponse)
        except DECODE_ERRORS:
            return KvUnknown(key, True)
        return KvWritten(key, body.revision, value)

    async def watch(self, after: int) -> list[KvValue] | None:
        """Wait for changes by long poll."""
        response = await self._fetch(
            "GET",
            "/v1/watch",
            params={"after": after, "wait": WATCH_TIMEOUT_S},
            timeout_s=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if isinstance(response, FetchError) or response.status != httpx.codes.OK:
            return None
        try:
            items = _ITEMS_DECODER.decode(response.body)
        except DECODE_ERRORS:
            return None
        return [KvValue(item.key, item.revision, item.value) for item in items]

    async def _fetch(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, float] | None = None,
        content: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Fetched | FetchError:
        request = self._client.build_request(
            method, path, params=params, content=content, timeout=timeout_s
        )
        return await fetch(
            self._client, request, max_bytes=MAX_RESPONSE_BYTES, timeout_s=timeout_s
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def make_key_value_store(url: str) -> KeyValueStore:
    """Create a client of the key-value service at a URL."""
    return HttpKeyValueStore(url)
