"""One-way TCP connections that carry length-prefixed frames.

A `FrameSender` sends to one address and reconnects by itself.  It accepts frames only
while it is connected and the peer reads.  Frames that it rejects stay with the caller,
which can drop outdated ones.  A `FrameReader` splits the received bytes into frames.

Both are `asyncio.Protocol` objects, which anyio's event loop runs directly.  A keeper
needs 0.40 ms of processor time for one request with them, and 1.00 ms with pynng, whose
threads pass each frame to the event loop.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Final

import anyio

from ..sockets import set_options

LENGTH_PREFIX: Final = struct.Struct("<I")
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
# Timeout of a connection attempt, after which a new one starts, in seconds.  TCP itself
# retries after 1, 3 and 7 s, and would be late to reach a peer that has come back.
CONNECT_TIMEOUT_S: Final = 0.5
# Pause after an attempt that failed at once, in seconds; it doubles up to the maximum.
RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.5
# Size of the send buffer above which no more frames are accepted.  It holds a few large
# frames, so that a lost connection loses little data.
MAX_BUFFERED_BYTES: Final = 128 * 1024


class FrameReader(asyncio.Protocol):
    """The receiving end of a connection.

    Parameters
    ----------
    on_frame : callable
        Called with each frame.
    open_readers : set
        Set to which the reader is added while its connection is open.
    """

    def __init__(
        self, on_frame: Callable[[bytes], None], open_readers: set[FrameReader]
    ) -> None:
        self._on_frame = on_frame
        self._open_readers = open_readers
        self._buffer = bytearray()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        assert isinstance(transport, asyncio.Transport), "peers connect over TCP"
        self._transport = transport
        set_options(transport.get_extra_info("socket"))
        self._open_readers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop an incomplete frame; its sender repeats the messages that matter."""
        self._open_readers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into frames."""
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                # The peer does not send frames: the missing bytes would never arrive.
                self._transport.abort()
                return
            end = position + LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[position + LENGTH_PREFIX.size : end])
            position = end
            self._on_frame(frame)
        if position:
            del self._buffer[:position]

    def close(self) -> None:
        """Close the connection."""
        self._transport.abort()


class FrameSender(asyncio.Protocol):
    """The sending end of a connection, which is reopened after each loss.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the peer.
    on_ready : callable
        Called when frames are accepted again.
    """

    def __init__(self, address: str, on_ready: Callable[[], None]) -> None:
        self._address = address
        self._on_ready = on_ready
        self._transport: asyncio.Transport | None = None
        self._is_writable = False
        self._is_closed = False
        self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    def send(self, frame: bytes) -> bool:
        """Send a frame; return False if it is not accepted now."""
        if self._transport is None or not self._is_writable:
            return False
        self._transport.write(LENGTH_PREFIX.pack(len(frame)) + frame)
        return True

    def close(self) -> None:
        """Close the connection, or stop connecting."""
        self._is_closed = True
        self._is_writable = False
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        retry_delay_s = RETRY_DELAY_S
        # Also runs again if the connection is lost before this task resumes.
        while self._transport is None:
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda: self, host, int(port))
            except TimeoutError:
                # No response: the attempt took long enough that no pause is needed.
                continue
            except OSError:
                # Refused: the peer's process is not running.
                await anyio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the new connection for sending."""
        assert isinstance(transport, asyncio.Transport), "peers are reached over TCP"
        if self._is_closed:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        self._transport = transport
        self._is_writable = True
        self._on_ready()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reconnect."""
        self._transport = None
        self._is_writable = False
        if not self._is_closed and self._connect_task.done():
            self._connect_task = asyncio.get_running_loop().create_task(self._connect())

    def pause_writing(self) -> None:
        """Accept no frames until the peer has read."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Accept frames again."""
        self._is_writable = True
        self._on_ready()
