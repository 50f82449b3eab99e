"""The byte budget of a process: its size, its upkeep, and a log of what it closed."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

import anyio

from ..scheduling.buffers import BufferBudget, make_buffer_limits
from ..scheduling.relay_load import Traffic
from .metering import ConnectionMeter

# Send buffers are measured again this often.  A caller that reads is thus counted with
# what it held up to this time ago.
REFRESH_INTERVAL_S: Final = 0.25
# Closed connections and changes of state are logged together at most this often.
LOG_INTERVAL_S: Final = 1.0

log = logging.getLogger(__name__)


def make_meter(memory_bytes: int, cache_bytes: int) -> ConnectionMeter:
    """Make the budget of a process whose streams wait for slow callers.

    Parameters
    ----------
    memory_bytes : int
        Memory limit of the process.
    cache_bytes : int
        Maximum size of the caches of the process.
    """
    limits = make_buffer_limits(memory_bytes, cache_bytes)
    buffers = BufferBudget(limits, refuses_small=False)
    return ConnectionMeter(buffers, Traffic(), has_shares=False)


class BufferMonitor:
    """Refreshes a budget and logs its decisions.

    Parameters
    ----------
    buffers : BufferBudget
        Budget of the process.
    """

    def __init__(self, buffers: BufferBudget) -> None:
        self.buffers = buffers
        self._logged_at = 0.0
        self._logged_counts = dict(buffers.disconnected_counts)
        self._logged_refused = 0

    async def run(self) -> None:
        """Refresh the budget until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S)
            self.refresh(loop.time())

    def refresh(self, now: float) -> None:
        """Disconnect callers that have held too much for too long."""
        self.buffers.refresh(now)
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log_changes(now)

    def _log_changes(self, now: float) -> None:
        counts = dict(self.buffers.disconnected_counts)
        refused = self.buffers.refused_count
        if counts == self._logged_counts and refused == self._logged_refused:
            return
        changes = {
            reason: count - self._logged_counts[reason]
            for reason, count in counts.items()
        }
        log.warning(
            "connections closed to free buffers",
            extra={
                "held_bytes": self.buffers.held_bytes,
                "arriving_bytes": self.buffers.arriving_bytes,
                "limit_bytes": self.buffers.limits.budget_bytes,
                "refused": refused - self._logged_refused,
                **changes,
            },
        )
        self._logged_at = now
        self._logged_counts = counts
        self._logged_refused = refused
