"""The local copy of the store's keys under faults of the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from tests.platform.standin_store import StoreStandin, standin_store
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import (
    Store,
    StoreError,
    StoreItem,
    SwapConflict,
    Swapped,
)

CONTACT_S = 3.0


class ChangeRecorder:
    """Records the changes that a mirror reports."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.changes: list[StoreItem] = []
        self.full_reads = 0

    def on_change(self, item: StoreItem) -> None:
        self.changes.append(item)
        if item.value is None:
            self.values.pop(item.key, None)
        else:
            self.values[item.key] = item.value

    def on_full_read(self, existing_keys: set[str]) -> None:
        self.full_reads += 1


def run_scenario(
    scenario: Callable[[StoreStandin, ChangeRecorder, Store], Awaitable[None]],
) -> None:
    async def main() -> None:
        async with standin_store() as standin:
            for number in range(5):
                standin.put(f"servers/{number}", b"first")
            store = Store(standin.address, make_store_timeouts(CONTACT_S))
            recorder = ChangeRecorder()
            mirror = Mirror(store, recorder.on_change, recorder.on_full_read)
            async with anyio.create_task_group() as group:
                group.start_soon(mirror.run)
                with anyio.fail_after(15):
                    await wait_until(lambda: recorder.full_reads > 0)
                    await scenario(standin, recorder, store)
                group.cancel_scope.cancel()
            await store.close()

    anyio.run(main)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.01)


def test_a_value_that_is_not_base64_does_not_affect_others() -> None:
    """The store returns an invalid value of another writer unchanged."""

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        standin.put_text("servers/odd", "*no base64*")
        standin.put("servers/9", b"good")
        await wait_until(lambda: "servers/9" in recorder.values)
        assert recorder.values["servers/odd"] == b"*no base64*"
        snapshot = await store.list_all("")
        assert not isinstance(snapshot, StoreError)
        assert len(snapshot.items) == 7

    run_scenario(scenario)


def test_all_pages_and_later_changes_arrive() -> None:
    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        assert len(recorder.values) == 5
        standin.put("op/config", b'{"version":2}')
        standin.remove("servers/3")
        await wait_until(lambda: "servers/3" not in recorder.values)
        assert recorder.values["op/config"] == b'{"version":2}'

    run_scenario(scenario)


def test_expired_history_leads_to_a_full_read() -> None:
    """The store drops its history while keys change, and aborts the watch.

    A mirror that only continued to watch would miss the removal of a server.
    """

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        standin.remove("servers/1")
        standin.put("servers/9", b"late")
        standin.forget_history()
        await wait_until(
            lambda: recorder.full_reads >= 2 or "servers/9" in recorder.values
        )
        await wait_until(lambda: "servers/1" not in recorder.values)
        assert recorder.values["servers/9"] == b"late"

    run_scenario(scenario)


def test_an_outage_does_not_change_the_copy() -> None:
    """The store is down for a while; the last known values stay in use."""

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        standin.down = True
        for caller_conn in list(standin.caller_conns):
            caller_conn.abort()
        await anyio.sleep(0.5)
        assert len(recorder.values) == 5
        assert all(item.value is not None for item in recorder.changes)
        standin.put("op/config", b'{"version":3}')
        standin.down = False
        await wait_until(lambda: recorder.values.get("op/config") == b'{"version":3}')

    run_scenario(scenario)


def test_a_lost_watch_response_delays_changes_by_at_most_three_seconds() -> None:
    """The response to a watch is lost, but the connection stays open.

    The relay continues with an old configuration: keep-alive probes succeed, so only
    the short timeout of the watch reveals the loss.
    """

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        standin.watches_to_mute = 1
        standin.put("op/config", b'{"version":4}')
        started_at = anyio.current_time()
        await wait_until(lambda: recorder.values.get("op/config") == b'{"version":4}')
        assert anyio.current_time() - started_at < 3.2

    run_scenario(scenario)


def test_a_revision_without_its_changes_is_not_accepted() -> None:
    """Guards against a change that a watch skips and that is never requested again."""

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        standin.withholds_changes = True
        standin.put("op/config", b'{"version":5}')
        await anyio.sleep(0.5)
        standin.withholds_changes = False
        standin.put("servers/1", b"later")
        await wait_until(lambda: recorder.values["servers/1"] == b"later")
        assert recorder.values["op/config"] == b'{"version":5}'

    run_scenario(scenario)


def test_a_swap_has_three_outcomes() -> None:
    """A write takes effect and its response is lost.

    The writer must not treat it as rejected.  Its outcome is unknown until the value is
    read again.
    """

    async def scenario(
        standin: StoreStandin, recorder: ChangeRecorder, store: Store
    ) -> None:
        assert isinstance(await store.swap("a", 0, b"1"), Swapped)
        assert isinstance(await store.swap("a", 0, b"2"), SwapConflict)
        standin.responses_to_drop = 1
        revision = standin.items["a"]["rev"]
        outcome = await store.swap("a", revision, b"3")
        assert isinstance(outcome, StoreError) and not outcome.had_no_effect
        await wait_until(lambda: recorder.values["a"] == b"3")
        standin.down = True
        outcome = await store.swap("a", 0, b"4")
        assert isinstance(outcome, StoreError) and outcome.had_no_effect

    run_scenario(scenario)
