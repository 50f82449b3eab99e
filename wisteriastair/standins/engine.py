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

from .engine_model import Block, EngineModel, EngineSpeed, Request
from .script import Saying, count_tokens, say

STEP_S: Final = 0.01
SHARED_LINE: Final = "shared:"


class _Chat(msgspec.Struct):
    messages: list[dict[str, str]]
    model: str
    request_id: str
    program: str
    prefix: str = ""
    priority: int = 0
    max_tokens: int = 1_024


class _Stream:
    """One request and its output."""

    def __init__(self, request: Request, saying: Saying, skip: int) -> None:
        self.request = request
        self.saying = saying
        self.words = _pieces(saying.text[skip:])
        self.cancelled = False
        self.changed = anyio.Event()

    def text(self) -> str:
        """Output produced so far."""
        count = len(self.words)
        output = max(1, self.request.output)
        ready = int(count * self.request.produced / output)
        return "".join(self.words[:ready])

    def wake(self) -> None:
        """Let readers look again."""
        self.changed.set()
        self.changed = anyio.Event()


class EngineStandin:
    """Serves the engine protocol from an `EngineModel`.

    Parameters
    ----------
    models : tuple of str
        Model versions held.
    speed : EngineSpeed
        Size and speed.
    checks_fence : bool
        Whether orders with an old fencing number are refused.
    """

    def __init__(
        self, models: tuple[str, ...], speed: EngineSpeed, checks_fence: bool
    ) -> None:
        self.models = list(models)
        self.model = EngineModel(speed)
        self.records: list[dict[str, Any]] = []
        self.fence = 0
        self.silent = False
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
        """Advance the model in real time."""
        last = time.monotonic()
        while True:
            await anyio.sleep(STEP_S)
            now = time.monotonic()
            self.model.step(now - last)
            last = now
            for stream in list(self._streams.values()):
                if not stream.changed.is_set():
                    stream.wake()

    async def chat(self, http: HttpRequest) -> Response:
        """Start a completion, or attach to the one with the same id."""
        try:
            chat = msgspec.json.decode(await http.body(), type=_Chat)
        except msgspec.DecodeError as exc:
            return JSONResponse({"error": str(exc)}, status_code=400)
        if chat.model not in self.models:
            return JSONResponse({"error": "model not loaded"}, status_code=404)
        if chat.request_id not in self._streams:
            self._streams[chat.request_id] = self._start(chat)
        return self._answer(self._streams[chat.request_id], 0)

    def _start(self, chat: _Chat) -> _Stream:
        turn = sum(1 for m in chat.messages if m["role"] == "assistant")
        saying = say(chat.messages[0]["content"], turn)
        rest = saying.text[len(chat.prefix) :]
        output = max(1, min(chat.max_tokens, count_tokens(rest)))
        blocks = tuple(blocks_of([m["content"] for m in chat.messages]))
        request = Request(chat.request_id, chat.program, blocks, output, chat.priority)
        self.model.submit(request)
        self.records.append({"request": chat.request_id, "prompt": request.prompt})
        return _Stream(request, saying, len(chat.prefix))

    def _answer(self, stream: _Stream, offset: int) -> Response:
        return StreamingResponse(
            self._events(stream, offset), media_type="text/event-stream"
        )

    async def _events(self, stream: _Stream, offset: int) -> AsyncIterator[str]:
        while not stream.request.done and not stream.cancelled:
            changed = stream.changed
            text = stream.text()
            if len(text) > offset and not self.silent:
                yield _event({"content": text[offset:]}, None, None)
                offset = len(text)
            await changed.wait()
        if stream.cancelled:
            return
        while self.silent:
            await anyio.sleep(STEP_S)
        text = stream.text()
        if len(text) > offset:
            yield _event({"content": text[offset:]}, None, None)
        yield self._last_event(stream)

    def _last_event(self, stream: _Stream) -> str:
        actions = stream.saying.actions
        calls = [{"name": name, "arguments": text} for name, text in actions]
        request = stream.request
        usage = {
            "prompt_tokens": request.prompt,
            "completion_tokens": request.output,
            "cached_tokens": request.cached,
        }
        reason = "tool_calls" if calls else "stop"
        return _event({"tool_calls": calls}, reason, usage) + "data: [DONE]\n\n"

    async def resume(self, http: HttpRequest) -> Response:
        """Go on with a stream from an offset."""
        stream = self._streams.get(http.path_params["name"])
        if stream is None:
            return JSONResponse({"error": "no such request"}, status_code=404)
        return self._answer(stream, int(http.query_params.get("offset", 0)))

    async def cancel(self, http: HttpRequest) -> Response:
        """Cancel a request."""
        name = http.path_params["name"]
        stream = self._streams.get(name)
        if stream is not None:
            stream.cancelled = True
            self.model.cancel(name)
            stream.wake()
        return JSONResponse({})

    async def programs(self, http: HttpRequest) -> Response:
        """List the programs for which something is held."""
        return JSONResponse(self.model.programs())

    async def release(self, http: HttpRequest) -> Response:
        """Drop what is held for programs."""
        for program in await http.json():
            self.model.release(program)
        return JSONResponse({})

    async def load(self, http: HttpRequest) -> Response:
        """Report load."""
        model = self.model
        return JSONResponse(
            {
                "running": len(model.running),
                "waiting": len(model.waiting),
                "cached_tokens": model.cached_tokens,
                "computed_tokens": model.computed_tokens,
            }
        )

    async def order(self, http: HttpRequest) -> Response:
        """Take an order to load or unload a model version."""
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
        """Fail on demand: go silent, or slow down."""
        wanted = await http.json()
        self.silent = bool(wanted.get("silent", self.silent))
        self.model.slow_factor = float(wanted.get("slow", self.model.slow_factor))
        return JSONResponse({})

    async def get_records(self, http: HttpRequest) -> Response:
        """Return what was asked of this engine."""
        return JSONResponse(self.records)


def _event(
    delta: dict[str, Any], reason: str | None, usage: dict[str, int] | None
) -> str:
    chunk: dict[str, Any] = {"choices": [{"delta": delta, "finish_reason": reason}]}
    if usage is not None:
        chunk["usage"] = usage
    return f"data: {msgspec.json.encode(chunk).decode()}\n\n"


def _pieces(text: str) -> list[str]:
    """Split into words that keep their following space."""
    pieces = text.split(" ")
    return [p + " " for p in pieces[:-1]] + pieces[-1:]


def blocks_of(messages: list[str]) -> list[Block]:
    """Blocks of a prompt; a first line ``shared: ...`` is a block of its own."""
    parts = list(messages)
    head, newline, rest = parts[0].partition("\n")
    if head.startswith(SHARED_LINE) and newline:
        parts = [head, rest, *parts[1:]]
    blocks = []
    key = b""
    for number, part in enumerate(parts):
        key = blake2b(key + part.encode(), digest_size=8).digest()
        shared = number == 0 and part.startswith(SHARED_LINE)
        name = ("shared " if shared else "") + key.hex()
        blocks.append(Block(name, count_tokens(part)))
    return blocks
