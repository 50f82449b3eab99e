"""Connections of callers: data after a request, and how a connection closes."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio
import pytest

from tests.relay.harness import (
    STAMP,
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    route,
    run_scenario,
)
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable
from wisteriastair.core.stopping import Shutdown
from wisteriastair.http1.caller import LINGER_TIMEOUT_S

PIPELINED = (
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\n"
    "X-Deadline-Ms: 2000\r\nContent-Length: 0\r\n{more}\r\n"
)


def test_requests_after_the_last_response_are_not_executed() -> None:
    """A caller has pipelined several requests when the process starts to stop.

    The first response announces the close of the connection.  Guards against running a
    later request: its response could not be sent, and the connection was reset.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        harness.handler.shutdown = Shutdown(asyncio.get_running_loop().time(), 8.0)
        caller = await harness.open()
        names = ("a", "b", "c")
        await caller.send_raw("".join(PIPELINED.format(id=n, more="") for n in names))
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        assert "Connection: close" in reply.head
        assert await caller.reader.read() == b""
        assert [exchange.header("X-Request-Id") for exchange in server.exchanges] == [
            "a"
        ]

    run_scenario([server], scenario)


@pytest.mark.parametrize(
    "first_headers, later_data",
    [("Connection: close\r\n", PIPELINED.format(id="b", more="")), ("", "?!\r\n\r\n")],
    ids=["ended", "no-request"],
)
def test_data_after_a_last_request_closes_no_other_connection(
    first_headers: str, later_data: str
) -> None:
    """All callers lose their connections when one sends data after its request.

    That request closes the connection, or the data is not a request.  Guards against
    writing the rejection after the end of the connection, which raised an exception
    that ended the process.
    """

    async def answer_late(exchange: Exchange) -> None:
        await anyio.sleep(0.3 if exchange.header("X-Request-Id") == "other" else 0.0)
        await exchange.answer("fine")

    async def scenario(harness: RelayHarness) -> None:
        other = await harness.open()
        await other.send("unsafe", "other")
        caller = await harness.open()
        await caller.send_raw(PIPELINED.format(id="a", more=first_headers) + later_data)
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        reply = await other.read()
        assert (reply.status, reply.body) == (200, b"fine")

    run_scenario([ScriptedServer("s1", answer_late)], scenario)


def test_a_request_is_not_aborted_because_of_later_data() -> None:
    """A caller's request is aborted a second after the caller sent invalid data.

    The data follows the request on the same connection while a server processes the
    request.  Connections with a rejected request are closed after a short time.  Guards
    against closing one that still waits for an earlier response.
    """

    async def answer_late(exchange: Exchange) -> None:
        await anyio.sleep(0.4)
        await exchange.answer("fine")

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send_raw(PIPELINED.format(id="a", more="") + "?!\r\n\r\n")
        await anyio.sleep(0.2)
        for caller_conn in harness.caller_conns:
            caller_conn.enforce_timeouts(
                asyncio.get_running_loop().time() + LINGER_TIMEOUT_S
            )
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")

    run_scenario([ScriptedServer("s1", answer_late)], scenario)


SMALL_BUFFER_BYTES = 16 * 1024
LONG_RESPONSE = "y" * 400_000


async def send_and_read_late(harness: RelayHarness, sent_data: bytes) -> bytes:
    """Send a request that closes the connection, then more data, and read late.

    The relay is stopping meanwhile.

    Returns
    -------
    bytes
        Data that the caller received until the connection closed.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", harness.port))
        await loop.sock_sendall(caller, sent_data)
        response = b""
        for _ in range(12):
            await anyio.sleep(0.05)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(caller, b"x" * 1024)
            for caller_conn in list(harness.caller_conns):
                caller_conn.close_if_idle()
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(caller, 1 << 16):
                response += data
        return response


@pytest.mark.parametrize(
    "sent_data",
    [
        PIPELINED.format(id="a", more="").encode(),
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n",
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 70_000,
        b"?!\r\n\r\n",
    ],
    ids=["answered", "body", "headers", "no-request"],
)
def test_a_caller_that_still_sends_gets_its_complete_last_response(
    sent_data: bytes,
) -> None:
    """A caller loses the end of a response because the relay closes the connection.

    The relay is stopping and closes idle connections.  The caller reads its last
    response late and still sends.  Closing with unread data resets the connection and
    loses the rest of the response.
    """

    async def send_long_response(exchange: Exchange) -> None:
        await exchange.answer(LONG_RESPONSE)

    async def scenario(harness: RelayHarness) -> None:
        harness.handler.shutdown = Shutdown(asyncio.get_running_loop().time(), 8.0)
        response = await send_and_read_late(harness, sent_data)
        head, _, body = response.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        assert len(body) == length

    run_scenario([ScriptedServer("s1", send_long_response)], scenario)


UPGRADE = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAM\r\n"
)
BODY = "what was ordered"
POST = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\n"
FRAMED_BODIES = {
    "length": f"Content-Length: {len(BODY)}\r\n\r\n{BODY}",
    "chunks": f"Transfer-Encoding: chunked\r\n\r\n{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("part_bytes", [1, 50, 10_000])
@pytest.mark.parametrize("framing", FRAMED_BODIES)
def test_a_request_that_offers_an_upgrade_runs_with_its_body(
    framing: str, part_bytes: int
) -> None:
    """Guards against a request that runs without the body that its caller sent."""
    bodies: list[bytes] = []

    async def script(exchange: Exchange) -> None:
        bodies.append(exchange.body)
        assert exchange.header("Upgrade") == ""
        await exchange.answer("fine")

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        request = POST + UPGRADE + FRAMED_BODIES[framing]
        data = request.format(id="a") + request.format(id="b")
        for position in range(0, len(data), part_bytes):
            await caller.send_raw(data[position : position + part_bytes])
            await anyio.sleep(0)
        for _ in range(2):
            reply = await caller.read()
            assert (reply.status, reply.body) == (200, b"fine")
        assert bodies == [BODY.encode()] * 2

    run_scenario([ScriptedServer("s1", script)], scenario)


def test_a_tunnel_is_rejected() -> None:
    """Guards against running a request that asks for a tunnel."""
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send_raw("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n?")
        assert (await caller.read()).status == 400
        assert not server.exchanges

    run_scenario([server], scenario)


@pytest.mark.parametrize(
    "path, headers, status",
    [
        ("/none/x", "", 404),
        ("/unsafe/x", "", 200),
        ("/turn/x", "", 200),
        ("/failing/x", "", 502),
        ("/unsafe/x", "X-Deadline-Ms: soon\r\n", 400),
        ("/unsafe/x", "X: " + "x" * 20_000 + "\r\n", 431),
        ("/unsafe/x", "Host: other\r\n", 400),
    ],
    ids=["unknown", "plain", "stream", "failed", "header", "large", "framing"],
)
def test_the_response_to_a_head_request_has_no_body(
    path: str, headers: str, status: int
) -> None:
    """Guards against bytes on a connection that belong to no response."""

    async def script(exchange: Exchange) -> None:
        if "failing" in exchange.head:
            exchange.reset()
            return
        request_id = exchange.header("X-Request-Id")
        await exchange.write_text(
            f"HTTP/1.1 200 OK\nX-Request-Id: {request_id}\n{STAMP}\n"
            f"Content-Length: {4 if exchange.head.startswith('HEAD') else 0}\n\n"
        )

    async def scenario(harness: RelayHarness) -> None:
        table = harness.handler.table
        assert table is not None
        failing = route("failing", RequestKind.UNSAFE)
        harness.handler.table = RouteTable(
            1, (*table.routes, failing), table.services, CallerLimits()
        )
        caller = await harness.open()
        start = f"HEAD {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
        await caller.send_raw(start + headers + "\r\n")
        head = (await caller.reader.readuntil(b"\r\n\r\n")).decode()
        assert int(head.split(" ")[1]) == status
        if "Connection: close" in head:
            assert await caller.reader.read() == b""
            return
        await caller.send_raw(PIPELINED.format(id="b", more="Connection: close\r\n"))
        assert (await caller.reader.read()).startswith(b"HTTP/1.1 200 OK\r\n")

    run_scenario([ScriptedServer("s1", script)], scenario)


def test_a_body_is_asked_for_after_the_earlier_responses() -> None:
    """Guards against an interim response in the middle of another response.

    A caller has pipelined a request that holds back its body.
    """

    async def script(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "a":
            await exchange.stream("data: 1\n\n", "data: 2\n\n", gap_s=0.1)
        else:
            await exchange.answer(exchange.body.decode())

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send("talk", "a")
        second = PIPELINED.format(id="b", more="Expect: 100-continue\r\n")
        await caller.send_raw(second.replace("Length: 0", "Length: 2"))
        reply = await caller.read()
        assert (reply.whole, reply.body) == (True, b"data: 1\n\ndata: 2\n\n")
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        await caller.send_raw("ab")
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"ab")

    run_scenario([ScriptedServer("s1", script)], scenario)
