"""A local copy of the platform's store, updated by watches.

One watch covers all keys, since the store counts every call, including each pending
watch.  A watch starts at the revision at which the previous one ended.  If the store no
longer has that history, all keys are read again and compared.  An item replaces only an
older one of the same key, so a change that is reported twice or late has no effect.

A few processes watch the store for the others (`core.watchers`).  The others receive
changes from these watchers and make no calls as long as the updates are recent.
Updates from watchers and responses to a process's own calls may arrive in any order.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import anyio

from ..clocks import boot_clock
from ..core.ledgerwire import Change, StoreUpdate
from ..core.watchers import Subscription
from ..scheduling.outages import StoreOutage
from .store import (
    MS_PER_S,
    Changes,
    HistoryExpired,
    Snapshot,
    Store,
    StoreError,
    StoreItem,
)

# Pause after a watch that returned changes, in seconds, so that one call collects all
# changes made meanwhile.  A tenth of the time within which a configuration must be in
# force.
BATCH_DELAY_S: Final = 0.2
# Wait of the first watch after a time without own calls, in seconds.  It is short,
# since only its response shows whether the store can be reached.
FIRST_WATCH_WAIT_S: Final = 0.02
# Time for the calls and messages of a confirmation, in seconds.
CONFIRM_MARGIN_S: Final = 0.1
ALL_KEYS_PREFIX: Final = ""

OnChange = Callable[[StoreItem], None]
OnFullRead = Callable[[set[str]], None]
OnUpdate = Callable[[StoreUpdate], None]

log = logging.getLogger(__name__)


class _Published(NamedTuple):
    """Revision up to which subscribers have all changes, and the keys at that time."""

    revision: int
    keys: frozenset[str]


class Mirror:
    """Maintains a copy of all keys of the store.

    Parameters
    ----------
    store : Store
        Client of the store.
    on_change : callable
        Called with each new state of a key.
    on_full_read : callable
        Called with the set of existing keys after all keys were read.
    subscription : Subscription or None
        Updates from the watchers; None if this process always watches the store itself.
    on_update : callable or None
        Called with each update to send to the subscribers of this process.
    has_subscribers : callable or None
        Returns whether other processes have subscribed to this one.  If so, it watches
        the store even if its own view does not list it as a watcher, since the views
        of the other processes may be newer or older.
    """

    def __init__(
        self,
        store: Store,
        on_change: OnChange,
        on_full_read: OnFullRead,
        *,
        subscription: Subscription | None = None,
        on_update: OnUpdate | None = None,
        has_subscribers: Callable[[], bool] | None = None,
    ) -> None:
        self.revision = 0
        self.store_reachable = False
        self.was_disconnected = False
        # True while the first response after an outage is processed.
        self.is_catching_up = False
        # The last outage that has ended.
        self.outage: StoreOutage | None = None
        # Whether this process watches the store itself.
        self.is_watching = True
        # Origin of the change that is being applied, for the log.
        self.source = ""
        self._store = store
        self._on_change = on_change
        self._on_full_read = on_full_read
        self._subscription = subscription
        self._on_update = on_update
        self._has_subscribers = has_subscribers
        self._known_revisions: dict[str, int] = {}
        # Keys removed after `revision`; an older value of these may still arrive.
        self._removed_revisions: dict[str, int] = {}
        self._has_read_all = False
        self._times = store.times
        self._retry_delay_s = store.times.backoff_s
        self._next_wait_s = store.times.watch_wait_s
        self._last_response_at = float("-inf")
        self._disconnected_at = float("-inf")
        self._failed_at = float("-inf")
        self._blind_since = float("-inf")
        self._last_call_at = float("-inf")
        self._update_received = anyio.Event()
        # None unless this process watches for others.
        self._published: _Published | None = None
        # Time on the boot clock at which the store was in the state of this copy, or
        # later.
        self._as_of = float("-inf")

    def age_s(self) -> float:
        """Seconds since the store was in the state of this copy, at most."""
        return boot_clock() - self._as_of

    async def run(self) -> None:
        """Update the copy until cancelled."""
        while True:
            if not self._has_read_all:
                self._has_read_all = await self._read_all()
            elif self._remaining_coverage_s() > 0:
                self._set_watching(is_watching=False)
                await self._wait_for_update()
                self._next_wait_s = FIRST_WATCH_WAIT_S
            else:
                self._set_watching(is_watching=True)
                wait_s = self._next_wait_s
                self._next_wait_s = self._default_wait_s()
                self._has_read_all = await self._watch(wait_s)

    def apply_update(self, sender: str, store_update: StoreUpdate) -> bool:
        """Apply an update from a watcher.

        Returns
        -------
        bool
            Whether the sender's documents are needed, since the store has not yet
            responded to this process and earlier changes are missing.
        """
        if self._subscription is None:
            return False
        if store_update.store_reachable and store_update.changes is not None:
            self.source = sender
            self._apply_changes(
                store_update.base, store_update.revision, store_update.changes
            )
        age_s = _update_age_s(store_update)
        if store_update.store_reachable and store_update.revision <= self.revision:
            self._as_of = max(self._as_of, boot_clock() - age_s)
        self._subscription.on_update(sender, store_update, time.monotonic(), age_s)
        if self._has_read_all and self._remaining_coverage_s() > 0:
            self._set_connected()
            self.is_catching_up = False
        self._update_received.set()
        return (
            store_update.store_reachable
            and not self._has_read_all
            and store_update.revision > self.revision
        )

    def apply_documents(
        self, sender: str, revision: int, items: list[StoreItem]
    ) -> None:
        """Apply documents cached by a keeper, until the store itself has responded.

        Parameters
        ----------
        revision : int
            Revision up to which the keeper knows the store; 0 if unknown.
        """
        if self._has_read_all or revision < self.revision:
            return
        self.source = sender
        if revision > 0:
            self._apply_snapshot(revision, items)
            self._advance(revision)
        else:
            for item in items:
                self._apply_item(item)

    def _apply_changes(self, base: int, revision: int, changes: list[Change]) -> None:
        """Apply changes from a watcher, unless an earlier change is missing.

        Before all keys were read for the first time, any change is applied.
        """
        follows = base <= self.revision < revision
        if self._has_read_all and not follows:
            return
        if self._has_read_all and changes:
            self._set_connected()
        for change in changes:
            if change.revision > self.revision:
                self._apply_item(StoreItem(change.key, change.revision, change.value))
        if follows:
            self._advance(revision)

    def store_update(self) -> StoreUpdate | None:
        """Return the first update for a new subscriber; None if there is none to send.

        There is one only if this process watches the store for others and has received
        a response recently.
        """
        subscription = self._subscription
        if (
            subscription is None
            or not self._is_watching_for_others()
            or not self.store_reachable
        ):
            return None
        elapsed_s = time.monotonic() - self._last_response_at
        if elapsed_s > subscription.times.wait_s + self._times.watch_grace_s:
            return None
        return StoreUpdate(self.revision, self.revision, age_ms=_ms(self.age_s()))

    # Calls to the store

    def _remaining_coverage_s(self) -> float:
        """Return the seconds for which no watch of this process is needed."""
        if self._subscription is None or self._is_watching_for_others():
            return 0.0
        now = time.monotonic()
        elapsed_s = now - self._last_response_at
        if (
            self._subscription.is_store_down(now)
            and elapsed_s > self._times.watch_wait_s + self._times.watch_grace_s
        ):
            self._failed_at = now
            self._set_disconnected("all watchers lost the store")
        return self._subscription.covered_until(now) - now

    def _set_watching(self, *, is_watching: bool) -> None:
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        extra = {"revision": self.revision, "in_touch": self.store_reachable}
        if is_watching:
            log.info("watching the store itself", extra=extra)
        else:
            log.info("relying on other watchers of the store", extra=extra)

    async def _wait_for_update(self) -> None:
        self._update_received = anyio.Event()
        with anyio.move_on_after(self._remaining_coverage_s()):
            await self._update_received.wait()

    async def _read_all(self) -> bool:
        self._last_call_at = time.monotonic()
        started_at = boot_clock()
        snapshot = await self._store.list_all(ALL_KEYS_PREFIX)
        if isinstance(snapshot, StoreError):
            await self._handle_error(snapshot, "list")
            return False
        self._record_response()
        self.source = "list"
        if snapshot.revision < self.revision:
            # Watchers have reported a newer revision meanwhile.
            return False
        existing_keys = self._apply_snapshot(snapshot.revision, snapshot.items)
        self._advance(snapshot.revision)
        self._as_of = max(self._as_of, started_at)
        self._on_full_read(existing_keys)
        self.is_catching_up = False
        self._publish_snapshot(snapshot, existing_keys)
        return True

    def _publish_snapshot(self, snapshot: Snapshot, existing_keys: set[str]) -> None:
        revision, age_ms = snapshot.revision, _ms(self.age_s())
        published = self._published
        if published is None:
            # Subscribers that know nothing yet read everything themselves.
            self._publish(StoreUpdate(revision, revision, age_ms=age_ms))
            return
        removed = published.keys - existing_keys
        changes = [Change(key, revision, None) for key in sorted(removed)]
        changes += [
            Change(item.key, item.revision, item.value)
            for item in snapshot.items
            if item.revision > published.revision
        ]
        self._publish(StoreUpdate(published.revision, revision, changes, age_ms=age_ms))

    def _apply_snapshot(self, revision: int, items: Iterable[StoreItem]) -> set[str]:
        """Replace all items as of a revision; return the keys that exist now."""
        existing_keys = set()
        for item in items:
            existing_keys.add(item.key)
            self._apply_item(item)
        for key, known_revision in list(self._known_revisions.items()):
            if key in existing_keys:
                continue
            if known_revision <= revision:
                del self._known_revisions[key]
                self._on_change(StoreItem(key, revision, None))
            else:
                existing_keys.add(key)
        return existing_keys

    async def _watch(self, wait_s: float) -> bool:
        if not self._is_watching_for_others():
            self._published = None
        base = self.revision
        if self._published is not None:
            # Another watcher may have reported later changes, but to other subscribers.
            base = min(base, self._published.revision)
        started_at = boot_clock()
        self._last_call_at = time.monotonic()
        changes = await self._store.watch(ALL_KEYS_PREFIX, base, wait_s)
        match changes:
            case StoreError():
                await self._handle_error(changes, "watch")
            case HistoryExpired():
                log.info(
                    "store history expired, reading all keys again",
                    extra={"revision": self.revision},
                )
                return False
            case Changes(revision, items):
                self._record_response()
                self.source = "watch"
                for item in items:
                    if item.revision > self.revision:
                        self._apply_item(item)
                if _is_missing_changes(base, revision, items):
                    return False
                self.is_catching_up = False
                self._advance(revision)
                # Without changes, the store answers after the wait.
                as_of = started_at if items else started_at + wait_s
                self._as_of = max(self._as_of, min(as_of, boot_clock()))
                # A response that arrives later may be out of date: it may have been
                # pending while the machine was suspended.
                if boot_clock() - started_at <= wait_s + self._times.watch_grace_s:
                    reported = [Change(i.key, i.revision, i.value) for i in items]
                    self._publish(
                        StoreUpdate(
                            base,
                            max(base, revision),
                            reported,
                            age_ms=_ms(self.age_s()),
                        )
                    )
                if items:
                    self._confirm_early()
                    await anyio.sleep(BATCH_DELAY_S)
        return True

    def _confirm_early(self) -> None:
        """Shorten the next watch if the state that subscribers have is old.

        The store may have answered a watch with changes at any time since its start.
        """
        if self._subscription is None or not self._is_watching_for_others():
            return
        left_s = self._subscription.times.validity_s - self.age_s()
        wait_s = left_s - BATCH_DELAY_S - CONFIRM_MARGIN_S
        self._next_wait_s = max(FIRST_WATCH_WAIT_S, min(self._next_wait_s, wait_s))

    def _default_wait_s(self) -> float:
        if self._subscription is None:
            return self._times.watch_wait_s
        times = self._subscription.times
        wait_s = times.validity_s - CONFIRM_MARGIN_S
        if self._is_watching_for_others():
            wait_s = times.wait_s
        return min(self._times.watch_wait_s, wait_s)

    def _is_watching_for_others(self) -> bool:
        is_chosen = self._subscription is not None and self._subscription.is_watcher
        return is_chosen or (
            self._has_subscribers is not None and self._has_subscribers()
        )

    def _publish(self, store_update: StoreUpdate) -> None:
        if self._on_update is None:
            return
        if store_update.store_reachable:
            keys = frozenset(self._known_revisions)
            self._published = _Published(store_update.revision, keys)
        self._on_update(store_update)

    def _advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)
        self._removed_revisions = {
            k: r for k, r in self._removed_revisions.items() if r > self.revision
        }
        if self._subscription is not None:
            self._subscription.set_revision(self.revision, time.monotonic())

    def _apply_item(self, item: StoreItem) -> None:
        known_revision = max(
            self._known_revisions.get(item.key, 0),
            self._removed_revisions.get(item.key, 0),
        )
        if item.revision <= known_revision:
            return
        if item.value is None:
            self._known_revisions.pop(item.key, None)
            self._removed_revisions[item.key] = item.revision
        else:
            self._known_revisions[item.key] = item.revision
        self._on_change(item)

    def _record_response(self) -> None:
        self._last_response_at = time.monotonic()
        self._set_connected()

    def _set_connected(self) -> None:
        self._retry_delay_s = self._times.backoff_s
        if not self.store_reachable:
            self.store_reachable = True
            self.is_catching_up = True
            extra: dict[str, object] = {"revision": self.revision}
            if self.was_disconnected:
                now = time.monotonic()
                self.outage = StoreOutage(self._blind_since, self._failed_at, now)
                extra["away_ms"] = _ms(now - self._disconnected_at)
                extra["may_expire_leases"] = self.outage.may_expire_leases()
            log.info("store in touch", extra=extra)

    async def _handle_error(self, error: StoreError, call: str) -> None:
        waited_ms = _ms(time.monotonic() - self._last_call_at)
        self._failed_at = self._last_call_at
        self._set_disconnected(error.reason, call, waited_ms)
        self._publish(StoreUpdate(self.revision, self.revision, store_reachable=False))
        self._next_wait_s = self._times.retry_watch_wait_s
        # Random, so that many processes do not reconnect at the same time.
        await anyio.sleep(self._retry_delay_s * random.uniform(0.5, 1.0))
        self._retry_delay_s = min(self._times.max_backoff_s, self._retry_delay_s * 2)

    def _set_disconnected(
        self, reason: str, call: str = "", waited_ms: int = 0
    ) -> None:
        extra = {"reason": reason, "call": call, "waited_ms": waited_ms}
        if self.store_reachable:
            self.store_reachable = False
            self.was_disconnected = True
            self._disconnected_at = time.monotonic()
            self._blind_since = self._disconnected_at - self.age_s()
            log.warning("store lost", extra={**extra, "revision": self.revision})
        else:
            log.info("store still lost", extra=extra)


def _is_missing_changes(base: int, revision: int, items: tuple[StoreItem, ...]) -> bool:
    """Whether a response has a newer revision than the newest of its changes.

    A watch that continued from that revision would never report the missing changes.
    """
    newest = max((item.revision for item in items), default=base)
    if newest >= revision:
        return False
    log.warning(
        "watch response lacks changes, reading all keys again",
        extra={"base": base, "newest": newest, "revision": revision},
    )
    return True


def _update_age_s(store_update: StoreUpdate) -> float:
    """Return an upper bound of the age of an update from a watcher, in seconds.

    The watcher made it after it had received the stamp.  An older build sends none.
    """
    if not store_update.stamp_ms:
        return store_update.age_ms / MS_PER_S
    made_ms = store_update.stamp_ms + store_update.held_ms
    return max(0.0, boot_clock() - (made_ms - store_update.age_ms) / MS_PER_S)


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
