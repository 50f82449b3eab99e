"""Turns for which keepers have no room."""

from __future__ import annotations

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    run_scenario,
)

TURN = {"X_Program_Id": "p1", "X_Token_Usage": "10,20", "X_Token_Budget": "1000"}


def test_turn_without_room_does_not_run() -> None:
    """It ran, its events were forwarded, and then its connection was reset."""

    async def serve(exchange: Exchange) -> None:
        await exchange.stream("id: 1\ndata: x\n\n")

    server = ScriptedServer("s1", serve)

    async def scenario(harness: RelayHarness) -> None:
        assert (await harness.request("turn", "q1", **TURN)).status == 200
        for core in harness.keepers.cores.values():
            core.room.max_bytes = 1
        reply = await harness.request("turn", "q2", **TURN)
        assert reply.status == 503
        assert b'"ledger_full"' in reply.body
        assert b'"ran":"no"' in reply.body
        assert "retry-after: 1" in reply.head.lower()
        assert len(server.exchanges) == 1

    run_scenario([server], scenario)


def test_room_follows_the_size_of_earlier_outputs() -> None:
    """Keepers had room for an estimate, and outputs that were longer did not fit."""
    reserved: list[int] = []
    harnesses: list[RelayHarness] = []

    async def serve(exchange: Exchange) -> None:
        cores = harnesses[0].keepers.cores.values()
        reserved.append(max(core.room.reserved_bytes for core in cores))
        await exchange.stream("id: 1\ndata: " + 5_000 * "x" + "\n\n")

    async def scenario(harness: RelayHarness) -> None:
        harnesses.append(harness)
        for number in range(2):
            reply = await harness.request("turn", f"q{number}", **TURN)
            assert reply.status == 200
        assert reserved[0] < 1_000
        # One event of 25 tokens; 20 tokens were asked for.
        assert reserved[1] >= 4_000

    run_scenario([ScriptedServer("s1", serve)], scenario)
