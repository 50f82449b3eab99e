"""Reading from connections in small parts, and limits for what is not a body.

A peer can send a head, the framing of a body or its trailers without end, and a parser
keeps what it has read of an incomplete header.  The bytes that are not body data are
therefore limited.  Each iteration of the event loop reads little from a connection, so
that a peer that sends as fast as it can delays no other one.
"""

from __future__ import annotations

import asyncio
from typing import Final

# Maximum number of bytes that one iteration of the event loop reads of a connection.
READ_BYTES: Final = 8 * 1024
# Framing that is allowed for each byte of a body, besides the head.  A chunk of one
# byte has at least five.
FRAMING_PER_BODY_BYTE: Final = 8


class SmallReadsProtocol(asyncio.BufferedProtocol):
    """Protocol that passes received data on in small parts.

    All connections share one buffer: what has been received is parsed before the next
    connection is read.
    """

    _buffer = bytearray(READ_BYTES)
    _view = memoryview(_buffer)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what has been read."""
        self.data_received(self._view[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received data, which is valid during this call only."""
        raise NotImplementedError


class FramingLimit:
    """Counts what a peer sends besides the body of a message.

    Attributes
    ----------
    received_bytes : int
        All bytes received of the message.
    body_bytes : int
        Those that are body data.
    """

    __slots__ = ("received_bytes", "body_bytes")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Start a new message."""
        self.received_bytes = 0
        self.body_bytes = 0

    def is_exceeded(self, max_head_bytes: int) -> bool:
        """Whether there is more framing than the head and the body account for."""
        framing_bytes = self.received_bytes - self.body_bytes
        allowed_bytes = max_head_bytes + FRAMING_PER_BODY_BYTE * self.body_bytes
        return framing_bytes > allowed_bytes
