"""Servers that leave while requests wait to be sent to them."""

from __future__ import annotations

import anyio
import pytest

from tests.relay.harness import RelayHarness, ScriptedServer, answer_ok, run_scenario
from wisteriastair.http1.server import ServerConnection
from wisteriastair.scheduling.fleet import Server


@pytest.mark.parametrize("change", ["draining", "removed", "restarted"])
@pytest.mark.parametrize("name", ["safe", "unsafe", "long"])
def test_server_that_leaves_while_a_connection_is_opened_gets_no_request(
    name: str, change: str
) -> None:
    """A connection may take half a second, in which the server's entry changes."""
    servers = [ScriptedServer(f"s{number}", answer_ok) for number in range(2)]

    async def scenario(harness: RelayHarness) -> None:
        pool, fleet = harness.dispatcher.pool, harness.fleet
        acquire = pool.acquire
        left: list[str] = []

        async def acquire_slowly(server: Server) -> ServerConnection | str:
            outcome = await acquire(server)
            if not left:
                left.append(server.id)
                if change == "draining":
                    fleet.put(server._replace(draining=True))
                elif change == "removed":
                    fleet.remove(server.id, anyio.current_time())
                else:
                    fleet.put(server._replace(born=1, draining=True))
            return outcome

        pool.acquire = acquire_slowly  # type: ignore[method-assign]
        await harness.request(name)
        served_by = [server.id for server in servers if server.exchanges]
        assert left and served_by and left[0] not in served_by

    run_scenario(servers, scenario)


def test_last_server_of_a_service_is_used_although_its_entry_ends() -> None:
    """It still serves for its drain time, and nobody else could."""
    server = ScriptedServer("s0", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        pool = harness.dispatcher.pool
        acquire = pool.acquire

        async def acquire_slowly(server: Server) -> ServerConnection | str:
            harness.fleet.remove(server.id, anyio.current_time())
            return await acquire(server)

        pool.acquire = acquire_slowly  # type: ignore[method-assign]
        assert (await harness.request("unsafe")).status == 200

    run_scenario([server], scenario)
