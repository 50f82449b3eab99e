"""Transport of messages between the system's processes, over one-way connections.

Each process listens, and connects to every peer to which it sends.  A frame carries all
messages that are queued for a peer, which keeps the cost per message low under load.

A connection can become half-open while new connections work, for example because a
middlebox has dropped its state.  Frames therefore have a sequence number and
acknowledge the newest number received from the peer.  If a frame is not acknowledged in
time, the sender replaces its connection.  The transport does not retransmit: the state
machines that use it repeat the messages that matter, and recognise duplicates.
Messages that could not be sent for some time are dropped, so that a peer that returns
is not flooded with outdated messages.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Final, Generic, NamedTuple, TypeVar

import anyio
import msgspec

from ..core.hashing import address_of
from ..decoding import DECODE_ERRORS
from .frames import FrameReader, FrameSender

ACK_TIMEOUT_S: Final = 1.5
MAX_ACK_TIMEOUT_S: Final = 6.0
# Longer than the heartbeat interval, since heartbeats carry acknowledgements anyway.
ACK_DELAY_S: Final = 0.6
CHECK_INTERVAL_S: Final = 0.1
BATCH_DELAY_S: Final = 0.001
IDLE_TIMEOUT_S: Final = 60.0
MS_PER_S: Final = 1000.0
MAX_QUEUED_MESSAGES: Final = 20_000
# Maximum size of the messages queued for a peer.  It bounds memory while a peer is
# unreachable; senders repeat messages that are dropped.
MAX_QUEUED_BYTES: Final = 2 * 1024 * 1024
# Queued messages older than this are dropped, in seconds.  By then every sender has
# repeated them or given up.
MAX_QUEUE_AGE_S: Final = 1.5
# Maximum number of connections that wait to be accepted.
ACCEPT_BACKLOG: Final = 512
# If frames arrive from a peer but those sent to it have not been acknowledged for this
# time, in seconds, the connection is replaced at once.  It was opened while the peer
# was unreachable, and TCP retries it at ever longer intervals.
MAX_UNACKED_S: Final = 0.5
# Maximum number of recorded peers that sent unreadable messages; each is logged once.
MAX_UNREADABLE_SENDERS: Final = 1000
log = logging.getLogger(__name__)


class AckTimeouts(NamedTuple):
    """Delay and timeouts of acknowledgements.

    Attributes
    ----------
    ack_delay_s : float
        Seconds after which a frame is acknowledged if no other frame is sent.
    ack_timeout_s, max_ack_timeout_s : float
        Seconds without an acknowledgement after which a connection is replaced, at
        first and at most.  The timeout doubles with each replacement.
    """

    ack_delay_s: float = ACK_DELAY_S
    ack_timeout_s: float = ACK_TIMEOUT_S
    max_ack_timeout_s: float = MAX_ACK_TIMEOUT_S


DEFAULT_ACK_TIMEOUTS: Final = AckTimeouts()

MessageT = TypeVar("MessageT")


class Codec(NamedTuple, Generic[MessageT]):
    """Encoder and decoder of the messages of a transport."""

    encode: Callable[[MessageT], bytes]
    decode: Callable[[bytes], MessageT]


class Frame(NamedTuple):
    """A transmission between two processes.

    Attributes
    ----------
    deployment : str
        Name of the deployment.  Frames of other deployments are dropped.  Addresses
        are reused, so a process of another deployment may still send to one of this
        deployment, and its documents would replace local ones with lower revisions.
    sender, target : str
        Member ids; an empty target accepts any incarnation.
    sequence : int
        Sequence number among the sender's frames to this peer; 0 if the frame has no
        messages.
    ack : int
        Newest sequence number received from the peer.
    messages : tuple of bytes
        Encoded messages.
    """

    deployment: str
    sender: str
    target: str
    sequence: int
    ack: int
    messages: tuple[bytes, ...]


_FRAME_DECODER: Final = msgspec.msgpack.Decoder(Frame)


class TransportCounters:
    """Counters exported as metrics."""

    def __init__(self) -> None:
        self.frames_sent = 0
        self.bytes_sent = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.dropped = 0
        self.reconnects = 0
        self.malformed = 0
        self.foreign_frames = 0


class _PeerLink:
    """Queue, connection and acknowledgement state of one peer."""

    def __init__(
        self,
        address: str,
        now: float,
        ack_timeout_s: float,
        on_ready: Callable[[], None],
    ) -> None:
        self.address = address
        self.on_ready = on_ready
        self.queued_since = 0.0
        self.queues: dict[str, list[bytes]] = {}
        self.queued_messages = 0
        self.queued_bytes = 0
        self.last_sent = 0
        self.last_acked = 0
        self.last_received = 0
        self.unacked_since = 0.0
        self.ack_due_at = 0.0
        self.last_used_at = now
        self.ack_timeout_s = ack_timeout_s
        self.frame_sender = FrameSender(address, on_ready)

    def clear(self) -> int:
        """Drop the queued messages and return their number."""
        dropped = self.queued_messages
        self.queues.clear()
        self.queued_messages = 0
        self.queued_bytes = 0
        return dropped


class Transport(Generic[MessageT]):
    """Sends and receives the messages of one process.

    Parameters
    ----------
    member : str
        Member id of this process; the transport listens on its address.
    handler : callable
        Called with the sender's member id and the message, for each message.
    deployment : str
        Name of the deployment; see `Frame`.
    codec : Codec
        Encoder and decoder of the messages.
    listen : str
        Address to listen on if it differs from the one to which peers connect.
    batch_delay_s : float
        Seconds for which messages to a peer are collected before a frame is sent.
    ack_timeouts : AckTimeouts
        Delay and timeouts of acknowledgements.
    """

    def __init__(
        self,
        member: str,
        handler: Callable[[str, MessageT], None],
        *,
        deployment: str,
        codec: Codec[MessageT],
        listen: str = "",
        batch_delay_s: float = BATCH_DELAY_S,
        ack_timeouts: AckTimeouts = DEFAULT_ACK_TIMEOUTS,
    ) -> None:
        self.counts = TransportCounters()
        self._deployment = deployment
        self._member = member
        self._handler = handler
        self._codec = codec
        self._batch_delay_s = batch_delay_s
        self._ack_timeouts = ack_timeouts
        self._listen = listen or address_of(member)
        self._links: dict[str, _PeerLink] = {}
        self._readers: set[FrameReader] = set()
        self._links_to_flush: set[_PeerLink] = set()
        self._unreadable_senders: set[str] = set()
        self._failure: asyncio.Future[None]

    def send(self, to: str, message: MessageT) -> None:
        """Queue a message for a member or an address; delivery is not guaranteed."""
        now = time.monotonic()
        address = address_of(to)
        if address == address_of(self._member):
            if "#" not in to or to == self._member:
                self._handler(self._member, message)
            return
        link = self._link(address, now)
        data = self._codec.encode(message)
        is_full = (
            link.queued_messages > 0
            and link.queued_bytes + len(data) > MAX_QUEUED_BYTES
        )
        if is_full or link.queued_messages >= MAX_QUEUED_MESSAGES:
            self.counts.dropped += 1
            return
        target = to if "#" in to else ""
        link.queued_since = link.queued_since if link.queued_messages else now
        link.queues.setdefault(target, []).append(data)
        link.queued_messages += 1
        link.queued_bytes += len(data)
        link.last_used_at = now
        self._schedule_flush(link)

    async def run(self) -> None:
        """Send and receive until cancelled.

        Raises
        ------
        OSError
            If listening on the address fails.
        """
        loop = asyncio.get_running_loop()
        self._failure = loop.create_future()
        host, _, port = self._listen.rpartition(":")
        listener = await loop.create_server(
            lambda: FrameReader(self._receive, self._readers),
            host,
            int(port),
            backlog=ACCEPT_BACKLOG,
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._check_links)
                await self._failure
        finally:
            listener.close()
            for reader in list(self._readers):
                reader.close()
            for link in self._links.values():
                link.frame_sender.close()

    def _link(self, address: str, now: float) -> _PeerLink:
        link = self._links.get(address)
        if link is None:

            def on_ready() -> None:
                self._schedule_flush(self._links[address])

            link = _PeerLink(address, now, self._ack_timeouts.ack_timeout_s, on_ready)
            self._links[address] = link
        return link

    def _receive(self, data: bytes) -> None:
        """Process a frame; an exception of the handler ends `run`.

        If the exception propagated to the event loop, it would only be logged, and the
        process would continue with a partly handled message.
        """
        try:
            frame = _FRAME_DECODER.decode(data)
        except DECODE_ERRORS:
            self.counts.malformed += 1
            return
        if frame.deployment != self._deployment:
            self.counts.foreign_frames += 1
            return
        try:
            self._process_frame(frame, self._decode_messages(frame))
        except Exception as exc:
            if not self._failure.done():
                self._failure.set_exception(exc)

    def _decode_messages(self, frame: Frame) -> list[MessageT]:
        """Decode the messages of a frame; skip those that cannot be decoded.

        A peer of a newer version may send unknown types of messages.  If these made the
        whole frame unreadable, writes would be lost as long as versions are mixed.
        """
        messages: list[MessageT] = []
        for data in frame.messages:
            try:
                messages.append(self._codec.decode(data))
            except (*DECODE_ERRORS, IndexError):
                self.counts.malformed += 1
                self._log_unreadable(frame.sender)
        return messages

    def _log_unreadable(self, sender: str) -> None:
        """Log that a peer sends unreadable messages, once for each peer."""
        if sender in self._unreadable_senders:
            return
        if len(self._unreadable_senders) >= MAX_UNREADABLE_SENDERS:
            self._unreadable_senders.clear()
        self._unreadable_senders.add(sender)
        log.warning("unreadable messages received", extra={"peer": sender})

    def _process_frame(self, frame: Frame, messages: list[MessageT]) -> None:
        now = time.monotonic()
        link = self._link(address_of(frame.sender), now)
        if frame.sequence > 0:
            link.last_received = frame.sequence
            link.ack_due_at = link.ack_due_at or now + self._ack_timeouts.ack_delay_s
        if link.last_acked < frame.ack <= link.last_sent:
            # Only a new acknowledgement shows that frames arrive at the peer.  Each
            # frame of the peer repeats the last one, so a repeated one must not delay
            # the replacement of a half-open connection.
            link.last_acked = frame.ack
            link.ack_timeout_s = self._ack_timeouts.ack_timeout_s
            link.unacked_since = now if link.last_acked < link.last_sent else 0.0
        unacked_s = link.unacked_since and now - link.unacked_since
        if unacked_s > MAX_UNACKED_S:
            self._reconnect(link, "receiving frames but no acknowledgement", unacked_s)
        if frame.target and frame.target != self._member:
            return
        for message in messages:
            self.counts.messages_received += 1
            self._handler(frame.sender, message)

    def _schedule_flush(self, link: _PeerLink) -> None:
        """Schedule sending the queued messages after the batch delay."""
        if not self._links_to_flush:
            loop = asyncio.get_running_loop()
            if self._batch_delay_s > 0:
                loop.call_later(self._batch_delay_s, self._flush)
            else:
                loop.call_soon(self._flush)
        self._links_to_flush.add(link)

    def _flush(self) -> None:
        now = time.monotonic()
        links = self._links_to_flush
        self._links_to_flush = set()
        for link in links:
            self._flush_link(link, now)

    def _flush_link(self, link: _PeerLink, now: float) -> None:
        if link.queues and now - link.queued_since > MAX_QUEUE_AGE_S:
            self._drop_outdated(link)
        while link.queues:
            target, messages = next(iter(link.queues.items()))
            sequence = link.last_sent + 1
            frame = self._make_frame(link, target, sequence, tuple(messages))
            if not self._send_frame(link, frame):
                return
            del link.queues[target]
            link.queued_messages -= len(messages)
            link.queued_bytes -= sum(len(message) for message in messages)
            link.last_sent = sequence
            link.unacked_since = link.unacked_since or now
            self.counts.messages_sent += len(messages)

    def _drop_outdated(self, link: _PeerLink) -> None:
        dropped = link.clear()
        self.counts.dropped += dropped
        log.info(
            "outdated messages dropped",
            extra={"peer": link.address, "messages": dropped},
        )

    def _make_frame(
        self, link: _PeerLink, target: str, sequence: int, messages: tuple[bytes, ...]
    ) -> Frame:
        return Frame(
            self._deployment,
            self._member,
            target,
            sequence,
            link.last_received,
            messages,
        )

    def _send_frame(self, link: _PeerLink, frame: Frame) -> bool:
        data = msgspec.msgpack.encode(frame)
        if not link.frame_sender.send(data):
            return False
        link.ack_due_at = 0.0
        self.counts.frames_sent += 1
        self.counts.bytes_sent += len(data)
        return True

    async def _check_links(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            for link in list(self._links.values()):
                self._check_link(link, now)

    def _check_link(self, link: _PeerLink, now: float) -> None:
        if link.ack_due_at and now >= link.ack_due_at:
            self._send_frame(link, self._make_frame(link, "", 0, ()))
            link.ack_due_at = 0.0
        if link.queues:
            self._flush_link(link, now)
        is_unresponsive = (
            link.unacked_since and now - link.unacked_since > link.ack_timeout_s
        )
        if is_unresponsive:
            self._reconnect(link, "not acknowledged", now - link.unacked_since)
        elif now - link.last_used_at > IDLE_TIMEOUT_S and not link.queues:
            link.frame_sender.close()
            del self._links[link.address]

    def _reconnect(self, link: _PeerLink, reason: str, unacked_s: float) -> None:
        """Replace a connection that may be half-open.

        A connection whose state a middlebox has dropped would lose every message for
        hours, while a new one would work.  After a network partition, TCP retransmits
        on an old connection only every few seconds.  A peer that can reach this process
        again would get no responses for that time.
        """
        self.counts.reconnects += 1
        log.info(
            "connection replaced",
            extra={
                "peer": link.address,
                "reason": reason,
                "after_ms": round(unacked_s * MS_PER_S),
                "messages_waiting": link.queued_messages,
            },
        )
        link.frame_sender.close()
        link.frame_sender = FrameSender(link.address, link.on_ready)
        link.unacked_since = 0.0
        link.last_acked = link.last_sent
        link.ack_timeout_s = min(
            self._ack_timeouts.max_ack_timeout_s, link.ack_timeout_s * 2
        )
