"""The platform's key-value service.

The protocol spoken here is plain HTTP: read, compare-and-swap by revision, and watch
by long poll.  Users with another service implement `KeyValueStore`.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx
import msgspec

from ..core.events import KvConflict, KvUnknown, KvValue, KvWritten

# Seconds within which a configuration has to be in force everywhere.
CHANGE_S: Final = 8.0
CALL_TIMEOUT_S: Final = 2.0
# A watch sent while the service is silent is never answered.  Its time, that of its
# answer, the pause after it and the way to all others end within `CHANGE_S`.
WATCH_S: Final = 4.0


class WatchedItem(msgspec.Struct):
    """One changed key in a watch answer."""

    key: str
    revision: int
    value: bytes


class KeyValueStore(ABC):
    """What the system needs of the key-value service."""

    @abstractmethod
    async def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key; an absent one has revision 0."""

    @abstractmethod
    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        """Write a key if it is still at a revision.

        Without an answer the outcome is unknown: the write may still take effect.
        """

    @abstractmethod
    async def watch(self, after: int) -> list[KvValue] | None:
        """Wait for changes after a revision; None if the service did not answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class _Read(msgspec.Struct):
    revision: int
    value: bytes


class _Written(msgspec.Struct):
    revision: int


_ITEMS: Final = msgspec.json.Decoder(list[WatchedItem])


class HttpKeyValue(KeyValueStore):
    """The key-value service over HTTP."""

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT_S)

    async def read(self, key: str) -> KvValue | KvUnknown:
        """Read a key."""
        try:
            answer = await self._client.get(f"/v1/kv/{key}")
            if answer.status_code == httpx.codes.NOT_FOUND:
                return KvValue(key, 0, b"")
            if answer.status_code != httpx.codes.OK:
                return KvUnknown(key, False)
            body = msgspec.json.decode(answer.content, type=_Read)
        except (httpx.HTTPError, msgspec.DecodeError):
            return KvUnknown(key, False)
        return KvValue(key, body.revision, body.value)

    async def swap(
        self, key: str, revision: int, value: bytes
    ) -> KvWritten | KvConflict | KvUnknown:
        """Write a key by compare-and-swap."""
        try:
            answer = await self._client.put(
                f"/v1/kv/{key}", params={"revision": revision}, content=value
            )
            if answer.status_code == httpx.codes.CONFLICT:
                return KvConflict(key)
            if answer.status_code != httpx.codes.OK:
                return KvUnknown(key, True)
            body = msgspec.json.decode(answer.content, type=_Written)
        except (httpx.HTTPError, msgspec.DecodeError):
            return KvUnknown(key, True)
        return KvWritten(key, body.revision, value)

    async def watch(self, after: int) -> list[KvValue] | None:
        """Wait for changes by long poll."""
        try:
            answer = await self._client.get(
                "/v1/watch",
                params={"after": after, "wait": WATCH_S},
                timeout=WATCH_S + CALL_TIMEOUT_S,
            )
            if answer.status_code != httpx.codes.OK:
                return None
            items = _ITEMS.decode(answer.content)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
        return [KvValue(item.key, item.revision, item.value) for item in items]

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def make_key_value_store(url: str) -> KeyValueStore:
    """Connect to the key-value service at a URL."""
    return HttpKeyValue(url)
