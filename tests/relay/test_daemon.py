"""A relay as a real process: graceful stop, and a start while the store is away."""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import anyio.to_thread

from tests.platform.standin_store import StoreStandin
from tests.relay.harness import Caller, Exchange, Reply, ScriptedServer
from tests.relay.machines import (
    CONFIG,
    KEEPER_IP,
    NO_STORE,
    OTHER_KEEPER_IP,
    OTHER_RELAY_IP,
    RELAY_IP,
    Machines,
    entry_of,
    run_scenario,
)
from wisteriastair.core.stopping import REROUTE_S

# Time after which a new configuration is in force, in seconds: ``configMs``.
CHANGE_S = 2.0


def test_a_planned_stop_ends_what_is_under_way_and_then_the_process(
    tmp_path: Path,
) -> None:
    """The platform stops a relay while it answers a request.

    The relay says at once that it is not ready, serves the request and those that still
    come, ends their channels with the answers, and exits by itself.
    """

    async def slow(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "slow":
            await asyncio.sleep(1.0)
        await exchange.answer("fine")

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(machines.run("relay", RELAY_IP))
        await machines.until_served()
        caller = await machines.open(machines.front)
        await caller.send("unsafe", "slow")
        await anyio.sleep(0.2)
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert await machines.ask_ready() == 503
        late = await machines.ask("late")
        assert late.status == 200 and "Connection: close" in late.head
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        assert "Connection: close" in reply.head
        assert await anyio.to_thread.run_sync(relay.wait) == 0

    run_scenario(ScriptedServer("s1", slow), tmp_path, story)


def test_a_relay_that_stops_answers_whatever_it_takes(tmp_path: Path) -> None:
    """Callers see answers break off in the middle, long after a planned stop began.

    All relays of a failure domain are told to stop within seconds.  A platform that
    finds most of them leaving goes on using all of them, so new callers keep coming to
    each until it is gone.  A relay answered them as ever up to its last moment, which
    cut whatever was under way then: requests that it need not have taken.

    The lines that settled it, of one relay, 7.3 s after the signal with 8 s of grace:
    ``stopped before all was done`` with ``left`` 2, then ``request broken off`` with
    ``took_ms`` 476.9, ``left_ms`` 2523 and ``events`` 9.  Of 45 requests broken off on
    eight relays all were taken 6.35 s or more after the signal, and each had more than
    a second of its own time left.
    """

    async def slow(exchange: Exchange) -> None:
        await asyncio.sleep(0.8)
        await exchange.answer("fine")

    server = ScriptedServer("s1", slow)

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(machines.run("relay", RELAY_IP))
        await machines.until_served()
        relay.send_signal(signal.SIGTERM)
        replies: dict[str, Reply] = {}

        async def ask(request_id: str) -> None:
            try:
                channel = await asyncio.open_connection(RELAY_IP, machines.front)
                caller = Caller(*channel)
                await caller.send("unsafe", request_id)
                replies[request_id] = await caller.read()
            except OSError:
                replies[request_id] = Reply(0, "", b"", False)

        async with anyio.create_task_group() as callers:
            number = 0
            while relay.poll() is None:
                number += 1
                callers.start_soon(ask, f"late-{number}")
                await anyio.sleep(0.1)
        assert relay.returncode == 0
        ran = {exchange.header("X-Request-Id") for exchange in server.exchanges}
        ended = [replies[name].status for name in replies if name in ran]
        assert ended and set(ended) == {200}
        refused = [reply for name, reply in replies.items() if name not in ran]
        assert {reply.status for reply in refused} <= {0, 503}
        told = [reply.head.lower() for reply in refused if reply.status == 503]
        assert told
        assert all("retry-after: " in head for head in told)
        assert all("connection: close" in head for head in told)

    run_scenario(server, tmp_path, story)


def test_a_relay_that_stops_settles_what_its_last_turns_took(tmp_path: Path) -> None:
    """A program is told that its budget of 300 tokens is spent; it has got one.

    Its last turn ended whole just before the relay's planned stop, while the keepers
    were being started again.  Nobody waits for the settlement of a turn that is not
    kept; if the relay ends first, all that the turn could have taken stays reserved.
    """
    ending = anyio.Event()

    async def talk(exchange: Exchange) -> None:
        await exchange.send_event("id: 1\ndata: one\n\n")
        if exchange.header("X-Request-Id").startswith("last"):
            await ending.wait()
        await exchange.end_stream()

    server = ScriptedServer("s1", talk)

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        keeper_ips = (KEEPER_IP, OTHER_KEEPER_IP)
        keepers = [
            await stack.enter_async_context(machines.run("keeper", ip))
            for ip in keeper_ips
        ]
        relay_ips = (RELAY_IP, OTHER_RELAY_IP)
        relay, _ = [
            await stack.enter_async_context(machines.run("relay", ip))
            for ip in relay_ips
        ]
        for ip in relay_ips:
            first = await machines.take_turn(ip, f"first-{ip}", f"first-{ip}")
            assert first.status == 200
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(REROUTE_S - 0.5)
        replies: list[Reply] = []

        async def take_last() -> None:
            replies.append(await machines.take_turn(RELAY_IP, "p", "last"))

        async with anyio.create_task_group() as callers:
            callers.start_soon(take_last)
            await anyio.sleep(1.0)
            for keeper in keepers:
                keeper.kill()
                await anyio.to_thread.run_sync(keeper.wait)
            ending.set()
        assert replies[0].status == 200 and replies[0].whole
        await anyio.sleep(0.5)
        for ip in keeper_ips:
            await stack.enter_async_context(machines.run("keeper", ip))
        assert await anyio.to_thread.run_sync(relay.wait) == 0
        after = await machines.take_turn(OTHER_RELAY_IP, "p", "after")
        assert after.status == 200, after.body

    run_scenario(server, tmp_path, story)


def test_a_relay_that_starts_while_the_store_is_away_learns_from_a_keeper(
    tmp_path: Path,
) -> None:
    """The store goes away; a relay starts anew and knows nothing.

    A keeper remembers what the store last said.  Without it callers would be turned
    away until the store is back.
    """

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        await stack.enter_async_context(machines.run("keeper", KEEPER_IP))
        while not any(event["key"].startswith("wist") for event in store.history):
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        store.down = True
        await stack.enter_async_context(machines.run("relay", RELAY_IP))
        await machines.until_served()

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, story)


def test_a_relay_that_the_store_turns_away_misses_no_change_at_its_start(
    tmp_path: Path,
) -> None:
    """Guards against a change between a keeper's documents and its first news."""

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        await stack.enter_async_context(machines.run("keeper", KEEPER_IP))
        while not any(event["key"].startswith("wist") for event in store.history):
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        relay = machines.run("relay", RELAY_IP, NO_STORE)
        await stack.enter_async_context(relay)
        await machines.until_served()
        moved = CONFIG["routes"][0] | {"prefix": "/moved/"}
        newer = CONFIG | {"version": 4, "routes": [moved]}
        store.put("op/config", json.dumps(newer).encode())
        await anyio.sleep(CHANGE_S)
        assert (await machines.ask("new", "moved")).status == 200

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, story)


def test_entries_of_another_writer_name_no_server_and_disturb_none(
    tmp_path: Path,
) -> None:
    """Somebody writes entries that are no entries beside a sound one.

    Callers are served by the sound server all the while.  The entry of the one server
    is then spoilt: it names no server any more, and callers are told to come back.
    """

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    server = ScriptedServer("s1", answer_ok)

    async def story(
        machines: Machines, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        store.put_text("servers/a", "*")
        store.put("servers/b", b"\xff\x00")
        store.put("servers/c", b'{"service": 7}')
        store.put("servers/d", entry_of(server, state="odd"))
        store.put("servers/e", entry_of(server, slots="8"))
        await stack.enter_async_context(machines.run("relay", RELAY_IP))
        await machines.until_served()
        for number in range(20):
            assert (await machines.ask(f"sound-{number}")).status == 200
        store.put("servers/s1", entry_of(server, state="odd"))
        while (await machines.ask(f"spoilt-{store.revision}")).status != 503:
            await anyio.sleep(0.05)
        store.put("servers/s1", entry_of(server, born=5))
        while (await machines.ask(f"again-{store.revision}")).status != 200:
            await anyio.sleep(0.05)

    run_scenario(server, tmp_path, story)
