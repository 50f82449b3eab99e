"""Quarantined requests across processes: other relays, restarts, outages, operators."""

from __future__ import annotations

import json
from base64 import b64decode
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from tests.platform.standin_store import StoreStandin
from tests.relay.harness import Exchange, ScriptedServer, answer_ok
from tests.relay.machines import (
    KEEPER_IP,
    OTHER_KEEPER_IP,
    OTHER_RELAY_IP,
    RELAY_IP,
    Deployment,
    run_scenario,
    server_entry,
)
from tests.relay.test_crashes import FATAL_BODY, MAX_CRASHES, count_crashed
from wisteriastair.platform.documents import QUARANTINE_KEY_PREFIX

RELAYS = (RELAY_IP, OTHER_RELAY_IP)
PROCESSES = (
    ("keeper", KEEPER_IP),
    ("keeper", OTHER_KEEPER_IP),
    ("relay", RELAY_IP),
    ("relay", OTHER_RELAY_IP),
)
SERVER_COUNT = 12


class World:
    """Servers that crash under one request, and the processes before them."""

    def __init__(self, deployment: Deployment, store: StoreStandin) -> None:
        self.deployment = deployment
        self.store = store
        self.servers = [self._make_server(number) for number in range(SERVER_COUNT)]
        self._attempts = 0

    def _make_server(self, number: int) -> ScriptedServer:
        async def serve(exchange: Exchange) -> None:
            if exchange.body.decode() == FATAL_BODY:
                self.servers[number].crash()
            else:
                await answer_ok(exchange)

        return ScriptedServer(f"f{number}", serve)

    async def start_servers(self) -> None:
        # Its answer would end the count.
        self.store.remove("servers/s1")
        for server in self.servers:
            await server.start()
            self.store.put(f"servers/{server.id}", server_entry(server))

    async def start_processes(self, stack: AsyncExitStack) -> None:
        for role, ip in PROCESSES:
            await stack.enter_async_context(self.deployment.run(role, ip))
        for ip in RELAYS:
            while await self._send(ip, "harmless") != 200:
                await anyio.sleep(0.05)
        # Relays subscribe to watchers that they have known for a while.
        await anyio.sleep(3.0)

    async def send_fatal(self, ip: str) -> int:
        return await self._send(ip, FATAL_BODY)

    async def _send(self, ip: str, body: str) -> int:
        self._attempts += 1
        caller = await self.deployment.open(self.deployment.front, ip)
        await caller.send("unsafe", f"attempt-{self._attempts}", body)
        status = (await caller.read()).status
        caller.writer.close()
        return status

    def records(self) -> list[str]:
        return [key for key in self.store.items if key.startswith("status/quarantine/")]

    async def wait_for_record(self) -> str:
        while not self.records():
            await anyio.sleep(0.05)
        return self.records()[0]


def run_world(
    folder: Path, scenario: Callable[[World, AsyncExitStack], Awaitable[None]]
) -> None:
    async def main(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        world = World(deployment, store)
        await world.start_servers()
        await scenario(world, stack)
        for server in world.servers:
            server.stop()

    run_scenario(ScriptedServer("s1", answer_ok), folder, main)


def test_quarantine_holds_after_a_restart_of_all_processes(tmp_path: Path) -> None:
    """Attempts reach two relays; then every process of the system is killed.

    After that the store is down, so only the keepers' disks know of the quarantine.
    """

    async def scenario(world: World, stack: AsyncExitStack) -> None:
        async with AsyncExitStack() as processes:
            await world.start_processes(processes)
            for attempt in range(6):
                status = await world.send_fatal(RELAYS[attempt % 2])
            assert status == 503
            assert count_crashed(world.servers) <= MAX_CRASHES
            key = await world.wait_for_record()
            record = json.loads(b64decode(world.store.items[key]["value"]))
            assert record["request"] == "POST h/unsafe/x"
            # Keepers save the documents of the store twice a second.
            await anyio.sleep(1.5)
        world.store.down = True
        await world.start_processes(stack)
        for attempt in range(4):
            assert await world.send_fatal(RELAYS[attempt % 2]) == 503
        assert count_crashed(world.servers) <= MAX_CRASHES

    run_world(tmp_path, scenario)


def test_crashes_below_the_bound_outlive_all_processes(tmp_path: Path) -> None:
    """Two servers have crashed; then every process of the system is killed."""

    async def scenario(world: World, stack: AsyncExitStack) -> None:
        async with AsyncExitStack() as processes:
            await world.start_processes(processes)
            for ip in RELAYS:
                await world.send_fatal(ip)
            assert count_crashed(world.servers) == MAX_CRASHES - 1
            assert world.records() == []
        await world.start_processes(stack)
        for attempt in range(4):
            await world.send_fatal(RELAYS[attempt % 2])
        assert count_crashed(world.servers) <= MAX_CRASHES

    run_world(tmp_path, scenario)


def test_quarantine_holds_while_the_store_is_down(tmp_path: Path) -> None:
    """The store goes down before the first crash: nothing can be recorded."""

    async def scenario(world: World, stack: AsyncExitStack) -> None:
        await world.start_processes(stack)
        world.store.down = True
        await anyio.sleep(0.5)
        for attempt in range(6):
            await world.send_fatal(RELAYS[attempt % 2])
        assert count_crashed(world.servers) <= MAX_CRASHES
        assert world.records() == []
        world.store.down = False
        await world.wait_for_record()

    run_world(tmp_path, scenario)


def test_operator_ends_a_quarantine(tmp_path: Path) -> None:
    """The servers are repaired, and the operator removes the record."""

    async def scenario(world: World, stack: AsyncExitStack) -> None:
        await world.start_processes(stack)
        for _ in range(MAX_CRASHES):
            await world.send_fatal(RELAY_IP)
        key = await world.wait_for_record()
        assert key.startswith(QUARANTINE_KEY_PREFIX)
        for server in world.servers:
            server.script = answer_ok
        assert await world.send_fatal(OTHER_RELAY_IP) == 503
        world.store.remove(key)
        await anyio.sleep(1.0)
        for ip in RELAYS:
            assert await world.send_fatal(ip) == 200
        await anyio.sleep(1.5)
        assert world.records() == []

    run_world(tmp_path, scenario)
