"""Pool of connections to backend servers that stay open between requests.

A connection belongs to one incarnation of a server at one address.  It is reused only
while the server keeps idle connections open: if the server closes it just as a request
is written, the outcome of the request is unknown.  TCP detects half-open connections,
by keep-alive probes and a time limit for unacknowledged data.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import anyio

from ..http1.metering import ConnectionMeter
from ..http1.server import ServerConnection
from ..scheduling.fleet import Server
from ..sockets import set_options

CONNECT_TIMEOUT_S: Final = 0.5
# An idle connection is closed this long before the server would close it.
KEEP_ALIVE_MARGIN_S: Final = 1.0
# For a server that does not report its keep-alive timeout.
DEFAULT_KEEP_ALIVE_S: Final = 4.0


class _ConnectFailure(NamedTuple):
    """No connection could be opened."""

    reason: str
    is_refused: bool = False


class ProbeResult(Enum):
    """What the attempt to open a connection tells of a server."""

    LISTENS = "listens"
    # The machine answers and no process listens on the port.
    REFUSED = "refused"
    # Nothing is known: the machine or the way to it may be down.
    NO_ANSWER = "no answer"


class ConnectionPool:
    """Idle connections by incarnation of a server.

    Parameters
    ----------
    on_unexpected_data : callable
        Called with the id of a server that sends bytes outside of any response.

    meter : ConnectionMeter or None
        Budget for the bytes held for connections.

    Attributes
    ----------
    on_refused : callable
        Called with the incarnation of a server that refuses connections.
    opened_count : int
        Connections opened since the start.
    """

    def __init__(
        self,
        on_unexpected_data: Callable[[str], None],
        meter: ConnectionMeter | None = None,
    ) -> None:
        self.on_refused: Callable[[str], None] = lambda incarnation: None
        self.opened_count = 0
        self._idle: dict[str, list[ServerConnection]] = {}
        self._on_unexpected_data = on_unexpected_data
        self._meter = meter

    async def acquire(self, server: Server) -> ServerConnection | str:
        """Return a connection, or the reason why none could be opened."""
        loop = asyncio.get_running_loop()
        idle = self._idle.get(server.incarnation, [])
        while idle:
            server_conn = idle.pop()
            if not server_conn.closed and loop.time() < _reusable_until(server_conn):
                return server_conn
            server_conn.close()
        outcome = await self._connect(server)
        return outcome.reason if isinstance(outcome, _ConnectFailure) else outcome

    async def probe(self, server: Server) -> ProbeResult:
        """Open a connection to find out whether the server still listens.

        The connection joins the pool, so the next request need not open one.
        """
        outcome = await self._connect(server)
        if isinstance(outcome, _ConnectFailure):
            return ProbeResult.REFUSED if outcome.is_refused else ProbeResult.NO_ANSWER
        outcome.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(server.incarnation, []).append(outcome)
        return ProbeResult.LISTENS

    async def is_reachable(self, server: Server) -> bool:
        """Return whether a connection to a server is open or can be opened."""
        idle = self._idle.get(server.incarnation, [])
        if any(not server_conn.closed for server_conn in idle):
            return True
        return await self.probe(server) is ProbeResult.LISTENS

    def idle_incarnations(self) -> frozenset[str]:
        """Return the incarnations of servers that have an idle connection."""
        return frozenset(
            incarnation for incarnation, idle in self._idle.items() if idle
        )

    def release(self, server: Server, server_conn: ServerConnection) -> None:
        """Return a connection to the pool if it can be reused."""
        if server_conn.release(asyncio.get_running_loop().time()):
            self._idle.setdefault(server.incarnation, []).append(server_conn)

    def close_unused(self, removed: list[Server]) -> None:
        """Close connections that were idle for too long or whose server was removed."""
        now = asyncio.get_running_loop().time()
        for server in removed:
            for server_conn in self._idle.pop(server.incarnation, []):
                server_conn.close()
        for incarnation, idle in self._idle.items():
            reusable = [c for c in idle if not c.closed and now < _reusable_until(c)]
            for server_conn in idle:
                if server_conn not in reusable:
                    server_conn.close()
            self._idle[incarnation] = reusable

    async def _connect(self, server: Server) -> ServerConnection | _ConnectFailure:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        self.opened_count += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                transport, server_conn = await loop.create_connection(
                    lambda: ServerConnection(
                        lambda: self._on_unexpected_data(server.id), self._meter
                    ),
                    host,
                    int(port),
                )
        except TimeoutError:
            return _ConnectFailure("no connection in time")
        except (OSError, UnicodeError) as exc:
            # A host that is no address and no valid name raises `UnicodeError`.
            is_refused = isinstance(exc, ConnectionRefusedError)
            if is_refused:
                self.on_refused(server.incarnation)
            text = exc.strerror if isinstance(exc, OSError) else ""
            reason = f"no connection: {text or repr(exc)}"
            return _ConnectFailure(reason, is_refused)
        set_options(transport.get_extra_info("socket"))
        return server_conn


def _reusable_until(server_conn: ServerConnection) -> float:
    keep_alive_s = DEFAULT_KEEP_ALIVE_S
    if server_conn.keep_alive_s is not None:
        keep_alive_s = max(0.0, server_conn.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return server_conn.idle_since + keep_alive_s
