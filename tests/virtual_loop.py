"""An event loop whose time passes at once: seconds of waiting take no time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio


class _Selector(selectors.SelectSelector):
    """Waits in virtual time; what it watches is the loop's own pipe alone."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by a time-out instead of waiting for it."""
        assert timeout is not None, "nothing left to wait for: the test is stuck"
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for tests without sockets."""

    def __init__(self) -> None:
        self._clock = _Selector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._clock.now


def play_in_virtual_time(story: Callable[[], Awaitable[None]]) -> None:
    anyio.run(story, backend_options={"loop_factory": VirtualLoop})


class LoopTime:
    """Stands in for the module `time` in code that reads its clocks."""

    CLOCK_BOOTTIME = 7

    @staticmethod
    def monotonic() -> float:
        return asyncio.get_running_loop().time()

    @staticmethod
    def clock_gettime(clock: int) -> float:
        return asyncio.get_running_loop().time()
