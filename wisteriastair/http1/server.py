"""A channel to a backend server: one request at a time, and what came back.

An answer is whole only if its framing says so: a length, a last chunk, or for an answer
without either the orderly end of the channel.  Bytes that come behind an answer, or
while no request waits, belong to no request: the channel is closed.  A late second
answer to an earlier request is told by its request id and skipped.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import httptools

from .messages import Headers, ResponseHead, header

KEEP_ALIVE: Final = b"keep-alive"
INFORMATIONAL: Final = 200
NO_BODY: Final = (204, 304)

# Takes a part of a body; False if no more are wanted for now.
Sink = Callable[[bytes], bool]


class ExchangeOutcome(Enum):
    """How an exchange ended."""

    COMPLETE = "whole"
    # The channel ended, or was not HTTP, before the answer was whole.
    BROKEN = "broken"


class End(NamedTuple):
    """End of an exchange and, unless it is whole, what happened."""

    outcome: ExchangeOutcome
    reason: str = ""


class Exchange:
    """One request on a channel, and its answer as it arrives."""

    def __init__(self, request_id: str, method: str) -> None:
        self.request_id = request_id
        self.method = method
        self.head: ResponseHead | None = None
        self.end: End | None = None
        self._parts: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._sink: Sink | None = None

    def forward_to(self, sink: Sink) -> None:
        """Pass parts on as they arrive, until the sink wants no more.

        Each part is passed on in the callback that brought it.  Waking a task for it
        costs another turn of the loop: a turn of ten events took a relay 1.9 ms of
        processor time so, and 1.7 ms this way (``python -m tests.relay.bench``).
        """
        data = self.read_available()
        if not data or sink(data):
            self._sink = sink

    def read_available(self) -> bytes:
        """Take the part of the body that has arrived."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    async def wait_data(self) -> None:
        """Wait until something new has arrived."""
        if self._parts or self.end is not None:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def wait_head(self) -> None:
        """Wait for the head or the end."""
        while self.head is None and self.end is None:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def put(self, data: bytes) -> None:
        """Take a part of the body from the channel."""
        if self._sink is None:
            self._parts.append(data)
        elif self._sink(data):
            return
        self._sink = None
        self.wake()

    def finish(self, end: End) -> None:
        """Take the end from the channel."""
        if self.end is None:
            self.end = end
            self.wake()

    def wake(self) -> None:
        """Wake who waits."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ServerConnection(asyncio.Protocol):
    """One connection to a backend server.

    Parameters
    ----------
    on_unexpected_data : callable
        Told when bytes arrive that belong to no request.
    """

    def __init__(self, on_unexpected_data: Callable[[], None]) -> None:
        self.closed = False
        self.idle_since = 0.0
        # Seconds for which the server keeps an idle channel; None if it did not say.
        self.keep_alive_s: float | None = None
        self.request_count = 0
        self._on_stray = on_unexpected_data
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._reusable = True
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        assert isinstance(transport, asyncio.Transport), "servers are reached over TCP"
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange under way, which is not whole."""
        self.closed = True
        if self._exchange is not None:
            reason = "channel closed" if exc is None else f"channel lost: {exc!r}"
            self._exchange.finish(End(ExchangeOutcome.BROKEN, reason))

    def eof_received(self) -> bool:
        """Take the orderly end of the channel: it ends answers without a length."""
        if self._exchange is not None and self._until_close and not self._skipped:
            self._exchange.finish(End(ExchangeOutcome.COMPLETE))
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        exchange = self._exchange
        if exchange is None or exchange.end is not None:
            self._stray()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._reusable = False
            exchange.finish(End(ExchangeOutcome.BROKEN, f"not HTTP: {exc}"))
            self._transport.abort()

    # Requests

    def send_request(self, exchange: Exchange, data: bytes) -> None:
        """Send a request; the answer arrives in the exchange."""
        assert self._exchange is None, "one request at a time on a channel"
        self._exchange = exchange
        self.request_count += 1
        self._transport.write(data)

    def release(self, now: float) -> bool:
        """End an exchange; True if the channel can take another request.

        A body that is still being written when its answer is whole would get mixed
        with the next request, so such a channel is closed.
        """
        exchange = self._exchange
        self._exchange = None
        self.idle_since = now
        whole = (
            exchange is not None
            and exchange.end is not None
            and exchange.end.outcome is ExchangeOutcome.COMPLETE
        )
        written = not self.closed and self._transport.get_write_buffer_size() == 0
        if whole and written and self._reusable and not self.closed:
            return True
        self.close()
        return False

    def pause_reading(self) -> None:
        """Stop reading, since the caller reads more slowly."""
        if not self.closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if not self.closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the channel; a request under way is dropped by the server."""
        if not self.closed:
            self.closed = True
            self._transport.abort()

    def _stray(self) -> None:
        self._reusable = False
        self._on_stray()
        self.close()

    # Parser

    def _reset_message(self) -> None:
        self._headers: Headers = []
        self._head_done = False
        self._until_close = False
        self._skipped = False

    def on_message_begin(self) -> None:
        """Begin an answer; a second one belongs to no request of ours."""
        self._reset_message()
        if self._exchange is None or self._exchange.end is not None:
            self._reusable = False
            self._on_stray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take a head, unless it is interim or answers another request."""
        self._head_done = True
        exchange = self._exchange
        status = self._parser.get_status_code()
        if exchange is None or exchange.end is not None or status < INFORMATIONAL:
            self._skipped = True
            return
        echoed = header(self._headers, b"x-request-id")
        if echoed and echoed != exchange.request_id:
            self._skipped = True
            self._reusable = False
            self._on_stray()
            return
        self._until_close = _ends_with_channel(self._headers, status)
        if self._until_close or not self._parser.should_keep_alive():
            self._reusable = False
        self._note_keep_alive()
        exchange.head = ResponseHead(status, self._headers)
        exchange.wake()
        if exchange.method == "HEAD":
            self._reusable = False
            exchange.finish(End(ExchangeOutcome.COMPLETE))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self._skipped and self._exchange is not None:
            self._exchange.put(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if not self._skipped and self._exchange is not None:
            self._exchange.finish(End(ExchangeOutcome.COMPLETE))

    def _note_keep_alive(self) -> None:
        for part in header(self._headers, KEEP_ALIVE).split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_s = float(value)


def _ends_with_channel(headers: Headers, status: int) -> bool:
    names = {name.lower() for name, _ in headers}
    framed = b"content-length" in names or b"transfer-encoding" in names
    return not framed and status not in NO_BODY
