"""Requests under which servers crash, sent again and again by their callers."""

from __future__ import annotations

import asyncio

import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
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
            await caller.read()
        assert count_crashed(servers) <= MAX_CRASHES

    run_scenario(servers, scenario)
