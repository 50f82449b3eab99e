"""The callers' HTTP interface.

``POST /v1/programs``
    Start a program, or join the one that the same idempotency key started.
``GET /v1/programs/{program}``
    Attach to a program, through any entry, from a position on.
``DELETE /v1/programs/{program}``
    Cancel a program.
``POST /v1/call/{provider}/{operation}``
    Call a plain service.

Answers are whole JSON bodies, or server-sent events for callers that accept them.  An
event's id is the position after it; a caller who reconnects sends it back as
``Last-Event-ID`` and misses and repeats nothing.
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
from ..errors import Code, Failure, error_body, http_status
from .auth import owner_of_token
from .gateway import Gateway

EVENT_STREAM: Final = "text/event-stream"
POSITION: Final = re.compile(r"^(\d{1,6})\.(\d{1,9})$")
PROGRAM: Final = re.compile(r"^[0-9a-f]{32}(\.[0-9.\-]{1,64})?$")
MAX_KEY: Final = 256
ReadAsk = Callable[[Request, str, bytes], RequestSpec | Failure]
NAME: Final = re.compile(r"^[A-Za-z0-9_\-]{1,64}$")


class StartBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a start."""

    service: str
    prompt: str
    budget: int | None = None


class CallerApi:
    """Routes of the callers' interface.

    Parameters
    ----------
    gateway : Gateway
        The entry behind it.
    tokens : dict of str to str
        Token of each customer.
    max_body : int
        Bytes of the largest body.
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

    async def start(self, http: Request) -> Response:
        """Start a program."""
        return await self._post(http, _start_ask)

    async def call(self, http: Request) -> Response:
        """Call a plain service."""
        return await self._post(http, _call_ask)

    async def _post(self, http: Request, read: ReadAsk) -> Response:
        customer = owner_of_token(http, self._tokens)
        if not customer:
            return _refusal(_unauthorized())
        body = await read_body(http, self._max_body)
        if isinstance(body, Failure):
            return _refusal(body)
        spec = read(http, customer, body)
        if isinstance(spec, Failure):
            return _refusal(spec)
        return await self._respond(http, spec)

    async def attach(self, http: Request) -> Response:
        """Attach to a program."""
        spec = self._existing(http, "attach")
        if isinstance(spec, Failure):
            return _refusal(spec)
        position = http.headers.get("last-event-id", "")
        if position:
            found = POSITION.match(position)
            if found is None:
                detail = "Last-Event-ID must be CALL.OFFSET"
                return _refusal(Failure(Code.BAD_REQUEST, detail))
            number, offset = (int(part) for part in found.groups())
            spec = spec._replace(number=number, offset=offset)
        return await self._respond(http, spec)

    async def cancel(self, http: Request) -> Response:
        """Cancel a program."""
        spec = self._existing(http, "cancel")
        if isinstance(spec, Failure):
            return _refusal(spec)
        return await self._respond(http, spec)

    def _existing(self, http: Request, kind: str) -> RequestSpec | Failure:
        customer = owner_of_token(http, self._tokens)
        if not customer:
            return _unauthorized()
        program = http.path_params["program"]
        if not PROGRAM.match(program):
            return Failure(Code.UNKNOWN_PROGRAM, "no such program")
        stream = kind == "attach" and _wants_events(http)
        return RequestSpec(kind, customer, program=program, stream=stream)

    async def _respond(self, http: Request, spec: RequestSpec) -> Response:
        if spec.stream:
            return StreamingResponse(self._events(http, spec), media_type=EVENT_STREAM)
        if http.query_params.get("wait") == "0":
            return await self._first(spec)
        return await self._last(spec)

    async def _first(self, spec: RequestSpec) -> Response:
        """Answer as soon as the program is accepted."""
        async with self._gateway.open(spec) as events:
            async for event in events:
                if isinstance(event, Accepted):
                    body = {"program": event.program, "status": "running"}
                    return JSONResponse(body, status_code=202)
                return _final(event)
        return _refusal(Failure(Code.STOPPING, "the entry stops", "unknown", 1.0))

    async def _last(self, spec: RequestSpec) -> Response:
        """Answer when the program has ended."""
        async with self._gateway.open(spec) as events:
            async for event in events:
                if isinstance(event, Done | Refused):
                    return _final(event)
        return _refusal(Failure(Code.STOPPING, "the entry stops", "unknown", 1.0))

    async def _events(self, http: Request, spec: RequestSpec) -> AsyncIterator[str]:
        async with self._gateway.open(spec) as events:
            async for event in events:
                yield _as_event(event)


async def read_body(http: Request, limit: int) -> bytes | Failure:
    """Read a body of bounded size."""
    chunks = []
    size = 0
    try:
        async for chunk in http.stream():
            size += len(chunk)
            if size > limit:
                return Failure(Code.TOO_LARGE, f"the body is over {limit} bytes")
            chunks.append(chunk)
    except ClientDisconnect:
        return Failure(Code.BAD_REQUEST, "the body is not complete")
    return b"".join(chunks)


def _unauthorized() -> Failure:
    return Failure(Code.UNAUTHORIZED, "no bearer token of a known customer")


def _wants_events(http: Request) -> bool:
    return EVENT_STREAM in http.headers.get("accept", "")


def _key_of(http: Request) -> str | Failure:
    key = http.headers.get("idempotency-key", "")
    if not key:
        return Failure(Code.BAD_REQUEST, "the Idempotency-Key header is missing")
    if len(key) > MAX_KEY:
        return Failure(Code.BAD_REQUEST, f"the key is over {MAX_KEY} characters")
    return key


def _start_ask(http: Request, customer: str, body: bytes) -> RequestSpec | Failure:
    key = _key_of(http)
    if isinstance(key, Failure):
        return key
    try:
        start = msgspec.json.decode(body, type=StartBody)
    except msgspec.ValidationError as exc:
        return Failure(Code.BAD_REQUEST, str(exc))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
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
        stream=_wants_events(http),
    )


def _call_ask(http: Request, customer: str, body: bytes) -> RequestSpec | Failure:
    key = _key_of(http)
    if isinstance(key, Failure):
        return key
    repeatable = http.headers.get("x-repeatable", "false").lower()
    if repeatable not in ("true", "false"):
        return Failure(Code.BAD_REQUEST, "X-Repeatable must be true or false")
    names = (http.path_params["provider"], http.path_params["operation"])
    if not all(NAME.match(name) for name in names):
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


def _refusal(failure: Failure) -> Response:
    headers = {}
    if failure.retry_after_s > 0:
        # Rounded up: a caller that comes back early would only be refused again.
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


def _final(event: CallerEvent) -> Response:
    if isinstance(event, Done):
        if event.outcome.status == "done":
            return JSONResponse(_outcome_body(event.outcome))
        return _refusal(_failure_of(event.outcome))
    assert isinstance(event, Refused), "a request ends in one of two ways"
    return _refusal(event.failure)


def _as_event(event: CallerEvent) -> str:
    """Format an event of a request as a server-sent event."""
    match event:
        case OutputText(number, offset, text):
            position = f"{number}.{offset + len(text)}"
            data: Any = {"call": number, "offset": offset, "text": text}
            return _sse("text", data, position)
        case Accepted(program):
            return _sse("accepted", {"program": program}, "")
        case Done(outcome) if outcome.status == "done":
            return _sse("end", _outcome_body(outcome), "")
        case Done(outcome):
            return _sse("error", error_body(_failure_of(outcome)), "")
        case Refused(_, failure):
            return _sse("error", error_body(failure), "")
        case _:
            return ""


def _sse(name: str, data: Any, position: str) -> str:
    head = f"id: {position}\n" if position else ""
    text = msgspec.json.encode(data).decode()
    return f"{head}event: {name}\ndata: {text}\n\n"
