"""The bound on servers of a request, whatever relays know of each other."""

from __future__ import annotations

import asyncio
import os
import random

import anyio
import pytest

from tests.relay.crash_network import CrashNetwork
from tests.relay.harness import Exchange, RelayHarness, ScriptedServer
from tests.relay.request_cases import ATTEMPTS, RequestWorld, make_case
from tests.relay.test_crashshare import run_world
from tests.relay.test_late_crashes import FatalRequest, send

MAX_SERVERS = 3
# More seeds by hand: REQUEST_SEEDS=500.
SEEDS = int(os.environ.get("REQUEST_SEEDS", "48"))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_request_reaches_no_fourth_server(seed: int) -> None:
    """Attempts at several relays are sent before these know of each other."""
    case = make_case(seed)
    world = RequestWorld(case)
    anyio.run(world.run)
    assert len(set(world.readers)) <= MAX_SERVERS, f"{case} {world.readers}"


@pytest.mark.parametrize("name", ["unsafe", "talk"])
def test_server_that_restarts_under_its_entry_ends_no_fourth_time(name: str) -> None:
    """A server is back at its address at once, and its entry stays the same."""
    ends: list[str] = []
    restarts: list[asyncio.Task[None]] = []

    async def end_and_restart(server: ScriptedServer, exchange: Exchange) -> None:
        ends.append(server.id)
        server.port = int(server.address.rpartition(":")[2])
        server.crash()

        async def restart() -> None:
            await asyncio.sleep(0.02)
            server.has_crashed = False
            await server.start()

        restarts.append(asyncio.create_task(restart()))

    fatal = FatalRequest(end_and_restart)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        network.delay_s = 0.3
        for attempt, relay in enumerate(relays):
            await send(relay, name, attempt)
            await anyio.sleep(0.1)
        await asyncio.gather(*restarts)
        assert len(ends) <= MAX_SERVERS

    run_world(fatal.servers, scenario, ATTEMPTS)


@pytest.mark.parametrize("name", ["unsafe", "talk"])
def test_relays_that_know_different_servers_use_no_fourth(name: str) -> None:
    """Each relay lacks some servers, and keepers are slower than the attempts."""

    async def crash(server: ScriptedServer, exchange: Exchange) -> None:
        server.crash()

    fatal = FatalRequest(crash)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        rng = random.Random(62)
        network.delay_s = 0.3
        for relay in relays:
            for number in rng.sample(range(len(fatal.servers)), 10):
                relay.fleet.remove(f"s{number}", -100.0)
            relay.fleet.remove_expired(anyio.current_time())
        for attempt, relay in enumerate(relays):
            await send(relay, name, attempt)
        assert fatal.crashed() <= MAX_SERVERS

    run_world(fatal.servers, scenario, 8)
