"""Channels to backend servers, kept open between requests.

A channel goes to one start of a server at one address, and is only used again while the
server keeps it: an idle channel that the server closes just as a request is written
leaves the request's outcome unknown.  Silent channels are found by TCP itself, by
keep-alive probes and a bound on unacknowledged data.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import anyio

from ..core.fleet import Server
from ..http1.server import ServerConnection
from ..sockets import set_options

CONNECT_S: Final = 0.5
# A channel is given up this long before the server would close it, in seconds.
KEEP_MARGIN_S: Final = 1.0
# For a server that does not say how long it keeps an idle channel.
KEEP_UNKNOWN_S: Final = 4.0


class Pool:
    """Idle channels by start of a server.

    Parameters
    ----------
    on_unexpected_data : callable
        Told when a server sends bytes that belong to no request.
    """

    def __init__(self, on_unexpected_data: Callable[[str], None]) -> None:
        self.opened = 0
        self._idle: dict[str, list[ServerConnection]] = {}
        self._on_stray = on_unexpected_data

    async def acquire(self, server: Server) -> ServerConnection | str:
        """Return a channel, or why there is none; nothing was sent then."""
        loop = asyncio.get_running_loop()
        idle = self._idle.get(server.incarnation, [])
        while idle:
            server_conn = idle.pop()
            if not server_conn.closed and loop.time() < _kept_until(server_conn):
                return server_conn
            server_conn.close()
        return await self._connect(server)

    def connected(self) -> frozenset[str]:
        """Return the starts of servers to which a channel is idle."""
        return frozenset(
            incarnation for incarnation, idle in self._idle.items() if idle
        )

    def release(self, server: Server, server_conn: ServerConnection) -> None:
        """Take a channel back, if it can be used again."""
        if server_conn.release(asyncio.get_running_loop().time()):
            self._idle.setdefault(server.incarnation, []).append(server_conn)

    def sweep(self, gone: list[Server]) -> None:
        """Close channels that were idle for too long, or whose server left."""
        now = asyncio.get_running_loop().time()
        for server in gone:
            for server_conn in self._idle.pop(server.incarnation, []):
                server_conn.close()
        for incarnation, idle in self._idle.items():
            kept = [c for c in idle if not c.closed and now < _kept_until(c)]
            for server_conn in idle:
                if server_conn not in kept:
                    server_conn.close()
            self._idle[incarnation] = kept

    async def _connect(self, server: Server) -> ServerConnection | str:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        self.opened += 1
        try:
            with anyio.fail_after(CONNECT_S):
                transport, server_conn = await loop.create_connection(
                    lambda: ServerConnection(lambda: self._on_stray(server.id)),
                    host,
                    int(port),
                )
        except TimeoutError:
            return "no connection in time"
        except OSError as exc:
            return f"no connection: {exc.strerror or exc!r}"
        set_options(transport.get_extra_info("socket"))
        return server_conn


def _kept_until(server_conn: ServerConnection) -> float:
    keep_s = KEEP_UNKNOWN_S
    if server_conn.keep_alive_s is not None:
        keep_s = max(0.0, server_conn.keep_alive_s - KEEP_MARGIN_S)
    return server_conn.idle_since + keep_s
