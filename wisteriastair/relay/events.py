"""Splitting a byte stream into server-sent events as it arrives.

Only complete events are forwarded: a server may fail in the middle of one, and a stream
that resumes on another server begins with the event after the last complete one.
"""

from __future__ import annotations

from typing import Final

EVENT_TERMINATORS: Final = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Splits bytes into events and optionally collects their data.

    Parameters
    ----------
    collect : bool
        Whether to collect the data of the events.

    Attributes
    ----------
    count : int
        Whole events so far.
    last_id : str
        Id of the last complete event.
    content : bytearray
        Collected data of the events, each followed by a line feed.
    partial : bytes
        Start of an event that is incomplete so far.
    """

    def __init__(self, *, collect: bool) -> None:
        self.count = 0
        self.last_id = ""
        self.content = bytearray()
        self.partial = b""
        self._collect = collect

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete, unchanged."""
        data = self.partial + data
        end = max(_end_of_last(data, terminator) for terminator in EVENT_TERMINATORS)
        self.partial = data[end:]
        complete_events = data[:end]
        for event in complete_events.replace(b"\r\n", b"\n").split(b"\n\n"):
            if event.strip(b"\n"):
                self._add_event(event)
        return complete_events

    def _add_event(self, event: bytes) -> None:
        self.count += 1
        lines: list[bytes] = []
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                self.last_id = value.decode("latin-1")
            elif name == b"data":
                lines.append(value)
        if self._collect:
            self.content += b"\n".join(lines) + b"\n"


def _end_of_last(data: bytes, terminator: bytes) -> int:
    position = data.rfind(terminator)
    return 0 if position < 0 else position + len(terminator)
