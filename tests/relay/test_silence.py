"""What callers see of a server that takes their requests and answers none."""

from __future__ import annotations

import asyncio

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    run_scenario,
)

WARM = 20


async def hangs(exchange: Exchange) -> None:
    await asyncio.sleep(5)


def test_a_silent_server_costs_a_repeatable_request_little() -> None:
    """One of two servers turns silent; the other answers in milliseconds.

    A caller's lookup goes to the silent one and would wait there for all of its time,
    with its program.  It is sent to the other one, which is harmless for a lookup.
    """
    servers = [ScriptedServer("s1", answer_ok), ScriptedServer("s2", answer_ok)]

    async def story(at: RelayHarness) -> None:
        for number in range(WARM):
            assert (await at.ask("safe", f"warm{number}")).status == 200
        # The one that has an idle channel, which the next request takes.
        max(servers, key=lambda server: len(server.exchanges)).script = hangs
        before = asyncio.get_running_loop().time()
        for number in range(4):
            assert (await at.ask("safe", f"q{number}")).status == 200
        assert asyncio.get_running_loop().time() - before < 2.0

    run_scenario(servers, story)


def test_a_request_that_must_not_run_twice_stays_where_it_is() -> None:
    """The same, but the request books something; a second server would book again."""
    servers = [ScriptedServer("s1", answer_ok), ScriptedServer("s2", answer_ok)]

    async def story(at: RelayHarness) -> None:
        for number in range(WARM):
            assert (await at.ask("unsafe", f"warm{number}")).status == 200
        for server in servers:
            server.script = hangs
            server.exchanges.clear()
        reply = await at.ask("unsafe", "once", X_Deadline_Ms="700")
        assert reply.status == 504
        assert sum(len(server.exchanges) for server in servers) == 1

    run_scenario(servers, story)
