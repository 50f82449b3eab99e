"""Requests under which servers end in ways that prove nothing of the server.

Each case sends one request again and again. A server that has read it has ended, or is
about to, so no more servers may read it than may crash under a request.
"""

from __future__ import annotations

import asyncio

import anyio
import pytest

from tests.relay.crash_network import CrashNetwork
from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from tests.relay.test_crashshare import run_world
from tests.relay.test_late_crashes import (
    FATAL_BODY,
    MAX_CRASHES,
    Crash,
    FatalRequest,
    lose_power,
    send,
)
from wisteriastair.relay import interrupted

ATTEMPTS = 8
ROUTES = ["unsafe", "long", "talk"]


async def send_in_turn(
    harness: RelayHarness, name: str, *, gap_s: float = 0.05, **headers: str
) -> None:
    for attempt in range(ATTEMPTS):
        await send(harness, name, attempt, **headers)
        await anyio.sleep(gap_s)


def answer_and_crash(status: str, delay_s: float) -> Crash:
    async def crash(server: ScriptedServer, exchange: Exchange) -> None:
        await exchange.answer("failed", status=status)
        await asyncio.sleep(delay_s)
        server.crash()

    return crash


async def answer_without_stamp(server: ScriptedServer, exchange: Exchange) -> None:
    request_id = exchange.header("X-Request-Id")
    await exchange.write_text(
        f"HTTP/1.1 200 OK\nX-Request-Id: {request_id}\nContent-Length: 0\n\n"
    )
    server.crash()


async def end_inside_an_event(server: ScriptedServer, exchange: Exchange) -> None:
    await exchange.send_event("id: 1\ndata: ")
    await exchange.end_stream()
    server.crash()


@pytest.mark.parametrize("name", ["safe", *ROUTES])
@pytest.mark.parametrize("delay_s", [0.0, 0.2])
@pytest.mark.parametrize(
    "status",
    ["503 Service Unavailable", "504 Gateway Timeout", "409 Conflict"],
    ids=["503", "504", "409"],
)
def test_failure_that_a_server_reports_proves_nothing_of_its_end(
    status: str, delay_s: float, name: str
) -> None:
    """A server answers, without a statement that it did not run, and ends."""
    fatal = FatalRequest(answer_and_crash(status, delay_s))

    async def scenario(harness: RelayHarness) -> None:
        await send_in_turn(harness, name)
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize(
    ("crash", "name"),
    [
        (answer_without_stamp, "unsafe"),
        (answer_without_stamp, "talk"),
        (end_inside_an_event, "long"),
        (end_inside_an_event, "talk"),
    ],
)
def test_spoiled_answer_proves_nothing_of_the_end_of_its_server(
    crash: Crash, name: str
) -> None:
    """A server sends a response that cannot be used, and ends."""
    fatal = FatalRequest(crash)

    async def scenario(harness: RelayHarness) -> None:
        await send_in_turn(harness, name)
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["safe", *ROUTES])
def test_request_that_makes_servers_leave_is_stopped(name: str) -> None:
    """A server says that it is leaving while it has the request, and ends soon."""
    harnesses: list[RelayHarness] = []

    async def leave(server: ScriptedServer, exchange: Exchange) -> None:
        fleet = harnesses[0].fleet
        state = fleet.get(server.id)
        assert state is not None
        fleet.put(state.server._replace(draining=True))
        await asyncio.sleep(0.05)
        server.crash()

    fatal = FatalRequest(leave)

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        await send_in_turn(harness, name)
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["unsafe", "talk"])
def test_server_that_leaves_while_it_has_run_a_request_for_long_keeps_its_place(
    name: str,
) -> None:
    """The running request was reported more than a second before."""
    harnesses: list[RelayHarness] = []

    async def leave(server: ScriptedServer, exchange: Exchange) -> None:
        fleet = harnesses[0].fleet
        state = fleet.get(server.id)
        assert state is not None
        await asyncio.sleep(1.2)
        fleet.put(state.server._replace(draining=True))
        await asyncio.sleep(0.05)
        server.crash()

    fatal = FatalRequest(leave)

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        for attempt in range(MAX_CRASHES + 2):
            caller = await harness.open()
            await caller.send(name, f"q{attempt}", FATAL_BODY, X_Program_Id="p1")
            await caller.read()
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


class Successor:
    """Another server at the address of one that has lost power."""

    def __init__(self, server_id: str) -> None:
        self.id = server_id
        self.server: asyncio.Server

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                exchange = Exchange(head, b"", reader, writer)
                await reader.readexactly(int(exchange.header("Content-Length") or 0))
                expected = exchange.header("X-Expect-Instance")
                status = "200 OK" if expected in ("", self.id) else "421 Misdirected"
                extra_head = f"X-Instance-Id: {self.id}\n"
                await exchange.answer("", status=status, extra_head=extra_head)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


@pytest.mark.parametrize("name", ROUTES)
@pytest.mark.parametrize("is_replaced", [False, True])
def test_successor_at_an_address_proves_nothing_of_the_server_before(
    name: str, is_replaced: bool
) -> None:
    """A silent server's entry is removed or replaced while it has the request."""
    fatal = FatalRequest(lose_power)

    async def scenario(harness: RelayHarness) -> None:
        crashes, fleet = harness.dispatcher.crashes, harness.fleet
        successors = []
        for attempt in range(ATTEMPTS):
            runs = len(fatal.runs)
            async with anyio.create_task_group() as group:
                group.start_soon(send, harness, name, attempt)
                await anyio.sleep(0.1)
                if len(fatal.runs) == runs:
                    continue
                state = fleet.get(fatal.runs[-1])
                assert state is not None
                successor = Successor(f"{state.server.id}-next")
                await successor.start(state.server.address)
                successors.append(successor)
                if is_replaced:
                    entry = state.server._replace(born=state.server.born + 1)
                    crashes.record_server(entry)
                    fleet.put(entry._replace(draining=True))
                else:
                    crashes.record_removed(state.server)
                    fleet.remove(state.server.id, anyio.current_time())
            # Until a check of the server's survival would have ended.
            await anyio.sleep(0.1)
        assert fatal.crashed() <= MAX_CRASHES
        for successor in successors:
            successor.server.close()

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["unsafe", "talk"])
def test_server_that_ends_seconds_later_keeps_its_place(name: str) -> None:
    """A server resets the request, answers others for seconds, and ends."""
    crashes: list[asyncio.Task[None]] = []

    async def crash_late(server: ScriptedServer, exchange: Exchange) -> None:
        exchange.reset()

        async def end() -> None:
            await asyncio.sleep(2.0)
            server.crash()

        crashes.append(asyncio.create_task(end()))

    fatal = FatalRequest(crash_late, count=12)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            await send(harness, name, attempt)
            for other in range(24):
                await send(harness, "unsafe", other, "innocent")
            await anyio.sleep(0.6)
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ROUTES)
def test_answer_to_a_request_with_another_header_does_not_acquit(name: str) -> None:
    """A header makes a request fatal, and the same request without it is answered."""
    crashed: set[str] = set()

    async def serve(server: ScriptedServer, exchange: Exchange) -> None:
        if exchange.header("X-Variant") == "fatal":
            crashed.add(server.id)
            server.crash()
        elif name == "unsafe":
            await answer_ok(exchange)
        else:
            await exchange.stream("id: 1\ndata: x\n\n")

    fatal = FatalRequest(serve)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            await send(harness, name, attempt, X_Variant="fatal")
            await send(harness, name, attempt + 100)
        assert len(crashed) <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["safe", *ROUTES])
def test_relays_that_reach_no_keeper_use_the_same_servers(name: str) -> None:
    """Each attempt reaches another relay, and none is told of the others' crashes."""

    async def crash(server: ScriptedServer, exchange: Exchange) -> None:
        server.crash()

    fatal = FatalRequest(crash)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        network.unreachable = set(network.addresses())
        # Longer than a relay believes that keepers hear it.
        await anyio.sleep(3.0)
        for attempt, relay in enumerate(relays):
            await send(relay, name, attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 8)


@pytest.mark.parametrize("name", ROUTES)
def test_relays_whose_keepers_have_just_fallen_silent_use_the_same_servers(
    name: str,
) -> None:
    """The attempts come before the relays know that no keeper hears them."""

    async def crash(server: ScriptedServer, exchange: Exchange) -> None:
        server.crash()

    fatal = FatalRequest(crash)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        network.unreachable = set(network.addresses())
        for attempt, relay in enumerate(relays):
            await send(relay, name, attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 8)


@pytest.mark.parametrize("name", ["unsafe", "long", "talk"])
def test_attempts_at_eight_relays_at_once_crash_no_fourth_server(name: str) -> None:
    """No relay knows of the others' attempts before it has sent its own."""
    fatal = FatalRequest(lose_power)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        async with anyio.create_task_group() as group:
            for attempt, relay in enumerate(relays):
                group.start_soon(send, relay, name, attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 8)


@pytest.mark.parametrize("name", ROUTES)
def test_request_that_planned_stops_cut_is_served(name: str) -> None:
    """A request is reset, and each server that had it leaves by plan a second later."""
    resets: list[str] = []

    async def serve(exchange: Exchange) -> None:
        if len(resets) < 4 and exchange.body.decode() == FATAL_BODY:
            resets.append(exchange.header("X-Expect-Instance"))
            exchange.reset()
        elif name == "unsafe":
            await answer_ok(exchange)
        else:
            await exchange.stream("id: 1\ndata: x\n\n")

    servers = [ScriptedServer(f"s{number}", serve) for number in range(6)]

    async def scenario(harness: RelayHarness) -> None:
        reply = None
        for attempt in range(6):
            reply = await send(harness, name, attempt)
            if reply.status == 200:
                break
            await anyio.sleep(1.0)
            state = harness.fleet.get(resets[-1])
            assert state is not None
            harness.fleet.put(state.server._replace(draining=True))
        assert reply is not None
        assert reply.status == 200

    run_scenario(servers, scenario)


def test_place_is_given_back_if_a_server_did_not_run_the_request() -> None:
    """Its entry is removed while it has the request, which it then rejects."""

    async def reject(exchange: Exchange) -> None:
        await asyncio.sleep(0.1)
        await exchange.answer("", status="503 Full", extra_head="X-Not-Executed: 1\n")

    async def scenario(harness: RelayHarness) -> None:
        crashes = harness.dispatcher.crashes
        async with anyio.create_task_group() as group:
            group.start_soon(send, harness, "unsafe", 0)
            await anyio.sleep(0.05)
            state = harness.fleet.get("s0")
            assert state is not None
            crashes.record_removed(state.server)
            assert len(crashes.table.exposures) == 1
        assert len(crashes.table.exposures) == 0

    run_scenario([ScriptedServer("s0", reject)], scenario)


def test_place_of_an_earlier_attempt_stays_if_the_next_one_is_rejected() -> None:
    """A server resets a request, lives on, and is full when it gets it again."""
    is_full = False

    async def serve(exchange: Exchange) -> None:
        if exchange.body.decode() != FATAL_BODY:
            await answer_ok(exchange)
        elif is_full:
            full = "X-Not-Executed: 1\n"
            await exchange.answer("", status="503 Full", extra_head=full)
        else:
            exchange.reset()

    async def scenario(harness: RelayHarness) -> None:
        nonlocal is_full
        await send(harness, "unsafe", 0)
        await anyio.sleep(0.6)
        await send(harness, "unsafe", 1, "innocent")
        is_full = True
        await send(harness, "unsafe", 2)
        assert len(harness.dispatcher.crashes.table.exposures) == 1

    run_scenario([ScriptedServer("s0", serve)], scenario)


def test_places_are_taken_beyond_the_requests_that_wait_for_evidence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More requests fail at once than are remembered; then an entry arrives."""
    monkeypatch.setattr(interrupted, "MAX_INTERRUPTED", 0)

    async def reset(exchange: Exchange) -> None:
        exchange.reset()

    async def scenario(harness: RelayHarness) -> None:
        await send(harness, "unsafe", 0)
        state = harness.fleet.get("s0")
        assert state is not None
        monitor = harness.dispatcher.crashes
        monitor.record_server(state.server._replace(born=1))
        assert len(monitor.table.exposures) == 1

    run_scenario([ScriptedServer("s0", reset)], scenario)


def test_relay_of_another_test_is_no_server() -> None:
    """It may get the port of a server that has crashed, and must run nothing for it."""
    server = ScriptedServer("s0", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        reply = await harness.request("unsafe", X_Expect_Instance="s0")
        assert reply.status == 421
        assert not server.exchanges

    run_scenario([server], scenario)
