"""The HTTP APIs of callers and operators: every bad request gets a typed error."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx
from starlette.applications import Starlette

from tests.golden import check_cases
from wisteriastair.callers.api import CallerApi
from wisteriastair.callers.gateway import Gateway
from wisteriastair.core.config import (
    EMPTY_CONFIG,
    Change,
    Config,
    PutService,
    Service,
    apply_change,
)
from wisteriastair.core.entry import (
    Accepted,
    CallerEvent,
    Done,
    OutputText,
    ProgramRows,
    Refused,
    RequestSpec,
)
from wisteriastair.core.events import Instance
from wisteriastair.core.replica import SlotRow
from wisteriastair.core.wire import ProgramOutcome, ProgramRow
from wisteriastair.errors import Code, Failure
from wisteriastair.operators.api import OperatorApi

GOLDEN = Path(__file__).parent / "golden"
PROGRAM = "0123456789abcdef0123456789abcdef"
MAX_BODY = 200


class FakeGateway(Gateway):
    """Answers according to the prompt, without other processes."""

    def __init__(self) -> None:
        self.revision = 7
        self.current_config = EMPTY_CONFIG
        added = apply_change(EMPTY_CONFIG, PutService("c1", True, Service("appraisal")))
        assert isinstance(added, Config)
        self.current_config = added

    @asynccontextmanager
    async def open_request(
        self, spec: RequestSpec
    ) -> AsyncIterator[AsyncIterator[CallerEvent]]:
        yield self._events(spec)

    async def _events(self, spec: RequestSpec) -> AsyncIterator[CallerEvent]:
        if spec.prompt == "overload":
            failure = Failure(Code.OVERLOADED, "512 programs under way", "no", 2.5)
            yield Refused(PROGRAM, failure)
            return
        yield Accepted(PROGRAM)
        if spec.stream:
            yield OutputText(1, 0, "whole ")
            yield OutputText(1, 6, "answer")
        status, ran = "done", "yes"
        if spec.prompt == "doubt":
            status, ran = "outcome_unknown", "unknown"
        yield Done(
            ProgramOutcome("r", PROGRAM, status, ran, "whole answer", "", 0.0, 42, 2)
        )

    async def list_programs(self, customer: str, limit: int) -> ProgramRows:
        row = ProgramRow(
            PROGRAM, "appraisal", "citizens", "running", 2, 42, 9, 100, 1.5, "a#1", ""
        )
        return ProgramRows((row,), 0)

    async def change(
        self, change_id: str, build_change: Callable[[Config], Change], expected: int
    ) -> int | Failure:
        if expected and expected != self.revision:
            return Failure(Code.CONFLICT, f"at revision {self.revision}")
        changed = apply_change(self.current_config, build_change(self.current_config))
        if isinstance(changed, Failure):
            return changed
        return self.revision + 1

    def config(self) -> tuple[int, Config]:
        return self.revision, self.current_config

    def instances(self) -> tuple[Instance, ...]:
        return ()

    def slot_rows(self) -> list[SlotRow]:
        return [SlotRow(0, "a#1", "b#1", 3)]


def make_app() -> Starlette:
    gateway = FakeGateway()
    callers = CallerApi(gateway, {"citizens": "secret"}, MAX_BODY)
    operators = OperatorApi(gateway, {"olgii": "operator-secret"})
    return Starlette(routes=[*callers.routes(), *operators.routes()])


async def send(request: dict[str, Any]) -> str:
    transport = httpx.ASGITransport(make_app())
    async with httpx.AsyncClient(
        transport=transport, base_url="http://entry"
    ) as client:
        response = await client.request(
            request["method"],
            request["path"],
            headers=request["headers"],
            content=request["body"].encode(),
        )
    head = f"{response.status_code}"
    if "retry-after" in response.headers:
        head += f" retry-after: {response.headers['retry-after']}"
    return f"{head}\n{response.text.strip()}"


def run_case(given: str) -> str:
    """Send a request written as: request line, header lines, empty line, body."""
    head, _, body = given.partition("\n\n")
    first, *lines = head.split("\n")
    method, path = first.split(" ")
    headers = dict(line.split(": ", 1) for line in lines)
    if body == "TOO LARGE":
        body = json.dumps({"service": "appraisal", "prompt": "x" * MAX_BODY})
    request = {"method": method, "path": path, "headers": headers, "body": body}
    return anyio.run(send, request)


def test_golden_requests() -> None:
    check_cases(GOLDEN / "requests.txt", run_case)
