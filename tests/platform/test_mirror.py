"""The local copy of the store's keys, while the store misbehaves."""

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
    Swapped,
    SwapRefused,
)

CONTACT_S = 3.0


class Copy:
    """What a mirror has told."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.told: list[StoreItem] = []
        self.readings = 0

    def change(self, item: StoreItem) -> None:
        self.told.append(item)
        if item.value is None:
            self.values.pop(item.key, None)
        else:
            self.values[item.key] = item.value

    def listed(self, present: set[str]) -> None:
        self.readings += 1


def play(story: Callable[[StoreStandin, Copy, Store], Awaitable[None]]) -> None:
    async def main() -> None:
        async with standin_store() as standin:
            for number in range(5):
                standin.put(f"servers/{number}", b"first")
            store = Store(standin.address, make_store_timeouts(CONTACT_S))
            copy = Copy()
            mirror = Mirror(store, copy.change, copy.listed)
            async with anyio.create_task_group() as group:
                group.start_soon(mirror.run)
                with anyio.fail_after(15):
                    await until(lambda: copy.readings > 0)
                    await story(standin, copy, store)
                group.cancel_scope.cancel()
            await store.close()

    anyio.run(main)


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.01)


def test_a_value_that_is_not_base64_takes_no_other_away() -> None:
    """Another writer leaves bytes that the store passes on as they are."""

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        standin.put_text("servers/odd", "*no base64*")
        standin.put("servers/9", b"good")
        await until(lambda: "servers/9" in copy.values)
        assert copy.values["servers/odd"] == b"*no base64*"
        listed = await store.list_all("")
        assert not isinstance(listed, StoreError)
        assert len(listed.items) == 7

    play(story)


def test_all_pages_and_then_changes_arrive() -> None:
    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        assert len(copy.values) == 5
        standin.put("op/config", b'{"version":2}')
        standin.remove("servers/3")
        await until(lambda: "servers/3" not in copy.values)
        assert copy.values["op/config"] == b'{"version":2}'

    play(story)


def test_lost_history_leads_to_a_full_reading() -> None:
    """The store drops its history while keys change, and cuts the watch.

    A mirror that only went on watching would never hear that a server had left.
    """

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        standin.remove("servers/1")
        standin.put("servers/9", b"late")
        standin.forget_history()
        await until(lambda: copy.readings >= 2 or "servers/9" in copy.values)
        await until(lambda: "servers/1" not in copy.values)
        assert copy.values["servers/9"] == b"late"

    play(story)


def test_an_outage_changes_nothing_until_the_store_says_so() -> None:
    """The store is down for a while; what was known goes on being used."""

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        standin.down = True
        for caller_conn in list(standin.caller_conns):
            caller_conn.abort()
        await anyio.sleep(0.5)
        assert len(copy.values) == 5
        assert all(item.value is not None for item in copy.told)
        standin.put("op/config", b'{"version":3}')
        standin.down = False
        await until(lambda: copy.values.get("op/config") == b'{"version":3}')

    play(story)


def test_a_lost_answer_of_a_watch_hides_changes_for_three_seconds_at_most() -> None:
    """The store answers a watch, and the answer is lost; the connection stays alive.

    The relay goes on with an old configuration and nothing tells it: probes of the
    connection are answered.  Only a watch that waits shortly finds out.
    """

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        standin.mutes = 1
        standin.put("op/config", b'{"version":4}')
        began = anyio.current_time()
        await until(lambda: copy.values.get("op/config") == b'{"version":4}')
        assert anyio.current_time() - began < 3.2

    play(story)


def test_a_revision_without_its_changes_is_not_taken_for_known() -> None:
    """Guards against a change that a watch skips and that nobody asks for again."""

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        standin.withholds = True
        standin.put("op/config", b'{"version":5}')
        await anyio.sleep(0.5)
        standin.withholds = False
        standin.put("servers/1", b"later")
        await until(lambda: copy.values["servers/1"] == b"later")
        assert copy.values["op/config"] == b'{"version":5}'

    play(story)


def test_a_swap_has_three_outcomes() -> None:
    """A write takes effect and its answer is lost.

    The writer must not take it for refused: here it only learns that it does not know,
    and the next reading tells what the store holds.
    """

    async def story(standin: StoreStandin, copy: Copy, store: Store) -> None:
        assert isinstance(await store.swap("a", 0, b"1"), Swapped)
        assert isinstance(await store.swap("a", 0, b"2"), SwapRefused)
        standin.responses_to_drop = 1
        revision = standin.items["a"]["rev"]
        outcome = await store.swap("a", revision, b"3")
        assert isinstance(outcome, StoreError) and not outcome.harmless
        await until(lambda: copy.values["a"] == b"3")
        standin.down = True
        outcome = await store.swap("a", 0, b"4")
        assert isinstance(outcome, StoreError) and outcome.harmless

    play(story)
