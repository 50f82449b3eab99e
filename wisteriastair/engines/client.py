"""Calls to a model engine: OpenAI-style streaming completions.

In addition to the common protocol, an engine accepts a request id, a program id for its
cache, a priority and an output prefix to continue.  It resumes a stream by request id
and offset, cancels requests, and lists and releases the cached memory of programs.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import anyio
import httpx
import msgspec

from ..core.events import BackendEnded
from ..core.records import Action
from ..core.wire import CallId, GateCall
from ..decoding import DECODE_ERRORS
from ..http1.fetch import (
    DEFAULT_HEADERS,
    Fetched,
    FetchError,
    TooLarge,
    fetch,
    read_lines,
)

CONNECT_TIMEOUT_S: Final = 2.0
STALL_TIMEOUT_S: Final = 5.0
MAX_RESUMES: Final = 3
MAX_LINE_BYTES: Final = 1024 * 1024
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
DATA_PREFIX: Final = b"data: "
END_OF_STREAM: Final = b"[DONE]"

EmitText = Callable[[str], None]


class Engine(ABC):
    """Interface of a model engine for its gate."""

    @abstractmethod
    async def run(self, call: GateCall, emit: EmitText) -> BackendEnded:
        """Run a model call; pass its output to ``emit`` as it arrives."""

    @abstractmethod
    async def cancel(self, call: CallId) -> None:
        """Cancel a running call."""

    @abstractmethod
    async def release(self, programs: tuple[str, ...]) -> bool:
        """Release the cached memory of programs; return whether this succeeded."""

    @abstractmethod
    async def cached_programs(self) -> tuple[str, ...] | None:
        """Return the programs with cached memory; None if the request failed."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class _ToolCall(msgspec.Struct):
    name: str
    arguments: str


class _Delta(msgspec.Struct):
    content: str = ""
    tool_calls: tuple[_ToolCall, ...] = ()


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...]
    usage: _Usage | None = None


_CHUNK_DECODER: Final = msgspec.json.Decoder(_Chunk)
_PROGRAMS_DECODER: Final = msgspec.json.Decoder(tuple[str, ...])


class _Progress:
    """Output of a stream so far, over all its connections."""

    def __init__(self) -> None:
        self.text_length = 0
        self.actions: tuple[Action, ...] = ()
        self.usage = _Usage()
        self.finish_reason = ""


def request_id(call: CallId) -> str:
    """Return the id of a call in requests to the engine."""
    return f"{call.program}/{call.number}/{call.attempt}"


class HttpEngine(Engine):
    """A model engine over HTTP."""

    def __init__(self, url: str) -> None:
        timeout = httpx.Timeout(STALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=16)
        self._client = httpx.AsyncClient(
            base_url=url, timeout=timeout, limits=limits, headers=DEFAULT_HEADERS
        )

    async def run(self, call: GateCall, emit: EmitText) -> BackendEnded:
        """Run a call; resume over a new connection if the stream breaks or stalls."""
        progress = _Progress()
        with anyio.move_on_after(call.timeout_s):
            return await self._run(call, progress, emit)
        return _make_result(call.call, "lost", "unknown", progress)

    async def _run(
        self, call: GateCall, progress: _Progress, emit: EmitText
    ) -> BackendEnded:
        try:
            await self._stream(self._build_request(call), progress, emit)
        except httpx.ConnectError:
            return _make_result(call.call, "refused", "no", progress)
        except httpx.HTTPStatusError as exc:
            if exc.response.status_code == httpx.codes.TOO_MANY_REQUESTS:
                return _make_result(call.call, "refused", "no", progress)
            return _make_result(call.call, "error", "yes", progress)
        except (httpx.HTTPError, *DECODE_ERRORS):
            await self._resume(call.call, progress, emit)
        status = "ok" if progress.finish_reason else "lost"
        ran = "yes" if progress.finish_reason else "unknown"
        return _make_result(call.call, status, ran, progress)

    def _build_request(self, call: GateCall) -> httpx.Request:
        body: dict[str, Any] = msgspec.json.decode(call.body)
        body |= {
            "model": call.name,
            "stream": True,
            "request_id": request_id(call.call),
            "program": call.call.program,
            "priority": call.priority,
            "max_tokens": call.max_tokens,
        }
        headers = {"traceparent": call.trace} if call.trace else {}
        return self._client.build_request(
            "POST", "/v1/chat/completions", json=body, headers=headers
        )

    async def _resume(self, call: CallId, progress: _Progress, emit: EmitText) -> None:
        """Resume a broken stream over a new connection.

        The engine still has the request, so resuming it by id costs nothing.  Repeating
        it would compute the whole output again.
        """
        for _ in range(MAX_RESUMES):
            request = self._client.build_request(
                "GET",
                f"/v1/requests/{request_id(call)}/stream",
                params={"offset": progress.text_length},
            )
            try:
                await self._stream(request, progress, emit)
            except httpx.HTTPStatusError:
                return
            except (httpx.HTTPError, *DECODE_ERRORS):
                continue
            if progress.finish_reason:
                return

    async def _stream(
        self, request: httpx.Request, progress: _Progress, emit: EmitText
    ) -> None:
        response = await self._client.send(request, stream=True)
        try:
            response.raise_for_status()
            async for chunk in _chunks(response):
                _apply_chunk(chunk, progress, emit)
        finally:
            await response.aclose()

    async def cancel(self, call: CallId) -> None:
        """Cancel a running call; a lost request is ignored, since the lease expires."""
        await self._fetch("POST", f"/v1/requests/{request_id(call)}/cancel")

    async def release(self, programs: tuple[str, ...]) -> bool:
        """Release the cached memory of programs."""
        response = await self._fetch("POST", "/v1/cache/release", json=list(programs))
        return isinstance(response, Fetched) and response.status == httpx.codes.OK

    async def cached_programs(self) -> tuple[str, ...] | None:
        """Return the programs with cached memory."""
        response = await self._fetch("GET", "/v1/cache/programs")
        if isinstance(response, FetchError):
            return None
        try:
            return _PROGRAMS_DECODER.decode(response.body)
        except DECODE_ERRORS:
            return None

    async def _fetch(
        self, method: str, path: str, *, json: list[str] | None = None
    ) -> Fetched | FetchError:
        request = self._client.build_request(method, path, json=json)
        return await fetch(
            self._client,
            request,
            max_bytes=MAX_RESPONSE_BYTES,
            timeout_s=STALL_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


async def _chunks(response: httpx.Response) -> AsyncIterator[_Chunk]:
    lines = read_lines(
        response, max_line_bytes=MAX_LINE_BYTES, max_bytes=MAX_RESPONSE_BYTES
    )
    async for line in lines:
        if isinstance(line, TooLarge):
            return
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :]
        if data == END_OF_STREAM:
            return
        yield _CHUNK_DECODER.decode(data)


def _apply_chunk(chunk: _Chunk, progress: _Progress, emit: EmitText) -> None:
    if chunk.usage is not None:
        progress.usage = chunk.usage
    for choice in chunk.choices:
        if choice.delta.content:
            progress.text_length += len(choice.delta.content)
            emit(choice.delta.content)
        if choice.delta.tool_calls:
            progress.actions = tuple(
                Action(t.name, t.arguments) for t in choice.delta.tool_calls
            )
        if choice.finish_reason:
            progress.finish_reason = choice.finish_reason


def _make_result(
    call: CallId, status: str, ran: str, progress: _Progress
) -> BackendEnded:
    usage = progress.usage
    return BackendEnded(
        call,
        status,
        ran,
        "",
        progress.actions,
        usage.prompt_tokens,
        usage.cached_tokens,
        usage.completion_tokens,
    )


def make_engine(url: str) -> Engine:
    """Connect to a model engine at a URL."""
    return HttpEngine(url)
