"""Counts in sliding windows, with which quotas are checked."""

from __future__ import annotations


def max_in_a_window(times: list[float], window_s: float) -> int:
    """Return the maximum number of times in any window of a given length."""
    ordered = sorted(times)
    max_count = first_index = 0
    for last_index, time in enumerate(ordered):
        while ordered[first_index] < time - window_s:
            first_index += 1
        max_count = max(max_count, last_index - first_index + 1)
    return max_count
