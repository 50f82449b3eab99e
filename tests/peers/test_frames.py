"""Frames over real sockets: cut as sent, connections made again, nothing stale."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import anyio

from tests.peers.test_transport import Inbox, transport, wait_for
from wisteriastair.core.wire import DocPull
from wisteriastair.peers.frames import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    FrameReader,
    FrameSender,
)
from wisteriastair.peers.transport import MAX_QUEUE_AGE_S
from wisteriastair.standins.deployment import free_address

LIMIT_S = 10.0


def play(story: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        with anyio.fail_after(LIMIT_S):
            await story()

    anyio.run(main)


async def listen(
    address: str, frames: list[bytes]
) -> tuple[asyncio.Server, set[FrameReader]]:
    host, _, port = address.rpartition(":")
    readers: set[FrameReader] = set()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: FrameReader(frames.append, readers), host, int(port)
    )
    return server, readers


def test_frames_are_cut_as_they_were_sent() -> None:
    """Frames arrive in pieces, several at once, or empty."""
    sent = [b"one", b"", b"x" * 300_000, b"last"]
    data = b"".join(LENGTH_PREFIX.pack(len(frame)) + frame for frame in sent)

    async def story() -> None:
        frames: list[bytes] = []
        address = free_address()
        server, _ = await listen(address, frames)
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        for start in range(0, len(data), 7_001):
            writer.write(data[start : start + 7_001])
            await writer.drain()
        await wait_for(lambda: len(frames) == len(sent))
        assert frames == sent
        writer.close()
        server.close()

    play(story)


def test_a_length_that_cannot_be_ends_the_connection() -> None:
    """Something that does not speak frames connects to the port.

    Its first bytes, read as a length, would make the process wait for gigabytes.
    """

    async def story() -> None:
        frames: list[bytes] = []
        address = free_address()
        server, _ = await listen(address, frames)
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1) + b"rest")
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        assert frames == []
        writer.close()
        server.close()

    play(story)


def test_an_outlet_connects_again_after_its_peer_has_restarted() -> None:
    """The peer dies and another process listens at its address a moment later."""

    async def story() -> None:
        address = free_address()
        before: list[bytes] = []
        after: list[bytes] = []
        outlet = FrameSender(address, lambda: None)
        assert not outlet.send(b"nobody listens yet")
        server, readers = await listen(address, before)
        await wait_for(lambda: outlet.send(b"first"))
        await wait_for(lambda: before == [b"first"])
        server.close()
        for reader in list(readers):
            reader.close()
        await anyio.sleep(0.2)
        assert not outlet.send(b"nobody listens any more")
        server, _ = await listen(address, after)
        await wait_for(lambda: outlet.send(b"second"))
        await wait_for(lambda: after == [b"second"])
        outlet.close()
        assert not outlet.send(b"closed")
        server.close()

    play(story)


def test_what_waited_long_for_a_connection_is_not_sent() -> None:
    """A peer is away for seconds and comes back.

    What was meant for it then has been repeated or given up since.  Sent now, it would
    fill the link of the peer, and the messages of the moment would come late.
    """

    async def story() -> None:
        inbox = Inbox()
        address = free_address()
        sender = transport(f"{free_address()}#1", Inbox())
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run)
            sender.send(address, DocPull({"old": 1}))
            await anyio.sleep(MAX_QUEUE_AGE_S + 0.3)
            receiver = transport(f"{address}#1", inbox)
            group.start_soon(receiver.run)

            def send_until_heard() -> bool:
                sender.send(address, DocPull({"new": 1}))
                return bool(inbox.messages)

            await wait_for(send_until_heard)
            group.cancel_scope.cancel()
        assert DocPull({"old": 1}) not in inbox.messages

    play(story)
