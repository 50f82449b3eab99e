"""Calls to a model engine: OpenAI-style streaming completions.

Beyond the common protocol an engine takes a request id, a program id for its cache, a
priority and a prefix to go on from; it resumes a stream by request id and offset,
cancels a request, and lists and releases what it holds for programs.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import httpx
import msgspec

from ..core.events import BackendEnded
from ..core.records import Action
from ..core.wire import CallId, GateCall

CONNECT_S: Final = 2.0
STALL_S: Final = 5.0
RESUMES: Final = 3
DATA: Final = "data: "
DONE: Final = "[DONE]"

EmitText = Callable[[str], None]


class Engine(ABC):
    """What a gate needs of a model engine."""

    @abstractmethod
    async def run(self, call: GateCall, emit: EmitText) -> BackendEnded:
        """Run a model call; output goes to ``emit`` as it comes."""

    @abstractmethod
    async def cancel(self, call: CallId) -> None:
        """Cancel a running call."""

    @abstractmethod
    async def release(self, programs: tuple[str, ...]) -> bool:
        """Drop what is held for programs; False if the engine did not answer."""

    @abstractmethod
    async def held(self) -> tuple[str, ...] | None:
        """Programs for which memory is held; None without an answer."""

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


_CHUNKS: Final = msgspec.json.Decoder(_Chunk)
_HELD: Final = msgspec.json.Decoder(tuple[str, ...])


class _Progress:
    """What a stream has given so far, over all its connections."""

    def __init__(self) -> None:
        self.length = 0
        self.actions: tuple[Action, ...] = ()
        self.usage = _Usage()
        self.finish = ""


def request_id(call: CallId) -> str:
    """Id by which the engine knows a call."""
    return f"{call.program}/{call.number}/{call.attempt}"


class HttpEngine(Engine):
    """A model engine over HTTP."""

    def __init__(self, url: str) -> None:
        timeout = httpx.Timeout(STALL_S, connect=CONNECT_S)
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=16)
        self._client = httpx.AsyncClient(base_url=url, timeout=timeout, limits=limits)

    async def run(self, call: GateCall, emit: EmitText) -> BackendEnded:
        """Run a call; resume over a new connection if the stream goes silent."""
        progress = _Progress()
        try:
            await self._stream(self._open(call), progress, emit)
        except httpx.ConnectError:
            return _ended(call.call, "refused", "no", progress)
        except httpx.HTTPStatusError as exc:
            if exc.response.status_code == httpx.codes.TOO_MANY_REQUESTS:
                return _ended(call.call, "refused", "no", progress)
            return _ended(call.call, "error", "yes", progress)
        except (httpx.HTTPError, msgspec.DecodeError):
            await self._resume(call.call, progress, emit)
        status = "ok" if progress.finish else "lost"
        ran = "yes" if progress.finish else "unknown"
        return _ended(call.call, status, ran, progress)

    def _open(self, call: GateCall) -> httpx.Request:
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
        """Go on with a broken stream.

        The engine still has the request, so looking it up by id over a new connection
        costs nothing, where repeating it would compute everything again.
        """
        for _ in range(RESUMES):
            request = self._client.build_request(
                "GET",
                f"/v1/requests/{request_id(call)}/stream",
                params={"offset": progress.length},
            )
            try:
                await self._stream(request, progress, emit)
            except httpx.HTTPStatusError:
                return
            except (httpx.HTTPError, msgspec.DecodeError):
                continue
            if progress.finish:
                return

    async def _stream(
        self, request: httpx.Request, progress: _Progress, emit: EmitText
    ) -> None:
        answer = await self._client.send(request, stream=True)
        try:
            answer.raise_for_status()
            async for chunk in _chunks(answer):
                _take(chunk, progress, emit)
        finally:
            await answer.aclose()

    async def cancel(self, call: CallId) -> None:
        """Cancel a running call; a lost cancel is mended by the hold's expiry."""
        try:
            await self._client.post(f"/v1/requests/{request_id(call)}/cancel")
        except httpx.HTTPError:
            return

    async def release(self, programs: tuple[str, ...]) -> bool:
        """Drop what is held for programs."""
        try:
            answer = await self._client.post("/v1/cache/release", json=list(programs))
        except httpx.HTTPError:
            return False
        return answer.status_code == httpx.codes.OK

    async def held(self) -> tuple[str, ...] | None:
        """Programs for which memory is held."""
        try:
            answer = await self._client.get("/v1/cache/programs")
            return _HELD.decode(answer.content)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()


async def _chunks(answer: httpx.Response) -> AsyncIterator[_Chunk]:
    async for line in answer.aiter_lines():
        if not line.startswith(DATA):
            continue
        data = line[len(DATA) :]
        if data == DONE:
            return
        yield _CHUNKS.decode(data)


def _take(chunk: _Chunk, progress: _Progress, emit: EmitText) -> None:
    if chunk.usage is not None:
        progress.usage = chunk.usage
    for choice in chunk.choices:
        if choice.delta.content:
            progress.length += len(choice.delta.content)
            emit(choice.delta.content)
        if choice.delta.tool_calls:
            progress.actions = tuple(
                Action(t.name, t.arguments) for t in choice.delta.tool_calls
            )
        if choice.finish_reason:
            progress.finish = choice.finish_reason


def _ended(call: CallId, status: str, ran: str, progress: _Progress) -> BackendEnded:
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
