"""What callers with keys and quotas see of a relay, and what servers see of callers."""

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
from wisteriastair.core.routes import CallerLimits, RequestKind, RouteTable, Service

KEYS = {"one": "key-of-one", "two": "key-of-two"}
EVENTS = ("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n")
TURN = {"X_Program_Id": "p", "X_Token_Usage": "10,200", "X_Token_Budget": "1000"}


async def streams(exchange: Exchange) -> None:
    await exchange.stream(*EVENTS)


def bearer(customer: str, **more: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {KEYS[customer]}", **more}


def customers(quota: Quota | None = None, rank: int | None = None) -> Customers:
    return Customers(
        (Customer(name, rank, quota), [digest_key(key.encode())])
        for name, key in KEYS.items()
    )


def play_with(
    known: Customers,
    servers: list[ScriptedServer],
    story: Callable[[RelayHarness], Awaitable[None]],
) -> None:
    async def with_customers(at: RelayHarness) -> None:
        configure(at, known)
        await story(at)

    run_scenario(servers, with_customers)


def configure(at: RelayHarness, known: Customers, version: int = 1) -> None:
    routes = (*ROUTES, route("open", RequestKind.UNSAFE, is_public=True))
    services = {"svc": Service("svc", 100, None)}
    at.handler.table = RouteTable(version, routes, services, CallerLimits(), known)
    for core in at.keepers.cores.values():
        core.quota.configure(known.by_name, 0.0)
    at.keepers.exchange_heartbeats()


def test_a_server_is_told_the_customer_and_never_the_key() -> None:
    """A caller names another customer than its key's, and asks for another's rank.

    Servers take the customer's name as it comes, so only the relay may set it.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        reply = await at.ask("unsafe", "a", **bearer("one", X_Tenant="two"))
        assert reply.status == 200
        assert (await at.ask("open", "b", **bearer("one"))).status == 200
        assert (await at.ask("open", "c", X_Tenant="two")).status == 200
        assert [got.header("X-Tenant") for got in server.exchanges] == ["one", "", ""]
        assert not any("key-of" in got.head for got in server.exchanges)

    play_with(customers(), [server], story)


def test_a_turn_has_the_rank_of_its_customer() -> None:
    server = ScriptedServer("s1", streams)

    async def story(at: RelayHarness) -> None:
        assert (await at.ask("talk", "a", **bearer("one", **TURN))).status == 200
        assert server.exchanges[0].header("X-Request-Priority") == "0"

    play_with(customers(rank=0), [server], story)


@pytest.mark.parametrize(
    "value",
    ["", "Bearer", "Bearer unknown", "Basic key-of-one", "key-of-one", "Bearer " * 99],
)
def test_who_holds_no_key_is_refused_at_once(value: str) -> None:
    """No key, an unknown one or another scheme: nothing runs, whatever the relay knows.

    The answer does not ask the caller to come back, since that would not help.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        more = {"Authorization": value} if value else {}
        reply = await at.ask("unsafe", "a", **more)
        assert reply.status == 401
        assert json.loads(reply.body)["ran"] == "no"
        assert "Retry-After" not in reply.head
        assert not server.exchanges

    play_with(customers(), [server], story)


def test_a_key_that_may_be_new_is_not_denied_for_good() -> None:
    """The relay has lost the store; meanwhile a customer has got a key.

    Callers give up after a 401, so until the store is heard again they are told to come
    back.  What is known goes on being served.
    """

    async def story(at: RelayHarness) -> None:
        at.handler.certain = False
        reply = await at.ask("unsafe", "a", Authorization="Bearer new")
        assert reply.status == 503 and "Retry-After" in reply.head
        assert (await at.ask("unsafe", "b", **bearer("one"))).status == 200
        assert (await at.ask("unsafe", "c")).status == 401, "no key is never one"

    play_with(customers(), [ScriptedServer("s1", answer_ok)], story)


def test_a_revoked_key_ends_with_the_next_request_of_its_channel() -> None:
    """A caller keeps its channel open while its key is taken away."""

    async def story(at: RelayHarness) -> None:
        caller = await at.open()
        await caller.send("unsafe", "a", **bearer("one"))
        assert (await caller.read()).status == 200
        only_two = Customers([(Customer("two", None, None), [])])
        configure(at, only_two, version=2)
        await caller.send("unsafe", "b", **bearer("one"))
        assert (await caller.read()).status == 401

    play_with(customers(), [ScriptedServer("s1", answer_ok)], story)


def test_another_customers_turn_is_no_such_turn() -> None:
    """Two customers name their programs and turns alike; one names the other's turn.

    Found by its id alone, the server would get what the other customer had said.
    """
    server = ScriptedServer("s1", streams)

    async def story(at: RelayHarness) -> None:
        one, two = bearer("one", **TURN), bearer("two", **TURN)
        assert (await at.ask("turn", "t1", **one)).status == 200
        follow = {"X_Previous_Turn": "t1"}
        assert (await at.ask("turn", "t2", **two, **follow)).status == 404
        assert (await at.ask("turn", "t2", **one, **follow)).status == 200
        assert [got.body for got in server.exchanges] == [b"", b"one\ntwo\n"]

    play_with(customers(), [server], story)


def test_what_is_over_the_quota_is_refused_and_has_not_run() -> None:
    """A customer asks without a pause for far more than its quota.

    What is over gets a 429 with the time to come back and reaches no server; another
    customer does not notice.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        statuses = []
        for number in range(80):
            reply = await at.ask("unsafe", f"q{number}", **bearer("one"))
            statuses.append(reply.status)
        assert set(statuses) == {200, 429}
        assert len(server.exchanges) == statuses.count(200) < 60
        refused = await at.ask("unsafe", "last", **bearer("one"))
        assert refused.status == 429 and "Retry-After: " in refused.head
        assert json.loads(refused.body)["ran"] == "no"
        assert (await at.ask("unsafe", "other", **bearer("two"))).status == 200

    play_with(customers(Quota(1.0, 1.0)), [server], story)


def test_without_any_holder_nothing_of_a_quota_runs() -> None:
    """The relay is cut off from all keepers; nobody can say what the quota still holds.

    The caller is told to come back; customers without a quota are served on.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        at.keepers.cut = set(at.keepers.cores)
        reply = await at.ask("unsafe", "a", **bearer("one"))
        assert reply.status == 503 and "Retry-After" in reply.head
        assert not server.exchanges
        configure(at, customers(), version=2)
        assert (await at.ask("unsafe", "b", **bearer("one"))).status == 200

    play_with(customers(Quota(100.0, 100.0)), [server], story)


def test_a_relay_that_knows_that_it_is_cut_off_refuses_at_once() -> None:
    """The relay is cut off from all keepers and has found that out by its turns.

    A call that waited for a permit would lose half of its time, which its caller needs
    to be served by another relay.
    """
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        at.keepers.cut = set(at.keepers.cores)
        assert (await at.ask("turn", "t", **bearer("one", **TURN))).status == 503
        began = asyncio.get_running_loop().time()
        reply = await at.ask("unsafe", "a", **bearer("one"))
        assert reply.status == 503 and "Retry-After" in reply.head
        assert asyncio.get_running_loop().time() - began < 0.2
        assert not server.exchanges

    play_with(customers(Quota(100.0, 100.0)), [server], story)


def test_one_lost_holder_is_not_noticed() -> None:
    """One of three keepers is cut off: the others' parts of the quota are enough."""
    server = ScriptedServer("s1", answer_ok)

    async def story(at: RelayHarness) -> None:
        at.keepers.cut = {"k0:1"}
        for number in range(12):
            reply = await at.ask("unsafe", f"q{number}", **bearer("one"))
            assert reply.status == 200

    play_with(customers(Quota(100.0, 100.0)), [server], story)


def test_a_key_is_in_no_log_line(caplog: pytest.LogCaptureFixture) -> None:
    """Whoever reads the logs must not be able to ask as a customer."""
    caplog.set_level(logging.DEBUG)

    async def story(at: RelayHarness) -> None:
        await at.ask("unsafe", "a", **bearer("one"))
        await at.ask("unsafe", "b", Authorization="Bearer secret-unknown")
        await at.ask("nowhere", "c", **bearer("one"))

    play_with(customers(), [ScriptedServer("s1", answer_ok)], story)
    lines = [str(vars(record)) for record in caplog.records]
    assert any("no customer holds the key" in line for line in lines)
    assert not any("key-of" in line or "secret" in line for line in lines)
