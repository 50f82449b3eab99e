"""A server that accepts requests and does not answer them."""

from __future__ import annotations

import asyncio

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    run_scenario,
)

WARMUP_REQUESTS = 20


async def hang(exchange: Exchange) -> None:
    await asyncio.sleep(5)


def test_safe_request_is_retried_if_the_server_is_unresponsive() -> None:
    """One of two servers stops answering; the other answers in milliseconds.

    A lookup sent to the unresponsive server would wait there until its deadline.  It is
    sent to the other server as well, which is harmless for a lookup.
    """
    servers = [ScriptedServer("s1", answer_ok), ScriptedServer("s2", answer_ok)]

    async def scenario(harness: RelayHarness) -> None:
        for number in range(WARMUP_REQUESTS):
            assert (await harness.request("safe", f"warm{number}")).status == 200
        # The server with an idle connection, which the next request uses.
        max(servers, key=lambda server: len(server.exchanges)).script = hang
        before = asyncio.get_running_loop().time()
        for number in range(4):
            assert (await harness.request("safe", f"q{number}")).status == 200
        assert asyncio.get_running_loop().time() - before < 2.0

    run_scenario(servers, scenario)


def test_unsafe_request_is_not_retried_if_the_server_is_unresponsive() -> None:
    """The same, but with an unsafe request, which a second server would run again."""
    servers = [ScriptedServer("s1", answer_ok), ScriptedServer("s2", answer_ok)]

    async def scenario(harness: RelayHarness) -> None:
        for number in range(WARMUP_REQUESTS):
            assert (await harness.request("unsafe", f"warm{number}")).status == 200
        for server in servers:
            server.script = hang
            server.exchanges.clear()
        reply = await harness.request("unsafe", "once", X_Deadline_Ms="700")
        assert reply.status == 504
        assert sum(len(server.exchanges) for server in servers) == 1

    run_scenario(servers, scenario)
