"""An event loop in virtual time: waiting advances the clock without delay."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio


class _VirtualSelector(selectors.SelectSelector):
    """Waits in virtual time; the only registered file is the pipe of the loop."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the time-out instead of waiting."""
        assert timeout is not None, "no timer is scheduled: the test cannot proceed"
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for tests without sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(scenario: Callable[[], Awaitable[None]]) -> None:
    anyio.run(scenario, backend_options={"loop_factory": VirtualLoop})


class LoopTime:
    """Replaces the module `time` in code that reads its clocks."""

    CLOCK_BOOTTIME = 7

    @staticmethod
    def monotonic() -> float:
        return asyncio.get_running_loop().time()

    @staticmethod
    def clock_gettime(clock: int) -> float:
        return asyncio.get_running_loop().time()
