"""Client of the platform's instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx
import msgspec

from ..core.events import Instance
from ..decoding import DECODE_ERRORS
from ..http1.fetch import DEFAULT_HEADERS, FetchError, fetch

CALL_TIMEOUT_S: Final = 2.0
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024


class InstanceList(ABC):
    """Interface to the instance list."""

    @abstractmethod
    async def read(self) -> tuple[Instance, ...] | None:
        """Return the list, which may be out of date, or None without a response."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class _InstanceRow(msgspec.Struct):
    name: str
    role: str
    address: str
    domain: str
    leaving: bool = False
    servers: tuple[str, ...] = ()


_ROWS_DECODER: Final = msgspec.json.Decoder(list[_InstanceRow])


class HttpInstanceList(InstanceList):
    """Client of the instance list over HTTP."""

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=url, timeout=CALL_TIMEOUT_S, headers=DEFAULT_HEADERS
        )

    async def read(self) -> tuple[Instance, ...] | None:
        """Return the list."""
        response = await fetch(
            self._client,
            self._client.build_request("GET", "/v1/instances"),
            max_bytes=MAX_RESPONSE_BYTES,
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(response, FetchError) or response.status != httpx.codes.OK:
            return None
        try:
            rows = _ROWS_DECODER.decode(response.body)
        except DECODE_ERRORS:
            return None
        return tuple(
            Instance(r.name, r.role, r.address, r.domain, r.leaving, r.servers)
            for r in rows
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def make_instance_list(url: str) -> InstanceList:
    """Create a client of the instance list at a URL."""
    return HttpInstanceList(url)
