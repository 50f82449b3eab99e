"""One-way TCP connections that carry frames of bytes, each behind its length.

An `Outlet` sends to one address.  It connects by itself, again and again, and takes
frames only while it is connected and the other end reads: what cannot be sent stays
with the caller, who knows what has become stale.  A `FrameReader` cuts what arrives
into frames.

Both are `asyncio.Protocol` objects, which run on anyio's loop as they are.  Processor
time of a keeper for one request, by ``python -m tests.keeper.bench``: 1.00 ms with
pynng, whose library hands each frame from its own threads to the loop; 0.40 ms here.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Final

import anyio

from ..sockets import set_options

LENGTH: Final = struct.Struct("<I")
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
# A connection that is not made in this time is tried anew, in seconds.  TCP by itself
# would wait 1, 3 and 7 s between its attempts and reach a peer late that is back.
CONNECT_S: Final = 0.5
# Pause after an attempt that failed at once, in seconds; it doubles up to the most.
RETRY_S: Final = 0.05
RETRY_MOST_S: Final = 0.5
# Bytes on their way to the kernel over which no more frames are taken: a few large
# frames, so that little is lost with a connection.
WRITE_BUFFER_BYTES: Final = 128 * 1024


class FrameReader(asyncio.Protocol):
    """The receiving end of a connection.

    Parameters
    ----------
    take : callable
        Takes each frame.
    open_readers : set
        Where the reader lists itself while its connection is open.
    """

    def __init__(
        self, take: Callable[[bytes], None], open_readers: set[FrameReader]
    ) -> None:
        self._take = take
        self._open = open_readers
        self._buffer = bytearray()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        assert isinstance(transport, asyncio.Transport), "peers connect over TCP"
        self._transport = transport
        set_options(transport.get_extra_info("socket"))
        self._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the beginning of a frame; its sender repeats what matters."""
        self._open.discard(self)

    def data_received(self, data: bytes) -> None:
        """Cut bytes into frames."""
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                # Not one of ours: reading on would wait for bytes that never come.
                self._transport.abort()
                return
            end = position + LENGTH.size + length
            if len(self._buffer) < end:
                break
            frame = bytes(self._buffer[position + LENGTH.size : end])
            position = end
            self._take(frame)
        if position:
            del self._buffer[:position]

    def close(self) -> None:
        """Close the connection."""
        self._transport.abort()


class Outlet(asyncio.Protocol):
    """The sending end: one connection to an address at a time.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the peer.
    on_ready : callable
        Told when frames are taken again after they were not.
    """

    def __init__(self, address: str, on_ready: Callable[[], None]) -> None:
        self._address = address
        self._on_ready = on_ready
        self._transport: asyncio.Transport | None = None
        self._writable = False
        self._closed = False
        self._dialling = asyncio.get_running_loop().create_task(self._dial())

    def send(self, frame: bytes) -> bool:
        """Send a frame; False if it is not taken now."""
        if self._transport is None or not self._writable:
            return False
        self._transport.write(LENGTH.pack(len(frame)) + frame)
        return True

    def close(self) -> None:
        """Close the connection, or stop trying to make one."""
        self._closed = True
        self._writable = False
        self._dialling.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _dial(self) -> None:
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        pause_s = RETRY_S
        # Also true again if the connection is lost before this task has noticed it.
        while self._transport is None:
            try:
                with anyio.fail_after(CONNECT_S):
                    await loop.create_connection(lambda: self, host, int(port))
            except TimeoutError:
                # Nobody answers: each attempt has waited long enough by itself.
                continue
            except OSError:
                # Refused: the peer's process is not there yet, or not any more.
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_MOST_S, pause_s * 2)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        assert isinstance(transport, asyncio.Transport), "peers are reached over TCP"
        if self._closed:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._transport = transport
        self._writable = True
        self._on_ready()

    def connection_lost(self, exc: Exception | None) -> None:
        """Connect again."""
        self._transport = None
        self._writable = False
        if not self._closed and self._dialling.done():
            self._dialling = asyncio.get_running_loop().create_task(self._dial())

    def pause_writing(self) -> None:
        """Take no more frames until the peer has read."""
        self._writable = False

    def resume_writing(self) -> None:
        """Take frames again."""
        self._writable = True
        self._on_ready()
