"""Crowds of clients: many connections that send the same form of request at once."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Final, NamedTuple

import anyio

# Nothing was sent or received for this time: every client waits for the process.
SETTLED_S: Final = 0.5
POLL_S: Final = 0.05
KB: Final = 1000
MB: Final = 1000 * KB
MIB: Final = 1 << 20
BODY: Final = b"x" * (4 * MIB)


class Part(NamedTuple):
    """Data that is sent a number of times."""

    data: bytes
    repeats: int = 1


Form = tuple[Part, ...]


class Crowd(NamedTuple):
    """Clients that send the same form.

    Attributes
    ----------
    connections : int
        Number of clients.
    form : Form
        What each client sends.
    write_bytes : int
        Size of each write; 0 to write the parts as they are.
    opens : int
        Number of connections that each client opens, one after the other, as soon as
        the last one was closed.
    reads : bool
        Whether clients read responses; otherwise their receive buffers are small.
    """

    connections: int
    form: Form
    write_bytes: int = 0
    opens: int = 1
    reads: bool = True


def head(fields: str, path: str = "/unsafe/x") -> bytes:
    """Return the head of a request, without its end."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", "X-Request-Id: crowd"]
    return ("\r\n".join([*lines, "X-Deadline-Ms: 60000", fields]) + "\r\n").encode()


def with_length(size: int, short: int, fields: str = "X: y") -> Form:
    """Return a body of a given length that stops short of its end."""
    start = head(f"{fields}\r\nContent-Length: {size}") + b"\r\n"
    return Part(start), Part(BODY[: size - short])


def chunked(chunk: int, total: int, *, ended: bool = False) -> Form:
    """Return a body in chunks of equal size."""
    data = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    # Small chunks are written many at a time.
    batch = max(1, 64 * KB // len(data))
    start = Part(head("Transfer-Encoding: chunked") + b"\r\n")
    end = (Part(b"0\r\n\r\n"),) if ended else ()
    return start, Part(data * batch, max(1, total // (chunk * batch))), *end


def started_chunk(announced: int, sent: int) -> Form:
    """Return a body that ends within its only chunk."""
    start = head("Transfer-Encoding: chunked") + f"\r\n{announced:x}\r\n".encode()
    return Part(start), Part(BODY[:sent])


def lines(size: int, line: bytes, *, ended: bool = False) -> Form:
    """Return a head of equal lines of a total size, with or without its end."""
    start = head("X: y")
    count = (size - len(start)) // len(line)
    end = b"Content-Length: 0\r\n\r\n" if ended else b""
    return (Part(start + line * count + end),)


def one_line(size: int, *, ended: bool = False) -> Form:
    """Return a head with one long value of a total size, with or without its end."""
    start = head("X: y") + b"Y: "
    end = b"\r\nContent-Length: 0\r\n\r\n" if ended else b""
    return (Part(start + BODY[: size - len(start) - len(end)] + end),)


def over_limit(sent: int) -> Form:
    """Return a body whose length is far over the limit."""
    return Part(head("Content-Length: 999999999999") + b"\r\n"), Part(BODY[:sent])


class CrowdRun:
    """A crowd whose clients keep their connections until `close`."""

    def __init__(self, crowd: Crowd, address: tuple[str, int]) -> None:
        self._crowd = crowd
        self._address = address
        self.sockets: set[socket.socket] = set()
        self._moved_bytes = 0
        self._pending = crowd.connections

    async def run(self) -> None:
        """Return when every client has sent its form or waits for the process."""
        async with anyio.create_task_group() as group:
            for _ in range(self._crowd.connections):
                group.start_soon(self._run_client)
            quiet_s, moved_bytes = 0.0, -1
            while self._pending and quiet_s < SETTLED_S:
                is_quiet = moved_bytes == self._moved_bytes
                quiet_s = quiet_s + POLL_S if is_quiet else 0.0
                moved_bytes = self._moved_bytes
                await anyio.sleep(POLL_S)
            group.cancel_scope.cancel()

    def close(self) -> None:
        """Reset all connections."""
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()

    async def _run_client(self) -> None:
        for _ in range(self._crowd.opens):
            sock = socket.socket()
            self.sockets.add(sock)
            try:
                await self._run_connection(sock)
            except OSError:
                # Refused, closed or reset, which is allowed.
                self._moved_bytes += 1
        self._pending -= 1

    async def _run_connection(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        if not self._crowd.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(sock, self._address)
        self._moved_bytes += 1
        for data in self._writes():
            await loop.sock_sendall(sock, data)
            self._moved_bytes += len(data)
            await asyncio.sleep(0)
        if self._crowd.opens > 1:
            # Until the process closes the connection.
            while received := await loop.sock_recv(sock, 1 << 16):
                self._moved_bytes += len(received)
            sock.close()

    def _writes(self) -> Iterator[memoryview]:
        for part in self._crowd.form:
            data = memoryview(part.data)
            size = self._crowd.write_bytes or max(1, len(data))
            for _ in range(part.repeats):
                for start in range(0, len(data), size):
                    yield data[start : start + size]
