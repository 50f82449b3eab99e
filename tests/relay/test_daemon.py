"""Relay processes: graceful stop, and start while the store is unreachable."""

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
    OTHER_KEEPER_IP,
    OTHER_RELAY_IP,
    RELAY_IP,
    UNREACHABLE_STORE,
    Deployment,
    run_scenario,
    server_entry,
)
from wisteriastair.core.stopping import REROUTE_S

# Time until a new configuration is in force (``configMs``).
CHANGE_S = 2.0
# Grace period, and timeout of the routes, with which a stopping relay accepts requests
# until `REROUTE_S` only and then has time for settlements.
GRACE_S = 20
TIMEOUT_MS = 17_000


def test_planned_stop_finishes_active_requests_and_exits(
    tmp_path: Path,
) -> None:
    """The platform stops a relay that has a request in progress.

    The relay must report at once that it is not ready, serve this request and those
    that still arrive, close their connections after the responses, and exit.
    """

    async def slow(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "slow":
            await asyncio.sleep(1.0)
        await exchange.answer("fine")

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        caller = await deployment.open(deployment.front)
        await caller.send("unsafe", "slow")
        await anyio.sleep(0.2)
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(0.2)
        assert await deployment.request_ready() == 503
        late = await deployment.request("late")
        assert late.status == 200 and "Connection: close" in late.head
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"fine")
        assert "Connection: close" in reply.head
        assert await anyio.to_thread.run_sync(relay.wait) == 0

    run_scenario(ScriptedServer("s1", slow), tmp_path, scenario)


def test_stopping_relay_answers_every_accepted_request(tmp_path: Path) -> None:
    """Callers get truncated responses at the end of a planned stop.

    When most relays of a failure domain stop at the same time, the platform keeps
    routing new callers to all of them.  A relay that accepts requests up to its end
    cuts those in progress.  With a grace period of 8 s, relays cut requests that they
    had accepted 6.35 s or more after the signal, each with more than a second left
    before its deadline.  A relay must refuse requests that it may be unable to finish.
    """

    async def slow(exchange: Exchange) -> None:
        await asyncio.sleep(0.8)
        await exchange.answer("fine")

    server = ScriptedServer("s1", slow)

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        relay = await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        relay.send_signal(signal.SIGTERM)
        replies: dict[str, Reply] = {}

        async def send_request(request_id: str) -> None:
            try:
                streams = await asyncio.open_connection(RELAY_IP, deployment.front)
                caller = Caller(*streams)
                await caller.send("unsafe", request_id)
                replies[request_id] = await caller.read()
            except OSError:
                replies[request_id] = Reply(0, "", b"", False)

        async with anyio.create_task_group() as callers:
            number = 0
            while relay.poll() is None:
                number += 1
                callers.start_soon(send_request, f"late-{number}")
                await anyio.sleep(0.1)
        assert relay.returncode == 0
        ran = {exchange.header("X-Request-Id") for exchange in server.exchanges}
        ended = [replies[name].status for name in replies if name in ran]
        assert ended and set(ended) == {200}
        refused = [reply for name, reply in replies.items() if name not in ran]
        assert {reply.status for reply in refused} <= {0, 503}
        heads = [reply.head.lower() for reply in refused if reply.status == 503]
        assert heads
        assert all("retry-after: " in head for head in heads)
        assert all("connection: close" in head for head in heads)

    run_scenario(server, tmp_path, scenario)


def test_stopping_relay_settles_its_last_turns(tmp_path: Path) -> None:
    """A program's budget of 300 tokens is reported as spent after one token.

    Its last turn ended just before the relay's planned stop, while the keepers were
    restarting.  The settlement of a turn without history runs in the background; if the
    relay ends first, all tokens reserved for the turn stay reserved.
    """
    ending = anyio.Event()

    async def talk(exchange: Exchange) -> None:
        await exchange.send_event("id: 1\ndata: one\n\n")
        if exchange.header("X-Request-Id").startswith("last"):
            await ending.wait()
        await exchange.end_stream()

    server = ScriptedServer("s1", talk)

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        # Keepers start slowly on a busy machine.  The grace period covers that, and the
        # routes' timeouts keep the relay from accepting requests for longer.
        deployment.grace_s = GRACE_S
        routes = [r | {"timeoutMs": TIMEOUT_MS} for r in CONFIG["routes"]]
        store.put("op/config", json.dumps(CONFIG | {"routes": routes}).encode())
        keeper_ips = (KEEPER_IP, OTHER_KEEPER_IP)
        keepers = [
            await stack.enter_async_context(deployment.run("keeper", ip))
            for ip in keeper_ips
        ]
        relay_ips = (RELAY_IP, OTHER_RELAY_IP)
        relay, _ = [
            await stack.enter_async_context(deployment.run("relay", ip))
            for ip in relay_ips
        ]
        for ip in relay_ips:
            first = await deployment.run_turn(ip, f"first-{ip}", f"first-{ip}")
            assert first.status == 200
        relay.send_signal(signal.SIGTERM)
        await anyio.sleep(REROUTE_S - 0.5)
        replies: list[Reply] = []

        async def run_last_turn() -> None:
            replies.append(await deployment.run_turn(RELAY_IP, "p", "last"))

        async with anyio.create_task_group() as callers:
            callers.start_soon(run_last_turn)
            await anyio.sleep(1.0)
            for keeper in keepers:
                keeper.kill()
                await anyio.to_thread.run_sync(keeper.wait)
            ending.set()
        assert replies[0].status == 200 and replies[0].whole
        await anyio.sleep(0.5)
        for ip in keeper_ips:
            await stack.enter_async_context(deployment.run("keeper", ip))
        assert await anyio.to_thread.run_sync(relay.wait) == 0
        after = await deployment.run_turn(OTHER_RELAY_IP, "p", "after")
        assert after.status == 200, after.body

    run_scenario(server, tmp_path, scenario)


def test_start_without_store_uses_documents_of_a_keeper(
    tmp_path: Path,
) -> None:
    """A relay starts while the store is unreachable.

    It must get the store's documents from a keeper.  Otherwise it would refuse callers
    until the store is reachable again.
    """

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        await stack.enter_async_context(deployment.run("keeper", KEEPER_IP))
        while not any(event["key"].startswith("wist") for event in store.history):
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        store.down = True
        await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, scenario)


def test_start_without_store_misses_no_change(
    tmp_path: Path,
) -> None:
    """Guards against missing a change between a keeper's documents and first update."""

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        await stack.enter_async_context(deployment.run("keeper", KEEPER_IP))
        while not any(event["key"].startswith("wist") for event in store.history):
            await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        relay = deployment.run("relay", RELAY_IP, UNREACHABLE_STORE)
        await stack.enter_async_context(relay)
        await deployment.wait_until_served()
        moved = CONFIG["routes"][0] | {"prefix": "/moved/"}
        newer = CONFIG | {"version": 4, "routes": [moved]}
        store.put("op/config", json.dumps(newer).encode())
        await anyio.sleep(CHANGE_S)
        assert (await deployment.request("new", "moved")).status == 200

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, scenario)


def test_invalid_server_entries_are_ignored(
    tmp_path: Path,
) -> None:
    """Another writer stores invalid server entries beside a valid one.

    Callers must still be served by the valid server.  Once its entry is replaced by an
    invalid one, callers must be told to retry later.
    """

    async def answer_ok(exchange: Exchange) -> None:
        await exchange.answer("fine")

    server = ScriptedServer("s1", answer_ok)

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        store.put_text("servers/a", "*")
        store.put("servers/b", b"\xff\x00")
        store.put("servers/c", b'{"service": 7}')
        store.put("servers/d", server_entry(server, state="odd"))
        store.put("servers/e", server_entry(server, slots="8"))
        await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        for number in range(20):
            assert (await deployment.request(f"sound-{number}")).status == 200
        store.put("servers/s1", server_entry(server, state="odd"))
        while (await deployment.request(f"spoilt-{store.revision}")).status != 503:
            await anyio.sleep(0.05)
        store.put("servers/s1", server_entry(server, born=5))
        while (await deployment.request(f"again-{store.revision}")).status != 200:
            await anyio.sleep(0.05)

    run_scenario(server, tmp_path, scenario)


def test_server_that_leaves_while_a_watch_is_cut_is_not_used(tmp_path: Path) -> None:
    """A cut watch is no outage in which the leases of servers expire.

    The entry that ends meanwhile belongs to a server that leaves.  It got requests for
    2.6 s after the watch was back.
    """

    async def answer_ok(exchange: Exchange) -> None:
        await asyncio.sleep(0.05)
        await exchange.answer("fine")

    leaving = ScriptedServer("s2", answer_ok)

    async def send_together(deployment: Deployment, name: str) -> None:
        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(deployment.request, f"{name}-{number}")

    async def scenario(
        deployment: Deployment, store: StoreStandin, stack: AsyncExitStack
    ) -> None:
        await leaving.start()
        store.put("servers/s2", server_entry(leaving))
        await stack.enter_async_context(deployment.run("relay", RELAY_IP))
        await deployment.wait_until_served()
        while not leaving.exchanges:
            await send_together(deployment, "before")
        store.remove("servers/s2")
        store.forget_history()
        # The backoff after a failed call, and the reading of all keys.
        await anyio.sleep(0.8)
        leaving.exchanges.clear()
        for number in range(20):
            await send_together(deployment, f"after-{number}")
        assert not leaving.exchanges

    run_scenario(ScriptedServer("s1", answer_ok), tmp_path, scenario)
