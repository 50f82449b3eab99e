"""A local copy of keys in the platform's store, kept up to date by watches.

One watch follows all keys, since every call is counted and a waiting watch is one.
A watch goes on from the revision that the one before ended with.  When the store no
longer has that history, everything is read again and compared.  An item only ever
replaces an older one of the same key, so a change that is reported twice or late has no
effect.

Most processes hear of changes from those that watch for all (`core.watchers`), and make
no call while that is enough.  What they hear and what a call of their own brings may
overtake each other in any order.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable
from typing import Final

import anyio

from ..clocks import boot_clock
from ..core.ledgerwire import Change, StoreUpdate
from ..core.watchers import Subscription
from .store import MS_PER_S, Changes, HistoryLost, Store, StoreError, StoreItem

# Changes within this time after one, in seconds, come with one call instead of one
# each. A tenth of the time in which a configuration has to be in force.
GATHER_S: Final = 0.2
# The first watch after others were relied on waits hardly at all, in seconds: until it
# is answered nothing tells whether the store can be reached.
FIRST_WAIT_S: Final = 0.02
EVERYTHING: Final = ""

OnChange = Callable[[StoreItem], None]
OnListed = Callable[[set[str]], None]
OnUpdate = Callable[[StoreUpdate], None]

log = logging.getLogger(__name__)


class Mirror:
    """Follows all keys of the store.

    Parameters
    ----------
    store : Store
        The client.
    on_change : callable
        Takes each new state of a key.
    on_listed : callable
        Takes the keys of a full reading.
    subscription : Subscription or None
        What the watchers say; None if this process always watches by itself.
    on_update : callable or None
        Takes what a process that watches for others has to tell them.
    has_subscribers : callable or None
        Tells whether others have subscribed here; this process watches then, whether it
        takes itself for chosen or not, since the others may be ahead or behind in that.
    """

    def __init__(
        self,
        store: Store,
        on_change: OnChange,
        on_listed: OnListed,
        *,
        subscription: Subscription | None = None,
        on_update: OnUpdate | None = None,
        has_subscribers: Callable[[], bool] | None = None,
    ) -> None:
        self.revision = 0
        self.store_reachable = False
        self.was_disconnected = False
        # While the first answer after an outage is taken in.
        self.is_catching_up = False
        self.reconnected_at = float("-inf")
        # Whether this process makes calls of its own to hear of changes.
        self.is_watching = True
        # Where the change came from that is taken in now, for the log.
        self.source = ""
        self._store = store
        self._on_change = on_change
        self._on_listed = on_listed
        self._subscription = subscription
        self._on_update = on_update
        self._has_subscribers = has_subscribers
        self._known: dict[str, int] = {}
        # Removals beyond `revision`: an older value of the key may still arrive.
        self._removed: dict[str, int] = {}
        self._listed = False
        self._times = store.times
        self._pause_s = store.times.backoff_s
        self._next_wait_s = store.times.watch_wait_s
        self._answered_at = float("-inf")
        self._lost_at = float("-inf")
        self._called_at = float("-inf")
        self._heard = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._listed:
                self._listed = await self._list()
            elif self._covered_s() > 0:
                self._note_who_watches(itself=False)
                await self._rest()
                self._next_wait_s = FIRST_WAIT_S
            else:
                self._note_who_watches(itself=True)
                wait_s = self._next_wait_s
                self._next_wait_s = self._usual_wait_s()
                self._listed = await self._watch(wait_s)

    def apply_update(self, sender: str, store_update: StoreUpdate) -> bool:
        """Take what a watcher says.

        Returns
        -------
        bool
            Whether its documents are needed: the store has not answered here yet, and
            changes before these are missing.
        """
        if self._subscription is None:
            return False
        if store_update.store_reachable and store_update.changes is not None:
            self.source = sender
            self._take_told(
                store_update.base, store_update.revision, store_update.changes
            )
        now = time.monotonic()
        self._subscription.on_update(sender, store_update, now)
        if self._listed and self._covered_s() > 0:
            self._fine()
            self.is_catching_up = False
        self._heard.set()
        return (
            store_update.store_reachable
            and not self._listed
            and store_update.revision > self.revision
        )

    def apply_documents(
        self, sender: str, revision: int, items: list[StoreItem]
    ) -> None:
        """Take what a keeper remembers, until the store has answered here.

        Parameters
        ----------
        revision : int
            What the keeper knows the store up to; 0 if it does not say.
        """
        if self._listed or revision < self.revision:
            return
        self.source = sender
        if revision > 0:
            self._replace_all(revision, items)
            self._advance(revision)
        else:
            for item in items:
                self._take(item)

    def _take_told(self, base: int, revision: int, changes: list[Change]) -> None:
        """Take changes from a watcher, unless one before them is missing here.

        Before the first reading nothing is lost by taking what there is.
        """
        follows = base <= self.revision < revision
        if self._listed and not follows:
            return
        if self._listed and changes:
            self._fine()
        for change in changes:
            if change.revision > self.revision:
                self._take(StoreItem(change.key, change.revision, change.value))
        if follows:
            self._advance(revision)

    def store_update(self) -> StoreUpdate | None:
        """Return what a new subscriber is told, if this process watches for others."""
        subscription = self._subscription
        if subscription is None or not self._for_others() or not self.store_reachable:
            return None
        since_s = time.monotonic() - self._answered_at
        if since_s > subscription.times.wait_s + self._times.watch_grace_s:
            return None
        return StoreUpdate(self.revision, self.revision)

    # Own calls

    def _covered_s(self) -> float:
        """Return for how long no own watch is needed."""
        if self._subscription is None or self._for_others():
            return 0.0
        now = time.monotonic()
        since_s = now - self._answered_at
        if (
            self._subscription.is_store_down(now)
            and since_s > self._times.watch_wait_s + self._times.watch_grace_s
        ):
            self._note_lost("all watchers lost it")
        return self._subscription.covered_until(now) - now

    def _note_who_watches(self, *, itself: bool) -> None:
        if itself == self.is_watching:
            return
        self.is_watching = itself
        extra = {"revision": self.revision, "in_touch": self.store_reachable}
        if itself:
            log.info("watching the store itself", extra=extra)
        else:
            log.info("relying on those that watch the store", extra=extra)

    async def _rest(self) -> None:
        self._heard = anyio.Event()
        with anyio.move_on_after(self._covered_s()):
            await self._heard.wait()

    async def _list(self) -> bool:
        self._called_at = time.monotonic()
        snapshot = await self._store.list_all(EVERYTHING)
        if isinstance(snapshot, StoreError):
            await self._trouble(snapshot, "list")
            return False
        self._note_answer()
        self.source = "list"
        if snapshot.revision < self.revision:
            # Changes up to a newer revision were told meanwhile.
            return False
        present = self._replace_all(snapshot.revision, snapshot.items)
        self._advance(snapshot.revision)
        self._on_listed(present)
        self.is_catching_up = False
        self._tell(StoreUpdate(snapshot.revision, snapshot.revision))
        return True

    def _replace_all(self, revision: int, items: Iterable[StoreItem]) -> set[str]:
        """Take all that there is as of a revision; return the keys now known."""
        present = set()
        for item in items:
            present.add(item.key)
            self._take(item)
        for key, known in list(self._known.items()):
            if key in present:
                continue
            if known <= revision:
                del self._known[key]
                self._on_change(StoreItem(key, revision, None))
            else:
                present.add(key)
        return present

    async def _watch(self, wait_s: float) -> bool:
        base = self.revision
        began = boot_clock()
        self._called_at = time.monotonic()
        changes = await self._store.watch(EVERYTHING, base, wait_s)
        match changes:
            case StoreError():
                await self._trouble(changes, "watch")
            case HistoryLost():
                log.info(
                    "store history lost, reading all again",
                    extra={"revision": self.revision},
                )
                return False
            case Changes(revision, items):
                self._note_answer()
                self.source = "watch"
                for item in items:
                    if item.revision > self.revision:
                        self._take(item)
                if _lacks_changes(base, revision, items):
                    return False
                self.is_catching_up = False
                self._advance(revision)
                # A later answer may have waited here while the machine was suspended.
                if boot_clock() - began <= wait_s + self._times.watch_grace_s:
                    told = [Change(i.key, i.revision, i.value) for i in items]
                    self._tell(StoreUpdate(base, max(base, revision), told))
                if items:
                    await anyio.sleep(GATHER_S)
        return True

    def _usual_wait_s(self) -> float:
        subscription = self._subscription
        if subscription is None or not self._for_others():
            return self._times.watch_wait_s
        return min(self._times.watch_wait_s, subscription.times.wait_s)

    def _for_others(self) -> bool:
        chosen = self._subscription is not None and self._subscription.is_watcher
        return chosen or (self._has_subscribers is not None and self._has_subscribers())

    def _tell(self, store_update: StoreUpdate) -> None:
        if self._on_update is not None:
            self._on_update(store_update)

    def _advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)
        self._removed = {k: r for k, r in self._removed.items() if r > self.revision}
        if self._subscription is not None:
            self._subscription.set_revision(self.revision, time.monotonic())

    def _take(self, item: StoreItem) -> None:
        known = max(self._known.get(item.key, 0), self._removed.get(item.key, 0))
        if item.revision <= known:
            return
        if item.value is None:
            self._known.pop(item.key, None)
            self._removed[item.key] = item.revision
        else:
            self._known[item.key] = item.revision
        self._on_change(item)

    def _note_answer(self) -> None:
        self._answered_at = time.monotonic()
        self._fine()

    def _fine(self) -> None:
        self._pause_s = self._times.backoff_s
        if not self.store_reachable:
            self.store_reachable = True
            self.is_catching_up = True
            self.reconnected_at = time.monotonic()
            extra: dict[str, object] = {"revision": self.revision}
            if self.was_disconnected:
                extra["away_ms"] = _ms(self.reconnected_at - self._lost_at)
            log.info("store in touch", extra=extra)

    async def _trouble(self, trouble: StoreError, call: str) -> None:
        waited_ms = _ms(time.monotonic() - self._called_at)
        self._note_lost(trouble.reason, call, waited_ms)
        self._tell(StoreUpdate(self.revision, self.revision, store_reachable=False))
        self._next_wait_s = self._times.retry_watch_wait_s
        # Drawn, so that many processes do not come back at the same moment.
        await anyio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(self._times.max_backoff_s, self._pause_s * 2)

    def _note_lost(self, reason: str, call: str = "", waited_ms: int = 0) -> None:
        about = {"reason": reason, "call": call, "waited_ms": waited_ms}
        if self.store_reachable:
            self.store_reachable = False
            self.was_disconnected = True
            self._lost_at = time.monotonic()
            log.warning("store lost", extra={**about, "revision": self.revision})
        else:
            log.info("store still lost", extra=about)


def _lacks_changes(base: int, revision: int, items: tuple[StoreItem, ...]) -> bool:
    """Whether an answer names a newer revision than its changes reach.

    Going on from that revision would skip the missing ones for good.
    """
    newest = max((item.revision for item in items), default=base)
    if newest >= revision:
        return False
    log.warning(
        "answer of a watch lacks changes, reading all again",
        extra={"base": base, "newest": newest, "revision": revision},
    )
    return True


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
