"""The relay's ledger client with the production cores of keepers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio

from tests.relay.keepers import Keepers
from wisteriastair.core.ledger import Turn
from wisteriastair.core.ledgerwire import LedgerMessage, Room
from wisteriastair.core.membership import View
from wisteriastair.peers.transport import Transport
from wisteriastair.relay.ledger import (
    BudgetExceeded,
    LedgerClient,
    QuorumUnavailable,
    Reservation,
    TurnNotFound,
)
from wisteriastair.relay.questions import Granted

REQUEST_TIMEOUT_S = 0.5


def reservation(
    program: str,
    attempt: str,
    tokens: int = 100,
    *,
    budget: int = 1_000,
    previous: str = "",
) -> Reservation:
    return Reservation(program, attempt, tokens, budget, 60.0, previous)


def run_scenario(keepers: Keepers, scenario: Callable[[], Awaitable[Any]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            transport = cast(Transport[LedgerMessage], keepers)
            keepers.client.start(transport, group)
            await scenario()
            group.cancel_scope.cancel()

    anyio.run(main)


def request_deadline() -> float:
    return asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S


def test_new_program_continues_from_another_programs_turn() -> None:
    """After an outage, callers start new programs that continue from earlier turns.

    The new program is in another slot, on other replicas.  The earlier turn must be
    found, and the chain must remain available to the new program after the account of
    the old one has expired.
    """
    keepers = Keepers(6)

    async def scenario() -> None:
        client = keepers.client
        for number in range(8):
            old = reservation(f"old{number}", f"a{number}")
            turn = Turn(f"t{number}", "", b"said\n")
            assert isinstance(await client.reserve(old, request_deadline()), Granted)
            assert await client.settle(old, 10, (turn,), request_deadline())
            new = reservation(f"new{number}", f"b{number}", previous=f"t{number}")
            granted = await client.reserve(new, request_deadline())
            assert granted == Granted((turn,), old.program)
            more = Turn(f"u{number}", f"t{number}", b"more\n")
            assert await client.settle(new, 10, (turn, more), request_deadline())
            for core in keepers.cores.values():
                core.ledger.accounts.pop(old.program, None)
            after = await client.reserve(
                reservation(new.program, f"c{number}", previous=more.id),
                request_deadline(),
            )
            assert after == Granted((turn, more), new.program)

    run_scenario(keepers, scenario)


def test_turn_not_found_requires_a_read_quorum() -> None:
    """Two of three replicas are unreachable when a caller continues from a turn.

    The third does not have the turn.  "Turn not found" would end a program whose
    history may be stored on the other two.
    """
    keepers = Keepers(3)

    async def scenario() -> None:
        client = keepers.client
        outcome = await client.reserve(
            reservation("p", "a", previous="t9"), request_deadline()
        )
        assert isinstance(outcome, TurnNotFound)
        keepers.unreachable = {"k1:1", "k2:1"}
        outcome = await client.reserve(
            reservation("p", "b", previous="t9"), request_deadline()
        )
        assert isinstance(outcome, QuorumUnavailable)

    run_scenario(keepers, scenario)


def test_unreachable_replica_does_not_delay_a_reservation() -> None:
    keepers = Keepers(3)
    keepers.unreachable = {"k0:1"}

    async def scenario() -> None:
        client = keepers.client
        assert isinstance(
            await client.reserve(reservation("p", "a"), request_deadline()), Granted
        )
        assert client.resend_count == 0

    run_scenario(keepers, scenario)


def test_settlement_releases_unused_tokens() -> None:
    keepers = Keepers(3)

    async def scenario() -> None:
        client = keepers.client
        first = reservation("p", "a", 600)
        assert isinstance(await client.reserve(first, request_deadline()), Granted)
        assert isinstance(
            await client.reserve(reservation("p", "b", 600), request_deadline()),
            BudgetExceeded,
        )
        assert await client.settle(first, 100, (), request_deadline())
        await asyncio.sleep(0.01)
        assert isinstance(
            await client.reserve(reservation("p", "c", 600), request_deadline()),
            Granted,
        )

    run_scenario(keepers, scenario)


def test_newer_view_is_adopted_from_a_reply() -> None:
    """The list of members has changed and the relay has the old view.

    The store may be unreachable.  A replica rejects the request and sends its view.
    """
    keepers = Keepers(3)

    async def scenario() -> None:
        newer = View(2, keepers.view.members)
        for core in keepers.cores.values():
            core.adopt(newer, 0.0, 2)
        client = keepers.client
        assert isinstance(
            await client.reserve(reservation("p", "a"), request_deadline()), Granted
        )
        assert client.view.number == 2

    run_scenario(keepers, scenario)


def count_synced(keepers: Keepers, program: str, turn: str) -> int:
    """Count the keepers that store a turn."""
    accounts = [core.ledger.accounts.get(program) for core in keepers.cores.values()]
    return sum(account is not None and turn in account.turns for account in accounts)


def test_turn_is_sent_to_one_replica_and_forwarded() -> None:
    """Relays with slow links write turns of 17 kB.

    Sent to all five replicas, and resent while they queue, the turns fill a link of
    15 Mbit/s, and no request reaches a quorum.  The nearest keeper must forward the
    turn, which is still complete only when three replicas have synced it.
    """
    keepers = Keepers(5, max_failures=2)

    async def scenario() -> None:
        client = keepers.client
        first = reservation("p", "a")
        assert isinstance(await client.reserve(first, request_deadline()), Granted)
        keepers.sent_bytes = 0
        turn = Turn("t", "", b"x" * 17_000)
        assert await client.settle(first, 10, (turn,), request_deadline())
        assert keepers.sent_bytes < 20_000
        assert count_synced(keepers, "p", "t") == 3

    run_scenario(keepers, scenario)


def test_turn_is_durable_with_any_replica_unreachable() -> None:
    """A keeper that should forward or receive a turn is unreachable.

    The relay must resend the turn itself to all replicas after the resend interval, and
    avoid only the unreachable replica for the next turns.
    """
    for lost in ("k0:1", "k1:1", "k2:1"):
        keepers = Keepers(3)
        keepers.unreachable = {lost}

        async def scenario(case: Keepers = keepers) -> None:
            loop = asyncio.get_running_loop()
            for number in range(4):
                reserved = reservation("p", f"a{number}")
                assert isinstance(
                    await case.client.reserve(reserved, request_deadline()), Granted
                )
                started_at = loop.time()
                turn = Turn(f"t{number}", "", b"x")
                assert await case.client.settle(
                    reserved, 10, (turn,), request_deadline()
                )
                assert count_synced(case, "p", f"t{number}") >= 2
                assert number == 0 or loop.time() - started_at < 0.05

        run_scenario(keepers, scenario)


def test_reservation_is_sent_to_one_extra_replica() -> None:
    """Hundreds of turns a second reserve tokens, each on five replicas.

    With requests to all five, two fifths of the messages would be for replies that are
    not needed.  One extra replica is enough to hide the failure of one.
    """
    keepers = Keepers(5, max_failures=2)

    async def scenario() -> None:
        client = keepers.client
        loop = asyncio.get_running_loop()
        for lost in keepers.cores:
            keepers.unreachable = {lost}
            keepers.sent_count = 0
            started_at = loop.time()
            reserved = reservation("p", f"without {lost}")
            assert isinstance(
                await client.reserve(reserved, request_deadline()), Granted
            )
            assert loop.time() - started_at < 0.1
            assert keepers.sent_count == 4

    run_scenario(keepers, scenario)


def test_background_settlement_takes_few_messages() -> None:
    keepers = Keepers(5, max_failures=2)

    async def scenario() -> None:
        client = keepers.client
        first = reservation("p", "a")
        assert isinstance(await client.reserve(first, request_deadline()), Granted)
        keepers.sent_count = 0
        client.settle_in_background(first, 10)
        await asyncio.sleep(0.05)
        assert keepers.sent_count == 3
        assert isinstance(
            await client.reserve(reservation("p", "b", 990), request_deadline()),
            Granted,
        )

    run_scenario(keepers, scenario)


def test_unreachable_replica_delays_only_one_turn() -> None:
    keepers = Keepers(3)
    keepers.unreachable = {"k0:1"}

    async def scenario() -> None:
        client = keepers.client
        loop = asyncio.get_running_loop()
        times = []
        for number in range(3):
            settled = reservation("p", f"a{number}")
            assert isinstance(
                await client.reserve(settled, request_deadline()), Granted
            )
            started_at = loop.time()
            turn = Turn(f"t{number}", "", b"x")
            assert await client.settle(settled, 10, (turn,), request_deadline())
            times.append(loop.time() - started_at)
        assert times[0] > 0.1
        assert max(times[1:]) < 0.05

    run_scenario(keepers, scenario)


def test_chain_missing_on_nearest_replica_is_fetched_at_once() -> None:
    keepers = Keepers(3)

    async def scenario() -> None:
        client = keepers.client
        keepers.unreachable = {"k0:1"}
        first = reservation("p", "a")
        assert isinstance(await client.reserve(first, request_deadline()), Granted)
        turn = Turn("t", "", b"said")
        assert await client.settle(first, 10, (turn,), request_deadline())
        keepers.unreachable = set()
        started_at = asyncio.get_running_loop().time()
        granted = await client.reserve(
            reservation("p", "b", previous="t"), request_deadline()
        )
        assert granted == Granted((turn,), "p")
        assert asyncio.get_running_loop().time() - started_at < 0.05

    run_scenario(keepers, scenario)


def test_chain_is_assembled_from_several_replicas() -> None:
    """Each turn of a chain is written to two of three replicas, not always the same.

    Then the replica that has all turns becomes unreachable.  Neither of the others has
    the whole chain, but together they do: the chain must be found.
    """
    keepers = Keepers(3)
    last = ""

    async def scenario() -> None:
        nonlocal last
        client = keepers.client
        for number, unreachable in enumerate(("k2:1", "k1:1", "k2:1")):
            keepers.unreachable = {unreachable}
            reserved = reservation("p", f"a{number}")
            assert isinstance(
                await client.reserve(reserved, request_deadline()), Granted
            )
            turn = Turn(f"t{number}", last, f"{number}".encode())
            assert await client.settle(reserved, 1, (turn,), request_deadline())
            last = turn.id
        for core in keepers.cores.values():
            assert core.me.disk != "disk1" or not core.ledger.find("t1").chain
        keepers.unreachable = {"k0:1"}
        granted = await client.reserve(
            reservation("p", "b", previous=last), request_deadline()
        )
        assert isinstance(granted, Granted)
        assert [turn.content for turn in granted.chain] == [b"0", b"1", b"2"]
        assert granted.chain_program == "p"

    run_scenario(keepers, scenario)


def test_resend_interval_is_not_increased_by_a_partition() -> None:
    """Settlements wait through a network partition; afterwards messages still get lost.

    If the latency of those settlements were sampled, the next reservation would not be
    resent in time, and turns would still be refused after the partition has ended.
    """
    keepers = Keepers(3)

    async def scenario() -> None:
        client = keepers.client
        for number in range(5):
            early = reservation(f"p{number}", "a")
            assert isinstance(await client.reserve(early, request_deadline()), Granted)
            client.settle_in_background(early, 1)
        keepers.unreachable = {"k0:1", "k1:1", "k2:1"}
        for number in range(5):
            client.settle_in_background(reservation(f"p{number}", "b"), 1)
        await asyncio.sleep(2.0)
        keepers.unreachable = set()
        await asyncio.sleep(1.5)
        keepers.unreachable = {"k0:1", "k1:1"}
        asyncio.get_running_loop().call_later(0.1, keepers.unreachable.clear)
        assert isinstance(
            await client.reserve(reservation("q", "c"), request_deadline()), Granted
        )

    run_scenario(keepers, scenario)


def test_background_settlements_are_counted_until_durable() -> None:
    """A stopping relay must wait for them: their tokens would stay reserved."""
    keepers = Keepers(3)

    async def scenario() -> None:
        client = keepers.client
        assert isinstance(
            await client.reserve(reservation("p", "a"), request_deadline()), Granted
        )
        keepers.unreachable = set(keepers.cores)
        client.settle_in_background(reservation("p", "a"), 10)
        await anyio.sleep(0.2)
        assert client.pending_settlements == 1
        keepers.unreachable = set()
        while client.pending_settlements:
            await anyio.sleep(0.05)

    run_scenario(keepers, scenario)


def test_turns_before_the_first_view_can_be_retried() -> None:
    """A relay has just started and does not know the members of the ledger yet.

    An exception for the missing members would end the turn without a response.  Its
    background settlement would also fail and end the process with all other requests.
    """
    keepers = Keepers(3)
    keepers.client = LedgerClient("domain0", 1)

    async def scenario() -> None:
        client = keepers.client
        outcome = await client.reserve(reservation("p", "a"), request_deadline())
        assert isinstance(outcome, QuorumUnavailable)
        client.adopt_view(keepers.view)
        while client.pending_settlements:
            await anyio.sleep(0.05)
        accounts = [core.ledger.accounts.get("p") for core in keepers.cores.values()]
        assert sum(account is not None for account in accounts) >= 2

    run_scenario(keepers, scenario)


def test_turn_without_room_is_refused_at_once() -> None:
    """Two of three keepers are full, so that no quorum can store the turn."""
    keepers = Keepers(3)

    async def scenario() -> None:
        for address in ("k0:1", "k1:1"):
            keepers.cores[address].room.max_bytes = 1_000
        asked = reservation("p", "a")._replace(room=Room(2_000, 3_000, True))
        started_at = anyio.current_time()
        outcome = await keepers.client.reserve(asked, request_deadline())
        assert isinstance(outcome, QuorumUnavailable) and outcome.is_full
        assert anyio.current_time() - started_at < 0.1
        assert keepers.client.is_reachable
        # The tokens that one keeper has reserved are released.
        small = reservation("p", "b", budget=100)
        await anyio.sleep(0.1)
        assert isinstance(
            await keepers.client.reserve(small, request_deadline()), Granted
        )

    run_scenario(keepers, scenario)


def test_turn_is_stored_while_one_keeper_is_full() -> None:
    keepers = Keepers(3)

    async def scenario() -> None:
        for address in keepers.cores:
            limits = {
                other: core.room.max_bytes for other, core in keepers.cores.items()
            }
            keepers.cores[address].room.max_bytes = 1_000
            asked = reservation(address, "a")._replace(room=Room(2_000, 3_000, True))
            outcome = await keepers.client.reserve(asked, request_deadline())
            assert isinstance(outcome, Granted)
            turn = Turn(f"turn-{address}", "", b"x" * 2_000)
            assert await keepers.client.settle(asked, 10, (turn,), request_deadline())
            keepers.cores[address].room.max_bytes = limits[address]

    run_scenario(keepers, scenario)
