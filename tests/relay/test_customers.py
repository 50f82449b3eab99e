"""Keys and quotas of customers: responses to callers, and headers sent to servers."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable

import pytest

from tests.relay.harness import (
    ROUTES,
    Exchange,
    RelayHarness,
    ScriptedServer,
    answer_ok,
    route,
    run_scenario,
)
from wisteriastair.core.customers import Customer, Customers, Quota, digest_key
from wisteriastair.core.membership import Member
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable, Service
from wisteriastair.relay.quota import SUSPECT_DURATION_S

KEYS = {"one": "key-of-one", "two": "key-of-two"}
EVENTS = ("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")
TURN = {"X_Program_Id": "p", "X_Token_Usage": "10,200", "X_Token_Budget": "1000"}


async def stream_events(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS)


def bearer(customer: str, **more: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {KEYS[customer]}", **more}


def customers(quota: Quota | None = None, rank: int | None = None) -> Customers:
    return Customers(
        (Customer(name, rank, quota), [digest_key(key.encode())])
        for name, key in KEYS.items()
    )


def run_with_customers(
    table_customers: Customers,
    servers: list[ScriptedServer],
    scenario: Callable[[RelayHarness], Awaitable[None]],
) -> None:
    async def with_customers(harness: RelayHarness) -> None:
        configure(harness, table_customers)
        await scenario(harness)

    run_scenario(servers, with_customers)


def configure(
    harness: RelayHarness, table_customers: Customers, version: int = 1
) -> None:
    routes = (*ROUTES, route("open", RequestKind.UNSAFE, is_public=True))
    services = {"svc": Service("svc", 100, None)}
    harness.handler.table = RouteTable(
        version, routes, services, CallerLimits(), table_customers
    )
    for core in harness.keepers.cores.values():
        core.quota.configure(table_customers.by_name, 0.0)
    harness.keepers.exchange_heartbeats()


def test_server_gets_the_customer_but_not_the_key() -> None:
    """A caller sends the name of another customer than the one its key belongs to.

    Servers trust the customer's name, so only the relay may set it.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        reply = await harness.request("unsafe", "a", **bearer("one", X_Tenant="two"))
        assert reply.status == 200
        assert (await harness.request("open", "b", **bearer("one"))).status == 200
        assert (await harness.request("open", "c", X_Tenant="two")).status == 200
        assert [exchange.header("X-Tenant") for exchange in server.exchanges] == [
            "one",
            "",
            "",
        ]
        assert not any("key-of" in exchange.head for exchange in server.exchanges)

    run_with_customers(customers(), [server], scenario)


def test_turn_has_the_priority_of_its_customer() -> None:
    server = ScriptedServer("s1", stream_events)

    async def scenario(harness: RelayHarness) -> None:
        assert (
            await harness.request("talk", "a", **bearer("one", **TURN))
        ).status == 200
        assert server.exchanges[0].header("X-Request-Priority") == "0"

    run_with_customers(customers(rank=0), [server], scenario)


@pytest.mark.parametrize(
    "value",
    ["", "Bearer", "Bearer unknown", "Basic key-of-one", "key-of-one", "Bearer " * 99],
)
def test_request_without_known_key_is_refused(value: str) -> None:
    """A request without a known key is refused and does not run.

    The response must not contain Retry-After, since a retry would not help.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        more = {"Authorization": value} if value else {}
        reply = await harness.request("unsafe", "a", **more)
        assert reply.status == 401
        assert json.loads(reply.body)["ran"] == "no"
        assert "Retry-After" not in reply.head
        assert not server.exchanges

    run_with_customers(customers(), [server], scenario)


def test_unknown_key_may_be_retried_with_outdated_configuration() -> None:
    """The relay has lost contact with the store while a key was added.

    Callers do not retry after a 401, so a caller with an unknown key must be told to
    retry later.  Known keys are still served.
    """

    async def scenario(harness: RelayHarness) -> None:
        harness.handler.is_config_current = False
        reply = await harness.request("unsafe", "a", Authorization="Bearer new")
        assert reply.status == 503 and "Retry-After" in reply.head
        assert (await harness.request("unsafe", "b", **bearer("one"))).status == 200
        assert (await harness.request("unsafe", "c")).status == 401, (
            "a missing key cannot be a new one"
        )

    run_with_customers(customers(), [ScriptedServer("s1", answer_ok)], scenario)


def test_revoked_key_is_refused_on_an_open_connection() -> None:
    """A caller keeps its connection open while its key is revoked."""

    async def scenario(harness: RelayHarness) -> None:
        caller = await harness.open()
        await caller.send("unsafe", "a", **bearer("one"))
        assert (await caller.read()).status == 200
        only_two = Customers([(Customer("two", None, None), [])])
        configure(harness, only_two, version=2)
        await caller.send("unsafe", "b", **bearer("one"))
        assert (await caller.read()).status == 401

    run_with_customers(customers(), [ScriptedServer("s1", answer_ok)], scenario)


def test_turn_of_another_customer_is_not_found() -> None:
    """Two customers use the same program and turn ids.

    If turns were found by id alone, a server would get another customer's content.
    """
    server = ScriptedServer("s1", stream_events)

    async def scenario(harness: RelayHarness) -> None:
        one, two = bearer("one", **TURN), bearer("two", **TURN)
        assert (await harness.request("turn", "t1", **one)).status == 200
        follow = {"X_Previous_Turn": "t1"}
        assert (await harness.request("turn", "t2", **two, **follow)).status == 404
        assert (await harness.request("turn", "t2", **one, **follow)).status == 200
        assert [exchange.body for exchange in server.exchanges] == [b"", b"one\ntwo\n"]

    run_with_customers(customers(), [server], scenario)


def test_requests_over_the_quota_do_not_run() -> None:
    """A customer sends far more requests than its quota allows.

    Excess requests must get a 429 with Retry-After and reach no server; another
    customer must not be affected.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        statuses = []
        for number in range(80):
            reply = await harness.request("unsafe", f"q{number}", **bearer("one"))
            statuses.append(reply.status)
        assert set(statuses) == {200, 429}
        assert len(server.exchanges) == statuses.count(200) < 60
        refused = await harness.request("unsafe", "last", **bearer("one"))
        assert refused.status == 429 and "Retry-After: " in refused.head
        assert json.loads(refused.body)["ran"] == "no"
        assert (await harness.request("unsafe", "other", **bearer("two"))).status == 200

    run_with_customers(customers(Quota(1.0, 1.0)), [server], scenario)


def test_requests_do_not_run_if_no_quota_holder_is_reachable() -> None:
    """All keepers are unreachable, so the state of the quota is unknown.

    The caller must be told to retry later; customers without a quota are still served.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        harness.keepers.unreachable = set(harness.keepers.cores)
        reply = await harness.request("unsafe", "a", **bearer("one"))
        assert reply.status == 503 and "Retry-After" in reply.head
        assert not server.exchanges
        configure(harness, customers(), version=2)
        assert (await harness.request("unsafe", "b", **bearer("one"))).status == 200

    run_with_customers(customers(Quota(100.0, 100.0)), [server], scenario)


def test_requests_are_refused_at_once_while_keepers_are_unreachable() -> None:
    """All keepers are unreachable, and a failed turn has revealed that.

    A request that waited for a permit would lose half of its time, which its caller
    needs for a retry on another relay.
    """
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        harness.keepers.unreachable = set(harness.keepers.cores)
        assert (
            await harness.request("turn", "t", **bearer("one", **TURN))
        ).status == 503
        started_at = asyncio.get_running_loop().time()
        reply = await harness.request("unsafe", "a", **bearer("one"))
        assert reply.status == 503 and "Retry-After" in reply.head
        assert asyncio.get_running_loop().time() - started_at < 0.2
        assert not server.exchanges

    run_with_customers(customers(Quota(100.0, 100.0)), [server], scenario)


def test_one_unreachable_quota_holder_is_tolerated() -> None:
    """One of three keepers is unreachable; the other holders' quotas suffice."""
    server = ScriptedServer("s1", answer_ok)

    async def scenario(harness: RelayHarness) -> None:
        harness.keepers.unreachable = {"k0:1"}
        for number in range(12):
            reply = await harness.request("unsafe", f"q{number}", **bearer("one"))
            assert reply.status == 200

    run_with_customers(customers(Quota(100.0, 100.0)), [server], scenario)


def test_log_lines_contain_no_key(caplog: pytest.LogCaptureFixture) -> None:
    """Log readers must not be able to impersonate a customer."""
    caplog.set_level(logging.DEBUG)

    async def scenario(harness: RelayHarness) -> None:
        await harness.request("unsafe", "a", **bearer("one"))
        await harness.request("unsafe", "b", Authorization="Bearer secret-unknown")
        await harness.request("nowhere", "c", **bearer("one"))

    run_with_customers(customers(), [ScriptedServer("s1", answer_ok)], scenario)
    lines = [str(vars(record)) for record in caplog.records]
    assert any("no customer holds the key" in line for line in lines)
    assert not any("key-of" in line or "secret" in line for line in lines)


def test_holders_that_are_gone_are_forgotten() -> None:
    """Keepers are replaced again and again, each time under another address."""

    async def scenario(harness: RelayHarness) -> None:
        quota = harness.handler._quota
        for number in range(100):
            member = Member(f"k{number}", f"disk{number}", f"k{number}:1", "d")
            quota._suspect(member, number * SUSPECT_DURATION_S)
        assert len(quota._suspects) <= 2

    run_scenario([], scenario)
