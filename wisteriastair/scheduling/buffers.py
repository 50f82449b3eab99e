"""One byte budget for what a process holds for callers and servers.

Load pattern: callers and servers that read slowly, responses of many kilobytes, and
crowds of callers that do not finish their requests, on processes of 128 to 552 MB that
are killed above their memory limit.  Without a common bound, every connection has
buffers of its own, and their sum is not limited.

Every connection has an account.  Bytes of a request that has not arrived completely
are `arriving`.  Bytes that are needed to answer a request (complete requests, plain
responses) are `kept`; bytes that the other side has not read yet are `unsent`.  These
rules apply, from the mildest:

* If the sum is above the high-water mark, unfinished requests are dropped: those that
  stopped arriving first, then large ones, the latest first, so that some get through.
  Small ones that still arrive are dropped only above the budget.  Unfinished requests
  therefore never cause a refusal.
* If the rest is above the high-water mark, new requests, or only large ones, are
  refused until it is below the low-water mark.  Callers that have waited for some
  seconds for a server that sends nothing are disconnected then.
* A stream is read from its server while the caller's unsent data is within its share.
  Beyond it, reading pauses for at most a second, after which the caller is
  disconnected: servers abort responses that remain unread for some seconds.  The share
  is a part of what is free below the low-water mark, as in the dynamic thresholds of
  shared packet buffers (Choudhury and Hahne, 1998): one slow caller may use much of
  it, many have equal parts, and slow callers of streams do not fill the budget.
* Above the low-water mark, callers that have been above their share for a second or
  have read nothing for some seconds are disconnected, the largest first, until the sum
  is below the mark.  Otherwise a few large responses that nobody reads would stop the
  relay.
* The sum never stays above the budget: the caller with the most unsent data is
  disconnected, and without one, the connection that holds the most.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

# Memory of a relay without load: 35 to 48 MB.
RESTING_BYTES: Final = 48 * 1024 * 1024
# Part of the rest that buffers may use.  A body exists in up to two copies while it is
# sent, and freed blocks are not returned to the operating system at once.
BUDGET_FRACTION: Final = 0.4
# For memory limits near the size of a relay without load.
MIN_BUDGET_BYTES: Final = 4 * 1024 * 1024
# Requests under way at the high-water mark still need memory for their responses.
HIGH_FRACTION: Final = 0.7
# A distance of a fifth of the budget is several hundred requests of 17 kB on the
# smallest relay, so that the state does not change with every request.
LOW_FRACTION: Final = 0.5
# One slow caller gets a third of what is free, two get a quarter each.
SHARE_FACTOR: Final = 0.5
# Every caller may have this much unsent data whatever the others hold.
MIN_SHARE_BYTES: Final = 64 * 1024
# Time above the share, for a stream whose server waits and while the sum is above the
# low-water mark.  A link of 15 Mbit/s sends 1.9 MB in this time, so that a caller that
# reads at once is not disconnected.
OVER_SHARE_TIMEOUT_S: Final = 1.0
# Time without any progress while the sum is above the low-water mark.
STALL_TIMEOUT_S: Final = 5.0
# An unfinished request of which nothing has arrived for this time gives way first.
ARRIVAL_PAUSE_S: Final = 0.5
# Largest size of a request that is small, with its head.
SMALL_REQUEST_BYTES: Final = 64 * 1024
# Bytes held for each byte of a body while it is sent: the request, its copy for the
# server, and what the server has not read.
COPIES: Final = 3
# Part of the budget below which what is held does not count as load.
IDLE_FRACTION: Final = 0.1
# Reasons for which connections are closed.
UNFINISHED: Final = "unfinished"
WAITING: Final = "waiting"
CONNECTIONS: Final = "connections"
REASONS: Final = ("share", "stalled", "budget", UNFINISHED, WAITING, CONNECTIONS)


class BufferLimits(NamedTuple):
    """Limits of the sum in bytes."""

    budget_bytes: int
    high_bytes: int
    low_bytes: int


def make_buffer_limits(memory_bytes: int, cache_bytes: int) -> BufferLimits:
    """Compute the limits of a process.

    Parameters
    ----------
    memory_bytes : int
        Memory limit above which the process is killed.
    cache_bytes : int
        Maximum size of its caches.
    """
    free_bytes = memory_bytes - RESTING_BYTES - cache_bytes
    budget = max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_FRACTION))
    return BufferLimits(budget, int(budget * HIGH_FRACTION), int(budget * LOW_FRACTION))


class Account:
    """Bytes that are held for one connection.

    Parameters
    ----------
    is_caller : bool
        Whether the connection belongs to a caller.
    measure : callable
        Returns the number of unsent bytes.
    disconnect : callable
        Frees what is held; its argument is the reason.  For ``unfinished``, the
        unfinished request is rejected; otherwise the connection is closed at once.

    Attributes
    ----------
    arriving_bytes : int
        Bytes of a request that has not arrived completely.
    kept_bytes, unsent_bytes : int
        Bytes needed for requests, and bytes that the other side has not read.
    arriving_at, arrived_at : float
        When the unfinished request began, and when its latest data arrived.
    waiting_at : float or None
        Since when a request has waited for the first data of its response.
    is_open : bool
        False after the connection has ended; the account then holds nothing.
    """

    __slots__ = (
        "is_caller",
        "is_open",
        "arriving_bytes",
        "arriving_at",
        "arrived_at",
        "waiting_at",
        "kept_bytes",
        "unsent_bytes",
        "written_bytes",
        "taken_bytes",
        "progress_at",
        "over_share_at",
        "measure",
        "disconnect",
    )

    def __init__(
        self,
        is_caller: bool,
        measure: Callable[[], int],
        disconnect: Callable[[str], None],
    ) -> None:
        self.is_caller = is_caller
        self.is_open = True
        self.arriving_bytes = 0
        self.arriving_at = 0.0
        self.arrived_at = 0.0
        self.waiting_at: float | None = None
        self.kept_bytes = 0
        self.unsent_bytes = 0
        # Written since the start, and read by the other side at the last refresh.
        self.written_bytes = 0
        self.taken_bytes = 0
        self.progress_at: float | None = None
        self.over_share_at: float | None = None
        self.measure = measure
        self.disconnect = disconnect

    @property
    def held_bytes(self) -> int:
        """All bytes that are held for the connection."""
        return self.arriving_bytes + self.kept_bytes + self.unsent_bytes


class BufferBudget:
    """Accounts of all connections, and the decisions about their sum.

    Parameters
    ----------
    limits : BufferLimits
        Limits of the sum.
    refuses_small : bool
        Whether small requests are refused above the high-water mark, too.  Otherwise
        they are accepted, and the connections that hold the most give way.

    Attributes
    ----------
    held_bytes : int
        Sum of all accounts.
    arriving_bytes : int
        Part of it that belongs to unfinished requests.
    peak_bytes : int
        Largest sum since the start.
    is_refusing : bool
        Whether new large requests, or all new requests, are refused.
    refused_count : int
        Requests refused since the start.
    disconnected_counts : dict
        Connections closed and unfinished requests dropped since the start, by reason.
    """

    def __init__(self, limits: BufferLimits, *, refuses_small: bool = True) -> None:
        self.limits = limits
        self._refuses_small = refuses_small
        self.held_bytes = 0
        self.arriving_bytes = 0
        self.peak_bytes = 0
        self.is_refusing = False
        self.refused_count = 0
        self.disconnected_counts = dict.fromkeys(REASONS, 0)
        self._accounts: set[Account] = set()
        self._arriving: set[Account] = set()
        # Latest time that is known; decisions within a callback need no exact one.
        self._now = 0.0

    def open(
        self,
        *,
        is_caller: bool,
        measure: Callable[[], int],
        disconnect: Callable[[str], None],
    ) -> Account:
        """Open the account of a new connection."""
        account = Account(is_caller, measure, disconnect)
        self._accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Return everything that is held for a connection that has ended."""
        account.is_open = False
        account.waiting_at = None
        self._accounts.discard(account)
        self.drop_arriving(account)
        held_bytes = account.held_bytes
        account.kept_bytes = account.unsent_bytes = 0
        self._add(-held_bytes)

    def set_arriving(self, account: Account, size: int, now: float) -> None:
        """Set the bytes held for the unfinished request of a connection."""
        self._now = now
        if not account.is_open:
            return
        if account not in self._arriving:
            self._arriving.add(account)
            account.arriving_at = now
        account.arrived_at = now
        change = size - account.arriving_bytes
        account.arriving_bytes = size
        self.arriving_bytes += change
        self._add(change)

    def keep_arrived(self, account: Account, size: int) -> None:
        """Keep a request that has arrived completely."""
        self.drop_arriving(account)
        self.keep(account, size)

    def drop_arriving(self, account: Account) -> None:
        """Return the bytes held for an unfinished request."""
        self._arriving.discard(account)
        size = account.arriving_bytes
        if size:
            account.arriving_bytes = 0
            self.arriving_bytes -= size
            self._add(-size)

    def start_waiting(self, account: Account, now: float) -> None:
        """Note that a request waits for the first data of its response."""
        if account.is_open:
            account.waiting_at = now

    def keep(self, account: Account, size: int) -> None:
        """Add bytes that a request needs."""
        if account.is_open:
            account.kept_bytes += size
            self._add(size)

    def free(self, account: Account, size: int) -> None:
        """Return bytes that a request needed."""
        if account.is_open:
            size = min(size, account.kept_bytes)
            account.kept_bytes -= size
            self._add(-size)

    def record_written(self, account: Account, size: int, unsent_bytes: int) -> None:
        """Record data written to a connection.

        Parameters
        ----------
        unsent_bytes : int
            Bytes in the connection's send buffer now.
        """
        if not account.is_open:
            return
        account.written_bytes += size
        account.waiting_at = None
        if unsent_bytes != account.unsent_bytes:
            self._set_unsent(account, unsent_bytes)

    def is_within_share(self, account: Account) -> bool:
        """Whether more data may be written to a caller; true for a closed account."""
        unsent_bytes = account.unsent_bytes
        return unsent_bytes <= MIN_SHARE_BYTES or unsent_bytes <= self.share_bytes()

    def measure(self, account: Account) -> None:
        """Measure the send buffer of a connection again."""
        if account.is_open and account.unsent_bytes > 0:
            self._set_unsent(account, account.measure())

    def disconnect_slow(self, account: Account) -> None:
        """Disconnect a caller that has not come below its share in time."""
        if account.is_open:
            self._disconnect(account, "share")

    def disconnect(self, account: Account, reason: str) -> None:
        """Close a connection to make room for another one."""
        if account.is_open:
            self._disconnect(account, reason)

    def share_bytes(self) -> int:
        """Return how much unsent data a caller may have now."""
        free_bytes = self.limits.low_bytes - self.held_bytes
        return max(MIN_SHARE_BYTES, int(free_bytes * SHARE_FACTOR))

    def admits(self, size: int) -> bool:
        """Whether a request with a body of the given size is accepted.

        A refusal is counted.
        """
        is_small = size <= SMALL_REQUEST_BYTES
        is_refusing = self.is_refusing and (self._refuses_small or not is_small)
        if not is_refusing and self.has_room(size):
            return True
        self.refused_count += 1
        return False

    def has_room(self, size: int) -> bool:
        """Whether a body of the given size can be sent to a server.

        Unfinished requests give way.  A large body must leave room for small requests
        while it is sent, unless nothing else is held.
        """
        limits = self.limits
        committed_bytes = self.held_bytes - self.arriving_bytes
        if size <= SMALL_REQUEST_BYTES or committed_bytes <= self._idle_bytes:
            return committed_bytes + size <= limits.budget_bytes
        return committed_bytes + COPIES * size <= limits.high_bytes

    def refresh(self, now: float) -> None:
        """Measure send buffers again, and disconnect callers that do not read."""
        self._now = now
        self._measure_all()
        if self.is_refusing:
            self._disconnect_waiting(now)
        callers = [a for a in self._accounts if a.is_caller]
        for account in callers:
            self._update_progress(account, now)
        callers.sort(key=lambda account: account.unsent_bytes, reverse=True)
        for account in callers:
            if self.held_bytes < self.limits.low_bytes:
                return
            if _has_elapsed(account.over_share_at, now, OVER_SHARE_TIMEOUT_S):
                self._disconnect(account, "share")
            elif _has_elapsed(account.progress_at, now, STALL_TIMEOUT_S):
                self._disconnect(account, "stalled")

    def _disconnect_waiting(self, now: float) -> None:
        """Disconnect callers whose servers send nothing, the most expensive first."""
        waiting = [
            (account.held_bytes * (now - account.waiting_at), account)
            for account in self._accounts
            if _has_elapsed(account.waiting_at, now, STALL_TIMEOUT_S)
            and account.waiting_at is not None
        ]
        excess = self.held_bytes - self.arriving_bytes - self.limits.low_bytes
        for _, account in sorted(waiting, key=lambda item: item[0], reverse=True):
            if excess < 0:
                return
            # What is held for the server is returned when the request has ended.
            excess -= COPIES * account.held_bytes
            self._disconnect(account, WAITING)

    def _update_progress(self, account: Account, now: float) -> None:
        taken_bytes = account.written_bytes - account.unsent_bytes
        if account.unsent_bytes == 0:
            account.progress_at = None
        elif taken_bytes > account.taken_bytes or account.progress_at is None:
            account.progress_at = now
        account.taken_bytes = taken_bytes
        if account.unsent_bytes <= self.share_bytes():
            account.over_share_at = None
        elif account.over_share_at is None:
            account.over_share_at = now

    def _measure_all(self) -> None:
        for account in list(self._accounts):
            self.measure(account)

    def _set_unsent(self, account: Account, unsent_bytes: int) -> None:
        change = unsent_bytes - account.unsent_bytes
        account.unsent_bytes = unsent_bytes
        self._add(change)

    def _add(self, change: int) -> None:
        self.held_bytes += change
        if change > 0 and self.held_bytes > self.limits.high_bytes:
            self._drop_unfinished()
            if self.held_bytes > self.limits.budget_bytes:
                self._enforce_budget()
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        committed_bytes = self.held_bytes - self.arriving_bytes
        if committed_bytes > self.limits.high_bytes:
            self.is_refusing = True
        elif committed_bytes < self.limits.low_bytes:
            self.is_refusing = False

    def _drop_unfinished(self) -> None:
        """Drop unfinished requests until the sum is within its marks."""
        while self._arriving and self.held_bytes > self.limits.high_bytes:
            account = max(self._arriving, key=self._drop_order)
            rank, _ = self._drop_order(account)
            if rank < 0 and self.held_bytes <= self.limits.budget_bytes:
                return
            self.drop_arriving(account)
            self.disconnected_counts[UNFINISHED] += 1
            account.disconnect(UNFINISHED)

    def _drop_order(self, account: Account) -> tuple[int, float]:
        """Order unfinished requests: stopped ones, large ones, and all others.

        Stopped and small ones are ordered by the memory that they take and for how
        long, large ones by their start.
        """
        pause_s = self._now - account.arrived_at
        if pause_s >= ARRIVAL_PAUSE_S:
            return 1, account.arriving_bytes * pause_s
        if account.arriving_bytes > SMALL_REQUEST_BYTES:
            return 0, account.arriving_at
        age_s = self._now - account.arriving_at
        return -1, account.arriving_bytes * (age_s + ARRIVAL_PAUSE_S)

    @property
    def _idle_bytes(self) -> int:
        return int(self.limits.budget_bytes * IDLE_FRACTION)

    def _enforce_budget(self) -> None:
        for account in self._accounts:
            if account.unsent_bytes > 0:
                measured = account.measure()
                self.held_bytes += measured - account.unsent_bytes
                account.unsent_bytes = measured
        while self.held_bytes > self.limits.budget_bytes and self._accounts:
            self._disconnect(max(self._accounts, key=_eviction_order), "budget")

    def _disconnect(self, account: Account, reason: str) -> None:
        self.disconnected_counts[reason] += 1
        self.close(account)
        account.disconnect(reason)


def _eviction_order(account: Account) -> tuple[int, int]:
    """Order connections by what closing them saves, slow callers before all others."""
    slow_bytes = account.unsent_bytes if account.is_caller else 0
    return slow_bytes, account.held_bytes


def _has_elapsed(since: float | None, now: float, timeout_s: float) -> bool:
    return since is not None and now - since >= timeout_s
