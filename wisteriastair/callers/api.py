"""The callers' HTTP interface.

``POST /v1/programs``
    Start a program, or join the program that the same idempotency key started.
``GET /v1/programs/{program}``
    Attach to a program from a given position, through any entry.
``DELETE /v1/programs/{program}``
    Cancel a program.
``POST /v1/call/{provider}/{operation}``
    Call a plain service.

Responses are complete JSON bodies, or server-sent events for callers that accept them.
The id of an event is the position after it.  A caller that reconnects sends it as
``Last-Event-ID`` and gets every later event exactly once.
"""

from __future__ import annotations

import re
from collections.abc import AsyncIterator, Callable
from math import ceil
from typing import Any, Final

import msgspec
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..core.entry import Accepted, CallerEvent, Done, OutputText, Refused, RequestSpec
from ..core.wire import ProgramOutcome
from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure, error_body, http_status
from ..scheduling.buffers import BufferBudget
from .auth import owner_of_token
from .gateway import Gateway

EVENT_STREAM: Final = "text/event-stream"
POSITION_PATTERN: Final = re.compile(r"^(\d{1,6})\.(\d{1,9})$")
PROGRAM_PATTERN: Final = re.compile(r"^[0-9a-f]{32}(\.[0-9.\-]{1,64})?$")
MAX_KEY_CHARS: Final = 256
ParseRequest = Callable[[Request, str, bytes], RequestSpec | Failure]
NAME_PATTERN: Final = re.compile(r"^[A-Za-z0-9_\-]{1,64}$")


# Key of the budget of the process in the extensions of a request's scope.
BUFFERS_KEY: Final = "wisteriastair.buffers"
# Delay before a retry of a request that was refused for lack of memory.
BUFFERS_RETRY_S: Final = 1.0


class StartBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request that starts a program."""

    service: str
    prompt: str
    budget: int | None = None


class CallerApi:
    """Routes of the callers' interface.

    Parameters
    ----------
    gateway : Gateway
        The entry that executes the requests.
    tokens : dict of str to str
        Token of each customer.
    max_body : int
        Maximum size of a request body in bytes.
    """

    def __init__(self, gateway: Gateway, tokens: dict[str, str], max_body: int) -> None:
        self._gateway = gateway
        self._tokens = tokens
        self._max_body = max_body

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/programs", self.start, methods=["POST"]),
            Route("/v1/programs/{program}", self.attach, methods=["GET"]),
            Route("/v1/programs/{program}", self.cancel, methods=["DELETE"]),
            Route("/v1/call/{provider}/{operation}", self.call, methods=["POST"]),
        ]

    async def start(self, req: Request) -> Response:
        """Start a program."""
        return await self._handle_post(req, _parse_start)

    async def call(self, req: Request) -> Response:
        """Call a plain service."""
        return await self._handle_post(req, _parse_call)

    async def _handle_post(self, req: Request, parse: ParseRequest) -> Response:
        customer = owner_of_token(req, self._tokens)
        if not customer:
            return _error_response(_unauthorized())
        body = await read_body(req, self._max_body)
        if isinstance(body, Failure):
            return _error_response(body)
        spec = parse(req, customer, body)
        if isinstance(spec, Failure):
            return _error_response(spec)
        return await self._respond(req, spec)

    async def attach(self, req: Request) -> Response:
        """Attach to a program."""
        spec = self._parse_existing(req, "attach")
        if isinstance(spec, Failure):
            return _error_response(spec)
        position = req.headers.get("last-event-id", "")
        if position:
            match = POSITION_PATTERN.match(position)
            if match is None:
                detail = "Last-Event-ID must be CALL.OFFSET"
                return _error_response(Failure(Code.BAD_REQUEST, detail))
            number, offset = (int(part) for part in match.groups())
            spec = spec._replace(number=number, offset=offset)
        return await self._respond(req, spec)

    async def cancel(self, req: Request) -> Response:
        """Cancel a program."""
        spec = self._parse_existing(req, "cancel")
        if isinstance(spec, Failure):
            return _error_response(spec)
        return await self._respond(req, spec)

    def _parse_existing(self, req: Request, kind: str) -> RequestSpec | Failure:
        customer = owner_of_token(req, self._tokens)
        if not customer:
            return _unauthorized()
        program = req.path_params["program"]
        if not PROGRAM_PATTERN.match(program):
            return Failure(Code.UNKNOWN_PROGRAM, "no such program")
        stream = kind == "attach" and _accepts_event_stream(req)
        return RequestSpec(kind, customer, program=program, stream=stream)

    async def _respond(self, req: Request, spec: RequestSpec) -> Response:
        if spec.stream:
            return StreamingResponse(
                self._stream_events(req, spec), media_type=EVENT_STREAM
            )
        if req.query_params.get("wait") == "0":
            return await self._respond_on_accept(spec)
        return await self._respond_on_end(spec)

    async def _respond_on_accept(self, spec: RequestSpec) -> Response:
        """Respond as soon as the program is accepted."""
        async with self._gateway.open_request(spec) as events:
            async for event in events:
                if isinstance(event, Accepted):
                    body = {"program": event.program, "status": "running"}
                    return JSONResponse(body, status_code=202)
                return _final_response(event)
        return _error_response(
            Failure(Code.STOPPING, "the entry stops", "unknown", 1.0)
        )

    async def _respond_on_end(self, spec: RequestSpec) -> Response:
        """Respond when the program has ended."""
        async with self._gateway.open_request(spec) as events:
            async for event in events:
                if isinstance(event, Done | Refused):
                    return _final_response(event)
        return _error_response(
            Failure(Code.STOPPING, "the entry stops", "unknown", 1.0)
        )

    async def _stream_events(
        self, req: Request, spec: RequestSpec
    ) -> AsyncIterator[str]:
        async with self._gateway.open_request(spec) as events:
            async for event in events:
                yield _format_event(event)


async def read_body(req: Request, limit: int) -> bytes | Failure:
    """Read a request body of limited size, if there is memory for it."""
    length_text = req.headers.get("content-length", "0")
    if not length_text.isdecimal():
        return Failure(Code.BAD_REQUEST, "Content-Length is no number")
    length = int(length_text)
    buffers: BufferBudget | None = req.scope.get("extensions", {}).get(BUFFERS_KEY)
    if length > limit:
        return Failure(Code.TOO_LARGE, f"the body is over {limit} bytes")
    if buffers is not None and not buffers.admits(length):
        return Failure(Code.OVERLOADED, "buffers are full", "no", BUFFERS_RETRY_S)
    chunks = []
    size = 0
    try:
        async for chunk in req.stream():
            size += len(chunk)
            if size > limit:
                return Failure(Code.TOO_LARGE, f"the body is over {limit} bytes")
            chunks.append(chunk)
    except ClientDisconnect:
        return Failure(Code.BAD_REQUEST, "the body is not complete")
    return b"".join(chunks)


def _unauthorized() -> Failure:
    return Failure(Code.UNAUTHORIZED, "no bearer token of a known customer")


def _accepts_event_stream(req: Request) -> bool:
    return EVENT_STREAM in req.headers.get("accept", "")


def _parse_key(req: Request) -> str | Failure:
    key = req.headers.get("idempotency-key", "")
    if not key:
        return Failure(Code.BAD_REQUEST, "the Idempotency-Key header is missing")
    if len(key) > MAX_KEY_CHARS:
        return Failure(Code.BAD_REQUEST, f"the key is over {MAX_KEY_CHARS} characters")
    return key


def _parse_start(req: Request, customer: str, body: bytes) -> RequestSpec | Failure:
    key = _parse_key(req)
    if isinstance(key, Failure):
        return key
    try:
        start = msgspec.json.decode(body, type=StartBody)
    except msgspec.ValidationError as exc:
        return Failure(Code.BAD_REQUEST, str(exc))
    except (*DECODE_ERRORS, UnicodeDecodeError) as exc:
        return Failure(Code.BAD_REQUEST, f"the body is not JSON: {exc}")
    if start.budget is not None and start.budget <= 0:
        return Failure(Code.BAD_REQUEST, "budget must be greater than 0")
    if not start.prompt:
        return Failure(Code.BAD_REQUEST, "prompt must not be empty")
    return RequestSpec(
        "start",
        customer,
        key=key,
        service=start.service,
        prompt=start.prompt,
        budget=start.budget or 0,
        stream=_accepts_event_stream(req),
    )


def _parse_call(req: Request, customer: str, body: bytes) -> RequestSpec | Failure:
    key = _parse_key(req)
    if isinstance(key, Failure):
        return key
    repeatable = req.headers.get("x-repeatable", "false").lower()
    if repeatable not in ("true", "false"):
        return Failure(Code.BAD_REQUEST, "X-Repeatable must be true or false")
    names = (req.path_params["provider"], req.path_params["operation"])
    if not all(NAME_PATTERN.match(name) for name in names):
        return Failure(Code.BAD_REQUEST, "provider and operation must be plain names")
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return Failure(Code.BAD_REQUEST, "the body is not UTF-8")
    return RequestSpec(
        "start",
        customer,
        key=f"call {key}",
        service=names[0],
        prompt=text,
        operation=names[1],
        repeatable=repeatable == "true",
    )


def _error_response(failure: Failure) -> Response:
    headers = {}
    if failure.retry_after_s > 0:
        # Rounded up, since a caller that retries too early would be rejected again.
        headers["retry-after"] = str(ceil(failure.retry_after_s))
    return JSONResponse(
        error_body(failure), status_code=http_status(failure.code), headers=headers
    )


def _failure_of(outcome: ProgramOutcome) -> Failure:
    return Failure(
        Code(outcome.status), outcome.detail, outcome.ran, outcome.retry_after_s
    )


def _outcome_body(outcome: ProgramOutcome) -> dict[str, Any]:
    return {
        "program": outcome.program,
        "status": outcome.status,
        "answer": outcome.answer,
        "spent": outcome.spent,
        "turns": outcome.turns,
    }


def _final_response(event: CallerEvent) -> Response:
    if isinstance(event, Done):
        if event.outcome.status == "done":
            return JSONResponse(_outcome_body(event.outcome))
        return _error_response(_failure_of(event.outcome))
    assert isinstance(event, Refused), "a request ends with Done or Refused"
    return _error_response(event.failure)


def _format_event(event: CallerEvent) -> str:
    """Format an event of a request as a server-sent event."""
    match event:
        case OutputText(number, offset, text):
            position = f"{number}.{offset + len(text)}"
            data: Any = {"call": number, "offset": offset, "text": text}
            return _format_sse("text", data, position)
        case Accepted(program):
            return _format_sse("accepted", {"program": program}, "")
        case Done(outcome) if outcome.status == "done":
            return _format_sse("end", _outcome_body(outcome), "")
        case Done(outcome):
            return _format_sse("error", error_body(_failure_of(outcome)), "")
        case Refused(_, failure):
            return _format_sse("error", error_body(failure), "")
        case _:
            return ""


def _format_sse(name: str, data: Any, position: str) -> str:
    head = f"id: {position}\n" if position else ""
    text = msgspec.json.encode(data).decode()
    return f"{head}event: {name}\ndata: {text}\n\n"
