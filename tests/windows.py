"""Counting over sliding windows, as quotas are judged."""

from __future__ import annotations


def max_in_a_window(times: list[float], window_s: float) -> int:
    """Return the most of some times in any span of one window."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while ordered[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
