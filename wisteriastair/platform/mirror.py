"""A local copy of keys in the platform's store, kept up to date by watches.

One watch follows all keys, since every call is counted and a waiting watch is one.
A watch goes on from the revision that the one before ended with.  When the store no
longer has that history, everything is read again and compared.  An item only ever
replaces an older one of the same key, so a change that is reported twice or late has no
effect.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import Final

import anyio

from .store import Changes, HistoryLost, Item, Store, StoreTrouble

# Pause after a call that failed, in seconds; drawn between half of it and all, so that
# many processes do not come back to a store at the same moment.
PAUSE_S: Final = 0.25
# A reading that is refused for lack of room is tried again more slowly.
PAUSE_MAX_S: Final = 1.0
# Changes within this time after one, in seconds, come with one call instead of one
# each. A tenth of the time in which a configuration has to be in force.
GATHER_S: Final = 0.2
EVERYTHING: Final = ""

OnChange = Callable[[Item], None]
OnListed = Callable[[set[str]], None]

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
    """

    def __init__(self, store: Store, on_change: OnChange, on_listed: OnListed) -> None:
        self.revision = 0
        self.in_touch = False
        self.was_lost = False
        # While the first answer after an outage is taken in.
        self.catching_up = False
        self.regained_at = float("-inf")
        self._store = store
        self._on_change = on_change
        self._on_listed = on_listed
        self._known: dict[str, int] = {}
        self._pause_s = PAUSE_S

    async def run(self) -> None:
        """Follow until cancelled."""
        listed = False
        while True:
            if not listed:
                listed = await self._list()
            else:
                listed = await self._watch()

    async def _list(self) -> bool:
        snapshot = await self._store.list_all(EVERYTHING)
        if isinstance(snapshot, StoreTrouble):
            await self._trouble(snapshot)
            return False
        self._fine()
        present = {item.key for item in snapshot.items}
        for item in snapshot.items:
            self._take(item)
        for key, revision in list(self._known.items()):
            if key not in present and revision <= snapshot.revision:
                del self._known[key]
                self._on_change(Item(key, snapshot.revision, None))
        self.revision = snapshot.revision
        self._on_listed(present)
        self.catching_up = False
        return True

    async def _watch(self) -> bool:
        changes = await self._store.watch(EVERYTHING, self.revision)
        match changes:
            case StoreTrouble():
                await self._trouble(changes)
            case HistoryLost():
                log.info(
                    "store history lost, reading all again",
                    extra={"revision": self.revision},
                )
                return False
            case Changes(revision, items):
                self._fine()
                for item in items:
                    self._take(item)
                self.catching_up = False
                self.revision = max(self.revision, revision)
                if items:
                    await anyio.sleep(GATHER_S)
        return True

    def _take(self, item: Item) -> None:
        if item.revision <= self._known.get(item.key, 0):
            return
        if item.value is None:
            # Removals are not remembered: a late one is older than the watch's start.
            self._known.pop(item.key, None)
        else:
            self._known[item.key] = item.revision
        self._on_change(item)

    def _fine(self) -> None:
        self._pause_s = PAUSE_S
        if not self.in_touch:
            self.in_touch = True
            self.catching_up = True
            self.regained_at = time.monotonic()
            log.info("store in touch", extra={"revision": self.revision})

    async def _trouble(self, trouble: StoreTrouble) -> None:
        if self.in_touch:
            self.in_touch = False
            self.was_lost = True
            log.warning("store lost", extra={"reason": trouble.reason})
        await anyio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(PAUSE_MAX_S, self._pause_s * 2)
