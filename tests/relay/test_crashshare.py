"""Crashes under a request whose attempts reach several relays."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest

from tests.relay.crash_network import CrashNetwork
from tests.relay.harness import RelayHarness, ScriptedServer, run_harness
from tests.relay.test_crashes import (
    FATAL_BODY,
    MAX_CRASHES,
    count_crashed,
    make_servers,
)
from wisteriastair.core.crashwire import CrashReport, CrashUpdate, RequestCrashes
from wisteriastair.core.ledgerwire import encode_ledger
from wisteriastair.keeper.crashes import CrashKeeper
from wisteriastair.relay.crashshare import CrashShare
from wisteriastair.scheduling.crashes import CrashLimits, CrashTable

KEY = bytes(range(16))
Scenario = Callable[[CrashNetwork, list[RelayHarness]], Awaitable[None]]


@asynccontextmanager
async def run_relays(
    network: CrashNetwork, servers: list[ScriptedServer], count: int
) -> AsyncIterator[list[RelayHarness]]:
    async with anyio.create_task_group() as group:
        group.start_soon(network.run)
        async with AsyncExitStack() as stack:
            yield [
                await stack.enter_async_context(
                    run_harness(*servers, share=network.add_relay(f"r{number}"))
                )
                for number in range(count)
            ]
        group.cancel_scope.cancel()


def run_world(servers: list[ScriptedServer], scenario: Scenario, relays: int) -> None:
    async def main() -> None:
        network = CrashNetwork()
        async with run_relays(network, servers, relays) as harnesses:
            with anyio.fail_after(10):
                await scenario(network, harnesses)

    anyio.run(main)


async def send(relay: RelayHarness, attempt: str, name: str = "unsafe") -> int:
    caller = await relay.open()
    await caller.send(name, attempt, FATAL_BODY)
    return (await caller.read()).status


@pytest.mark.parametrize("name", ["unsafe", "long", "talk"])
def test_attempts_at_other_relays_add_up(name: str) -> None:
    """Each attempt reaches another relay right after the answer to the last one."""
    servers = make_servers(24)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        for number, relay in enumerate(relays):
            status = await send(relay, f"attempt-{number}", name)
        assert count_crashed(servers) <= MAX_CRASHES
        assert status == 503

    run_world(servers, scenario, 6)


def test_crashes_are_shared_while_one_keeper_is_away() -> None:
    """Any of the others suffices, and it may be another one each time."""
    servers = make_servers(24)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        for number, relay in enumerate(relays):
            network.unreachable = {f"k{number % 3}:1"}
            await send(relay, f"attempt-{number}")
            await anyio.sleep(0.3)
        assert count_crashed(servers) <= MAX_CRASHES

    run_world(servers, scenario, 6)


def test_restarted_keepers_learn_from_relays() -> None:
    """All keepers lose their memory between two attempts."""
    servers = make_servers(24)

    async def scenario(network: CrashNetwork, relays: list[RelayHarness]) -> None:
        for number, relay in enumerate(relays):
            await send(relay, f"attempt-{number}")
            for address in network.addresses():
                network.restart_keeper(address)
            # Until each relay has renewed its subscription.
            await anyio.sleep(1.2)
        assert count_crashed(servers) <= MAX_CRASHES

    run_world(servers, scenario, 6)


def test_restarted_relay_learns_from_keepers() -> None:
    """A relay that has just started knows no crash of its own."""

    async def main() -> None:
        network = CrashNetwork()
        share = network.add_relay("r0")
        share.table.add(KEY, [1, 2, 3], anyio.current_time() + 60.0)
        share.report_crash(KEY)
        await anyio.sleep(0.02)
        restarted = network.add_relay("r0")
        await anyio.sleep(0.02)
        assert restarted.table.is_quarantined(KEY)

    anyio.run(main)


def test_relay_subscribes_as_soon_as_it_knows_keepers() -> None:
    """A relay that starts learns the members of the ledger after its first sweep.

    If it waited for the next renewal of its subscription, it would serve callers for a
    second without knowing of quarantines.
    """

    async def main() -> None:
        network = CrashNetwork()
        share = network.add_relay("r0")
        share.table.add(KEY, [1, 2, 3], anyio.current_time() + 60.0)
        share.report_crash(KEY)
        await anyio.sleep(0.02)
        keepers = network.addresses()
        network.addresses = list  # type: ignore[method-assign]
        started = network.add_relay("r1")
        network.addresses = lambda: keepers  # type: ignore[method-assign]
        started.sweep(anyio.current_time())
        await anyio.sleep(0.02)
        assert started.table.is_quarantined(KEY)

    anyio.run(main)


def test_relay_asks_for_what_it_missed() -> None:
    """Updates are lost while a relay is cut off from the keepers."""

    async def main() -> None:
        network = CrashNetwork()
        shares = [network.add_relay(f"r{number}") for number in range(2)]
        async with anyio.create_task_group() as group:
            group.start_soon(network.run)
            await anyio.sleep(0.02)
            network.unreachable = {"r1"}
            shares[0].table.add(KEY, [1, 2, 3], anyio.current_time() + 60.0)
            shares[0].report_crash(KEY)
            await anyio.sleep(0.02)
            assert not shares[1].table.is_quarantined(KEY)
            network.unreachable = set()
            await anyio.sleep(1.3)
            assert shares[1].table.is_quarantined(KEY)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_answered_request_is_forgotten_everywhere() -> None:
    """Two servers ended under a request by chance; the third one answers it."""

    async def main() -> None:
        network = CrashNetwork()
        shares = [network.add_relay(f"r{number}") for number in range(3)]
        for number in (0, 1):
            shares[number].table.add(KEY, [number], anyio.current_time() + 60.0)
            shares[number].report_crash(KEY)
        await anyio.sleep(0.02)
        assert shares[2].table.count(KEY) == 2
        shares[2].table.forget(KEY)
        shares[2].report_answer(KEY)
        await anyio.sleep(0.02)
        tables = [share.table for share in shares]
        tables += [keeper.table for keeper in network.keepers.values()]
        assert [table.count(KEY) for table in tables] == [0] * len(tables)

    anyio.run(main)


def test_relays_without_keepers_count_for_themselves() -> None:
    """The members of the ledger are not known yet, so a crash is told to nobody."""

    async def main() -> None:
        share = CrashShare(CrashTable(), list)
        share.table.add(KEY, [1, 2, 3], anyio.current_time() + 60.0)
        with anyio.fail_after(0.1):
            await share.report_crash(KEY).wait()
        assert share.table.is_quarantined(KEY)

    anyio.run(main)


@pytest.mark.parametrize("max_crashes", [1, 2, 5])
def test_bound_that_operators_set_is_kept(max_crashes: int) -> None:
    """Relays find one crash each, in turn."""

    async def main() -> None:
        limits = CrashLimits(max_crashes)
        network = CrashNetwork(limits=limits)
        shares = [network.add_relay(f"r{number}") for number in range(max_crashes + 1)]
        for number in range(max_crashes):
            assert not any(share.table.is_quarantined(KEY) for share in shares)
            shares[number].table.add(KEY, [number], anyio.current_time() + 60.0)
            shares[number].report_crash(KEY)
            await anyio.sleep(0.02)
        assert all(share.table.is_quarantined(KEY) for share in shares)

    anyio.run(main)


def test_requests_of_a_lost_failure_domain_are_not_sent_to_all_relays() -> None:
    """A domain of 115 servers ends with all its requests: each is counted once.

    What four keepers tell a relay stays below its traffic of a second, 9 kB.
    """
    keeper = CrashKeeper(CrashTable())
    crashes = [
        RequestCrashes(n.to_bytes(16, "big"), [n % 115], 60_000, "POST h/" + 31 * "x")
        for n in range(1400)
    ]
    received: Counter[str] = Counter()
    for start in range(0, len(crashes), 12):
        report = CrashReport(start + 1, crashes[start : start + 12])
        for to, update in keeper.receive(f"r{start}", report, 0.0):
            if update.op == 0:
                received[to] += len(encode_ledger(update))
    assert 4 * max(received.values()) < 9_000


@pytest.mark.parametrize(
    "entry",
    [
        RequestCrashes(b"short", [1, 2, 3], 60_000),
        RequestCrashes(KEY, [], 60_000),
        RequestCrashes(KEY, [1] * 1000, 60_000),
        RequestCrashes(KEY, [1, 2, 3], -1),
    ],
)
def test_damaged_entries_quarantine_nothing(entry: RequestCrashes) -> None:
    """A wrong key, no servers, one server many times, a time that is over."""
    keeper = CrashKeeper(CrashTable())
    keeper.receive("r0", CrashReport(1, [entry]), 0.0)
    assert keeper.table.quarantined_count == 0

    async def main() -> None:
        share = CrashShare(CrashTable(), lambda: ["k0:1"])
        share.receive("k0:1#0", CrashUpdate(0, 1, [entry]), 0.0)
        assert share.table.quarantined_count == 0

    anyio.run(main)
