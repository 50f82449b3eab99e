"""The relay's side of the ledger, against the shipped cores of keepers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio

from tests.relay.keepers import Keepers
from wisteriastair.core.ledger import Turn
from wisteriastair.core.ledgerwire import LedgerMessage
from wisteriastair.core.membership import View
from wisteriastair.peers.transport import Transport
from wisteriastair.relay.ledger import (
    LedgerClient,
    NoSuchTurn,
    Reservation,
    Spent,
    Unavailable,
)
from wisteriastair.relay.questions import Granted

PATIENCE_S = 0.5


def wish(
    program: str, attempt: str, tokens: int = 100, *, budget: int = 1_000, on: str = ""
) -> Reservation:
    return Reservation(program, attempt, tokens, budget, 60.0, on)


def run_scenario(keepers: Keepers, story: Callable[[], Awaitable[Any]]) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            transport = cast(Transport[LedgerMessage], keepers)
            keepers.client.start(transport, group)
            await story()
            group.cancel_scope.cancel()

    anyio.run(main)


def soon() -> float:
    return asyncio.get_running_loop().time() + PATIENCE_S


def test_a_new_program_continues_from_another_programs_turn() -> None:
    """After an outage callers begin anew, from turns that they had before.

    The new program lies in another slot, on other replicas.  The caller must not be
    told that there is no such turn, and once the old account has expired the chain
    must still be there for the next turn of the new one.
    """
    keepers = Keepers(6)

    async def story() -> None:
        client = keepers.client
        for number in range(8):
            old = wish(f"old{number}", f"a{number}")
            turn = Turn(f"t{number}", "", b"said\n")
            assert isinstance(await client.reserve(old, soon()), Granted)
            assert await client.settle(old, 10, (turn,), soon())
            new = wish(f"new{number}", f"b{number}", on=f"t{number}")
            granted = await client.reserve(new, soon())
            assert granted == Granted((turn,), old.program)
            more = Turn(f"u{number}", f"t{number}", b"more\n")
            assert await client.settle(new, 10, (turn, more), soon())
            for core in keepers.cores.values():
                core.ledger.accounts.pop(old.program, None)
            after = await client.reserve(
                wish(new.program, f"c{number}", on=more.id), soon()
            )
            assert after == Granted((turn, more), new.program)

    run_scenario(keepers, story)


def test_an_unknown_turn_is_only_denied_by_a_read_quorum() -> None:
    """Two of three replicas are cut off when a caller continues from a turn.

    The third does not have the turn.  Saying that there is none would end a program
    whose history is safe on the other two.
    """
    keepers = Keepers(3)

    async def story() -> None:
        client = keepers.client
        outcome = await client.reserve(wish("p", "a", on="t9"), soon())
        assert isinstance(outcome, NoSuchTurn)
        keepers.cut = {"k1:1", "k2:1"}
        outcome = await client.reserve(wish("p", "b", on="t9"), soon())
        assert isinstance(outcome, Unavailable)

    run_scenario(keepers, story)


def test_one_lost_replica_is_not_waited_for() -> None:
    keepers = Keepers(3)
    keepers.cut = {"k0:1"}

    async def story() -> None:
        client = keepers.client
        assert isinstance(await client.reserve(wish("p", "a"), soon()), Granted)
        assert client.resent == 0

    run_scenario(keepers, story)


def test_budget_holds_over_settlements() -> None:
    keepers = Keepers(3)

    async def story() -> None:
        client = keepers.client
        first = wish("p", "a", 600)
        assert isinstance(await client.reserve(first, soon()), Granted)
        assert isinstance(await client.reserve(wish("p", "b", 600), soon()), Spent)
        assert await client.settle(first, 100, (), soon())
        await asyncio.sleep(0.01)
        assert isinstance(await client.reserve(wish("p", "c", 600), soon()), Granted)

    run_scenario(keepers, story)


def test_a_newer_view_comes_with_the_refusal() -> None:
    """The list of members changed and the relay has not heard of it.

    The store may be away.  A replica refuses the old number and sends its view along.
    """
    keepers = Keepers(3)

    async def story() -> None:
        newer = View(2, keepers.view.members)
        for core in keepers.cores.values():
            core.adopt(newer, 0.0, 2)
        client = keepers.client
        assert isinstance(await client.reserve(wish("p", "a"), soon()), Granted)
        assert client.view.number == 2

    run_scenario(keepers, story)


def synced_on(keepers: Keepers, program: str, turn: str) -> int:
    """Count the keepers that hold a turn."""
    accounts = [core.ledger.accounts.get(program) for core in keepers.cores.values()]
    return sum(account is not None and turn in account.turns for account in accounts)


def test_a_kept_turn_leaves_the_relay_once() -> None:
    """Relays with slow links write turns of 17 kB.

    Sent to all five replicas, and again while they queued, the turns filled the link of
    15 Mbit/s and no request got its quorum any more.  The nearest keeper passes the
    turn on; it still counts only once three of them have synced it.
    """
    keepers = Keepers(5, max_failures=2)

    async def story() -> None:
        client = keepers.client
        first = wish("p", "a")
        assert isinstance(await client.reserve(first, soon()), Granted)
        keepers.sent_bytes = 0
        turn = Turn("t", "", b"x" * 17_000)
        assert await client.settle(first, 10, (turn,), soon())
        assert keepers.sent_bytes < 20_000
        assert synced_on(keepers, "p", "t") == 3

    run_scenario(keepers, story)


def test_a_turn_is_kept_although_any_replica_that_is_to_pass_it_on_is_lost() -> None:
    """A keeper dies with a turn that it should have passed on or was passed.

    The relay sends the turn itself, to all, as soon as the usual time is over; only the
    one that was lost is passed over for the next turns.
    """
    for lost in ("k0:1", "k1:1", "k2:1"):
        keepers = Keepers(3)
        keepers.cut = {lost}

        async def story(at: Keepers = keepers) -> None:
            loop = asyncio.get_running_loop()
            for number in range(4):
                reserved = wish("p", f"a{number}")
                assert isinstance(await at.client.reserve(reserved, soon()), Granted)
                began = loop.time()
                turn = Turn(f"t{number}", "", b"x")
                assert await at.client.settle(reserved, 10, (turn,), soon())
                assert synced_on(at, "p", f"t{number}") >= 2
                assert number == 0 or loop.time() - began < 0.05

        run_scenario(keepers, story)


def test_a_reservation_goes_to_one_replica_more_than_must_answer() -> None:
    """Hundreds of turns a second reserve, each on five replicas.

    Asked all, relays and keepers spend two fifths of their messages on answers that
    nobody waits for.  With one to spare the loss of one is still not noticed.
    """
    keepers = Keepers(5, max_failures=2)

    async def story() -> None:
        client = keepers.client
        loop = asyncio.get_running_loop()
        for lost in keepers.cores:
            keepers.cut = {lost}
            keepers.sent = 0
            began = loop.time()
            reserved = wish("p", f"without {lost}")
            assert isinstance(await client.reserve(reserved, soon()), Granted)
            assert loop.time() - began < 0.1
            assert keepers.sent == 4

    run_scenario(keepers, story)


def test_a_settlement_that_nobody_waits_for_takes_few_messages() -> None:
    keepers = Keepers(5, max_failures=2)

    async def story() -> None:
        client = keepers.client
        first = wish("p", "a")
        assert isinstance(await client.reserve(first, soon()), Granted)
        keepers.sent = 0
        client.settle_later(first, 10)
        await asyncio.sleep(0.05)
        assert keepers.sent == 3
        assert isinstance(await client.reserve(wish("p", "b", 990), soon()), Granted)

    run_scenario(keepers, story)


def test_a_lost_replica_delays_one_turn_and_not_the_next() -> None:
    keepers = Keepers(3)
    keepers.cut = {"k0:1"}

    async def story() -> None:
        client = keepers.client
        loop = asyncio.get_running_loop()
        times = []
        for number in range(3):
            settled = wish("p", f"a{number}")
            assert isinstance(await client.reserve(settled, soon()), Granted)
            began = loop.time()
            turn = Turn(f"t{number}", "", b"x")
            assert await client.settle(settled, 10, (turn,), soon())
            times.append(loop.time() - began)
        assert times[0] > 0.1
        assert max(times[1:]) < 0.05

    run_scenario(keepers, story)


def test_a_chain_that_the_nearest_replica_lacks_comes_from_another_at_once() -> None:
    keepers = Keepers(3)

    async def story() -> None:
        client = keepers.client
        keepers.cut = {"k0:1"}
        first = wish("p", "a")
        assert isinstance(await client.reserve(first, soon()), Granted)
        turn = Turn("t", "", b"said")
        assert await client.settle(first, 10, (turn,), soon())
        keepers.cut = set()
        began = asyncio.get_running_loop().time()
        granted = await client.reserve(wish("p", "b", on="t"), soon())
        assert granted == Granted((turn,), "p")
        assert asyncio.get_running_loop().time() - began < 0.05

    run_scenario(keepers, story)


def test_a_chain_whose_turns_lie_on_different_replicas_is_put_together() -> None:
    """Each turn of a chain is written to two of three replicas, not always the same.

    Then the one that has all of them is lost.  None of the others has the whole chain,
    but together they do: the caller must not be told that there is no such turn.
    """
    keepers = Keepers(3)
    last = ""

    async def story() -> None:
        nonlocal last
        client = keepers.client
        for number, away in enumerate(("k2:1", "k1:1", "k2:1")):
            keepers.cut = {away}
            reserved = wish("p", f"a{number}")
            assert isinstance(await client.reserve(reserved, soon()), Granted)
            turn = Turn(f"t{number}", last, f"{number}".encode())
            assert await client.settle(reserved, 1, (turn,), soon())
            last = turn.id
        for core in keepers.cores.values():
            assert core.me.disk != "disk1" or not core.ledger.find("t1").chain
        keepers.cut = {"k0:1"}
        granted = await client.reserve(wish("p", "b", on=last), soon())
        assert isinstance(granted, Granted)
        assert [turn.content for turn in granted.chain] == [b"0", b"1", b"2"]
        assert granted.chain_program == "p"

    run_scenario(keepers, story)


def test_after_a_cut_requests_are_sent_again_as_soon_as_before() -> None:
    """Settlements wait out a cut; then it heals, but single messages are still lost.

    If the time that those settlements took counted as usual, the next reservation would
    not be sent again in time, and turns would go on being refused after the cut.
    """
    keepers = Keepers(3)

    async def story() -> None:
        client = keepers.client
        for number in range(5):
            early = wish(f"p{number}", "a")
            assert isinstance(await client.reserve(early, soon()), Granted)
            client.settle_later(early, 1)
        keepers.cut = {"k0:1", "k1:1", "k2:1"}
        for number in range(5):
            client.settle_later(wish(f"p{number}", "b"), 1)
        await asyncio.sleep(2.0)
        keepers.cut = set()
        await asyncio.sleep(1.5)
        keepers.cut = {"k0:1", "k1:1"}
        asyncio.get_running_loop().call_later(0.1, keepers.cut.clear)
        assert isinstance(await client.reserve(wish("q", "c"), soon()), Granted)

    run_scenario(keepers, story)


def test_settlements_that_nobody_waits_for_are_counted_until_they_are_durable() -> None:
    """A relay that stops must not end before them: their tokens would stay taken."""
    keepers = Keepers(3)

    async def story() -> None:
        client = keepers.client
        assert isinstance(await client.reserve(wish("p", "a"), soon()), Granted)
        keepers.cut = set(keepers.cores)
        client.settle_later(wish("p", "a"), 10)
        await anyio.sleep(0.2)
        assert client.unsettled == 1
        keepers.cut = set()
        while client.unsettled:
            await anyio.sleep(0.05)

    run_scenario(keepers, story)


def test_before_the_members_are_known_turns_are_told_to_come_back() -> None:
    """Callers of a relay that has just started lose their channels.

    It knows routes and servers already, but not who keeps the ledger.  A turn that came
    then ended without an answer, and its settlement, for which there was nobody to ask
    either, ended the process and with it the requests of all others.
    """
    keepers = Keepers(3)
    keepers.client = LedgerClient("domain0", 1)

    async def story() -> None:
        client = keepers.client
        outcome = await client.reserve(wish("p", "a"), soon())
        assert isinstance(outcome, Unavailable)
        client.adopt(keepers.view)
        while client.unsettled:
            await anyio.sleep(0.05)
        kept = [core.ledger.accounts.get("p") for core in keepers.cores.values()]
        assert sum(account is not None for account in kept) >= 2

    run_scenario(keepers, story)
