"""Timeouts of calls to the platform's store, and the retry backoff.

A call sent while the store is unreachable is never answered, even after the store is
back. The process retries only after the call's timeout and the backoff. The sum of both
is therefore kept below the time within which a process that can reach the store again
must have read it.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# Part of the contact time that is left for a new connection and for reading everything,
# in seconds.
READ_MARGIN_S: Final = 0.5
# Backoff after a first failed call and its maximum, in seconds. The maximum is also
# limited to a fraction of the contact time without the margin.
BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 1.0
MAX_BACKOFF_FRACTION: Final = 0.4
# Bounds of a call's timeout, in seconds. A slow store answers after some hundred
# milliseconds.
MIN_CALL_S: Final = 1.0
MAX_CALL_S: Final = 2.5
# Time after the end of its wait within which a watch must be answered, and the bounds
# of the wait, in seconds.
WATCH_GRACE_S: Final = 0.8
MIN_WATCH_S: Final = 0.2
MAX_WATCH_S: Final = 2.0


class StoreTimeouts(NamedTuple):
    """Timeouts, waits and backoff in seconds.

    Attributes
    ----------
    call_timeout_s : float
        Timeout of any call except a watch.
    watch_wait_s : float
        Wait of a watch after a successful call.
    retry_watch_wait_s : float
        Wait of a watch after a failed call.
    watch_grace_s : float
        Time after its wait at which a watch times out.
    backoff_s, max_backoff_s : float
        Backoff after a first failed call; it doubles up to the maximum.
    """

    call_timeout_s: float
    watch_wait_s: float
    retry_watch_wait_s: float
    watch_grace_s: float
    backoff_s: float
    max_backoff_s: float


def make_store_timeouts(contact_s: float) -> StoreTimeouts:
    """Derive the timeouts from the contact time.

    Parameters
    ----------
    contact_s : float
        Seconds after the store's return within which a process must have read it.
    """
    budget_s = max(MIN_CALL_S, contact_s - READ_MARGIN_S)
    max_backoff_s = min(MAX_BACKOFF_S, MAX_BACKOFF_FRACTION * budget_s)
    backoff_s = min(BACKOFF_S, max_backoff_s)
    call_timeout_s = budget_s - max_backoff_s
    return StoreTimeouts(
        call_timeout_s=_clamp(call_timeout_s, MIN_CALL_S, MAX_CALL_S),
        watch_wait_s=_watch_wait_s(budget_s - backoff_s),
        retry_watch_wait_s=_watch_wait_s(call_timeout_s),
        watch_grace_s=WATCH_GRACE_S,
        backoff_s=backoff_s,
        max_backoff_s=max_backoff_s,
    )


def _watch_wait_s(limit_s: float) -> float:
    return _clamp(limit_s - WATCH_GRACE_S, MIN_WATCH_S, MAX_WATCH_S)


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))
