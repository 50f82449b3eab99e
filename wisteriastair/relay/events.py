"""Splitting a byte stream into server-sent events as it arrives.

Only complete events are forwarded: a server may fail in the middle of one, and a stream
that resumes on another server begins with the event after the last complete one.
"""

from __future__ import annotations

import re
from typing import Final

EVENT_TERMINATORS: Final = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES: Final = max(map(len, EVENT_TERMINATORS))
EMPTY_LINES: Final = re.compile(rb"(?:\r?\n){2,}")
# Maximum number of bytes until an event is complete, with comments before it.
MAX_EVENT_BYTES: Final = 256 * 1024


class EventSplitter:
    """Splits bytes into events and optionally collects their data.

    Parameters
    ----------
    collect : bool
        Whether to collect the data of the events.
    max_count : int
        Maximum number of events; 0 for no limit.

    Attributes
    ----------
    count : int
        Whole events so far; comments, which keep connections open, are not events.
    last_id : str
        Id of the last complete event.
    content : bytearray
        Collected data of the events, each followed by a line feed.
    partial : bytearray
        Start of an event that is incomplete so far.
    waiting_bytes : int
        Bytes since the last call that completed an event.
    has_too_many : bool
        Whether there were more events than the maximum.
    """

    def __init__(self, *, collect: bool, max_count: int = 0) -> None:
        self.count = 0
        self.last_id = ""
        self.content = bytearray()
        self.partial = bytearray()
        self.waiting_bytes = 0
        self.has_too_many = False
        self._collect = collect
        self._max_count = max_count

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete, unchanged.

        Events above the maximum are dropped, with all that follows them.
        """
        if self.has_too_many:
            return b""
        self.waiting_bytes += len(data)
        # Servers mostly write whole events.
        if self.partial or not data.endswith(b"\n\n"):
            data = self._take_complete(data)
        if b"\r" in data:
            return self._add_mixed_events(data)
        position = 0
        for event in data.split(b"\n\n"):
            if event and not self._add_event(event):
                return self._drop_rest(data[:position])
            position += len(event) + 2
        return data

    def _take_complete(self, data: bytes) -> bytes:
        """Add bytes to the incomplete event; remove and return complete events."""
        # The rest of the incomplete event has been searched before.
        start = max(0, len(self.partial) - MAX_TERMINATOR_BYTES + 1)
        self.partial += data
        end = max(
            _end_of_last(self.partial, terminator, start)
            for terminator in EVENT_TERMINATORS
        )
        if end == 0:
            return b""
        complete_events = bytes(self.partial[:end])
        del self.partial[:end]
        return complete_events

    def _add_mixed_events(self, data: bytes) -> bytes:
        """Add events whose lines may end with a carriage return and a line feed."""
        position = 0
        for match in EMPTY_LINES.finditer(data):
            event = data[position : match.start()].replace(b"\r\n", b"\n")
            if event and not self._add_event(event):
                return self._drop_rest(data[:position])
            position = match.end()
        return data

    def _drop_rest(self, kept: bytes) -> bytes:
        self.has_too_many = True
        self.partial.clear()
        return kept

    def _add_event(self, event: bytes) -> bool:
        """Add an event; return False if there are too many."""
        last_id = self.last_id
        has_fields = False
        lines: list[bytes] = []
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if not name:
                # An empty line, or a comment.
                continue
            has_fields = True
            value = value.removeprefix(b" ")
            if name == b"id":
                last_id = value.decode("latin-1")
            elif name == b"data":
                lines.append(value)
        if not has_fields:
            return True
        if self._max_count and self.count >= self._max_count:
            return False
        self.count += 1
        self.last_id = last_id
        self.waiting_bytes = 0
        if self._collect:
            self.content += b"\n".join(lines) + b"\n"
        return True


def _end_of_last(data: bytearray, terminator: bytes, start: int) -> int:
    position = data.rfind(terminator, start)
    return 0 if position < 0 else position + len(terminator)
