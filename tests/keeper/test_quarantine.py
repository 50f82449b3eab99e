"""Records of quarantined requests that keepers write to the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from tests.platform.standin_store import StoreStandin, standin_store
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.keeper.crashes import CrashKeeper
from wisteriastair.keeper.quarantine import TAKEOVER_S, QuarantineRecords
from wisteriastair.platform.store import Store
from wisteriastair.scheduling.crashes import CrashTable

Scenario = Callable[[CrashTable, QuarantineRecords, StoreStandin], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def main() -> None:
        async with standin_store() as standin:
            store = Store(standin.address, make_store_timeouts(3.0))
            crashes = CrashKeeper(CrashTable())
            await scenario(crashes.table, QuarantineRecords(crashes, store), standin)
            await store.close()

    anyio.run(main)


def quarantine(table: CrashTable, number: int) -> bytes:
    key = number.to_bytes(16, "big")
    table.add(key, [1, 2, 3], 1000.0)
    return key


def test_many_quarantines_need_few_calls() -> None:
    """Sixty requests are quarantined at once, and nothing changes afterwards."""

    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        for number in range(60):
            quarantine(table, number)
        for second in range(10):
            await records.sync(0, float(second))
        assert len(standin.items) == 60
        assert len(standin.calls) == 2

    run_scenario(scenario)


def test_second_watcher_writes_only_if_the_first_one_does_not() -> None:
    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        quarantine(table, 1)
        await records.sync(1, 0.0)
        assert standin.items == {}
        await records.sync(1, TAKEOVER_S + 0.1)
        assert len(standin.items) == 1

    run_scenario(scenario)


def test_store_that_is_down_is_called_rarely() -> None:
    """A quarantine begins in an outage of ten minutes."""

    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        quarantine(table, 1)
        standin.down = True
        for second in range(600):
            await records.sync(0, float(second))
        assert len(standin.calls) <= 30
        standin.down = False
        await records.sync(0, 700.0)
        assert len(standin.items) == 1

    run_scenario(scenario)


def test_record_of_an_answered_request_is_removed() -> None:
    """An attempt that was under way is answered after the quarantine began."""

    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        key = quarantine(table, 1)
        await records.sync(0, 0.0)
        table.forget(key)
        await records.sync(0, 1.0)
        assert standin.items == {}

    run_scenario(scenario)


def test_removal_by_an_operator_ends_an_unknown_record() -> None:
    """The watch reports the record before the write is answered, then its removal."""

    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        key = quarantine(table, 1)
        async with anyio.create_task_group() as group:
            group.start_soon(records.sync, 0, 0.0)
            while not standin.items:
                await anyio.sleep(0)
            (name,) = standin.items
            records.apply(name, b'{"request":"r","servers":[1,2,3],"until":9e99}', 0.0)
        standin.remove(name)
        records.apply(name, None, 1.0)
        assert key not in table
        await records.sync(0, 2.0)
        assert standin.items == {}

    run_scenario(scenario)


def test_lost_response_of_the_store_is_repeated() -> None:
    """The write takes effect, and its response is lost."""

    async def scenario(
        table: CrashTable, records: QuarantineRecords, standin: StoreStandin
    ) -> None:
        quarantine(table, 1)
        standin.responses_to_drop = 1
        await records.sync(0, 0.0)
        await records.sync(0, 1.0)
        await records.sync(0, 2.0)
        assert len(standin.items) == 1
        assert len(standin.calls) == 2

    run_scenario(scenario)
