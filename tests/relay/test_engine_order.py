"""Priority of turns at engines and their memory, as wired into a relay."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection

import anyio
import pytest

from tests.relay.harness import (
    Exchange,
    RelayHarness,
    ScriptedServer,
    route,
    run_harness,
)
from tests.relay.test_customers import bearer, configure, customers
from wisteriastair.core.customers import Customer, Customers, Quota
from wisteriastair.core.membership import Member
from wisteriastair.core.quota import PERMIT_LIFETIME_S
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable, Service
from wisteriastair.errors import Failure
from wisteriastair.relay.engine_order import EngineOrder
from wisteriastair.relay.job import Job
from wisteriastair.relay.quota import PendingPermit
from wisteriastair.scheduling.fleet import ServerState

EVENTS = ("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")
# The engine of the harness has memory for 100,000 tokens.
LARGE = {"X_Token_Usage": "60000,100", "X_Deadline_Ms": "9000"}


async def stream_events(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS)


def run(
    servers: list[ScriptedServer],
    scenario: Callable[[RelayHarness], Awaitable[None]],
    *,
    has_memory_pressure: bool = False,
    paced: bool = False,
) -> None:
    async def main() -> None:
        async with run_harness(*servers) as harness:
            order = EngineOrder(
                harness.fleet,
                has_memory_pressure=has_memory_pressure,
                is_paced=lambda service: paced,
            )
            harness.handler._streams._order = order
            with anyio.fail_after(10):
                await scenario(harness)

    anyio.run(main)


def test_ranks_of_a_service_are_those_of_its_streams_and_customers() -> None:
    """A rank that is missing would have no priorities of its own."""
    routes = (
        route("one", RequestKind.STREAM, rank=0),
        route("two", RequestKind.STREAM, rank=2),
        route("plain", RequestKind.SAFE, rank=5),
        route("other", RequestKind.STREAM, rank=7, weighted_services=()),
    )
    ranked = Customers([(Customer("c", 4, None), []), (Customer("d", None, None), [])])
    services = {"svc": Service("svc", 100, None)}
    tables = [
        RouteTable(1, routes, services, CallerLimits(), customers)
        for customers in (None, ranked)
    ]
    assert tables[0].ranks("svc") == {0, 2}
    assert tables[1].ranks("svc") == {0, 2, 4}
    public = tuple(r._replace(is_public=True) for r in routes)
    open_table = RouteTable(1, public, services, CallerLimits(), ranked)
    assert open_table.ranks("svc") == {0, 2}


@pytest.mark.parametrize("switch", ["off", "pressure", "paced"])
def test_priority_is_the_rank_unless_switched_on(switch: str) -> None:
    """Other deployments must be served exactly as before.

    All stream routes of the harness have rank 1. A program without time left is the
    most urgent one; one without estimates or a finish time is in the middle.
    """
    server = ScriptedServer("s1", stream_events)

    async def scenario(harness: RelayHarness) -> None:
        assert (await harness.request("talk", "a", X_Program_Id="p")).status == 200
        late = await harness.request("talk", "b", X_Program_Id="p", X_Finish_Ms="0")
        ample = await harness.request(
            "talk", "c", X_Program_Id="q", X_Finish_Ms="900000"
        )
        assert (late.status, ample.status) == (200, 200)
        sent = [e.header("X-Request-Priority") for e in server.exchanges]
        assert sent == (["1", "1", "1"] if switch == "off" else ["4", "0", "9"])

    run(
        [server],
        scenario,
        has_memory_pressure=switch == "pressure",
        paced=switch == "paced",
    )


def test_a_turn_goes_to_a_server_with_memory(caplog: pytest.LogCaptureFixture) -> None:
    """Two turns that together exceed an engine's memory must run on two engines."""
    caplog.set_level(logging.INFO)
    release = asyncio.Event()

    async def stream_late(exchange: Exchange) -> None:
        await release.wait()
        await stream_events(exchange)

    servers = [ScriptedServer(name, stream_late) for name in ("s1", "s2")]

    async def scenario(harness: RelayHarness) -> None:
        statuses: list[int] = []

        async def ask(name: str) -> None:
            reply = await harness.request("talk", name, X_Program_Id=name, **LARGE)
            statuses.append(reply.status)

        async with anyio.create_task_group() as group:
            group.start_soon(ask, "a")
            group.start_soon(ask, "b")
            while sum(len(s.exchanges) for s in servers) < 2:
                await anyio.sleep(0.01)
            assert [len(s.exchanges) for s in servers] == [1, 1]
            third = await harness.request("talk", "c", X_Program_Id="c", **LARGE)
            assert third.status == 503 and "Retry-After: " in third.head
            assert sum(len(s.exchanges) for s in servers) == 2
            release.set()
        assert statuses == [200, 200]
        after = await harness.request("talk", "d", X_Program_Id="d", **LARGE)
        assert after.status == 200, "the memory is free again"

    run(servers, scenario, has_memory_pressure=True)
    ended = {
        vars(r)["request"]: vars(r) for r in caplog.records if "memory_ms" in vars(r)
    }
    assert ended["c"]["memory_ms"] >= 200 and not ended["c"]["sent"]
    assert ended["c"]["engine_priority"] is None
    assert ended["a"]["memory_ms"] == 0 and ended["a"]["engine_priority"] is not None


def test_a_waiting_turn_runs_when_memory_is_freed() -> None:
    """The only engine has no room at first, and some within the wait."""

    async def stream_slowly(exchange: Exchange) -> None:
        await exchange.stream(*EVENTS, gap_s=0.05)

    server = ScriptedServer("s1", stream_slowly)

    async def scenario(harness: RelayHarness) -> None:
        statuses: list[int] = []

        async def ask(name: str) -> None:
            reply = await harness.request("talk", name, X_Program_Id=name, **LARGE)
            statuses.append(reply.status)

        async with anyio.create_task_group() as group:
            group.start_soon(ask, "a")
            group.start_soon(ask, "b")
        assert statuses == [200, 200]

    run([server], scenario, has_memory_pressure=True)


def test_memory_is_freed_if_callers_leave_or_servers_fail() -> None:
    """A caller leaves while its turn waits or runs; a server resets the connection."""
    started = asyncio.Event()

    async def fail_first(exchange: Exchange) -> None:
        if exchange.header("X-Request-Id") == "failed":
            exchange.reset()
        elif exchange.header("X-Request-Id") == "left":
            started.set()
            await asyncio.sleep(5)
        else:
            await stream_events(exchange)

    server = ScriptedServer("s1", fail_first)

    async def scenario(harness: RelayHarness) -> None:
        order = harness.handler._streams._order
        await harness.request("turn", "failed", **LARGE)
        caller = await harness.open()
        await caller.send("talk", "left", **LARGE)
        await started.wait()
        waiting = await harness.open()
        await waiting.send("talk", "waits", **LARGE)
        await anyio.sleep(0.05)
        assert order.memory._queues
        caller.writer.close()
        waiting.writer.close()
        await anyio.sleep(0.3)
        assert not order.memory._uses and not order.memory._queues
        assert not order._turns
        assert (await harness.request("talk", "next", **LARGE)).status == 200

    run([server], scenario, has_memory_pressure=True)


class SlowOrder(EngineOrder):
    """Every turn waits for memory."""

    async def take_room(
        self, job: Job, state: ServerState, excluded: Collection[str]
    ) -> frozenset[str] | Failure:
        await asyncio.sleep(PERMIT_LIFETIME_S)
        job.memory_wait_s += PERMIT_LIFETIME_S
        return frozenset()


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_permit_that_became_old_during_the_wait_is_requested_again(
    is_lost: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The wait for memory takes longer than the lifetime of a permit.

    Turns with old permits would exceed the quota of their customer in some window. No
    keeper answers the second time in one case, and the turn has not run.
    """
    permits_at: list[float] = []
    arrivals: list[float] = []

    async def stream(exchange: Exchange) -> None:
        arrivals.append(asyncio.get_running_loop().time())
        await exchange.stream(*EVENTS)

    async def scenario(harness: RelayHarness) -> None:
        configure(harness, customers(Quota(1.0, 10.0)))
        harness.handler._streams._order = SlowOrder(harness.fleet)
        quota = harness.handler._quota
        send = quota._send

        def record_and_send(pending: PendingPermit, member: Member) -> None:
            if permits_at and is_lost:
                harness.keepers.unreachable = set(harness.keepers.cores)
            permits_at.append(asyncio.get_running_loop().time())
            send(pending, member)

        monkeypatch.setattr(quota, "_send", record_and_send)
        reply = await harness.request("turn", "a", **bearer("one", X_Program_Id="p"))
        if is_lost:
            assert reply.status == 503 and not arrivals
            assert b'"ran":"no"' in reply.body
        else:
            assert reply.status == 200
            assert arrivals[0] - permits_at[-1] < PERMIT_LIFETIME_S

    run([ScriptedServer("s1", stream)], scenario)
