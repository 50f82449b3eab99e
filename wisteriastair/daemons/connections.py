"""What the HTTP connections of a daemon hold, and which of them are closed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import anyio

from ..callers.api import BUFFERS_KEY
from ..http1.monitor import REFRESH_INTERVAL_S, BufferMonitor
from ..scheduling.buffers import (
    CONNECTIONS,
    UNFINISHED,
    BufferBudget,
    make_buffer_limits,
)
from ..sockets import max_open_descriptors

# Memory of a daemon of this mode without load, above that of a relay.
EXTRA_RESTING_BYTES: Final = 16 * 1024 * 1024
# Objects and buffers of a connection, and what may have arrived unread.
CONNECTION_BYTES: Final = 96 * 1024
MIN_CONNECTIONS: Final = 32
MAX_CONNECTIONS: Final = 10_000
# Descriptors for files and for connections that are being accepted or closed, and the
# part of the others for connections; the rest is for other processes and servers.
RESERVED_DESCRIPTORS: Final = 100
DESCRIPTOR_FRACTION: Final = 0.5
BODY_HEADERS: Final = (b"content-length", b"transfer-encoding")
# Copies of a complete body: as it arrived, decoded, and encoded for another process.
BODY_COPIES: Final = 6
# Time within which a request must arrive completely.
REQUEST_TIMEOUT_S: Final = 60.0
# Time for the HTTP library to end the requests of a caller that has left.
LEAVE_TIMEOUT_S: Final = 1.0

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[..., Awaitable[None]]


class HttpConnection:
    """A connection of a caller.

    Attributes
    ----------
    account : Account
        What is held for the connection.
    requests, running : int
        Number of requests that the application handles, and of those among them that
        have arrived completely.
    active_at : float
        When data was read or a response ended, in seconds.
    answered_early : bool
        Whether the last request was answered before it had arrived completely.
    """

    def __init__(
        self, buffers: BufferBudget, reader: asyncio.StreamReader, peer: Any
    ) -> None:
        self.peer = peer
        self.requests = 0
        self.running = 0
        self.answered_early = False
        self._unused_since = 0.0
        self.active_at = time.monotonic()
        self.transport: asyncio.WriteTransport
        self._buffers = buffers
        self._reader = reader
        task = asyncio.current_task()
        assert task is not None, "connections are made by their tasks"
        self._task = task
        self.account = buffers.open(
            is_caller=True, measure=self.unsent_bytes, disconnect=self._disconnect
        )

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the caller has not read."""
        return self.transport.get_write_buffer_size()

    def at_eof(self) -> bool:
        """Whether all data has been read."""
        return self._reader.at_eof()

    async def read(self, size: int) -> bytes:
        """Read data and count it as part of an unfinished request."""
        data = await self._reader.read(size)
        self.active_at = time.monotonic()
        if data:
            arriving_bytes = self.account.arriving_bytes + len(data)
            self._buffers.set_arriving(self.account, arriving_bytes, self.active_at)
        return data

    def is_unused(self, now: float) -> bool:
        """Whether no request can be expected or answered any more.

        The HTTP library reads nothing while it responds, nor more of a request that was
        answered early, and keeps the connections of callers that have left.
        """
        is_lost = self.transport.is_closing() and not self.unsent_bytes()
        has_left = self._reader.at_eof() and not self.requests
        if is_lost or has_left or self._is_answered_early():
            self._unused_since = self._unused_since or now
            return now - self._unused_since > LEAVE_TIMEOUT_S
        self._unused_since = 0.0
        return False

    def is_too_slow(self, now: float) -> bool:
        """Whether a request has not arrived in time."""
        account = self.account
        arriving_s = now - account.arriving_at if account.arriving_bytes else 0.0
        return arriving_s > REQUEST_TIMEOUT_S

    def end(self) -> None:
        """Close the connection and end its task."""
        self.transport.abort()
        self._task.cancel()

    def _is_answered_early(self) -> bool:
        return self.answered_early and not self.requests

    def _disconnect(self, reason: str) -> None:
        self.end()


class HttpConnections:
    """The connections of a daemon's HTTP server, within one byte budget.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.

    Attributes
    ----------
    buffers : BufferBudget
        What is held for all connections.
    max_connections : int
        Number of connections above which one without a request is closed.
    """

    def __init__(self, memory_bytes: int) -> None:
        limits = make_buffer_limits(memory_bytes, EXTRA_RESTING_BYTES)
        self.buffers = BufferBudget(limits, refuses_small=False)
        # As much memory for connections as for their data.
        by_memory = max(MIN_CONNECTIONS, limits.budget_bytes // CONNECTION_BYTES)
        descriptors = max_open_descriptors(MAX_CONNECTIONS) - RESERVED_DESCRIPTORS
        by_descriptors = max(1, int(descriptors * DESCRIPTOR_FRACTION))
        self.max_connections = min(by_memory, by_descriptors)
        self._by_peer: dict[Any, HttpConnection] = {}
        self._monitor = BufferMonitor(self.buffers)

    def open(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> HttpConnection | None:
        """Add the connection of the current task; None if there is no room."""
        if len(self._by_peer) >= self.max_connections and not self._close_inactive():
            self.buffers.disconnected_counts[CONNECTIONS] += 1
            writer.transport.abort()
            return None
        conn = HttpConnection(self.buffers, reader, writer.get_extra_info("peername"))
        conn.transport = writer.transport
        self._by_peer[conn.peer] = conn
        return conn

    def close(self, conn: HttpConnection) -> None:
        """Return what is held for a connection that has ended."""
        if self._by_peer.get(conn.peer) is conn:
            del self._by_peer[conn.peer]
        self.buffers.close(conn.account)

    def _close_inactive(self) -> bool:
        """Close the connection without a request that was active least recently."""
        idle = [conn for conn in self._by_peer.values() if not conn.running]
        if not idle:
            return False
        conn = min(idle, key=lambda one: one.active_at)
        self.buffers.disconnect(conn.account, CONNECTIONS)
        del self._by_peer[conn.peer]
        return True

    def wrap(self, app: Application) -> Application:
        """Wrap an application, so that its requests and responses are counted."""

        async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
            conn = self._by_peer.get(scope.get("client"))
            if scope["type"] != "http" or conn is None:
                await app(scope, receive, send)
                return
            await _CountedRequest(self.buffers, conn, receive, send).run(app, scope)

        return wrapped

    async def run(self) -> None:
        """Enforce timeouts and the budget until cancelled."""
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S)
            now = time.monotonic()
            for conn in list(self._by_peer.values()):
                if conn.is_unused(now):
                    conn.end()
                elif conn.is_too_slow(now):
                    self.buffers.disconnect(conn.account, UNFINISHED)
            self._monitor.refresh(now)


class _CountedRequest:
    """Counts one request and its response.

    Parameters
    ----------
    buffers : BufferBudget
        Budget of the process.
    conn : HttpConnection
        Its connection.
    """

    def __init__(
        self, buffers: BufferBudget, conn: HttpConnection, receive: Receive, send: Send
    ) -> None:
        self._buffers = buffers
        self._conn = conn
        self._receive = receive
        self._send = send
        self._body_bytes = 0
        self._kept_bytes = 0
        self._is_complete = False

    async def run(self, app: Application, scope: Scope) -> None:
        """Run the application."""
        scope.setdefault("extensions", {})[BUFFERS_KEY] = self._buffers
        self._conn.requests += 1
        self._conn.answered_early = False
        if not any(
            name in BODY_HEADERS and value != b"0" for name, value in scope["headers"]
        ):
            self._record_complete()
        try:
            await app(scope, self.receive, self.send)
        finally:
            self._end()

    async def receive(self) -> dict[str, Any]:
        """Receive a part of the request for the application."""
        message = await self._receive()
        if message["type"] == "http.request" and not self._is_complete:
            self._body_bytes += len(message.get("body", b""))
            if not message.get("more_body", False):
                self._record_complete()
        return message

    async def send(self, message: dict[str, Any]) -> None:
        """Send a part of the response; returns when most of it has been written."""
        size = len(message.get("body", b""))
        account = self._conn.account
        self._buffers.keep(account, size)
        self._buffers.start_waiting(account, time.monotonic())
        try:
            await self._send(message)
        finally:
            self._buffers.free(account, size)
        unsent_bytes = self._conn.unsent_bytes()
        self._buffers.record_written(account, size, unsent_bytes)

    def _record_complete(self) -> None:
        self._is_complete = True
        self._conn.running += 1
        self._free_arriving()
        self._kept_bytes = BODY_COPIES * self._body_bytes
        self._buffers.keep(self._conn.account, self._kept_bytes)

    def _free_arriving(self) -> None:
        """Return what has been read of this request, others of it aside."""
        account = self._conn.account
        left_bytes = account.arriving_bytes - self._body_bytes
        self._buffers.drop_arriving(account)
        if self._conn.requests > 1 and left_bytes > 0:
            self._buffers.set_arriving(account, left_bytes, time.monotonic())

    def _end(self) -> None:
        conn = self._conn
        if self._is_complete:
            conn.running -= 1
            self._buffers.free(conn.account, self._kept_bytes)
        else:
            self._free_arriving()
        conn.requests -= 1
        conn.active_at = time.monotonic()
        conn.answered_early = not self._is_complete
