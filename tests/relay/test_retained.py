"""What a relay keeps in memory of requests that have ended."""

from __future__ import annotations

import gc
import weakref

import anyio
import pytest

from tests.relay.harness import Exchange, RelayHarness, ScriptedServer, run_scenario
from wisteriastair.relay import streams


@pytest.mark.parametrize("ends", ["whole", "reset", "caller leaves"])
def test_ended_turn_is_not_kept_until_the_next_garbage_collection(
    ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A turn with its whole conversation was part of a reference cycle.

    The collector runs rarely, and relays exceeded their memory after a hundred turns.
    """
    turns: list[weakref.ref[streams._TurnState]] = []
    make_turn = streams._TurnState.__init__

    def record_turn(self: streams._TurnState, *args: object) -> None:
        make_turn(self, *args)  # type: ignore[arg-type]
        turns.append(weakref.ref(self))

    monkeypatch.setattr(streams._TurnState, "__init__", record_turn)

    async def serve(exchange: Exchange) -> None:
        await exchange.send_event("id: 1\ndata: x\n\n")
        await anyio.sleep(0.05)
        if ends == "whole":
            await exchange.end_stream()
        elif ends == "reset":
            exchange.reset()
        else:
            await exchange.reader.read()

    async def scenario(harness: RelayHarness) -> None:
        gc.collect()
        gc.disable()
        try:
            caller = await harness.open()
            await caller.send("long", "q1", "input")
            if ends == "caller leaves":
                await caller.reader.readuntil(b"data: x")
            else:
                await caller.read()
            caller.writer.close()
            while harness.handler.active_requests:
                await anyio.sleep(0.01)
            await anyio.sleep(0.05)
            assert turns and all(turn() is None for turn in turns)
        finally:
            gc.enable()

    run_scenario([ScriptedServer("s0", serve)], scenario)
