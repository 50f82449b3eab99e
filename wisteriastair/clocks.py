"""Clocks for which the `time` module has no function."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return the seconds since boot, including the time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
