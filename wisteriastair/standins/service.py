"""The stand-in plain service and tool service over HTTP.

It records every execution, so that a checker can count how often an action that must
not be repeated has run.
"""

from __future__ import annotations

from typing import Any, Final

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

HANG_S: Final = 3_600.0


class ServiceStandin:
    """Serves any provider and operation.

    Parameters
    ----------
    delay_s : float
        Duration of a call in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        self.records: list[dict[str, Any]] = []
        self._delay_s = delay_s
        self._calls_to_hang = 0
        self._responses_to_drop = 0

    def app(self) -> Starlette:
        """Build the HTTP application."""
        return Starlette(
            routes=[
                Route("/records", self.get_records),
                Route("/control", self.control, methods=["POST"]),
                Route("/{provider}/{operation}", self.call, methods=["POST"]),
            ]
        )

    async def call(self, http: Request) -> Response:
        """Execute one call and record it."""
        body = (await http.body()).decode()
        provider = http.path_params["provider"]
        operation = http.path_params["operation"]
        if self._calls_to_hang > 0:
            self._calls_to_hang -= 1
            await anyio.sleep(HANG_S)
        await anyio.sleep(self._delay_s)
        self.records.append(
            {
                "call": http.headers.get("x-call", ""),
                "operation": f"{provider}/{operation}",
                "argument": body,
            }
        )
        if self._responses_to_drop > 0:
            self._responses_to_drop -= 1
            return Response(status_code=503)
        return PlainTextResponse(f"{operation} of {body} done")

    async def control(self, http: Request) -> Response:
        """Set the faults: calls that hang, responses lost after the execution."""
        settings = await http.json()
        self._calls_to_hang += int(settings.get("hang", 0))
        self._responses_to_drop += int(settings.get("lose", 0))
        self._delay_s = float(settings.get("delay_s", self._delay_s))
        return JSONResponse({})

    async def get_records(self, http: Request) -> Response:
        """Return every execution."""
        return JSONResponse(self.records)
