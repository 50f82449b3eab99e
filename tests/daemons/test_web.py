"""TLS for callers and operators, with a test certificate."""

from __future__ import annotations

import ssl
from pathlib import Path

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from wisteriastair.daemons.web import serve_http
from wisteriastair.standins.deployment import free_address

FOLDER = Path(__file__).parent / "tls"
TIMEOUT_S = 30.0


async def get_scheme(http: Request) -> Response:
    return PlainTextResponse(http.url.scheme)


async def get_over_tls() -> str:
    address = free_address()
    shutdown = anyio.Event()
    app = Starlette(routes=[Route("/", get_scheme)])
    cert, key = str(FOLDER / "cert.pem"), str(FOLDER / "key.pem")
    context = ssl.create_default_context(cafile=cert)
    response_text = ""
    async with anyio.create_task_group() as group:

        async def serve() -> None:
            await serve_http(app, address, shutdown, tls_cert=cert, tls_key=key)

        group.start_soon(serve)
        async with httpx.AsyncClient(verify=context) as client:
            with anyio.fail_after(TIMEOUT_S):
                while not response_text:
                    try:
                        response_text = (await client.get(f"https://{address}/")).text
                    except httpx.ConnectError:
                        await anyio.sleep(0.02)
            with pytest.raises(httpx.HTTPError):
                await client.get(f"http://{address}/")
        shutdown.set()
    return response_text


def test_callers_are_served_over_tls_only() -> None:
    """With a certificate the entry serves TLS, and plain HTTP requests fail."""
    assert anyio.run(get_over_tls) == "https"
