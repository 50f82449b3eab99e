"""How long calls of the platform's store may take, and the pauses between them.

A call that is sent while the store is silent is never answered, also after the store is
back.  The process that sent it looks again only when the call's own time is over and
the pause after it too.  Both together are therefore kept within the time after which a
process that can reach the store again has to know what the store holds.
"""

from __future__ import annotations

from typing import Final, NamedTuple

# What is left of that time for a new connection and for reading everything, in seconds.
MARGIN_S: Final = 0.5
# Pause after a first failed call, and the longest one, in seconds.
PAUSE_S: Final = 0.25
PAUSE_MAX_S: Final = 1.0
PAUSE_SHARE: Final = 0.4
# A slow store answers after some hundred milliseconds: a call gets this time at least
# and at most, in seconds.
LEAST_CALL_S: Final = 1.0
MOST_CALL_S: Final = 2.5
# How much later than it was to wait a watch is answered at the most, in seconds.
SLACK_S: Final = 0.8
LEAST_WATCH_S: Final = 0.2
MOST_WATCH_S: Final = 2.0


class StoreTimeouts(NamedTuple):
    """Limits of calls and pauses, in seconds.

    Attributes
    ----------
    call_timeout_s : float
        How long any call but a watch may go unanswered.
    watch_wait_s : float
        How long a watch waits when the call before it was answered.
    retry_watch_wait_s : float
        How long a watch waits after a call that failed.
    watch_grace_s : float
        How much later than it was to wait a watch is given up.
    backoff_s, max_backoff_s : float
        The pause after a first failed call; it doubles up to the second one.
    """

    call_timeout_s: float
    watch_wait_s: float
    retry_watch_wait_s: float
    watch_grace_s: float
    backoff_s: float
    max_backoff_s: float


def make_store_timeouts(contact_s: float) -> StoreTimeouts:
    """Derive the limits from the time that a process has to find the store again.

    Parameters
    ----------
    contact_s : float
        Seconds after the store's return within which a process must know what it holds.
    """
    patience_s = max(LEAST_CALL_S, contact_s - MARGIN_S)
    max_backoff_s = min(PAUSE_MAX_S, PAUSE_SHARE * patience_s)
    backoff_s = min(PAUSE_S, max_backoff_s)
    call_timeout_s = patience_s - max_backoff_s
    return StoreTimeouts(
        call_timeout_s=_within(call_timeout_s, LEAST_CALL_S, MOST_CALL_S),
        watch_wait_s=_watch(patience_s - backoff_s),
        retry_watch_wait_s=_watch(call_timeout_s),
        watch_grace_s=SLACK_S,
        backoff_s=backoff_s,
        max_backoff_s=max_backoff_s,
    )


def _watch(limit_s: float) -> float:
    return _within(limit_s - SLACK_S, LEAST_WATCH_S, MOST_WATCH_S)


def _within(value: float, least: float, most: float) -> float:
    return max(least, min(most, value))
