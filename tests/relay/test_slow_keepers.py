"""Turns that have run while keepers are slow or frozen."""

from __future__ import annotations

import anyio
import pytest

from tests.relay.harness import (
    Caller,
    Exchange,
    RelayHarness,
    ScriptedServer,
    route,
    run_scenario,
)
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable

TURN = {"X_Program_Id": "p1", "X_Token_Usage": "10,20", "X_Token_Budget": "1000"}
# Two of three: no quorum is left.
FROZEN = {"k0:1", "k1:1"}


async def serve(exchange: Exchange) -> None:
    await exchange.stream("id: 1\ndata: x\n\n")


def server_that_freezes(harness: list[RelayHarness]) -> ScriptedServer:
    """Return a server during whose work two of three keepers freeze."""

    async def freeze(exchange: Exchange) -> None:
        harness[0].keepers.frozen |= FROZEN
        await serve(exchange)

    return ScriptedServer("s1", freeze)


async def send_turn(harness: RelayHarness, route_name: str = "turn") -> Caller:
    """Send a turn; return its caller, who has all events."""
    caller = await harness.open()
    await caller.send(route_name, "q1", "input", **TURN)
    await caller.reader.readuntil(b"data: x\n\n\r\n")
    return caller


async def read_end(caller: Caller) -> bytes:
    """Return what follows the events; empty after a reset."""
    try:
        return await caller.reader.read()
    except ConnectionError:
        return b""


@pytest.mark.parametrize("frozen_s", [1.3, 1.7])
def test_turn_that_ran_is_not_cut_while_its_caller_waits(frozen_s: float) -> None:
    """It was cut after a second, though it became durable before its deadline."""
    harnesses: list[RelayHarness] = []

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        caller = await send_turn(harness)
        await anyio.sleep(frozen_s)
        harness.keepers.thaw()
        with anyio.fail_after(0.5):
            assert await caller.reader.readexactly(5) == b"0\r\n\r\n"
        reply = await harness.request("turn", "q2", **TURN, X_Previous_Turn="q1")
        assert reply.status == 200

    run_scenario([server_that_freezes(harnesses)], scenario)


@pytest.mark.parametrize("resumable", [False, True])
def test_turn_that_never_becomes_durable_runs_once(
    resumable: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """A resumable turn was sent to its server again although it had ended there.

    Its stream ends at the deadline without its last chunk.
    """
    caplog.set_level("INFO")
    harnesses: list[RelayHarness] = []
    server = server_that_freezes(harnesses)

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        table = harness.handler.table
        assert table is not None
        turn = route(
            "turn", RequestKind.STREAM, retains_history=True, resumable=resumable
        )
        harness.handler.table = RouteTable(2, (turn,), table.services, CallerLimits())
        caller = await send_turn(harness)
        sent_at = anyio.current_time()
        assert b"0\r\n\r\n" not in await read_end(caller)
        assert 1.5 < anyio.current_time() - sent_at < 2.25
        assert len(server.exchanges) == 1
        ends = [r for r in caplog.records if r.message == "request broken off"]
        assert [r.__dict__["reason"] for r in ends] == ["the turn could not be kept"]

    run_scenario([server], scenario)


def test_server_is_free_while_keepers_store_its_turn() -> None:
    """Each turn that waited for keepers took a place and a connection of its server."""
    harnesses: list[RelayHarness] = []

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        caller = await send_turn(harness)
        await anyio.sleep(0.1)
        (state,) = harness.fleet.eligible_servers("svc", anyio.current_time())
        assert state.in_flight == 0
        assert harness.dispatcher.pool.idle_incarnations() == {state.incarnation}
        harness.keepers.thaw()
        assert await caller.reader.readexactly(5) == b"0\r\n\r\n"

    run_scenario([server_that_freezes(harnesses)], scenario)


def test_caller_that_leaves_ends_the_wait_for_keepers() -> None:
    """A turn waits for keepers no longer than its caller does."""
    harnesses: list[RelayHarness] = []

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        caller = await send_turn(harness)
        caller.writer.close()
        with anyio.fail_after(0.5):
            while harness.handler.active_requests:
                await anyio.sleep(0.01)
        assert harness.keepers.client.pending_settlements == 1
        harness.keepers.thaw()
        with anyio.fail_after(2):
            while harness.keepers.client.pending_settlements:
                await anyio.sleep(0.01)

    run_scenario([server_that_freezes(harnesses)], scenario)
