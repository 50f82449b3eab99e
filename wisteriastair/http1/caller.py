"""Connections of callers: requests are read and answered in order.

A connection is an `asyncio.Protocol`, which anyio's event loop runs directly.  The
protocol learns at once what has been written, when the peer closed the connection and
which bytes follow a request, and costs about half as much processor time as stream
wrappers.  The parser is httptools.

Requests are handled one at a time.  Pipelined requests are queued; when the queue is
full, reading pauses.  If the caller closes the connection, the current request is
cancelled at once, so that no server continues work that is no longer needed.
"""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from collections import deque
from typing import Final

import anyio
import httptools
from anyio.abc import TaskGroup

from ..core.routes import CallerLimits
from ..scheduling.buffers import CONNECTIONS, UNFINISHED, WAITING
from .holding import HeldBytes
from .messages import (
    LAST_CHUNK,
    BadRequest,
    Headers,
    Request,
    ResponseHead,
    encode_chunk,
    encode_head,
    encode_status_line,
    header,
)
from .metering import ConnectionMeter
from .reading import FramingLimit, SmallReadsProtocol

# Number and memory of queued pipelined requests at which reading pauses.
MAX_PIPELINED_REQUESTS: Final = 8
MAX_PIPELINED_BYTES: Final = 64 * 1024
# Memory that a header takes besides its characters: a tuple of two objects in a list.
HEADER_OVERHEAD_BYTES: Final = 160
# Seconds for which data is read and discarded after the last response.  Closing with
# unread data would reset the connection, and the response could be lost.
LINGER_TIMEOUT_S: Final = 1.0
WRITE_BUFFER_BYTES: Final = 64 * 1024
# Delay before a retry of a request that was refused for lack of memory.  Callers retry
# on a new connection, which usually reaches another relay.
OVERLOAD_RETRY_S: Final = 0.1
BUFFERS_FULL: Final = "buffers are full"
SLOW_CALLER: Final = "the caller reads too slowly"
CLOSE_REASONS: Final = {
    WAITING: "the server sends nothing while others need room",
    CONNECTIONS: "too many connections",
}
HEAD_METHOD: Final = "HEAD"
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


log = logging.getLogger(__name__)


class Handler(ABC):
    """Handles requests and provides the limits for callers."""

    @abstractmethod
    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Handle one request and respond on its connection."""

    @abstractmethod
    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Respond to a rejected request; the connection is closed afterwards."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Whether connections are to be closed after their next response."""


class CallerConnection(SmallReadsProtocol):
    """A connection of a caller.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    group : TaskGroup
        Runs the handler.
    caller_conns : set
        Set of open connections, to which this one is added while it is open.
    meter : ConnectionMeter or None
        Budget for the bytes held for this connection.  With shares, data for a caller
        that reads slowly is buffered within the caller's share, and the caller is
        disconnected if it stays above it; otherwise backpressure applies.
    max_connections : int
        Size of `caller_conns` above which a new connection replaces the one that has
        been inactive for the longest time; 0 for no limit.
    """

    def __init__(
        self,
        handler: Handler,
        group: TaskGroup,
        caller_conns: set[CallerConnection],
        meter: ConnectionMeter | None = None,
        max_connections: int = 0,
    ) -> None:
        self.closed = False
        # Why the relay closed the connection to free memory; empty if it did not.
        self.close_reason = ""
        self.busy = False
        self._handler = handler
        self._group = group
        self._caller_conns = caller_conns
        self._held = HeldBytes(meter)
        self._max_connections = max_connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._queue: deque[Request | BadRequest] = deque()
        self._queued_bytes = 0
        self._request_scope: anyio.CancelScope | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._reading_paused = False
        self._finishing = False
        self._streaming = False
        self._response_complete = False
        # The response to a HEAD request ends with its head.
        self._sends_body = True
        self._keep_alive = True
        self._phase_started_at = self._active_at = self._loop.time()
        self._written_bytes = 0
        # Bytes that the caller had read at the last check, and when it read them.
        self._read_bytes = 0
        self._read_at = self._phase_started_at
        self._framing = FramingLimit()
        self._reset_request()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        assert isinstance(transport, asyncio.Transport), "callers connect over TCP"
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._caller_conns.add(self)
        self._held.open(transport, self._disconnect)
        if self._max_connections and len(self._caller_conns) > self._max_connections:
            self._close_another()

    def _close_another(self) -> None:
        """Close the connection that has been inactive for the longest time.

        If all others have a request, the one whose server has sent nothing for the
        longest time is closed, if that is some seconds; otherwise this new one is.
        """
        idle = [conn for conn in self._caller_conns if not (conn.busy or conn._queue)]
        inactive = min(idle, key=lambda conn: conn._active_at)
        if inactive is self:
            stalled = self._longest_waiting()
            if stalled is not None:
                stalled._close_for_others(WAITING)
                return
        inactive._close_for_others(CONNECTIONS)

    def _longest_waiting(self) -> CallerConnection | None:
        waiting = [
            (since, conn)
            for conn in self._caller_conns
            if (since := conn._held.stalled_since(self._active_at)) is not None
        ]
        if not waiting:
            return None
        _, conn = min(waiting, key=lambda item: item[0])
        return conn

    def _close_for_others(self, reason: str) -> None:
        if not self._held.disconnect(reason):
            self.abort()
        self._caller_conns.discard(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and discard queued ones."""
        self.closed = True
        self._caller_conns.discard(self)
        self._held.close()
        self._writable.set()
        self._queue.clear()
        # The parser refers to this connection: the cycle would keep both, and the body
        # that has arrived, until the garbage collector runs.
        self._reset_request()
        del self._parser
        if self._request_scope is not None:
            self._request_scope.cancel()

    def eof_received(self) -> bool:
        """Treat the end of the caller's data as a closed connection."""
        return False

    def pause_writing(self) -> None:
        """Note that the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the write buffer has capacity again."""
        self._writable.set()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse data from the caller."""
        self._held.record_received(len(data))
        self._active_at = self._loop.time()
        if self._finishing:
            return
        self._framing.received_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            self._reject(400, f"not HTTP: {exc}")
        max_bytes = self._handler.limits().max_header_bytes
        # Trailers have the same limit as the head.
        allowed_bytes = 2 * max_bytes if self._head_complete else max_bytes
        if self._framing.is_exceeded(allowed_bytes):
            self._reject(431, f"headers or framing over {max_bytes} bytes")
        self._record_arriving()
        self._serve_next()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse data; a request that offers an upgrade is parsed without the offer.

        The parser ends such a request at its head, as if the upgrade were accepted, and
        leaves its body unread.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                (end_of_head,) = exc.args
                if self._parser.get_method() == b"CONNECT":
                    self._reject(400, "CONNECT is not offered")
                if self._finishing:
                    return
                data = self._head_without_upgrade() + bytes(data[end_of_head:])
            self._parser = httptools.HttpRequestParser(self)
            self._reset_request()

    def _head_without_upgrade(self) -> bytes:
        method, version = self._parser.get_method(), self._parser.get_http_version()
        first_line = b"%b %b HTTP/%b" % (method, self._url, version.encode())
        headers = [(n, v) for n, v in self._headers if n.lower() != b"upgrade"]
        return encode_head(first_line, headers)

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection, or reject its request, after a timeout.

        Called periodically.
        """
        limits = self._handler.limits()
        elapsed_s = now - self._phase_started_at
        if self._has_stalled(now, limits.idle_timeout_s):
            # Closing would wait for the caller to read.
            self._disconnect("stalled")
            return
        if self.busy or self._queue:
            return
        if self._finishing:
            if elapsed_s > LINGER_TIMEOUT_S:
                self._transport.close()
        elif not self._request_started:
            if elapsed_s > limits.idle_timeout_s:
                self._transport.close()
        elif elapsed_s > (
            limits.idle_timeout_s if self._head_complete else limits.header_timeout_s
        ):
            self._reject(408, "the request did not arrive in time")
            self._serve_next()

    def _has_stalled(self, now: float, timeout_s: float) -> bool:
        """Return whether the caller has read nothing of its responses for some time."""
        unsent_bytes = self._transport.get_write_buffer_size()
        read_bytes = self._written_bytes - unsent_bytes
        if unsent_bytes == 0 or read_bytes > self._read_bytes:
            self._read_bytes = read_bytes
            self._read_at = now
        return now - self._read_at > timeout_s

    def close_if_idle(self) -> None:
        """Close the connection if it has no request.

        After the last response, `enforce_timeouts` closes it instead.  Closing it while
        the caller still sends would reset it, and the response could be lost.
        """
        if self._finishing or self.busy or self._queue or self._request_started:
            return
        self._transport.close()

    # Parser

    def _reset_request(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._framing.reset()
        self._head_complete = False
        self._expects_continue = False
        self._request_started = False

    def on_message_begin(self) -> None:
        """Record the time at which a request starts to arrive."""
        self._request_started = True
        self._phase_started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self._head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head."""
        self._head_complete = True
        self._received_at = self._loop.time()
        reason = _framing_error(self._headers)
        if reason:
            self._reject(400, reason)
            return
        limits = self._handler.limits()
        length = header(self._headers, b"content-length")
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > limits.max_header_bytes:
            self._reject(431, f"headers over {limits.max_header_bytes} bytes")
        elif length and int(length) > limits.max_body_bytes:
            self._reject(413, f"body over {limits.max_body_bytes} bytes")
        elif not self._held.admits(int(length or 0)):
            # Nothing is read or reserved for the request, so another relay can run it.
            self._reject(503, BUFFERS_FULL, OVERLOAD_RETRY_S)
        elif header(self._headers, b"expect").lower() == "100-continue":
            self._expects_continue = True
            self._send_continue()

    def _send_continue(self) -> None:
        """Ask for the body that a caller holds back, after all earlier responses."""
        if self._expects_continue and not self.busy and not self._queue:
            self._expects_continue = False
            self._write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._finishing:
            return
        self._framing.body_bytes += len(body)
        if self._framing.body_bytes > self._handler.limits().max_body_bytes:
            self._reject(
                413, f"body over {self._handler.limits().max_body_bytes} bytes"
            )
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._finishing or self._parser.should_upgrade():
            return
        req = Request(
            self._parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._received_at,
            self._request_bytes(),
        )
        self._queue.append(req)
        self._queued_bytes += req.held_bytes
        self._held.keep_arrived(req.held_bytes)
        self._reset_request()
        if self._has_full_queue() and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _has_full_queue(self) -> bool:
        # The first request is served at once, whatever its size.
        is_large = self._queued_bytes > MAX_PIPELINED_BYTES
        waiting_count = len(self._queue) - (not self.busy)
        is_full = len(self._queue) >= MAX_PIPELINED_REQUESTS
        return is_full or (is_large and waiting_count > 0)

    def _reject(self, status: int, reason: str, retry_after_s: float = 0.0) -> None:
        """Reject the request that is arriving; later data is discarded."""
        if not self._finishing and not self.closed:
            self._finishing = True
            self._phase_started_at = self._loop.time()
            request_id = header(self._headers, b"x-request-id")
            # Before the target has arrived, the parser reports some other method.
            method = self._parser.get_method().decode("ascii") if self._url else ""
            self._queue.append(
                BadRequest(status, reason, retry_after_s, request_id, method)
            )
            self._body = bytearray()
            self._headers = []
            self._held.drop_arriving()

    # Responses

    def _serve_next(self) -> None:
        if self.busy or not self._queue or self.closed:
            return
        self.busy = True
        self._group.start_soon(self._serve_queue)

    async def _serve_queue(self) -> None:
        try:
            while self._queue and not self.closed:
                req = self._queue.popleft()
                if isinstance(req, Request):
                    self._queued_bytes -= req.held_bytes
                if isinstance(req, BadRequest):
                    self._sends_body = req.method != HEAD_METHOD
                    self._handler.refuse(req, self)
                    self._close_write_side()
                    return
                await self._serve_request(req)
                self._held.free(req.held_bytes)
                if self._queue and not self._writable.is_set():
                    # A caller that reads nothing could otherwise collect the responses
                    # to any number of requests in its send buffer.
                    await self._writable.wait()
                self._resume_reading()
        finally:
            self.busy = False
            self._phase_started_at = self._active_at = self._loop.time()
        if not self.closed and not self._finishing:
            self._send_continue()

    async def _serve_request(self, req: Request) -> None:
        self._response_complete = False
        self._streaming = False
        self._sends_body = req.method != HEAD_METHOD
        self._keep_alive = req.keep_alive
        self._held.start_waiting(self._loop.time())
        with anyio.CancelScope() as scope:
            self._request_scope = scope
            await self._run_handler(req)
        self._request_scope = None
        if not self._response_complete and not self.closed:
            # Reset the connection, so that the caller cannot mistake the incomplete
            # response for a complete one.
            self.abort()
        elif not self._keep_alive:
            self._close_write_side()

    async def _run_handler(self, req: Request) -> None:
        """Run the handler; an unexpected exception closes this connection only.

        All callers share one process.  If the exception propagated, one failing request
        would abort the responses to all others.
        """
        try:
            await self._handler.handle(req, self)
        except AssertionError:
            raise
        except Exception:
            log.exception(
                "unexpected exception in a request handler", extra={"path": req.path}
            )

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._has_full_queue() and not self.closed:
            self._reading_paused = False
            self._transport.resume_reading()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        if self.closed:
            return
        all_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        head = self._encode_response_head(ResponseHead(status, all_headers))
        self._write(head + body if self._sends_body else head)
        self._response_complete = True

    def begin(self, head: ResponseHead, first_chunk: bytes = b"") -> None:
        """Send the head of a response whose body follows in chunks."""
        if self.closed:
            return
        headers = [*head.headers, (b"Transfer-Encoding", b"chunked")]
        data = self._encode_response_head(ResponseHead(head.status, headers))
        self._write(data)
        self._streaming = True
        self.send(first_chunk)

    def send(self, data: bytes) -> None:
        """Send a chunk of the body after `begin`."""
        if data and self._sends_body and not self.closed:
            self._write(encode_chunk(data))

    def end(self) -> None:
        """Send the last chunk of the body after `begin`."""
        if self.closed:
            return
        if self._sends_body:
            self._write(LAST_CHUNK)
        self._response_complete = True

    def abort(self) -> None:
        """Reset the connection, so that the response is seen to be incomplete."""
        self.closed = True
        self._held.close()
        self._transport.abort()

    @property
    def is_writable(self) -> bool:
        """Whether the write buffer has capacity for more data.

        With shares, it has as long as the caller is within its share.
        """
        if not self._held.has_share:
            return self._writable.is_set()
        return self._held.is_within_share()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has capacity for more data.

        With shares, the caller is disconnected if that takes too long.
        """
        if self._held.has_share:
            await self._held.wait_within_share()
        else:
            await self._writable.wait()

    # Budget

    def _write(self, data: bytes) -> None:
        self._transport.write(data)
        self._written_bytes += len(data)
        unsent_bytes = self._transport.get_write_buffer_size()
        self._held.record_written(len(data), unsent_bytes)

    def _request_bytes(self) -> int:
        """Return the memory that the arriving request takes."""
        limits = self._handler.limits()
        # Besides the body, chunk sizes and trailers are not kept.
        head_bytes = self._framing.received_bytes - self._framing.body_bytes
        head_bytes = max(0, min(head_bytes, 2 * limits.max_header_bytes))
        header_bytes = HEADER_OVERHEAD_BYTES * len(self._headers)
        return len(self._body) + head_bytes + header_bytes

    def _record_arriving(self) -> None:
        size = 0 if self._finishing else self._request_bytes()
        if size > 0 and not self._held.record_arriving(size, self._active_at):
            self._reject(503, BUFFERS_FULL, OVERLOAD_RETRY_S)

    def _disconnect(self, reason: str) -> None:
        """Free what is held, by rejecting the unfinished request or by a reset."""
        if reason == UNFINISHED:
            # Nothing was sent to a server, so another process can run the request.
            self._reject(503, BUFFERS_FULL, OVERLOAD_RETRY_S)
            self._serve_next()
            return
        self.close_reason = CLOSE_REASONS.get(reason, f"{SLOW_CALLER}: {reason}")
        self.abort()

    def _encode_response_head(self, head: ResponseHead) -> bytes:
        headers = head.headers
        if self._handler.is_closing() or self._finishing:
            self._keep_alive = False
        if not self._keep_alive:
            headers = [*headers, (b"Connection", b"close")]
        return encode_head(encode_status_line(head.status), headers)

    def _close_write_side(self) -> None:
        """Close the sending side after the last response.

        Data that the caller still sends is read for a short time.  Closing with unread
        data would send a reset, which can overtake the response.
        """
        # Queued requests can no longer be answered.  None was forwarded to a server, so
        # the caller can safely send them to another process.
        self._queue.clear()
        if not self.closed and not self._transport.is_closing():
            self._finishing = True
            self._phase_started_at = self._loop.time()
            try:
                self._transport.write_eof()
            except OSError:
                # The caller has closed the connection, and its system has answered the
                # response with a reset that the event loop has not reported yet.
                self.abort()


def _framing_error(headers: Headers) -> str:
    """Return what is wrong with a request's framing, or an empty string.

    A request whose length is ambiguous can smuggle a second request in its body, which
    a server would run although no caller sent it.
    """
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    codings = [v for name, v in headers if name.lower() == b"transfer-encoding"]
    hosts = sum(name.lower() == b"host" for name, _ in headers)
    if len(lengths) > 1:
        return "more than one Content-Length"
    if lengths and not lengths[0].isdigit():
        return "Content-Length is no number"
    if codings and lengths:
        return "Content-Length beside Transfer-Encoding"
    if codings and (len(codings) > 1 or codings[0].strip().lower() != b"chunked"):
        return "a transfer coding other than chunked"
    if hosts != 1:
        return "not exactly one Host"
    return ""
