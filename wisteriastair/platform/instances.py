"""The platform's instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx
import msgspec

from ..core.events import Instance

CALL_TIMEOUT_S: Final = 2.0


class InstanceList(ABC):
    """What the system needs of the instance list."""

    @abstractmethod
    async def read(self) -> tuple[Instance, ...] | None:
        """Return the list, with the platform's lag; None if it did not answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class _Row(msgspec.Struct):
    name: str
    role: str
    address: str
    domain: str
    leaving: bool = False
    servers: tuple[str, ...] = ()


_ROWS: Final = msgspec.json.Decoder(list[_Row])


class HttpInstanceList(InstanceList):
    """The instance list over HTTP."""

    def __init__(self, url: str) -> None:
        self._client = httpx.AsyncClient(base_url=url, timeout=CALL_TIMEOUT_S)

    async def read(self) -> tuple[Instance, ...] | None:
        """Return the list."""
        try:
            answer = await self._client.get("/v1/instances")
            if answer.status_code != httpx.codes.OK:
                return None
            rows = _ROWS.decode(answer.content)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
        return tuple(
            Instance(r.name, r.role, r.address, r.domain, r.leaving, r.servers)
            for r in rows
        )

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def make_instance_list(url: str) -> InstanceList:
    """Connect to the instance list at a URL."""
    return HttpInstanceList(url)
