"""The events of a stream, cut out of the bytes as they arrive.

Only whole events are passed on: a server may stop in the middle of one, and a stream
that goes on elsewhere then begins with the event after the last whole one.
"""

from __future__ import annotations

from typing import Final

ENDS: Final = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Cuts bytes into events and keeps their data.

    Attributes
    ----------
    count : int
        Whole events so far.
    last_id : str
        Id of the last whole event.
    content : bytearray
        Data of each event followed by a line feed, if kept.
    rest : bytes
        Beginning of an event that is not whole.
    """

    def __init__(self, *, keep: bool) -> None:
        self.count = 0
        self.last_id = ""
        self.content = bytearray()
        self.rest = b""
        self._keep = keep

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return the whole events among them, unchanged."""
        data = self.rest + data
        end = max(_end_after(data, mark) for mark in ENDS)
        self.rest = data[end:]
        whole = data[:end]
        for event in whole.replace(b"\r\n", b"\n").split(b"\n\n"):
            if event.strip(b"\n"):
                self._take(event)
        return whole

    def _take(self, event: bytes) -> None:
        self.count += 1
        lines: list[bytes] = []
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                self.last_id = value.decode("latin-1")
            elif name == b"data":
                lines.append(value)
        if self._keep:
            self.content += b"\n".join(lines) + b"\n"


def _end_after(data: bytes, mark: bytes) -> int:
    position = data.rfind(mark)
    return 0 if position < 0 else position + len(mark)
