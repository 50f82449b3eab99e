"""Requests under which servers crash, sent again and again by their callers."""

from __future__ import annotations

import asyncio

import anyio
import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    Reply,
    Script,
    ScriptedServer,
    answer_ok,
    run_scenario,
)

MAX_CRASHES = 3
FATAL_BODY = "fatal"


def make_servers(count: int, *, events_before: int = 0) -> list[ScriptedServer]:
    """Make servers that crash as soon as they have read a request with a fatal body.

    A request without a body is fatal as well.
    """
    servers: list[ScriptedServer] = []

    def make(number: int) -> ScriptedServer:
        async def serve(exchange: Exchange) -> None:
            if exchange.body.decode() not in ("", FATAL_BODY):
                await answer_ok(exchange)
                return
            for event in range(1, events_before + 1):
                await exchange.send_event(f"id: {event}\ndata: x\n\n")
                await asyncio.sleep(0.01)
            servers[number].crash()

        return ScriptedServer(f"s{number}", serve)

    servers += [make(number) for number in range(count)]
    return servers


def count_crashed(servers: list[ScriptedServer]) -> int:
    return sum(server.has_crashed for server in servers)


@pytest.mark.parametrize(
    ("name", "events_before"),
    [("safe", 0), ("unsafe", 0), ("long", 0), ("talk", 0), ("talk", 1)],
)
def test_request_is_not_sent_again_after_three_crashes(
    name: str, events_before: int
) -> None:
    """Each attempt keeps its own bound, and attempts of one caller add up."""
    servers = make_servers(24, events_before=events_before)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(6):
            caller = await harness.open()
            body = "" if name == "safe" else FATAL_BODY
            await caller.send(name, f"attempt-{attempt}", body)
            reply = await caller.read()
        assert count_crashed(servers) <= MAX_CRASHES
        # Not run this time, and no retry can help.
        assert reply.status == 503
        assert b'"ran":"no"' in reply.body
        assert "Retry-After" not in reply.head

    run_scenario(servers, scenario)


def test_crashes_are_counted_for_the_request_whatever_its_id() -> None:
    """A caller's second attempt has another id and is the same request."""
    servers = make_servers(2)

    async def scenario(harness: RelayHarness) -> None:
        table = harness.dispatcher.crashes.table
        for attempt in range(2):
            caller = await harness.open()
            await caller.send("unsafe", f"attempt-{attempt}", FATAL_BODY)
            await caller.read()
        (key,) = table.keys()
        assert table.count(key) == 2

    run_scenario(servers, scenario)


@pytest.mark.parametrize("name", ["unsafe", "safe", "long", "talk"])
def test_reset_connection_is_no_crash(name: str) -> None:
    """Servers and middleboxes reset connections; the server still listens."""

    async def reset(exchange: Exchange) -> None:
        exchange.reset()

    servers = [ScriptedServer(f"s{number}", reset) for number in range(4)]

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(4):
            await harness.request(name, f"attempt-{attempt}")
        assert len(harness.dispatcher.crashes.table) == 0

    run_scenario(servers, scenario)


def test_end_of_a_leaving_server_is_no_crash() -> None:
    """A server that drains ends with a request that takes too long."""
    servers = make_servers(1)

    async def scenario(harness: RelayHarness) -> None:
        state = harness.fleet.get("s0")
        assert state is not None

        async def leave(exchange: Exchange) -> None:
            harness.fleet.put(state.server._replace(draining=True))
            servers[0].crash()

        servers[0].script = leave
        await harness.request("unsafe")
        assert len(harness.dispatcher.crashes.table) == 0

    run_scenario(servers, scenario)


def test_silent_server_has_crashed_once_another_takes_its_address() -> None:
    """A machine that loses power resets nothing; its successor shows the crash."""

    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(5.0)

    async def scenario(harness: RelayHarness) -> None:
        crashes = harness.dispatcher.crashes
        await harness.request("unsafe", X_Deadline_Ms="100")
        assert len(crashes.table) == 0
        state = harness.fleet.get("s0")
        assert state is not None
        crashes.record_server(state.server._replace(id="s1"))
        assert len(crashes.table) == 1

    run_scenario([ScriptedServer("s0", hang)], scenario)


@pytest.mark.parametrize(("listens", "crashes"), [(False, 1), (True, 0)])
def test_silent_server_has_crashed_once_its_entry_is_removed(
    listens: bool, crashes: int
) -> None:
    """The platform removes the entry; a server that leaves without notice listens."""

    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(5.0)

    server = ScriptedServer("s0", hang)

    async def scenario(harness: RelayHarness) -> None:
        await harness.request("unsafe", X_Deadline_Ms="50")
        if not listens:
            server.stop()
        state = harness.fleet.get("s0")
        assert state is not None
        harness.dispatcher.crashes.record_removed(state.server)
        await asyncio.sleep(0.05)
        assert len(harness.dispatcher.crashes.table) == crashes

    run_scenario([server], scenario)


def test_other_requests_of_a_crashed_server_are_served() -> None:
    """A busy server that crashes takes innocent requests with it, twice."""
    servers = make_servers(4)
    blocked = asyncio.Event()

    def hold(number: int) -> Script:
        async def serve(exchange: Exchange) -> None:
            if exchange.body.decode() == FATAL_BODY:
                await asyncio.sleep(0.05)
                servers[number].crash()
                return
            await blocked.wait()
            await answer_ok(exchange)

        return serve

    for number, server in enumerate(servers):
        server.script = hold(number)

    async def send(harness: RelayHarness, body: str, attempt: str) -> Reply:
        caller = await harness.open()
        await caller.send("unsafe", f"{body}-{attempt}", body)
        return await caller.read()

    async def scenario(harness: RelayHarness) -> None:
        bodies = [f"innocent-{number}" for number in range(32)]
        for attempt in ("a", "b"):
            async with anyio.create_task_group() as group:
                for body in [*bodies, FATAL_BODY]:
                    group.start_soon(send, harness, body, attempt)
                await asyncio.sleep(0.3)
                blocked.set()
            blocked.clear()
        assert count_crashed(servers) == 2
        blocked.set()
        for body in bodies:
            assert (await send(harness, body, "c")).status == 200

    run_scenario(servers, scenario)


def refuse_after_reset(events: int) -> Script:
    """Make a script that resets a stream after some events, and then is full."""
    has_reset = False

    async def serve(exchange: Exchange) -> None:
        nonlocal has_reset
        if has_reset:
            await exchange.write_text(
                "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\n"
                "Content-Length: 0\n\n"
            )
            return
        has_reset = True
        for event in range(1, events + 1):
            await exchange.send_event(f"id: {event}\ndata: x\n\n")
        exchange.reset()

    return serve


@pytest.mark.parametrize("events", [0, 1])
def test_resumed_stream_runs_on_no_more_servers_than_its_route_allows(
    events: int,
) -> None:
    """The connection is reset, and the server is then too full to resume the stream.

    The route allows one server, and this one has not crashed.
    """
    servers = [ScriptedServer(f"s{n}", refuse_after_reset(events)) for n in range(4)]

    async def scenario(harness: RelayHarness) -> None:
        await harness.request("talk")
        assert sum(bool(server.exchanges) for server in servers) == 1

    run_scenario(servers, scenario)


def test_stream_is_resumed_on_another_server_after_a_crash() -> None:
    """A server that crashed does not count: the route allows one server."""
    servers = [ScriptedServer(f"s{n}", answer_ok) for n in range(3)]
    crashed = False

    async def serve(exchange: Exchange) -> None:
        nonlocal crashed
        if not crashed:
            crashed = True
            await exchange.send_event("id: 1\ndata: x\n\n")
            next(s for s in servers if exchange in s.exchanges).crash()
            return
        assert exchange.header("Last-Event-Id") == "1"
        await exchange.stream("id: 2\ndata: y\n\n")

    for server in servers:
        server.script = serve

    async def scenario(harness: RelayHarness) -> None:
        reply = await harness.request("talk")
        assert reply.whole
        assert reply.body == b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

    run_scenario(servers, scenario)


def test_page_that_many_callers_request_is_not_quarantined() -> None:
    """Requests for one page run at each server that another request crashes."""
    servers = make_servers(6)
    release = asyncio.Event()

    def make_script(server: ScriptedServer) -> Script:
        async def serve(exchange: Exchange) -> None:
            if exchange.body:
                server.crash()
                return
            if exchange.header("X-Request-Id").startswith("slow"):
                await release.wait()
            await answer_ok(exchange)

        return serve

    for server in servers:
        server.script = make_script(server)

    async def send(harness: RelayHarness, request_id: str, body: str) -> Reply:
        caller = await harness.open()
        await caller.send("unsafe", request_id, body)
        return await caller.read()

    async def scenario(harness: RelayHarness) -> None:
        async with anyio.create_task_group() as group:
            for number in range(24):
                group.start_soon(send, harness, f"slow-{number}", "")
            await asyncio.sleep(0.1)
            assert (await send(harness, "quick", "")).status == 200
            for attempt in range(6):
                await send(harness, f"fatal-{attempt}", FATAL_BODY)
            assert count_crashed(servers) == MAX_CRASHES
            assert (await send(harness, "another", "")).status == 200
            release.set()

    run_scenario(servers, scenario)


def test_server_that_answers_later_has_not_crashed_under_a_silent_request() -> None:
    """A request ends at its deadline; its server works on, and crashes later."""

    async def serve(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "late":
            await asyncio.sleep(0.15)
        await answer_ok(exchange)

    server = ScriptedServer("s0", serve)

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send("unsafe", "late", "body", X_Deadline_Ms="50")
        assert (await caller.read()).status == 504
        await asyncio.sleep(0.3)
        assert (await harness.request("unsafe", "next")).status == 200
        server.crash()
        await harness.request("unsafe", "after")
        assert len(harness.dispatcher.crashes.table) == 0

    run_scenario([server], scenario)


@pytest.mark.parametrize("name", ["unsafe", "talk"])
def test_server_that_spoiled_its_answer_has_not_crashed_under_it(name: str) -> None:
    """A server answers without its stamp, and crashes later for another reason."""

    async def spoil(exchange: Exchange) -> None:
        request_id = exchange.header("X-Request-Id")
        await exchange.write_text(
            f"HTTP/1.1 200 OK\nX-Request-Id: {request_id}\nContent-Length: 0\n\n"
        )

    server = ScriptedServer("s0", spoil)

    async def scenario(harness: RelayHarness) -> None:
        assert (await harness.request(name)).status == 502
        server.crash()
        await harness.request(name, "next")
        assert len(harness.dispatcher.crashes.table) == 0

    run_scenario([server], scenario)
