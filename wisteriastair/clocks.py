"""Clocks for which the `time` module has no function."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return the seconds since boot, including the time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def stamp_ms() -> int:
    """Return the boot clock in whole milliseconds, never 0."""
    return int(boot_clock() * 1000) or 1
