"""The ledger's way to the disk: batches are synced one after another, space is bounded.

A sync blocks the loop.  Nearly all that a keeper does waits for a sync anyway, and what
arrives meanwhile gathers in the sockets for the next batch, so one sync carries many
records when many come.  With syncs on a worker thread a request took 0.40 ms of
processor time instead of 0.27 ms, and was answered after 2.7 ms instead of 2.0 ms
(medians, ``python -m tests.keeper.bench``).  A disk that hangs silences its keeper,
which is then dropped like any other that is lost.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Final

import anyio

from ..core.keeper import Batch, KeeperCore
from ..nodemetrics import KeeperMetrics
from .log import Log

# Pause after the disk has refused a batch, in seconds.
REFUSED_PAUSE_S: Final = 0.3

log = logging.getLogger(__name__)


class Storage:
    """Writes what a `KeeperCore` wants to have synced.

    Parameters
    ----------
    disk : Log
        The log, loaded.
    core : KeeperCore
        Decides what is written, and what is answered afterwards.
    metrics : KeeperMetrics
        Counts records and times syncs.
    clock : callable
        Seconds that never go back.
    """

    def __init__(
        self,
        disk: Log,
        core: KeeperCore,
        metrics: KeeperMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._disk = disk
        self._core = core
        self._metrics = metrics
        self._clock = clock
        self._wake = anyio.Event()
        self._synced = anyio.Event()

    def wake(self) -> None:
        """Say that there may be something to write."""
        self._wake.set()

    async def run(self, send: Callable[[], None]) -> None:
        """Write batches until cancelled; ``send`` sends what was answered."""
        while True:
            batch = self._core.next_batch()
            if batch is None:
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            await self._sync(batch)
            self._synced.set()
            self._synced = anyio.Event()
            send()

    async def _sync(self, batch: Batch) -> None:
        if not batch.entries and batch.view is None:
            self._core.on_synced(batch)
            return
        began = self._clock()
        try:
            self._disk.append(batch.entries, batch.view, began)
        except OSError as exc:
            log.error("disk refused a batch", extra={"reason": repr(exc)})
            self._core.on_sync_failed(batch)
            await anyio.sleep(REFUSED_PAUSE_S)
            return
        self._metrics.sync.observe(self._clock() - began)
        self._metrics.records.inc(len(batch.entries))
        self._core.on_synced(batch)

    async def give_back_space(self, now: float) -> bool:
        """Drop expired accounts, and the oldest segment if it is past its time.

        Accounts that still live and have records in it are written again, whole, and
        synced before the file goes.

        Returns
        -------
        bool
            True if a segment was removed.
        """
        ledger = self._core.ledger
        ledger.expire(now)
        oldest = self._disk.oldest()
        if oldest is None or now - oldest.started <= ledger.longest_retention_s():
            return False
        closed = self._disk.closed()
        batch = self._core.rewrite(oldest.programs)
        self.wake()
        while self._core.batches_synced < batch:
            await self._synced.wait()
        # They lie whole in a newer segment now: the other old ones need not move them
        # again.
        for segment in closed:
            if segment is not oldest:
                segment.programs -= oldest.programs
        self._disk.remove_oldest()
        return True
