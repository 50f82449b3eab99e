"""Clocks that the standard library does not name."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Seconds of the clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
