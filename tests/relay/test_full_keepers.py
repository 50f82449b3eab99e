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
