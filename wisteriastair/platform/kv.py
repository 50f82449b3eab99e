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

# Seconds within which a configuration must be in force in all processes.
CHANGE_DEADLINE_S: Final = 8.0
CALL_TIMEOUT_S: Final = 2.0
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
        self._client = httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT_S)

    async def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key."""
        try:
            response = await self._client.get(f"/v1/kv/{key}")
            if response.status_code == httpx.codes.NOT_FOUND:
                return KvValue(key, 0, b"")
            if response.status_code != httpx.codes.OK:
                return KvUnknown(key, False)
            body = msgspec.json.decode(response.content, type=_ReadResponse)
        except (httpx.HTTPError, *DECODE_ERRORS):
            return KvUnknown(key, False)
        return KvValue(key, body.revision, body.value)

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        """Write a key by compare-and-swap."""
        try:
            response = await self._client.put(
                f"/v1/kv/{key}", params={"revision": revision}, content=value
            )
            if response.status_code == httpx.codes.CONFLICT:
                return KvConflict(key)
            if response.status_code != httpx.codes.OK:
                return KvUnknown(key, True)
            body = msgspec.json.decode(response.content, type=_WriteResponse)
        except (httpx.HTTPError, *DECODE_ERRORS):
            return KvUnknown(key, True)
        return KvWritten(key, body.revision, value)

    async def watch(self, after: int) -> list[KvValue] | None:
        """Wait for changes by long poll."""
        try:
            response = await self._client.get(
                "/v1/watch",
                params={"after": after, "wait": WATCH_TIMEOUT_S},
                timeout=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
            )
            if response.status_code != httpx.codes.OK:
                return None
            items = _ITEMS_DECODER.decode(response.content)
        except (httpx.HTTPError, *DECODE_ERRORS):
            return None
        return [KvValue(item.key, item.revision, item.value) for item in items]

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def make_key_value_store(url: str) -> KeyValueStore:
    """Create a client of the key-value service at a URL."""
    return HttpKeyValueStore(url)
