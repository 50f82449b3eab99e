"""What is left for the garbage collector of requests that have ended.

The collector runs after a number of objects, whatever their size: with bodies of a
megabyte, relays exceeded their memory before it ran.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.relay.harness import (
    Caller,
    Exchange,
    RelayHarness,
    ScriptedServer,
    run_scenario,
)
from wisteriastair.scheduling.buffers import BufferLimits

BODY_BYTES = 400_000
MEBIBYTE = 1024 * 1024
LIMITS = BufferLimits(40 * MEBIBYTE, 28 * MEBIBYTE, 20 * MEBIBYTE)
KINDS = ["safe", "unsafe", "turn", "talk"]
PROGRAM = "X-Program-Id: p1\r\nX-Token-Usage: 10,200\r\nX-Token-Budget: 100000\r\n"
ENDS: dict[str, Callable[[Exchange, str], Awaitable[None]]] = {}


def end(
    script: Callable[[Exchange, str], Awaitable[None]],
) -> Callable[[Exchange, str], Awaitable[None]]:
    """Add a way in which requests end."""
    ENDS[script.__name__] = script
    return script


def is_stream(kind: str) -> bool:
    return kind in ("turn", "talk")


async def start_answer(exchange: Exchange, kind: str) -> None:
    if is_stream(kind):
        await exchange.send_event("id: 1\ndata: x\n\n")
        return
    await exchange.write_text(
        f"HTTP/1.1 200 OK\nX-Request-Id: {exchange.header('X-Request-Id')}\n"
        "X-Server-Stamp: s\nContent-Length: 100\n\nx"
    )


@end
async def whole(exchange: Exchange, kind: str) -> None:
    if is_stream(kind):
        await exchange.stream("id: 1\ndata: x\n\n")
    else:
        await exchange.answer("fine")


@end
async def refused(exchange: Exchange, kind: str) -> None:
    await exchange.answer(
        "", status="503 Service Unavailable", extra_head="X-Not-Executed: 1\n"
    )


@end
async def failed(exchange: Exchange, kind: str) -> None:
    await exchange.answer("broken", status="500 Internal Server Error")


@end
async def broken_off_at_once(exchange: Exchange, kind: str) -> None:
    exchange.reset()


@end
async def broken_off_midway(exchange: Exchange, kind: str) -> None:
    await start_answer(exchange, kind)
    await anyio.sleep(0.02)
    exchange.reset()


@end
async def not_http(exchange: Exchange, kind: str) -> None:
    await exchange.write_text("what?\n\n")


@end
async def with_data_behind_it(exchange: Exchange, kind: str) -> None:
    await whole(exchange, kind)
    await exchange.write_text("HTTP/1.1 200 OK\nContent-Length: 0\n\n")


@end
async def left_before_the_answer(exchange: Exchange, kind: str) -> None:
    await exchange.reader.read()


@end
async def left_midway(exchange: Exchange, kind: str) -> None:
    await start_answer(exchange, kind)
    await exchange.reader.read()


@end
async def left_in_the_body(exchange: Exchange, kind: str) -> None:
    raise AssertionError("the request never arrives as a whole")


@end
async def timed_out(exchange: Exchange, kind: str) -> None:
    await exchange.reader.read()


@end
async def timed_out_midway(exchange: Exchange, kind: str) -> None:
    await start_answer(exchange, kind)
    await exchange.reader.read()


@end
async def retried(exchange: Exchange, kind: str) -> None:
    if exchange.header("X-Expect-Instance") == "s0":
        await refused(exchange, kind)
    else:
        await whole(exchange, kind)


async def send(harness: RelayHarness, kind: str, request_id: str, way: str) -> Caller:
    caller = await harness.open()
    deadline_ms = 300 if way.startswith("timed_out") else 2000
    caller.writer.write(
        f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{PROGRAM}"
        f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    )
    sent_bytes = BODY_BYTES - 1 if way == "left_in_the_body" else BODY_BYTES
    caller.writer.write(b"x" * sent_bytes)
    await caller.writer.drain()
    return caller


async def play(harness: RelayHarness, kind: str, way: str) -> None:
    """Send a request, and wait for its end in every process."""
    caller = await send(harness, kind, f"q-{kind}-{way}", way)
    if way == "left_midway" and is_stream(kind):
        await caller.reader.readuntil(b"data: x")
    elif way.startswith("left"):
        await anyio.sleep(0.15)
    else:
        await caller.read()
    caller.writer.close()
    with anyio.fail_after(3):
        while harness.handler.active_requests or harness.caller_conns:
            await anyio.sleep(0.01)
    # Tasks and connections that were cancelled end in the next iterations of the loop.
    await anyio.sleep(0.05)


@pytest.mark.parametrize("limits", [None, LIMITS], ids=["plain", "pressure"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("way", list(ENDS))
def test_no_body_waits_for_the_garbage_collector(
    kind: str, way: str, limits: BufferLimits | None
) -> None:
    """Bodies of requests that had ended stayed in reference cycles."""

    async def serve(exchange: Exchange) -> None:
        script = ENDS[way]
        # Only the relay is under test.
        exchange.body = b""
        await script(exchange, kind)

    async def scenario(harness: RelayHarness) -> None:
        await play(harness, kind, way)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            await play(harness, kind, way)
            kept, _ = tracemalloc.get_traced_memory()
            gc.collect()
            needed, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        assert kept - needed < BODY_BYTES / 2

    servers = [ScriptedServer(f"s{n}", serve) for n in range(2)]
    run_scenario(servers, scenario, limits)
