"""Calls to a plain service: one POST with a JSON body."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import httpx

from ..core.events import BackendEnded
from ..core.wire import CallId, GateCall
from ..http1.fetch import DEFAULT_HEADERS, FetchError, fetch

CONNECT_TIMEOUT_S: Final = 2.0
MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024


class PlainService(ABC):
    """Interface of a plain service for its gate."""

    @abstractmethod
    async def run(self, call: GateCall) -> BackendEnded:
        """Run a call once, without retries."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class HttpPlainService(PlainService):
    """A plain service over HTTP."""

    def __init__(self, url: str) -> None:
        # A server may close a kept-alive connection just as a request is written to it.
        # It is then unknown whether the request ran.  With a new connection for each
        # call, this happens only on real failures.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(
            base_url=url, limits=limits, headers=DEFAULT_HEADERS
        )

    async def run(self, call: GateCall) -> BackendEnded:
        """Run a call."""
        headers = {
            "content-type": "application/json",
            "x-call": _format_call_header(call),
        }
        if call.trace:
            headers["traceparent"] = call.trace
        request = self._client.build_request(
            "POST",
            f"/{call.name}",
            content=call.body.encode(),
            headers=headers,
            timeout=httpx.Timeout(call.timeout_s, connect=CONNECT_TIMEOUT_S),
        )
        response = await fetch(
            self._client,
            request,
            max_bytes=MAX_RESPONSE_BYTES,
            timeout_s=call.timeout_s,
        )
        if isinstance(response, FetchError):
            if not response.was_sent:
                return _make_result(call.call, "refused", "no", "")
            return _make_result(call.call, "lost", "unknown", "")
        if response.status >= httpx.codes.INTERNAL_SERVER_ERROR:
            return _make_result(call.call, "error", "unknown", "")
        if response.status >= httpx.codes.BAD_REQUEST:
            text = f"error {response.status}: {response.text}"
            return _make_result(call.call, "ok", "yes", text)
        return _make_result(call.call, "ok", "yes", response.text)

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


def _format_call_header(call: GateCall) -> str:
    return f"{call.call.program}/{call.call.number}/{call.call.attempt}"


def _make_result(call: CallId, status: str, ran: str, text: str) -> BackendEnded:
    return BackendEnded(call, status, ran, text, (), 0, 0, 0)


def make_plain_service(url: str) -> PlainService:
    """Connect to a plain service at a URL."""
    return HttpPlainService(url)
