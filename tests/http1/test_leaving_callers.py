"""Callers that close, reset or stop reading at any step, on each HTTP listener."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import anyio
import pytest
from prometheus_client import CollectorRegistry, Gauge

from tests.http1.leaving import LEAVE, parts_of_request
from tests.relay.harness import HOST, Caller, Exchange, ScriptedServer, run_harness
from wisteriastair.core.stopping import Shutdown
from wisteriastair.http1.caller import Handler
from wisteriastair.http1.listener import listen
from wisteriastair.nodemetrics import MetricsHandler
from wisteriastair.relay.handler import ReadyHandler

# Each way to leave is tried this often: where the reset meets the response depends on
# the scheduling of both ends.
REPEATS = 8
TEST_TIMEOUT_S = 20.0


STEPS = tuple(parts_of_request(""))


class LoopErrors:
    """Collects what the event loop reports, such as exceptions of callbacks."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        asyncio.get_running_loop().set_exception_handler(self._add)

    def _add(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.messages.append(f"{context['message']}: {context.get('exception')!r}")


async def leave_repeatedly(
    port: int, data: str, leave: Callable[[socket.socket], None], wait_s: float
) -> list[socket.socket]:
    """Connect, send, wait and leave a few times; return the sockets."""
    loop = asyncio.get_running_loop()
    socks = []
    for _ in range(REPEATS):
        sock = socket.socket()
        sock.setblocking(False)
        socks.append(sock)
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, data.encode())
        if wait_s > 0:
            await anyio.sleep(wait_s)
        leave(sock)
    return socks


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[int]:
    """Serve a handler on a port until the block ends."""
    async with anyio.create_task_group() as group:
        listener = await listen(handler, HOST, 0, group)
        yield listener.sockets[0].getsockname()[1]
        listener.close()
        group.cancel_scope.cancel()


def metrics_listener() -> AbstractAsyncContextManager[int]:
    registry = CollectorRegistry()
    Gauge("level", "Some figure", registry=registry).set(1)
    return serve(MetricsHandler(registry))


def ready_listener() -> AbstractAsyncContextManager[int]:
    return serve(ReadyHandler(lambda: True))


LISTENERS = {
    "metrics": (metrics_listener, "/metrics"),
    "ready": (ready_listener, "/v1/ready"),
}


async def answer_after_a_while(exchange: Exchange) -> None:
    await anyio.sleep(0.05 if exchange.header("X-Request-Id") == "a" else 0.5)
    await exchange.answer("fine")


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        errors = LoopErrors()
        with anyio.fail_after(TEST_TIMEOUT_S):
            await scenario()
        assert errors.messages == []

    anyio.run(main)


@pytest.mark.parametrize("wait_s", [0.0, 0.02], ids=["at-once", "later"])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("way", LEAVE)
@pytest.mark.parametrize("path", ["/none/x", "/unsafe/x", "/safe/x"])
def test_a_leaving_caller_costs_no_other_request(
    path: str, way: str, step: str, wait_s: float
) -> None:
    """Guards against a process that ends because one of its callers leaves.

    The exception of a failed shutdown of a socket ended the task group of the process.
    """

    async def scenario() -> None:
        async with run_harness(ScriptedServer("s1", answer_after_a_while)) as harness:
            other = await harness.open()
            await other.send("unsafe", "other")
            data = parts_of_request(path)[step]
            socks = await leave_repeatedly(harness.port, data, LEAVE[way], wait_s)
            reply = await other.read()
            assert (reply.status, reply.body) == (200, b"fine")
            for sock in socks:
                sock.close()

    run(scenario)


@pytest.mark.parametrize("way", LEAVE)
def test_a_caller_that_leaves_a_stopping_relay_costs_no_other_request(
    way: str,
) -> None:
    """Guards against the same end of the process at a relay that is stopping.

    Each of its answers ends its connection.
    """

    async def scenario() -> None:
        async with run_harness(ScriptedServer("s1", answer_after_a_while)) as harness:
            harness.handler.shutdown = Shutdown(asyncio.get_running_loop().time(), 8.0)
            other = await harness.open()
            await other.send("unsafe", "other")
            data = parts_of_request("/none/x")["sent"]
            socks = await leave_repeatedly(harness.port, data, LEAVE[way], 0.0)
            reply = await other.read()
            assert (reply.status, reply.body) == (200, b"fine")
            for sock in socks:
                sock.close()

    run(scenario)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("way", LEAVE)
@pytest.mark.parametrize("name", LISTENERS)
def test_a_leaving_scraper_or_probe_does_not_end_the_process(
    name: str, way: str, step: str
) -> None:
    """Guards against scrapers and probes that end a relay or keeper when they leave."""

    async def scenario() -> None:
        listen, path = LISTENERS[name]
        async with listen() as port:
            for wait_s in (0.0, 0.02):
                data = parts_of_request(path)[step]
                socks = await leave_repeatedly(port, data, LEAVE[way], wait_s)
                for sock in socks:
                    sock.close()
            reader, writer = await asyncio.open_connection(HOST, port)
            caller = Caller(reader, writer)
            await caller.send_raw(parts_of_request(path)["last-request"])
            assert (await caller.read()).status == 200

    run(scenario)
