"""A caller's channel: what comes behind a request, and how a channel ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio
import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from wisteriastair.core.stopping import Shutdown
from wisteriastair.http1.caller import LINGER_S

PIPELINED = (
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\n"
    "X-Deadline-Ms: 2000\r\nContent-Length: 0\r\n{more}\r\n"
)


def test_requests_behind_the_last_answer_of_a_channel_are_not_run() -> None:
    """A caller has sent several requests at once when the process is told to stop.

    The first answer says that it is the channel's last one.  A request behind it that
    went on to a server ran for nobody: its answer could not be written any more, and
    the channel was reset.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        at.handler.shutdown = Shutdown(asyncio.get_running_loop().time(), 8.0)
        caller = await at.open()
        names = ("a", "b", "c")
        await caller.send_raw("".join(PIPELINED.format(id=n, more="") for n in names))
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        assert "Connection: close" in reply.head
        assert await caller.reader.read() == b""
        assert [exchange.header("X-Request-Id") for exchange in server.exchanges] == [
            "a"
        ]

    run_scenario([server], story)


@pytest.mark.parametrize(
    "first, then",
    [("Connection: close\r\n", PIPELINED.format(id="b", more="")), ("", "?!\r\n\r\n")],
    ids=["ended", "no-request"],
)
def test_bytes_behind_a_last_request_end_no_other_callers_channel(
    first: str, then: str
) -> None:
    """All callers of a relay lose their channels when one sends bytes behind a request.

    It had ended its channel with that request, or what follows is no request.  The
    refusal of those bytes was written behind the end of the channel, which failed, and
    the failure ended the process.
    """

    async def slow(exchange: Exchange) -> None:
        await anyio.sleep(0.3 if exchange.header("X-Request-Id") == "other" else 0.0)
        await exchange.answer("fine")

    async def story(at: RelayHarness) -> None:
        other = await at.open()
        await other.send("unsafe", "other")
        caller = await at.open()
        await caller.send_raw(PIPELINED.format(id="a", more=first) + then)
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        reply = await other.read()
        assert (reply.status, reply.body) == (200, b"fine")

    run_scenario([ScriptedServer("s1", slow)], story)


def test_a_request_is_not_broken_off_for_what_follows_it() -> None:
    """A caller's request is cut off a second after it sent bytes that are no request.

    They came behind the request, on the same channel, while a server was at work on it.
    Refused channels are closed after a moment; this one had its answer to come.
    """

    async def slow(exchange: Exchange) -> None:
        await anyio.sleep(0.4)
        await exchange.answer("fine")

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        await caller.send_raw(PIPELINED.format(id="a", more="") + "?!\r\n\r\n")
        await anyio.sleep(0.2)
        for caller_conn in at.caller_conns:
            caller_conn.enforce_timeouts(asyncio.get_running_loop().time() + LINGER_S)
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")

    run_scenario([ScriptedServer("s1", slow)], story)


SMALL_BUFFER = 16 * 1024
LONG_ANSWER = "y" * 400_000


async def call_slowly(at: RelayHarness, sent: bytes) -> bytes:
    """Send a request that ends its channel, then more; read late, while it stops.

    Returns
    -------
    bytes
        What the caller read until its channel ended.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", at.port))
        await loop.sock_sendall(caller, sent)
        answer = b""
        for _ in range(12):
            await anyio.sleep(0.05)
            with contextlib.suppress(OSError):
                await loop.sock_sendall(caller, b"x" * 1024)
            for caller_conn in list(at.caller_conns):
                caller_conn.close_if_idle()
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(caller, 1 << 16):
                answer += data
        return answer


@pytest.mark.parametrize(
    "sent",
    [
        PIPELINED.format(id="a", more="").encode(),
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n",
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 70_000,
        b"?!\r\n\r\n",
    ],
    ids=["answered", "body", "headers", "no-request"],
)
def test_a_caller_that_still_sends_gets_its_last_answer_whole(sent: bytes) -> None:
    """A caller loses the end of an answer, since its channel is closed beneath it.

    The relay is stopping, and closes channels on which nothing is under way.  This one
    has had its last answer, which the caller reads late, and the caller still sends:
    closed with bytes unread, the channel is reset, and what was on its way is lost.
    """

    async def long(exchange: Exchange) -> None:
        await exchange.answer(LONG_ANSWER)

    async def story(at: RelayHarness) -> None:
        at.handler.shutdown = Shutdown(asyncio.get_running_loop().time(), 8.0)
        answer = await call_slowly(at, sent)
        head, _, body = answer.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        assert len(body) == length

    run_scenario([ScriptedServer("s1", long)], story)
