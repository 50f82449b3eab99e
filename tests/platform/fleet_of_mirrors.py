"""Simulation of relays and keepers that mirror a store, in virtual time, with faults.

Each process is the real `Mirror` with its subscription; the store and the network are
models.  The checks are that no process returns to an older state of a key, that none
misses a change up to its own revision, and that each process that has reached the store
for `CONTACT_S` applies every change within `CHANGE_DEADLINE_S`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from wisteriastair.clocks import stamp_ms
from wisteriastair.core.ledgerwire import LedgerMessage, StoreUpdate, Subscribe
from wisteriastair.core.membership import Member, View
from wisteriastair.core.storetimes import make_store_timeouts
from wisteriastair.core.watchers import Subscribers, make_subscription
from wisteriastair.platform.mirror import Mirror
from wisteriastair.platform.store import (
    Changes,
    HistoryExpired,
    Snapshot,
    Store,
    StoreError,
    StoreItem,
)

# Shortest time that a deployment allows for a change to be in force, and the time for
# which a process must have reached the store before this applies to it, in seconds.
CHANGE_DEADLINE_S: Final = 2.0
CONTACT_S: Final = 3.0
MAX_FAILURES: Final = 1
CALL_DURATION_S: Final = 0.004
TICK_INTERVAL_S: Final = 0.1
CHECK_INTERVAL_S: Final = 0.05


class StoreModel:
    """Keys with one revision counter, and the current faults of the store."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.changed_at: dict[int, float] = {}
        self.oldest_revision = 0
        self.down = False
        # A call made while the store is unresponsive never gets a response.
        self.is_unresponsive = False
        self.outage_count = 0
        self.call_count = 0
        self._changed = anyio.Event()
        self._watches_cut = anyio.Event()

    def become_unresponsive(self) -> None:
        self.is_unresponsive = True
        self.outage_count += 1

    def cut_watches(self) -> None:
        self._watches_cut.set()
        self._watches_cut = anyio.Event()

    def change(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = StoreItem(key, self.revision, value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append(item)
        self.changed_at[self.revision] = anyio.current_time()
        self._changed.set()
        self._changed = anyio.Event()

    def drop_history(self) -> None:
        self.oldest_revision = self.revision

    async def wait(
        self, after: int, wait_s: float
    ) -> Changes | HistoryExpired | StoreError:
        if after < self.oldest_revision:
            return HistoryExpired()
        watches_cut = self._watches_cut
        with anyio.move_on_after(wait_s):
            while self.revision <= after and not watches_cut.is_set():
                async with anyio.create_task_group() as group:
                    group.start_soon(_cancel_on_event, self._changed, group)
                    group.start_soon(_cancel_on_event, watches_cut, group)
        if watches_cut.is_set():
            return StoreError("connection reset", False)
        items = tuple(i for i in self.history if i.revision > after)
        return Changes(self.revision, items)


async def _cancel_on_event(event: anyio.Event, group: TaskGroup) -> None:
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
        self.drops_received = False
        self.drops_sent = False
        # Delay of everything that this process sends, in seconds.
        self.sends_late_s = 0.0
        self.undisturbed_since = 0.0
        self.deferred: list[Callable[[], None]] = []
        self.applied: dict[str, StoreItem] = {}
        self._fleet = fleet
        self._start_count = 0
        self._scope = anyio.CancelScope()
        self.start()

    def start(self) -> None:
        """Start the process without state."""
        self._start_count += 1
        self.member = f"{self.address}#{self._start_count}"
        self.applied = {}
        self.subscribers = Subscribers()
        self.subscription = make_subscription(
            self.address, self.domain, MAX_FAILURES, CHANGE_DEADLINE_S
        )
        self.subscription.set_view(self._fleet.view, anyio.current_time())
        self.mirror = Mirror(
            _Client(self._fleet.store, self),
            self._apply,
            lambda present: None,
            subscription=self.subscription,
            on_update=self._publish,
            has_subscribers=lambda: self.subscribers.has_active(anyio.current_time()),
        )

    def _apply(self, item: StoreItem) -> None:
        known = self.applied.get(item.key)
        assert known is None or item.revision > known.revision, (
            f"{self.member} went back to {item} after {known}"
        )
        self.applied[item.key] = item

    def knows(self, item: StoreItem) -> bool:
        """Whether this process has applied the given state of a key or a newer one."""
        known = self.applied.get(item.key)
        is_absent = known is None or known.value is None
        if item.value is None and is_absent:
            return True
        return known is not None and known.revision >= item.revision

    def _publish(self, store_update: StoreUpdate) -> None:
        for to, message in self.subscribers.make_updates(
            store_update, anyio.current_time()
        ):
            self._fleet.send(self, to, message)

    def receive(self, sender: str, message: LedgerMessage) -> None:
        if isinstance(message, Subscribe):
            store_update = self.mirror.store_update()
            now = anyio.current_time()
            if self.subscribers.add(sender, message, now) and store_update:
                stamped = self.subscribers.stamp(sender, store_update, now)
                self._fleet.send(self, sender, stamped)
        elif isinstance(message, StoreUpdate):
            self.mirror.apply_update(sender, message)

    def record_disturbance(self) -> None:
        """Record a fault that interrupts the connection to the store."""
        self.undisturbed_since = anyio.current_time()

    async def run(self) -> None:
        """Run the process until cancelled, and restart it after each `kill`."""
        while True:
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.mirror.run)
                    group.start_soon(self._tick)
            if not self._scope.cancelled_caught:
                return
            await anyio.sleep(0.3)
            self.start()
            self.record_disturbance()

    def kill(self) -> None:
        self._scope.cancel()

    async def _tick(self) -> None:
        while True:
            if not self.frozen:
                for to, subscription_message in self.subscription.due_subscriptions(
                    anyio.current_time(), stamp_ms()
                ):
                    self._fleet.send(self, to, subscription_message)
            await anyio.sleep(TICK_INTERVAL_S)

    def unfreeze(self) -> None:
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()

    async def wait_until_unfrozen(self) -> None:
        while self.frozen:
            await anyio.sleep(0.01)


class _Client(Store):
    """Client of the store model with the faults of one process."""

    def __init__(self, model: StoreModel, process: Process) -> None:
        self.call_count = 0
        self.times = make_store_timeouts(CONTACT_S)
        self._model = model
        self._process = process

    async def _check_faults(self, limit_s: float) -> StoreError | None:
        self._model.call_count += 1
        await self._process.wait_until_unfrozen()
        if self._process.cut_store:
            await anyio.sleep(limit_s)
            return StoreError("no answer", False)
        await anyio.sleep(CALL_DURATION_S)
        if self._model.down or self._process.busy_store:
            return StoreError("status 503", True)
        return None

    async def list_all(self, prefix: str) -> Snapshot | StoreError:
        error = await self._check_faults(self.times.call_timeout_s)
        if error is not None:
            return error
        if self._model.is_unresponsive:
            await anyio.sleep(self.times.call_timeout_s)
            return StoreError("no answer", False)
        snapshot = Snapshot(self._model.revision, tuple(self._model.items.values()))
        await anyio.sleep(CALL_DURATION_S)
        await self._process.wait_until_unfrozen()
        return snapshot

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryExpired | StoreError:
        error = await self._check_faults(wait_s + self.times.watch_grace_s)
        if error is not None:
            return error
        response: Changes | HistoryExpired | StoreError | None = None
        outage_count = self._model.outage_count
        with anyio.move_on_after(wait_s + self.times.watch_grace_s):
            changes = await self._model.wait(after, wait_s)
            if self._model.is_unresponsive or self._model.outage_count > outage_count:
                await anyio.sleep_forever()
            response = changes
            await anyio.sleep(CALL_DURATION_S)
            while self._process.cut_store:
                await anyio.sleep(0.05)
        # A frozen process reads a pending response when it resumes.
        await self._process.wait_until_unfrozen()
        return StoreError("no answer", False) if response is None else response


def _start(group: TaskGroup, action: Callable[[], Coroutine[Any, Any, None]]) -> None:
    group.start_soon(action)


class Fleet:
    """All processes, the store, and the network."""

    def __init__(self, keepers: int, relays: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = StoreModel()
        self.loses_messages = False
        members = tuple(
            Member(f"k{n}", f"disk{n}", f"p{n}:1", f"domain{n % 3}")
            for n in range(keepers)
        )
        self.view = View(1, members)
        self.keepers = keepers
        self.processes = [Process(n, self) for n in range(keepers + relays)]
        self.max_delay_s = 0.0
        self._by_address = {p.address: p for p in self.processes}
        self._group: TaskGroup

    async def run(self, group: TaskGroup) -> None:
        """Start all processes and the checks in a task group."""
        self._group = group
        for process in self.processes:
            group.start_soon(process.run)
        group.start_soon(self._check)

    def send(self, sender: Process, to: str, message: LedgerMessage) -> None:
        target = self._by_address[to.partition("#")[0]]
        is_lost = self.loses_messages and self.rng.random() < 0.3
        if sender.drops_sent or target.drops_received or is_lost:
            return
        late_s = sender.sends_late_s
        deliver = partial(self._deliver, sender.member, target, to, message, late_s)
        if sender.frozen:
            sender.deferred.append(lambda: _start(self._group, deliver))
        else:
            self._group.start_soon(deliver)

    def _deliver_now(
        self, sender: str, target: Process, to: str, message: LedgerMessage
    ) -> None:
        if "#" not in to or to == target.member:
            target.receive(sender, message)

    async def _deliver(
        self,
        sender: str,
        target: Process,
        to: str,
        message: LedgerMessage,
        late_s: float,
    ) -> None:
        await anyio.sleep(late_s + self.rng.uniform(0.001, 0.005))
        if target.frozen:
            target.deferred.append(
                partial(self._deliver_now, sender, target, to, message)
            )
            return
        self._deliver_now(sender, target, to, message)

    async def _check(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for process in self.processes:
                self._check_process(process)

    def _check_process(self, process: Process) -> None:
        now = anyio.current_time()
        newest: dict[str, StoreItem] = {}
        newest_known: dict[str, StoreItem] = {}
        for item in self.store.history:
            newest[item.key] = item
            if item.revision <= process.mirror.revision:
                newest_known[item.key] = item
        for item in newest_known.values():
            assert process.knows(item), f"{process.member} has not applied {item}"
        if process.frozen or process.cut_store or process.busy_store:
            return
        if self.store.down or self.store.is_unresponsive:
            return
        if now - process.undisturbed_since < CONTACT_S:
            return
        for item in newest.values():
            if not process.knows(item):
                age = now - self.store.changed_at[item.revision]
                assert age <= CHANGE_DEADLINE_S, (
                    f"{process.member} lacks {item} for {age:.2f} s"
                )
                self.max_delay_s = max(self.max_delay_s, age)
