"""Relays and keepers that follow a store, in virtual time, with faults drawn by a seed.

Each process is the shipped `Mirror` with its subscription; the store and the wires
between processes are models.  What is judged: no process ever goes back to an older
state of a key, none misses a change that it claims to know, and each that can reach the
store for `CONTACT_S` knows every change within `BOUND_S`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from wisteriastair.core.ledgerwire import LedgerMessage, StoreUpdate, Subscribe
from wisteriastair.core.membership import Member, View
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.core.watchers import Subscribers, make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import (
    Changes,
    HistoryLost,
    Snapshot,
    Store,
    StoreError,
    StoreItem,
)

# The least time that a deployment gives for a change to be in force, and after which a
# process that reaches the store has to keep to it, in seconds.
BOUND_S: Final = 2.0
CONTACT_S: Final = 3.0
LOSSES: Final = 1
CALL_S: Final = 0.004
TICK_S: Final = 0.1
CHECK_S: Final = 0.05


class StoreModel:
    """Keys with one revision counter, and what is wrong with the store."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.told_at: dict[int, float] = {}
        self.oldest = 0
        self.down = False
        # While it is silent no call is answered, nor later one that came meanwhile.
        self.silent = False
        self.silences = 0
        self.call_count = 0
        self._changed = anyio.Event()
        self._cut = anyio.Event()

    def fall_silent(self) -> None:
        self.silent = True
        self.silences += 1

    def cut_watches(self) -> None:
        self._cut.set()
        self._cut = anyio.Event()

    def change(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = StoreItem(key, self.revision, value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)
        self.told_at[self.revision] = anyio.current_time()
        self._changed.set()
        self._changed = anyio.Event()

    def forget(self) -> None:
        self.oldest = self.revision

    async def wait(
        self, after: int, wait_s: float
    ) -> Changes | HistoryLost | StoreError:
        if after < self.oldest:
            return HistoryLost()
        cut = self._cut
        with anyio.move_on_after(wait_s):
            while self.revision <= after and not cut.is_set():
                async with anyio.create_task_group() as group:
                    group.start_soon(_first, self._changed, group)
                    group.start_soon(_first, cut, group)
        if cut.is_set():
            return StoreError("connection reset", False)
        items = tuple(i for i in self.history if i.revision > after)
        return Changes(self.revision, items)


async def _first(event: anyio.Event, group: TaskGroup) -> None:
    await event.wait()
    group.cancel_scope.cancel()


class Process:
    """One relay or keeper."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.address = f"p{number}:1"
        self.domain = f"domain{number % 3}"
        self.frozen = False
        self.cut_store = False
        self.busy_store = False
        self.deaf = False
        self.mute = False
        self.sound_since = 0.0
        self.held: list[Callable[[], None]] = []
        self.applied: dict[str, StoreItem] = {}
        self._fleet = fleet
        self._boots = 0
        self._scope = anyio.CancelScope()
        self.start()

    def start(self) -> None:
        """Begin with empty memory."""
        self._boots += 1
        self.member = f"{self.address}#{self._boots}"
        self.applied = {}
        self.subscribers = Subscribers()
        self.subscription = make_subscription(
            self.address, self.domain, LOSSES, BOUND_S
        )
        self.subscription.set_view(self._fleet.view, anyio.current_time())
        self.mirror = Mirror(
            _Client(self._fleet.store, self),
            self._apply,
            lambda present: None,
            subscription=self.subscription,
            on_update=self._tell,
            has_subscribers=lambda: self.subscribers.has_active(anyio.current_time()),
        )

    def _apply(self, item: StoreItem) -> None:
        known = self.applied.get(item.key)
        assert known is None or item.revision > known.revision, (
            f"{self.member} goes back: {item} after {known}"
        )
        self.applied[item.key] = item

    def knows(self, item: StoreItem) -> bool:
        """Whether a state of a key, or a newer one, is what this process goes by."""
        known = self.applied.get(item.key)
        gone = known is None or known.value is None
        if item.value is None and gone:
            return True
        return known is not None and known.revision >= item.revision

    def _tell(self, store_update: StoreUpdate) -> None:
        for to, message in self.subscribers.make_updates(
            store_update, anyio.current_time()
        ):
            self._fleet.send(self, to, message)

    def receive(self, sender: str, message: LedgerMessage) -> None:
        if isinstance(message, Subscribe):
            store_update = self.mirror.store_update()
            if (
                self.subscribers.add(sender, message, anyio.current_time())
                and store_update
            ):
                self._fleet.send(self, sender, store_update)
        elif isinstance(message, StoreUpdate):
            self.mirror.apply_update(sender, message)

    def disturbed(self) -> None:
        """Note a fault that ends the time for which this process was in touch."""
        self.sound_since = anyio.current_time()

    async def run(self) -> None:
        """Run one process after the other until cancelled; `kill` ends one."""
        while True:
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.mirror.run)
                    group.start_soon(self._tick)
            if not self._scope.cancelled_caught:
                return
            await anyio.sleep(0.3)
            self.start()
            self.disturbed()

    def kill(self) -> None:
        self._scope.cancel()

    async def _tick(self) -> None:
        while True:
            if not self.frozen:
                for to, wish in self.subscription.due_subscriptions(
                    anyio.current_time()
                ):
                    self._fleet.send(self, to, wish)
            await anyio.sleep(TICK_S)

    def thaw(self) -> None:
        self.frozen = False
        held, self.held = self.held, []
        for action in held:
            action()

    async def awake(self) -> None:
        while self.frozen:
            await anyio.sleep(0.01)


class _Client(Store):
    """The store as one process reaches it."""

    def __init__(self, model: StoreModel, process: Process) -> None:
        self.call_count = 0
        self.times = make_store_timeouts(CONTACT_S)
        self._model = model
        self._process = process

    async def _refused(self, limit_s: float) -> StoreError | None:
        self._model.call_count += 1
        await self._process.awake()
        if self._process.cut_store:
            await anyio.sleep(limit_s)
            return StoreError("no answer", False)
        await anyio.sleep(CALL_S)
        if self._model.down or self._process.busy_store:
            return StoreError("status 503", True)
        return None

    async def list_all(self, prefix: str) -> Snapshot | StoreError:
        refused = await self._refused(self.times.call_timeout_s)
        if refused is not None:
            return refused
        if self._model.silent:
            await anyio.sleep(self.times.call_timeout_s)
            return StoreError("no answer", False)
        snapshot = Snapshot(self._model.revision, tuple(self._model.items.values()))
        await anyio.sleep(CALL_S)
        await self._process.awake()
        return snapshot

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryLost | StoreError:
        refused = await self._refused(wait_s + self.times.watch_grace_s)
        if refused is not None:
            return refused
        answer: Changes | HistoryLost | StoreError | None = None
        silences = self._model.silences
        with anyio.move_on_after(wait_s + self.times.watch_grace_s):
            found = await self._model.wait(after, wait_s)
            if self._model.silent or self._model.silences > silences:
                await anyio.sleep_forever()
            answer = found
            await anyio.sleep(CALL_S)
            while self._process.cut_store:
                await anyio.sleep(0.05)
        # An answer waits in a frozen process and is found when it wakes.
        await self._process.awake()
        return StoreError("no answer", False) if answer is None else answer


def _start(group: TaskGroup, action: Callable[[], Coroutine[Any, Any, None]]) -> None:
    group.start_soon(action)


class Fleet:
    """All processes, the store, and the wires."""

    def __init__(self, keepers: int, relays: int, seed: int) -> None:
        self.draw = random.Random(seed)
        self.store = StoreModel()
        self.lossy = False
        members = tuple(
            Member(f"k{n}", f"disk{n}", f"p{n}:1", f"domain{n % 3}")
            for n in range(keepers)
        )
        self.view = View(1, members)
        self.keepers = keepers
        self.processes = [Process(n, self) for n in range(keepers + relays)]
        self.slowest_s = 0.0
        self._by_address = {p.address: p for p in self.processes}
        self._group: TaskGroup

    async def run(self, group: TaskGroup) -> None:
        """Start everything in a group."""
        self._group = group
        for process in self.processes:
            group.start_soon(process.run)
        group.start_soon(self._check)

    def send(self, sender: Process, to: str, message: LedgerMessage) -> None:
        target = self._by_address[to.partition("#")[0]]
        lost = self.lossy and self.draw.random() < 0.3
        if sender.mute or target.deaf or lost:
            return
        deliver = partial(self._deliver, sender.member, target, to, message)
        if sender.frozen:
            sender.held.append(lambda: _start(self._group, deliver))
        else:
            self._group.start_soon(deliver)

    def _deliver_now(
        self, sender: str, target: Process, to: str, message: LedgerMessage
    ) -> None:
        if "#" not in to or to == target.member:
            target.receive(sender, message)

    async def _deliver(
        self, sender: str, target: Process, to: str, message: LedgerMessage
    ) -> None:
        await anyio.sleep(self.draw.uniform(0.001, 0.005))
        if target.frozen:
            target.held.append(partial(self._deliver_now, sender, target, to, message))
            return
        self._deliver_now(sender, target, to, message)

    async def _check(self) -> None:
        while True:
            await anyio.sleep(CHECK_S)
            for process in self.processes:
                self._check_process(process)

    def _check_process(self, process: Process) -> None:
        now = anyio.current_time()
        newest: dict[str, StoreItem] = {}
        newest_claimed: dict[str, StoreItem] = {}
        for item in self.store.history:
            newest[item.key] = item
            if item.revision <= process.mirror.revision:
                newest_claimed[item.key] = item
        for item in newest_claimed.values():
            assert process.knows(item), f"{process.member} claims {item}"
        if process.frozen or process.cut_store or process.busy_store:
            return
        if self.store.down or self.store.silent:
            return
        if now - process.sound_since < CONTACT_S:
            return
        for item in newest.values():
            if not process.knows(item):
                age = now - self.store.told_at[item.revision]
                assert age <= BOUND_S, f"{process.member} lacks {item} for {age:.2f} s"
                self.slowest_s = max(self.slowest_s, age)
