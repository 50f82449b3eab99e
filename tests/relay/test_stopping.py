"""Planned stop of a relay: every request that it has read is answered."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import anyio.to_thread
import pytest
from anyio.abc import TaskGroup

from tests.platform.settings_file import write_settings
from tests.platform.standin_store import StoreStandin
from tests.relay.harness import Caller, Exchange, Reply, ScriptedServer, route
from tests.relay.machines import (
    CONFIG,
    KEEPER_IP,
    OTHER_KEEPER_IP,
    OTHER_RELAY_IP,
    RELAY_IP,
    Deployment,
    free_port,
    run_scenario,
)
from wisteriastair.core.routes import (
    CallerLimits,
    RequestKind,
    RouteTable,
    Service,
)
from wisteriastair.core.stopping import Shutdown
from wisteriastair.nodeoptions import NodeOptions
from wisteriastair.platform.settings import load_settings
from wisteriastair.relay.daemon import Relay
from wisteriastair.scheduling.fleet import Server

LARGE_BODY = "x" * (7 * 1024 * 1024)
CHUNK_BYTES = 64 * 1024


async def answer_ok(exchange: Exchange) -> None:
    await exchange.answer("fine")


async def read_slowly(request_id: str, port: int, rate: float) -> tuple[str, int]:
    """Send a request on a new connection and read the response at a limited rate.

    Parameters
    ----------
    rate : float
        Bytes per second.

    Returns
    -------
    tuple of str and int
        Status line, and length of the body.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CHUNK_BYTES)
    sock.setblocking(False)
    await loop.sock_connect(sock, (RELAY_IP, port))
    head = (
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 5000\r\n\r\n"
    )
    await loop.sock_sendall(sock, head.encode())
    received = b""
    started_at = loop.time()
    try:
        while data := await loop.sock_recv(sock, CHUNK_BYTES):
            received += data
            await anyio.sleep(max(0.0, started_at + len(received) / rate - loop.time()))
    except ConnectionError:
        pass
    sock.close()
    first, _, body = received.partition(b"\r\n\r\n")
    return first.decode().partition("\r\n")[0], len(body)


def test_stop_does_not_truncate_a_response_being_read(tmp_path: Path) -> None:
    """A caller reads a response of 7 MB at 2 MB/s while the relay stops.

    That takes 3.5 s of the remaining 6.3 s.  A relay that ends as soon as the response
    is in its write buffer truncates it: 6,797,047 of 7,340,032 bytes were received.
    """

    async def large(exchange: Exchange) -> None:
        big = exchange.header("X-Request-Id") == "big"
        await exchange.answer(LARGE_BODY if big else "fine")

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(1.0)
        status, size = await read_slowly("big", deployment.front, 2_000_000)
        assert status.startswith("HTTP/1.1 200")
        assert size == len(LARGE_BODY)
        assert await anyio.to_thread.run_sync(relay.wait) == 0

    run_scenario(ScriptedServer("s1", large), tmp_path, scenario)


def test_request_arriving_while_acceptance_ends_is_answered(
    tmp_path: Path,
) -> None:
    """A request starts 0.6 s before the relay stops accepting, and ends 0.7 s after.

    A relay that ends when it has no complete request would not answer this one.
    """

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        caller = await deployment.open(deployment.front)
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(1.9)
        await caller.send_raw(
            "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: up\r\n"
            "X-Deadline-Ms: 3000\r\nContent-Length: 10\r\n\r\n12345"
        )
        await anyio.sleep(1.3)
        try:
            await caller.send_raw("67890")
            reply = await caller.read()
        except OSError:
            reply = Reply(0, "", b"", False)
        assert reply.status in (200, 503)

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, scenario)


def test_relay_suspended_during_its_stop_accepts_no_request(
    tmp_path: Path,
) -> None:
    """A stopping process is suspended, and resumes when its stop should be over.

    A request that arrived meanwhile must not be sent to a server, since it would be cut
    at once.  A relay that checks the time only every 50 ms would still accept it.
    """

    async def slow(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "late":
            await asyncio.sleep(0.5)
        await exchange.answer("fine")

    server = ScriptedServer("s1", slow)

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        caller = await deployment.open(deployment.front)
        await anyio.sleep(0.1)
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(0.3)
        relay.send_signal(signal.SIGSTOP)
        await anyio.sleep(7.3)
        await caller.send("unsafe", "late")
        relay.send_signal(signal.SIGCONT)
        reply = await caller.read()
        ran = {exchange.header("X-Request-Id") for exchange in server.exchanges}
        assert reply.status == 503
        assert "late" not in ran

    run_scenario(server, tmp_path, scenario)


@pytest.mark.parametrize("turns", range(8))
def test_caller_connecting_as_the_last_connection_closes_is_not_cut(
    turns: int, tmp_path: Path
) -> None:
    """A stop ends early once no connection is left; a caller connects at that moment.

    An accepted connection is registered some loop iterations later.  If it were served
    just before the process ends, its request would reach a server and get no response.
    The test tries several numbers of iterations in between.
    """

    async def slow(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "late":
            await asyncio.sleep(0.6)
        await exchange.answer("fine")

    async def main() -> None:
        server = ScriptedServer("s1", slow)
        await server.start()
        relay = Relay(_relay_settings(tmp_path))
        relay._fleet.put(Server(server.id, "svc", server.address, "z1", 8, False, 0.0))
        short = route("unsafe", RequestKind.UNSAFE, timeout_s=1.0)
        services = {"svc": Service("svc", 10, None)}
        relay._handler.table = RouteTable(1, (short,), services, CallerLimits())
        host, _, port = relay._cfg.caller_address.rpartition(":")

        async def serve(group: TaskGroup) -> None:
            await relay._serve(group)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(serve, group)
            await anyio.sleep(0.1)
            reader, writer = await asyncio.open_connection(host, int(port))
            first = Caller(reader, writer)
            await first.send("unsafe", "first")
            assert (await first.read()).status == 200
            writer.close()
            await anyio.sleep(0.1)
            relay._handler.shutdown = Shutdown(
                asyncio.get_running_loop().time() - 3.0, 8.0
            )
            late = socket.create_connection((host, int(port)))
            late.sendall(
                b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\n"
                b"X-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
            )
            for _ in range(turns):
                await asyncio.sleep(0)
            relay._shutdown_requested.set()
        await anyio.sleep(0.1)
        late.settimeout(0.1)
        try:
            reply = late.recv(CHUNK_BYTES)
        except OSError:
            reply = b""
        late.close()
        server.stop()
        assert relay._handler.stopped_accepting
        ran = {exchange.header("X-Request-Id") for exchange in server.exchanges}
        assert "late" not in ran or reply.startswith(b"HTTP/1.1 200")

    anyio.run(main)


def _relay_settings(folder: Path) -> NodeOptions:
    path = write_settings(
        folder / "relay.toml",
        name="relay",
        ip=RELAY_IP,
        zone="z1",
        internal_port=free_port(),
        store=f"{RELAY_IP}:1",
        data_dir=folder,
        front=f"{RELAY_IP}:{free_port()}",
        ready=f"{RELAY_IP}:{free_port()}",
    )
    cfg = load_settings(str(path))
    assert isinstance(cfg, NodeOptions)
    return cfg


def test_turn_aborted_by_the_stop_releases_unused_tokens(
    tmp_path: Path,
) -> None:
    """A program's budget is reported as spent, with 950 of 1,000 tokens left.

    A turn that has reserved 900 tokens is aborted at the end of the grace period, after
    two events (50 tokens).  If the process ends before it has settled the turn, all 900
    tokens stay reserved, and the next turn, which needs 200, is refused.
    """

    async def streams(exchange: Exchange) -> None:
        if "/unsafe/" in exchange.head:
            await exchange.answer("fine")
            return
        await exchange.stream("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", end=False)
        if exchange.header("X-Request-Id") == "cut":
            await asyncio.sleep(20)
        await exchange.end_stream()

    async def turn(deployment: Deployment, ip: str, name: str, tokens: int) -> Reply:
        caller = await deployment.open(deployment.front, ip)
        await caller.send(
            "long",
            name,
            X_Deadline_Ms="20000",
            X_Program_Id="p",
            X_Token_Usage=f"10,{tokens}",
            X_Token_Budget="1000",
        )
        return await caller.read()

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        store.put("op/config", json.dumps(LONG_TURNS).encode())
        for ip in (KEEPER_IP, OTHER_KEEPER_IP):
            await stack.enter_async_context(deployment.run("keeper", ip))
        relay, _ = [
            await stack.enter_async_context(deployment.run("relay", ip))
            for ip in (RELAY_IP, OTHER_RELAY_IP)
        ]
        for ip in (RELAY_IP, OTHER_RELAY_IP):
            assert (await deployment.run_turn(ip, f"first-{ip}", ip)).status == 200
        replies: list[Reply] = []

        async def send_request() -> None:
            replies.append(await turn(deployment, RELAY_IP, "cut", 900))

        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            await anyio.sleep(0.5)
            relay.send_signal(signal.SIGTERM)
        assert not replies[0].whole
        assert await anyio.to_thread.run_sync(relay.wait) == 0
        after = await turn(deployment, OTHER_RELAY_IP, "after", 200)
        assert after.status == 200, after.body

    run_scenario(ScriptedServer("s1", streams), tmp_path, scenario)


LONG_TURNS = {
    **CONFIG,
    "version": 4,
    "routes": [
        *CONFIG["routes"],
        {
            "name": "l",
            "host": "h",
            "prefix": "/long/",
            "kind": "stream",
            "timeoutMs": 30000,
            "service": "svc",
        },
    ],
    "services": [
        {
            "name": "svc",
            "maxConns": 10,
            "engine": {"slots": 8, "kvCapacityTokens": 100000, "tokensPerEvent": 25},
        }
    ],
}
