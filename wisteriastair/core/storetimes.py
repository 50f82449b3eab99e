"""How long calls of the platform's store may take, and the pauses between them.

A call that is sent while the store is silent is never answered, also after the store is
back.  The process that sent it looks again only when the call's own time is over and
the pause after it too.  Both together are therefore kept within the time after which a
process that can reach the store again has to know what the store holds.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# What is left of that time for a new connection and for reading everything, in seconds.
READ_MARGIN_S: Final = 0.5
# Pause after a first failed call, and the longest one, in seconds.
BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 1.0
MAX_BACKOFF_FRACTION: Final = 0.4
# A slow store answers after some hundred milliseconds: a call gets this time at least
# and at most, in seconds.
MIN_CALL_S: Final = 1.0
MAX_CALL_S: Final = 2.5
# How much later than it was to wait a watch is answered at the most, in seconds.
WATCH_GRACE_S: Final = 0.8
MIN_WATCH_S: Final = 0.2
MAX_WATCH_S: Final = 2.0


class StoreTimes(NamedTuple):
    """Limits of calls and pauses, in seconds.

    Attributes
    ----------
    call_s : float
        How long any call but a watch may go unanswered.
    watch_s : float
        How long a watch waits when the call before it was answered.
    retry_watch_s : float
        How long a watch waits after a call that failed.
    slack_s : float
        How much later than it was to wait a watch is given up.
    pause_s, pause_max_s : float
        The pause after a first failed call; it doubles up to the second one.
    """

    call_s: float
    watch_s: float
    retry_watch_s: float
    slack_s: float
    pause_s: float
    pause_max_s: float


def make_store_times(contact_s: float) -> StoreTimes:
    """Derive the limits from the time that a process has to find the store again.

    Parameters
    ----------
    contact_s : float
        Seconds after the store's return within which a process must know what it holds.
    """
    budget_s = max(MIN_CALL_S, contact_s - READ_MARGIN_S)
    pause_max_s = min(MAX_BACKOFF_S, MAX_BACKOFF_FRACTION * budget_s)
    pause_s = min(BACKOFF_S, pause_max_s)
    call_s = budget_s - pause_max_s
    return StoreTimes(
        call_s=_clamp(call_s, MIN_CALL_S, MAX_CALL_S),
        watch_s=_watch_wait_s(budget_s - pause_s),
        retry_watch_s=_watch_wait_s(call_s),
        slack_s=WATCH_GRACE_S,
        pause_s=pause_s,
        pause_max_s=pause_max_s,
    )


def _watch_wait_s(limit_s: float) -> float:
    return _clamp(limit_s - WATCH_GRACE_S, MIN_WATCH_S, MAX_WATCH_S)


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))
