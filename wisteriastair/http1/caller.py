"""A caller's channel: requests in, answers out, in order.

The channel is an `asyncio.Protocol`, which anyio's loop runs as it is: the rules for a
channel need to know what has been written, when the other end closed, and what came
behind a request, at the moment when it happens.  The parser is httptools.  On a
benchmark of the relay this costs about half of what stream wrappers do.

Requests are taken one after another.  Pipelined ones wait; past a few the channel is
not read any more.  If the caller closes, the request under way is cancelled at once, so
that no server goes on working for nobody.
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
from .messages import (
    LAST_CHUNK,
    BadRequest,
    Headers,
    Request,
    ResponseHead,
    chunk,
    encode_head,
    header,
    status_line,
)

# Pipelined requests that may wait before the channel is not read any more.
PIPELINED_MOST: Final = 8
# Seconds for which what a refused caller still sends is read and thrown away: closing
# at once would reset the channel, and the answer would be lost on the way.
LINGER_S: Final = 1.0
WRITE_BUFFER_BYTES: Final = 64 * 1024
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


log = logging.getLogger(__name__)


class Handler(ABC):
    """Answers requests and knows the limits that callers are held to."""

    @abstractmethod
    async def handle(self, req: Request, caller_conn: CallerConnection) -> None:
        """Answer one request on its channel."""

    @abstractmethod
    def refuse(self, bad: BadRequest, caller_conn: CallerConnection) -> None:
        """Answer a request that could not be taken; the channel ends afterwards."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Limits in force."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Whether channels are to end after their next answer."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    handler : Handler
        Answers the requests.
    group : TaskGroup
        Runs the answers.
    caller_conns : set
        Where the channel lists itself while it is open.
    """

    def __init__(
        self, handler: Handler, group: TaskGroup, caller_conns: set[CallerConnection]
    ) -> None:
        self.closed = False
        self.busy = False
        self._handler = handler
        self._group = group
        self._caller_conns = caller_conns
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._waiting: deque[Request | BadRequest] = deque()
        self._scope: anyio.CancelScope | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False
        self._ended = False
        self._streaming = False
        self._answered = False
        self._keep = True
        self._since = self._loop.time()
        self._begin_request()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        assert isinstance(transport, asyncio.Transport), "callers connect over TCP"
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._caller_conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is under way: nobody waits for it any more."""
        self.closed = True
        self._caller_conns.discard(self)
        self._writable.set()
        self._waiting.clear()
        if self._scope is not None:
            self._scope.cancel()

    def eof_received(self) -> bool:
        """Take the end of what the caller sends as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Stop answering faster than the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on answering."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._ended:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrade is not offered")
        except httptools.HttpParserError as exc:
            self._refuse(400, f"not HTTP: {exc}")
        limits = self._handler.limits()
        if not self._head_done and self._head_bytes > limits.max_header_bytes:
            self._refuse(431, f"headers over {limits.max_header_bytes} bytes")
        self._serve_next()

    def enforce_timeouts(self, now: float) -> None:
        """Close or refuse a channel that took too long; called from time to time."""
        limits = self._handler.limits()
        waited_s = now - self._since
        if self.busy or self._waiting:
            return
        if self._ended:
            if waited_s > LINGER_S:
                self._transport.close()
        elif not self._begun:
            if waited_s > limits.idle_timeout_s:
                self._transport.close()
        elif waited_s > (
            limits.idle_timeout_s if self._head_done else limits.header_timeout_s
        ):
            self._refuse(408, "the request did not arrive in time")
            self._serve_next()

    def close_if_idle(self) -> None:
        """Close a channel on which nothing is under way.

        One that lingers after its last answer is left to `enforce_timeouts`: closed
        beneath a
        caller that still sends it would be reset, and the answer lost on its way.
        """
        if self._ended or self.busy or self._waiting or self._begun:
            return
        self._transport.close()

    # Parser

    def _begin_request(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_done = False
        self._begun = False

    def on_message_begin(self) -> None:
        """Note when a request began to arrive."""
        self._begun = True
        self._since = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are not passed on."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._head_done = True
        self._received_at = self._loop.time()
        reason = _framing_fault(self._headers)
        if reason:
            self._refuse(400, reason)
            return
        limits = self._handler.limits()
        length = header(self._headers, b"content-length")
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > limits.max_header_bytes:
            self._refuse(431, f"headers over {limits.max_header_bytes} bytes")
        elif length and int(length) > limits.max_body_bytes:
            self._refuse(413, f"body over {limits.max_body_bytes} bytes")
        elif header(self._headers, b"expect").lower() == "100-continue":
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._ended:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits().max_body_bytes:
            self._refuse(
                413, f"body over {self._handler.limits().max_body_bytes} bytes"
            )
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self._ended:
            return
        req = Request(
            self._parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
            self._received_at,
        )
        self._waiting.append(req)
        self._begin_request()
        if len(self._waiting) >= PIPELINED_MOST and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _refuse(self, status: int, reason: str) -> None:
        """Refuse the request that is arriving; nothing behind it is read."""
        if not self._ended:
            self._ended = True
            self._since = self._loop.time()
            self._waiting.append(BadRequest(status, reason))

    # Answers

    def _serve_next(self) -> None:
        if self.busy or not self._waiting or self.closed:
            return
        self.busy = True
        self._group.start_soon(self._serve)

    async def _serve(self) -> None:
        try:
            while self._waiting and not self.closed:
                req = self._waiting.popleft()
                if isinstance(req, BadRequest):
                    self._handler.refuse(req, self)
                    self._end_writing()
                    return
                await self._serve_one(req)
                self._read_on()
        finally:
            self.busy = False
            self._since = self._loop.time()

    async def _serve_one(self, req: Request) -> None:
        self._answered = False
        self._streaming = False
        self._keep = req.keep_alive
        with anyio.CancelScope() as scope:
            self._scope = scope
            await self._handle(req)
        self._scope = None
        if not self._answered and not self.closed:
            # A channel that ends without its whole answer must not look as if it had
            # it.
            self.abort()
        elif not self._keep:
            self._end_writing()

    async def _handle(self, req: Request) -> None:
        """Answer a request; an error that nobody foresaw ends its channel alone.

        All callers share one process: without this, one request that trips over a
        fault would break off the answers of all others.
        """
        try:
            await self._handler.handle(req, self)
        except AssertionError:
            raise
        except Exception:
            log.exception("a request failed unforeseen", extra={"path": req.path})

    def _read_on(self) -> None:
        if self._paused and len(self._waiting) < PIPELINED_MOST and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        if self.closed:
            return
        last = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._transport.write(self._head(ResponseHead(status, last)) + body)
        self._answered = True

    def begin(self, head: ResponseHead, first: bytes = b"") -> None:
        """Send the head of an answer whose body follows in chunks."""
        if self.closed:
            return
        headers = [*head.headers, (b"Transfer-Encoding", b"chunked")]
        data = self._head(ResponseHead(head.status, headers))
        self._transport.write(data + (chunk(first) if first else b""))
        self._streaming = True

    def send(self, data: bytes) -> None:
        """Send a part of a body that was begun."""
        if data and not self.closed:
            self._transport.write(chunk(data))

    def end(self) -> None:
        """Send the end of a body that was begun."""
        if not self.closed:
            self._transport.write(LAST_CHUNK)
            self._answered = True

    def abort(self) -> None:
        """Reset the channel: the answer under way is not whole."""
        self.closed = True
        self._transport.abort()

    @property
    def is_writable(self) -> bool:
        """Whether the caller has read enough for more to be sent."""
        return self._writable.is_set()

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough for more to be sent."""
        await self._writable.wait()

    def _head(self, head: ResponseHead) -> bytes:
        headers = head.headers
        if self._handler.is_closing() or self._ended:
            self._keep = False
        if not self._keep:
            headers = [*headers, (b"Connection", b"close")]
        return encode_head(status_line(head.status), headers)

    def _end_writing(self) -> None:
        """End the channel after its last answer.

        What the caller still sends is read for a moment: bytes left unread would turn
        the close into a reset that can overtake the answer.
        """
        # What waits behind the last answer could not be answered any more, and has been
        # passed on to nobody: the caller may send it elsewhere.
        self._waiting.clear()
        if not self.closed and not self._transport.is_closing():
            self._ended = True
            self._since = self._loop.time()
            self._transport.write_eof()


def _framing_fault(headers: Headers) -> str:
    """Say what is wrong with how a request is framed; empty if nothing is.

    A request whose length can be read in two ways may hide another one in its body,
    which a server would then run although no caller sent it.
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
