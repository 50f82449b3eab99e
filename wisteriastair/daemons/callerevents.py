"""Events of a request that wait until its caller reads them."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from typing import Final

import anyio

from ..core.entry import CallerEvent, Done, OutputText, Refused
from ..scheduling.buffers import BufferBudget

# Objects of an event, besides its text.
EVENT_OVERHEAD_BYTES: Final = 256


class CallerEvents:
    """Queue of the events of one request, within the budget of the process.

    A caller that reads too slowly while others need the memory loses its events.  Its
    response then ends without a final event, and the caller can attach to the program
    again.

    Parameters
    ----------
    buffers : BufferBudget
        Budget of the process.
    """

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self._events: deque[CallerEvent] = deque()
        self._unread_bytes = 0
        self._is_cut = False
        self._changed = anyio.Event()
        self._account = buffers.open(
            is_caller=True, measure=lambda: self._unread_bytes, disconnect=self._cut
        )

    def put(self, event: CallerEvent) -> None:
        """Add an event."""
        if self._is_cut:
            return
        size = _event_bytes(event)
        self._events.append(event)
        self._unread_bytes += size
        self._changed.set()
        self._buffers.record_written(self._account, size, self._unread_bytes)

    async def get(self) -> CallerEvent | None:
        """Wait for the next event; None if the events have been dropped."""
        while not self._events:
            if self._is_cut:
                return None
            self._changed = anyio.Event()
            await self._changed.wait()
        event = self._events.popleft()
        self._unread_bytes -= _event_bytes(event)
        self._buffers.measure(self._account)
        return event

    async def until_final(self) -> AsyncIterator[CallerEvent]:
        """Yield events up to `Done` or `Refused`, or until they are dropped."""
        while (event := await self.get()) is not None:
            yield event
            if isinstance(event, Done | Refused):
                return

    def close(self) -> None:
        """Return what is held."""
        self._buffers.close(self._account)

    def _cut(self, reason: str) -> None:
        self._is_cut = True
        self._events.clear()
        self._unread_bytes = 0
        self._changed.set()


def _event_bytes(event: CallerEvent) -> int:
    text = ""
    if isinstance(event, OutputText):
        text = event.text
    elif isinstance(event, Done):
        text = event.outcome.answer
    return EVENT_OVERHEAD_BYTES + len(text)
