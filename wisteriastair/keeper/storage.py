"""Writing of batches to disk, one after another, and reclaiming of disk space.

A sync blocks the event loop.  Nearly all work of a keeper waits for a sync anyway, and
requests that arrive meanwhile queue in the sockets for the next batch, so one sync
covers many records under load.  With syncs on a worker thread a request took 0.40 ms of
processor time instead of 0.27 ms, and its reply 2.7 ms instead of 2.0 ms (medians,
``python -m tests.keeper.bench``).  If the disk hangs, the keeper stops sending
heartbeats and is removed from the view like any lost member.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator
from typing import Final

import anyio

from ..core.keeper import ENTRY_OVERHEAD_BYTES, Batch, KeeperCore
from ..nodemetrics import KeeperMetrics
from .log import Log

# Delay before the next batch after a failed write.
WRITE_RETRY_S: Final = 0.3
# Bytes of records that are written again at a time.  While they are, they are in memory
# several times.
REWRITE_BYTES: Final = 1024 * 1024

log = logging.getLogger(__name__)


class Storage:
    """Writes the batches of a `KeeperCore` to disk.

    Parameters
    ----------
    ledger_log : Log
        The loaded log.
    core : KeeperCore
        Source of the batches, notified once they are synced.
    metrics : KeeperMetrics
        Receives the number of records and the duration of syncs.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        ledger_log: Log,
        core: KeeperCore,
        metrics: KeeperMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = ledger_log
        self._core = core
        self._metrics = metrics
        self._clock = clock
        self._batch_available = anyio.Event()
        self._batch_synced = anyio.Event()

    def wake(self) -> None:
        """Notify the writer that a batch may be available."""
        self._batch_available.set()

    async def run(self, send: Callable[[], None]) -> None:
        """Write batches until cancelled; ``send`` sends the replies of a batch."""
        while True:
            batch = self._core.next_batch()
            if batch is None:
                self._batch_available = anyio.Event()
                await self._batch_available.wait()
                continue
            await self._sync(batch)
            self._batch_synced.set()
            self._batch_synced = anyio.Event()
            send()

    async def _sync(self, batch: Batch) -> None:
        if not batch.entries and batch.view is None:
            self._core.on_synced(batch)
            return
        started_at = self._clock()
        try:
            self._log.append(batch.entries, batch.view, started_at)
        except OSError as exc:
            log.error("disk refused a batch", extra={"reason": repr(exc)})
            self._core.on_sync_failed(batch)
            await anyio.sleep(WRITE_RETRY_S)
            return
        self._metrics.sync_duration.observe(self._clock() - started_at)
        self._metrics.records_written.inc(len(batch.entries))
        self._core.on_synced(batch)

    async def reclaim_space(self, now: float) -> bool:
        """Remove expired accounts, and the oldest segment if it is past its retention.

        Live accounts with records in it are written again, complete, and synced before
        the file is removed.

        Returns
        -------
        bool
            True if a segment was removed.
        """
        ledger = self._core.ledger
        self._core.expire_accounts(now)
        oldest_segment = self._log.oldest_segment()
        if (
            oldest_segment is None
            or now - oldest_segment.opened_at <= ledger.longest_retention_s()
        ):
            return False
        closed_segments = self._log.closed_segments()
        for programs in self._split(oldest_segment.programs):
            batch = self._core.rewrite_accounts(programs)
            self.wake()
            while self._core.batches_synced < batch:
                await self._batch_synced.wait()
        # A newer segment now holds these accounts complete, so that the removal of the
        # other closed segments need not write them again.
        for segment in closed_segments:
            if segment is not oldest_segment:
                segment.programs -= oldest_segment.programs
        self._log.remove_oldest()
        return True

    def _split(self, programs: set[str]) -> Iterator[set[str]]:
        """Split programs so that the turns of each part have about the same size."""
        part: set[str] = set()
        size = 0
        for program in programs:
            account = self._core.ledger.accounts.get(program)
            part.add(program)
            size += ENTRY_OVERHEAD_BYTES + (account.turn_bytes() if account else 0)
            if size >= REWRITE_BYTES:
                yield part
                part, size = set(), 0
        yield part
