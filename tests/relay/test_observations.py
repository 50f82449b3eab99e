"""What a relay observes of its requests at a server, with real connections."""

from __future__ import annotations

import asyncio

import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    Script,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from wisteriastair.scheduling.observations import Observations


def observations(harness: RelayHarness) -> Observations:
    state = harness.fleet.get("s1")
    assert state is not None
    return state.observations


async def stream_ok(exchange: Exchange) -> None:
    await exchange.stream("id: 1\ndata: a\n\n")


async def stream_broken(exchange: Exchange) -> None:
    await exchange.send_event("id: 1\ndata: a\n\n")
    exchange.reset()


async def answer_error(exchange: Exchange) -> None:
    await exchange.answer("broken", status="500 Internal Server Error")


async def answer_full(exchange: Exchange) -> None:
    await exchange.answer(
        "", status="503 Service Unavailable", extra_head="X-Not-Executed: 1\n"
    )


@pytest.mark.parametrize(
    ("script", "route", "successes", "failures"),
    [
        (answer_ok, "unsafe", 1, 0),
        (stream_ok, "turn", 1, 0),
        (answer_error, "unsafe", 0, 1),
        (stream_broken, "turn", 0, 1),
        (answer_full, "unsafe", 0, 0),
    ],
)
def test_outcomes_are_counted_once(
    script: Script, route: str, successes: int, failures: int
) -> None:
    """A full server has not failed; a broken stream has, though it had a head."""

    async def scenario(harness: RelayHarness) -> None:
        await harness.request(route)
        now = asyncio.get_running_loop().time()
        seen = observations(harness)
        assert (seen.successes(now), seen.failures(now)) == (successes, failures)
        assert (seen.in_flight, seen.reserved_tokens) == (0, 0)

    run_scenario([ScriptedServer("s1", script)], scenario)


def test_tokens_of_a_running_turn_are_reserved() -> None:
    """A caller that leaves ends the reservation and says nothing about the server."""
    running = asyncio.Event()

    async def wait(exchange: Exchange) -> None:
        running.set()
        await exchange.reader.read()

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send("turn", "q1", X_Token_Usage="100,20")
        await running.wait()
        seen = observations(harness)
        assert (seen.in_flight, seen.reserved_tokens) == (1, 120)
        caller.writer.close()
        while seen.in_flight:
            await asyncio.sleep(0.01)
        assert seen.reserved_tokens == 0
        now = asyncio.get_running_loop().time()
        assert (seen.successes(now), seen.failures(now)) == (0, 0)

    run_scenario([ScriptedServer("s1", wait)], scenario)
