"""Callers whose heads and bodies have no end, on the ports for callers and probes."""

from __future__ import annotations

import asyncio
import contextlib
import time

import anyio
import psutil
import pytest

from tests.http1.test_leaving_callers import LISTENERS
from tests.relay.harness import HOST, ScriptedServer, answer_ok, run_harness
from wisteriastair.core.routes import CallerLimits

START = b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent once, what is repeated without end, and the status of the answer.
FORMS = {
    "empty-lines": (b"", b"\r\n", 431),
    "long-method": (b"", b"A", 400),
    "long-target": (b"GET /", b"a", 431),
    "header-lines": (START, b"a: b\r\n", 431),
    "long-name": (START, b"a", 431),
    "long-value": (START + b"a: ", b"b", 431),
    "length": (START + b"Content-Length: 999999999999\r\n\r\n", b"x", 413),
    "chunks": (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n", 413),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n", 413),
    "chunk-extension": (CHUNKED + b"1;", b"a=b;", 431),
    "long-chunk-extension": (CHUNKED + b"1;", b"a", 431),
    "trailer-lines": (CHUNKED + b"0\r\n", b"a: b\r\n", 431),
    "long-trailer": (CHUNKED + b"0\r\na: ", b"b", 431),
}
PIECE_BYTES = 64 * 1024
# Two copies of the largest body that is read, and as much for allocation.
MAX_GROWTH_BYTES = 4 * CallerLimits().max_body_bytes
MAX_ANSWER_S = CallerLimits().idle_timeout_s


async def send_without_end(port: int, start: bytes, repeated: bytes) -> int:
    """Send until the connection ends; return the status of the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    piece = repeated * max(1, PIECE_BYTES // len(repeated))
    # The connection may be reset while more is sent.
    with contextlib.suppress(ConnectionError):
        writer.write(start)
        while not reader.at_eof() and not reader._buffer:  # type: ignore[attr-defined]
            writer.write(piece)
            await writer.drain()
            await anyio.sleep(0)
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        line = await reader.readuntil(b"\r\n")
        return int(line.split(b" ")[1])
    return 0


async def check(port: int, form: str) -> None:
    start, repeated, expected_status = FORMS[form]
    process = psutil.Process()
    resting_bytes = process.memory_info().rss
    started_at = time.monotonic()
    with anyio.fail_after(2 * MAX_ANSWER_S):
        status = await send_without_end(port, start, repeated)
    assert status == expected_status
    assert time.monotonic() - started_at < MAX_ANSWER_S
    assert process.memory_info().rss - resting_bytes < MAX_GROWTH_BYTES


@pytest.mark.parametrize("form", FORMS)
def test_a_request_without_end_is_rejected(form: str) -> None:
    """Guards against callers that fill the memory of a relay."""

    async def main() -> None:
        async with run_harness(ScriptedServer("s1", answer_ok)) as harness:
            await check(harness.port, form)

    anyio.run(main)


@pytest.mark.parametrize("name", LISTENERS)
@pytest.mark.parametrize("form", FORMS)
def test_a_probe_without_end_is_rejected(form: str, name: str) -> None:
    """Guards against probes and scrapes that fill the memory of a process."""

    async def main() -> None:
        listen, _ = LISTENERS[name]
        async with listen() as port:
            await check(port, form)

    anyio.run(main)
