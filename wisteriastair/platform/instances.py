"""Client of the platform's instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx
import msgspec

from ..core.events import Instance
from ..decoding import DECODE_ERRORS

CALL_TIMEOUT_S: Final = 2.0


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
        self._client = httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT_S)

    async def read(self) -> tuple[Instance, ...] | None:
        """Return the list."""
        try:
            response = await self._client.get("/v1/instances")
            if response.status_code != httpx.codes.OK:
                return None
            rows = _ROWS_DECODER.decode(response.content)
        except (httpx.HTTPError, *DECODE_ERRORS):
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
