"""Connections to backend servers, each of which carries one request at a time.

A response is complete only if its framing shows it: by a length, by a last chunk, or,
without either, by an orderly close of the connection.  Data after a response, or
without a pending request, belongs to no request, and the connection is closed.  A late
second response to an earlier request is recognised by its request id and skipped.

A head, trailers, interim and late responses are limited, since a faulty server may send
them without end.  Who reads a body limits its size.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import httptools

from ..scheduling.buffers import Account
from .messages import Headers, ResponseHead, header
from .metering import ConnectionMeter
from .reading import FramingLimit, SmallReadsProtocol

KEEP_ALIVE: Final = b"keep-alive"
FIRST_FINAL_STATUS: Final = 200
NO_BODY_STATUSES: Final = (204, 304)
# Maximum size of a head and of trailers, with all interim responses before it.
MAX_HEAD_BYTES: Final = 64 * 1024
# Maximum size of late responses to earlier requests, which are read and dropped.
MAX_LATE_BYTES: Final = 8 * 1024 * 1024

# Receives a part of a body; returns False to pause.
BodySink = Callable[[bytes], bool]


class ExchangeOutcome(Enum):
    """How an exchange ended."""

    COMPLETE = "whole"
    # The connection closed, or the data was not HTTP, before the response was complete.
    BROKEN = "broken"
    # The response is HTTP, but whoever reads it cannot use it.
    UNUSABLE = "unusable"
    # This process closed the connection to free memory, whatever the server did.
    DROPPED = "dropped"


class ExchangeEnd(NamedTuple):
    """How an exchange ended, with the reason if the response is incomplete."""

    outcome: ExchangeOutcome
    reason: str = ""


class Exchange:
    """A request on a connection, and its response as it arrives.

    Attributes
    ----------
    on_buffered : callable or None
        Called with the change in bytes of body data: positive when a part is buffered,
        negative when buffered data is passed to a sink. Data that is read without a
        sink stays in memory until the exchange ends.
    on_retained : callable or None
        Called with the change in bytes of what the sink retains.
    """

    def __init__(self, request_id: str, method: str) -> None:
        self.request_id = request_id
        self.method = method
        self.head: ResponseHead | None = None
        self.end: ExchangeEnd | None = None
        self.on_buffered: Callable[[int], None] | None = None
        self.on_retained: Callable[[int], None] | None = None
        self._buffer: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._sink: BodySink | None = None

    def forward_to(self, sink: BodySink) -> None:
        """Pass body data to the sink as it arrives, until the sink returns False.

        The data is passed on in the callback that received it.  Waking a task for it
        would cost another iteration of the event loop: 1.9 ms instead of 1.7 ms of
        processor time for a turn of ten events.
        """
        data = self.read_available()
        if data and self.on_buffered is not None:
            self.on_buffered(-len(data))
        if not data or sink(data):
            self._sink = sink

    def stop_forwarding(self) -> None:
        """Drop the sink.

        It mostly refers to this exchange: the cycle would keep the whole request and
        response in memory until the garbage collector finds it.
        """
        self._sink = None

    def read_available(self) -> bytes:
        """Return and clear the body data that has arrived."""
        data = b"".join(self._buffer)
        self._buffer.clear()
        return data

    async def wait_data(self) -> None:
        """Wait until body data or the end has arrived."""
        if self._buffer or self.end is not None:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    async def wait_head(self) -> None:
        """Wait until the head or the end has arrived."""
        while self.head is None and self.end is None:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def receive_body(self, data: bytes) -> None:
        """Receive a part of the body from the connection."""
        if self.end is not None:
            return
        if self._sink is None:
            self._buffer.append(data)
            if self.on_buffered is not None:
                self.on_buffered(len(data))
        elif self._sink(data):
            return
        self._sink = None
        self.notify()

    def finish(self, end: ExchangeEnd) -> None:
        """Receive the end from the connection."""
        if self.end is None:
            self.end = end
            self.stop_forwarding()
            self.notify()

    def reject(self, reason: str) -> None:
        """End the exchange, since its response cannot be used."""
        self.finish(ExchangeEnd(ExchangeOutcome.UNUSABLE, reason))

    def count_retained(self, size: int) -> None:
        """Count a change in bytes of what the sink retains."""
        if size and self.on_retained is not None:
            self.on_retained(size)

    def notify(self) -> None:
        """Wake the waiting task, if any."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ServerConnection(SmallReadsProtocol):
    """A connection to a backend server.

    Parameters
    ----------
    on_unexpected_data : callable
        Called when data arrives that belongs to no request.
    meter : ConnectionMeter or None
        Budget for the request and the response that are held for this connection.
    """

    def __init__(
        self,
        on_unexpected_data: Callable[[], None],
        meter: ConnectionMeter | None = None,
    ) -> None:
        self.closed = False
        self.idle_since = 0.0
        # Seconds after which the server closes an idle connection; None if unknown.
        self.keep_alive_s: float | None = None
        self.request_count = 0
        self._on_unexpected_data = on_unexpected_data
        self._meter = meter
        self._account: Account | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._is_reusable = True
        self._framing = FramingLimit()
        self._late_bytes = 0
        # Body data of the current read.
        self._body_parts: list[bytes] = []
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport), "servers are reached over TCP"
        self._transport = transport
        if self._meter is not None:
            self._account = self._meter.buffers.open(
                is_caller=False,
                measure=transport.get_write_buffer_size,
                disconnect=self._disconnect,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current exchange, whose response is incomplete."""
        self.closed = True
        self._close_account()
        if self._exchange is not None:
            reason = "channel closed" if exc is None else f"channel lost: {exc!r}"
            self._exchange.finish(ExchangeEnd(ExchangeOutcome.BROKEN, reason))

    def eof_received(self) -> bool:
        """Treat an orderly close as the end of a response without a length."""
        if self._exchange is not None and self._ends_at_close and not self._is_skipped:
            self._exchange.finish(ExchangeEnd(ExchangeOutcome.COMPLETE))
        return False

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse data from the server."""
        if self._meter is not None:
            self._meter.traffic.received_bytes += len(data)
        exchange = self._exchange
        if exchange is None or exchange.end is not None:
            self._reject_unexpected_data()
            return
        self._framing.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._pass_on_body(exchange)
            self._fail(exchange, f"not HTTP: {exc}")
            return
        self._pass_on_body(exchange)
        if exchange.end is not None:
            return
        if self._framing.is_exceeded(MAX_HEAD_BYTES):
            self._fail(exchange, f"headers or framing over {MAX_HEAD_BYTES} bytes")
        elif self._late_bytes > MAX_LATE_BYTES:
            self._fail(exchange, f"late responses over {MAX_LATE_BYTES} bytes")

    def _fail(self, exchange: Exchange, reason: str) -> None:
        """End the exchange and reset the connection."""
        self._is_reusable = False
        exchange.finish(ExchangeEnd(ExchangeOutcome.BROKEN, reason))
        self._transport.abort()

    # Requests

    def send_request(self, exchange: Exchange, data: bytes) -> None:
        """Send a request, whose response arrives in the exchange."""
        assert self._exchange is None, "one request at a time on a connection"
        self._exchange = exchange
        self._framing.reset()
        self._late_bytes = 0
        self.request_count += 1
        self._transport.write(data)
        if self._account is not None:
            self._record_request(exchange, len(data))

    def release(self, now: float) -> bool:
        """End the exchange; return whether the connection can be reused.

        If the request body is not fully written when the response is complete, the
        connection is closed, since the rest of the body would be mixed with the next
        request.
        """
        exchange = self._exchange
        self._exchange = None
        self._free_exchange()
        self.idle_since = now
        is_complete = (
            exchange is not None
            and exchange.end is not None
            and exchange.end.outcome is ExchangeOutcome.COMPLETE
        )
        is_written = not self.closed and self._transport.get_write_buffer_size() == 0
        if is_complete and is_written and self._is_reusable and not self.closed:
            return True
        self.close()
        return False

    def pause_reading(self) -> None:
        """Pause reading while the caller reads more slowly than the server sends."""
        if not self.closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if not self.closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Reset the connection; the server drops a request in progress."""
        if not self.closed:
            self.closed = True
            self._close_account()
            self._transport.abort()

    # Budget

    def _record_request(self, exchange: Exchange, size: int) -> None:
        """Account for a request: it stays in memory until its exchange ends."""
        assert self._meter is not None and self._account is not None
        exchange.on_buffered = self._change_kept
        if not self._meter.has_shares:
            exchange.on_retained = self._change_kept
        self._meter.traffic.sent_bytes += size
        self._keep(size)
        self._meter.buffers.record_written(
            self._account, size, self._transport.get_write_buffer_size()
        )

    def _keep(self, size: int) -> None:
        if self._meter is not None and self._account is not None:
            self._meter.buffers.keep(self._account, size)

    def _change_kept(self, size: int) -> None:
        if size >= 0:
            self._keep(size)
        elif self._meter is not None and self._account is not None:
            self._meter.buffers.free(self._account, -size)

    def _free_exchange(self) -> None:
        if self._meter is not None and self._account is not None:
            self._meter.buffers.free(self._account, self._account.kept_bytes)

    def _disconnect(self, reason: str) -> None:
        """Break off the exchange to free what is held for it."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            exchange.finish(
                ExchangeEnd(ExchangeOutcome.DROPPED, "buffers of the relay are full")
            )

    def _close_account(self) -> None:
        if self._meter is not None and self._account is not None:
            self._meter.buffers.close(self._account)

    def _reject_unexpected_data(self) -> None:
        self._is_reusable = False
        self._on_unexpected_data()
        self.close()

    # Parser

    def _reset_message(self) -> None:
        self._headers: Headers = []
        self._head_complete = False
        self._ends_at_close = False
        self._is_skipped = False

    def on_message_begin(self) -> None:
        """Start a response; a second one belongs to no request."""
        self._reset_message()
        if self._exchange is None or self._exchange.end is not None:
            self._is_reusable = False
            self._on_unexpected_data()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head, unless it is interim or belongs to another request."""
        self._head_complete = True
        exchange = self._exchange
        status = self._parser.get_status_code()
        if exchange is None or exchange.end is not None or status < FIRST_FINAL_STATUS:
            self._is_skipped = True
            return
        echoed_id = header(self._headers, b"x-request-id")
        if echoed_id and echoed_id != exchange.request_id:
            self._is_skipped = True
            self._is_reusable = False
            self._on_unexpected_data()
            return
        self._ends_at_close = _ends_at_connection_close(self._headers, status)
        if self._ends_at_close or not self._parser.should_keep_alive():
            self._is_reusable = False
        self._read_keep_alive_timeout()
        exchange.head = ResponseHead(status, self._headers)
        exchange.notify()
        if exchange.method == "HEAD":
            self._is_reusable = False
            exchange.finish(ExchangeEnd(ExchangeOutcome.COMPLETE))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._framing.body_bytes += len(body)
        if self._is_skipped:
            self._late_bytes += len(body)
        else:
            self._body_parts.append(body)

    def _pass_on_body(self, exchange: Exchange) -> None:
        """Pass on what was read, at once: a body may come in chunks of single bytes."""
        if self._body_parts:
            data = b"".join(self._body_parts)
            self._body_parts.clear()
            exchange.receive_body(data)

    def on_message_complete(self) -> None:
        """End the response."""
        if not self._is_skipped and self._exchange is not None:
            self._pass_on_body(self._exchange)
            self._exchange.finish(ExchangeEnd(ExchangeOutcome.COMPLETE))

    def _read_keep_alive_timeout(self) -> None:
        for part in header(self._headers, KEEP_ALIVE).split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_s = float(value)


def _ends_at_connection_close(headers: Headers, status: int) -> bool:
    names = {name.lower() for name, _ in headers}
    is_framed = b"content-length" in names or b"transfer-encoding" in names
    return not is_framed and status not in NO_BODY_STATUSES
