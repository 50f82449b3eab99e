"""Listeners for probes and scrapes: connections that their peers leave open."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from wisteriastair.core.routes import CallerLimits
from wisteriastair.http1 import listener
from wisteriastair.http1.caller import CallerConnection, Handler
from wisteriastair.http1.listener import listen
from wisteriastair.http1.messages import BadRequest, Request

HOST = "127.0.0.1"
LIMITS = CallerLimits(header_timeout_s=0.2, idle_timeout_s=0.4)
BODY = b"x" * 1_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
CHECK_INTERVAL_S = 0.05
PIPELINED_REQUESTS = 64
SLOWLY_READ_RESPONSES = 3


class LargeBody(Handler):
    """Answers each request with a large body."""

    def __init__(self) -> None:
        self.caller_conn: CallerConnection | None = None
        self.answered = 0

    def is_closing(self) -> bool:
        return False

    def limits(self) -> CallerLimits:
        return LIMITS

    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        caller_conn.respond(bad.status, [], b"")

    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        self.answered += 1
        caller_conn.respond(200, [], BODY)


def run(
    scenario: Callable[[LargeBody, socket.socket], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Run a scenario with a handler and a connection to it."""
    monkeypatch.setattr(listener, "TIMEOUT_CHECK_INTERVAL_S", CHECK_INTERVAL_S)

    async def main() -> None:
        handler = LargeBody()
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                server = await listen(handler, HOST, 0, group)
                with socket.socket() as sock:
                    sock.setblocking(False)
                    await asyncio.get_running_loop().sock_connect(
                        sock, server.sockets[0].getsockname()
                    )
                    await scenario(handler, sock)
                server.close()
                group.cancel_scope.cancel()

    anyio.run(main)


async def read_until_closed(sock: socket.socket) -> int:
    """Return how many bytes arrive until the connection is closed or reset."""
    loop = asyncio.get_running_loop()
    size = 0
    try:
        while data := await loop.sock_recv(sock, 1 << 16):
            size += len(data)
    except ConnectionResetError:
        pass
    return size


@pytest.mark.parametrize(
    "data", [b"", REQUEST[:9], REQUEST[:-2], b"?!\r\n\r\n"], ids=repr
)
def test_a_connection_that_its_peer_leaves_open_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against descriptors that are lost to peers until the process ends."""

    async def scenario(handler: LargeBody, sock: socket.socket) -> None:
        await asyncio.get_running_loop().sock_sendall(sock, data)
        with anyio.fail_after(5):
            await read_until_closed(sock)
            # The sending side of a rejected request is closed at first.
            with pytest.raises(ConnectionError):
                while True:
                    await asyncio.get_running_loop().sock_sendall(sock, b"x")
                    await anyio.sleep(CHECK_INTERVAL_S)

    run(scenario, monkeypatch)
