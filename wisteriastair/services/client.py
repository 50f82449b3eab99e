"""Calls to a plain service: one POST with a JSON body."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx

from ..core.events import BackendEnded
from ..core.wire import CallId, GateCall

CONNECT_S: Final = 2.0


class PlainService(ABC):
    """What a gate needs of a plain service."""

    @abstractmethod
    async def run(self, call: GateCall) -> BackendEnded:
        """Run a call once; nothing is repeated here."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class HttpPlainService(PlainService):
    """A plain service over HTTP."""

    def __init__(self, url: str) -> None:
        # A kept-alive connection may have been closed by the other end just as a
        # request is written to it, and then nobody can tell whether it ran.  A new
        # connection for each call leaves that doubt only for real failures.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(base_url=url, limits=limits)

    async def run(self, call: GateCall) -> BackendEnded:
        """Run a call."""
        headers = {"content-type": "application/json", "x-call": _call_header(call)}
        if call.trace:
            headers["traceparent"] = call.trace
        timeout = httpx.Timeout(call.timeout_s, connect=CONNECT_S)
        try:
            answer = await self._client.post(
                f"/{call.name}",
                content=call.body.encode(),
                headers=headers,
                timeout=timeout,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return _ended(call.call, "refused", "no", "")
        except httpx.HTTPError:
            return _ended(call.call, "lost", "unknown", "")
        if answer.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            return _ended(call.call, "error", "unknown", "")
        if answer.is_client_error:
            text = f"error {answer.status_code}: {answer.text}"
            return _ended(call.call, "ok", "yes", text)
        return _ended(call.call, "ok", "yes", answer.text)

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def _call_header(call: GateCall) -> str:
    return f"{call.call.program}/{call.call.number}/{call.call.attempt}"


def _ended(call: CallId, status: str, ran: str, text: str) -> BackendEnded:
    return BackendEnded(call, status, ran, text, (), 0, 0, 0)


def make_plain_service(url: str) -> PlainService:
    """Connect to a plain service at a URL."""
    return HttpPlainService(url)
