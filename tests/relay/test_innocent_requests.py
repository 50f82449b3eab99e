"""Requests beside servers that end for other reasons keep their retries."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    Reply,
    ScriptedServer,
    answer_ok,
    run_scenario,
)
from tests.relay.test_late_crashes import FATAL_BODY, MAX_CRASHES
from wisteriastair.scheduling.crashes import RequestIdentity
from wisteriastair.scheduling.digest import server_key
from wisteriastair.scheduling.fleet import Server

SERVERS = 8
PROGRAMS = 40
CALLS = 6
# Attempts of a caller and of its program for one call, and the pause between them.
ATTEMPTS = 6
PAUSE_S = 0.1
WORK_S = (0.02, 0.25)
# Time for which a server that leaves by plan goes on.
DRAIN_S = 0.4
PATH = "/unsafe/x"
SESSION = "l1"


class World:
    """Servers of a service, which change, and programs that call it.

    Attributes
    ----------
    outcomes : Counter
        Attempts by outcome: status, refused because servers are unproved, or refused
        after three servers that had the call have ended, as the bound asks for.
    unserved : int
        Calls whose attempts all failed, though fewer servers have ended.
    """

    def __init__(self, harness: RelayHarness, reset_share: float = 0.0) -> None:
        self.harness = harness
        self.outcomes: Counter[str] = Counter()
        self.unserved = 0
        self._rng = random.Random(59)
        self._reset_share = reset_share
        self.servers: list[ScriptedServer] = []

    async def add_server(self) -> None:
        server = ScriptedServer(f"n{len(self.servers)}", answer_ok)

        async def serve(exchange: Exchange) -> None:
            if exchange.body.decode() == FATAL_BODY:
                server.crash()
                return
            await asyncio.sleep(self._rng.uniform(*WORK_S))
            if self._rng.random() < self._reset_share:
                exchange.reset()
            else:
                await answer_ok(exchange)

        server.script = serve
        await server.start()
        self.servers.append(server)
        self.harness.fleet.put(
            Server(server.id, "svc", server.address, "d", 8, False, 0.0)
        )

    async def take_away(self, number: int, notice_s: float) -> None:
        """Let a server say that it is leaving, and end."""
        server = self.servers[number]
        state = self.harness.fleet.get(server.id)
        assert state is not None
        self.harness.fleet.put(state.server._replace(draining=True))
        await asyncio.sleep(notice_s)
        server.crash()

    async def remove(self, number: int) -> None:
        """Remove the entry of a server that serves on for a while, and ends."""
        server = self.servers[number]
        state = self.harness.fleet.get(server.id)
        assert state is not None
        self.harness.dispatcher.crashes.record_removed(state.server)
        self.harness.fleet.remove(server.id, anyio.current_time())
        await asyncio.sleep(DRAIN_S)
        server.crash()

    async def run_program(self, number: int) -> None:
        for call in range(CALLS):
            for attempt in range(ATTEMPTS):
                if await self._send(number, call, attempt):
                    break
                await asyncio.sleep(PAUSE_S)
            else:
                self.unserved += not self._has_lost_servers(number, call)

    async def _send(self, number: int, call: int, attempt: int) -> bool:
        reply = await self._request(f"p{number}", f"{call}", attempt)
        is_refused = reply.status == 503 and b"crashed" in reply.body
        outcome = "refused" if is_refused else str(reply.status)
        if is_refused and self._has_lost_servers(number, call):
            outcome = "refused by the bound"
        self.outcomes[outcome] += 1
        return reply.status == 200

    def _has_lost_servers(self, number: int, call: int) -> bool:
        """Return whether three servers that a call was sent to have really ended.

        Some may have ended before they had read it, which no relay can know.
        """
        program, body = f"p{number}", str(call).encode()
        identity = RequestIdentity("", "POST", "h", PATH, program, SESSION, "", body)
        table, key = self.harness.dispatcher.crashes.table, identity.key()
        sent_to = table.servers(key) | table.exposures.servers(key).keys()
        ended = {server_key(f"{s.id}.0") for s in self.servers if s.has_crashed}
        return len(sent_to) >= MAX_CRASHES and sent_to <= ended

    async def _request(self, program: str, body: str, attempt: int) -> Reply:
        caller = await self.harness.open()
        await caller.send(
            "unsafe",
            f"{program}-{body}-{attempt}",
            body,
            X_Program_Id=program,
            X_Session_Id=SESSION,
        )
        reply = await caller.read()
        caller.writer.close()
        return reply

    async def send_fatal(self) -> None:
        for attempt in range(ATTEMPTS):
            await self._request("fatal", FATAL_BODY, attempt)
            await asyncio.sleep(PAUSE_S)


async def roll(world: World) -> None:
    for number in range(SERVERS):
        await world.add_server()
        await world.take_away(number, DRAIN_S / 4)


async def take_away_at_once(world: World) -> None:
    async with anyio.create_task_group() as group:
        for number in range(SERVERS // 2):
            group.start_soon(world.take_away, number, 0.02)


async def remove_entries(world: World) -> None:
    for number in range(SERVERS // 2):
        await world.remove(number)


async def crash_under_another_request(world: World) -> None:
    await world.send_fatal()


async def wait(world: World) -> None:
    """Only reset connections."""


@pytest.mark.parametrize(
    ("disrupt", "reset_share"),
    [
        (roll, 0.0),
        (roll, 0.1),
        (take_away_at_once, 0.0),
        (take_away_at_once, 0.1),
        (remove_entries, 0.1),
        (crash_under_another_request, 0.0),
        (crash_under_another_request, 0.1),
        (wait, 0.2),
    ],
)
def test_innocent_requests_are_not_refused(
    disrupt: Callable[[World], Awaitable[None]], reset_share: float
) -> None:
    """Servers end by plan, or under another request, beside reset connections."""

    async def scenario(harness: RelayHarness) -> None:
        world = World(harness, reset_share)
        for _ in range(SERVERS):
            await world.add_server()
        async with anyio.create_task_group() as group:
            for number in range(PROGRAMS):
                group.start_soon(world.run_program, number)
            await asyncio.sleep(0.3)
            await disrupt(world)
        print(disrupt.__name__, reset_share, dict(world.outcomes), world.unserved)
        assert world.outcomes["refused"] == 0
        assert world.unserved == 0
        for server in world.servers:
            server.stop()

    run_scenario([], scenario)
