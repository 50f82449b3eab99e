"""Frames over real sockets: framing, reconnecting, and dropping outdated messages."""

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


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        with anyio.fail_after(LIMIT_S):
            await scenario()

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


def test_frames_arrive_as_they_were_sent() -> None:
    """Frames arrive in pieces, several at once, or empty."""
    sent = [b"one", b"", b"x" * 300_000, b"last"]
    data = b"".join(LENGTH_PREFIX.pack(len(frame)) + frame for frame in sent)

    async def scenario() -> None:
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

    run_scenario(scenario)


def test_an_excessive_length_closes_the_connection() -> None:
    """A client that does not send frames connects to the port.

    Its first bytes, decoded as a length, would make the process wait for gigabytes.
    """

    async def scenario() -> None:
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

    run_scenario(scenario)


def test_a_sender_reconnects_after_its_peer_has_restarted() -> None:
    """The peer ends, and shortly afterwards another process listens at its address."""

    async def scenario() -> None:
        address = free_address()
        before: list[bytes] = []
        after: list[bytes] = []
        frame_sender = FrameSender(address, lambda: None)
        assert not frame_sender.send(b"nobody listens yet")
        server, readers = await listen(address, before)
        await wait_for(lambda: frame_sender.send(b"first"))
        await wait_for(lambda: before == [b"first"])
        server.close()
        for reader in list(readers):
            reader.close()
        await anyio.sleep(0.2)
        assert not frame_sender.send(b"nobody listens any more")
        server, _ = await listen(address, after)
        await wait_for(lambda: frame_sender.send(b"second"))
        await wait_for(lambda: after == [b"second"])
        frame_sender.close()
        assert not frame_sender.send(b"closed")
        server.close()

    run_scenario(scenario)


def test_outdated_messages_are_not_sent() -> None:
    """A peer is unreachable for seconds and comes back.

    Senders have repeated the queued messages or given up meanwhile.  Sending them would
    delay the current messages.
    """

    async def scenario() -> None:
        inbox = Inbox()
        address = free_address()
        sender = transport(f"{free_address()}#1", Inbox())
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run)
            sender.send(address, DocPull({"old": 1}))
            await anyio.sleep(MAX_QUEUE_AGE_S + 0.3)
            receiver = transport(f"{address}#1", inbox)
            group.start_soon(receiver.run)

            def send_and_check() -> bool:
                sender.send(address, DocPull({"new": 1}))
                return bool(inbox.messages)

            await wait_for(send_and_check)
            group.cancel_scope.cancel()
        assert DocPull({"old": 1}) not in inbox.messages

    run_scenario(scenario)
