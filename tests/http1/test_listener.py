"""Listeners for probes and scrapes: connections that their peers leave open."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from wisteriastair.core.routes import CallerLimits
from wisteriastair.http1 import listener
from wisteriastair.http1.caller import WRITE_BUFFER_BYTES, CallerConnection, Handler
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


@pytest.mark.parametrize("data", [REQUEST, LAST_REQUEST], ids=["kept", "last"])
def test_a_peer_that_reads_nothing_is_disconnected(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against responses that are held for peers that never read them."""

    async def scenario(handler: LargeBody, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(8):
            # Together larger than the buffers of the operating system.
            await loop.sock_sendall(sock, REQUEST)
        await loop.sock_sendall(sock, data)
        await anyio.sleep(LIMITS.idle_timeout_s * 3)
        with pytest.raises(ConnectionError):
            await loop.sock_sendall(sock, REQUEST)
            await anyio.sleep(CHECK_INTERVAL_S)
            await loop.sock_sendall(sock, REQUEST)

    run(scenario, monkeypatch)


def test_responses_to_pipelined_requests_wait_until_the_peer_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send buffer that grows with each pipelined request."""

    async def scenario(handler: LargeBody, sock: socket.socket) -> None:
        await asyncio.get_running_loop().sock_sendall(
            sock, REQUEST * PIPELINED_REQUESTS
        )
        await anyio.sleep(LIMITS.idle_timeout_s / 2)
        # What the operating system buffers, and one response above the write buffer.
        system_bytes = 16 * 1024 * 1024
        most_bytes = system_bytes + WRITE_BUFFER_BYTES + len(BODY)
        assert handler.answered * len(BODY) < most_bytes

    run(scenario, monkeypatch)


def test_a_peer_that_reads_slowly_gets_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a timeout that ends a response while its peer reads."""

    async def scenario(handler: LargeBody, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        await loop.sock_sendall(sock, REQUEST * SLOWLY_READ_RESPONSES)
        size = 0
        with anyio.fail_after(9):
            while size < SLOWLY_READ_RESPONSES * len(BODY):
                await anyio.sleep(LIMITS.idle_timeout_s / 40)
                size += len(await loop.sock_recv(sock, 1 << 16))

    run(scenario, monkeypatch)
