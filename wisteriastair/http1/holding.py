"""What one caller's connection holds, as part of the byte budget of its process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import anyio

from ..scheduling.buffers import (
    OVER_SHARE_TIMEOUT_S,
    SMALL_REQUEST_BYTES,
    STALL_TIMEOUT_S,
    Account,
)
from .metering import ConnectionMeter

# Interval at which a caller above its share is measured while its server waits.
SHARE_POLL_S: Final = 0.02


class HeldBytes:
    """Reports what a connection holds; without a meter, nothing is limited.

    Parameters
    ----------
    meter : ConnectionMeter or None
        Budget that the connections share.
    """

    def __init__(self, meter: ConnectionMeter | None) -> None:
        self._meter = meter
        self._account: Account | None = None

    @property
    def has_share(self) -> bool:
        """Whether the caller's unsent data is limited by a share of the budget."""
        return self._meter is not None and self._meter.has_shares

    def open(
        self, transport: asyncio.Transport, disconnect: Callable[[str], None]
    ) -> None:
        """Open the account of a new connection."""
        if self._meter is not None:
            self._account = self._meter.buffers.open(
                is_caller=True,
                measure=transport.get_write_buffer_size,
                disconnect=disconnect,
            )

    def close(self) -> None:
        """Return everything that is held."""
        if self._meter is not None and self._account is not None:
            self._meter.buffers.close(self._account)

    def disconnect(self, reason: str) -> bool:
        """Close the connection for others; return whether it has an account."""
        if self._meter is None or self._account is None:
            return False
        self._meter.buffers.disconnect(self._account, reason)
        return True

    def record_received(self, size: int) -> None:
        """Count data for the use of the link."""
        if self._meter is not None:
            self._meter.traffic.received_bytes += size

    def admits(self, body_bytes: int) -> bool:
        """Whether a request with a body of the given size is accepted."""
        return self._meter is None or self._meter.buffers.admits(body_bytes)

    def record_arriving(self, size: int, now: float) -> bool:
        """Count an unfinished request; return False if it has become too large."""
        if self._meter is None or self._account is None:
            return True
        buffers = self._meter.buffers
        if size > SMALL_REQUEST_BYTES and not buffers.has_room(size):
            return False
        buffers.set_arriving(self._account, size, now)
        return True

    def keep_arrived(self, size: int) -> None:
        """Keep a request that has arrived completely."""
        if self._meter is not None and self._account is not None:
            self._meter.buffers.keep_arrived(self._account, size)

    def drop_arriving(self) -> None:
        """Return what is held of an unfinished request."""
        if self._meter is not None and self._account is not None:
            self._meter.buffers.drop_arriving(self._account)

    def free(self, size: int) -> None:
        """Return what was held for a request."""
        if self._meter is not None and self._account is not None:
            self._meter.buffers.free(self._account, size)

    def start_waiting(self, now: float) -> None:
        """Note that a request waits for the first data of its response."""
        if self._meter is not None and self._account is not None:
            self._meter.buffers.start_waiting(self._account, now)

    def stalled_since(self, now: float) -> float | None:
        """Return since when a request has waited, if that is some seconds."""
        waiting_at = None if self._account is None else self._account.waiting_at
        if waiting_at is None or now - waiting_at < STALL_TIMEOUT_S:
            return None
        return waiting_at

    def record_written(self, size: int, unsent_bytes: int) -> None:
        """Count data of a response."""
        if self._meter is not None and self._account is not None:
            self._meter.traffic.sent_bytes += size
            self._meter.buffers.record_written(self._account, size, unsent_bytes)

    def is_within_share(self) -> bool:
        """Whether more data may be written."""
        if self._meter is None or self._account is None:
            return True
        return self._meter.buffers.is_within_share(self._account)

    async def wait_within_share(self) -> None:
        """Wait until more data may be written.

        The caller is disconnected if that takes too long: a server whose response
        remains unread aborts it.
        """
        if self._meter is None or self._account is None:
            return
        buffers, account = self._meter.buffers, self._account
        with anyio.move_on_after(OVER_SHARE_TIMEOUT_S):
            while not buffers.is_within_share(account):
                await anyio.sleep(SHARE_POLL_S)
                buffers.measure(account)
            return
        buffers.disconnect_slow(account)
