"""Requests under which servers crash, with evidence after the next attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.relay.crash_network import CrashNetwork
from tests.relay.harness import (
    Exchange,
    RelayHarness,
    Reply,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from tests.relay.test_crashshare import KEY, run_world
from wisteriastair.http1.server import ServerConnection
from wisteriastair.relay.interrupted import SURVIVAL_S
from wisteriastair.relay.pool import ProbeResult
from wisteriastair.scheduling.fleet import Server

MAX_CRASHES = 3
ATTEMPTS = 10
ATTEMPT_S = 0.4
FATAL_BODY = "fatal"
Crash = Callable[[ScriptedServer, Exchange], Awaitable[None]]


async def crash_after_reset(server: ScriptedServer, exchange: Exchange) -> None:
    """Reset the connection, and listen for some time more."""
    exchange.reset()
    await asyncio.sleep(0.2)
    server.crash()


async def lose_power(server: ScriptedServer, exchange: Exchange) -> None:
    """Reset nothing."""
    server.has_crashed = True
    server.stop()
    await asyncio.sleep(10.0)


async def crash_after_error(server: ScriptedServer, exchange: Exchange) -> None:
    """Answer with an error first."""
    await exchange.answer("failed", status="500 Internal Server Error")
    server.crash()


async def crash_at_once(server: ScriptedServer, exchange: Exchange) -> None:
    server.crash()


class FatalRequest:
    """Servers that a request crashes, and what was sent to them."""

    def __init__(self, crash: Crash, count: int = 30) -> None:
        self.runs: list[str] = []
        self.servers = [
            ScriptedServer(f"s{number}", self._make_script(number, crash))
            for number in range(count)
        ]

    def _make_script(
        self, number: int, crash: Crash
    ) -> Callable[[Exchange], Awaitable[None]]:
        async def serve(exchange: Exchange) -> None:
            # A request without a body is fatal as well.
            if exchange.body.decode() not in ("", FATAL_BODY):
                await answer_ok(exchange)
                return
            self.runs.append(f"s{number}")
            await crash(self.servers[number], exchange)

        return serve

    def crashed(self) -> int:
        """Return the number of servers that have read the request."""
        return len(set(self.runs))


async def send(
    harness: RelayHarness,
    name: str,
    attempt: int,
    body: str = FATAL_BODY,
    **headers: str,
) -> Reply:
    caller = await harness.open()
    await caller.send(
        name,
        f"{body}-{attempt}",
        "" if name == "safe" else body,
        X_Program_Id="p1",
        X_Session_Id="l1",
        X_Deadline_Ms=str(round(ATTEMPT_S * 1000)),
        **headers,
    )
    reply = await caller.read()
    caller.writer.close()
    return reply


@pytest.mark.parametrize("name", ["safe", "unsafe", "long", "talk"])
@pytest.mark.parametrize("crash", [crash_after_reset, lose_power, crash_after_error])
def test_request_is_not_sent_to_a_fourth_server_before_the_others_are_accounted_for(
    name: str, crash: Crash
) -> None:
    """Servers whose crash is known only after the next attempt do not count in time."""
    fatal = FatalRequest(crash)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            started_at = anyio.current_time()
            reply = await send(harness, name, attempt)
            await anyio.sleep_until(started_at + ATTEMPT_S)
        assert fatal.crashed() <= MAX_CRASHES
        assert reply.status == 503
        assert b'"ran":"no"' in reply.body

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["safe", "unsafe", "long", "talk"])
def test_attempts_at_the_same_time_crash_no_fourth_server(name: str) -> None:
    """Attempts that run at the same time know nothing of each other's servers."""
    fatal = FatalRequest(crash_at_once)

    async def scenario(harness: RelayHarness) -> None:
        async with anyio.create_task_group() as group:
            for attempt in range(ATTEMPTS):
                group.start_soon(send, harness, name, attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


@pytest.mark.parametrize("name", ["unsafe", "long", "talk"])
def test_request_whose_connections_are_reset_keeps_its_attempts(name: str) -> None:
    """A server that only resets connections has not crashed, and may be used again."""
    resets = 0

    async def serve(exchange: Exchange) -> None:
        nonlocal resets
        resets += 1
        if resets <= 8:
            exchange.reset()
        elif name == "unsafe":
            await answer_ok(exchange)
        else:
            await exchange.stream("id: 1\ndata: x\n\n")

    servers = [ScriptedServer(f"s{number}", serve) for number in range(12)]

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            reply = await send(harness, name, attempt)
        assert reply.status == 200

    run_scenario(servers, scenario)


def test_other_requests_are_served_beside_one_whose_servers_are_unaccounted_for() -> (
    None
):
    """Requests that shared a server with the cause go to any other one."""
    fatal = FatalRequest(crash_after_reset, count=8)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            await send(harness, "unsafe", attempt)
            assert (await send(harness, "unsafe", attempt, "innocent")).status == 200
        assert fatal.crashed() <= MAX_CRASHES

    run_scenario(fatal.servers, scenario)


def test_answer_to_a_later_request_accounts_for_a_server() -> None:
    """A server that resets the connections of one request lives on, as others show."""
    reset_by: list[str] = []
    answered_by: set[str] = set()

    async def serve(exchange: Exchange) -> None:
        server_id = exchange.header("X-Expect-Instance")
        if exchange.body == b"odd":
            reset_by.append(server_id)
            exchange.reset()
        else:
            answered_by.add(server_id)
            await answer_ok(exchange)

    servers = [ScriptedServer(f"s{number}", serve) for number in range(8)]

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(5):
            await send(harness, "unsafe", attempt, "odd")
            await anyio.sleep(SURVIVAL_S)
            answered_by.clear()
            number = 0
            while reset_by[-1] not in answered_by:
                # Each request has its own servers.
                number += 1
                await send(harness, "unsafe", attempt, f"even {number}")
            state = harness.fleet.get(reset_by[-1])
            assert state is not None
            harness.fleet.put(state.server._replace(draining=True))
        assert len(set(reset_by)) == 5

    run_scenario(servers, scenario)


@pytest.mark.parametrize("crash", [crash_after_reset, lose_power, crash_after_error])
def test_relays_share_which_servers_are_unaccounted_for(crash: Crash) -> None:
    """Each attempt reaches another relay, which has seen no server fail."""
    fatal = FatalRequest(crash)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        for attempt, relay in enumerate(relays):
            await send(relay, "unsafe", attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 8)


@pytest.mark.parametrize("name", ["safe", "unsafe", "long", "talk"])
def test_attempts_that_end_with_their_relays_count(name: str) -> None:
    """A relay that is killed reports nothing of the server that has its request."""
    fatal = FatalRequest(lose_power)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        await send(relays[0], name, 0)
        async with anyio.create_task_group() as group:
            for attempt, relay in enumerate(relays[1:], start=1):
                group.start_soon(send, relay, name, attempt)
                await anyio.sleep(ATTEMPT_S / 4)
                network.unreachable.add(f"r{attempt}")
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 8)


@pytest.mark.parametrize("name", ["safe", "unsafe", "long", "talk"])
def test_places_are_looked_at_again_after_the_wait_for_a_connection(name: str) -> None:
    """Attempts at other relays fill the places while a connection is being opened."""
    fatal = FatalRequest(crash_after_error)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        last = relays[-1].dispatcher.pool
        acquire = last.acquire

        async def acquire_slowly(server: Server) -> ServerConnection | str:
            await anyio.sleep(ATTEMPT_S / 2)
            return await acquire(server)

        last.acquire = acquire_slowly  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            group.start_soon(send, relays[-1], name, 0)
            await anyio.sleep(ATTEMPT_S / 8)
            for attempt, relay in enumerate(relays[:-1], start=1):
                await send(relay, name, attempt)
        assert fatal.crashed() <= MAX_CRASHES

    run_world(fatal.servers, scenario, 4)


def test_relays_share_that_servers_are_accounted_for() -> None:
    """A relay learns from another one that the servers of a request live on."""
    is_fatal = True

    async def serve(exchange: Exchange) -> None:
        if is_fatal and exchange.body:
            exchange.reset()
        else:
            await answer_ok(exchange)

    servers = [ScriptedServer(f"s{number}", serve) for number in range(6)]

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        nonlocal is_fatal
        for attempt, relay in enumerate(relays[:3]):
            await send(relay, "unsafe", attempt)
            # Another server each time.
            relays[attempt + 1].fleet.remove(f"s{attempt}", anyio.current_time())
        await anyio.sleep(2.0)
        is_fatal = False
        last = relays[3]
        for state in list(last.fleet.states())[:4]:
            last.fleet.put(state.server._replace(draining=True))
        assert (await send(last, "unsafe", 4)).status == 200

    run_world(servers, scenario, 4)


def test_silent_request_is_shared_before_its_caller_leaves() -> None:
    """A caller that gives up sends its next attempt while this one is being closed."""

    async def hang(exchange: Exchange) -> None:
        await asyncio.sleep(10.0)

    servers = [ScriptedServer(f"s{number}", hang) for number in range(4)]

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        caller = await relays[0].open()
        await caller.send("long", "q1", FATAL_BODY, X_Program_Id="p1")
        await anyio.sleep(0.5)
        relays[0].dispatcher.crashes.sweep(anyio.current_time())
        assert not any(k.table.keys() for k in network.keepers.values())
        await anyio.sleep(0.7)
        relays[0].dispatcher.crashes.sweep(anyio.current_time())
        await anyio.sleep(0.1)
        assert all(k.table.keys() for k in network.keepers.values())
        caller.writer.close()

    run_world(servers, scenario, 1)


def test_server_whose_entry_is_removed_while_it_has_the_request_counts() -> None:
    """A machine loses power, and the platform removes its entry before the deadline."""
    fatal = FatalRequest(lose_power)

    async def scenario(harness: RelayHarness) -> None:
        for attempt in range(ATTEMPTS):
            async with anyio.create_task_group() as group:
                group.start_soon(send, harness, "unsafe", attempt)
                await anyio.sleep(ATTEMPT_S / 2)
                state = harness.fleet.get(fatal.runs[-1])
                if state is not None and state.removed_at is None:
                    harness.dispatcher.crashes.record_removed(state.server)
                    harness.fleet.remove(state.server.id, anyio.current_time())
        assert fatal.crashed() == MAX_CRASHES

    run_scenario(fatal.servers, scenario)


def test_relay_counts_a_crash_that_another_relay_was_told_to_expect() -> None:
    """The relay whose request the server had does not connect to it again."""
    fatal = FatalRequest(crash_after_error)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        for attempt in range(3):
            await send(relays[attempt % 2], "unsafe", attempt)
        await anyio.sleep(0.1)
        # Tries the three servers again, which refuse.
        assert (await send(relays[2], "unsafe", 4)).status == 503
        table = relays[2].dispatcher.crashes.table
        (key,) = table.keys()
        assert table.is_quarantined(key)

    run_world(fatal.servers, scenario, 3)


def test_server_that_answers_after_its_entry_is_removed_has_not_crashed() -> None:
    """A server that leaves without notice answers what it has, and exits."""

    async def serve(exchange: Exchange) -> None:
        await asyncio.sleep(0.2)
        await answer_ok(exchange)
        servers[0].crash()

    servers = [ScriptedServer("s0", serve)]

    async def scenario(harness: RelayHarness) -> None:
        crashes, pool = harness.dispatcher.crashes, harness.dispatcher.pool
        probe = pool.probe

        async def probe_slowly(server: Server) -> ProbeResult:
            await anyio.sleep(0.3)
            return await probe(server)

        pool.probe = probe_slowly  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            group.start_soon(send, harness, "unsafe", 0)
            await anyio.sleep(0.1)
            state = harness.fleet.get("s0")
            assert state is not None
            crashes.record_removed(state.server)
        await anyio.sleep(0.4)
        assert len(crashes.table) == 0

    run_scenario(servers, scenario)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_relay_that_starts_knows_the_servers_at_risk(count: int) -> None:
    """A relay that is restarted would send the request to servers of its own choice."""

    async def main() -> None:
        network = CrashNetwork()
        share = network.add_relay("r0")
        for server in range(count):
            share.table.expose(KEY, server, anyio.current_time() + 10.0)
        share.report_crash(KEY)
        await anyio.sleep(0.05)
        started = network.add_relay("r0")
        await anyio.sleep(0.05)
        assert started.table.exposures.servers(KEY).keys() == set(range(count))

    anyio.run(main)


def test_expiry_at_a_keeper_takes_back_nothing_that_a_relay_has_found_since() -> None:
    """A keeper told relays to forget a request that had expired there."""

    async def main() -> None:
        network = CrashNetwork()
        share = network.add_relay("r0")
        now = anyio.current_time()
        share.table.expose(KEY, 1, now + 0.3)
        share.table.expose(KEY, 2, now + 0.3)
        share.report_crash(KEY)
        await anyio.sleep(0.05)
        async with anyio.create_task_group() as group:
            group.start_soon(network.run)
            share.table.expose(KEY, 3, now + 10.0)
            await anyio.sleep(0.6)
            share.table.expire(anyio.current_time())
            assert share.table.exposures.servers(KEY).keys() == {3}
            group.cancel_scope.cancel()

    anyio.run(main)
