"""A relay under memory pressure: slow callers, slow servers, and overload."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

import anyio
import pytest

from tests.relay.harness import (
    HOST,
    Caller,
    Exchange,
    RelayHarness,
    Script,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from wisteriastair.core.routes import CallerLimits
from wisteriastair.relay.admission import AdmissionGate
from wisteriastair.relay.pressure import RelayPressure
from wisteriastair.scheduling.buffers import REASONS, BufferLimits

# The kernel's buffers hold up to some megabytes for a connection on loopback, which
# would hide slow callers from the relay.
SMALL_BUFFER = 4 * 1024
LIMITS = BufferLimits(20_000_000, 14_000_000, 10_000_000)
TURN = {"X_Program_Id": "p", "X_Token_Usage": "10,10000", "X_Token_Budget": "1000000"}
EVENT = f"id: 1\ndata: {'x' * 50_000}\n\n"


async def open_slow(harness: RelayHarness) -> Caller:
    """Open a connection with small buffers in the kernel on both sides."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, harness.port))
    address = sock.getsockname()
    reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER)
    while True:
        for caller_conn in harness.caller_conns:
            accepted = caller_conn._transport.get_extra_info("socket")
            if accepted.fileno() >= 0 and accepted.getpeername() == address:
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
                return Caller(reader, writer)
        await anyio.sleep(0)


def pressure_of(harness: RelayHarness) -> RelayPressure:
    assert harness.pressure is not None
    return harness.pressure


async def wait_empty(harness: RelayHarness) -> None:
    """Wait until nothing is held any more; the test's time-out ends it otherwise."""
    while pressure_of(harness).buffers.held_bytes:
        await anyio.sleep(0.02)


def stream_of(events: int) -> tuple[Script, list[int]]:
    """Make a script that streams large events, and the list of events sent."""
    sent: list[int] = []

    async def script(exchange: Exchange) -> None:
        for number in range(events):
            await exchange.send_event(EVENT)
            sent.append(number)
        await exchange.end_stream()

    return script, sent


def test_a_slow_reader_of_a_stream_does_not_leave_its_server_unread() -> None:
    """A caller does not read its stream of 2.5 MB, which is within its share.

    A server aborts a response that remains unread for some seconds.  The relay must
    read it to the end, and the caller gets all of it later.
    """
    script, sent = stream_of(50)

    async def scenario(harness: RelayHarness) -> None:
        caller = await open_slow(harness)
        await caller.send("long", "q1", **TURN)
        while len(sent) < 50:
            await anyio.sleep(0.01)
        reply = await caller.read()
        assert (reply.status, reply.whole) == (200, True)
        assert len(reply.body) == 50 * len(EVENT)
        await wait_empty(harness)

    run_scenario([ScriptedServer("s1", script)], scenario, LIMITS)


def test_only_the_slow_reader_is_closed_once_its_share_is_used_up() -> None:
    """One caller reads nothing of a stream of 8 MB; another one reads.

    Only the first connection is closed, a second after a third of the low-water mark
    was reached, and its response is not complete for the caller.
    """
    script, _ = stream_of(160)

    async def scenario(harness: RelayHarness) -> None:
        slow = await open_slow(harness)
        deadline = {"X_Deadline_Ms": "9000"}
        await slow.send("long", "slow", **TURN, **deadline)
        fast = await harness.open()
        await fast.send("long", "fast", **(TURN | {"X_Program_Id": "f"}), **deadline)
        reply = await fast.read()
        assert (reply.status, reply.whole) == (200, True)
        buffers = pressure_of(harness).buffers
        while not buffers.disconnected_counts["share"]:
            await anyio.sleep(0.02)
        assert buffers.disconnected_counts == dict.fromkeys(REASONS, 0) | {"share": 1}
        # The fast caller's unsent data is within its own share.
        assert 3_000_000 < buffers.peak_bytes < 7_500_000
        assert not (await slow.read()).whole
        await wait_empty(harness)

    run_scenario([ScriptedServer("s1", script)], scenario, LIMITS)


def test_the_body_for_a_slow_server_counts_until_it_is_read() -> None:
    """A server does not read the bodies that it gets.

    Above the high-water mark, new requests are refused before they reach a server, and
    accepted again once the bodies have been read.
    """
    may_read = asyncio.Event()
    seen: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                exchange = Exchange(head, b"", reader, writer)
                seen.append(exchange.header("X-Request-Id"))
                await may_read.wait()
                await reader.readexactly(int(exchange.header("Content-Length") or 0))
                await exchange.answer("fine")

    class SlowServer(ScriptedServer):
        async def start(self) -> None:
            self._server = await asyncio.start_server(serve, HOST, 0)
            self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def scenario(harness: RelayHarness) -> None:
        table = harness.handler.table
        assert table is not None
        table.limits = CallerLimits(max_body_bytes=8_000_000)
        buffers = pressure_of(harness).buffers
        caller = await harness.open()
        await caller.send("unsafe", "q1", "x" * 6_000_000)
        while not buffers.is_refusing:
            await anyio.sleep(0.01)
        # The body, the request that was made of it, and what the server has not read.
        assert buffers.held_bytes > 14_000_000
        reply = await harness.request("unsafe", "q2")
        assert reply.status == 503
        assert "Retry-After: 0.1" in reply.head
        assert "X-Request-Id: q2" in reply.head
        assert b'"ran":"no"' in reply.body
        may_read.set()
        assert (await caller.read()).status == 200
        await wait_empty(harness)
        assert (await harness.request("unsafe", "q3")).status == 200
        assert seen == ["q1", "q3"]

    run_scenario([SlowServer("s1", answer_ok)], scenario, LIMITS)


def test_a_large_body_is_refused_before_it_is_read() -> None:
    """A body is announced that does not fit: 503, and no server gets the request."""
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        buffers = pressure_of(harness).buffers
        account = buffers.open(
            is_caller=False, measure=lambda: 0, disconnect=lambda reason: None
        )
        buffers.keep(account, 13_000_000)
        table = harness.handler.table
        assert table is not None
        table.limits = CallerLimits(max_body_bytes=8_000_000)
        caller = await harness.open()
        await caller.send_raw(
            "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
            "X-Deadline-Ms: 2000\r\nContent-Length: 8000000\r\n\r\n"
        )
        reply = await caller.read()
        assert (reply.status, "Connection: close" in reply.head) == (503, True)
        assert buffers.held_bytes < 14_000_000
        assert server.exchanges == []
        buffers.close(account)

    run_scenario([server], scenario, LIMITS)


def test_hundreds_of_slow_readers_stop_new_work_but_no_running_stream() -> None:
    """300 callers read nothing of their responses of 100 kB while a stream runs.

    New requests are refused, the held bytes stay within the budget, and the stream goes
    on to its end.
    """
    limits = BufferLimits(10_000_000, 7_000_000, 5_000_000)
    go_on = asyncio.Event()

    async def script(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") != "stream":
            await exchange.answer("y" * 100_000)
            return
        await exchange.send_event("id: 1\ndata: one\n\n")
        await go_on.wait()
        await exchange.send_event("id: 2\ndata: two\n\n")
        await exchange.end_stream()

    servers = [ScriptedServer(f"s{n}", script) for n in range(4)]

    async def scenario(harness: RelayHarness) -> None:
        buffers = pressure_of(harness).buffers
        stream = await harness.open()
        await stream.send("long", "stream", **TURN, X_Deadline_Ms="9000")
        await anyio.sleep(0.1)
        slow: list[Caller] = []
        # Callers above their share are closed after a second, and on a slow machine 300
        # take longer than that to open. More follow until the mark is crossed.
        while len(slow) < 300 or not buffers.is_refusing:
            caller = await open_slow(harness)
            slow.append(caller)
            await caller.send("unsafe", f"q{len(slow)}")
            if len(slow) % 20 == 0:
                await anyio.sleep(0.01)
        assert (await harness.request("unsafe", "new")).status == 503
        go_on.set()
        reply = await stream.read()
        assert (reply.status, reply.whole) == (200, True)
        assert buffers.peak_bytes <= limits.budget_bytes
        for caller in slow:
            caller.writer.transport.abort()
        await wait_empty(harness)
        assert (await harness.request("unsafe", "later")).status == 200

    run_scenario(servers, scenario, limits)


def test_pipelined_requests_wait_until_the_caller_reads() -> None:
    """A caller sends eight requests for 1 MB each and reads nothing.

    Each response is ready, so none closes the connection; without waiting, they would
    all be held at once.
    """
    server = ScriptedServer("s1", lambda exchange: exchange.answer("y" * 1_000_000))

    async def scenario(harness: RelayHarness) -> None:
        caller = await open_slow(harness)
        for number in range(8):
            await caller.send("unsafe", f"q{number}")
        await anyio.sleep(0.5)
        assert pressure_of(harness).buffers.held_bytes < 2_000_000
        for _ in range(8):
            assert len((await caller.read()).body) == 1_000_000
        await wait_empty(harness)

    run_scenario([server], scenario, LIMITS)


@pytest.mark.parametrize("seed", range(12))
def test_the_budget_is_returned_when_connections_die_at_any_point(seed: int) -> None:
    """Callers and servers reset their connections at drawn points.

    Bytes that are not returned would add up until the relay refuses everything.
    """
    rng = random.Random(seed)

    async def script(exchange: Exchange) -> None:
        await anyio.sleep(rng.uniform(0.0, 0.02))
        if rng.random() < 0.2:
            exchange.reset()
        elif "/unsafe/" in exchange.head:
            await exchange.answer("y" * rng.randrange(300_000))
        else:
            for _ in range(rng.randrange(1, 6)):
                if rng.random() < 0.1:
                    exchange.reset()
                    return
                await exchange.send_event(EVENT)
            await exchange.end_stream()

    async def call(harness: RelayHarness, number: int) -> None:
        caller = await open_slow(harness)
        name = rng.choice(("unsafe", "long"))
        headers = TURN | {"X_Program_Id": f"p{number}"} if name == "long" else {}
        body = "b" * rng.randrange(200_000)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            with anyio.move_on_after(rng.choice((0.002, 0.02, 0.1, 5.0))):
                await caller.send(name, f"q{number}", body, **headers)
                await caller.read()
        caller.writer.transport.abort()

    async def scenario(harness: RelayHarness) -> None:
        async with anyio.create_task_group() as group:
            for number in range(40):
                group.start_soon(call, harness, number)
        await wait_empty(harness)
        assert pressure_of(harness).buffers.peak_bytes > 0

    servers = [ScriptedServer(f"s{n}", script) for n in range(3)]
    run_scenario(servers, scenario, LIMITS)


def test_an_overloaded_relay_refuses_new_programs_only() -> None:
    """The event loop is late: a first turn is refused before anything is reserved.

    A later turn and a tool call of a program under way are served: refusing them would
    lose the work that was done.
    """

    async def script(exchange: Exchange) -> None:
        if "/unsafe/" in exchange.head:
            await exchange.answer("fine")
        else:
            await exchange.stream("id: 1\ndata: one\n\n")

    server = ScriptedServer("s1", script)

    async def scenario(harness: RelayHarness) -> None:
        first = await harness.request("turn", "t1", **TURN)
        assert first.status == 200
        load = pressure_of(harness).load
        load.lag_s = 1.0
        load.is_overloaded = True
        refused = await harness.request("turn", "n1", **(TURN | {"X_Program_Id": "n"}))
        assert refused.status == 503
        assert "Retry-After: " in refused.head
        assert b'"ran":"no"' in refused.body
        later = await harness.request("turn", "t2", **TURN, X_Previous_Turn="t1")
        assert later.status == 200
        assert (await harness.request("unsafe", "c1", X_Program_Id="p")).status == 200
        ids = [exchange.header("X-Request-Id") for exchange in server.exchanges]
        assert ids == ["t1", "t2", "c1"]

    run_scenario([server], scenario, LIMITS)


def test_without_memory_pressure_a_slow_caller_stops_the_server() -> None:
    """Other deployments are served as before: backpressure, no budget.

    The server's stream of 20 MB stops while the caller does not read.
    """
    script, sent = stream_of(400)

    async def scenario(harness: RelayHarness) -> None:
        caller = await open_slow(harness)
        await caller.send("long", "q1", **TURN, X_Deadline_Ms="9000")
        await anyio.sleep(0.7)
        assert 0 < len(sent) < 400
        assert harness.pressure is None
        reply = await caller.read()
        assert (reply.status, reply.whole) == (200, True)

    run_scenario([ScriptedServer("s1", script)], scenario)


def test_an_overloaded_relay_serves_sub_agents_of_programs_that_it_knows() -> None:
    """The first turn of a sub-agent names no previous turn, like a new program's.

    A refusal would waste the work that was done for its program.
    """

    async def script(exchange: Exchange) -> None:
        await exchange.stream("id: 1\ndata: one\n\n")

    async def scenario(harness: RelayHarness) -> None:
        handler = harness.handler
        handler._admission = AdmissionGate(
            harness.fleet, handler._metrics, has_memory_pressure=True
        )
        assert (await harness.request("turn", "t1", **TURN)).status == 200
        load = pressure_of(harness).load
        load.lag_s = 1.0
        load.is_overloaded = True
        assert (await harness.request("turn", "t2", **TURN)).status == 200
        refused = await harness.request("turn", "n1", **(TURN | {"X_Program_Id": "n"}))
        assert refused.status == 503

    run_scenario([ScriptedServer("s1", script)], scenario, LIMITS)


@pytest.mark.parametrize("name", ["turn", "unsafe"])
@pytest.mark.parametrize("has_head", [False, True])
def test_a_connection_closed_to_free_buffers_is_no_failure_of_its_server(
    name: str, has_head: bool
) -> None:
    """One failure ejects a server of a large service, and other relays hear of it."""
    arrived = asyncio.Event()

    async def script(exchange: Exchange) -> None:
        if has_head:
            await exchange.write_text(
                "HTTP/1.1 200 OK\nX-Server-Stamp: s1\nContent-Length: 9\n\nd"
            )
        arrived.set()
        await anyio.sleep(5)

    async def scenario(harness: RelayHarness) -> None:
        state = harness.fleet.get("s1")
        assert state is not None
        caller = await harness.open()
        await caller.send(name, "q1", **TURN)
        await arrived.wait()
        await anyio.sleep(0.05)
        buffers = pressure_of(harness).buffers
        (account,) = (a for a in buffers._accounts if not a.is_caller)
        buffers._disconnect(account, "budget")
        assert (await caller.read()).status not in (200, 429, 503), "it may have run"
        now = asyncio.get_running_loop().time()
        assert state.failures == 0
        assert state.observations.failures(now) == 0

    run_scenario([ScriptedServer("s1", script)], scenario, LIMITS)
