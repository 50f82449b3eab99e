"""The stand-in model engine over HTTP."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from hashlib import blake2b
from typing import Any, Final

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request as HttpRequest
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from .engine_model import Block, EngineSpeed, Request, SimulatedEngine
from .script import ScriptedOutput, count_tokens, scripted_output

STEP_S: Final = 0.01
SHARED_PREFIX_MARKER: Final = "shared:"


class _ChatRequest(msgspec.Struct):
    messages: list[dict[str, str]]
    model: str
    request_id: str
    program: str
    prefix: str = ""
    priority: int = 0
    max_tokens: int = 1_024


class _Stream:
    """A request and its output after the prefix that the caller already has."""

    def __init__(self, request: Request, scripted: ScriptedOutput, offset: int) -> None:
        self.request = request
        self.scripted = scripted
        self.words = _split_words(scripted.text[offset:])
        self.cancelled = False
        self.changed = anyio.Event()

    def text(self) -> str:
        """Return the output produced so far."""
        count = len(self.words)
        output_tokens = max(1, self.request.output_tokens)
        ready = int(count * self.request.produced_tokens / output_tokens)
        return "".join(self.words[:ready])

    def notify_readers(self) -> None:
        """Wake the readers that wait for output."""
        self.changed.set()
        self.changed = anyio.Event()


class EngineStandin:
    """Serves the engine protocol from a `SimulatedEngine`.

    Parameters
    ----------
    models : tuple of str
        Model versions that are loaded.
    speed : EngineSpeed
        Speed and capacity.
    checks_fence : bool
        Whether orders with an old fencing number are rejected.
    """

    def __init__(
        self, models: tuple[str, ...], speed: EngineSpeed, checks_fence: bool
    ) -> None:
        self.models = list(models)
        self.engine = SimulatedEngine(speed)
        self.records: list[dict[str, Any]] = []
        self.fence = 0
        self.is_silent = False
        self._checks_fence = checks_fence
        self._streams: dict[str, _Stream] = {}

    def app(self) -> Starlette:
        """Build the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/chat/completions", self.chat, methods=["POST"]),
                Route("/v1/requests/{name:path}/stream", self.resume),
                Route("/v1/requests/{name:path}/cancel", self.cancel, methods=["POST"]),
                Route("/v1/cache/programs", self.programs),
                Route("/v1/cache/release", self.release, methods=["POST"]),
                Route("/v1/load", self.load),
                Route("/v1/orders", self.order, methods=["POST"]),
                Route("/control", self.control, methods=["POST"]),
                Route("/records", self.get_records),
            ]
        )

    async def run(self) -> None:
        """Advance the engine in real time."""
        last = time.monotonic()
        while True:
            await anyio.sleep(STEP_S)
            now = time.monotonic()
            self.engine.step(now - last)
            last = now
            for stream in list(self._streams.values()):
                if not stream.changed.is_set():
                    stream.notify_readers()

    async def chat(self, http: HttpRequest) -> Response:
        """Start a completion, or attach to the one with the same id."""
        try:
            chat = msgspec.json.decode(await http.body(), type=_ChatRequest)
        except msgspec.DecodeError as exc:
            return JSONResponse({"error": str(exc)}, status_code=400)
        if chat.model not in self.models:
            return JSONResponse({"error": "model not loaded"}, status_code=404)
        if chat.request_id not in self._streams:
            self._streams[chat.request_id] = self._start(chat)
        return self._stream_response(self._streams[chat.request_id], 0)

    def _start(self, chat: _ChatRequest) -> _Stream:
        turn = sum(1 for m in chat.messages if m["role"] == "assistant")
        scripted = scripted_output(chat.messages[0]["content"], turn)
        rest = scripted.text[len(chat.prefix) :]
        output_tokens = max(1, min(chat.max_tokens, count_tokens(rest)))
        blocks = tuple(prompt_blocks([m["content"] for m in chat.messages]))
        request = Request(
            chat.request_id, chat.program, blocks, output_tokens, chat.priority
        )
        self.engine.submit(request)
        self.records.append(
            {"request": chat.request_id, "prompt": request.prompt_tokens}
        )
        return _Stream(request, scripted, len(chat.prefix))

    def _stream_response(self, stream: _Stream, offset: int) -> Response:
        return StreamingResponse(
            self._events(stream, offset), media_type="text/event-stream"
        )

    async def _events(self, stream: _Stream, offset: int) -> AsyncIterator[str]:
        while not stream.request.is_done and not stream.cancelled:
            changed = stream.changed
            text = stream.text()
            if len(text) > offset and not self.is_silent:
                yield _event({"content": text[offset:]}, None, None)
                offset = len(text)
            await changed.wait()
        if stream.cancelled:
            return
        while self.is_silent:
            await anyio.sleep(STEP_S)
        text = stream.text()
        if len(text) > offset:
            yield _event({"content": text[offset:]}, None, None)
        yield self._final_event(stream)

    def _final_event(self, stream: _Stream) -> str:
        actions = stream.scripted.actions
        calls = [{"name": name, "arguments": text} for name, text in actions]
        request = stream.request
        usage = {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": request.output_tokens,
            "cached_tokens": request.cached_tokens,
        }
        reason = "tool_calls" if calls else "stop"
        return _event({"tool_calls": calls}, reason, usage) + "data: [DONE]\n\n"

    async def resume(self, http: HttpRequest) -> Response:
        """Resume a stream from a character offset."""
        stream = self._streams.get(http.path_params["name"])
        if stream is None:
            return JSONResponse({"error": "no such request"}, status_code=404)
        return self._stream_response(stream, int(http.query_params.get("offset", 0)))

    async def cancel(self, http: HttpRequest) -> Response:
        """Cancel a request."""
        name = http.path_params["name"]
        stream = self._streams.get(name)
        if stream is not None:
            stream.cancelled = True
            self.engine.cancel(name)
            stream.notify_readers()
        return JSONResponse({})

    async def programs(self, http: HttpRequest) -> Response:
        """List the programs that have used cached blocks."""
        return JSONResponse(self.engine.programs())

    async def release(self, http: HttpRequest) -> Response:
        """Remove the cached blocks of programs."""
        for program in await http.json():
            self.engine.release(program)
        return JSONResponse({})

    async def load(self, http: HttpRequest) -> Response:
        """Report load."""
        engine = self.engine
        return JSONResponse(
            {
                "running": len(engine.running),
                "waiting": len(engine.waiting),
                "cached_tokens": engine.cached_tokens,
                "computed_tokens": engine.computed_tokens,
            }
        )

    async def order(self, http: HttpRequest) -> Response:
        """Load or unload a model version as ordered."""
        order = await http.json()
        if self._checks_fence and order["fence"] < self.fence:
            return JSONResponse({"fence": self.fence}, status_code=409)
        self.fence = max(self.fence, order["fence"])
        if order["kind"] == "load" and order["model"] not in self.models:
            self.models.append(order["model"])
        elif order["kind"] == "unload" and order["model"] in self.models:
            self.models.remove(order["model"])
        return JSONResponse({"fence": self.fence})

    async def control(self, http: HttpRequest) -> Response:
        """Stop sending output, or slow down."""
        settings = await http.json()
        self.is_silent = bool(settings.get("silent", self.is_silent))
        self.engine.slow_factor = float(settings.get("slow", self.engine.slow_factor))
        return JSONResponse({})

    async def get_records(self, http: HttpRequest) -> Response:
        """Return the requests of this engine."""
        return JSONResponse(self.records)


def _event(
    delta: dict[str, Any], reason: str | None, usage: dict[str, int] | None
) -> str:
    chunk: dict[str, Any] = {"choices": [{"delta": delta, "finish_reason": reason}]}
    if usage is not None:
        chunk["usage"] = usage
    return f"data: {msgspec.json.encode(chunk).decode()}\n\n"


def _split_words(text: str) -> list[str]:
    """Split into words, each with the space that follows it."""
    words = text.split(" ")
    return [p + " " for p in words[:-1]] + words[-1:]


def prompt_blocks(messages: list[str]) -> list[Block]:
    """Return the blocks of a prompt; a first line ``shared: ...`` is its own block."""
    texts = list(messages)
    head, newline, rest = texts[0].partition("\n")
    if head.startswith(SHARED_PREFIX_MARKER) and newline:
        texts = [head, rest, *texts[1:]]
    blocks = []
    key = b""
    for number, text in enumerate(texts):
        key = blake2b(key + text.encode(), digest_size=8).digest()
        shared = number == 0 and text.startswith(SHARED_PREFIX_MARKER)
        name = ("shared " if shared else "") + key.hex()
        blocks.append(Block(name, count_tokens(text)))
    return blocks
